#ifndef EGRETLEDGE_IO_DAEMON_HPP
#define EGRETLEDGE_IO_DAEMON_HPP

// An entry host's process: the decision logic on one thread, HTTP and codecs on several others,
// ZeroMQ on its own.

#include "io/config_box.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "io/peer_bus.hpp"
#include "io/platform_client.hpp"
#include "io/settings.hpp"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>

namespace egretledge
{

class entry_daemon
{
public:
    // Listens at once; throws std::exception with a message that names the remedy if it cannot.
    explicit entry_daemon(daemon_settings settings);
    ~entry_daemon();

    // Serves until a stop is complete. Returns 0 if the stop was graceful, 1 if its time limit
    // passed.
    int run();
    // Begins a graceful stop. Any thread may call it.
    void request_stop();

    std::uint16_t http_port() const { return m_server.port(); }
    std::string peer_endpoint() const { return m_bus.endpoint(); }

private:
    using responder = http_responder;

    void tick();
    void execute_actions(action_list& actions);
    void ask_worker(actions::ask_worker& action);
    void on_request(http_request request, responder respond);
    void on_job_request(http_request request, responder respond, std::string key);
    void submit_call(wire::Call call, responder respond);
    void on_operator_request(const http_request& request, responder respond);
    // Runs `callback` on the logic's thread and carries out the actions.
    void with_logic(std::function<void(node&, instant, action_list&)> callback);
    void finish_stop_if_ready();
    std::string metrics(const node_dump& state);
    std::string team_of(const std::string& token) const;
    void update_peer_addresses(const host_listing& listing);
    void handle_signals();

    daemon_settings m_settings;
    boost::asio::io_context m_logic_context{1};
    boost::asio::io_context m_io_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_io_work;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    node m_logic;
    config_box m_config;
    std::uint64_t m_published_revision = 0;
    bool m_stopping = false;
    int m_exit_code = 0;
    std::chrono::steady_clock::time_point m_stop_start;
    std::uint64_t m_next_call_id = 1;
    std::map<std::uint64_t, std::pair<std::string, responder>> m_calls;
    http_client m_http;
    platform_client m_platform;
    peer_bus m_bus;
    http_server m_server;
};

// The clocks of this machine.
instant read_clocks();

} // namespace egretledge

#endif
