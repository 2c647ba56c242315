// Workers without a holder are assigned in the order of their ids, each to a host of its data
// centre. Every host computes the same assignment:
//
// - A settled host is preferred to one that does not know yet which host holds which workers. If
//   only the latter exists, the worker is assigned to it and no other host acquires the worker.
// - A host below the maximum is preferred to a full one. If all are full, the one that holds the
//   fewest workers is chosen.
// - Where both rules apply, a host that has room and is about to settle is preferred to a full one,
//   but a full one to a host that stays unsettled. After a restart of all hosts the first one to
//   settle therefore does not take all workers.
// - A host that already holds workers is preferred to one that holds none, so that few hosts have
//   large pools.
// - Remaining ties are resolved by a hash of data centre and host.
//
// A host that is short of processor time counts as full, whatever it holds: hosts differ in how
// many workers they can serve.
//
// A host that holds more than the maximum, since others were away, or that is short of processor
// time hands workers over while a settled host of their data centre has room. Otherwise the pools
// stay as they are: a move costs the worker's callers a heartbeat's delay.
//
// If a data centre has no host, the hosts of the other data centres serve it by the same rules.

#include "pool/worker_assignment.hpp"
#include <algorithm>
#include <xxhash.h>

namespace egretledge::pool
{

namespace
{

// Returns the position of a host in the order of preference of a data centre; lower is first.
std::uint64_t rank_of(const std::string& data_centre, const std::string& host)
{
    const std::string hash_input = data_centre + "/" + host;
    return XXH64(hash_input.data(), hash_input.size(), 0);
}

// The order of preference of hosts by whether they are settled and have room.
enum class preference : std::uint8_t
{
    settled_with_room,
    settling_with_room,
    settled_and_full,
    unsettled_with_room,
    unsettled_and_full
};

preference preference_of(const candidate_host& host, bool full)
{
    if (host.settled)
        return full ? preference::settled_and_full : preference::settled_with_room;
    if (full)
        return preference::unsettled_and_full;
    return host.settling ? preference::settling_with_room : preference::unsettled_with_room;
}

bool is_full(const candidate_host& host, std::uint32_t max_workers)
{
    return host.overloaded || host.held >= max_workers;
}

// Returns the host that should acquire a worker of `data_centre`; null if there is none.
// `max_workers` is the number of workers at which a host is full.
candidate_host* choose_host(std::vector<candidate_host>& hosts, const std::string& data_centre,
                            std::uint32_t max_workers)
{
    const bool local_host = std::any_of(hosts.begin(), hosts.end(),
                                        [&](const candidate_host& host) {
                                            return !host.leaving && host.data_centre == data_centre;
                                        });
    candidate_host* best = nullptr;
    const auto key = [&](const candidate_host& host)
    {
        const bool full = is_full(host, max_workers);
        return std::make_tuple(preference_of(host, full), full ? host.held : 0, host.held == 0,
                               rank_of(data_centre, host.name));
    };
    for (auto& host : hosts)
    {
        if (host.leaving || (local_host && host.data_centre != data_centre))
            continue;
        if (best == nullptr || key(host) < key(*best))
            best = &host;
    }
    return best;
}

// Returns how many workers of its own data centre this host should hand over.
std::size_t count_handover(const worker_assignment_settings& settings,
                           const candidate_host& this_host,
                           const std::vector<candidate_host>& hosts, std::size_t held)
{
    if (this_host.leaving || !(this_host.overloaded || held > settings.max_workers))
        return 0;
    std::size_t room = 0;
    for (const auto& host : hosts)
        if (host.name != this_host.name && host.data_centre == this_host.data_centre &&
            host.settled && !host.leaving && !is_full(host, settings.max_workers))
            room += settings.max_workers - host.held;
    const std::size_t excess = this_host.overloaded ? held : held - settings.max_workers;
    return std::min({excess, room, static_cast<std::size_t>(settings.max_handover)});
}

} // namespace

worker_assignment choose_workers(const worker_assignment_settings& settings,
                                 const std::string& self, const worker_registry& registry,
                                 const std::vector<candidate_host>& hosts,
                                 const std::set<std::string>& held_elsewhere,
                                 const std::set<std::string>& own)
{
    worker_assignment result;
    auto counts = hosts;
    const auto this_host = std::find_if(
        hosts.begin(), hosts.end(), [&](const candidate_host& host) { return host.name == self; });
    if (this_host == hosts.end())
        return result;
    auto left_to_hand_over = count_handover(settings, *this_host, hosts, own.size());
    for (const auto& [id, entry] : registry)
    {
        if (own.contains(id))
        {
            const auto& centre = entry.data_centre;
            const bool remote = centre != this_host->data_centre;
            const bool local_host =
                std::any_of(hosts.begin(), hosts.end(),
                            [&](const candidate_host& host) {
                                return !host.leaving && host.settled && host.data_centre == centre;
                            });
            if (this_host->leaving || (remote && local_host))
                result.release.push_back(id);
            else if (left_to_hand_over > 0 && !remote && !entry.leaving)
            {
                --left_to_hand_over;
                result.hand_over.push_back(id);
            }
            continue;
        }
        if (held_elsewhere.contains(id) || entry.leaving)
            continue;
        auto* host = choose_host(counts, entry.data_centre, settings.max_workers);
        if (host == nullptr)
            continue;
        ++host->held;
        if (host->name == self && this_host->settled)
            result.acquire.push_back(id);
    }
    return result;
}

} // namespace egretledge::pool
