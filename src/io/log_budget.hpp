#ifndef EGRETLEDGE_IO_LOG_BUDGET_HPP
#define EGRETLEDGE_IO_LOG_BUDGET_HPP

// Limits the rate of a process's log lines by a token bucket whose capacity is one second's lines.
// Lines above the rate are counted, so that one later line can report how many were dropped.

#include "egretledge/types.hpp"
#include <algorithm>
#include <utility>

namespace egretledge
{

class log_budget
{
public:
    explicit log_budget(std::uint32_t lines_per_s)
        : m_rate(lines_per_s), m_tokens(static_cast<double>(lines_per_s))
    {
    }

    // Returns true if a line may be written now. Otherwise counts it as dropped.
    bool take(microseconds now)
    {
        constexpr double us_per_s = 1e6;
        m_tokens = std::min(m_rate, m_tokens + static_cast<double>((now - m_last).count()) /
                                                   us_per_s * m_rate);
        m_last = now;
        if (m_tokens < 1)
        {
            ++m_dropped;
            return false;
        }
        m_tokens -= 1;
        return true;
    }
    // Counts a line that passed the limit but was not written.
    void count_dropped() { ++m_dropped; }
    // Returns the number of lines dropped since the last call, and resets it.
    std::uint64_t take_dropped() { return std::exchange(m_dropped, 0); }

private:
    double m_rate;
    double m_tokens;
    microseconds m_last{0};
    std::uint64_t m_dropped = 0;
};

} // namespace egretledge

#endif
