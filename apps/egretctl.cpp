// egretctl is the operators' and callers' command line. See --help for the commands; each prints a
// table for people, or JSON with --json.
//
// Exit codes: 0 done, 1 it failed or the answer was not "complete", 2 wrong usage, 3 the set has
// faults, 4 the publication lost against another one, 5 a time limit passed.

#include "ctl/commands.hpp"
#include <iostream>

int main(int argc, char** argv)
{
    std::vector<std::string> args(argv + 1, argv + argc);
    return egretledge::ctl::run(args, std::cout, std::cerr);
}
