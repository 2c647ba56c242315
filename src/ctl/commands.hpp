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
    usage_error = 2,
    invalid_objects = 3,
    publication_conflict = 4,
    timed_out = 5
};

// Runs the command that `command_line` give, as on a command line without the program's name.
int run(const std::vector<std::string>& command_line, std::ostream& out, std::ostream& err);

} // namespace egretledge::ctl

#endif
