// egretd is an entry host.
//
//     egretd --settings /etc/egretledge/jaro-1.yaml
//     egretd --settings jaro-1.yaml --check-settings
//
// Exit codes: 0 stopped gracefully (or the settings are good), 1 the stop's time limit passed or it
// could not start, 2 wrong usage or settings.

#include "io/daemon.hpp"
#include "io/logging.hpp"
#include <boost/program_options.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    po::options_description options("egretd, an entry host of egretledge");
    options.add_options()("help", "print this")("settings", po::value<std::string>(),
                                                "the YAML settings file")(
        "check-settings", "check the settings, print the effective ones, and end");
    po::variables_map given;
    try
    {
        po::store(po::parse_command_line(argc, argv, options), given);
    }
    catch (const po::error& e)
    {
        std::cerr << e.what() << "; see --help\n";
        return 2;
    }
    if (given.contains("help") || !given.contains("settings"))
    {
        std::cout << options << "\nexample: egretd --settings jaro-1.yaml\n";
        return given.contains("help") ? 0 : 2;
    }
    const auto settings = egretledge::load_settings(given["settings"].as<std::string>());
    if (!settings)
    {
        std::cerr << settings.error().message << '\n';
        return 2;
    }
    if (given.contains("check-settings"))
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
