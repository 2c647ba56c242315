#ifndef EGRETLEDGE_IO_EDGE_SETTINGS_HPP
#define EGRETLEDGE_IO_EDGE_SETTINGS_HPP

// The settings of an egret-edge process, read from a YAML file that is validated before anything
// starts.

#include "egretledge/types.hpp"
#include "io/ip_port.hpp"

namespace egretledge
{

struct edge_settings
{
    std::string name;
    std::string data_centre;
    std::string callers;   // IP:PORT for callers
    std::string readiness; // IP:PORT for the balancer's readiness checks
    std::string control;   // IP:PORT for /statez; empty: not served
    std::string metrics;   // IP:PORT for /metrics; empty: not served
    std::string peers;     // tcp://IP:PORT for other hosts
    // Control addresses (IP:PORT) of some other hosts. Their peer port must be the same as the one
    // in `peers`.
    std::vector<std::string> seeds;
    std::string store; // IP:PORT of the platform's store
    // Maximum delay until a published configuration is in force here, while the store can be read.
    milliseconds config_bound{2000};
    // Time after the operator's request by which no task may start in an evacuated data centre; 0:
    // the deployment has no such bound.
    milliseconds evacuation_bound{0};
    // The longest lease that a worker grants; it shortens a longer one.
    milliseconds max_lease{1000};
    // Time limit of a planned stop. The platform terminates a process that takes longer.
    milliseconds stop_timeout{6000};
    // No host of the deployment ran before this process. Until a process that may have had
    // predecessors has run for some seconds, it refuses no job as "not run".
    bool first_start = false;
    // Limits of this host, from which it computes how many workers it can serve. 0: not known.
    double processor_share = 0; // share of a core
    double processor_speed = 0; // how many times as fast as one core; not known: 1
    double memory_mb = 0;
    double link_mbps = 0;
    // The limits that are not known, each as `name:reason`, separated by commas.
    std::string defaulted_limits;
    bool faulty_limits = false;     // a limit is present, but not a number within its range
    std::string log_level = "info"; // debug, info, warning or error
    // Maximum log lines per second; lines above it are dropped and counted.
    std::uint32_t log_lines_per_s = 200;
    // Settings whose value was replaced by their default, each with its reason; to be logged.
    std::vector<std::string> replaced;
};

// Parses the text of a settings file. The error lists every fault, one per line, with its remedy.
expected<edge_settings> parse_edge_settings(const std::string& text);
expected<edge_settings> load_edge_settings(const std::string& path);

} // namespace egretledge

#endif
