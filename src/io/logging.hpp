#ifndef EGRETLEDGE_IO_LOGGING_HPP
#define EGRETLEDGE_IO_LOGGING_HPP

// Logging through easylogging++: one line per event, in key=value form.

#include <string>

namespace egretledge
{

// Starts logging to standard output; lines below `level` are dropped. Must be called once, before
// other threads start.
void start_logging(const std::string& level);

// Makes standard output non-blocking. A line that it does not accept at once is then dropped,
// wholly or from some byte on.
void set_log_output_nonblocking();

// Returns whether all of the lines since the last call were written in full. A failure is reported
// once.
bool log_line_written();

// Logs one event. `text` begins with event=NAME; `level` is debug, info, warning or error.
void log_line(const std::string& level, const std::string& text);

} // namespace egretledge

#endif
