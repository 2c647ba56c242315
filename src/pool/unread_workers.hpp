#ifndef EGRETLEDGE_POOL_UNREAD_WORKERS_HPP
#define EGRETLEDGE_POOL_UNREAD_WORKERS_HPP

// Workers whose holder fell silent and whose lists nobody has read since.
//
// What a host started within its last heartbeat is known to nobody else until another host has
// taken its workers and read what runs and what ended there. Until then no host can say "not run"
// of a job that may have been handed in at the silent one.
//
// A worker counts only while somebody can read it: it is listed, does not leave, and either a live
// host is in its data centre or this host's own probes of the silent host's workers are answered.
// A data centre that is cut off with all its hosts and workers could not be read before the cut
// ends; the callers outside are served and refused meanwhile as before.

#include "pool/membership.hpp"

namespace egretledge::pool
{

class unread_workers
{
public:
    // What is known elsewhere about a worker.
    struct worker_predicates
    {
        // A live host, or this one, has taken the worker and read its lists.
        std::function<bool(const std::string& worker)> read;
        // The worker is listed, and nothing says that it is about to end.
        std::function<bool(const std::string& worker)> listed;
        // A live host of the worker's data centre, or this host, can take it.
        std::function<bool(const std::string& worker)> can_be_acquired;
        // The worker answered a probe of this host lately.
        std::function<bool(const std::string& worker)> answers;
    };

    // Takes the hosts that are silent now; those that are heard again or are too long ago are
    // forgotten. A worker that was read once stays read for this silence.
    void update(const std::vector<membership::silent_host>& silent, const worker_predicates& predicates);
    // The workers to probe now, one of each silent host whose workers nobody near can take. `probe_round`
    // should differ from call to call and from host to host, so that a worker that is down is
    // probed in vain only now and then.
    std::vector<std::string> to_probe(std::uint64_t probe_round) const;
    // True while lists that somebody can read have not been read.
    bool awaited() const { return m_awaited; }

private:
    struct silence
    {
        std::set<std::string> unread;
        std::vector<std::string> remote; // those of `unread` that only probes tell of
    };
    std::map<host_ref, silence> m_silences;
    bool m_awaited = false;
};

} // namespace egretledge::pool

#endif
