#ifndef EGRETLEDGE_IO_COMMAND_LINE_HPP
#define EGRETLEDGE_IO_COMMAND_LINE_HPP

// Command-line parsing that all programs share.

#include <boost/program_options.hpp>
#include <iostream>
#include <optional>

namespace egretledge
{

// The exit code after printing the help, and the exit code for invalid options.
constexpr int exit_after_help = 0;
constexpr int exit_usage = 2;

// Parses the options into `values` and into the variables bound to them. `positions` names the
// options that may be given by position. Returns nothing if the program should continue. Otherwise
// returns the code to exit with, after printing the help to stdout, or the error and a reference to
// the help option to stderr.
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
