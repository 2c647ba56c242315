#ifndef EGRETLEDGE_IO_SETTINGS_HPP
#define EGRETLEDGE_IO_SETTINGS_HPP

// The settings of an entry host's process. They are read from a YAML file, which is validated
// completely before the process starts anything.

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
    std::string operator_token_sha256; // hexadecimal; empty: operators need no token
    std::uint32_t io_threads = 2;
    std::uint32_t worker_connections = 3; // at most, to each worker's address
    milliseconds stop_timeout{20000};     // time limit of a graceful stop
    std::string log_level = "info";       // debug, info, warning or error
    node_settings logic;
};

// Parses the text of a settings file. The error lists every fault with its remedy, one per line.
expected<daemon_settings> parse_settings(const std::string& text);
expected<daemon_settings> load_settings(const std::string& path);

// Returns the effective settings as YAML, with curve_secret shown as "(set)" and without peer_keys.
std::string describe(const daemon_settings& settings);

} // namespace egretledge

#endif
