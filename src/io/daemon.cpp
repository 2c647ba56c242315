// The process has three kinds of threads:
//
//   - The logic's thread owns the node, runs a timer, and is the only thread that accesses decision
//     state.
//   - The I/O threads read and write HTTP, parse and build JSON, hash tokens, and look them up in
//     the configuration by read-copy-update. This leaves only the decision itself to the logic's
//     thread.
//   - The peer bus's thread sends and receives the messages of other entry hosts.
//
// Threads hand work to each other by posting closures. The only lock on the path of a request is
// the one that guards Asio's own queue.

#include "io/daemon.hpp"
#include "core/wire.hpp"
#include "io/codec.hpp"
#include "io/dump_json.hpp"
#include "io/logging.hpp"
#include <boost/asio/post.hpp>
#include <csignal>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace egretledge
{

namespace net = boost::asio;

namespace
{

constexpr std::chrono::milliseconds tick_interval{5};
constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr std::string_view jobs_path = "/v1/jobs";

http_response to_response(const std::string& key, const wire::Answer& answer)
{
    http_response response;
    response.status = row_of(kind_of(answer)).http_status;
    response.body = answer_to_json(key, answer);
    constexpr std::uint32_t ms_per_s = 1000;
    if (answer.retry_after_ms() > 0)
        response.retry_after_s = (answer.retry_after_ms() + ms_per_s - 1) / ms_per_s;
    return response;
}

http_response to_response(const std::string& key, answer_kind kind, std::string detail = {})
{
    return to_response(key, make_answer(kind, std::move(detail)));
}

// Compares in a time that depends on the lengths only, so that the time of a refusal does not
// reveal how much of a token's digest matched.
bool constant_time_equal(std::string_view a, std::string_view b)
{
    unsigned difference = a.size() == b.size() ? 0U : 1U;
    for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i)
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    return difference == 0;
}

} // namespace

instant read_clocks()
{
    using std::chrono::duration_cast;
    return {duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()),
            duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())};
}

entry_daemon::entry_daemon(daemon_settings settings)
    : m_settings(std::move(settings)), m_io_work(m_contexts.io.get_executor()),
      m_timer(m_contexts.logic),
      m_logic(
          [this]
          {
              auto logic = m_settings.logic;
              logic.self = {m_settings.name,
                            static_cast<std::uint64_t>(read_clocks().wall.count())};
              logic.data_centre = m_settings.data_centre;
              return logic;
          }(),
          std::random_device{}()),
      m_http(m_contexts.io, m_settings.worker_connections), m_platform(m_http, m_settings.platform),
      m_bus(m_settings.peers,
            [this](wire::PeerMessage message)
            {
                post_to_logic([message = std::move(message)](node& logic, instant now,
                                                             action_list& out) mutable
                              { logic.on_peer(now, std::move(message), out); });
                return true;
            }),
      m_server(m_contexts.io, m_settings.http,
               [this](http_request request, responder respond)
               { on_request(std::move(request), std::move(respond)); })
{
}

entry_daemon::~entry_daemon()
{
    m_signals.stop(); // its callback uses the other members
}

void entry_daemon::post_to_logic(std::function<void(node&, instant, action_list&)> callback)
{
    net::post(m_contexts.logic,
              [this, callback = std::move(callback)]
              {
                  action_list out;
                  callback(m_logic, read_clocks(), out);
                  execute_actions(out);
              });
}

int entry_daemon::run()
{
    log_line("info", "event=started host=" + m_settings.name +
                         " data_centre=" + m_settings.data_centre +
                         " http_port=" + std::to_string(http_port()) + " peers=" + peer_endpoint());
    m_signals.start([this](int number) { on_signal(number); });
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < m_settings.io_threads; ++i)
        threads.emplace_back(
            [this]
            {
                const rcu_thread registered;
                m_contexts.io.run();
            });
    tick();
    m_contexts.logic.run();
    m_io_work.reset();
    m_contexts.io.stop();
    for (auto& thread : threads)
        thread.join();
    log_line("info", "event=stopped host=" + m_settings.name +
                         " graceful=" + (m_exit_code == 0 ? "true" : "false"));
    return m_exit_code;
}

void entry_daemon::on_signal(int number)
{
    if (number == SIGHUP)
        log_line("info", "event=reload changed=none reason=\"settings are read only at start; "
                         "restart to change them\" host=" +
                             m_settings.name);
    else
        request_stop();
}

void entry_daemon::request_stop()
{
    post_to_logic(
        [this](node& logic, instant now, action_list&)
        {
            if (std::exchange(m_stopping, true))
                return;
            log_line("info", "event=stop_begun host=" + m_settings.name);
            m_stop_start = std::chrono::steady_clock::now();
            logic.begin_stop(now);
        });
}

void entry_daemon::tick()
{
    action_list out;
    m_logic.tick(read_clocks(), out);
    execute_actions(out);
    if (m_logic.revision() != m_published_revision)
    {
        m_published_revision = m_logic.revision();
        m_config.publish(m_logic.config());
    }
    if (m_stopping)
        finish_stop_if_ready();
    m_timer.expires_after(tick_interval);
    m_timer.async_wait(
        [this](boost::system::error_code code)
        {
            if (!code)
                tick();
        });
}

void entry_daemon::finish_stop_if_ready()
{
    const bool timed_out =
        std::chrono::steady_clock::now() - m_stop_start > m_settings.stop_timeout;
    const bool stopped = m_logic.stopped(read_clocks()) && m_calls.empty();
    if (!stopped && !timed_out)
        return;
    m_exit_code = stopped ? 0 : 1;
    m_server.stop();
    // Leaves time for responses that were just written to be sent before the process ends.
    constexpr std::chrono::milliseconds linger{100};
    m_stopping = false;
    m_timer.expires_after(linger);
    m_timer.async_wait([this](boost::system::error_code) { m_contexts.logic.stop(); });
}

void entry_daemon::execute_actions(action_list& actions)
{
    for (auto& action : actions)
    {
        if (auto* reply = std::get_if<actions::reply_call>(&action))
        {
            const auto call = m_calls.find(reply->call);
            if (call == m_calls.end())
                continue;
            auto [key, respond] = std::move(call->second);
            m_calls.erase(call);
            net::post(m_contexts.io,
                      [key = std::move(key), respond = std::move(respond),
                       answer = std::move(reply->answer)] { respond(to_response(key, answer)); });
        }
        else if (const auto* message = std::get_if<actions::send_peer>(&action))
            m_bus.send(message->host, message->message);
        else if (auto* append = std::get_if<actions::append_log>(&action))
            m_platform.append(append->stream, std::move(append->data),
                              [](const expected<std::uint64_t>&) {});
        else if (const auto* read = std::get_if<actions::read_log>(&action))
            m_platform.read(read->stream, read->from, read->wait,
                            [this, stream = read->stream](expected<log_page> page)
                            {
                                post_to_logic([stream, page = std::move(page)](
                                                  node& logic, instant now, action_list& out)
                                              { logic.on_log_read(now, stream, page, out); });
                            });
        else if (std::holds_alternative<actions::fetch_hosts>(action))
            m_platform.hosts(
                [this](expected<host_listing> listing)
                {
                    post_to_logic(
                        [this, listing = std::move(listing)](node& logic, instant now,
                                                             action_list& out)
                        {
                            if (listing)
                                update_peer_addresses(*listing);
                            logic.on_host_list(now, listing, out);
                        });
                });
        else if (auto* worker_action = std::get_if<actions::send_worker_request>(&action))
            send_worker_request(*worker_action);
        else if (const auto* line = std::get_if<actions::log_event>(&action))
            log_line("info", line->text + " host=" + m_settings.name);
    }
    actions.clear();
}

// Runs on the I/O threads, so that the logic's thread does not build or parse JSON.
void entry_daemon::send_worker_request(actions::send_worker_request& action)
{
    net::post(m_contexts.io,
              [this, action = std::move(action)]
              {
                  m_platform.send_worker_request(
                      action.address, action.body,
                      [this, request = action.request](worker_answer answer)
                      {
                          post_to_logic([request, answer = std::move(answer)](
                                            node& logic, instant now, action_list& out) mutable
                                        { logic.on_worker(now, request, std::move(answer), out); });
                      });
              });
}

void entry_daemon::update_peer_addresses(const host_listing& listing)
{
    for (const auto& host : listing.hosts)
        if (host.name != m_settings.name && !host.peer_address.empty())
            m_bus.set_address(host.name, host.peer_address);
}

std::string entry_daemon::team_of(const std::string& token) const
{
    const auto digest = sha256_hex(token);
    return m_config.read(
        [&](const configuration* config) -> std::string
        {
            const auto* team = config == nullptr ? nullptr : config->team_of_token(digest);
            return team == nullptr ? std::string{} : team->name;
        });
}

void entry_daemon::on_request(http_request request, responder respond)
{
    if (request.method == "GET" && request.path == "/healthz")
        return respond({status_ok, R"({"live":true})", "application/json", 0});
    if (request.path == "/readyz" || request.path == "/metrics" || request.path == "/statez" ||
        request.path == "/drain")
        return on_operator_request(request, std::move(respond));
    if (!request.path.starts_with(jobs_path))
        return respond({404, R"({"kind":"not_found","remedy":"see docs/API.md for the paths"})",
                        "application/json", 0});
    auto key = request.idempotency_key;
    if (request.path.size() > jobs_path.size() + 1)
        key = request.path.substr(jobs_path.size() + 1);
    on_job_request(std::move(request), std::move(respond), std::move(key));
}

void entry_daemon::on_job_request(http_request request, responder respond, std::string key)
{
    const bool configured =
        m_config.read([](const configuration* config) { return config != nullptr; });
    if (!configured)
        return respond(to_response(key, answer_kind::no_configuration));
    wire::Call call;
    call.set_team(team_of(request.bearer));
    call.set_key(key);
    if (call.team().empty())
        return respond(to_response(key, answer_kind::not_authorised));
    if (request.method == "GET")
        call.set_kind(wire::QUERY);
    else if (request.method == "DELETE")
        call.set_kind(wire::CANCEL);
    else if (request.method == "POST" && request.path == jobs_path)
    {
        auto job = parse_job(request.body, m_settings.logic.jobs.max_tasks);
        if (!job)
            return respond(to_response(key,
                                       job.error().kind == error_kind::refused
                                           ? answer_kind::too_large
                                           : answer_kind::bad_request,
                                       job.error().message));
        call.set_kind(wire::SUBMIT);
        *call.mutable_job() = std::move(*job);
    }
    else
        return respond({405, R"({"kind":"bad_request","remedy":"use POST, GET or DELETE"})",
                        "application/json", 0});
    submit_call(std::move(call), std::move(respond));
}

void entry_daemon::submit_call(wire::Call call, responder respond)
{
    post_to_logic(
        [this, call = std::move(call), respond = std::move(respond)](node& logic, instant now,
                                                                     action_list& out)
        {
            const auto call_id = m_next_call_id++;
            m_calls.emplace(call_id, std::make_pair(call.key(), respond));
            logic.on_call(now, call_id, call, out);
        });
}

void entry_daemon::on_operator_request(const http_request& request, responder respond)
{
    const bool public_path = request.path == "/readyz" || request.path == "/metrics";
    const auto& expected_digest = m_settings.operator_token_sha256;
    if (!public_path && !expected_digest.empty() &&
        !constant_time_equal(sha256_hex(request.bearer), expected_digest))
        return respond(to_response("", answer_kind::not_authorised, "operators only"));
    if (request.path == "/drain" && request.method == "POST")
    {
        request_stop();
        return respond({status_accepted, R"({"stopping":true})", "application/json", 0});
    }
    post_to_logic(
        [this, path = request.path, respond = std::move(respond)](node& logic, instant now,
                                                                  action_list&)
        {
            if (path == "/readyz")
            {
                constexpr unsigned status_unavailable = 503;
                const bool ready = logic.ready();
                return respond({ready ? status_ok : status_unavailable,
                                std::string(R"({"ready":)") + (ready ? "true" : "false") + "}",
                                "application/json", 0});
            }
            auto state = logic.dump(now);
            net::post(m_contexts.io,
                      [this, path, respond, state = std::move(state)]
                      {
                          if (path == "/metrics")
                              respond({status_ok, metrics(state), "text/plain; version=0.0.4", 0});
                          else
                              respond({status_ok, dump_to_json(state), "application/json", 0});
                      });
        });
}

std::string entry_daemon::metrics(const node_dump& state)
{
    prometheus::Registry registry;
    const auto gauge = [&](const char* name, const char* help, double value)
    { prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value); };
    gauge("egretledge_ready", "1 if the balancer may send calls", state.ready ? 1 : 0);
    gauge("egretledge_log_reachable", "1 if the platform's log answered last",
          state.log_reachable ? 1 : 0);
    gauge("egretledge_config_revision", "Revision in force", static_cast<double>(state.revision));
    gauge("egretledge_open_calls", "Calls not answered yet", static_cast<double>(state.open_calls));
    gauge("egretledge_open_jobs", "Jobs owned and not answered yet",
          static_cast<double>(state.open_jobs));
    gauge("egretledge_queued_tasks", "Tasks that wait for a worker",
          static_cast<double>(state.queued_tasks));
    gauge("egretledge_outstanding_tasks", "Tasks at workers",
          static_cast<double>(state.outstanding_tasks));
    gauge("egretledge_remembered_bytes", "Memory of answered jobs",
          static_cast<double>(state.remembered_bytes));
    std::size_t serving = 0;
    std::size_t recovering = 0;
    for (const auto& shard : state.shards)
    {
        serving += shard.serving ? 1 : 0;
        recovering += shard.recovering ? 1 : 0;
    }
    gauge("egretledge_serving_shards", "Shards this host serves", static_cast<double>(serving));
    gauge("egretledge_recovering_shards", "Shards whose history is being collected",
          static_cast<double>(recovering));
    gauge("egretledge_peer_messages_dropped", "Peers' messages dropped",
          static_cast<double>(m_bus.dropped()));
    gauge("egretledge_peers_refused", "Peers refused for their key",
          static_cast<double>(m_bus.refused()));
    gauge("egretledge_peer_bytes_sent", "Bytes sent to peers",
          static_cast<double>(m_bus.bytes_sent()));
    auto& events = prometheus::BuildCounter()
                       .Name("egretledge_events_total")
                       .Help("What the logic did, by kind; see docs/OPERATIONS.md")
                       .Register(registry);
    boost::mp11::mp_for_each<
        boost::describe::describe_members<node_counters, boost::describe::mod_public>>(
        [&](auto d) {
            events.Add({{"kind", d.name}})
                .Increment(static_cast<double>(state.counters.*d.pointer));
        });
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace egretledge
