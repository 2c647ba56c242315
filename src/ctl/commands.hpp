#ifndef EGRETLEDGE_CTL_COMMANDS_HPP
#define EGRETLEDGE_CTL_COMMANDS_HPP

// The command line of egretctl as a function, so that tests can call it.

#include <iosfwd>
#include <string>
#include <vector>

namespace egretledge::ctl
{

// Exit codes of egretctl. `egretctl --help` lists them for operators.
enum exit_code : int
{
    done = 0,
    failed = 1,
    usage_error = 2,
    invalid_objects = 3,      // The set of objects has faults or cannot be read.
    publication_conflict = 4, // The publication is in the log but was not accepted.
    timed_out = 5             // The time limit of the command passed.
};

// Runs one command and returns its exit code. `command_line` holds the arguments without the
// program's name.
int run(const std::vector<std::string>& command_line, std::ostream& out, std::ostream& err);

} // namespace egretledge::ctl

#endif
