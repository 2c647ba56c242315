#ifndef EGRETLEDGE_CORE_DISPATCHER_HPP
#define EGRETLEDGE_CORE_DISPATCHER_HPP

// Sends the tasks of open jobs to the workers of this host's data centre and collects the results.
// The algorithm is described at the top of dispatcher.cpp.

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

// The conditions under which tasks of a shard may start.
struct start_permit
{
    epoch owner_epoch;
    microseconds until{0};      // end of the permit, on this host's steady clock
    std::uint64_t revision = 0; // workers added by a later configuration revision may not be used
};

// Decides whether this host may start tasks of a shard.
class start_gate
{
public:
    virtual ~start_gate() = default;
    // Returns false if no task of `shard` may start now; otherwise fills in `granted`.
    virtual bool permit(std::uint32_t shard, instant now, start_permit& granted) const = 0;
};

enum class task_change : std::uint8_t
{
    done,
    failed, // the task ran and failed
    lost,   // the worker's process ended; the task may have run
    closed  // a worker recorded the job as closed
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
    milliseconds poll_timeout{5000}; // how long a worker holds a request for results open
    milliseconds probe_interval{20};
    std::uint32_t max_workers = 64; // on which this host holds leases at a time
};

class dispatcher
{
public:
    dispatcher(dispatcher_settings settings, const start_gate& gate, node_counters& counters,
               std::uint64_t seed);

    // Applies the workers, services and teams of a configuration. Each team's quota is scaled to
    // this host's share of the load.
    void configure(configuration_ptr config);
    // Sets the share of the data centre's load that this host owns, 0 to 1. The quotas follow at
    // the next configure().
    void set_share(double share) { m_share = share; }
    // Marks exactly these workers as leaving. A leaving worker is sent no further tasks.
    void set_leaving_workers(const std::vector<std::string>& names);

    // Queues every task of `job` that has not started. The dispatcher keeps pointers to `job`, so
    // it must stay at its address until drop().
    void enqueue(open_job& job, instant now);
    // Removes the job's queued tasks and every reference to the job. Started tasks keep running,
    // but their results are no longer reported.
    void drop(open_job& job);
    // Removes the job's queued tasks. Started tasks keep running.
    void drop_queued(const open_job& job) { m_queue.drop(job); }
    // Asks the workers that run tasks of the job to stop them and to record the job as closed. If
    // no worker runs a task of it, one that ran a task records it. Each worker's confirmation of
    // the record is reported as task_change::closed.
    void close(const open_job& job, epoch owner_epoch, instant now, action_list& out);
    // Returns open_task::no_worker for an unknown name.
    std::uint32_t worker_index(const std::string& name) const;
    // Returns an empty name for open_task::no_worker.
    std::string worker_name(std::uint32_t index) const;
    // Marks one task as not started and queues it again.
    void requeue(open_job& job, std::uint32_t task, instant now);

    void on_tick(instant now, action_list& out);
    // Handles a worker's answer and appends the resulting events. Returns false if `request` is not
    // a pending request of this dispatcher.
    bool on_worker_answer(instant now, std::uint64_t request, worker_answer& answer,
                          std::vector<task_event>& events);
    // Assigns queued tasks to workers with free capacity and sends the start batches.
    void pump(instant now, action_list& out);

    // Returns the time that a new task would wait before it starts: the expected run time of all
    // queued tasks divided by the usable slots.
    milliseconds expected_wait() const;
    // Returns the number of slots of this host's share of the workers, at least 1.
    double usable_slots() const;
    bool over_quota(const std::string& team) const;
    // Returns the declared run time of a task of `service`: the service's configured one if
    // `declared_ms` is 0.
    milliseconds declared_run_time(const std::string& service, std::uint32_t declared_ms) const;
    // Returns that run time, corrected by the run times observed.
    milliseconds expected_run_time(microseconds now, const std::string& service,
                                   std::uint32_t declared_ms) const;
    // Returns true if at least one configured worker can run tasks of `service`.
    bool any_worker_fits(const service_object& service) const;

    std::size_t queued() const { return m_queue.size(); }
    std::size_t outstanding() const { return m_outstanding_count; }
    const std::vector<std::unique_ptr<worker_view>>& workers() const { return m_workers; }
    std::uint64_t next_request() { return m_next_request++; }

private:
    // What is kept about a request until its answer comes.
    struct request_context
    {
        std::uint32_t worker = 0;
        std::uint64_t first = 0; // sequences of a start batch, or of the starts in doubt
        std::uint64_t last = 0;
        std::uint64_t lease = 0; // of a start batch
        microseconds sent{0};
        job_id job; // of a close request
    };

    void send_request(std::uint32_t worker, request_context context, worker_request message,
                      instant now, action_list& out);
    void request_lease(std::uint32_t worker, instant now, action_list& out);
    void poll_results(std::uint32_t worker, instant now, action_list& out);
    void request_history(std::uint32_t worker, instant now, action_list& out);
    void send_batch(std::uint32_t worker, instant now, action_list& out);
    bool add_start(std::uint32_t worker, const queued_task& next, const start_permit& permit,
                   instant now);
    int choose_worker(const service_object& service, std::uint64_t revision, instant now);
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
    void learn_run_time(microseconds now, const outstanding_start& start, const result_line& line);
    void update_load(instant now, worker_view& worker, std::uint32_t all_tasks);
    // Returns how many more tasks the worker may be sent: its free slots plus `queue_ahead`.
    std::uint32_t free_capacity(const worker_view& worker, std::uint32_t queue_ahead,
                                instant now) const;
    const service_object* service_of(const std::string& name) const;
    dispatcher_settings m_settings;
    const start_gate& m_gate;
    node_counters& m_counters;
    std::mt19937_64 m_random;
    configuration_ptr m_config;
    std::vector<std::unique_ptr<worker_view>> m_workers;
    boost::unordered_flat_map<std::string, std::uint32_t> m_worker_index;
    // By request number.
    boost::unordered_flat_map<std::uint64_t, std::pair<request_context, worker_request>>
        m_pending_requests;
    std::vector<std::vector<start_order>> m_batches; // by worker; filled only within pump()
    task_queue m_queue;
    run_times m_run_times;
    service_verdicts m_verdicts;
    double m_share = 1;
    std::size_t m_outstanding_count = 0;
    std::size_t m_quarantined = 0;
    std::uint64_t m_newest_worker_revision = 0; // latest revision that added a worker
    std::uint64_t m_next_request = 1;
    microseconds m_next_lease_check{0};
    microseconds m_next_probe{0};
};

} // namespace egretledge

#endif
