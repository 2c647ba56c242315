#ifndef EGRETLEDGE_POOL_PROCESSING_DELAY_HPP
#define EGRETLEDGE_POOL_PROCESSING_DELAY_HPP

// Averages how late this process handles its events, and tells whether it is overloaded.
//
// The owner reports delays that it has seen: of timers, and of messages that wait. A host that is
// short of processor time is late all the while, whereas a process that was paused is late once.
// So a delay counts for the time that it covers, up to `max_sample`, and only a high average that
// lasts makes an overload.

#include "pool/pool_types.hpp"

namespace egretledge::pool
{

struct processing_delay_settings
{
    // Time over which delays are averaged.
    milliseconds averaging_period{500};
    // The delay of a longer pause counts as this much.
    milliseconds max_sample{250};
    // The process is overloaded once the average has been above `overload_delay` for
    // `overload_period`, until it falls below `calm_delay`. An answer of a worker that is handled
    // later than this is taken for lost.
    milliseconds overload_delay{50};
    milliseconds calm_delay{20};
    milliseconds overload_period{1500};
};

class processing_delay
{
public:
    explicit processing_delay(processing_delay_settings settings) : m_settings(settings) {}

    // Records that an event which is handled at `now` was due `delay` ago.
    void observe(microseconds now, microseconds delay);
    // Returns the present average, 0 before the first observation and at most `max_sample`.
    milliseconds average() const;
    bool overloaded() const { return m_overloaded; }

private:
    processing_delay_settings m_settings;
    double m_average_us = 0;
    microseconds m_observed_at{-1}; // -1: never
    microseconds m_high_since{-1};  // start of the average's present time above overload_delay
    bool m_overloaded = false;
};

} // namespace egretledge::pool

#endif
