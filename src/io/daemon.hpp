#ifndef EGRETLEDGE_IO_DAEMON_HPP
#define EGRETLEDGE_IO_DAEMON_HPP

// The process of an entry host. The decision logic runs on one thread, HTTP and the codecs run on a
// pool of I/O threads, and ZeroMQ runs on a thread of its own.

#include "io/config_box.hpp"
#include "io/daemon_contexts.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "io/peer_bus.hpp"
#include "io/platform_client.hpp"
#include "io/settings.hpp"
#include "io/signal_listener.hpp"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>

namespace egretledge
{

// Connects the decision logic to the HTTP server, the peer bus, the platform and the workers.
class entry_daemon
{
public:
    // Starts to listen before it returns. Throws std::exception if the HTTP or peer address cannot
    // be bound; the message names the cause.
    explicit entry_daemon(daemon_settings settings);
    ~entry_daemon();

    // Serves requests until a stop is complete. Returns 0 if the stop was graceful, 1 if
    // daemon_settings::stop_timeout expired first.
    int run();
    // Begins a graceful stop and returns at once. Thread-safe; repeated calls have no effect.
    void request_stop();

    std::uint16_t http_port() const { return m_server.port(); }
    std::string peer_endpoint() const { return m_bus.endpoint(); }

private:
    using responder = http_responder;

    void tick();
    void execute_actions(action_list& actions);
    void send_worker_request(actions::send_worker_request& action);
    void on_request(http_request request, responder respond);
    void on_job_request(http_request request, responder respond, std::string key);
    void submit_call(wire::Call call, responder respond);
    void on_operator_request(const http_request& request, responder respond);
    // Posts `callback` to the logic's thread and executes the actions that it emits. Thread-safe.
    void post_to_logic(std::function<void(node&, instant, action_list&)> callback);
    // Ends run() once a stop is complete or its timeout has expired.
    void finish_stop_if_ready();
    std::string metrics(const node_dump& state);
    // Returns the team that the caller's token belongs to, or an empty string if there is none.
    std::string team_of(const std::string& token) const;
    void update_peer_addresses(const host_listing& listing);
    void on_signal(int number);

    signal_listener m_signals; // before everything that starts a thread
    daemon_settings m_settings;
    daemon_contexts m_contexts;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_io_work;
    boost::asio::steady_timer m_timer;
    node m_logic;
    config_box m_config;
    std::uint64_t m_published_revision = 0;
    bool m_stopping = false;
    int m_exit_code = 0;
    std::chrono::steady_clock::time_point m_stop_start;
    std::uint64_t m_next_call_id = 1;
    // Call id -> job key and responder of the calls that are not answered yet.
    std::map<std::uint64_t, std::pair<std::string, responder>> m_calls;
    http_client m_http;
    platform_client m_platform;
    peer_bus m_bus;
    http_server m_server;
};

// Reads this machine's steady clock and wall clock.
instant read_clocks();

} // namespace egretledge

#endif
