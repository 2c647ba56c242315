// easylogging++ is a header and one source file; the build compiles that file with the same macro
// definitions as this one.

#include "io/logging.hpp"
#include <easylogging++.h>
#include <fcntl.h>
#include <iostream>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace egretledge
{

void start_logging(const std::string& level)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    const auto off = [&](el::Level below)
    { configuration.set(below, el::ConfigurationType::Enabled, "false"); };
    if (level != "debug")
        off(el::Level::Debug);
    if (level == "warning" || level == "error")
        off(el::Level::Info);
    if (level == "error")
        off(el::Level::Warning);
    el::Loggers::reconfigureLogger("default", configuration);
}

void set_log_output_nonblocking()
{
    ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

bool log_line_written()
{
    const bool written = std::cout.good();
    std::cout.clear();
    return written;
}

void log_line(const std::string& level, const std::string& text)
{
    if (level == "debug")
        LOG(DEBUG) << text;
    else if (level == "warning")
        LOG(WARNING) << text;
    else if (level == "error")
        LOG(ERROR) << text;
    else
        LOG(INFO) << text;
}

} // namespace egretledge
