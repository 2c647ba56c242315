#include "pool/unread_workers.hpp"
#include <algorithm>

namespace egretledge::pool
{

void unread_workers::update(const std::vector<members::silent_host>& silent, const oracle& about)
{
    m_awaited = false;
    std::map<host_ref, silence> kept;
    for (const auto& host : silent)
    {
        const auto known = m_silences.find(host.ref);
        auto& now = kept[host.ref];
        if (known != m_silences.end())
            now.unread = std::move(known->second.unread);
        else
            now.unread = *host.held;
        std::erase_if(now.unread, about.read);
        for (const auto& worker : now.unread)
        {
            if (!about.listed(worker))
                continue;
            if (about.has_taker(worker))
                m_awaited = true;
            else
                now.remote.push_back(worker);
        }
        m_awaited = m_awaited || std::any_of(now.remote.begin(), now.remote.end(), about.answers);
    }
    m_silences = std::move(kept);
}

std::vector<std::string> unread_workers::to_probe(std::uint64_t turn) const
{
    std::vector<std::string> workers;
    for (const auto& [host, silence] : m_silences)
        if (!silence.remote.empty())
            workers.push_back(silence.remote[turn % silence.remote.size()]);
    return workers;
}

} // namespace egretledge::pool
