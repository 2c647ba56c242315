#ifndef EGRETLEDGE_POOL_STARTED_JOBS_HPP
#define EGRETLEDGE_POOL_STARTED_JOBS_HPP

// Records which jobs may have started on any host recently, so that such a job is never answered
// with "not run".
//
// A caller that lost its connection submits its job again at any host, and that host may have to
// refuse it. Each job is therefore announced in heartbeats, from its first start until the receiver
// has echoed a later heartbeat:
//
// - by the host that ran the first submission,
// - by the caller's host, for a job that it offered to another host's pool,
// - by a host that acquires the workers of a failed host, for the runs that it finds on them.
//
// The update takes one heartbeat, while a caller retries a second later. When a host falls silent,
// its last heartbeat may be missing; set_updates_awaited(true) then applies until the lists of its
// workers have been read. A process that has just started lacks the jobs of the hosts that ended
// before; it reaches_back() far enough only after the retention period.
//
// Jobs are kept as 64-bit hashes, 8 bytes each on the wire. If two jobs share a hash, one of them
// may be answered with "unknown" instead of "not run", which is still correct. Trade-off: every
// host receives every job, some kilobytes per second at a few thousand jobs per second. Querying
// all hosts before each refusal would cost most when the hosts are busiest.

#include "pool/pool_types.hpp"
#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>
#include <deque>

namespace egretledge::pool
{

struct started_jobs_settings
{
    // A job recorded here is kept for this long, a job announced by a peer for up to twice as long.
    // Callers wait 1.5 s and retry 1.3 s later, and some retry seconds after their answer.
    milliseconds retention_period{10000};
    // Maximum number of jobs in one heartbeat (32 KB). A receiver that is further behind was
    // partitioned.
    std::size_t max_announced = 4096;
    // Maximum number of jobs kept (16 MB): 10 s at 100,000 jobs per second.
    std::size_t max_known = 1'000'000;
};

class started_jobs
{
public:
    explicit started_jobs(started_jobs_settings settings) : m_settings(settings) {}

    // Records that the job may have started: a start was sent from here, the job was offered to a
    // pool that may start it, or a run of it was found on a worker.
    void record(microseconds now, const std::string& job);
    // Withdraws one record() call whose start or offer had no effect. If no other call for the job
    // remains, the job is no longer announced. Peers that have received it keep it, and so does
    // this host if a peer announced it.
    void withdraw(const std::string& job);
    // Records the hashes that a peer announced.
    template <class Hashes>
    void record_announced(microseconds now, const Hashes& hashes)
    {
        evict_expired(now);
        m_announced.insert(hashes.begin(), hashes.end());
    }
    bool may_have_started(const std::string& job) const;
    // Sets the time since which this host receives announcements. Jobs that started before it may
    // be missing.
    void set_complete_since(microseconds time) { m_complete_since = time; }
    // Returns true if no job that started within the retention period can be missing because it
    // started before this host received announcements.
    bool reaches_back(microseconds now) const
    {
        return now - m_complete_since >= m_settings.retention_period;
    }
    // Sets whether jobs may have started whose announcement could not arrive yet.
    void set_updates_awaited(bool awaited) { m_updates_awaited = awaited; }
    bool updates_awaited() const { return m_updates_awaited; }

    // Appends to `out` the hashes of jobs recorded at or after `since`, the newest first, up to
    // `max_announced`.
    template <class Field>
    void announce(microseconds since, Field& out) const
    {
        std::size_t left = m_settings.max_announced;
        for (auto entry = m_own_entries.rbegin(); entry != m_own_entries.rend() && left > 0;
             ++entry, --left)
        {
            if (entry->recorded_at < since)
                return;
            const auto found = m_own_records.find(entry->hash);
            if (found != m_own_records.end() && found->second.recorded_at == entry->recorded_at)
                out.Add(entry->hash);
        }
    }
    // Number of hashes kept; a job in several sets counts several times.
    std::size_t known() const
    {
        return m_announced.size() + m_previously_announced.size() + m_own_records.size();
    }

private:
    struct own_record
    {
        microseconds recorded_at{0};    // time of the latest record() call
        std::uint32_t record_count = 0; // record() calls that were not withdrawn
    };
    // One for each record() call. Only the latest one of a job that was not withdrawn is announced.
    struct own_record_entry
    {
        microseconds recorded_at{0};
        std::uint64_t hash = 0;
    };
    // Evicts expired records of this host. Starts a new generation of announced hashes if the
    // current one is older than `retention_period` or full, and evicts the generation before it.
    void evict_expired(microseconds now);

    started_jobs_settings m_settings;
    boost::unordered_flat_set<std::uint64_t> m_announced; // announced by peers, current generation
    boost::unordered_flat_set<std::uint64_t> m_previously_announced; // the generation before
    microseconds m_generation_start{0};
    boost::unordered_flat_map<std::uint64_t, own_record> m_own_records; // by hash
    std::deque<own_record_entry> m_own_entries;                         // in order of time
    bool m_updates_awaited = false;
    microseconds m_complete_since{0};
};

} // namespace egretledge::pool

#endif
