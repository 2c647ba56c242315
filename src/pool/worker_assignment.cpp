// Unheld workers are dealt out in the order of their ids. Each goes to a host of its data centre:
// first to one that already holds some and has room for more, else to the first in the order of a
// hash of data centre and host. So workers gather on few hosts, whose pools are large, and every
// host computes the same. If a data centre has no host, the others serve it, in the order of the
// same hash. A host that does not know yet who holds what is passed over while another one does;
// nobody takes a worker in its place if it is the only one. When all candidates are full, the one
// that holds least takes the worker.

#include "pool/worker_assignment.hpp"
#include <algorithm>
#include <xxhash.h>

namespace egretledge::pool
{

namespace
{

std::uint64_t rank_of(const std::string& data_centre, const std::string& host)
{
    const std::string hash_input = data_centre + "/" + host;
    return XXH64(hash_input.data(), hash_input.size(), 0);
}

// The host that should take a worker of `data_centre`; null if nobody may.
candidate_host* choose_host(std::vector<candidate_host>& hosts, const std::string& data_centre, std::uint32_t max_workers)
{
    const bool local_host = std::any_of(
        hosts.begin(), hosts.end(),
        [&](const candidate_host& host) { return !host.leaving && host.data_centre == data_centre; });
    candidate_host* best = nullptr;
    const auto key = [&](const candidate_host& host)
    {
        const bool full = host.held >= max_workers;
        return std::make_tuple(!host.settled, full, full ? host.held : 0, host.held == 0,
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

} // namespace

worker_assignment choose_workers(const worker_assignment_settings& settings, const std::string& self,
                           const worker_registry& registry, const std::vector<candidate_host>& hosts,
                           const std::set<std::string>& held_elsewhere,
                           const std::set<std::string>& own)
{
    worker_assignment result;
    auto counts = hosts;
    const auto this_host = std::find_if(hosts.begin(), hosts.end(),
                                     [&](const candidate_host& host) { return host.name == self; });
    if (this_host == hosts.end())
        return result;
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
