#ifndef EGRETLEDGE_POOL_SLOT_SCHEDULE_HPP
#define EGRETLEDGE_POOL_SLOT_SCHEDULE_HPP

// A plan of when tasks start and end, on places of which each runs one task at a time. Tasks are
// added in the order in which they will be placed; each takes the places that are free first.

#include "egretledge/types.hpp"
#include <algorithm>
#include <vector>

namespace egretledge::pool
{

class slot_schedule
{
public:
    // `count` places that are free from this time on.
    void add_slots(microseconds free_at, std::uint32_t count)
    {
        for (; count > 0; --count)
        {
            m_free.push_back(free_at);
            std::push_heap(m_free.begin(), m_free.end(), std::greater<>{});
        }
    }
    bool empty() const { return m_free.empty(); }
    // When the next place is free. There must be one.
    microseconds next() const { return m_free.front(); }
    // Adds a task that takes `count` places for `time`, or all if there are fewer. Returns when it
    // ends. There must be a place.
    microseconds add(std::uint32_t count, microseconds time)
    {
        count = std::min(count, static_cast<std::uint32_t>(m_free.size()));
        const auto taken = m_free.end() - static_cast<std::ptrdiff_t>(count);
        for (auto end = m_free.end(); end != taken; --end)
            std::pop_heap(m_free.begin(), end, std::greater<>{});
        // The last of these places decides when it starts.
        const auto ends = *std::max_element(taken, m_free.end()) + time;
        for (auto place = taken; place != m_free.end(); ++place)
        {
            *place = ends;
            std::push_heap(m_free.begin(), place + 1, std::greater<>{});
        }
        return ends;
    }

private:
    std::vector<microseconds> m_free; // a heap, the earliest first
};

// When a job's waiting tasks are placed: the lower, the sooner.
struct scheduling_key
{
    bool not_begun = false;
    bool late = false; // and not begun
    microseconds latest_start{0};
    std::uint32_t priority = 0;
    auto operator<=>(const scheduling_key&) const = default;
};

// What waits of one job, and by when it should have ended.
struct pending_job
{
    scheduling_key at;
    microseconds limit{0};
    std::vector<std::pair<std::uint32_t, microseconds>> tasks; // places that each takes, and time
    bool is_new = false;
};

} // namespace egretledge::pool

#endif
