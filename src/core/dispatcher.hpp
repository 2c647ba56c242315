#ifndef EGRETLEDGE_CORE_DISPATCHER_HPP
#define EGRETLEDGE_CORE_DISPATCHER_HPP

// Brings the tasks of open jobs to the workers of this host's data centre and their results back.
// The algorithm stands at the top of dispatcher.cpp.

#include "core/counters.hpp"
#include "core/job.hpp"
#include "core/messages.hpp"
#include "core/run_times.hpp"
#include "core/service_verdicts.hpp"
#include "core/task_queue.hpp"
#include "core/worker_view.hpp"
#include "egretledge/config.hpp"
#include <boost/unordered/unordered_flat_map.hpp>
#include <memory>
#include <random>

namespace egretledge
{

// Under which epoch, until when, and on which workers tasks of a shard may start.
struct start_permit
{
    epoch owner_epoch;
    microseconds until{0};
    std::uint64_t revision = 0; // workers of later revisions may not be used
};

// Says whether this host may start tasks of a shard now.
class start_gate
{
public:
    virtual ~start_gate() = default;
    virtual bool permit(std::uint32_t shard, instant now, start_permit& granted) const = 0;
};

enum class task_change : std::uint8_t
{
    done,
    failed, // ran and failed
    lost,   // may have run; its worker's process is over
    closed  // a worker recorded that the job is closed
};

struct task_event
{
    job_id job;
    std::uint32_t task = 0;
    task_change change = task_change::done;
    std::string output;
    std::string worker;
};

struct dispatcher_settings
{
    host_ref self;
    std::string data_centre;
    milliseconds lease_check_interval{200};
    milliseconds poll_timeout{5000};
    milliseconds probe_interval{20};
    std::uint32_t max_workers = 64;
};

class dispatcher
{
public:
    dispatcher(dispatcher_settings settings, const start_gate& gate, node_counters& counters,
               std::uint64_t seed);

    // Takes over the workers, services and teams of a configuration. `share` is the part of the
    // data centre's load that this host owns, 0 to 1; teams' quotas are cut to it.
    void configure(configuration_ptr config);
    void set_share(double share) { m_share = share; }
    void set_leaving_workers(const std::vector<std::string>& names);

    // Queues every task of `job` that is not started. The job must stay where it is until drop().
    void enqueue(open_job& job, instant now);
    // Forgets the job; tasks that have started go on.
    void drop(open_job& job);
    // Forgets the job's queued tasks; started ones go on.
    void drop_queued(const open_job& job) { m_queue.drop(job); }
    // Stops the job's tasks and has it recorded as closed, at the workers that have tasks of it or,
    // if none has, at one that had. The first record is reported as task_change::closed.
    void close(const open_job& job, epoch owner_epoch, instant now, action_list& out);
    std::uint32_t worker_index(const std::string& name) const;
    // The name of the worker with this index; empty for open_task::no_worker.
    std::string worker_name(std::uint32_t index) const;
    // Queues one task again.
    void requeue(open_job& job, std::uint32_t task, instant now);

    void on_tick(instant now, action_list& out);
    // An answer to a question of this dispatcher; false if it asked no such question.
    bool on_worker_answer(instant now, std::uint64_t request, worker_answer& answer,
                          std::vector<task_event>& events);
    // Sends what can be sent.
    void pump(instant now, action_list& out);

    // How long a new task would wait before it starts, by what is queued and learned.
    milliseconds expected_wait() const;
    bool over_quota(const std::string& team) const;
    milliseconds expected_run_time(const std::string& service, std::uint32_t declared_ms) const;
    bool any_worker_fits(const service_object& service) const;

    std::size_t queued() const { return m_queue.size(); }
    std::size_t outstanding() const { return m_outstanding_count; }
    const std::vector<std::unique_ptr<worker_view>>& workers() const { return m_workers; }
    std::uint64_t next_request() { return m_next_request++; }

private:
    struct request_context
    {
        std::uint32_t worker = 0;
        std::uint64_t first = 0; // sequences of a start batch, or of the starts in doubt
        std::uint64_t last = 0;
        std::uint64_t lease = 0; // of a start batch
        microseconds sent{0};
        job_id job;
    };

    void send_request(std::uint32_t worker, request_context context, worker_request message, instant now,
             action_list& out);
    void request_lease(std::uint32_t worker, instant now, action_list& out);
    void poll_results(std::uint32_t worker, instant now, action_list& out);
    void request_history(std::uint32_t worker, instant now, action_list& out);
    void send_batch(std::uint32_t worker, instant now, action_list& out);
    bool add_start(std::uint32_t worker, const queued_task& next, const start_permit& permit,
                   instant now);
    int pick_worker(const service_object& service, std::uint64_t revision, instant now);
    void probe_load(instant now, action_list& out);

    void on_grant(instant now, const request_context& context, const lease_grant& grant,
                  std::vector<task_event>& events);
    void on_started(instant now, const request_context& context, const start_reply& reply,
                    std::vector<task_event>& events);
    void on_results(instant now, const request_context& context, result_reply& reply,
                    std::vector<task_event>& events);
    void on_history(instant now, const request_context& context, const history_reply& reply,
                    std::vector<task_event>& events);
    void on_failure(instant now, const request_context& context, const worker_request& message,
                    const error& failure);
    void on_result(instant now, worker_view& worker, result_line& line,
                   std::vector<task_event>& events);
    void update_incarnation(instant now, std::uint32_t worker, std::uint64_t incarnation,
                          std::vector<task_event>& events);
    void report_all_lost(worker_view& worker, std::vector<task_event>& events);
    static void confirm(outstanding_start& start);
    void return_to_queue(worker_view& worker, std::uint64_t sequence, instant now);
    void remove_start(worker_view& worker, std::uint64_t sequence);
    void update_health(instant now, worker_view& worker, const std::string& service, bool success);
    void quarantine(instant now, worker_view& worker, const policy_object& policy);
    bool fits_all_workers(const service_object& service) const;
    void learn_run_time(const outstanding_start& start, const result_line& line);
    void update_load(instant now, worker_view& worker, std::uint32_t all_tasks);
    // How many more tasks the worker may be sent; `queue_ahead` beyond its free slots.
    std::uint32_t free_capacity(const worker_view& worker, std::uint32_t queue_ahead, instant now) const;
    const service_object* service_of(const std::string& name) const;
    double usable_slots() const;

    dispatcher_settings m_settings;
    const start_gate& m_gate;
    node_counters& m_counters;
    std::mt19937_64 m_random;
    configuration_ptr m_config;
    std::vector<std::unique_ptr<worker_view>> m_workers;
    boost::unordered_flat_map<std::string, std::uint32_t> m_worker_index;
    boost::unordered_flat_map<std::uint64_t, std::pair<request_context, worker_request>> m_pending_requests;
    std::vector<std::vector<start_order>> m_batches; // by worker, while pumping
    task_queue m_queue;
    run_times m_run_times;
    service_verdicts m_verdicts;
    double m_share = 1;
    std::size_t m_outstanding_count = 0;
    std::size_t m_quarantined = 0;
    std::uint64_t m_newest_worker_revision = 0; // the revision that last brought a new worker
    std::uint64_t m_next_request = 1;
    microseconds m_next_lease_check{0};
    microseconds m_next_probe{0};
};

} // namespace egretledge

#endif
