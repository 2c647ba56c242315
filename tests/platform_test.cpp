#define BOOST_TEST_MODULE platform
#include "io/edge_settings.hpp"
#include "io/http_server.hpp"
#include "io/log_budget.hpp"
#include "io/logging.hpp"
#include "io/peer_bus.hpp"
#include "io/peer_delivery.hpp"
#include "io/process_memory.hpp"
#include "platform/edge_daemon.hpp"
#include "platform/store_client.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <future>
#include <random>
#include <thread>

using namespace egretledge;
using namespace egretledge::platform;
namespace json = boost::json;

namespace
{

const std::string job_json =
    R"({"spec":"text","steps":[{"count":4,"cpu":6800,"mem_mb":64,"est_ms":900,"data_rack":"r1-3"},)"
    R"({"count":2,"cpu":500,"after":[0],"required_label":"a","max_per_server":1}],"best_effort":true})";

expected<http_reply> reply(unsigned status, const std::string& body)
{
    return http_reply{status, body};
}

// A store with one keyed record. Appending the record does not wake a waiting reader.
struct non_waking_store
{
    boost::asio::io_context context{1};
    std::string published;
    std::uint64_t end = 0;
    unsigned refuse = 0; // number of calls that are answered with 503 first
    std::vector<std::string> calls;
    http_server server{context, {}, [this](http_request request, http_responder respond) {
                           answer(request, std::move(respond));
                       }};

    static std::string number(std::uint64_t value)
    {
        std::string bytes;
        for (int shift = 56; shift >= 0; shift -= 8)
            bytes.push_back(static_cast<char>(value >> shift));
        return bytes;
    }
    void answer(const http_request& request, http_responder respond)
    {
        calls.push_back(request.path + "?" + request.query);
        if (refuse > 0)
        {
            --refuse;
            return respond({503, "", "application/json", 0});
        }
        if (request.path == "/log-append")
            return respond({200, R"({"offset":0,"end":1})", "application/json", 0});
        if (request.path == "/log-newest")
            return respond(
                {200, R"({"items":[],"has_more":false,"end":0})", "application/json", 0});
        const bool config = request.query.find("keyed.op") != std::string::npos;
        const auto at = request.query.find("wait_ms=");
        if (!config || at == std::string::npos)
            return respond({200, number(0) + number(0), "application/octet-stream", 0});
        const bool old = request.query.find("from=0") != std::string::npos;
        if (end > 0 && old)
            return respond({200, number(1) + number(0) + encode_record({"config", published}),
                            "application/octet-stream", 0});
        auto timer = std::make_shared<boost::asio::steady_timer>(
            context, milliseconds{std::stoi(request.query.substr(at + 8))});
        timer->async_wait(
            [timer, respond](boost::system::error_code) {
                respond({200, number(0) + number(0), "application/octet-stream", 0});
            });
    }
};

// Runs the client until `done` returns true or `limit` has passed. Returns the elapsed time.
milliseconds run_client(non_waking_store& store, store_settings settings,
                        const std::function<bool(const store_client&)>& done,
                        milliseconds publish_at, milliseconds limit,
                        std::vector<std::uint64_t>& versions)
{
    http_client http(store.context, 4);
    settings.address = "127.0.0.1:" + std::to_string(store.server.port());
    settings.own_name = "edge-1";
    store_client client(store.context, http, settings,
                        {[&](pool::route_config config) { versions.push_back(config.version); },
                         [](pool::worker_registry) {},
                         [](const std::string&, const host_record&) { return true; },
                         [](const std::string&) { return std::optional<microseconds>{}; },
                         [](bool, const std::string&) {}, [](microseconds) {}});
    client.start();
    const auto begin = std::chrono::steady_clock::now();
    const auto elapsed = [&]
    { return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin); };
    while (!done(client) && elapsed() < limit)
    {
        store.context.run_one_for(milliseconds{5});
        if (elapsed() >= publish_at)
            store.end = 1;
    }
    client.stop();
    const auto elapsed_time = elapsed();
    store.context.run_for(milliseconds{20});
    return elapsed_time;
}

} // namespace

// Guards against a configuration change that is seen too late (found on pamoja-grid, trouble-3,
// seed 499913377931): the store does not wake a reader whose wait began while the record was being
// appended.
BOOST_AUTO_TEST_CASE(a_config_change_is_seen_within_one_wait_when_the_store_wakes_no_reader)
{
    non_waking_store store;
    store.published = R"({"version":7,"routes":[]})";
    store_settings settings;
    settings.max_config_wait = milliseconds{300};
    std::vector<std::uint64_t> versions;
    const auto elapsed_time = run_client(
        store, settings, [&](const store_client&) { return !versions.empty(); }, milliseconds{100},
        milliseconds{5000}, versions);
    BOOST_REQUIRE(versions.size() == 1U);
    BOOST_TEST(versions[0] == 7U);
    BOOST_TEST(elapsed_time.count() < 2000);
    BOOST_TEST(store_settings{}.max_config_wait.count() <= 1000);
}

BOOST_AUTO_TEST_CASE(calls_to_a_refusing_store_are_retried_with_pauses)
{
    non_waking_store store;
    store.published = R"({"version":3,"routes":[]})";
    store.refuse = 6;
    store_settings settings;
    settings.max_config_wait = milliseconds{200};
    settings.min_retry_delay = milliseconds{20};
    std::vector<std::uint64_t> versions;
    run_client(
        store, settings, [&](const store_client&) { return !versions.empty(); }, milliseconds{0},
        milliseconds{5000}, versions);
    BOOST_TEST(versions.size() == 1U);
    BOOST_TEST(store.calls.size() < 60U);
}

namespace
{

// An entry host with a store, each on a thread of its own. SIGTERM ends the host.
struct running_host
{
    non_waking_store store;
    edge_settings settings;
    std::unique_ptr<edge_daemon> daemon;
    std::thread store_thread;
    std::thread daemon_thread;

    explicit running_host(const std::string& config)
    {
        store.published = config;
        store.end = 1;
        settings.name = "edge-1";
        settings.data_centre = "z";
        settings.peers = "tcp://127.0.0.1:0";
        settings.store = "127.0.0.1:" + std::to_string(store.server.port());
        settings.stop_timeout = milliseconds{500};
        start_logging("error");
        // Ports below those that the system gives to outgoing connections; taken ones are skipped.
        for (int port = 22000; !daemon && port < 23000; port += 2)
            try
            {
                settings.callers = "127.0.0.1:" + std::to_string(port);
                settings.readiness = "127.0.0.1:" + std::to_string(port + 1);
                daemon = std::make_unique<edge_daemon>(settings);
            }
            catch (const boost::system::system_error&)
            {
            }
        BOOST_REQUIRE(daemon != nullptr);
        store_thread = std::thread([this] { store.context.run(); });
        daemon_thread = std::thread([this] { daemon->run(); });
    }
    ~running_host()
    {
        ::kill(::getpid(), SIGTERM);
        daemon_thread.join();
        store.context.stop();
        store_thread.join();
    }

    // Returns the status of the answer, or 0 if there was none.
    static unsigned status_of(const std::string& address, const std::string& method,
                              const std::string& target, const std::string& body = {})
    {
        http_call call;
        call.address = address;
        call.method = method;
        call.target = target;
        call.body = body;
        call.headers = {{"Host", "h.example"}};
        call.timeout = milliseconds{5000};
        const auto got = http_send(call);
        return got ? got->status : 0;
    }
    unsigned caller_status(const std::string& method, const std::string& target,
                           const std::string& body = {}) const
    {
        return status_of(settings.callers, method, target, body);
    }

    // Waits until the host has the configuration, at most 5 s.
    bool serves() const
    {
        constexpr int tries = 250;
        for (int i = 0; i < tries && caller_status("GET", "/q/") != 200; ++i)
            std::this_thread::sleep_for(milliseconds{20});
        return caller_status("GET", "/q/") == 200;
    }
};

const std::string config_with_body_limit =
    R"({"version":1,"routes":[{"name":"r","host":"h.example","path_prefix":"/q/","service":"s"}],)"
    R"("services":[],"limits":{"max_body_bytes":1000}})";

} // namespace

// Guards against bodies of up to 8 MiB, which were read and decoded whatever the operator allowed.
BOOST_AUTO_TEST_CASE(a_body_above_the_operators_limit_is_refused_as_too_large)
{
    const running_host host(config_with_body_limit);
    BOOST_REQUIRE(host.serves());
    const std::string target = "/q/5c0e7a21d94b36f8";
    BOOST_TEST(host.caller_status("POST", target, std::string(1001, ' ')) == 413U);
    BOOST_TEST(host.caller_status("POST", target, std::string(1000, ' ')) == 400U); // not a job
}

// Guards against a query that no other host can answer and that stays open: this host knows no
// other one, and says that the job is gone once it would know them.
BOOST_AUTO_TEST_CASE(a_job_that_no_host_has_is_answered_as_gone)
{
    const running_host host(config_with_body_limit);
    BOOST_REQUIRE(host.serves());
    const std::string target = "/q/5c0e7a21d94b36f8";
    constexpr int tries = 250;
    for (int i = 0; i < tries && host.caller_status("DELETE", target) == 503U; ++i)
        std::this_thread::sleep_for(milliseconds{20});
    BOOST_TEST(host.caller_status("DELETE", target) == 410U);
    BOOST_TEST(host.caller_status("GET", target) == 410U);
    BOOST_TEST(host.caller_status("PUT", target) == 405U);
}

// Guards against callers that leave before their answer and are never released: after 3,000 of them
// a host closed every new connection unread, and said that it was ready.
BOOST_AUTO_TEST_CASE(callers_that_leave_early_are_released)
{
    using boost::asio::ip::tcp;
    // Jobs wait for workers, of which there are none.
    const running_host host(
        R"({"version":1,"routes":[{"name":"r","host":"h.example","path_prefix":"/q/","service":"s",)"
        R"("slo_ms":60000,"timeout_ms":60000}],"services":[]})");
    BOOST_REQUIRE(host.serves());
    const auto address = parse_ip_port(host.settings.callers);
    const std::string job =
        R"({"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":1,"est_ms":1000}]})";
    boost::asio::io_context context;
    constexpr int callers = 3200;
    for (int i = 0; i < callers; ++i)
    {
        tcp::socket socket(context);
        socket.connect({boost::asio::ip::make_address(address->ip), address->port});
        std::string id = std::to_string(i);
        id.insert(0, 16 - id.size(), '0');
        const std::string request = "POST /q/" + id +
                                    " HTTP/1.1\r\nHost: h.example\r\nTimeout-Ms: 60000\r\n"
                                    "Content-Length: " +
                                    std::to_string(job.size()) + "\r\n\r\n" + job;
        boost::asio::write(socket, boost::asio::buffer(request));
        std::this_thread::sleep_for(std::chrono::microseconds{200});
    }
    constexpr int tries = 250;
    for (int i = 0; i < tries && host.daemon->open_callers() > 0; ++i)
        std::this_thread::sleep_for(milliseconds{20});
    BOOST_TEST(host.daemon->open_callers() == 0U);
    BOOST_TEST(host.caller_status("GET", "/q/") == 200U);
}

// Guards against memory for callers' connections and bodies behind an address that serves checks.
BOOST_AUTO_TEST_CASE(the_readiness_address_takes_few_connections_and_small_bodies)
{
    using boost::asio::ip::tcp;
    const running_host host(config_with_body_limit);
    BOOST_REQUIRE(host.serves());
    BOOST_TEST(running_host::status_of(host.settings.readiness, "GET", "/ready") == 503U);
    BOOST_TEST(running_host::status_of(host.settings.readiness, "GET", "/ready",
                                       std::string(5000, ' ')) == 413U);
    constexpr int beyond = 300;
    const auto address = parse_ip_port(host.settings.readiness);
    boost::asio::io_context context;
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < beyond; ++i)
    {
        sockets.emplace_back(context);
        sockets.back().connect({boost::asio::ip::make_address(address->ip), address->port});
    }
    const auto is_answered = [](tcp::socket& socket)
    {
        boost::system::error_code code;
        boost::asio::write(socket, boost::asio::buffer("GET /ready HTTP/1.1\r\n\r\n", 23), code);
        char byte = 0;
        return boost::asio::read(socket, boost::asio::buffer(&byte, 1), code) == 1;
    };
    BOOST_TEST(is_answered(sockets.front()));
    BOOST_TEST(!is_answered(sockets.back()));
}

BOOST_AUTO_TEST_CASE(all_fields_of_a_job_are_decoded)
{
    const auto job = decode_job(job_json);
    BOOST_REQUIRE(job);
    BOOST_TEST(job->payload == "text");
    BOOST_REQUIRE(job->steps.size() == 2U);
    BOOST_TEST(job->steps[0].count == 4U);
    BOOST_TEST(job->steps[0].demand.cpu == 6800);
    BOOST_TEST(job->steps[0].estimate.count() == 900);
    BOOST_TEST(job->steps[0].preferred_rack == "r1-3");
    BOOST_TEST(job->steps[1].after.at(0) == 0U);
    BOOST_TEST(job->steps[1].required_label == "a");
    BOOST_TEST(job->steps[1].max_per_worker == 1U);
}

BOOST_AUTO_TEST_CASE(unsupported_or_malformed_jobs_are_rejected)
{
    const char* bad[] = {"",
                         "[]",
                         "{",
                         R"({"steps":[{"count":1}]})",
                         R"({"best_effort":true})",
                         R"({"best_effort":true,"steps":[{"count":0}]})",
                         R"({"best_effort":true,"steps":[{"count":-1}]})",
                         R"({"best_effort":true,"steps":[{"count":"4"}]})",
                         R"({"best_effort":true,"steps":[{"count":1,"gang":true}]})",
                         R"({"best_effort":true,"steps":[{"count":1,"daemon":true}]})",
                         R"({"best_effort":true,"steps":[{"count":1,"after":["x"]}]})",
                         R"({"best_effort":true,"times":2,"steps":[{"count":1}]})",
                         R"({"best_effort":true,"steps":[7]})"};
    for (const auto* body : bad)
        BOOST_TEST(!decode_job(body).has_value(), body);
}

BOOST_AUTO_TEST_CASE(decoders_do_not_throw_on_truncated_or_corrupted_messages)
{
    std::mt19937_64 random(7);
    const std::string texts[] = {
        job_json,
        R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","stretch":1.6}],"limits":{}})",
        R"({"service":"s","addr":"1.2.3.4:5","zone":"z","state":"ready","capacity":{"cpu":1}})",
        R"({"clock_ms":4,"running":[["a.0.1.2",1,"",4]],"ended":[[5,"a.0.1.2",1,"done",""]]})",
        R"({"items":[{"key":"k","value":"YWJj","offset":4}],"has_more":false,"end":6})"};
    for (const auto& text : texts)
        for (int round = 0; round < 400; ++round)
        {
            auto changed = text;
            const auto byte = static_cast<char>(random());
            const auto position = random() % changed.size();
            changed[position] = byte;
            changed.resize(random() % (changed.size() + 1));
            (void)decode_job(changed);
            (void)decode_config(changed);
            (void)decode_worker("i", changed);
            (void)decode_host(changed);
            (void)decode_page(changed);
            (void)decode_batch(changed);
            (void)decode_reply(reply(200, changed));
        }
    BOOST_TEST(decode_job(job_json).has_value());
}

BOOST_AUTO_TEST_CASE(routes_and_their_terms_are_decoded_from_a_configuration)
{
    const std::string text =
        R"({"version":7,"routes":[{"name":"r-1","host":"nony.example","path_prefix":"/a/","kind":"x",)"
        R"("timeout_ms":1500,"slo_ms":60,"priority":2,"service":"s","max_attempts":4,"stretch":1.6}],)"
        R"("services":[],"limits":{"max_body_bytes":1000}})";
    const auto config = decode_config(text);
    BOOST_REQUIRE(config);
    BOOST_TEST(config->version == 7U);
    BOOST_TEST(config->published == text);
    BOOST_TEST(config->max_body_bytes == 1000U);
    const auto& route = config->routes.at(0);
    BOOST_TEST(route.terms.service == "s");
    BOOST_TEST(route.terms.priority == 2U);
    BOOST_TEST(route.terms.max_attempts == 4U);
    BOOST_TEST(route.terms.stretch == 1.6);
    BOOST_TEST(route.terms.slack.count() == 60);
    BOOST_TEST(route.terms.wait.count() == 1500);
    BOOST_TEST(!decode_config(R"({"routes":[]})").has_value());
    BOOST_TEST(!decode_config(R"({"version":3,"routes":[4]})").has_value());
}

BOOST_AUTO_TEST_CASE(registry_entries_of_other_writers_are_rejected_as_workers)
{
    const std::string good =
        R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","state":"draining",)"
        R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"born":17})";
    const auto entry = decode_worker("i-1", good);
    BOOST_REQUIRE(entry);
    BOOST_TEST(entry->leaving);
    BOOST_TEST(entry->capacity.cpu == 16000);
    BOOST_TEST(entry->labels.size() == 2U);
    BOOST_TEST(entry->start_time_ms == 17U);
    const char* bad[] = {
        "\xff\xfe",
        "7",
        R"({"service":"s"})",
        R"({"service":"s","addr":"a:1","zone":"z","state":"new","capacity":{}})",
        R"({"service":"s","addr":"a:1","zone":"z","state":"ready","capacity":7})",
        R"({"service":4,"addr":"a:1","zone":"z","state":"ready","capacity":{}})",
        R"({"service":"s","addr":"a:1","zone":"z","state":"ready","capacity":{"cpu":"x"}})",
        R"({"service":"s","addr":"a:1","zone":"z","state":"ready","capacity":{"mem_mb":64}})",
        R"({"service":"s","addr":"a:1","zone":"z","state":"ready","capacity":{"cpu":1e300}})"};
    for (const auto* text : bad)
        BOOST_TEST(!decode_worker("i-1", text).has_value(), text);
}

// Guards against numbers that wrap around: a limit or a priority became 0 when it did not fit.
BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_bounded_or_rejected)
{
    const auto step = [](const std::string& fields)
    { return decode_job(R"({"best_effort":true,"steps":[{"count":1,)" + fields + "}]}"); };
    BOOST_REQUIRE(step(R"("max_per_server":4294967296)"));
    BOOST_TEST(step(R"("max_per_server":4294967296)")->steps[0].max_per_worker == 4294967295U);
    for (const char* fields :
         {R"("cpu":1e300)", R"("cpu":9223372036854775807)", R"("mem_mb":-1)",
          R"("est_ms":9223372036854775807)", R"("est_ms":1e18)", R"("after":[4294967296])"})
        BOOST_TEST(!step(fields).has_value(), fields);
    const auto config = decode_config(
        R"({"version":1,"routes":[{"name":"r","priority":4294967296,"max_attempts":4294967297}]})");
    BOOST_REQUIRE(config);
    BOOST_TEST(config->routes.at(0).terms.priority == 4294967295U);
    BOOST_TEST(config->routes.at(0).terms.max_attempts == 4294967295U);
}

// Guards against a second start of a running task: a run whose row, or the whole reply, could not
// be read counted as not running.
BOOST_AUTO_TEST_CASE(an_unreadable_list_of_runs_proves_nothing)
{
    const std::string rows[] = {R"({"running":[["a.0.1.2",1,"",4],["b.0.1.2",1]]})",
                                R"({"running":[["a.0.1.2","x","",4]]})",
                                R"({"running":[7]})",
                                R"({"running":7})",
                                R"({"ended":[[5,"a.0.1.2",1]]})",
                                R"({"ended":[[-5,"a.0.1.2",1,"done",""]]})",
                                R"({"ended":{}})",
                                R"({"running":[["a.0.1.2",1,"",4)",
                                "7",
                                ""};
    for (const auto& text : rows)
        BOOST_TEST((decode_reply(reply(200, text)).result == pool::order_result::no_answer), text);
    const auto unread_percent = decode_reply(reply(200, R"({"running":[["a.0.1.2",1,"",null]]})"));
    BOOST_TEST((unread_percent.result == pool::order_result::accepted));
    BOOST_TEST(unread_percent.running.at(0).percent == 0U);
}

// Guards against a limit that cuts off what the store and the workers may send. The sizes are the
// protocol's: 500 records of at most 262,144 bytes or 1 MB a page, and 500 ends a list.
BOOST_AUTO_TEST_CASE(the_largest_replies_of_store_and_workers_are_within_the_limits)
{
    constexpr int max_rows = 500;
    constexpr std::size_t record_bytes = 262144;
    constexpr std::size_t page_bytes = 1ULL << 20;
    const std::string longest_key(255, '\x01'); // six characters each when escaped
    json::array items;
    for (int i = 0; i < max_rows; ++i)
    {
        // The records exceed the page's size only with the last one.
        const bool large = i <= static_cast<int>(page_bytes / record_bytes);
        const std::string value(large ? (record_bytes + 2) / 3 * 4 : 0, 'A');
        items.push_back(json::object{{"key", longest_key}, {"value", value}, {"offset", i}});
    }
    const auto page = json::serialize(
        json::object{{"items", std::move(items)}, {"has_more", true}, {"end", 1ULL << 62}});
    BOOST_TEST(page.size() > page_bytes);
    BOOST_TEST(page.size() < max_store_reply_bytes);

    constexpr int running_tasks = 2000; // as many as a job has
    const std::string task = "5c0e7a21d94b36f8.4294967295.4294967295.4294967295";
    const std::string checkpoint(64, '0');
    json::array running;
    for (int i = 0; i < running_tasks; ++i)
        running.push_back(json::array{task, 1ULL << 32, checkpoint, 100});
    json::array ended;
    for (int i = 0; i < max_rows; ++i)
        ended.push_back(json::array{1ULL << 62, task, 1ULL << 32, "stopped", checkpoint});
    const auto lists = json::serialize(json::object{
        {"clock_ms", 1ULL << 62}, {"running", std::move(running)}, {"ended", std::move(ended)}});
    BOOST_TEST(lists.size() < max_worker_reply_bytes);
}

BOOST_AUTO_TEST_CASE(task_names_round_trip)
{
    const pool::task_name task{"5c0e7a21d94b36f8", 0, 1, 17};
    BOOST_TEST(encode_task(task) == "5c0e7a21d94b36f8.0.1.17");
    BOOST_TEST((decode_task(encode_task(task)) == task));
    BOOST_TEST(decode_task("no name").job == "no name");
    BOOST_TEST(decode_task("a.b.c.d").job == "a.b.c.d");
}

BOOST_AUTO_TEST_CASE(start_orders_carry_worker_task_fence_and_lease)
{
    pool::actions::start_run order;
    order.worker = "i-1";
    order.address = "10.0.0.9:80";
    order.fence = 9;
    order.lease_until_ms = 486000;
    order.run = {{"5c0e7a21d94b36f8", 0, 1, 17}, 2};
    order.payload = "text";
    const auto call = encode(order);
    BOOST_TEST(call.target == "/run-start");
    BOOST_TEST(call.headers.at(0).second == "i-1");
    const auto body = json::parse(call.body).as_object();
    BOOST_TEST(body.at("task").as_string() == "5c0e7a21d94b36f8.0.1.17");
    BOOST_TEST(body.at("run").to_number<int>() == 2);
    BOOST_TEST(body.at("deadline_ms").to_number<int>() == 486000);
    BOOST_TEST(body.at("fence").to_number<int>() == 9);
    pool::actions::hold_worker hold;
    hold.ends_seen = 57;
    const auto hold_body = json::parse(encode(hold).body).as_object();
    BOOST_TEST(hold_body.at("ack_cursor").to_number<int>() == 57);
    BOOST_TEST(!hold_body.contains("deadline_ms"));
    BOOST_TEST(!hold_body.contains("wait_ms"));
}

BOOST_AUTO_TEST_CASE(worker_answers_are_decoded_to_order_results)
{
    using pool::order_result;
    const auto result = [](unsigned status, const std::string& body)
    { return decode_reply(reply(status, body)).result; };
    BOOST_TEST((result(200, R"({"clock_ms":4})") == order_result::accepted));
    BOOST_TEST((result(409, R"({"reason":"fence"})") == order_result::stale_fence));
    BOOST_TEST((result(409, R"({"reason":"old"})") == order_result::stale_run));
    BOOST_TEST((result(409, R"({"reason":"late"})") == order_result::too_late));
    BOOST_TEST((result(409, R"({"reason":"room"})") == order_result::no_room));
    BOOST_TEST((result(421, "") == order_result::other_lifetime));
    BOOST_TEST((result(503, "") == order_result::unhealthy));
    BOOST_TEST((result(400, "") == order_result::malformed));
    BOOST_TEST((result(500, "") == order_result::no_answer));
    const expected<http_reply> nothing_sent =
        tl::make_unexpected(error{error_kind::unreachable, "refused"});
    const expected<http_reply> lost = tl::make_unexpected(error{error_kind::timed_out, "late"});
    BOOST_TEST((decode_reply(nothing_sent).result == order_result::unreachable));
    BOOST_TEST((decode_reply(lost).result == order_result::no_answer));
    const auto lists = decode_reply(reply(
        200,
        R"({"clock_ms":482113,"born":3,"running":[["5c.0.1.17",2,"00",41]],"ended":[[58,"5c.0.1.9",1,"lapsed",""]]})"));
    BOOST_TEST(lists.clock_ms == 482113);
    BOOST_TEST(lists.start_time_ms == 3U);
    BOOST_TEST(lists.running.at(0).percent == 41U);
    BOOST_TEST(lists.running.at(0).run.number == 2U);
    BOOST_TEST(lists.ended.at(0).number == 58U);
    BOOST_TEST((lists.ended.at(0).end == pool::run_end::lapsed));
}

BOOST_AUTO_TEST_CASE(records_round_trip)
{
    const keyed_record record{"edge-1", encode_host({"tcp://10.0.0.1:7720", 17})};
    const std::string offsets("\0\0\0\0\0\0\3\x4a\0\0\0\0\0\0\0\2", 16);
    const auto batch = decode_batch(offsets + encode_record(record) + encode_record({"gone", {}}));
    BOOST_REQUIRE(batch);
    BOOST_TEST(batch->end == 842U);
    BOOST_TEST(batch->first == 2U);
    BOOST_TEST(batch->records.at(0).key == "edge-1");
    const auto host = decode_host(*batch->records.at(0).value);
    BOOST_REQUIRE(host);
    BOOST_TEST(host->address == "tcp://10.0.0.1:7720");
    BOOST_TEST(host->incarnation == 17U);
    BOOST_TEST(!batch->records.at(1).value.has_value());
    BOOST_TEST(!decode_batch(offsets + std::string("\0\0\0\x9z", 5)).has_value());
    const auto page = decode_page(
        R"({"items":[{"key":"k","value":"YWJjZA==","offset":4}],"has_more":true,"end":6})");
    BOOST_REQUIRE(page);
    BOOST_TEST(*page->records.at(0).value == "abcd");
    BOOST_TEST(page->more);
}

BOOST_AUTO_TEST_CASE(each_answer_kind_has_its_http_status)
{
    const auto status = [](answer_kind kind) { return encode_answer({kind, {}, {}}).status; };
    BOOST_TEST(status(answer_kind::ok) == 200U);
    BOOST_TEST(status(answer_kind::task_failed) == 200U);
    BOOST_TEST(status(answer_kind::over_capacity) == 503U);
    BOOST_TEST(status(answer_kind::expired_in_queue) == 503U);
    BOOST_TEST(status(answer_kind::worker_lost) == 504U);
    BOOST_TEST(status(answer_kind::deadline_passed) == 504U);
    BOOST_TEST(encode_answer({answer_kind::ok, {}, {}}).body == R"({"state":"complete"})");
}

BOOST_AUTO_TEST_CASE(the_settings_template_contains_every_required_setting)
{
    std::ifstream file(EGRETLEDGE_SOURCE_DIR "/deploy/edge.yaml");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    BOOST_TEST(!text.empty());
    const std::pair<std::string, std::string> values[] = {
        {"{{node}}", "edge-1"},
        {"{{zone}}", "jaro-depot"},
        {"{{listen.front}}", "1.2.3.4:1"},
        {"{{listen.ready}}", "1.2.3.4:2"},
        {"{{listen.control}}", "1.2.3.4:3"},
        {"{{ip}}", "1.2.3.4"},
        {"{{port_range.0}}", "7720"},
        {"{{platform.addr}}", "1.2.3.5:9"},
        {"{{bounds.grace_s}}", "6"},
        {"{{bounds.config_ms}}", "2000"},
        {"{{bounds.evacuate_ms}}", "5000"},
        {"{{bounds.max_hold_ms}}", "1200"},
        {"{{bootstrap}}", "true"},
        {"{{limits.cpu_share}}", "0.12"},
        {"{{limits.cores}}", "1.5"},
        {"{{limits.memory_mb}}", "160"},
        {"{{limits.link_mbps}}", ""},
        {"{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", "\"1.2.3.6:3\""}};
    for (const auto& [placeholder, value] : values)
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    BOOST_TEST(text.find("{{") == std::string::npos);
    const auto settings = parse_edge_settings(text);
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings->seeds.at(0) == "1.2.3.6:3");
    BOOST_TEST(settings->stop_timeout.count() == 6000);
    BOOST_TEST(settings->config_bound.count() == 2000);
    BOOST_TEST(settings->evacuation_bound.count() == 5000);
    BOOST_TEST(settings->max_lease.count() == 1200);
    BOOST_TEST(settings->first_start);
    BOOST_TEST(settings->processor_share == 0.12);
    BOOST_TEST(settings->processor_speed == 1.5);
    BOOST_TEST(settings->memory_mb == 160);
    BOOST_TEST(settings->link_mbps == 0);
    BOOST_TEST(settings->defaulted_limits == "link_mbps:empty");
    BOOST_TEST(!settings->faulty_limits);
}

// Guards against a host that does not start, or serves with a wrong number of workers, since the
// platform states one of its limits badly or not at all.
BOOST_AUTO_TEST_CASE(a_limit_that_is_missing_or_not_usable_falls_back_to_its_default)
{
    const std::string required = "name: a\ndata_centre: dc1\ncallers: 1.2.3.4:1\n"
                                 "readiness: 1.2.3.4:2\npeers: tcp://1.2.3.4:3\nstore: 1.2.3.4:4\n";
    struct row
    {
        const char* text;
        const char* defaulted;
        bool faulty;
    };
    const std::string rest = ",processor_speed:absent,memory_mb:absent,link_mbps:absent";
    for (const auto& [text, reason, faulty] :
         {row{"", "absent", false}, row{"processor_share:", "empty", false},
          row{"processor_share: \"\"", "empty", false}, row{"processor_share: ~", "empty", false},
          row{"processor_share: 0", "out_of_range", true},
          row{"processor_share: -0.5", "out_of_range", true},
          row{"processor_share: 1e9", "out_of_range", true},
          row{"processor_share: .nan", "out_of_range", true},
          row{"processor_share: .inf", "out_of_range", true},
          row{"processor_share: half", "not_a_number", true},
          row{"processor_share: [0.5]", "not_a_number", true}})
    {
        BOOST_TEST_CONTEXT("setting '" << text << "'")
        {
            const auto settings = parse_edge_settings(required + text + "\n");
            BOOST_REQUIRE(settings);
            BOOST_TEST(settings->processor_share == 0);
            BOOST_TEST(settings->defaulted_limits ==
                       std::string("processor_share:") + reason + rest);
            BOOST_TEST(settings->faulty_limits == faulty);
        }
    }
    const auto settings = parse_edge_settings(
        required + "processor_share: 0.5\nprocessor_speed: 1\nmemory_mb: 512\nlink_mbps: 200\n");
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings->defaulted_limits.empty());
    BOOST_TEST(settings->processor_share == 0.5);
    BOOST_TEST(settings->memory_mb == 512);
    BOOST_TEST(settings->link_mbps == 200);
}

BOOST_AUTO_TEST_CASE(all_faults_in_settings_are_reported_together)
{
    const auto settings = parse_edge_settings(
        "name: a\ncallers: nowhere\nlog_lines_per_s: 0\nfirst_start: perhaps\n");
    BOOST_REQUIRE(!settings);
    for (const char* fault : {"data_centre", "callers", "readiness", "peers", "store",
                              "log_lines_per_s", "first_start"})
        BOOST_TEST(settings.error().message.find(fault) != std::string::npos, fault);
    BOOST_TEST(!parse_edge_settings(": :").has_value());
    BOOST_TEST(!parse_edge_settings("[]").has_value());
}

BOOST_AUTO_TEST_CASE(a_flood_of_log_lines_is_bounded_and_counted)
{
    log_budget budget(200);
    int written = 0;
    for (int ms = 0; ms < 3000; ++ms)
        for (int line = 0; line < 5; ++line)
            written += budget.take(microseconds{1000000 + ms * 1000}) ? 1 : 0;
    BOOST_TEST(written >= 3 * 200);
    BOOST_TEST(written <= 4 * 200);
    BOOST_TEST(budget.take_dropped() == 15000U - static_cast<unsigned>(written));
    BOOST_TEST(budget.take_dropped() == 0U);
}

namespace
{

// Returns a message that no later one replaces.
wire::PeerMessage numbered_message(const std::string& from, std::uint64_t number)
{
    wire::PeerMessage message;
    message.mutable_from()->set_name(from);
    message.mutable_from()->set_incarnation(1);
    message.mutable_pool_cancel()->set_offer(number);
    return message;
}

// Repeats `step` until it returns true, for at most 20 s. Returns whether it did.
bool wait_until(const std::function<bool()>& step)
{
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds{20};
    while (!step())
    {
        if (std::chrono::steady_clock::now() > give_up_at)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    return true;
}

} // namespace

// Guards against an abort on two signals, or on one that comes while the process stands still: a
// signal that interrupted the bus's thread ended the process.
BOOST_AUTO_TEST_CASE(signals_interrupt_no_thread_of_a_host)
{
    running_host host(config_with_body_limit);
    BOOST_REQUIRE(host.serves());
    // As after a signal that the main thread has not handled yet.
    sigset_t reload;
    sigset_t former;
    sigemptyset(&reload);
    sigaddset(&reload, SIGHUP);
    ::pthread_sigmask(SIG_BLOCK, &reload, &former);
    for (int i = 0; i < 400; ++i)
    {
        ::kill(::getpid(), SIGHUP);
        std::this_thread::sleep_for(std::chrono::milliseconds{i % 3});
    }
    BOOST_TEST(host.caller_status("GET", "/q/") == 200U);
    ::pthread_sigmask(SIG_SETMASK, &former, nullptr);
}

// Guards against a bus whose thread ends when a system call is interrupted, whoever sends the
// signal.
BOOST_AUTO_TEST_CASE(an_interrupted_bus_receives_on)
{
    struct sigaction ignore = {};
    struct sigaction former = {};
    ignore.sa_handler = [](int) {};
    ::sigaction(SIGUSR1, &ignore, &former);
    std::atomic<std::uint64_t> received{0};
    peer_bus receiver({"tcp://127.0.0.1:0", {}, {}, {}},
                      [&](const wire::PeerMessage&)
                      {
                          ++received;
                          return true;
                      });
    peer_bus sender({"tcp://127.0.0.1:0", {}, {}, {}},
                    [](const wire::PeerMessage&) { return true; });
    sender.set_address("receiver", receiver.endpoint());
    sigset_t interrupt;
    sigset_t former_mask;
    sigemptyset(&interrupt);
    sigaddset(&interrupt, SIGUSR1);
    ::pthread_sigmask(SIG_BLOCK, &interrupt, &former_mask);
    std::uint64_t number = 0;
    for (int i = 0; i < 200; ++i)
    {
        ::kill(::getpid(), SIGUSR1);
        sender.send("receiver", numbered_message("sender", ++number));
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    const auto before = received.load();
    BOOST_TEST(wait_until(
        [&]
        {
            sender.send("receiver", numbered_message("sender", ++number));
            return received > before;
        }));
    ::pthread_sigmask(SIG_SETMASK, &former_mask, nullptr);
    ::sigaction(SIGUSR1, &former, nullptr);
}

// A caller's request waited until hundreds of messages of other hosts had been handled.
BOOST_AUTO_TEST_CASE(other_events_run_between_the_messages_of_a_backlog)
{
    boost::asio::io_context context{1};
    std::size_t handled = 0;
    peer_delivery delivery(
        context, {}, [&](const wire::PeerMessage&) { ++handled; }, [] {});
    for (std::uint64_t number = 0; number < 400; ++number)
        BOOST_TEST(delivery.push(numbered_message("h" + std::to_string(number % 20), number)));
    std::size_t handled_before = 0;
    boost::asio::post(context, [&] { handled_before = handled; });
    context.run();
    BOOST_TEST(handled_before <= peer_delivery_settings{}.max_batch);
    BOOST_TEST(handled == 400U);
}

// A process that was short of processor time kept all that its peers sent, and its peers did not
// notice. It must stop reading at a bound, send its own messages meanwhile, and read on later.
BOOST_AUTO_TEST_CASE(a_busy_process_stops_reading_and_still_sends)
{
    constexpr std::size_t max_messages = 20;
    constexpr std::uint64_t total = 2000;
    boost::asio::io_context context{1};
    std::vector<std::uint64_t> handled;
    std::atomic<std::size_t> answers{0};
    std::optional<peer_bus> bus;
    peer_delivery_settings settings;
    settings.inbox.max_messages = max_messages;
    peer_delivery delivery(
        context, settings,
        [&](const wire::PeerMessage& message) { handled.push_back(message.pool_cancel().offer()); },
        [&] { bus->resume_receiving(); });
    bus.emplace(peer_bus_settings{},
                [&](wire::PeerMessage message) { return delivery.push(std::move(message)); });
    peer_bus peer({},
                  [&](const wire::PeerMessage&)
                  {
                      ++answers;
                      return true;
                  });
    peer.set_address("busy", bus->endpoint());
    bus->set_address("peer", peer.endpoint());
    // The connection is up once a message has arrived.
    BOOST_TEST(wait_until(
        [&]
        {
            peer.send("busy", numbered_message("peer", 0));
            bus->send("peer", numbered_message("busy", 0));
            return delivery.waiting() > 0 && answers > 0;
        }));
    const auto before = answers.load();
    for (std::uint64_t number = 1; number <= total; ++number)
        peer.send("busy", numbered_message("peer", number));
    BOOST_TEST(wait_until([&] { return bus->pauses() > 0; }));
    bus->send("peer", numbered_message("busy", 1));
    BOOST_TEST(wait_until([&] { return answers > before; }));
    BOOST_TEST(delivery.waiting() == max_messages);

    BOOST_TEST(wait_until(
        [&]
        {
            context.restart();
            context.poll();
            BOOST_TEST(delivery.waiting() <= max_messages + 1);
            return !handled.empty() && handled.back() == total;
        }));
    std::uint64_t expected = 0;
    for (const auto number : handled)
        if (number > 0)
            BOOST_TEST(number == ++expected);
    BOOST_TEST(expected == total);
    bus.reset();
}

// Guards against memory over the limit (incident LOST): a message that waited in a socket kept a
// buffer of 8 KB and its table of references.
BOOST_AUTO_TEST_CASE(a_message_that_waits_in_a_socket_takes_little_more_than_its_size)
{
    constexpr std::uint64_t total = 1000;
    constexpr std::size_t message_bytes = 300; // a heartbeat
    std::atomic<bool> paused{false};
    peer_bus receiver({},
                      [&](const wire::PeerMessage&)
                      {
                          paused = true;
                          return false;
                      });
    peer_bus sender({}, [](const wire::PeerMessage&) { return true; });
    sender.set_address("receiver", receiver.endpoint());
    auto message = numbered_message("sender", 1);
    message.mutable_pool_result()->set_detail(std::string(message_bytes, 'x'));
    BOOST_REQUIRE(wait_until(
        [&]
        {
            sender.send("receiver", message);
            return paused.load();
        }));
    const auto before = allocated_bytes();
    for (std::uint64_t number = 1; number <= total; ++number)
    {
        sender.send("receiver", message);
        std::this_thread::sleep_for(std::chrono::milliseconds{1}); // one read for each message
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    // Twice the size for ZeroMQ's own structures, and a megabyte for what else the process does.
    BOOST_TEST(allocated_bytes() < before + total * message_bytes * 3 + 1'000'000);
}

// Guards against a host that sends and hears nobody (incident LOST): the bus handled commands of
// other threads until none was left, and on a slow processor there was always another.
BOOST_AUTO_TEST_CASE(messages_are_received_between_the_commands_of_a_backlog)
{
    constexpr std::uint64_t backlog = 900; // below ZeroMQ's default mark
    std::promise<void> release;
    const auto released = release.get_future().share();
    std::atomic<bool> blocked{false};
    peer_bus busy({},
                  [&](const wire::PeerMessage&)
                  {
                      blocked = true;
                      released.wait();
                      return true;
                  });
    peer_bus peer({}, [](const wire::PeerMessage&) { return true; });
    peer.set_address("busy", busy.endpoint());
    BOOST_REQUIRE(wait_until(
        [&]
        {
            peer.send("busy", numbered_message("peer", 1));
            return blocked.load();
        }));
    const auto commands = busy.commands();
    const auto turns = busy.turns();
    for (std::uint64_t i = 0; i < backlog; ++i)
        busy.send("nobody", numbered_message("busy", 1));
    release.set_value();
    BOOST_REQUIRE(wait_until([&] { return busy.commands() >= commands + backlog; }));
    // Each turn receives messages. A heartbeat of each of 96 hosts is a turn's work.
    BOOST_TEST(busy.turns() >= turns + backlog / 96);
}
