#ifndef EGRETLEDGE_POOL_HOST_CAPACITY_HPP
#define EGRETLEDGE_POOL_HOST_CAPACITY_HPP

// Computes how many workers this host can serve from the limits of its processor, memory and link,
// and reduces that number while the host is overloaded. Hosts announce the number in heartbeats;
// worker_assignment derives quotas from it.

#include "pool/pool_types.hpp"

namespace egretledge::pool
{

// Limits of a host as its settings state them. 0: not known.
struct host_limits
{
    double processor_share = 0; // share of a core
    double processor_speed = 0; // how many times as fast as one core; not known: 1
    double memory_mb = 0;
    double link_mbps = 0;
    bool known() const { return processor_share > 0 || memory_mb > 0 || link_mbps > 0; }
};

struct host_capacity_settings
{
    host_limits limits;
    // Processor time in thousandths of a core. A host of half a core that started 1,050 tasks a
    // second on 88 workers had no time left: 440 above the reserve for heartbeats and callers.
    double processor_reserve = 60;
    double processor_per_worker = 5;
    // Half of the memory and of the link is left for callers and peers.
    double usable_memory = 0.5;
    double memory_reserve_mb = 40;
    double memory_per_worker_mb = 0.5;
    double usable_link = 0.5;
    double link_per_worker_mbps = 0.25;
    // An overloaded host lowers its number to this part of the workers that it holds, keeps it for
    // `lowered_period`, and then raises it by `raise_per_s` of the computed number each second.
    double lowered_part = 0.75;
    milliseconds lowered_period{10000};
    double raise_per_s = 0.1;
    // The announced number changes by at least this part of it, except to reach the computed one:
    // each change moves quotas on all hosts.
    double min_change = 0.25;
};

// How many workers each limit allows. `no_limit` where a limit is not known.
struct capacity_figures
{
    static constexpr std::uint32_t no_limit = 1000000;
    std::uint32_t by_processor = no_limit;
    std::uint32_t by_memory = no_limit;
    std::uint32_t by_link = no_limit;
    std::uint32_t max_workers = 0; // the smallest of them, at least 1; 0: no limit is known
};

// `default_workers` is the number by processor if the processor's share is not known but another
// limit is.
capacity_figures compute_capacity(const host_capacity_settings& settings,
                                  std::uint32_t default_workers);

class host_capacity
{
public:
    host_capacity(host_capacity_settings settings, std::uint32_t default_workers);

    // Updates the number for the current load; `held` is how many workers this host holds. Returns
    // true if the announced number has changed, and at the first call. Does nothing and returns
    // false if no limit is known.
    bool update(microseconds now, bool overloaded, std::size_t held);
    // The number to announce; 0 if no limit is known.
    std::uint32_t max_workers() const { return m_announced; }
    const capacity_figures& figures() const { return m_figures; }

private:
    host_capacity_settings m_settings;
    capacity_figures m_figures;
    double m_current = 0; // before rounding and before small changes are left out
    std::uint32_t m_announced = 0;
    microseconds m_lowered_until{-1}; // -1: not lowered
    microseconds m_updated_at{-1};    // -1: never
};

} // namespace egretledge::pool

#endif
