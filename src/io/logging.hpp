#ifndef EGRETLEDGE_IO_LOGGING_HPP
#define EGRETLEDGE_IO_LOGGING_HPP

// Log lines of a process, by easylogging++: one line an event, in key=value form.

#include <string>

namespace egretledge
{

// Begins logging to standard output; lines below `level` are dropped. Call once, before threads.
void start_logging(const std::string& level);

// From now on a line that standard output does not take at once is dropped, whole or its rest.
void set_log_output_nonblocking();

// Whether the last line was written whole. False once for each line that was not.
bool log_line_written();

// Writes one event; `text` begins with event=NAME. Levels: debug, info, warning, error.
void log_line(const std::string& level, const std::string& text);

} // namespace egretledge

#endif
