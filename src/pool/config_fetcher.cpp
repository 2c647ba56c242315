// The peer is chosen by a hash of both hosts' names and the number of the request, so that hosts
// that lack the configuration at the same time ask different peers. The first request goes to a
// peer of the own data centre if one has the configuration.

#include "pool/config_fetcher.hpp"
#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace egretledge::pool
{

std::optional<std::string> config_fetcher::choose_peer(microseconds now, std::uint64_t own_version,
                                                       const membership& peers)
{
    if (own_version != m_own_version)
    {
        m_own_version = own_version;
        m_next_request = microseconds{-1};
        m_asked.clear();
    }
    const auto& self = peers.settings();
    const auto rank = [&](const std::string& name, const peer& host)
    {
        const auto hash_input = self.self.name + "/" + name;
        return std::tuple(m_asked.contains(name),
                          m_requests == 0 && host.data_centre != self.data_centre,
                          XXH64(hash_input.data(), hash_input.size(), m_requests));
    };
    const std::string* best = nullptr;
    std::tuple<bool, bool, std::uint64_t> best_rank;
    for (const auto& [name, host] : peers.all())
    {
        if (host.config_version <= own_version || !peers.alive(name, now))
            continue;
        const auto host_rank = rank(name, host);
        if (best == nullptr || host_rank < best_rank)
        {
            best = &name;
            best_rank = host_rank;
        }
    }
    // The state is kept while no such peer is alive, so that a peer which is silent again and again
    // is not asked again before the others.
    if (best == nullptr)
        return std::nullopt;
    if (m_next_request.count() < 0)
    {
        m_next_request = now + m_settings.store_delay;
        m_retry_interval = m_settings.initial_retry_interval;
        m_requests = 0;
    }
    if (now < m_next_request)
        return std::nullopt;
    if (m_asked.contains(*best))
        m_asked.clear();
    m_asked.insert(*best);
    m_next_request = now + m_retry_interval;
    m_retry_interval = std::min(m_retry_interval * 2, m_settings.max_retry_interval);
    ++m_requests;
    return *best;
}

void config_fetcher::on_busy(microseconds now)
{
    m_next_request = std::min(m_next_request, now + m_settings.busy_retry_delay);
    m_retry_interval = m_settings.initial_retry_interval;
}

bool config_fetcher::accept_request(microseconds now, const std::string& peer_name,
                                    std::uint64_t own_version, const membership& peers)
{
    std::erase_if(m_copies_sent,
                  [&](const auto& copy)
                  {
                      const auto* receiver = peers.find(copy.first);
                      return receiver == nullptr || receiver->config_version >= own_version ||
                             now - copy.second > m_settings.copy_timeout;
                  });
    if (m_copies_sent.size() >= m_settings.max_copies_in_flight)
        return false;
    m_copies_sent[peer_name] = now;
    return true;
}

} // namespace egretledge::pool
