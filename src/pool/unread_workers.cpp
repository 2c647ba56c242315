#include "pool/unread_workers.hpp"
#include <algorithm>

namespace egretledge::pool
{

void unread_workers::update(const std::vector<membership::silent_host>& silent,
                            const worker_predicates& predicates)
{
    m_awaited = false;
    std::map<host_ref, silence> kept;
    for (const auto& host : silent)
    {
        const auto known = m_silences.find(host.ref);
        auto& current = kept[host.ref];
        if (known != m_silences.end())
            current.unread = std::move(known->second.unread);
        else
            current.unread = *host.held;
        std::erase_if(current.unread, predicates.read);
        for (const auto& worker : current.unread)
        {
            if (!predicates.listed(worker))
                continue;
            if (predicates.can_be_acquired(worker))
                m_awaited = true;
            else
                current.remote.push_back(worker);
        }
        m_awaited = m_awaited ||
                    std::any_of(current.remote.begin(), current.remote.end(), predicates.answers);
    }
    m_silences = std::move(kept);
}

std::vector<std::string> unread_workers::to_probe(std::uint64_t probe_round) const
{
    std::vector<std::string> workers;
    for (const auto& [host, silence] : m_silences)
        if (!silence.remote.empty())
            workers.push_back(silence.remote[probe_round % silence.remote.size()]);
    return workers;
}

} // namespace egretledge::pool
