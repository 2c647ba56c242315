// Each limit, less a reserve, is divided by what one worker takes of it; the smallest result
// counts. While the host is overloaded, the number follows what it holds downwards in steps. Each
// lower number is kept for a period and then raised slowly, so that the workers which were handed
// over do not return at once and overload the host again.

#include "pool/host_capacity.hpp"
#include <algorithm>
#include <cmath>

namespace egretledge::pool
{

namespace
{

// A decimal setting such as 0.3 may lie just below a whole number of workers.
constexpr double rounding_margin = 1e-6;

std::uint32_t whole_workers(double workers)
{
    return static_cast<std::uint32_t>(std::clamp(std::floor(workers + rounding_margin), 1.0,
                                                 static_cast<double>(capacity_figures::no_limit)));
}

} // namespace

capacity_figures compute_capacity(const host_capacity_settings& settings,
                                  std::uint32_t default_workers)
{
    const auto& limits = settings.limits;
    capacity_figures figures;
    if (!limits.known())
        return figures;
    figures.by_processor = default_workers;
    if (limits.processor_share > 0)
    {
        const double speed = limits.processor_speed > 0 ? limits.processor_speed : 1;
        const double thousandths = limits.processor_share * speed * 1000;
        figures.by_processor = whole_workers((thousandths - settings.processor_reserve) /
                                             settings.processor_per_worker);
    }
    if (limits.memory_mb > 0)
        figures.by_memory =
            whole_workers((limits.memory_mb * settings.usable_memory - settings.memory_reserve_mb) /
                          settings.memory_per_worker_mb);
    if (limits.link_mbps > 0)
        figures.by_link =
            whole_workers(limits.link_mbps * settings.usable_link / settings.link_per_worker_mbps);
    figures.max_workers = std::min({figures.by_processor, figures.by_memory, figures.by_link});
    return figures;
}

host_capacity::host_capacity(host_capacity_settings settings, std::uint32_t default_workers)
    : m_settings(settings), m_figures(compute_capacity(settings, default_workers)),
      m_current(m_figures.max_workers), m_announced(m_figures.max_workers)
{
}

bool host_capacity::update(microseconds now, bool overloaded, std::size_t held)
{
    if (m_figures.max_workers == 0)
        return false;
    const bool first = m_updated_at.count() < 0;
    const auto passed = first ? microseconds{0} : now - m_updated_at;
    m_updated_at = now;
    const auto computed = static_cast<double>(m_figures.max_workers);
    // A host without workers is overloaded by its callers, which says nothing about workers.
    if (overloaded && held > 0 && now >= m_lowered_until)
    {
        m_current = std::clamp(m_settings.lowered_part * static_cast<double>(held), 1.0,
                               std::max(1.0, m_current));
        m_lowered_until = now + m_settings.lowered_period;
    }
    else if (!overloaded && now >= m_lowered_until)
    {
        const double seconds = static_cast<double>(passed.count()) / 1e6;
        m_current = std::min(computed, m_current + m_settings.raise_per_s * computed * seconds);
    }
    const auto current = whole_workers(m_current);
    const auto change = std::abs(static_cast<double>(current) - m_announced);
    if (current != m_announced &&
        (current == m_figures.max_workers || change >= m_settings.min_change * m_announced))
    {
        m_announced = current;
        return true;
    }
    return first;
}

} // namespace egretledge::pool
