#include "pool/peer_inbox.hpp"
#include <algorithm>

namespace egretledge::pool
{

namespace
{

// Returns true if all values of `part` occur in `whole` in the same order.
template <class Values>
bool is_subsequence(const Values& part, const Values& whole)
{
    auto next = whole.begin();
    for (const auto& value : part)
    {
        next = std::find(next, whole.end(), value);
        if (next == whole.end())
            return false;
        ++next;
    }
    return true;
}

} // namespace

bool supersedes(const wire::PoolBeat& later, const wire::PoolBeat& earlier,
                std::size_t max_announced)
{
    // The state fields are whole in each heartbeat. The lists that a heartbeat may omit once the
    // receiver has them must not be lost with the earlier one: `known` is sent only to a host that
    // has just become alive. `started` repeats all jobs until the receiver echoes, so the later
    // list lacks nothing of an earlier one that was not cut off.
    return later.sequence() > earlier.sequence() && later.address() == earlier.address() &&
           later.echoed_incarnation() == earlier.echoed_incarnation() &&
           later.echoed_sequence() >= earlier.echoed_sequence() &&
           (later.with_held() || !earlier.with_held()) &&
           static_cast<std::size_t>(earlier.started_size()) < max_announced &&
           is_subsequence(earlier.known(), later.known()) &&
           is_subsequence(earlier.withdrawn(), later.withdrawn());
}

void peer_inbox::push(wire::PeerMessage message)
{
    const auto bytes = message.ByteSizeLong();
    auto& queue = m_by_host[message.from().name()];
    if (queue.empty())
        m_turns.push_back(message.from().name());
    else if (auto& last = queue.back();
             message.has_pool_beat() && last.message.has_pool_beat() &&
             message.from().incarnation() == last.message.from().incarnation() &&
             supersedes(message.pool_beat(), last.message.pool_beat(), m_settings.max_announced))
    {
        m_bytes += bytes;
        m_bytes -= last.bytes;
        last = {std::move(message), bytes};
        ++m_superseded;
        return;
    }
    queue.push_back({std::move(message), bytes});
    ++m_waiting;
    m_bytes += bytes;
}

std::optional<wire::PeerMessage> peer_inbox::take()
{
    if (m_turns.empty())
        return std::nullopt;
    auto host = std::move(m_turns.front());
    m_turns.pop_front();
    const auto found = m_by_host.find(host);
    auto next = std::move(found->second.front());
    found->second.pop_front();
    --m_waiting;
    m_bytes -= next.bytes;
    if (found->second.empty())
        m_by_host.erase(found);
    else
        m_turns.push_back(std::move(host));
    return std::move(next.message);
}

} // namespace egretledge::pool
