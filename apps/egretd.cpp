// egretd is the daemon that runs on an entry host.
//
//     egretd --settings /etc/egretledge/jaro-1.yaml
//     egretd --settings jaro-1.yaml --check-settings
//
// Exit codes: 0 stopped gracefully, or the settings are valid; 1 the stop's time limit expired, or
// the daemon could not start; 2 wrong usage or invalid settings.

#include "io/command_line.hpp"
#include "io/daemon.hpp"
#include "io/logging.hpp"

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    po::options_description options("egretd, an entry host of egretledge");
    options.add_options()("help", "print this")("settings", po::value<std::string>(),
                                                "the YAML settings file")(
        "check-settings", "check the settings, print the effective settings, and exit");
    po::variables_map values;
    if (const auto code = egretledge::read_options(argc, argv, options, values))
        return *code;
    if (!values.contains("settings"))
    {
        std::cerr << "no settings file given; example: egretd --settings jaro-1.yaml\n";
        return egretledge::exit_usage;
    }
    const auto settings = egretledge::load_settings(values["settings"].as<std::string>());
    if (!settings)
    {
        std::cerr << settings.error().message << '\n';
        return 2;
    }
    if (values.contains("check-settings"))
    {
        std::cout << egretledge::describe(*settings);
        return 0;
    }
    egretledge::start_logging(settings->log_level);
    try
    {
        egretledge::entry_daemon daemon(*settings);
        return daemon.run();
    }
    catch (const std::exception& e)
    {
        std::cerr << "cannot start: " << e.what()
                  << "; check the addresses and files of the settings\n";
        return 1;
    }
}
