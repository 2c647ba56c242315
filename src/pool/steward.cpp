// Unheld workers are dealt out in the order of their ids. Each goes to a host of its data centre:
// first to one that already holds some and has room for more, else to the first in the order of a
// hash of data centre and host. So workers gather on few hosts, whose pools are large, and every
// host computes the same. If a data centre has no host, the others serve it, in the order of the
// same hash. A host that does not know yet who holds what is passed over while another one does;
// nobody takes a worker in its place if it is the only one. When all candidates are full, the one
// that holds least takes the worker.

#include "pool/steward.hpp"
#include <algorithm>
#include <xxhash.h>

namespace egretledge::pool
{

namespace
{

std::uint64_t rank_of(const std::string& data_centre, const std::string& host)
{
    const std::string text = data_centre + "/" + host;
    return XXH64(text.data(), text.size(), 0);
}

// The host that should take a worker of `data_centre`; null if nobody may.
candidate* taker(std::vector<candidate>& hosts, const std::string& data_centre, std::uint32_t most)
{
    const bool local_host = std::any_of(
        hosts.begin(), hosts.end(),
        [&](const candidate& host) { return !host.leaving && host.data_centre == data_centre; });
    candidate* best = nullptr;
    const auto key = [&](const candidate& host)
    {
        const bool full = host.held >= most;
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

stewardship choose_workers(const steward_settings& settings, const std::string& self,
                           const worker_registry& registry, const std::vector<candidate>& hosts,
                           const std::set<std::string>& held_elsewhere,
                           const std::set<std::string>& own)
{
    stewardship result;
    auto counts = hosts;
    const auto myself = std::find_if(hosts.begin(), hosts.end(),
                                     [&](const candidate& host) { return host.name == self; });
    if (myself == hosts.end())
        return result;
    for (const auto& [id, entry] : registry)
    {
        if (own.contains(id))
        {
            const auto& centre = entry.data_centre;
            const bool away = centre != myself->data_centre;
            const bool local_host =
                std::any_of(hosts.begin(), hosts.end(),
                            [&](const candidate& host) {
                                return !host.leaving && host.settled && host.data_centre == centre;
                            });
            if (myself->leaving || (away && local_host))
                result.yield.push_back(id);
            continue;
        }
        if (held_elsewhere.contains(id) || entry.leaving)
            continue;
        auto* host = taker(counts, entry.data_centre, settings.most_workers);
        if (host == nullptr)
            continue;
        ++host->held;
        if (host->name == self && myself->settled)
            result.take.push_back(id);
    }
    return result;
}

} // namespace egretledge::pool
