#ifndef EGRETLEDGE_POOL_WORKER_ASSIGNMENT_HPP
#define EGRETLEDGE_POOL_WORKER_ASSIGNMENT_HPP

// Chooses which workers that no host holds this host should acquire, and which of its own it should
// release to other hosts. The result depends on the arguments only: two hosts with the same
// information never choose the same worker. Two hosts with different information may; the worker's
// fencing token then resolves the conflict.

#include "pool/membership.hpp"

namespace egretledge::pool
{

struct worker_assignment_settings
{
    // Maximum number of workers that a host which announces no number of its own holds while
    // another host has capacity left. More workers improve the packing of tasks; each costs
    // processor time.
    std::uint32_t max_workers = 24;
    // Maximum number of workers that a host with too many hands over at a time: a quarter of a
    // usual pool, since no task is placed on a worker that is being handed over.
    std::uint32_t max_handover = 6;
    // The hosts that share a data centre's workers can serve this many times its workers, so that
    // one of them may be lost or reduce its number without all quotas moving to other hosts.
    double capacity_surplus = 1.25;
    // A host hands workers over only if it exceeds its quota by more than a quarter of the quota
    // and two workers: quotas change whenever a host or worker comes or goes, and each move costs
    // the worker's callers a heartbeat's delay.
    std::uint32_t tolerated_fraction = 4;
    std::uint32_t tolerated_workers = 2;
};

// A host to which workers may be assigned.
struct candidate_host
{
    std::string name;
    std::string data_centre;
    std::uint32_t held = 0; // number of workers held
    bool leaving = false;
    bool settled = true; // knows which host holds which workers; acquires none before
    // Not settled, and heard for the first time or again so lately that it should settle soon.
    bool settling = false;
    // Short of processor time: counts as full, and hands workers over to hosts that are not.
    bool overloaded = false;
    // Number of workers that the host can serve; 0: not announced.
    std::uint32_t max_workers = 0;
};

// Changes to the set of workers held by this host, as worker ids.
struct worker_assignment
{
    std::vector<std::string> acquire;
    // Held here, but to be left to other hosts: this host is leaving, or it is in another data
    // centre than the worker and a settled host is in the worker's own.
    std::vector<std::string> release;
    // Held here beyond what this host can serve while another host of the data centre has room: no
    // more tasks are to be placed on these, and they are to be released once they are idle.
    std::vector<std::string> hand_over;
    // Number of workers that this host should hold, or its maximum if its data centre has no
    // quotas.
    std::uint32_t quota = 0;
};

// `self` is the name of this host; `hosts` are the live hosts including this one. `held_elsewhere`
// are the workers that other live hosts announce; `own` are those held here.
worker_assignment choose_workers(const worker_assignment_settings& settings,
                                 const std::string& self, const worker_registry& registry,
                                 const std::vector<candidate_host>& hosts,
                                 const std::set<std::string>& held_elsewhere,
                                 const std::set<std::string>& own);

} // namespace egretledge::pool

#endif
