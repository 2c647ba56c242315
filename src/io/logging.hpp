#ifndef EGRETLEDGE_IO_LOGGING_HPP
#define EGRETLEDGE_IO_LOGGING_HPP

// Log lines of a process, by easylogging++: one line an event, in key=value form.

#include <string>

namespace egretledge
{

// Begins logging to standard error; lines below `level` are dropped. Call once, before threads.
void start_logging(const std::string& level);

// Writes one event; `text` begins with event=NAME. Levels: debug, info, warning, error.
void log_line(const std::string& level, const std::string& text);

} // namespace egretledge

#endif
