#ifndef EGRETLEDGE_IO_EDGE_SETTINGS_HPP
#define EGRETLEDGE_IO_EDGE_SETTINGS_HPP

// The settings of an egret-edge process: a YAML file, checked whole before anything starts.

#include "egretledge/types.hpp"

namespace egretledge
{

struct edge_settings
{
    std::string name;
    std::string data_centre;
    std::string callers;   // IP:PORT for callers
    std::string readiness; // IP:PORT that the balancer asks
    std::string control;   // IP:PORT for /statez; empty: none
    std::string metrics;   // IP:PORT for /metrics; empty: none
    std::string peers;     // tcp://IP:PORT for other hosts
    // IP:PORT of some hosts' control addresses; their peers' port is the same as here.
    std::vector<std::string> seeds;
    std::string store; // IP:PORT of the platform's store
    // A published configuration is in force here within this time while the store can be read.
    milliseconds config_bound{2000};
    // A planned stop that takes longer is cut off by the platform.
    milliseconds stop_limit{6000};
    std::string log_level = "info"; // debug, info, warning or error
    // Log lines a second; further ones are counted and dropped.
    std::uint32_t log_lines_per_s = 200;
};

// Reads the text of a settings file. The error lists every fault, one a line, each with its remedy.
expected<edge_settings> parse_edge_settings(const std::string& text);
expected<edge_settings> load_edge_settings(const std::string& path);

// An IP:PORT text taken apart. The error names the text.
struct ip_port
{
    std::string ip;
    std::uint16_t port = 0;
};
expected<ip_port> parse_ip_port(const std::string& text);

} // namespace egretledge

#endif
