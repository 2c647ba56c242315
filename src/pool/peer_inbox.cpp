#include "pool/peer_inbox.hpp"
#include <algorithm>
#include <tuple>

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

// Returns true if `later` lists each crash of `earlier` in the same state. Long lists are not
// compared.
bool repeats_crashes(const wire::PoolBeat& earlier, const wire::PoolBeat& later)
{
    constexpr int max_compared = 64;
    if (earlier.crashes_size() > max_compared || later.crashes_size() > max_compared)
        return earlier.crashes_size() == 0;
    const auto key = [](const wire::PoolCrash& row)
    {
        return std::tuple(row.job(), row.step(), row.index(), row.worker(), row.start_time_ms(),
                          row.state());
    };
    return std::all_of(earlier.crashes().begin(), earlier.crashes().end(),
                       [&](const auto& row)
                       {
                           return std::any_of(later.crashes().begin(), later.crashes().end(),
                                              [&](const auto& other)
                                              { return key(other) == key(row); });
                       });
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
           is_subsequence(earlier.known(), later.known()) && repeats_crashes(earlier, later) &&
           is_subsequence(earlier.withdrawn(), later.withdrawn());
}

void peer_inbox::push(wire::PeerMessage message, microseconds now)
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
        last = {std::move(message), bytes, now};
        ++m_superseded;
        return;
    }
    queue.push_back({std::move(message), bytes, now});
    ++m_waiting;
    m_bytes += bytes;
}

std::optional<microseconds> peer_inbox::next_arrival() const
{
    if (m_turns.empty())
        return std::nullopt;
    return m_by_host.at(m_turns.front()).front().arrived;
}

std::optional<wire::PeerMessage> peer_inbox::take(microseconds now)
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
    if (next.message.has_pool_job())
    {
        auto& job = *next.message.mutable_pool_job();
        const auto waited = std::chrono::duration_cast<milliseconds>(now - next.arrived);
        job.set_age_ms(job.age_ms() + static_cast<std::uint32_t>(waited.count()));
    }
    return std::move(next.message);
}

} // namespace egretledge::pool
