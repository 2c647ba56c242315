#ifndef EGRETLEDGE_POOL_STARTED_JOBS_HPP
#define EGRETLEDGE_POOL_STARTED_JOBS_HPP

// Which jobs may have started anywhere lately, so that "not run" is never said of one of them.
//
// A caller that lost its connection submits its job again at any host, and that host may have to
// refuse it. The host which ran the first submission announces each job in its heartbeats, from the
// first start on until the receiver has echoed a heartbeat that came later; so does the caller's
// host for a job that it offered to another one's pool, and a host that takes over a dead one's
// workers for what it finds on them. So the news takes one heartbeat, while a caller comes back a
// second later. After a death the last heartbeat may be missing: then `set_updates_awaited` says so until
// the dead host's workers have been read.
//
// Jobs are kept as 64-bit hashes, 8 bytes each on the wire. Two jobs that share a hash cost one of
// them an honest "unknown" instead of "not run". The trade-off: every host hears of every job,
// which is some kilobytes a second at a few thousand jobs a second; asking all hosts before each
// refusal would cost most when hosts are busiest.

#include "pool/pool_types.hpp"
#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>
#include <deque>

namespace egretledge::pool
{

struct started_jobs_settings
{
    // A job is known for this long, one heard of for up to twice as long. Callers wait 1.5 s and
    // come back 1.3 s later, and some come back seconds after their answer.
    milliseconds retention_period{10000};
    // The most jobs in one heartbeat (32 KB); a receiver that is further behind was cut off.
    std::size_t max_announced = 4096;
    // The most jobs that are kept (16 MB): 10 s of 100,000 jobs a second.
    std::size_t max_known = 1'000'000;
};

class started_jobs
{
public:
    explicit started_jobs(started_jobs_settings settings) : m_settings(settings) {}

    // A start of this job was sent from here, it was offered to a pool that may start it, or a run
    // of it was found on a worker.
    void record(microseconds now, const std::string& job);
    // What one note was for had no effect. If no other note of the job stands, it is not announced
    // any more; who heard of it already keeps it, as this host does if it heard of it elsewhere.
    void withdraw(const std::string& job);
    // A peer announced these hashes.
    template <class Hashes>
    void record_announced(microseconds now, const Hashes& hashes)
    {
        evict_expired(now);
        m_heard.insert(hashes.begin(), hashes.end());
    }
    bool may_have_started(const std::string& job) const;
    // Whether starts may have happened of which no news could come yet.
    void set_updates_awaited(bool awaited) { m_updates_awaited = awaited; }
    bool updates_awaited() const { return m_updates_awaited; }

    // Appends to `out` what was noted at or after `since`, the newest first, up to the limit.
    template <class Field>
    void announce(microseconds since, Field& out) const
    {
        std::size_t left = m_settings.max_announced;
        for (auto entry = m_own.rbegin(); entry != m_own.rend() && left > 0; ++entry, --left)
        {
            if (entry->when < since)
                return;
            const auto noted = m_noted.find(entry->hash);
            if (noted != m_noted.end() && noted->second.when == entry->when)
                out.Add(entry->hash);
        }
    }
    std::size_t known() const { return m_heard.size() + m_older.size() + m_noted.size(); }

private:
    struct own_record
    {
        microseconds when{0}; // the latest note
        std::uint32_t notes = 0;
    };
    // One for each note; only the latest of a job that stands is announced.
    struct own_record_entry
    {
        microseconds when{0};
        std::uint64_t hash = 0;
    };
    // Forgets old notes, and begins a new generation of what was heard when the present one is old
    // or full.
    void evict_expired(microseconds now);

    started_jobs_settings m_settings;
    boost::unordered_flat_set<std::uint64_t> m_heard;
    boost::unordered_flat_set<std::uint64_t> m_older;
    microseconds m_generation_start{0};
    boost::unordered_flat_map<std::uint64_t, own_record> m_noted;
    std::deque<own_record_entry> m_own;
    bool m_updates_awaited = false;
};

} // namespace egretledge::pool

#endif
