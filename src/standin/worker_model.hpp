#ifndef EGRETLEDGE_STANDIN_WORKER_MODEL_HPP
#define EGRETLEDGE_STANDIN_WORKER_MODEL_HPP

// A model of a worker of the platform, for tests and the demo. It grants leases, runs tasks in
// slots, refuses stale starts and reports results. It does no I/O and reads no clock, so that both
// the scenarios in virtual time and the stand-in daemon can use it.

#include "egretledge/worker_protocol.hpp"
#include <deque>
#include <functional>
#include <map>
#include <set>

namespace egretledge::standin
{

struct worker_settings
{
    std::string name;
    std::uint64_t incarnation = 1;
    std::uint32_t slots = 8;
    milliseconds lease{10000};
    // Records of ended tasks and closed jobs are kept until their jobs are older than this.
    milliseconds record_window{std::chrono::minutes{15}};
    // Added to the steady time that callers pass in, to give the worker's own clock.
    microseconds clock_offset{0};
    // Every task fails.
    bool fail_all = false;
    // Ratio of the actual run time of a task to its declared size.
    double slowness = 1;
    // Accepts every start whatever its lease, sequence or epoch: a defect injected on purpose, to
    // test that the checker detects it.
    bool ignore_fences = false;
};

// A task that this worker started.
struct started_task
{
    job_id job;
    std::uint32_t task = 0;
    microseconds at{0};
    microseconds ended{-1}; // negative while it runs
};

// The answer to the request with this number.
struct worker_reply
{
    std::uint64_t request = 0;
    worker_answer answer;
};

class worker_model
{
public:
    worker_model(worker_settings settings, instant now);

    // Sets the ratio of the actual to the declared run time of tasks that start from now on.
    void set_slowness(double slowness) { m_settings.slowness = slowness; }
    // Handles a request. Appends the answer to `replies`; a result poll that has to wait is
    // answered by a later call.
    void handle_request(instant now, std::uint64_t request, const worker_request& body,
                        std::vector<worker_reply>& replies);
    // Ends the tasks that are due, starts queued tasks in the free slots, and answers waiting
    // polls.
    void advance(instant now, std::vector<worker_reply>& replies);
    // Returns when advance() next has something to do, or microseconds::max() if never.
    microseconds next_event() const;

    const std::vector<started_task>& started() const { return m_started; }
    // The number of starts refused.
    std::uint64_t refused() const { return m_refused_starts; }
    // The number of slots in use.
    std::uint32_t busy() const { return static_cast<std::uint32_t>(m_running.size()); }
    worker_settings& settings() { return m_settings; }

private:
    struct lease_state
    {
        host_ref holder;
        microseconds lease_expiry{0};
    };
    struct holder_state
    {
        std::uint64_t highest_sequence = 0;
        std::uint64_t next_index = 1;
        std::deque<result_line> lines;
    };
    struct pending_task
    {
        start_order order;
        host_ref holder;
        std::uint64_t lease = 0;
    };
    struct running_task
    {
        pending_task pending;
        microseconds started_at{0};
        microseconds ends{0};
        std::size_t started_index = 0; // in m_started
        bool stopped = false;
    };
    struct waiting_poll
    {
        std::uint64_t request = 0;
        result_request body;
        microseconds deadline{0};
    };
    using record_key = std::pair<job_id, std::uint32_t>;

    worker_answer answer(instant now, const lease_request& body);
    worker_answer answer(instant now, const start_batch& body);
    worker_answer answer(instant now, const history_request& body);
    worker_answer answer(instant now, const stop_request& body);
    // Applies the rules for a start, and updates the holder's highest sequence and the shard's
    // fence.
    start_verdict check_start(instant now, const start_batch& batch, const start_order& order);
    // Whether the shard has a fence with a higher epoch than the order's.
    bool fenced(const start_order& order) const;
    void fill_slots(instant now);
    void end_task(instant now, running_task& task);
    void add_result(const pending_task& task, task_end end, microseconds ran, std::string output);
    // Drops the results that the poll acknowledges. Returns false if there are no results and the
    // poll has to wait.
    bool answer_poll(instant now, const waiting_poll& poll, std::vector<worker_reply>& replies);
    // The worker's own clock, in microseconds.
    std::int64_t clock(instant now) const;
    // The number of running and queued tasks.
    std::uint32_t load() const;
    // Removes old records and leases, at most once per cleanup interval.
    void remove_expired(instant now);

    worker_settings m_settings;
    milliseconds m_history_since; // Unix time of the worker's start
    std::uint64_t m_next_lease = 1;
    std::map<std::uint64_t, lease_state> m_leases;
    std::map<host_ref, holder_state> m_holders;
    std::map<std::uint32_t, epoch> m_fences; // shard -> highest epoch seen
    std::deque<pending_task> m_queue;
    std::vector<running_task> m_running;
    std::vector<waiting_poll> m_polls;
    std::map<record_key, std::pair<host_ref, history_record>> m_records;
    std::set<job_id> m_closed_jobs;
    std::map<job_id, history_record> m_closed_records;
    std::vector<started_task> m_started;
    std::uint64_t m_refused_starts = 0;
    microseconds m_next_cleanup{0};
};

} // namespace egretledge::standin

#endif
