// egretctl is the command-line tool of operators and callers. --help lists the commands; each
// prints a table, or JSON with --json.
//
// Exit codes: 0 success, 1 the command failed or the answer was not "complete", 2 wrong usage, 3
// the configuration set has faults, 4 the publication lost against a concurrent one, 5 a time limit
// expired.

#include "ctl/commands.hpp"
#include <iostream>

int main(int argc, char** argv)
{
    std::vector<std::string> args(argv + 1, argv + argc);
    return egretledge::ctl::run(args, std::cout, std::cerr);
}
