#ifndef EGRETLEDGE_CONFIG_HPP
#define EGRETLEDGE_CONFIG_HPP

// The objects that operators publish, and the check that a whole set of them must pass.
//
// A set is a list of objects: each has a kind, a name that is unique within the kind, and a body of
// fields. Objects refer to one another by name. build_configuration() checks everything and either
// returns a typed configuration or every fault it found; nothing half-formed gets out.
//
//     auto objects = load_directory("conf/");           // YAML files, one object a document
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

// An object as published: `body` is canonical YAML. File and line say where it was read, if it was.
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

// One thing wrong with a set, and its remedy.
struct config_fault
{
    std::string file;
    int line = 0;
    std::string object;
    std::string message;
};
std::string describe(const config_fault& fault);

struct region_object
{
    std::string name;
};

// shards: into how many parts the keys of the data centre fall; it must not change while the data
// centre serves.
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

// A strategy for dispatch. Durations are milliseconds.
struct policy_object
{
    std::string name;
    std::uint64_t retry_limit = 2;          // further attempts a task, where it may be repeated
    double retry_budget = 0.1;              // retries as a share of first starts
    std::uint64_t quarantine_after = 3;     // failures in a row before a worker is tested singly
    double quarantine_share = 0.3;          // the largest share of workers out at once
    std::uint64_t queue_ahead = 1;          // tasks sent to a worker beyond its free slots
    std::uint64_t admission_wait_ms = 4000; // the longest expected wait at which jobs are accepted
};

// A range of executors: count of them, on ports first_port, first_port + 1, ... of one address,
// named NAME-1, NAME-2, ...
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

// quota: the most task slots the team may hold at once in one data centre when others want theirs.
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

    // Whether a task of `service` fits at all.
    bool fits(const service_object& service) const;
};

// A whole checked set at one revision. It never changes after it was built.
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
    // The team whose token has this SHA-256 in lower-case hexadecimal; null if none. Takes the
    // same time whichever team matches.
    const team_object* team_of_token(std::string_view sha256_hex) const;
};

using configuration_ptr = std::shared_ptr<const configuration>;

// Checks the set and builds it.
tl::expected<configuration, std::vector<config_fault>>
build_configuration(std::vector<config_object> objects, std::uint64_t revision);

// Reads YAML text with one object a document. Faults name `file` and the line.
tl::expected<std::vector<config_object>, std::vector<config_fault>>
parse_objects(const std::string& text, const std::string& file);

// Reads every *.yaml file of a directory, in the order of names.
tl::expected<std::vector<config_object>, std::vector<config_fault>>
load_directory(const std::string& directory);

// A page that lists every kind with its fields, units and ranges, from the tables that the check
// itself uses.
std::string schema_reference();

// What turns `base` into `wanted`.
struct config_difference
{
    std::vector<config_object> changed;
    std::vector<config_object> removed;
    bool empty() const { return changed.empty() && removed.empty(); }
};
config_difference difference(const std::vector<config_object>& base,
                             const std::vector<config_object>& target);

// `base` with the difference applied.
std::vector<config_object> apply(std::vector<config_object> base, const config_difference& change);

} // namespace egretledge

#endif
