#include "pool/unread_workers.hpp"
#include <algorithm>

namespace egretledge::pool
{

void unread_workers::update(const std::vector<membership::silent_host>& silent,
                            const worker_predicates& predicates)
{
    m_awaited = false;
    std::map<host_ref, std::set<std::string>> remaining;
    for (const auto& host : silent)
    {
        const auto known = m_unread.find(host.ref);
        auto& workers = remaining[host.ref];
        if (known == m_unread.end())
            workers = *host.held;
        else
            workers = std::move(known->second);
        std::erase_if(workers, predicates.read);
        m_awaited = m_awaited || std::any_of(workers.begin(), workers.end(), predicates.listed);
    }
    m_unread = std::move(remaining);
}

} // namespace egretledge::pool
