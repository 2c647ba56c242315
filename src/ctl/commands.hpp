#ifndef EGRETLEDGE_CTL_COMMANDS_HPP
#define EGRETLEDGE_CTL_COMMANDS_HPP

// The commands of egretctl as functions, so that tests can call them.

#include <iosfwd>
#include <string>
#include <vector>

namespace egretledge::ctl
{

enum exit_code : int
{
    done = 0,
    failed = 1,
    wrong_usage = 2,
    faulty_set = 3,
    clashed = 4,
    late = 5
};

// Runs the command that `words` give, as on a command line without the program's name.
int run(const std::vector<std::string>& words, std::ostream& out, std::ostream& err);

} // namespace egretledge::ctl

#endif
