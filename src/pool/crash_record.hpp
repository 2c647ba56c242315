#ifndef EGRETLEDGE_POOL_CRASH_RECORD_HPP
#define EGRETLEDGE_POOL_CRASH_RECORD_HPP

// Records which workers crashed under which tasks, on any host, so that a task that crashes its
// workers is given up after two of them, however often its job is submitted again.
//
// A crashed worker sends nothing, and neither does one behind a network partition. A run whose
// worker fell silent is therefore only a suspicion until that worker is heard again: if its process
// has restarted, by a reply or by its registry entry, the suspicion is confirmed; if the same
// process answers, it is cleared.
//
// - One crash or suspicion: the task may start again.
// - Two confirmed crashes: the task is given up.
// - Two, of which some are suspicions: nobody can know yet. The task does not start, and its caller
//   is told so at once: he comes back after a second, and the workers after some seconds. Another
//   start would cost a third worker if the task is at fault. If it is not, two workers that fell
//   silent under it one after the other are rare, and a partition that ends clears them.
//
// A start that the silent worker had not answered may still be carried out, by that worker and
// seconds later. The task does not start anywhere else meanwhile, not even for another submission
// of its job at another host.
//
// Each host announces what it saw in its heartbeats until the receiver has echoed one of them, and
// everything that it knows to a host that it has not heard before. Each host resolves suspicions by
// itself, so that they outlive the host that saw them. A crash that two hosts report counts once:
// it is identified by the task, the worker and the start time of its process.

#include "pool/pool_types.hpp"
#include <boost/unordered/unordered_flat_map.hpp>
#include <deque>

namespace egretledge::pool
{

struct crash_record_settings
{
    // A crash is kept for this long: workers are back after some seconds, callers retry after 1.3 s
    // for as long as they wait.
    milliseconds retention_period{30000};
    // Maximum number of crashes kept (4 MB): 50 workers with 20 runs each crash within 1 s, 30
    // times.
    std::size_t max_known = 30000;
    // Maximum number of crashes in one heartbeat (16 KB): the runs of 20 workers.
    std::size_t max_announced = 400;
    // A task is given up after it has crashed this many workers; the platform permits that from two
    // on.
    std::uint32_t max_crashes = 2;
    // A start without an answer may have arrived after another task had crashed the worker, so it
    // counts only as one of this many. The platform permits five starts.
    std::uint32_t max_crashes_in_doubt = 3;
    // A start without an answer may be carried out for this long after it was suspected. The pool
    // sets held_worker_settings::unanswered_start_timeout.
    milliseconds open_start_timeout{15000};
};

// What is known about the workers that a task was on.
enum class crash_verdict : std::uint8_t
{
    none,
    suspect,   // one worker crashed or fell silent under it
    open,      // a silent worker may still carry out a start of it
    undecided, // as many as max_crashes did, but not all of them are known to have crashed
    deadly     // max_crashes workers crashed under it
};
BOOST_DESCRIBE_ENUM(crash_verdict, none, suspect, open, undecided, deadly)
std::string_view name_of(crash_verdict value);

class crash_record
{
public:
    explicit crash_record(crash_record_settings settings) : m_settings(settings) {}

    // Records that the worker, in the incarnation that started at `start_time_ms`, fell silent
    // while the task may have run on it. `in_doubt`: it had not answered the start.
    void suspect(microseconds now, const task_name& task, const std::string& worker,
                 std::uint64_t start_time_ms, bool in_doubt);
    // Records that this incarnation of the worker ended while the task was, or may have been, on
    // it.
    void confirm(microseconds now, const task_name& task, const std::string& worker,
                 std::uint64_t start_time_ms, bool in_doubt);
    // Numbers of suspicions that were resolved.
    struct resolved
    {
        std::uint32_t confirmed = 0;
        std::uint32_t cleared = 0;
    };
    // Resolves the suspicions about a worker that has answered: its present process started at
    // `start_time_ms`. Ignored if that is 0.
    resolved worker_answered(microseconds now, const std::string& worker,
                             std::uint64_t start_time_ms);
    // Confirms the suspicions about workers whose entry shows a new start time. The old one proves
    // nothing: an entry outlives its worker by seconds.
    resolved on_registry(microseconds now, const worker_registry& registry);
    // Records what a peer announced.
    template <class Field>
    void record_announced(microseconds now, const Field& rows)
    {
        for (const auto& row : rows)
            on_announced(now, row);
    }

    // Returns true if no crash is known of any task.
    bool empty() const { return m_jobs.empty(); }
    // Returns the verdict as of the latest call of evict_expired().
    crash_verdict verdict(const task_name& task) const;
    // Returns the highest verdict of the job's tasks.
    crash_verdict verdict(const std::string& job) const;
    // Removes what is older than `retention_period`. To be called in short intervals.
    void evict_expired(microseconds now);

    // Appends to `out` what this host recorded at or after `since`, the newest first, up to
    // `max_announced`. If `since` is negative, appends what peers announced too.
    template <class Field>
    void announce(microseconds since, Field& out) const
    {
        std::size_t left = m_settings.max_announced;
        for (auto change = m_changes.rbegin();
             change != m_changes.rend() && change->at >= since && left > 0; ++change)
        {
            const auto* known = find(change->job, change->crash);
            if (known == nullptr || known->changed_at != change->at ||
                (since.count() >= 0 && !known->own))
                continue;
            write(change->job, *known, *out.Add());
            --left;
        }
    }
    // Number of changes that this host recorded and has to announce.
    std::uint64_t own_changes() const { return m_own_changes; }
    // Number of crashes and suspicions kept.
    std::size_t known() const;

private:
    enum class crash_state : std::uint8_t
    {
        suspected,
        confirmed,
        cleared
    };
    // Identifies a crash of a worker under a task of a given job.
    struct crash_id
    {
        std::uint32_t step = 0;
        std::uint32_t index = 0;
        std::uint64_t worker = 0; // hash of its id
        std::uint64_t start_time_ms = 0;
        bool operator==(const crash_id&) const = default;
    };
    struct crash
    {
        crash_id id;
        crash_state state = crash_state::suspected;
        bool own = false;      // seen by this host, not announced by a peer
        bool in_doubt = false; // the worker had not answered the start
        microseconds changed_at{0};
        microseconds suspected_at{0}; // since when it has been a suspicion, while it is one
    };
    struct change_entry
    {
        microseconds at{0};
        std::uint64_t job = 0; // hash of its id
        crash_id crash;
    };

    static std::uint64_t hash_of(const std::string& text);
    const crash* find(std::uint64_t job, const crash_id& id) const;
    void set(microseconds now, std::uint64_t job, const crash_id& id, crash_state state, bool own,
             bool in_doubt);
    // Sets each suspicion about the worker to the state that `new_state` returns.
    template <class NewState>
    resolved resolve(microseconds now, std::uint64_t worker, const NewState& new_state);
    void on_announced(microseconds now, const wire::PoolCrash& row);
    static void write(std::uint64_t job, const crash& known, wire::PoolCrash& out);
    crash_verdict verdict(const std::vector<crash>& crashes, std::uint32_t step,
                          std::uint32_t index) const;

    crash_record_settings m_settings;
    microseconds m_now{0}; // of the latest call of evict_expired()
    boost::unordered_flat_map<std::uint64_t, std::vector<crash>> m_jobs; // by the hash of their id
    // The jobs with suspicions about a worker, by the hash of its id.
    boost::unordered_flat_map<std::uint64_t, std::vector<std::uint64_t>> m_suspected_workers;
    std::uint64_t m_own_changes = 0;
    std::deque<change_entry> m_changes; // in order of time; only the latest of a crash counts
};

} // namespace egretledge::pool

#endif
