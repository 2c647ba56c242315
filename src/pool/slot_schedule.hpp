#ifndef EGRETLEDGE_POOL_SLOT_SCHEDULE_HPP
#define EGRETLEDGE_POOL_SLOT_SCHEDULE_HPP

// A forecast of when tasks start and end, on slots that run one task at a time. Tasks are added
// in the order in which they will be placed; each takes the slots that become free first.

#include "egretledge/types.hpp"
#include <algorithm>
#include <vector>

namespace egretledge::pool
{

class slot_schedule
{
public:
    // Adds `count` slots that are free from `free_at` on.
    void add_slots(microseconds free_at, std::uint32_t count)
    {
        for (; count > 0; --count)
        {
            m_free.push_back(free_at);
            std::push_heap(m_free.begin(), m_free.end(), std::greater<>{});
        }
    }
    bool empty() const { return m_free.empty(); }
    // Returns how many slots are free at this time.
    std::size_t count_free(microseconds time) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_free.begin(), m_free.end(), [time](microseconds free) { return free <= time; }));
    }
    // Returns when the next slot becomes free. The schedule must not be empty.
    microseconds next_free() const { return m_free.front(); }
    // Adds a task that takes `count` slots for `time`, or all slots if there are fewer. Returns
    // when it ends. The schedule must not be empty.
    microseconds add(std::uint32_t count, microseconds time)
    {
        count = std::min(count, static_cast<std::uint32_t>(m_free.size()));
        const auto first_used = m_free.end() - static_cast<std::ptrdiff_t>(count);
        for (auto end = m_free.end(); end != first_used; --end)
            std::pop_heap(m_free.begin(), end, std::greater<>{});
        // The task starts when the last of these slots becomes free.
        const auto ends = *std::max_element(first_used, m_free.end()) + time;
        for (auto slot = first_used; slot != m_free.end(); ++slot)
        {
            *slot = ends;
            std::push_heap(m_free.begin(), slot + 1, std::greater<>{});
        }
        return ends;
    }

private:
    std::vector<microseconds> m_free; // min-heap of the times at which the slots become free
};

// Orders jobs for the placement of their waiting tasks: lower keys are placed first.
struct scheduling_key
{
    bool not_begun = false;
    bool late = false;            // set only for jobs that have not begun
    microseconds latest_start{0}; // a job that starts later misses its objective
    std::uint32_t priority = 0;
    auto operator<=>(const scheduling_key&) const = default;
};

// The waiting tasks of one job, and the time by which they should have ended.
struct pending_job
{
    scheduling_key key;
    microseconds limit{0};
    std::vector<std::pair<std::uint32_t, microseconds>> tasks; // slots and run time of each
    bool is_new = false;                                       // its admission is being evaluated
};

} // namespace egretledge::pool

#endif
