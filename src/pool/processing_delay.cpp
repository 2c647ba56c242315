#include "pool/processing_delay.hpp"
#include <algorithm>
#include <cmath>

namespace egretledge::pool
{

void processing_delay::observe(microseconds now, microseconds delay)
{
    const auto limit = [&](microseconds time)
    { return std::clamp(time, microseconds{0}, microseconds{m_settings.max_sample}); };
    const auto covered = m_observed_at.count() < 0 ? microseconds{0} : limit(now - m_observed_at);
    m_observed_at = now;
    const microseconds period = m_settings.averaging_period;
    const double weight =
        1 - std::exp(-static_cast<double>(covered.count()) / static_cast<double>(period.count()));
    m_average_us += weight * (static_cast<double>(limit(delay).count()) - m_average_us);
    if (average() >= m_settings.overload_delay)
    {
        if (m_high_since.count() < 0)
            m_high_since = now;
        m_overloaded = m_overloaded || now - m_high_since >= m_settings.overload_period;
        return;
    }
    if (!m_overloaded || average() < m_settings.calm_delay)
    {
        m_high_since = microseconds{-1};
        m_overloaded = false;
    }
}

milliseconds processing_delay::average() const
{
    return milliseconds{std::llround(m_average_us / 1000)};
}

} // namespace egretledge::pool
