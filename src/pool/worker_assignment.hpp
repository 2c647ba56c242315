#ifndef EGRETLEDGE_POOL_WORKER_ASSIGNMENT_HPP
#define EGRETLEDGE_POOL_WORKER_ASSIGNMENT_HPP

// Decides which unheld workers this host should take, and which of its own it should leave to
// others. A pure function of what is known: two hosts that know the same never choose the same
// worker; two that know different things may, and then the worker's fence decides.

#include "pool/membership.hpp"

namespace egretledge::pool
{

struct worker_assignment_settings
{
    // Workers that one host holds. More make packing better; each costs processor time.
    std::uint32_t max_workers = 24;
};

// A host as the steward sees it.
struct candidate_host
{
    std::string name;
    std::string data_centre;
    std::uint32_t held = 0;
    bool leaving = false;
    bool settled = true; // knows who holds what; takes nothing before
};

struct worker_assignment
{
    std::vector<std::string> acquire;
    std::vector<std::string>
        release; // held here, but a host of the worker's own data centre may take
};

// `held_elsewhere` are the workers that live hosts announce; `own` are held here. `hosts` includes
// this one.
worker_assignment choose_workers(const worker_assignment_settings& settings, const std::string& self,
                           const worker_registry& registry, const std::vector<candidate_host>& hosts,
                           const std::set<std::string>& held_elsewhere,
                           const std::set<std::string>& own);

} // namespace egretledge::pool

#endif
