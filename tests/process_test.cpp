#define BOOST_TEST_MODULE process
// Runs real entry daemons on loopback under load. One is killed and restarted, one is paused past
// its lease and resumed, and one is stopped gracefully. The history of calls and starts is then
// checked.
#include "core/wire.hpp"
#include "harness/history.hpp"
#include "io/codec.hpp"
#include "io/daemon.hpp"
#include "io/dump_json.hpp"
#include "io/standin_server.hpp"
#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace egretledge;
using namespace egretledge::standin;

extern char** environ;

namespace
{

constexpr std::uint16_t hosts = 3;
constexpr std::uint16_t worker_count = 4;

struct cluster
{
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
        context.get_executor()};
    std::thread thread{[this] { context.run(); }};
    platform_server platform{context, {}};
    std::vector<std::unique_ptr<worker_server>> workers;
    std::filesystem::path directory;
    std::uint16_t first_port = 0;
    std::vector<pid_t> pids{std::vector<pid_t>(hosts, 0)};
    std::array<std::atomic<std::uint64_t>, hosts> incarnations{};
    std::chrono::steady_clock::time_point started_at = std::chrono::steady_clock::now();
    std::mutex guard;
    harness::history history;
    std::atomic<std::uint64_t> next_call{1};

    cluster()
    {
        find_ports();
        directory = std::filesystem::temp_directory_path() /
                    ("egret-process-" + std::to_string(first_port));
        std::filesystem::create_directories(directory);
        publish();
        list_hosts();
        for (std::uint16_t i = 0; i < hosts; ++i)
        {
            std::ofstream(directory / (name(i) + ".yaml"))
                << "{name: " << name(i)
                << ", data_centre: dc, platform: '127.0.0.1:" << platform.port()
                << "', http_port: " << http_port(i)
                << ", peer_listen: 'tcp://127.0.0.1:" << peer_port(i)
                << "', log_level: error, host_list_lag: 3000ms}";
            start(i);
        }
        for (std::uint16_t i = 0; i < hosts; ++i)
            wait_for("host " + name(i), [&] { return dump(i).ready; });
        wait_for("all shards", [&] { return serving() == 8; });
    }
    ~cluster()
    {
        for (std::uint16_t i = 0; i < hosts; ++i)
            if (pids[i] != 0)
                end_process(i, SIGKILL);
        work.reset();
        context.stop();
        thread.join();
        std::filesystem::remove_all(directory);
    }

    // Finds consecutive free ports: for workers, then HTTP, then peers.
    void find_ports()
    {
        for (std::uint16_t port = 23000; first_port == 0 && port < 30000; port += 16)
            try
            {
                workers.clear();
                std::vector<std::unique_ptr<http_server>> probes;
                for (std::uint16_t i = 0; i < worker_count + 2 * hosts; ++i)
                {
                    http_server_settings http;
                    http.port = static_cast<std::uint16_t>(port + i);
                    if (i < worker_count)
                        workers.push_back(std::make_unique<worker_server>(
                            context, http, worker_settings{"w", 1, 4}));
                    else
                        probes.push_back(std::make_unique<http_server>(
                            context, http, [](const http_request&, const http_responder&) {}));
                }
                first_port = port;
            }
            catch (const boost::system::system_error&)
            {
            }
        BOOST_REQUIRE(first_port != 0);
    }
    static std::string name(std::uint16_t i) { return "h" + std::to_string(i + 1); }
    std::uint16_t http_port(std::uint16_t i) const { return first_port + worker_count + i; }
    std::uint16_t peer_port(std::uint16_t i) const { return first_port + worker_count + hosts + i; }

    void publish()
    {
        const auto text =
            "{kind: region, name: r}\n---\n{kind: data_centre, name: dc, region: r}\n"
            "---\n{kind: executor_pool, name: p, data_centre: dc, address: 127.0.0.1, count: 4, "
            "slots: 4, memory: 1GiB, first_port: " +
            std::to_string(first_port) +
            "}\n---\n{kind: service, name: once, repeatable: false, deadline: 8s}\n"
            "---\n{kind: team, name: t, quota: 8, token_sha256: " +
            sha256_hex("token") + "}\n";
        const auto objects = parse_objects(text, "test");
        BOOST_REQUIRE(objects);
        const auto record = make_publication("first", "test", 0, {*objects, {}});
        request(platform.port(), "POST", "/v1/streams/config/records", record.SerializeAsString());
    }
    void list_hosts()
    {
        host_listing listing;
        for (std::uint16_t i = 0; i < hosts; ++i)
            listing.hosts.push_back({name(i), "dc",
                                     "tcp://127.0.0.1:" + std::to_string(peer_port(i)),
                                     "127.0.0.1:" + std::to_string(http_port(i)), false});
        request(platform.port(), "PUT", "/v1/hosts", listing_to_json(listing));
    }

    expected<http_reply> request(std::uint16_t port, const std::string& method,
                                 const std::string& target, const std::string& body = {},
                                 const std::string& key = {})
    {
        http_call call;
        call.address = "127.0.0.1:" + std::to_string(port);
        call.method = method;
        call.target = target;
        call.body = body;
        call.bearer = "token";
        call.idempotency_key = key;
        call.timeout = milliseconds{15000};
        return http_send(std::move(call));
    }
    node_dump dump(std::uint16_t i)
    {
        const auto reply = request(http_port(i), "GET", "/statez");
        const auto parsed = reply ? dump_from_json(reply->body)
                                  : expected<node_dump>(tl::make_unexpected(reply.error()));
        return parsed ? *parsed : node_dump{};
    }
    std::size_t serving()
    {
        std::size_t count = 0;
        for (std::uint16_t i = 0; i < hosts; ++i)
            if (pids[i] != 0)
                for (const auto& shard : dump(i).shards)
                    count += shard.serving ? 1 : 0;
        return count;
    }
    template <class Condition>
    void wait_for(const std::string& condition_name, Condition condition)
    {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds{30};
        while (std::chrono::steady_clock::now() < until)
        {
            if (condition())
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
        BOOST_FAIL("timed out after 30 s waiting for " + condition_name);
    }

    void start(std::uint16_t i)
    {
        const std::string program = std::string(EGRETLEDGE_BINARY_DIR) + "/egretd";
        const std::string settings = (directory / (name(i) + ".yaml")).string();
        std::array<char*, 4> arguments{const_cast<char*>(program.c_str()),
                                       const_cast<char*>("--settings"),
                                       const_cast<char*>(settings.c_str()), nullptr};
        // The daemon inherits no output stream of this process: a reader of the test's output
        // must not have to wait for the daemon to exit.
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        const auto log = (directory / (name(i) + ".log")).string();
        posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
        posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
        const int spawned =
            posix_spawn(&pids[i], program.c_str(), &files, nullptr, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&files);
        BOOST_REQUIRE(spawned == 0);
        ++incarnations[i];
    }
    // Sends `signal` to a host's process and waits for its end. Returns its exit code, or -1 if a
    // signal ended it.
    int end_process(std::uint16_t i, int signal)
    {
        ::kill(pids[i], signal);
        int status = 0;
        ::waitpid(pids[i], &status, 0);
        const std::lock_guard lock(guard);
        history.on_host_terminated(name(i), incarnations[i]);
        pids[i] = 0;
        const int code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        if (code > 0)
        {
            std::ifstream log(directory / (name(i) + ".log"));
            BOOST_TEST_MESSAGE("log of " << name(i) << ":\n" << log.rdbuf());
        }
        return code;
    }
    microseconds now() const
    {
        return std::chrono::duration_cast<microseconds>(std::chrono::steady_clock::now() -
                                                        started_at);
    }

    // Submits a job to a host and records the answer.
    void submit(std::uint16_t host, const std::string& key, const wire::Job& job)
    {
        harness::recorded_call call;
        call.number = next_call++;
        call.host = name(host);
        call.incarnation = incarnations[host];
        call.team = "t";
        call.key = key;
        call.job = job;
        call.at = now();
        // A paused host answers when it resumes; the time limit of the request applies to all
        // hosts.
        call.due = call.at + milliseconds{15000};
        {
            const std::lock_guard lock(guard);
            history.add(call);
        }
        const auto reply = request(http_port(host), "POST", "/v1/jobs", job_to_json(job), key);
        const std::lock_guard lock(guard);
        auto* recorded = history.find(call.number);
        if (!reply)
        {
            // The connection ended, and the caller does not know the outcome.
            recorded->host_died = true;
            return;
        }
        history.on_answer(call.number, now(), parse_answer(reply->body));
    }
    static wire::Answer parse_answer(const std::string& body)
    {
        const auto value = boost::json::parse(body).as_object();
        auto kind = answer_kind::ok;
        boost::describe::enum_from_string(value.at("kind").as_string().c_str(), kind);
        auto answer = make_answer(kind);
        if (const auto* tasks = value.if_contains("tasks"))
            for (const auto& task : tasks->as_array())
            {
                auto& task_result = *answer.add_tasks();
                auto state = run_state::not_started;
                boost::describe::enum_from_string(task.at("state").as_string().c_str(), state);
                task_result.set_run_state(static_cast<std::uint32_t>(state));
                if (const auto* output = task.as_object().if_contains("output"))
                    task_result.set_output(std::string(output->as_string()));
            }
        return answer;
    }

    std::string verdict()
    {
        for (const auto& worker : workers)
            for (const auto& start : worker->started())
                history.add_start({"w", start.job, start.task, start.at, start.ended});
        auto fault = history.check(now(), {});
        if (!fault.empty())
            fault += '\n' + history.describe(fault.substr(0, fault.find(':')));
        return fault;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(killed_paused_and_stopped_hosts_keep_every_rule_under_load)
{
    cluster c;
    std::atomic<bool> loading{true};
    std::vector<std::thread> callers;
    for (int t = 0; t < 6; ++t)
        callers.emplace_back(
            [&, t]
            {
                std::mt19937_64 random(static_cast<std::uint64_t>(t));
                std::string last_key;
                wire::Job last_job;
                for (int n = 0; loading; ++n)
                {
                    const bool resubmit = !last_key.empty() && random() % 4 == 0;
                    wire::Job job;
                    job.set_service("once");
                    for (std::uint64_t i = 0; i < 1 + random() % 5; ++i)
                    {
                        auto& task = *job.add_tasks();
                        task.set_payload("p" + std::to_string(random() % 1000));
                        task.set_size_ms(static_cast<std::uint32_t>(random() % 60));
                    }
                    const auto key = resubmit
                                         ? last_key
                                         : "dc." + std::to_string(read_clocks().wall.count()) +
                                               ".t" + std::to_string(t) + "n" + std::to_string(n);
                    if (!resubmit)
                        last_job = job;
                    last_key = key;
                    c.submit(static_cast<std::uint16_t>(random() % hosts), key, last_job);
                }
            });
    const auto call_count = [&]
    {
        const std::lock_guard lock(c.guard);
        return c.history.calls().size();
    };
    const auto wait_for_calls = [&](std::size_t more)
    {
        const auto target_count = call_count() + more;
        c.wait_for("load", [&] { return call_count() >= target_count; });
    };
    wait_for_calls(300);
    BOOST_TEST(c.end_process(0, SIGKILL) == -1);
    c.wait_for("takeover", [&] { return c.serving() == 8; });
    wait_for_calls(200);
    c.start(0);
    c.wait_for("the restarted host", [&] { return c.dump(0).ready && c.serving() == 8; });
    wait_for_calls(200);
    // One host is paused until the others have taken over all shards, then resumed.
    ::kill(c.pids[1], SIGSTOP);
    c.wait_for("takeover of the paused host",
               [&]
               {
                   std::size_t count = 0;
                   for (const std::uint16_t i : {0, 2})
                       for (const auto& shard : c.dump(i).shards)
                           count += shard.serving ? 1 : 0;
                   return count == 8;
               });
    // Only a few calls: a caller of the paused host waits until the host resumes.
    wait_for_calls(12);
    // A signal that waits for a process to continue may be taken by any of its threads.
    ::kill(c.pids[1], SIGHUP);
    ::kill(c.pids[1], SIGCONT);
    c.wait_for("the resumed host", [&] { return c.serving() == 8; });
    wait_for_calls(200);
    for (int i = 0; i < 100; ++i)
        ::kill(c.pids[2], SIGHUP);
    BOOST_TEST(c.end_process(2, SIGTERM) == 0);
    c.wait_for("handover", [&] { return c.serving() == 8; });
    wait_for_calls(200);
    loading = false;
    for (auto& caller : callers)
        caller.join();
    std::size_t complete = 0;
    for (const auto& [number, call] : c.history.calls())
        complete += call.answered && outcome_of(call.answer) == outcome::complete ? 1 : 0;
    BOOST_TEST(complete * 10 > call_count() * 6);
    BOOST_TEST_MESSAGE(call_count() << " calls, " << complete << " complete");
    BOOST_TEST(c.verdict() == "");
}
