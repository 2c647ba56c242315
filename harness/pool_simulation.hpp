#ifndef EGRETLEDGE_HARNESS_POOL_SIMULATION_HPP
#define EGRETLEDGE_HARNESS_POOL_SIMULATION_HPP

// Simulates entry hosts, pooled workers and callers in virtual time, injects faults and checks
// invariants. The hosts run the same decision code as the daemon. A run is determined by its seed.
//
// The checker observes only workers and callers, not the state of the hosts. Its invariants:
// - The tasks on a worker never exceed its capacity.
// - A task never has two runs at the same time.
// - No task of a job starts if all submissions of the job were refused as not run.
// - No caller receives "not run" for a job of which a task has started.
// - A call is answered as complete only if every task of its job is done.
// - Every call is answered exactly once.
// - No job is refused for want of room for longer than `max_refusal_with_room` and a caller's wait,
//   if its declared and its actual run time allow it to end in time and the workers of a data
//   centre are nearly idle, except during a fault and shortly after it.
// - A job is answered as failed only if one of its tasks used up its attempts or was on two workers
//   when they crashed.
// - A task that crashes its workers is started at most twice after it has crashed three of them.
// - No task starts in an evacuated data centre after the bound. The bound begins anew when a host
//   that neither the store nor a served peer could reach is in touch again.

#include "harness/schedule_digest.hpp"
#include "pool/peer_inbox.hpp"
#include "pool/pool_host.hpp"
#include "standin/pool_worker_model.hpp"
#include <queue>
#include <random>
#include <string_view>

namespace egretledge::harness
{

// The processor of each host and what its work takes on a whole core. The work of a host is done in
// the order in which it arrives, as by one thread.
struct processor_settings
{
    double share = 0; // of a core; 0: work takes no time
    // Shares of the first hosts of each data centre; the others have `share`. If there are any, all
    // hosts know their share and announce how many workers they can serve.
    std::vector<double> first_shares{};
    microseconds receive_message{20};
    microseconds handle_message{20};
    microseconds send_message{25};
    microseconds send_kilobyte{10};
    microseconds send_order{90};
    microseconds handle_reply{70};
    microseconds handle_call{120};
    microseconds answer_call{60};
    microseconds handle_timers{40};
    microseconds start{30000}; // of a process
};

struct pool_simulation_settings
{
    std::uint32_t data_centres = 3;
    std::uint32_t hosts_per_centre = 2;
    std::uint32_t workers_per_centre = 6;
    std::int64_t worker_cpu = 16000;
    std::uint64_t seed = 1;
    // Applies to every host. The simulation fills in the names and addresses.
    pool::pool_host_settings host;
    // The time for which a caller waits for its answer.
    milliseconds caller_wait{3000};
    // If set, a caller retries after every answer that the platform sends as HTTP 504 and after a
    // broken connection. It chooses a host that accepts jobs, mostly in its own data centre, and
    // makes at most `max_calls` calls. If not set, a caller retries only after a broken connection
    // and after outcome::unknown, at the next host, and not if the called host is down.
    bool platform_callers = false;
    std::uint32_t max_calls = 6;
    // If set, messages from one host to another arrive in the order in which they were sent.
    bool ordered_messages = false;
    // A worker that a task has crashed restarts after this time.
    milliseconds crashed_worker_downtime{3000};
    processor_settings processor;
    // If set, a worker that executes an order late counts the lease in it from then. Otherwise the
    // lease ends at the time that the order names.
    bool late_leases = false;
    // If set, hosts read the evacuations from the store, each after a delay of up to this time.
    milliseconds evacuation_read_delay{0};
    // If set, what a schedule asks for is added to digest() and has no effect, except that killed
    // hosts are down until they are started. The digest thus does not depend on the decisions of
    // hosts.
    bool draw_only = false;
};

class pool_simulation
{
public:
    // Starts all hosts and workers.
    explicit pool_simulation(pool_simulation_settings settings);
    ~pool_simulation();

    microseconds now() const { return m_now; }
    // Executes all events that are due up to `time` and sets the clock to it.
    void run_until(microseconds time);
    // Schedules `callback`. Events with equal times run in the order in which they were scheduled.
    void at(microseconds time, std::function<void()> callback);

    // Submits a job of `count` equal tasks to a host. If `retries` is set, the caller submits the
    // job again 1.3 s after a failure; pool_simulation_settings::platform_callers says which
    // failures.
    // `estimate` is the run time that the caller declares: `task_time` unless it is given.
    void submit(std::uint32_t host, const std::string& id, std::uint32_t count,
                pool::resources demand, microseconds task_time, bool retries = false,
                std::optional<milliseconds> estimate = std::nullopt);
    // Closes the connection of the job's open call. The host is notified and the caller does not
    // retry.
    void disconnect_caller(const std::string& id);
    // Closes the connection of the job's open call. The host is notified, and the caller retries if
    // the job was submitted so.
    void reset_caller_connection(const std::string& id);
    // Breaks the connection of the job's open call without notifying the host. The caller retries
    // at the same host, which has not yet detected the end of the first connection.
    void lose_caller_connection(const std::string& id);
    // Resets the connections of all callers whose last call is open at the host.
    void reset_caller_connections(std::uint32_t host);
    // Asks a host for a job, or to cancel it, as a caller does. The jobs in `answered_queries()`
    // are in the order of the answers.
    void query_job(std::uint32_t host, const std::string& id, bool cancel);
    struct answered_query
    {
        std::string job;
        microseconds answered{0};
        pool::job_query_result result = pool::job_query_result::unknown;
    };
    const std::vector<answered_query>& answered_queries() const { return m_answered_queries; }
    // Makes every task of the job that starts from now on fail.
    void make_job_fail(const std::string& id);

    // Makes one task of the job terminate each worker that starts it, 30 ms after the start.
    void make_task_deadly(const std::string& id, std::uint32_t index);
    // Returns how many workers the task of make_task_deadly() has crashed.
    std::uint32_t crashes_by(const std::string& id, std::uint32_t index) const
    {
        const auto crashes = m_crashes.find({id, 0, 0, index});
        return crashes == m_crashes.end() ? 0 : crashes->second;
    }

    // Returns the highest of these numbers.
    std::uint32_t max_crashes_by_task() const
    {
        std::uint32_t highest = 0;
        for (const auto& [task, crashes] : m_crashes)
            highest = std::max(highest, crashes);
        return highest;
    }
    // Returns, for each of these crashes, how many runs of other tasks ended with the worker.
    std::vector<std::uint32_t> runs_lost_with(const std::string& id, std::uint32_t index) const
    {
        const auto lost = m_runs_lost.find({id, 0, 0, index});
        return lost == m_runs_lost.end() ? std::vector<std::uint32_t>{} : lost->second;
    }
    void set_crashed_worker_downtime(milliseconds downtime);

    std::uint32_t centre_count() const { return m_settings.data_centres; }
    std::uint32_t host_count() const { return static_cast<std::uint32_t>(m_hosts.size()); }
    // Terminates the host without notice. The connections of its callers break.
    void kill_host(std::uint32_t host);
    // Starts a new incarnation of the host. Has no effect if the host is up.
    void start_host(std::uint32_t host);
    // Terminates all hosts at once, and starts all of them again after `downtime`, within 0.3 s.
    void restart_all_hosts(microseconds downtime);
    // Pauses the host's process. Its events are deferred until the pause ends.
    void freeze_host(std::uint32_t host, microseconds duration);
    // Holds back messages from other hosts for this time and then delivers them in order. Timers,
    // calls and answers of workers are not affected.
    void block_peer_messages(std::uint32_t host, microseconds duration);
    // Simulates an overloaded host: every event at the host is delayed by a backlog that grows to
    // `max_delay` and shrinks to zero again, both at the rate of the clock. Timers are delayed by
    // at most 100 ms. Has no effect while the host has a backlog.
    void slow_host(std::uint32_t host, microseconds max_delay);
    // Begins a graceful stop.
    void stop_host(std::uint32_t host);
    // Ends a graceful stop that is done or overdue: the host answers what is open, and a call that
    // it has read and leaves open is a violation. The caller of this function ends the process.
    void finish_stop(std::uint32_t host);
    // Returns a null pointer if the host is down.
    const pool::pool_host* host(std::uint32_t index) const;
    // Starts or ends a network partition between two hosts. Messages sent during the partition are
    // lost. With `queue_messages`, those sent before the connection times out (900 ms) are queued
    // instead and arrive after the end of the partition, with a delay of at most its duration. If
    // the partition outlasts the connection timeout, messages on the new connection may overtake
    // them.
    void cut_hosts(std::uint32_t a, std::uint32_t b, bool cut, bool queue_messages = false);
    // Starts or ends a partition between a data centre, counted from 0, and all hosts and workers
    // outside it.
    void cut_data_centre(std::uint32_t centre, bool cut, bool queue_messages);
    // Replaces the connection from one host to another. Messages in flight and messages sent within
    // `gap` are lost.
    void reset_connection(std::uint32_t from, std::uint32_t to, microseconds gap);
    // Resets the connections of both directions.
    void reset_hosts(std::uint32_t a, std::uint32_t b, microseconds gap);
    // Starts or ends a partition in one direction only.
    void cut_one_way(std::uint32_t from, std::uint32_t to, bool cut);
    void cut_worker(std::uint32_t host, std::uint32_t worker, bool cut);
    std::uint32_t worker_count() const { return static_cast<std::uint32_t>(m_workers.size()); }
    standin::pool_worker_model& worker(std::uint32_t index);
    void crash_worker(std::uint32_t index);
    // Requests the evacuation of a data centre, counted from 0, or takes the request back.
    void evacuate(std::uint32_t centre, bool evacuated);
    // The store serves the host again, or does not serve it.
    void cut_store(std::uint32_t host, bool cut);
    // Makes runs on the worker take `slow_factor` times as long, or fail.
    void disturb_worker(std::uint32_t index, double slow_factor, bool failing);
    // Starts a new process of the worker. All hosts read its new registry entry 0.7 s later.
    void restart_worker(std::uint32_t index);
    // Changes the capacity that a worker states in its registry entry, and passes the entry on to
    // all hosts. A smaller capacity is checked from 50 ms later on: orders are under way. The
    // platform allows 4.5 s, since entries are written that late.
    void set_worker_capacity(std::uint32_t index, const pool::resources& capacity);
    // Sets the share of orders to workers that get no answer. Half of these orders are executed
    // after the usual network delay and half 2 to 12 s later. With
    // pool_simulation_settings::late_leases the lease of the latter counts from then.
    void set_unanswered_share(double share);
    // Orders sent to the worker from now on get no answer and are executed this much later. 0 ends
    // that.
    void set_order_delay(std::uint32_t worker, microseconds delay);

    struct call_record
    {
        std::string job;
        microseconds sent{0};
        microseconds answered{-1}; // -1 if there is no answer
        // While the call is open, `detail` holds the index of its host.
        pool::call_answer answer;
        bool broken = false; // The connection ended without an answer.
    };
    const std::vector<call_record>& calls() const { return m_calls; }
    // Returns a null pointer if the job is unknown.
    const call_record* last_call(const std::string& job) const;
    // Returns the longest time for which jobs were refused although there was room for them.
    microseconds longest_refusal_with_room() const { return m_longest_refusal; }
    // Returns the number of task runs that workers started.
    std::size_t starts() const { return m_starts; }
    // Checks the invariants that concern whole jobs and calls, and returns all violations of the
    // run. To be called once, at the end of a run.
    std::vector<std::string> violations();
    // The digest of what was asked for with pool_simulation_settings::draw_only.
    std::uint64_t digest() const { return m_digest.value(); }
    // Prints every event to standard output if set.
    bool trace = false;

private:
    struct host_state;
    // The operator puts the earliest event at the top of the priority queue.
    struct event
    {
        microseconds when{0};
        std::uint64_t order = 0; // Breaks ties between equal times.
        std::function<void()> callback;
        bool operator<(const event& other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };
    // The connection from one host to another.
    struct link
    {
        bool queue_messages = false; // during a partition
        microseconds cut_since{0};
        // The receiver's incarnation when the message was sent, and the message.
        std::vector<std::pair<std::uint64_t, wire::PeerMessage>> queued_messages;
        std::uint64_t connection = 0; // number of resets
        microseconds lost_until{0};   // Messages sent before this time are lost.
        microseconds last_arrival{0};
    };
    struct job_record
    {
        pool::job_request request;
        microseconds task_time{0};
        bool retries = false;
        std::string data_centre;                        // of the caller
        std::map<pool::task_name, std::string> running; // task -> worker
        std::map<pool::task_name, std::uint32_t> done;
        std::map<pool::task_name, std::uint32_t> failures; // runs that ended as failed
        std::map<pool::task_name, std::uint32_t> crashes;  // of workers on which the task ran
        std::size_t starts = 0;
        std::vector<std::size_t> calls;
    };

    // Called first for each request of the schedule. Takes the time of requests that are faults.
    // With draw_only, adds the request to the digest and returns true.
    template <class... Arguments>
    bool only_drawn(std::string_view request, const Arguments&... arguments);
    void add_to_digest(std::string_view text) { m_digest.add(text); }
    void add_to_digest(std::uint64_t number) { m_digest.add(number); }
    void add_to_digest(microseconds time)
    {
        m_digest.add(static_cast<std::uint64_t>(time.count()));
    }
    void add_to_digest(double number) { m_digest.add_real(number); }
    instant current_instant() const;
    microseconds delay();
    void tick(std::uint32_t host, std::uint64_t incarnation);
    using host_callback = std::function<void(pool::pool_host&, instant, pool::action_list&)>;
    // Calls the host after the delay of its backlog, or if its processor is limited once its
    // earlier work is done. `work` is the processor time of the call itself.
    void call_host(std::uint32_t host, const host_callback& callback,
                   microseconds work = microseconds{0});
    // Adds work to a host whose processor is limited.
    void add_work(std::uint32_t host, microseconds work, std::function<void()> callback);
    void do_next_work(std::uint32_t host, std::uint64_t incarnation);
    // Keeps the host's processor busy for this time on a whole core.
    void use_processor(std::uint32_t host, microseconds work);
    // Handles the messages that wait in the host's inbox, in batches.
    void deliver_messages(std::uint32_t host);
    double processor_share(std::uint32_t host) const;
    bool limits_processor() const { return m_settings.processor.share > 0; }
    // Calls the host after the delay `late`, unless its incarnation has ended by then.
    void call_host_after(std::uint32_t host, microseconds late, const host_callback& callback);
    // Calls the host and executes the resulting actions. Deferred until the end of a freeze.
    void call_host_now(std::uint32_t host, const host_callback& callback);
    void execute_actions(std::uint32_t host, pool::action_list& actions);
    void send_message(std::uint32_t from, std::uint32_t to, const wire::PeerMessage& message);
    void schedule_arrival(std::uint32_t from, std::uint32_t to, std::uint64_t incarnation,
                          microseconds when, const wire::PeerMessage& message);
    // Returns `when`, or with ordered messages the arrival time of the link's last message if that
    // is later, and records the result as the last arrival.
    microseconds arrival_time(std::uint32_t from, std::uint32_t to, microseconds when);
    void receive(std::uint32_t to, const wire::PeerMessage& message);
    // Delivers the messages that were queued during a partition.
    void release_messages(std::uint32_t from, std::uint32_t to);
    // Returns the delay by which the host's backlog holds up an event that arrives now.
    microseconds backlog_delay(std::uint32_t host) const;
    void print(const std::string& text) const;
    void print_message(std::uint32_t from, std::uint32_t to, const char* description,
                       const wire::PeerMessage& message) const;
    template <class Order>
    void send_order(std::uint32_t host, const Order& order);
    template <class Order>
    void execute_order(std::uint32_t host, std::uint64_t incarnation, std::uint32_t worker,
                       Order order, bool answered);
    void send_reply(std::uint32_t host, std::uint64_t incarnation, std::uint32_t worker,
                    std::uint64_t request, pool::worker_reply reply);
    void poll_hold(std::uint32_t host, std::uint64_t incarnation, std::uint32_t worker,
                   pool::actions::hold_worker order, microseconds until);
    void on_answer(std::uint32_t host, std::uint64_t call, const pool::call_answer& answer);
    // Returns true if no fault is in force and the last one has been over for `calm_delay`.
    bool is_calm() const;
    // Returns true if the workers of some data centre are nearly idle and have room for two such
    // jobs.
    bool has_room_for(const job_record& job) const;
    // Checks how long jobs have been refused although there was room for them.
    void check_refusal(const call_record& call);
    void break_open_calls(std::uint32_t host);
    // Schedules the caller's next submission, at the host after `host` or, with platform callers,
    // at a host chosen by the platform's rules. Platform callers stop after `max_calls` calls.
    void retry_call(std::uint32_t host, const std::string& job);
    // Returns whether a caller that retries does so after this answer.
    bool retries_after(const pool::call_answer& answer) const;
    std::optional<std::uint32_t> choose_host_for_caller(const std::string& data_centre);
    void send_call(std::uint32_t host, const std::string& id);
    // Returns the host of the job's last call if that call is still open.
    std::optional<std::uint32_t> host_of_open_call(const std::string& id) const;
    void advance_workers();
    void on_started(const std::string& worker, const pool::run_ref& run);
    void on_ended(const std::string& worker, const pool::run_ref& run, pool::run_end end);
    // Returns true while a worker's capacity before its latest change still counts and is enough.
    bool fits_former_capacity(const std::string& worker, const pool::resources& used) const;
    void on_crashed(const std::string& worker, const pool::run_ref& run);
    void add_violation(const std::string& description);
    pool::worker_registry registry() const;
    // Gives the host the present state of the evacuations after a random delay, if the store serves
    // it by then.
    void read_evacuations(std::uint32_t host);
    // Returns true if the store serves the host, or a host that exchanges messages with it.
    bool in_touch(std::uint32_t host) const;
    void check_evacuation(const std::string& worker, const pool::run_ref& run);
    // Passes the present registry on to all hosts.
    void publish_registry();

    pool_simulation_settings m_settings;
    std::mt19937_64 m_random;
    microseconds m_now{0};
    std::uint64_t m_next_order = 0;
    std::priority_queue<event> m_events;
    std::vector<std::unique_ptr<host_state>> m_hosts;
    std::vector<std::unique_ptr<standin::pool_worker_model>> m_workers;
    std::set<std::pair<std::uint32_t, std::uint32_t>> m_cut_hosts;
    std::set<std::pair<std::uint32_t, std::uint32_t>> m_cut_one_way; // from, to
    std::set<std::pair<std::uint32_t, std::uint32_t>> m_cut_workers;
    std::map<std::pair<std::uint32_t, std::uint32_t>, link> m_links; // by sender and receiver
    std::map<std::string, job_record> m_jobs;
    std::set<std::string> m_failing_jobs;
    std::set<pool::task_name> m_deadly_tasks;
    std::map<pool::task_name, std::uint32_t> m_crashes;             // workers that a task crashed
    std::map<pool::task_name, std::uint32_t> m_starts_after_budget; // after its third crash
    std::map<pool::task_name, std::vector<std::uint32_t>> m_runs_lost;
    std::uint32_t m_broken_runs = 0; // of the present crash
    // The capacity that a worker had before it shrank, and until when that counts.
    std::map<std::string, std::pair<microseconds, pool::resources>> m_former_capacity;
    pool::evacuation_state m_evacuations;
    std::map<std::string, microseconds> m_evacuated_at; // by data centre
    std::set<std::uint32_t> m_unserved;                 // hosts that the store does not serve
    microseconds m_out_of_touch_at{-1};                 // when a host was out of touch last
    std::vector<call_record> m_calls;
    std::map<std::uint64_t, std::string> m_open_queries; // call -> job
    std::vector<answered_query> m_answered_queries;
    std::vector<std::string> m_violations;
    microseconds m_last_fault{0}; // a fault began, ended or changed
    std::set<std::uint32_t> m_disturbed_workers;
    // Since then jobs for which there was room have been refused and none was served; -1: none was
    // refused.
    microseconds m_refused_since{-1};
    microseconds m_longest_refusal{0};
    std::size_t m_starts = 0;
    std::map<std::uint32_t, microseconds> m_order_delays; // by worker
    double m_unanswered_share = 0;
    schedule_digest m_digest;
};

} // namespace egretledge::harness

#endif
