#ifndef EGRETLEDGE_IO_COMMAND_LINE_HPP
#define EGRETLEDGE_IO_COMMAND_LINE_HPP

// What every program's main does first: reads its options, or says what is wrong with them.

#include <boost/program_options.hpp>
#include <iostream>
#include <optional>

namespace egretledge
{

// Exit codes of a program that was asked for help, and of one whose options are wrong.
constexpr int exit_after_help = 0;
constexpr int exit_usage = 2;

// Reads the options into `values` and into the variables bound to them. Returns nothing if the
// program is to go on, else the code to exit with; then the help is on stdout, or the fault and
// where to read on is on stderr. `positions` names the options that may stand without a dash.
inline std::optional<int>
read_options(int argc, const char* const* argv,
             const boost::program_options::options_description& options,
             boost::program_options::variables_map& values,
             const boost::program_options::positional_options_description& positions = {})
{
    namespace po = boost::program_options;
    try
    {
        po::store(po::command_line_parser(argc, argv).options(options).positional(positions).run(),
                  values);
        po::notify(values);
    }
    catch (const po::error& e)
    {
        std::cerr << e.what() << "; see --help\n";
        return exit_usage;
    }
    if (!values.contains("help"))
        return std::nullopt;
    std::cout << options;
    return exit_after_help;
}

} // namespace egretledge

#endif
