#ifndef EGRETLEDGE_IO_STANDIN_SERVER_HPP
#define EGRETLEDGE_IO_STANDIN_SERVER_HPP

// HTTP servers that stand in for the platform: the log with its host list, and workers. They serve
// the demo, tests with real processes, and measurements, and keep all data in memory.

#include "io/http_server.hpp"
#include "standin/log_model.hpp"
#include "standin/worker_model.hpp"
#include <boost/asio/steady_timer.hpp>
#include <mutex>

namespace egretledge::standin
{

// Serves POST and GET /v1/streams/NAME/records, GET and PUT /v1/hosts, and PUT /v1/faults. The last
// injects faults and takes {"down": bool, "lose_answers": bool, "delay_ms": n}; a field that is
// left out turns its fault off. `delay_ms` delays appends.
class platform_server
{
public:
    platform_server(boost::asio::io_context& context, http_server_settings settings);
    ~platform_server();
    std::uint16_t port() const { return m_server.port(); }
    // Returns the number of records appended so far. Thread-safe.
    std::uint64_t appends();

private:
    struct waiting_read
    {
        std::string stream;
        std::uint64_t from = 0;
        std::chrono::steady_clock::time_point until;
        http_responder respond;
    };

    void on_request(http_request request, http_responder respond);
    void on_append(const std::string& stream, std::string data, const http_responder& respond);
    void on_read(const std::string& stream, const std::string& query, http_responder respond);
    // Answers the waiting reads that have records to return or whose wait has expired.
    void answer_ready_reads();
    void schedule_poll();
    // The timer of the polls. A poll that runs or is due on the context's thread shares it, so that
    // the server may be destroyed by another thread meanwhile.
    struct poll_state
    {
        explicit poll_state(boost::asio::io_context& context) : timer(context) {}
        std::mutex mutex; // held during a poll
        bool stopped = false;
        boost::asio::steady_timer timer;
    };

    std::mutex m_mutex;
    log_model m_log;
    std::string m_hosts = R"({"hosts":[],"leaving_workers":[]})";
    bool m_down = false;
    bool m_lose_answers = false;
    std::chrono::milliseconds m_delay{0};
    std::vector<waiting_read> m_waiting;
    boost::asio::io_context& m_context;
    std::shared_ptr<poll_state> m_poll;
    http_server m_server;
};

// Serves one worker: the paths of worker_protocol.hpp, GET /v1/counts, which returns the number of
// tasks started and of starts refused, and PUT /v1/faults with {"fail_all": bool}.
class worker_server
{
public:
    worker_server(boost::asio::io_context& context, http_server_settings http,
                  worker_settings settings);
    ~worker_server();
    std::uint16_t port() const { return m_server.port(); }
    // Returns a copy of the tasks started so far. Thread-safe.
    std::vector<started_task> started();

private:
    void on_request(http_request request, const http_responder& respond);
    void answer(std::vector<worker_reply>& replies);
    void schedule_next_event();

    std::mutex m_mutex;
    worker_model m_model;
    std::uint64_t m_next_request = 1;
    std::map<std::uint64_t, http_responder> m_waiting;
    boost::asio::steady_timer m_timer;
    http_server m_server;
};

} // namespace egretledge::standin

#endif
