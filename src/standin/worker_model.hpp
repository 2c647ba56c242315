#ifndef EGRETLEDGE_STANDIN_WORKER_MODEL_HPP
#define EGRETLEDGE_STANDIN_WORKER_MODEL_HPP

// A worker as the platform gives it, for tests and the demo: it grants leases, runs tasks in
// slots, refuses what is stale, and reports. It does no I/O and reads no clock, so that scenarios
// in virtual time and the stand-in daemon drive the same model.

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
    milliseconds record_window{std::chrono::minutes{15}};
    // The worker's clock is the given time plus this.
    microseconds clock_offset{0};
    bool fail_all = false;
    // Actual run time as a factor of the declared size.
    double slowness = 1;
    // Breaks the worker's promises on purpose, to show that the checker sees it.
    bool ignore_fences = false;
};

// One task that this worker began to run.
struct started_task
{
    job_id job;
    std::uint32_t task = 0;
    microseconds at{0};
    microseconds ended{-1};
};

struct worker_reply
{
    std::uint64_t request = 0;
    worker_answer answer;
};

class worker_model
{
public:
    worker_model(worker_settings settings, instant now);

    // Answers at once, or later for a question that waits.
    void handle_request(instant now, std::uint64_t request, const worker_question& body,
                        std::vector<worker_reply>& replies);
    // Ends and starts tasks whose time has come, and answers waiting questions.
    void advance(instant now, std::vector<worker_reply>& replies);
    // When advance() has something to do next; microseconds::max() if nothing.
    microseconds next_event() const;

    const std::vector<started_task>& started() const { return m_started; }
    std::uint64_t refused() const { return m_refused_starts; }
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
        std::size_t started_index = 0;
        bool stopped = false;
    };
    struct waiting_poll
    {
        std::uint64_t request = 0;
        result_ask body;
        microseconds deadline{0};
    };
    using record_key = std::pair<job_id, std::uint32_t>;

    worker_answer answer(instant now, const lease_ask& body);
    worker_answer answer(instant now, const start_batch& body);
    worker_answer answer(instant now, const history_ask& body);
    worker_answer answer(instant now, const stop_ask& body);
    start_verdict check_start(instant now, const start_batch& batch, const start_order& order);
    bool fenced(const start_order& order) const;
    void fill_slots(instant now);
    void end_task(instant now, running_task& task);
    void add_result(const pending_task& task, task_end end, microseconds ran, std::string output);
    bool answer_poll(instant now, const waiting_poll& poll, std::vector<worker_reply>& replies);
    std::int64_t clock(instant now) const;
    std::uint32_t load() const;
    void remove_expired(instant now);

    worker_settings m_settings;
    milliseconds m_history_since;
    std::uint64_t m_next_lease = 1;
    std::map<std::uint64_t, lease_state> m_leases;
    std::map<host_ref, holder_state> m_holders;
    std::map<std::uint32_t, epoch> m_fences;
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
