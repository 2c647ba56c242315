#ifndef EGRETLEDGE_HARNESS_SIMULATION_HPP
#define EGRETLEDGE_HARNESS_SIMULATION_HPP

// A deterministic simulation of several data centres in virtual time. It runs the production
// decision logic (class node) and replaces the interfaces around it with fakes: a network that
// loses and delays messages, a log with outages, a host list that lags, and workers that crash.
// All random choices derive from one seed, so that a run can be repeated exactly.
//
// The fakes are kept small: a delay per message, a set of cut links and a few flags.

#include "core/node.hpp"
#include "harness/history.hpp"
#include "standin/log_model.hpp"
#include "standin/worker_model.hpp"
#include <functional>
#include <queue>
#include <set>

namespace egretledge::harness
{

// The hosts and the number of workers of one data centre.
struct centre_plan
{
    std::string name;
    std::vector<std::string> hosts;
    std::uint32_t workers = 2;
};

struct simulation_settings
{
    std::uint64_t seed = 1;
    std::vector<centre_plan> centres;
    std::uint32_t slots = 4;
    std::uint32_t shards = 4;
    // Interval between two calls of a node's tick().
    microseconds tick = milliseconds{10};
    // Delay of a message in one direction.
    microseconds min_delay{200};
    microseconds max_delay{800};
    double loss = 0;       // probability, per message between hosts
    double duplicates = 0; // probability, per message between hosts
    // The actual lag of the simulated host list.
    milliseconds list_lag{3000};
    // Largest difference between a host's wall clock and true time, in either direction.
    milliseconds max_clock_offset{100};
    milliseconds lease{2000};
    // The largest lag of the host list that the nodes are configured to allow for.
    milliseconds host_list_lag{30000};
    milliseconds snapshot_interval{std::chrono::hours{6}};
    std::string extra_config;    // additional configuration objects, as YAML documents
    bool unsafe_workers = false; // workers ignore fences; the checker must detect this
    bool constant_delay = false; // every message takes min_delay
};

// A state of the fake log.
enum class log_state : std::uint8_t
{
    up,
    down,        // all appends and reads are lost
    lose_answers // appends take effect, but their answers and all reads are lost
};

class simulation
{
public:
    explicit simulation(simulation_settings settings);
    ~simulation();

    microseconds now() const { return m_now; }
    // Runs all events that are due up to and including `when`, and sets the time to it.
    void run_until(microseconds when);
    void run_for(microseconds duration) { run_until(m_now + duration); }
    // Schedules `callback` for the time `when`, or for now if that time has passed.
    void at(microseconds when, std::function<void()> callback);

    // Faults and their repair. kill() ends a host process at once; stop() begins a graceful stop,
    // and a start() that comes during it restarts the process once the stop is complete.
    void kill(const std::string& host);
    void start(const std::string& host);
    void pause(const std::string& host);
    void resume(const std::string& host);
    void stop(const std::string& host);
    // Cuts the link between two hosts, workers, data centres or "log", in both directions.
    void cut(const std::string& a, const std::string& b);
    void heal(const std::string& a, const std::string& b);
    // Removes all cuts and extra delays.
    void heal_all();
    void set_log(log_state state) { m_log_state = state; }
    void set_log_delay(microseconds extra) { m_log_delay = extra; }
    void set_loss(double loss) { m_settings.loss = loss; }
    void set_extra_delay(const std::string& from, const std::string& to, microseconds extra);
    void kill_worker(const std::string& worker);
    void start_worker(const std::string& worker);
    // Reports the worker as leaving in the host list from now on.
    void leave_worker(const std::string& worker) { m_leaving_workers.insert(worker); }
    void set_worker(const std::string& worker,
                    const std::function<void(standin::worker_settings&)>& change);
    // Drops all but the latest `kept` records of each log stream, as retention does.
    void age_out_log(std::size_t kept);
    // Removes a host from the host list although it still runs.
    void unlist(const std::string& host);
    // Appends a publication of the objects in `yaml` to the configuration stream. `base` is the
    // revision that it is based on; 0 means the revision that a reader of the log has reached.
    void publish(const std::string& yaml, std::uint64_t base, const std::string& id);

    // Send a caller's request to a host. Both return the number of the call in the history.
    std::uint64_t submit(const std::string& host, const std::string& key, wire::Job job,
                         const std::string& team = "team-a");
    std::uint64_t send_call(const std::string& host, const std::string& key, wire::CallKind kind,
                            const std::string& team = "team-a");
    // Returns a new key with a data centre as its home and the current true time.
    std::string make_key(const std::string& centre, const std::string& nonce) const;

    history& calls() { return m_history; }
    // Checks the whole history (see history.hpp). Returns the first violation with a description
    // of its job, or an empty string if there is none.
    std::string check_history();

    // Null if the host process is not running.
    node* host(const std::string& name);
    bool alive(const std::string& name) const;
    std::vector<std::string> host_names() const;
    std::vector<std::string> worker_names() const;
    // Null if the worker is not running.
    standin::worker_model* worker(const std::string& name);
    // The sum of the counters of all running hosts.
    node_counters totals() const;
    std::uint64_t log_appends() const { return m_log.appends(); }
    instant clock_of(const std::string& host) const;
    std::string centre_of(const std::string& name) const;
    std::uint64_t messages() const { return m_messages; }
    std::uint64_t message_bytes() const { return m_message_bytes; }
    // Enables printing of the hosts' log lines.
    void trace(bool on) { m_trace = on; }
    void count_bytes(bool on) { m_count_bytes = on; }
    standin::log_model& log() { return m_log; }
    // Returns the hosts that may serve `shard` of a data centre now, by their own clocks.
    std::vector<std::string> serving(const std::string& centre, std::uint32_t shard);

private:
    struct event
    {
        microseconds when{0};
        std::uint64_t sequence = 0;
        std::function<void()> callback;
        bool operator>(const event& other) const
        {
            return std::tie(when, sequence) > std::tie(other.when, other.sequence);
        }
    };
    struct host_state
    {
        std::string name;
        std::string centre;
        std::unique_ptr<node> logic;
        std::uint64_t incarnation = 0;
        bool paused = false;
        microseconds paused_at{0};
        bool stopping = false;
        microseconds stop_begun{0};
        bool restart = false; // start again when the graceful stop is complete
        milliseconds wall_offset{0};
        double rate = 1;
        // The period in which the host list contains the host; negative: not set.
        microseconds listed_from{-1};
        microseconds listed_until{-1};
        bool forced_off_list = false;
        // Inputs that arrived while the process was paused.
        std::vector<std::function<void()>> backlog;
    };
    struct worker_state
    {
        std::string name;
        std::string centre;
        std::unique_ptr<standin::worker_model> model;
        std::uint64_t incarnation = 0;
        std::map<std::uint64_t, std::function<void(worker_answer)>> pending_replies;
        std::uint64_t next_request = 1;
        microseconds next_wake_up = microseconds::max();
        standin::worker_settings settings;
    };

    std::uint64_t call(const std::string& host, wire::Call request, milliseconds time);
    // Schedules `callback` after `delay`.
    void deliver(microseconds delay, std::function<void()> callback);
    // Runs `callback` on the host's node, now or when the host is resumed, and executes the actions
    // that it returns. Does nothing if that incarnation has terminated.
    void run_on_host(const std::string& host, std::uint64_t incarnation,
                     std::function<void(node&, instant, action_list&)> callback);
    void tick_host(const std::string& name, std::uint64_t incarnation);
    void execute_actions(host_state& from, action_list& actions);
    // The following functions execute one action of a node each.
    void send_to_peer(host_state& from, actions::send_peer& message);
    void access_log(host_state& from, const actions::append_log& append);
    void access_log(host_state& from, const actions::read_log& read);
    // Answers a read of the log, and waits for new records until `until` if there are none.
    void answer_read(const std::string& host, std::uint64_t incarnation,
                     const actions::read_log& read, microseconds until);
    void fetch_host_list(host_state& from);
    void send_to_worker(host_state& from, actions::send_worker_request& action);
    void advance_worker(const std::string& name, std::uint64_t incarnation);
    void dispatch_replies(worker_state& worker, std::vector<standin::worker_reply>& replies);
    void schedule_wake_up(worker_state& worker);
    // Whether no cut separates the two, or their data centres.
    bool reachable(const std::string& a, const std::string& b) const;
    bool log_reachable(const std::string& host) const;
    // Draws the delay of a message.
    microseconds delay(const std::string& from, const std::string& to);
    // Returns true with the given probability. Draws nothing for 0.
    bool chance(double probability);
    instant clock(const host_state& host) const;
    instant true_time() const;
    std::string base_config() const;

    simulation_settings m_settings;
    std::mt19937_64 m_random;
    microseconds m_now{0};
    std::uint64_t m_next_sequence = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::map<std::string, host_state> m_hosts;
    std::map<std::string, worker_state> m_workers;
    std::map<std::string, std::string> m_centres; // host or worker -> data centre
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<std::pair<std::string, std::string>, microseconds> m_extra_delays;
    std::set<std::string> m_leaving_workers;
    standin::log_model m_log;
    log_state m_log_state = log_state::up;
    microseconds m_log_delay{0};
    history m_history;
    std::uint64_t m_next_call = 1;
    std::uint64_t m_messages = 0;
    std::uint64_t m_message_bytes = 0;
    bool m_count_bytes = false;
    bool m_trace = false;
};

} // namespace egretledge::harness

#endif
