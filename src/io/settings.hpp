#ifndef EGRETLEDGE_IO_SETTINGS_HPP
#define EGRETLEDGE_IO_SETTINGS_HPP

// The settings of a process: a YAML file, checked whole before anything starts.

#include "core/node.hpp"
#include "io/http_server.hpp"
#include "io/peer_bus.hpp"

namespace egretledge
{

struct daemon_settings
{
    std::string name;
    std::string data_centre;
    std::string platform; // IP:PORT of the platform's log and host list
    http_server_settings http;
    peer_bus_settings peers;
    std::string operator_token_sha256;
    std::uint32_t io_threads = 2;
    std::uint32_t worker_connections = 3;
    milliseconds stop_timeout{20000};
    std::string log_level = "info"; // debug, info, warning or error
    node_settings logic;
};

// Reads the text of a settings file. The error lists every fault, one a line, each with its
// remedy.
expected<daemon_settings> parse_settings(const std::string& text);
expected<daemon_settings> load_settings(const std::string& path);

// The effective settings as YAML; secrets are left out.
std::string describe(const daemon_settings& settings);

} // namespace egretledge

#endif
