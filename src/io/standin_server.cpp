// The servers are thin wrappers around the models that add a lock, a timer and JSON. While the
// fault "down" is on, the platform answers no request except changes of the host list and of the
// faults; callers' requests end by their own timeout. Under "lose_answers", appends are executed
// but neither appends nor reads are answered.

#include "io/standin_server.hpp"
#include "io/codec.hpp"
#include "io/daemon.hpp"
#include <boost/asio/post.hpp>

namespace egretledge::standin
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds poll_interval{2};
constexpr std::string_view streams_path = "/v1/streams/";
constexpr std::string_view records_suffix = "/records";

// Returns the value of a numeric query parameter, or 0 if it is absent.
std::uint64_t query_number(const std::string& query, const std::string& name)
{
    const auto at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos)
        return 0;
    return std::strtoull(query.c_str() + at + name.size() + 1, nullptr, 10);
}

http_response not_found()
{
    return {404, R"({"kind":"not_found"})", "application/json", 0};
}

} // namespace

platform_server::platform_server(boost::asio::io_context& context, http_server_settings settings)
    : m_context(context), m_poll(std::make_shared<poll_state>(context)),
      m_server(context, std::move(settings),
               [this](http_request request, http_responder respond)
               { on_request(std::move(request), std::move(respond)); })
{
    schedule_poll();
}

platform_server::~platform_server()
{
    const std::lock_guard lock(m_poll->mutex);
    m_poll->stopped = true;
}

std::uint64_t platform_server::appends()
{
    const std::lock_guard lock(m_mutex);
    return m_log.appends();
}

void platform_server::schedule_poll()
{
    m_poll->timer.expires_after(poll_interval);
    m_poll->timer.async_wait(
        [this, poll = m_poll](boost::system::error_code code)
        {
            const std::lock_guard lock(poll->mutex);
            if (code || poll->stopped)
                return;
            answer_ready_reads();
            schedule_poll();
        });
}

void platform_server::on_request(http_request request, http_responder respond)
{
    if (request.path == "/v1/hosts")
    {
        const std::lock_guard lock(m_mutex);
        if (request.method == "PUT")
            m_hosts = request.body;
        if (!m_down || request.method == "PUT")
            respond({200, m_hosts, "application/json", 0});
        return;
    }
    if (request.path == "/v1/faults")
    {
        const std::lock_guard lock(m_mutex);
        boost::json::error_code code;
        const auto value = json::parse(request.body, code);
        if (code || !value.is_object())
            return respond({400, "{}", "application/json", 0});
        const auto* down = value.get_object().if_contains("down");
        const auto* lose = value.get_object().if_contains("lose_answers");
        const auto* delay = value.get_object().if_contains("delay_ms");
        m_down = down != nullptr && down->is_bool() && down->get_bool();
        m_lose_answers = lose != nullptr && lose->is_bool() && lose->get_bool();
        m_delay = std::chrono::milliseconds{
            delay != nullptr && delay->is_int64() ? delay->get_int64() : 0};
        return respond({200, "{}", "application/json", 0});
    }
    if (!request.path.starts_with(streams_path) || !request.path.ends_with(records_suffix) ||
        request.path.size() <= streams_path.size() + records_suffix.size())
        return respond(not_found());
    const auto stream = request.path.substr(
        streams_path.size(), request.path.size() - streams_path.size() - records_suffix.size());
    if (request.method == "POST")
        on_append(stream, std::move(request.body), respond);
    else
        on_read(stream, request.query, std::move(respond));
}

void platform_server::on_append(const std::string& stream, std::string data,
                                const http_responder& respond)
{
    std::chrono::milliseconds delay{0};
    {
        const std::lock_guard lock(m_mutex);
        if (m_down)
            return;
        delay = m_delay;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait(
        [this, timer, stream, data = std::move(data), respond](boost::system::error_code)
        {
            const std::lock_guard lock(m_mutex);
            const auto offset = m_log.append(stream, data);
            if (!m_lose_answers)
                respond({200, json::serialize(json::object{{"offset", offset}}), "application/json",
                         0});
        });
}

void platform_server::on_read(const std::string& stream, const std::string& query,
                              http_responder respond)
{
    const std::lock_guard lock(m_mutex);
    if (m_down || m_lose_answers)
        return;
    const std::chrono::milliseconds wait{query_number(query, "wait_ms")};
    m_waiting.push_back({stream, query_number(query, "from"),
                         std::chrono::steady_clock::now() + wait, std::move(respond)});
    boost::asio::post(m_context, [this] { answer_ready_reads(); });
}

void platform_server::answer_ready_reads()
{
    const std::lock_guard lock(m_mutex);
    if (m_down || m_lose_answers)
        return;
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_waiting,
                  [&](waiting_read& read)
                  {
                      const auto page = m_log.read(read.stream, read.from);
                      if (page.entries.empty() && now < read.until)
                          return false;
                      read.respond({200, page_to_json(page), "application/json", 0});
                      return true;
                  });
}

worker_server::worker_server(boost::asio::io_context& context, http_server_settings http,
                             worker_settings settings)
    : m_model(std::move(settings), read_clocks()), m_timer(context),
      m_server(context, std::move(http),
               [this](http_request request, http_responder respond)
               { on_request(std::move(request), respond); })
{
}

worker_server::~worker_server() = default;

std::vector<started_task> worker_server::started()
{
    const std::lock_guard lock(m_mutex);
    return m_model.started();
}

void worker_server::on_request(http_request request, const http_responder& respond)
{
    if (request.path == "/v1/counts")
    {
        const std::lock_guard lock(m_mutex);
        return respond({200,
                        json::serialize(json::object{{"started", m_model.started().size()},
                                                     {"refused", m_model.refused()}}),
                        "application/json", 0});
    }
    if (request.path == "/v1/faults")
    {
        const std::lock_guard lock(m_mutex);
        m_model.settings().fail_all = request.body.find("true") != std::string::npos;
        return respond({200, "{}", "application/json", 0});
    }
    auto parsed_request = request_from_json(request.path, request.body);
    if (!parsed_request)
        return respond({parsed_request.error().kind == error_kind::not_found ? 404U : 400U,
                        to_json(parsed_request.error()), "application/json", 0});
    const std::lock_guard lock(m_mutex);
    const auto number = m_next_request++;
    m_waiting.emplace(number, respond);
    std::vector<worker_reply> replies;
    m_model.handle_request(read_clocks(), number, *parsed_request, replies);
    answer(replies);
    schedule_next_event();
}

void worker_server::answer(std::vector<worker_reply>& replies)
{
    for (auto& reply : replies)
    {
        const auto waiting = m_waiting.find(reply.request);
        if (waiting == m_waiting.end())
            continue;
        waiting->second({200, answer_to_json(reply.answer), "application/json", 0});
        m_waiting.erase(waiting);
    }
}

void worker_server::schedule_next_event()
{
    const auto next = m_model.next_event();
    if (next == microseconds::max())
        return;
    m_timer.expires_at(std::chrono::steady_clock::time_point(next));
    m_timer.async_wait(
        [this](boost::system::error_code code)
        {
            if (code)
                return;
            const std::lock_guard lock(m_mutex);
            std::vector<worker_reply> replies;
            m_model.advance(read_clocks(), replies);
            answer(replies);
            schedule_next_event();
        });
}

} // namespace egretledge::standin
