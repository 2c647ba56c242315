#ifndef EGRETLEDGE_POOL_UNREAD_WORKERS_HPP
#define EGRETLEDGE_POOL_UNREAD_WORKERS_HPP

// Tracks workers whose holder fell silent and whose lists no host has read since.
//
// Runs that a host started after its last heartbeat are not known to any other host until one has
// acquired its workers and read their lists of running and ended runs. Until then no host can
// answer "not run" for a job that may have been submitted at the silent host.
//
// A worker counts only while some host can read it: it is in the registry, is not leaving, and
// either a live host is in its data centre or this host's own probes of the silent host's workers
// are answered. If a data centre is partitioned with all its hosts and workers, its lists cannot be
// read before the partition ends; callers elsewhere are served and refused as usual meanwhile.

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
        // A live host is in the worker's data centre and can acquire it; this host counts too.
        std::function<bool(const std::string& worker)> can_be_acquired;
        // The worker answered a recent probe of this host.
        std::function<bool(const std::string& worker)> answers;
    };

    // Updates the state from the hosts that are silent now. Hosts that are missing from `silent`
    // are dropped: they send heartbeats again, or their last heartbeat is too long ago. A worker
    // that has been read stays read until its host is dropped.
    void update(const std::vector<membership::silent_host>& silent,
                const worker_predicates& predicates);
    // Returns the workers to probe now: one per silent host, of the workers that no host in their
    // data centre can acquire. `probe_round` should differ between calls and between hosts, so that
    // a worker that is down takes up only some of the probes.
    std::vector<std::string> to_probe(std::uint64_t probe_round) const;
    // Returns true while lists that some host can read have not been read.
    bool awaited() const { return m_awaited; }

private:
    // State of one silent host.
    struct silence
    {
        std::set<std::string> unread;
        // Those of `unread` that only probes of this host can reach.
        std::vector<std::string> remote;
    };
    std::map<host_ref, silence> m_silences;
    bool m_awaited = false;
};

} // namespace egretledge::pool

#endif
