#define BOOST_TEST_MODULE io
#include "core/wire.hpp"
#include "ctl/commands.hpp"
#include "io/codec.hpp"
#include "io/daemon.hpp"
#include "io/daemon_contexts.hpp"
#include "io/dump_json.hpp"
#include "io/standin_server.hpp"
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <future>
#include <zmq.hpp>

using namespace egretledge;
using namespace egretledge::standin;

namespace
{

// Runs an io_context on one thread that is registered to read the configuration.
struct background
{
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
        context.get_executor()};
    std::thread thread{[this]
                       {
                           const rcu_thread registered;
                           context.run();
                       }};
    ~background()
    {
        work.reset();
        context.stop();
        thread.join();
    }
};

http_call call_to(std::uint16_t port, const std::string& method, const std::string& target,
                  const std::string& body = {}, const std::string& token = {},
                  const std::string& key = {})
{
    http_call call;
    call.address = "127.0.0.1:" + std::to_string(port);
    call.method = method;
    call.target = target;
    call.body = body;
    call.bearer = token;
    call.idempotency_key = key;
    call.timeout = milliseconds{10000};
    return call;
}

std::string member(const std::string& body, const char* name)
{
    const auto value = boost::json::parse(body);
    const auto* found = value.get_object().if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string()) : "";
}

// One entry daemon with its platform and two workers, all in this process, configured and ready.
struct test_site
{
    background platform_thread;
    platform_server platform{platform_thread.context, {}};
    std::vector<std::unique_ptr<worker_server>> workers;
    std::unique_ptr<entry_daemon> daemon;
    std::thread daemon_thread;
    int exit_code = -1;

    test_site()
    {
        std::uint16_t first = 0;
        // Two workers on consecutive ports, so that one pool contains both.
        for (std::uint16_t port = 21000; first == 0 && port < 22000; port += 2)
            try
            {
                workers.clear();
                for (std::uint16_t i = 0; i < 2; ++i)
                {
                    http_server_settings http;
                    http.port = static_cast<std::uint16_t>(port + i);
                    workers.push_back(std::make_unique<worker_server>(platform_thread.context, http,
                                                                      worker_settings{"w", 7, 4}));
                }
                first = port;
            }
            catch (const boost::system::system_error&)
            {
            }
        auto settings = parse_settings(
            "{name: a1, data_centre: dc, platform: '127.0.0.1:" + std::to_string(platform.port()) +
            "', http_body_limit: 100000, most_tasks: 800, "
            "operator_token_sha256: '" +
            sha256_hex("op") + "'}");
        BOOST_REQUIRE(settings);
        daemon = std::make_unique<entry_daemon>(*settings);
        const auto hosts = "{\"hosts\":[{\"name\":\"a1\",\"data_centre\":\"dc\","
                           "\"peer_address\":\"" +
                           daemon->peer_endpoint() + "\",\"http_address\":\"127.0.0.1:" +
                           std::to_string(daemon->http_port()) +
                           "\",\"leaving\":false}],\"leaving_workers\":[]}";
        BOOST_REQUIRE(http_send(call_to(platform.port(), "PUT", "/v1/hosts", hosts)));
        publish(first);
        daemon_thread = std::thread([this] { exit_code = daemon->run(); });
        wait_until_serving();
    }
    ~test_site()
    {
        daemon->request_stop();
        daemon_thread.join();
    }

    void publish(std::uint16_t first_port)
    {
        const auto text =
            "{kind: region, name: r}\n---\n{kind: data_centre, name: dc, region: r}\n"
            "---\n{kind: executor_pool, name: p, data_centre: dc, address: "
            "127.0.0.1, count: 2, slots: 4, memory: 1GiB, first_port: " +
            std::to_string(first_port) +
            "}\n---\n{kind: service, name: s, repeatable: false}\n"
            "---\n{kind: team, name: one, quota: 4, token_sha256: " +
            sha256_hex("token-one") +
            "}\n---\n{kind: team, name: two, quota: 4, token_sha256: " + sha256_hex("token-two") +
            "}\n";
        const auto objects = parse_objects(text, "test");
        BOOST_REQUIRE(objects);
        const auto record = make_publication("first", "test", 0, {*objects, {}});
        BOOST_REQUIRE(http_send(call_to(platform.port(), "POST", "/v1/streams/config/records",
                                        record.SerializeAsString())));
    }

    void wait_until_serving()
    {
        constexpr int tries = 500;
        for (int i = 0; i < tries; ++i)
        {
            const auto reply = http_send(call_to(daemon->http_port(), "GET", "/statez", {}, "op"));
            const auto dump = reply ? dump_from_json(reply->body)
                                    : expected<node_dump>(tl::make_unexpected(reply.error()));
            if (dump && dump->ready && !dump->shards.empty() &&
                std::all_of(dump->shards.begin(), dump->shards.end(),
                            [](const shard_status& s) { return s.serving; }))
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
        BOOST_FAIL("the daemon does not serve all shards after 500 tries, 20 ms apart");
    }

    expected<http_reply> job(const std::string& key, const std::string& body,
                             const std::string& token = "token-one")
    {
        return http_send(call_to(daemon->http_port(), "POST", "/v1/jobs", body, token, key));
    }
    std::string key(const std::string& nonce)
    {
        return "dc." + std::to_string(read_clocks().wall.count()) + "." + nonce;
    }
};

const std::string small_job = R"({"service":"s","tasks":[{"payload":"x","size_ms":5}]})";

} // namespace

// Guards against handling a request twice: the caller of a reset connection may already have sent
// its request to another host when it is read here.
BOOST_AUTO_TEST_CASE(a_request_whose_connection_was_reset_before_it_was_read_is_not_handled)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    std::size_t handled = 0;
    http_server_settings settings;
    settings.address = "127.0.0.1";
    settings.on_disconnect = [](std::uint64_t) {};
    http_server server(context, settings,
                       [&](const http_request&, const http_responder&) { ++handled; });
    const auto send_one = [&](bool reset)
    {
        tcp::socket caller(context);
        caller.connect({boost::asio::ip::make_address("127.0.0.1"), server.port()});
        const std::string text = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";
        boost::asio::write(caller, boost::asio::buffer(text));
        if (reset)
        {
            caller.set_option(tcp::socket::linger(true, 0));
            caller.close();
        }
        context.restart();
        context.run_for(std::chrono::milliseconds{200});
    };
    send_one(true);
    BOOST_TEST(handled == 0U);
    send_one(false);
    BOOST_TEST(handled == 1U);
}

// Guards against a job that goes on after its caller's connection was reset, while the caller sends
// it to another host: bytes of the caller's next request ended the watch for the reset.
BOOST_AUTO_TEST_CASE(a_reset_behind_pipelined_requests_is_noticed_while_the_first_one_is_open)
{
    using boost::asio::ip::tcp;
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";
    for (const std::size_t pipelined : {0U, 1U, 500U})
    {
        boost::asio::io_context context;
        std::vector<http_responder> open;
        std::vector<std::uint64_t> disconnected;
        http_server_settings settings;
        settings.address = "127.0.0.1";
        settings.on_disconnect = [&](std::uint64_t number) { disconnected.push_back(number); };
        http_server server(context, settings,
                           [&](const http_request&, http_responder respond)
                           { open.push_back(std::move(respond)); });
        tcp::socket caller(context);
        caller.connect({boost::asio::ip::make_address("127.0.0.1"), server.port()});
        const auto send = [&](std::size_t count)
        {
            for (; count > 0; --count)
                boost::asio::write(caller, boost::asio::buffer(request));
            context.restart();
            context.run_for(std::chrono::milliseconds{100});
        };
        send(1);
        send(pipelined);
        BOOST_TEST(open.size() == 1U);
        BOOST_TEST(disconnected.empty());
        caller.set_option(tcp::socket::linger(true, 0));
        caller.close();
        context.restart();
        context.run_for(std::chrono::milliseconds{200});
        BOOST_TEST(disconnected.size() == 1U, pipelined << " further requests");
    }
}

// Guards against pipelined requests that are lost or answered out of order, now that they are read
// while an earlier one is open.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_turn)
{
    using boost::asio::ip::tcp;
    constexpr std::size_t count = 200; // more bytes than a connection keeps
    boost::asio::io_context context;
    std::vector<std::string> paths;
    http_server_settings settings;
    settings.address = "127.0.0.1";
    settings.on_disconnect = [](std::uint64_t) {};
    http_server server(context, settings,
                       [&](const http_request& request, const http_responder& respond)
                       {
                           paths.push_back(request.path);
                           respond({200, "{}", "application/json", 0});
                       });
    tcp::socket caller(context);
    caller.connect({boost::asio::ip::make_address("127.0.0.1"), server.port()});
    std::string text;
    std::vector<std::string> sent;
    for (std::size_t i = 0; i < count; ++i)
    {
        sent.push_back("/" + std::to_string(i));
        text += "POST " + sent.back() + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";
    }
    boost::asio::write(caller, boost::asio::buffer(text));
    // Until no event follows for 500 ms: a thread sanitizer beside other processes needs longer
    // than that for all of them.
    while (paths.size() < count && context.run_one_for(std::chrono::milliseconds{500}) > 0)
        continue;
    context.run_for(std::chrono::milliseconds{100}); // no request is handled twice
    BOOST_TEST(paths == sent, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(jobs_and_operator_paths_work_over_http)
{
    test_site here;
    const auto port = here.daemon->http_port();

    const auto key = here.key("n1");
    const auto first = here.job(key, small_job);
    BOOST_REQUIRE(first);
    BOOST_TEST(first->status == 200U);
    BOOST_TEST(member(first->body, "outcome") == "complete");
    const auto resubmitted = here.job(key, small_job);
    BOOST_TEST(resubmitted->body == first->body);
    std::size_t started = 0;
    for (const auto& worker : here.workers)
        started += worker->started().size();
    BOOST_TEST(started == 1U);

    // Invalid requests are refused with the matching kind, and no task starts.
    const auto kind_of_job = [&](const std::string& body, const std::string& token = "token-one",
                                 const std::string& job_key = {})
    {
        const auto reply = here.job(job_key.empty() ? here.key("n2") : job_key, body, token);
        BOOST_REQUIRE(reply);
        return member(reply->body, "kind");
    };
    BOOST_TEST(kind_of_job(small_job, "wrong") == "not_authorised");
    BOOST_TEST(kind_of_job(small_job, "") == "not_authorised");
    BOOST_TEST(kind_of_job("{") == "bad_request");
    BOOST_TEST(kind_of_job("[]") == "bad_request");
    BOOST_TEST(kind_of_job(R"({"service":"s","tasks":[]})") == "bad_request");
    BOOST_TEST(kind_of_job(R"({"service":"s","tasks":[{"payload":1}]})") == "bad_request");
    BOOST_TEST(kind_of_job(R"({"service":"s","priority":1,"tasks":[{"payload":"x"}]})") ==
               "bad_request");
    BOOST_TEST(kind_of_job(R"({"service":"none","tasks":[{"payload":"x"}]})") == "unknown_service");
    BOOST_TEST(kind_of_job(small_job, "token-one", "no-key") == "bad_key");
    BOOST_TEST(kind_of_job(small_job, "token-one", "elsewhere.1.n") == "wrong_data_centre");
    BOOST_TEST(kind_of_job(small_job, "token-one", "dc.1.n") == "key_expired");
    BOOST_TEST(kind_of_job(small_job, "token-one", "dc.999999999999999.n") == "key_ahead_of_clock");
    BOOST_TEST(kind_of_job(std::string(200000, ' ')) == "too_large");
    std::string wide = R"({"service":"s","tasks":[)";
    for (int i = 0; i < 801; ++i)
        wide += R"({"payload":"x"},)";
    wide.back() = ']';
    BOOST_TEST(kind_of_job(wide + "}") == "too_large");
    started = 0;
    for (const auto& worker : here.workers)
        started += worker->started().size();
    BOOST_TEST(started == 1U);

    // A team cannot see another team's job; the same key of another team is another job.
    const auto other_team_job = http_send(call_to(port, "GET", "/v1/jobs/" + key, {}, "token-two"));
    BOOST_TEST(other_team_job->status == 404U);
    const auto own_team_job = http_send(call_to(port, "GET", "/v1/jobs/" + key, {}, "token-one"));
    BOOST_TEST(own_team_job->body == first->body);
    const auto conflict = here.job(key, R"({"service":"s","tasks":[{"payload":"y","size_ms":5}]})");
    BOOST_TEST(conflict->status == 409U);
    const auto cancelled =
        http_send(call_to(port, "DELETE", "/v1/jobs/" + here.key("n9"), {}, "token-one"));
    BOOST_TEST(cancelled->status == 503U);
    BOOST_TEST(member(cancelled->body, "outcome") == "not_run");

    // The operators' paths.
    BOOST_TEST(http_send(call_to(port, "GET", "/statez", {}, "wrong"))->status == 401U);
    BOOST_TEST(http_send(call_to(port, "POST", "/drain", {}, "wrong"))->status == 401U);
    BOOST_TEST(http_send(call_to(port, "GET", "/readyz"))->status == 200U);
    BOOST_TEST(http_send(call_to(port, "GET", "/healthz"))->status == 200U);
    const auto metrics = http_send(call_to(port, "GET", "/metrics"));
    BOOST_TEST(metrics->body.find("egretledge_serving_shards 8") != std::string::npos);
    BOOST_TEST(metrics->body.find("egretledge_events_total{kind=\"jobs_complete\"} 1") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(malformed_requests_are_answered_and_slow_callers_disconnected)
{
    background here;
    http_server_settings settings;
    settings.transfer_timeout = std::chrono::milliseconds{200};
    settings.idle_timeout = std::chrono::milliseconds{200};
    http_server server(here.context, settings,
                       [](const http_request&, const http_responder& respond) {
                           respond({200, "{}", "application/json", 0});
                       });
    boost::asio::io_context context;
    const auto exchange = [&](const std::string& text)
    {
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), server.port()});
        boost::asio::write(socket, boost::asio::buffer(text));
        std::string reply;
        boost::system::error_code code;
        boost::asio::read(socket, boost::asio::dynamic_buffer(reply), code);
        return reply;
    };
    BOOST_TEST(exchange("nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    BOOST_TEST(exchange("GET / HTTP/1.1\r\nX: " + std::string(10000, 'x') + "\r\n\r\n")
                   .starts_with("HTTP/1.1 431"));
    // An incomplete request: the connection is closed at the time limit without an answer.
    BOOST_TEST(exchange("POST /v1/jobs HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc").empty());
    BOOST_TEST(exchange("GET / HT").empty());
}

// Guards against bodies that together take more memory than the host has: each was within the limit
// for one, but not all connections may have one open at the same time.
BOOST_AUTO_TEST_CASE(bodies_beyond_what_the_server_holds_are_refused_until_others_have_ended)
{
    using boost::asio::ip::tcp;
    background here;
    http_server_settings settings;
    settings.max_open_body_bytes = 1000;
    http_server server(here.context, settings,
                       [](const http_request& request, const http_responder& respond) {
                           respond({200, std::to_string(request.body.size()), "text/plain", 0});
                       });
    boost::asio::io_context context;
    const auto connect = [&]
    {
        tcp::socket socket(context);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), server.port()});
        return socket;
    };
    const auto send_text = [](tcp::socket& socket, const std::string& text)
    { boost::asio::write(socket, boost::asio::buffer(text)); };
    const auto status = [](tcp::socket& socket)
    {
        std::string reply(12, ' ');
        boost::system::error_code code;
        boost::asio::read(socket, boost::asio::buffer(reply), code);
        return reply;
    };
    const auto header = [](std::size_t size)
    { return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n"; };
    const std::string chunk = "c8\r\n" + std::string(200, 'x') + "\r\n";
    const std::string chunked_header = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

    auto slow = connect();
    send_text(slow, header(900) + "x");
    // The server has read the header above once it has answered this request.
    auto small = connect();
    send_text(small, header(100) + std::string(100, 'x'));
    BOOST_TEST(status(small) == "HTTP/1.1 200");
    auto second = connect();
    send_text(second, header(900));
    BOOST_TEST(status(second) == "HTTP/1.1 504");
    auto chunked = connect();
    send_text(chunked, chunked_header + chunk);
    BOOST_TEST(status(chunked) == "HTTP/1.1 504");

    send_text(slow, std::string(899, 'x'));
    BOOST_TEST(status(slow) == "HTTP/1.1 200");
    auto third = connect();
    send_text(third, header(900) + std::string(900, 'x'));
    BOOST_TEST(status(third) == "HTTP/1.1 200");
    auto fourth = connect();
    send_text(fourth, chunked_header + chunk + chunk + "0\r\n\r\n");
    BOOST_TEST(status(fourth) == "HTTP/1.1 200");
    // A body within the limit for one is not refused for being larger than the whole, and a request
    // without a body is not refused beside it.
    auto alone = connect();
    send_text(alone, header(2000) + "x");
    auto without_body = connect();
    send_text(without_body, "GET / HTTP/1.1\r\n\r\n");
    BOOST_TEST(status(without_body) == "HTTP/1.1 200");
    send_text(alone, std::string(1999, 'x'));
    BOOST_TEST(status(alone) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_CASE(the_http_client_distinguishes_unsent_requests_from_unanswered_ones)
{
    background here;
    http_call call = call_to(1, "POST", "/");
    const auto refused = http_send(call);
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().kind == error_kind::unreachable));
    http_server silent(here.context, {}, [](const http_request&, const http_responder&) {});
    call = call_to(silent.port(), "POST", "/");
    call.timeout = milliseconds{200};
    const auto unanswered = http_send(call);
    BOOST_REQUIRE(!unanswered);
    BOOST_TEST((unanswered.error().kind == error_kind::timed_out));
}

namespace
{

// Waits until `holds` returns true, at most 3 s. Returns what it returned last.
bool holds_soon(const std::function<bool()>& holds)
{
    constexpr int tries = 300;
    for (int i = 0; i < tries && !holds(); ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    return holds();
}

void respond_ok(const http_request&, const http_responder& respond)
{
    respond({200, "{}", "application/json", 0});
}

} // namespace

// Guards against connections that stayed open for good, with their memory and descriptors: an idle
// connection was closed only when the next request to the same address began.
BOOST_AUTO_TEST_CASE(idle_connections_are_closed_though_no_further_request_is_sent)
{
    background here;
    http_server server(here.context, {}, respond_ok);
    http_client client(here.context, 3, milliseconds{100});
    std::promise<unsigned> status;
    client.send(call_to(server.port(), "GET", "/"), [&](const expected<http_reply>& reply)
                { status.set_value(reply ? reply->status : 0); });
    BOOST_TEST(status.get_future().get() == 200U);
    BOOST_TEST(server.connections() == 1U);
    BOOST_TEST(holds_soon([&] { return server.connections() == 0; }));
}

// Guards against memory that grows with each worker that was ever called: the state kept for an
// address was never removed.
BOOST_AUTO_TEST_CASE(addresses_without_connections_and_requests_are_forgotten)
{
    background here;
    http_server server(here.context, {}, respond_ok);
    http_client client(here.context, 3, milliseconds{100});
    std::atomic<unsigned> refused{0};
    std::atomic<unsigned> answered{0};
    const auto count = [&](const expected<http_reply>& reply) { ++(reply ? answered : refused); };
    constexpr std::uint16_t closed_ports = 20;
    for (std::uint16_t port = 1; port <= closed_ports; ++port)
        client.send(call_to(port, "GET", "/"), count);
    client.send(call_to(server.port(), "GET", "/"), count);
    BOOST_TEST(holds_soon([&] { return refused == closed_ports && answered == 1; }));
    BOOST_TEST(holds_soon([&] { return client.addresses() == 0; }));
}

// Guards against a request that is lost because its address is forgotten at the same moment.
BOOST_AUTO_TEST_CASE(requests_are_answered_while_their_addresses_are_forgotten)
{
    background here;
    std::thread threads[] = {std::thread([&] { here.context.run(); }),
                             std::thread([&] { here.context.run(); })};
    http_server server(here.context, {}, respond_ok);
    std::atomic<unsigned> answered{0};
    std::atomic<unsigned> failed{0};
    constexpr unsigned rounds = 400;
    {
        http_client client(here.context, 2, milliseconds{1});
        for (unsigned i = 0; i < rounds; ++i)
        {
            client.send(call_to(server.port(), "GET", "/"),
                        [&](const expected<http_reply>& reply) { ++(reply ? answered : failed); });
            std::this_thread::sleep_for(std::chrono::microseconds{500 + (i % 8) * 200});
        }
        BOOST_TEST(holds_soon([&] { return answered + failed == rounds; }));
        BOOST_TEST(holds_soon([&] { return client.addresses() == 0; }));
    }
    BOOST_TEST(failed == 0U);
    here.context.stop();
    for (auto& thread : threads)
        thread.join();
}

namespace
{

// A server that reads requests and doesn't answer them.
struct silent_server
{
    boost::asio::io_context context{1};
    std::vector<http_responder> open;
    std::atomic<std::size_t> handled{0};
    http_server server{context,
                       {},
                       [this](const http_request&, const http_responder& respond)
                       {
                           open.push_back(respond);
                           ++handled;
                       }};
    std::thread thread{[this] { context.run(); }};
    ~silent_server()
    {
        context.stop();
        thread.join();
    }
};

} // namespace

// Guards against requests that outlive their time: a waiting request was refused only once a
// connection became free, which took as long as the slowest open request.
BOOST_AUTO_TEST_CASE(a_waiting_request_is_refused_as_soon_as_its_time_is_up)
{
    background here;
    silent_server silent;
    http_client client(here.context, 1);
    std::promise<void> first_ended;
    auto call = call_to(silent.server.port(), "POST", "/");
    call.timeout = milliseconds{2500};
    client.send(call, [&](const expected<http_reply>&) { first_ended.set_value(); });
    std::promise<expected<http_reply>> waiting;
    call.timeout = milliseconds{100};
    const auto begin = std::chrono::steady_clock::now();
    client.send(call, [&](expected<http_reply> reply) { waiting.set_value(std::move(reply)); });
    const auto refused = waiting.get_future().get();
    BOOST_TEST((std::chrono::steady_clock::now() - begin < std::chrono::milliseconds{1500}));
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().kind == error_kind::unreachable));
    first_ended.get_future().wait();
}

// Guards against a queue that grows without a bound while a worker is silent.
BOOST_AUTO_TEST_CASE(requests_beyond_the_longest_queue_are_refused_at_once_as_unsent)
{
    background here;
    silent_server silent;
    http_client client(here.context, 1);
    constexpr std::size_t beyond = 10;
    constexpr std::size_t sent = 1 + http_client::max_waiting_requests + beyond;
    std::atomic<std::size_t> unsent{0};
    std::atomic<std::size_t> unanswered{0};
    auto call = call_to(silent.server.port(), "POST", "/");
    call.timeout = milliseconds{2500};
    const auto begin = std::chrono::steady_clock::now();
    const auto count = [&](const expected<http_reply>& reply)
    {
        if (!reply)
            ++(reply.error().kind == error_kind::unreachable ? unsent : unanswered);
    };
    for (std::size_t i = 0; i < sent; ++i)
    {
        client.send(call, count);
        call.timeout = milliseconds{1500};
    }
    BOOST_TEST(holds_soon([&] { return unsent == beyond; }));
    BOOST_TEST((std::chrono::steady_clock::now() - begin < std::chrono::milliseconds{1000}));
    BOOST_TEST(holds_soon([&] { return unsent + unanswered == sent; }));
    BOOST_TEST(silent.handled == 1U);
    BOOST_TEST(unanswered == 1U);
}

// Guards against a reply that takes more memory than the host has: 256 MB were accepted.
BOOST_AUTO_TEST_CASE(a_reply_above_the_limit_is_not_accepted)
{
    background here;
    constexpr std::size_t limit = 4096;
    http_server server(here.context, {},
                       [](const http_request& request, const http_responder& respond)
                       {
                           const auto size = limit + (request.path == "/larger" ? 1 : 0);
                           respond({200, std::string(size, 'x'), "text/plain", 0});
                       });
    http_client client(here.context, 1, std::chrono::minutes{1}, limit);
    const auto fetch = [&](const char* path)
    {
        std::promise<expected<http_reply>> ended;
        client.send(call_to(server.port(), "GET", path),
                    [&](expected<http_reply> reply) { ended.set_value(std::move(reply)); });
        return ended.get_future().get();
    };
    const auto larger = fetch("/larger");
    BOOST_REQUIRE(!larger);
    BOOST_TEST((larger.error().kind == error_kind::timed_out)); // the request took effect
    const auto largest = fetch("/");
    BOOST_REQUIRE(largest);
    BOOST_TEST(largest->body.size() == limit);
}

BOOST_AUTO_TEST_CASE(the_http_client_counts_connections_and_waiting_requests)
{
    background thread;
    std::promise<http_responder> first;
    http_server server(thread.context, {},
                       [&](const http_request& request, const http_responder& respond)
                       {
                           if (request.path == "/first")
                               return first.set_value(respond);
                           respond({});
                       });
    http_client client(thread.context, 1);
    std::promise<void> ended;
    client.send(call_to(server.port(), "GET", "/first"), [](const expected<http_reply>&) {});
    const auto respond = first.get_future().get();
    client.send(call_to(server.port(), "GET", "/second"),
                [&](const expected<http_reply>&) { ended.set_value(); });
    while (client.counts().waiting_requests == 0)
        std::this_thread::sleep_for(milliseconds{1});
    BOOST_TEST(client.counts().connections_in_use == 1U);
    BOOST_TEST(client.counts().idle_connections == 0U);
    respond({});
    ended.get_future().get();
    BOOST_TEST(client.counts().waiting_requests == 0U);
    while (client.counts().idle_connections == 0)
        std::this_thread::sleep_for(milliseconds{1});
    BOOST_TEST(client.counts().connections_in_use == 0U);
}

BOOST_AUTO_TEST_CASE(worker_messages_round_trip_and_malformed_ones_are_errors)
{
    start_batch batch{{"h", 3}, 5, 9, {}};
    start_order order;
    order.sequence = 7;
    order.owner_epoch = {4, 1};
    order.job = {~0ULL, 1};
    order.payload = "a\"b\\c\n\xc3\xa9";
    batch.orders.push_back(order);
    const auto decoded = request_from_json("/v1/starts", request_to_json(batch));
    BOOST_REQUIRE(decoded);
    const auto& copy = std::get<start_batch>(*decoded);
    BOOST_TEST((copy.orders[0].job == order.job));
    BOOST_TEST((copy.orders[0].owner_epoch == order.owner_epoch));
    BOOST_TEST(copy.orders[0].payload == order.payload);
    BOOST_TEST(!request_from_json("/v1/starts", R"({"lease":"x"})"));
    BOOST_TEST(!request_from_json("/v1/starts", std::string(1000, '[')));
    BOOST_TEST(!request_from_json("/v1/none", "{}"));
    const auto broken = worker_answer_from_json(1, R"({"verdicts":["maybe"]})");
    BOOST_TEST((std::get<error>(broken).kind == error_kind::timed_out));
}

BOOST_AUTO_TEST_CASE(log_pages_round_trip)
{
    log_page page{3, 9, {{3, std::string("\0\xff", 2)}, {4, ""}, {5, "abc"}}};
    const auto decoded = page_from_json(page_to_json(page));
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded->first_kept == 3U);
    BOOST_TEST(decoded->entries[0].data == page.entries[0].data);
    BOOST_TEST(decoded->entries[2].data == "abc");
    BOOST_TEST(!page_from_json(R"({"first_kept":0,"next":1,"entries":[{"offset":0,"data":"?"}]})"));
}

BOOST_AUTO_TEST_CASE(settings_report_every_fault_with_its_remedy)
{
    const auto bad = parse_settings("{name: a, http_port: 70000, owner_lease: 5, nonsense: 1, "
                                    "curve_public: x, log_level: loud}");
    BOOST_REQUIRE(!bad);
    for (const auto* text : {"data_centre: missing", "platform: missing", "http_port: 0 to 65535",
                             "owner_lease: a number of milliseconds", "nonsense: no such setting",
                             "give all three", "log_level: debug"})
        BOOST_TEST(bad.error().message.find(text) != std::string::npos, text);
    const auto good = parse_settings("{name: a, data_centre: d, platform: '127.0.0.1:1'}");
    BOOST_REQUIRE(good);
    BOOST_TEST(describe(*good).find("owner_lease: \"2000ms\"") != std::string::npos);
}

namespace
{

struct key_pair
{
    std::array<char, 41> public_key{};
    std::array<char, 41> secret{};
    key_pair() { zmq_curve_keypair(public_key.data(), secret.data()); }
};

wire::PeerMessage message_from(const std::string& host)
{
    wire::PeerMessage message;
    message.mutable_from()->set_name(host);
    message.mutable_heartbeat()->set_sequence(1);
    return message;
}

} // namespace

BOOST_AUTO_TEST_CASE(peers_need_an_allowed_key_and_cannot_impersonate_others)
{
    const key_pair a;
    const key_pair b;
    const key_pair stranger;
    std::mutex guard;
    std::condition_variable arrived;
    std::vector<std::string> seen;
    peer_bus receiver(
        {"tcp://127.0.0.1:0", a.public_key.data(), a.secret.data(), {{"b", b.public_key.data()}}},
        [&](const wire::PeerMessage& message)
        {
            const std::lock_guard lock(guard);
            seen.push_back(message.from().name());
            arrived.notify_all();
            return true;
        });
    const auto make_sender = [&](const key_pair& keys)
    {
        auto sender = std::make_unique<peer_bus>(peer_bus_settings{"tcp://127.0.0.1:0",
                                                                   keys.public_key.data(),
                                                                   keys.secret.data(),
                                                                   {{"a", a.public_key.data()}}},
                                                 [](const wire::PeerMessage&) { return true; });
        sender->set_address("a", receiver.endpoint());
        return sender;
    };
    const auto good = make_sender(b);
    const auto bad = make_sender(stranger);
    // A message to a peer that is not connected yet is dropped, so it is repeated until it arrives.
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds{10};
    bool message_received = false;
    while (!message_received && std::chrono::steady_clock::now() < give_up_at)
    {
        bad->send("a", message_from("b"));
        good->send("a", message_from("someone-else"));
        good->send("a", message_from("b"));
        std::unique_lock lock(guard);
        message_received =
            arrived.wait_for(lock, std::chrono::milliseconds{50}, [&] { return !seen.empty(); });
    }
    BOOST_TEST(message_received);
    const std::lock_guard lock(guard);
    for (const auto& name : seen)
        BOOST_TEST(name == "b");
    // The stranger never connected, and the message with a false name was counted.
    BOOST_TEST(bad->bytes_sent() == 0U);
    BOOST_TEST(receiver.refused() > 0U);
}

BOOST_AUTO_TEST_CASE(the_command_line_reports_faults_by_exit_code_and_message)
{
    std::ostringstream out;
    std::ostringstream err;
    const auto run = [&](const std::vector<std::string>& arguments)
    {
        out.str("");
        err.str("");
        return ctl::run(arguments, out, err);
    };
    BOOST_TEST(run({"--help"}) == ctl::done);
    BOOST_TEST(out.str().find("exit codes") != std::string::npos);
    BOOST_TEST(run({"nonsense"}) == ctl::usage_error);
    BOOST_TEST(run({"check"}) == ctl::usage_error);
    BOOST_TEST(run({"check", std::string(EGRETLEDGE_SOURCE_DIR) + "/conf/sample"}) == ctl::done);
    BOOST_TEST(run({"check", "/nowhere"}) == ctl::invalid_objects);
    BOOST_TEST(run({"status", "--platform", "127.0.0.1:1"}) == ctl::failed);
    BOOST_TEST(err.str().find("unreachable") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(publishing_handles_conflicts_rollback_and_lost_answers)
{
    background here;
    platform_server platform(here.context, {});
    const auto address = "127.0.0.1:" + std::to_string(platform.port());
    const auto directory =
        std::filesystem::temp_directory_path() / ("egret-" + std::to_string(platform.port()));
    std::filesystem::create_directories(directory);
    const auto write = [&](const std::string& text)
    { std::ofstream(directory / "a.yaml") << text; };
    std::ostringstream out;
    std::ostringstream err;
    const auto run = [&](std::vector<std::string> arguments)
    {
        out.str("");
        err.str("");
        arguments.insert(arguments.end(), {"--platform", address, "--limit-ms", "8000"});
        return ctl::run(arguments, out, err);
    };
    write("{kind: policy, name: p, retry_limit: 1}");
    BOOST_TEST(run({"publish", directory}) == ctl::done);
    write("{kind: policy, name: p, retry_limit: 2}");
    BOOST_TEST(run({"publish", directory, "--dry-run"}) == ctl::done);
    BOOST_TEST(out.str().find("+ policy p") != std::string::npos);
    BOOST_TEST(run({"publish", directory}) == ctl::done);
    write("{kind: policy, name: p, retry_limit: 3}");
    BOOST_TEST(run({"publish", directory, "--base", "1"}) == ctl::publication_conflict);
    BOOST_TEST(err.str().find("policy p") != std::string::npos);
    BOOST_TEST(run({"rollback", "1"}) == ctl::done);
    BOOST_TEST(run({"history"}) == ctl::done);
    BOOST_TEST(out.str().find("clashed") != std::string::npos);
    // The append takes effect and its answer is lost. The id is found once the log answers again.
    const auto set_faults = [&](const std::string& text)
    { return http_send(call_to(platform.port(), "PUT", "/v1/faults", text)); };
    const auto before = platform.appends();
    std::thread fault_remover(
        [&]
        {
            while (platform.appends() == before)
                std::this_thread::sleep_for(std::chrono::milliseconds{5});
            set_faults("{}");
        });
    std::thread fault_injector([&] { set_faults(R"({"delay_ms":300})"); });
    fault_injector.join();
    write("{kind: policy, name: p, retry_limit: 4}");
    BOOST_TEST(run({"publish", directory}) == ctl::done);
    fault_remover.join();
    BOOST_TEST(platform.appends() == before + 1);
    write("{kind: policy, name: p, retry_limit: 99}");
    BOOST_TEST(run({"publish", directory}) == ctl::invalid_objects);
    std::filesystem::remove_all(directory);
}

namespace
{

// Sets a flag when its context begins to be destroyed.
class end_marker : public boost::asio::execution_context::service
{
public:
    using key_type = end_marker;
    static const boost::asio::execution_context::id id;
    explicit end_marker(boost::asio::execution_context& owner) : service(owner) {}
    void shutdown() override { *ended = true; }
    bool* ended = nullptr;
};
const boost::asio::execution_context::id end_marker::id;

} // namespace

// Guards against a use after free when egretd stops: a call that waited for the logic owned a
// connection whose context had been destroyed.
BOOST_AUTO_TEST_CASE(calls_that_wait_for_the_logic_end_before_the_context_of_their_connections)
{
    bool io_ended = false;
    bool call_ended_first = false;
    {
        daemon_contexts contexts;
        boost::asio::use_service<end_marker>(contexts.io).ended = &io_ended;
        auto call = std::shared_ptr<void>(nullptr, [&](void*) { call_ended_first = !io_ended; });
        boost::asio::post(contexts.logic, [call = std::move(call)] {});
    }
    BOOST_TEST(io_ended);
    BOOST_TEST(call_ended_first);
}
