#ifndef EGRETLEDGE_POOL_UNREAD_WORKERS_HPP
#define EGRETLEDGE_POOL_UNREAD_WORKERS_HPP

// Tracks workers whose holder fell silent and whose lists no host has read since.
//
// Runs that a host started after its last heartbeat are not known to any other host until one has
// acquired its workers and read their lists of running and ended runs. Until then no host can
// answer "not run" for a job that may have been submitted at the silent host.
//
// A worker counts while it is in the registry and is not leaving, whether or not any host can reach
// it: a silent host that is partitioned together with its workers goes on serving the callers that
// reach it, and they may retry on this side of the partition. Trade-off: callers outside the
// partition that could give up are told to retry for as long as it lasts.

#include "pool/membership.hpp"

namespace egretledge::pool
{

class unread_workers
{
public:
    // Predicates about a worker, provided by the caller.
    struct worker_predicates
    {
        // A live host, or this one, has acquired the worker and read its lists.
        std::function<bool(const std::string& worker)> read;
        // The worker is in the registry and is not leaving.
        std::function<bool(const std::string& worker)> listed;
    };

    // Updates the state from the hosts that are silent now. Hosts that are missing from `silent`
    // are dropped: they send heartbeats again, or are no longer known. A worker that has been read
    // stays read until its host is dropped.
    void update(const std::vector<membership::silent_host>& silent,
                const worker_predicates& predicates);
    // Returns true while the lists of a registered worker have not been read.
    bool awaited() const { return m_awaited; }

private:
    std::map<host_ref, std::set<std::string>> m_unread; // by silent host
    bool m_awaited = false;
};

} // namespace egretledge::pool

#endif
