#ifndef EGRETLEDGE_HARNESS_POOL_SIMULATION_HPP
#define EGRETLEDGE_HARNESS_POOL_SIMULATION_HPP

// Entry hosts and workers of the pooled kind in virtual time, with faults, callers and a checker.
// The same seed gives the same run. The hosts run the daemon's own decision code.
//
// The checker watches workers and callers only: a worker's capacity is never exceeded, no task runs
// twice at once, nothing of a job starts once all its submissions were refused, no caller is told
// "not run" of a job that has started, a complete answer covers every task, and every call is
// answered once.

#include "pool/pool_host.hpp"
#include "standin/pool_worker_model.hpp"
#include <queue>
#include <random>

namespace egretledge::harness
{

struct pool_simulation_settings
{
    std::uint32_t data_centres = 3;
    std::uint32_t hosts_per_centre = 2;
    std::uint32_t workers_per_centre = 6;
    std::int64_t worker_cpu = 16000;
    std::uint64_t seed = 1;
    pool::pool_host_settings host; // names are filled in
    // How long a caller waits for its answer.
    milliseconds caller_wait{3000};
    // A caller comes back after every answer that the platform sends as 504 and after a broken
    // connection, at a host that takes callers, mostly one of its data centre; it calls at most
    // `max_calls` times. Without this it comes back after a kill of its host and after
    // outcome::unknown only, at the next host.
    bool platform_callers = false;
    std::uint32_t max_calls = 6;
    // Messages from one host to another arrive in the order in which they were sent.
    bool ordered_messages = false;
};

class pool_simulation
{
public:
    explicit pool_simulation(pool_simulation_settings settings);
    ~pool_simulation();

    microseconds now() const { return m_now; }
    void run_until(microseconds time);
    void at(microseconds time, std::function<void()> callback);

    // Submits a job of `count` equal tasks at a host. If `retries`, its caller submits it again
    // 1.3 s later; see pool_simulation_settings::platform_callers.
    void submit(std::uint32_t host, const std::string& id, std::uint32_t count, pool::room demand,
                microseconds task_time, bool retries = false);
    void disconnect_caller(const std::string& id);
    // The caller's connection breaks while its host lives.
    void reset_caller_connection(const std::string& id);
    // The caller's connection breaks and the host does not notice: the end of the connection is
    // still under way when the caller comes back, to the same host.
    void lose_caller_connection(const std::string& id);
    // All callers' connections to the host break.
    void reset_caller_connections(std::uint32_t host);
    void make_job_fail(const std::string& id) { m_failing_jobs.insert(id); }

    std::uint32_t centre_count() const { return m_settings.data_centres; }
    std::uint32_t host_count() const { return static_cast<std::uint32_t>(m_hosts.size()); }
    void kill_host(std::uint32_t host);
    void start_host(std::uint32_t host);
    void freeze_host(std::uint32_t host, microseconds time);
    // Messages from other hosts wait for this time, in order, while its timers, its callers and its
    // workers' answers go on.
    void block_peer_messages(std::uint32_t host, microseconds time);
    // All that reaches the host waits in a backlog, which grows to `max_delay` and shrinks again
    // within twice that time. Timers take turns with the backlog. No effect while there is a
    // backlog.
    void slow_host(std::uint32_t host, microseconds max_delay);
    void stop_host(std::uint32_t host); // gracefully
    const pool::pool_host* host(std::uint32_t index) const;
    // While two hosts are cut from each other their messages are lost. If they wait, those sent
    // before the connection counts as lost arrive after the cut has healed, within the time for
    // which it lasted; after a long cut later ones may overtake them on a new connection.
    void cut_hosts(std::uint32_t a, std::uint32_t b, bool cut, bool queue_messages = false);
    // Cuts the hosts and workers of a data centre, counted from 0, from all outside it.
    void cut_data_centre(std::uint32_t centre, bool cut, bool queue_messages);
    // The connection is replaced: what is under way, and what is sent within `gap`, is lost. Two
    // hosts have one connection for each direction; the second function resets both.
    void reset_connection(std::uint32_t from, std::uint32_t to, microseconds gap);
    void reset_hosts(std::uint32_t a, std::uint32_t b, microseconds gap);
    // Messages from one host to another are lost; the other way they pass.
    void cut_one_way(std::uint32_t from, std::uint32_t to, bool cut);
    void cut_worker(std::uint32_t host, std::uint32_t worker, bool cut);
    std::uint32_t worker_count() const { return static_cast<std::uint32_t>(m_workers.size()); }
    standin::pool_worker_model& worker(std::uint32_t index);
    void crash_worker(std::uint32_t index);
    void restart_worker(std::uint32_t index);
    // This share of orders gets no answer and is carried out seconds later.
    void set_unanswered_share(double share) { m_unanswered_share = share; }

    // What happened.
    struct call_record
    {
        std::string job;
        microseconds sent{0};
        microseconds answered{-1};
        pool::call_answer answer;
        bool broken = false; // the connection ended without an answer
    };
    const std::vector<call_record>& calls() const { return m_calls; }
    const call_record* last_call(const std::string& job) const;
    std::size_t starts() const { return m_starts; }
    // Empty if all rules were kept. Checks at the end of a run too.
    std::vector<std::string> violations();
    // Set to see every event on standard output.
    bool trace = false;

private:
    struct host_slot;
    struct event
    {
        microseconds when{0};
        std::uint64_t order = 0;
        std::function<void()> callback;
        bool operator<(const event& other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };
    // The messages from one host to another.
    struct link
    {
        bool queue_messages = false; // while it is cut
        microseconds cut_since{0};
        // With the receiver's life.
        std::vector<std::pair<std::uint64_t, wire::PeerMessage>> queued_messages;
        std::uint64_t connection = 0;
        microseconds lost_until{0};
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
        std::size_t starts = 0;
        std::vector<std::size_t> calls;
    };

    instant current_instant() const;
    microseconds delay();
    void tick(std::uint32_t host, std::uint64_t incarnation);
    void
    call_host(std::uint32_t host,
              const std::function<void(pool::pool_host&, instant, pool::action_list&)>& callback);
    // Decides after the time for which it waits in a backlog.
    void call_host_after(
        std::uint32_t host, microseconds late,
        const std::function<void(pool::pool_host&, instant, pool::action_list&)>& callback);
    // Decides now, or after a freeze.
    void call_host_now(
        std::uint32_t host,
        const std::function<void(pool::pool_host&, instant, pool::action_list&)>& callback);
    void execute_actions(std::uint32_t host, pool::action_list& actions);
    void send_message(std::uint32_t from, std::uint32_t to, const wire::PeerMessage& message);
    void schedule_arrival(std::uint32_t from, std::uint32_t to, std::uint64_t incarnation,
                          microseconds when, const wire::PeerMessage& message);
    // The time, or that of the last message on the connection if that is later.
    microseconds arrival_time(std::uint32_t from, std::uint32_t to, microseconds when);
    void receive(std::uint32_t to, const wire::PeerMessage& message);
    // Sends what waited for the end of a cut.
    void release_messages(std::uint32_t from, std::uint32_t to);
    // How late the host handles what reaches it now.
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
    void break_open_calls(std::uint32_t host);
    // The caller submits the job again, at the host after this one or where the platform sends it.
    void retry_call(std::uint32_t host, const std::string& job);
    bool retries_after(const pool::call_answer& answer) const;
    std::optional<std::uint32_t> choose_host_for_caller(const std::string& data_centre);
    void send_call(std::uint32_t host, const std::string& id);
    // The host of the job's last call if that is still open.
    std::optional<std::uint32_t> host_of_open_call(const std::string& id) const;
    void advance_workers();
    void on_started(const std::string& worker, const pool::run_ref& run);
    void on_ended(const std::string& worker, const pool::run_ref& run, pool::run_end end);
    void add_violation(const std::string& description);
    pool::worker_registry registry() const;

    pool_simulation_settings m_settings;
    std::mt19937_64 m_random;
    microseconds m_now{0};
    std::uint64_t m_next_order = 0;
    std::priority_queue<event> m_events;
    std::vector<std::unique_ptr<host_slot>> m_hosts;
    std::vector<std::unique_ptr<standin::pool_worker_model>> m_workers;
    std::set<std::pair<std::uint32_t, std::uint32_t>> m_cut_hosts;
    std::set<std::pair<std::uint32_t, std::uint32_t>> m_cut_one_way; // from, to
    std::set<std::pair<std::uint32_t, std::uint32_t>> m_cut_workers;
    std::map<std::pair<std::uint32_t, std::uint32_t>, link> m_links; // by sender and receiver
    std::map<std::string, job_record> m_jobs;
    std::set<std::string> m_failing_jobs;
    std::vector<call_record> m_calls;
    std::vector<std::string> m_violations;
    std::size_t m_starts = 0;
    double m_unanswered_share = 0;
};

} // namespace egretledge::harness

#endif
