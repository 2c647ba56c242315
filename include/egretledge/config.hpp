#ifndef EGRETLEDGE_CONFIG_HPP
#define EGRETLEDGE_CONFIG_HPP

// The configuration objects that operators publish, and the validation of a whole set of them.
//
// A set is a list of objects. Each object has a kind, a name that is unique within the kind, and a
// body of fields. Objects refer to one another by name. build_configuration() validates the whole
// set and returns either a typed configuration or all faults that it found; it never returns a
// partly valid configuration.
//
//     auto objects = load_directory("conf/");           // YAML files, one object per document
//     auto built = build_configuration(objects, 1);
//     if (!built) for (const auto& fault : built.error()) std::cerr << describe(fault) << '\n';

#include "egretledge/types.hpp"
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretledge
{

// The kinds of objects, in the order in which they may refer to one another.
enum class object_kind : std::uint8_t
{
    region,
    data_centre,
    entry_host,
    policy,
    executor_pool,
    service,
    team
};
BOOST_DESCRIBE_ENUM(object_kind, region, data_centre, entry_host, policy, executor_pool, service,
                    team)
std::string_view name_of(object_kind value);

// An object as published. `body` is canonical YAML. `file` and `line` tell where the object was
// read from; they are empty and 0 if it was not read from a file.
struct config_object
{
    std::string kind;
    std::string name;
    std::string body;
    std::string file;
    int line = 0;

    bool same_content(const config_object& other) const
    {
        return kind == other.kind && name == other.name && body == other.body;
    }
};

// A fault of a set of objects. `message` describes the fault and its remedy.
struct config_fault
{
    std::string file;
    int line = 0;
    std::string object;
    std::string message;
};
// Formats a fault for display.
std::string describe(const config_fault& fault);

struct region_object
{
    std::string name;
};

// `shards` is the number of shards into which the keys of the data centre are divided. It must not
// change while the data centre serves.
struct data_centre_object
{
    std::string name;
    std::string region;
    std::uint64_t shards = 8;
};

struct entry_host_object
{
    std::string name;
    std::string data_centre;
};

// A dispatch policy. Durations are in milliseconds.
struct policy_object
{
    std::string name;
    std::uint64_t retry_limit = 2; // retries per task, if the task may be repeated
    double retry_budget = 0.1;     // maximum ratio of retries to first starts
    // Consecutive failures before a worker is quarantined, that is, gets single test tasks only.
    std::uint64_t quarantine_after = 3;
    double quarantine_share = 0.3;          // maximum share of workers in quarantine at once
    std::uint64_t queue_ahead = 1;          // tasks sent to a worker beyond its free slots
    std::uint64_t admission_wait_ms = 4000; // maximum expected wait at which jobs are accepted
};

// A range of `count` executors named NAME-1, NAME-2, ..., which listen at the ports first_port,
// first_port + 1, ... of one address.
struct executor_pool_object
{
    std::string name;
    std::string data_centre;
    std::string address;
    std::uint64_t first_port = 0;
    std::uint64_t count = 1;
    std::uint64_t slots = 8;
    std::uint64_t connections = 64;
    double processors = 16;
    std::uint64_t memory = 0;
    std::uint64_t accelerators = 0;
    std::uint64_t per_rack = 8;
};

struct service_object
{
    std::string name;
    bool repeatable = false;
    std::uint64_t run_time_ms = 200;
    std::uint64_t deadline_ms = 10000;
    double processors = 1;
    std::uint64_t memory = 0;
    std::uint64_t accelerators = 0;
    std::string policy;
};

// `quota` is the maximum number of task slots that the team may hold at once in one data centre
// when other teams want slots too.
struct team_object
{
    std::string name;
    double weight = 1;
    std::uint64_t quota = 0;
    std::string token_sha256;
};

// One executor of a pool.
struct executor
{
    std::string name;
    std::string address; // host:port
    std::string data_centre;
    std::uint32_t rack = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    double processors = 0;
    std::uint64_t memory = 0;
    std::uint64_t accelerators = 0;

    // True if the executor, when idle, has the resources for a task of `service`.
    bool fits(const service_object& service) const;
};

// A validated set of objects at one revision. Immutable after it was built.
struct configuration
{
    std::uint64_t revision = 0;
    std::vector<config_object> objects;
    std::map<std::string, region_object> regions;
    std::map<std::string, data_centre_object> data_centres;
    std::map<std::string, entry_host_object> entry_hosts;
    std::map<std::string, policy_object> policies;
    std::map<std::string, executor_pool_object> executor_pools;
    std::map<std::string, service_object> services;
    std::map<std::string, team_object> teams;
    std::vector<executor> executors;

    const policy_object& policy_of(const service_object& service) const;
    // Returns the team whose token has this SHA-256 in lower-case hexadecimal; null if none. Takes
    // the same time whichever team matches, so that timing reveals nothing about tokens.
    const team_object* team_of_token(std::string_view sha256_hex) const;
};

using configuration_ptr = std::shared_ptr<const configuration>;

// Validates the set and builds the configuration. Returns all faults on failure.
tl::expected<configuration, std::vector<config_fault>>
build_configuration(std::vector<config_object> objects, std::uint64_t revision);

// Parses YAML text with one object per document. Faults name `file` and the line.
tl::expected<std::vector<config_object>, std::vector<config_fault>>
parse_objects(const std::string& text, const std::string& file);

// Reads every *.yaml file of a directory, in the order of their names.
tl::expected<std::vector<config_object>, std::vector<config_fault>>
load_directory(const std::string& directory);

// Returns a reference page that lists every kind with its fields, units and ranges. It is generated
// from the tables that the validation uses.
std::string schema_reference();

// The objects to change and to remove in order to turn one set into another.
struct config_difference
{
    std::vector<config_object> changed;
    std::vector<config_object> removed;
    bool empty() const { return changed.empty() && removed.empty(); }
};
config_difference difference(const std::vector<config_object>& base,
                             const std::vector<config_object>& target);

// Returns `base` with the difference applied.
std::vector<config_object> apply(std::vector<config_object> base, const config_difference& change);

} // namespace egretledge

#endif
