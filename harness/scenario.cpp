// A scenario is a list of steps, each with a time and one verb. The steps run in the order of the
// file, which must be the order of their times, against a simulation of the production nodes in
// virtual time. At the end the whole history is checked as well (see history.hpp).
//
// A step may name a host or worker by its role for a key:
//   - "owner of KEY", "bystander of KEY" and "other bystander of KEY" are the host that owned the
//     key, and hosts of its home data centre that did not, at the time when the key was made.
//   - "new owner of KEY" is the host that owns it now.
//   - "worker of KEY" is the first worker found that has started a task of it.

#include "harness/scenario.hpp"
#include "core/wire.hpp"
#include "harness/simulation.hpp"
#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace egretledge::harness
{

namespace
{

class scenario
{
public:
    scenario(const YAML::Node& file, bool trace) : m_file(file), m_simulation(make_settings(file))
    {
        m_simulation.trace(trace);
    }

    scenario_result run()
    {
        scenario_result result{m_file["name"].as<std::string>(), {}};
        for (const auto& step : m_file["timeline"])
        {
            m_simulation.run_until(duration(step["at"]));
            try
            {
                run_step(step);
            }
            catch (const std::exception& e)
            {
                fail(step, e.what());
            }
        }
        if (m_file["until"])
            m_simulation.run_until(duration(m_file["until"]));
        const auto violation = m_simulation.check_history();
        if (!violation.empty())
            m_failures.push_back("history: " + violation);
        result.failures = m_failures;
        return result;
    }

private:
    using verb_function = void (scenario::*)(const YAML::Node&);
    struct verb
    {
        const char* name;
        verb_function run;
    };
    static const std::array<verb, 27> verbs;

    static microseconds duration(const YAML::Node& node)
    {
        const auto text = node.as<std::string>();
        const auto value = std::stod(text);
        const bool is_ms = text.ends_with("ms");
        if (!is_ms && !text.ends_with("s"))
            throw std::runtime_error("'" + text + "' needs a unit, ms or s");
        return microseconds{static_cast<std::int64_t>(value * (is_ms ? 1e3 : 1e6))};
    }

    static simulation_settings make_settings(const YAML::Node& file)
    {
        simulation_settings settings;
        settings.seed = file["seed"].as<std::uint64_t>(1);
        settings.shards = file["shards"].as<std::uint32_t>(4);
        settings.slots = file["slots"].as<std::uint32_t>(4);
        settings.extra_config = file["config"].as<std::string>("");
        if (file["host_list_lag"])
            settings.list_lag =
                std::chrono::duration_cast<milliseconds>(duration(file["host_list_lag"]));
        settings.host_list_lag = settings.list_lag + milliseconds{2000};
        if (file["snapshot_every"])
            settings.snapshot_interval =
                std::chrono::duration_cast<milliseconds>(duration(file["snapshot_every"]));
        for (const auto& centre : file["centres"])
            settings.centres.push_back({centre["name"].as<std::string>(),
                                        centre["hosts"].as<std::vector<std::string>>(),
                                        centre["workers"].as<std::uint32_t>(2)});
        return settings;
    }

    void fail(const YAML::Node& step, const std::string& why)
    {
        m_failures.push_back("line " + std::to_string(step.Mark().line + 1) + ": " + why);
    }

    void run_step(const YAML::Node& step)
    {
        for (const auto& pair : step)
        {
            const auto name = pair.first.as<std::string>();
            if (name == "at")
                continue;
            const auto found = std::find_if(verbs.begin(), verbs.end(),
                                            [&](const verb& v) { return name == v.name; });
            if (found == verbs.end())
                throw std::runtime_error("unknown verb '" + name + "'");
            (this->*found->run)(pair.second);
        }
    }

    // Returns the key with a short name of the file. Makes the key now if the name is new.
    std::string key_of(const std::string& name, const std::string& centre = {})
    {
        const auto known = m_keys.find(name);
        if (known != m_keys.end())
            return known->second;
        const auto home = centre.empty() ? m_file["centres"][0]["name"].as<std::string>() : centre;
        const auto& key = m_keys.emplace(name, m_simulation.make_key(home, name)).first->second;
        record_roles(name);
        return key;
    }

    // Records the owner and the bystanders of a new key. They are fixed at this time, since these
    // hosts may terminate later.
    void record_roles(const std::string& name)
    {
        const auto key = key_of(name);
        const auto centre = key.substr(0, key.find('.'));
        const auto shard =
            shard_of(make_job_id("team-a", key), m_file["shards"].as<std::uint32_t>(4));
        const auto serving = m_simulation.serving(centre, shard);
        if (serving.empty())
            return;
        m_roles["owner of " + name] = serving.front();
        const char* role = "bystander of ";
        for (const auto& host : m_simulation.host_names())
        {
            if (host == serving.front() || !m_simulation.alive(host) ||
                m_simulation.centre_of(host) != centre)
                continue;
            m_roles.try_emplace(role + name, host);
            role = "other bystander of ";
        }
    }

    std::string owner_of(const std::string& key_name)
    {
        const auto key = key_of(key_name);
        const auto centre = key.substr(0, key.find('.'));
        const auto shard =
            shard_of(make_job_id("team-a", key), m_file["shards"].as<std::uint32_t>(4));
        const auto serving = m_simulation.serving(centre, shard);
        if (serving.empty())
            throw std::runtime_error("no host serves the key " + key_name);
        return serving.front();
    }

    std::string worker_of(const std::string& key_name)
    {
        const auto id = make_job_id("team-a", key_of(key_name));
        for (const auto& name : m_simulation.worker_names())
            if (const auto* worker = m_simulation.worker(name))
                for (const auto& start : worker->started())
                    if (start.job == id)
                        return name;
        throw std::runtime_error("no worker has started the key " + key_name);
    }

    std::string resolve_name(const YAML::Node& node)
    {
        auto text = node.as<std::string>();
        const auto of = text.find(" of ");
        if (of == std::string::npos)
            return text;
        const auto role = text.substr(0, of);
        const auto key = text.substr(of + 4);
        if (role == "worker" && !m_roles.contains(text))
            m_roles.emplace(text, worker_of(key));
        if (role == "new owner")
            return owner_of(key);
        const auto known = m_roles.find(text);
        if (known == m_roles.end())
            throw std::runtime_error("no host or worker has the role " + text);
        return known->second;
    }

    static wire::Job parse_job(const YAML::Node& node)
    {
        wire::Job job;
        job.set_service(node["service"].as<std::string>("once"));
        if (node["deadline"])
            job.set_deadline_ms(
                static_cast<std::uint32_t>(duration(node["deadline"]).count() / 1000));
        const auto count = node["tasks"].as<int>(1);
        const auto length = node["each"] ? duration(node["each"]) : microseconds{50000};
        for (int i = 0; i < count; ++i)
        {
            auto& task = *job.add_tasks();
            task.set_payload(node["payload"].as<std::string>("p") + std::to_string(i));
            task.set_size_ms(static_cast<std::uint32_t>(length.count() / 1000));
        }
        return job;
    }

    std::vector<std::string> resolve_hosts(const YAML::Node& node)
    {
        if (node.IsSequence())
        {
            std::vector<std::string> names;
            for (const auto& item : node)
                names.push_back(resolve_name(item));
            return names;
        }
        if (node.as<std::string>() == "all")
            return m_simulation.host_names();
        return {resolve_name(node)};
    }

    void submit(const YAML::Node& node)
    {
        const auto key = key_of(node["key"].as<std::string>(), node["home"].as<std::string>(""));
        const auto count = node["times"].as<int>(1);
        for (int i = 0; i < count; ++i)
            for (const auto& host : resolve_hosts(node["host"]))
            {
                const auto number = m_simulation.submit(host, key, parse_job(node),
                                                        node["team"].as<std::string>("team-a"));
                m_calls[node["call"].as<std::string>(node["key"].as<std::string>())].push_back(
                    number);
            }
    }

    void send_call(const YAML::Node& node, wire::CallKind kind)
    {
        const auto number = m_simulation.send_call(resolve_name(node["host"]),
                                                   key_of(node["key"].as<std::string>()), kind);
        m_calls[node["call"].as<std::string>()].push_back(number);
    }
    void query(const YAML::Node& node) { send_call(node, wire::QUERY); }
    void cancel(const YAML::Node& node) { send_call(node, wire::CANCEL); }

    // Makes a key without a call for it.
    void make_key(const YAML::Node& node)
    {
        key_of(node["key"].as<std::string>(), node["home"].as<std::string>(""));
    }

    void kill(const YAML::Node& node)
    {
        for_each_host(node, [&](const auto& n) { m_simulation.kill(n); });
    }
    void start(const YAML::Node& node)
    {
        for_each_host(node, [&](const auto& n) { m_simulation.start(n); });
    }
    void pause(const YAML::Node& node)
    {
        for_each_host(node, [&](const auto& n) { m_simulation.pause(n); });
    }
    void resume(const YAML::Node& node)
    {
        for_each_host(node, [&](const auto& n) { m_simulation.resume(n); });
    }
    void stop(const YAML::Node& node)
    {
        for_each_host(node, [&](const auto& n) { m_simulation.stop(n); });
    }
    void unlist(const YAML::Node& node)
    {
        for_each_host(node, [&](const auto& n) { m_simulation.unlist(n); });
    }
    void kill_worker(const YAML::Node& node)
    {
        for_each_host(node, [&](const auto& n) { m_simulation.kill_worker(n); });
    }
    void start_worker(const YAML::Node& node)
    {
        for_each_host(node, [&](const auto& n) { m_simulation.start_worker(n); });
    }
    void worker_fails(const YAML::Node& node)
    {
        for_each_host(node,
                      [&](const auto& n) {
                          m_simulation.set_worker(n, [](standin::worker_settings& s)
                                                  { s.fail_all = true; });
                      });
    }
    void leave_worker(const YAML::Node& node)
    {
        for_each_host(node, [&](const auto& n) { m_simulation.leave_worker(n); });
    }

    template <class Action>
    void for_each_host(const YAML::Node& node, Action action)
    {
        for (const auto& name : resolve_hosts(node))
            action(name);
    }

    void cut(const YAML::Node& node)
    {
        m_simulation.cut(resolve_name(node[0]), resolve_name(node[1]));
    }
    void heal(const YAML::Node& node)
    {
        m_simulation.heal(resolve_name(node[0]), resolve_name(node[1]));
    }
    void heal_all(const YAML::Node&) { m_simulation.heal_all(); }

    void log(const YAML::Node& node)
    {
        const auto state = node.as<std::string>();
        m_simulation.set_log(state == "down"           ? log_state::down
                             : state == "lose_answers" ? log_state::lose_answers
                                                       : log_state::up);
    }
    void log_delay(const YAML::Node& node) { m_simulation.set_log_delay(duration(node)); }
    void age_out(const YAML::Node& node) { m_simulation.age_out_log(node.as<std::size_t>()); }
    void delay(const YAML::Node& node)
    {
        m_simulation.set_extra_delay(resolve_name(node["from"]), resolve_name(node["to"]),
                                     duration(node["by"]));
    }
    void publish(const YAML::Node& node)
    {
        m_simulation.publish(node["objects"].as<std::string>(), node["base"].as<std::uint64_t>(),
                             node["id"].as<std::string>());
    }

    // Expects that every call of a name has the outcome, and the kind and the maximum response time
    // if they are given.
    void expect(const YAML::Node& node)
    {
        for (const auto number : m_calls.at(node["call"].as<std::string>()))
        {
            const auto* call = m_simulation.calls().find(number);
            const auto actual = call->answered ? std::string(name_of(outcome_of(call->answer)))
                                               : (call->host_died ? "cut_off" : "none");
            const auto expected_outcome = node["outcome"].as<std::string>();
            if (actual != expected_outcome)
                fail(node, "call " + node["call"].as<std::string>() + " at " + call->host +
                               " has outcome " + actual + ", expected " + expected_outcome + " (" +
                               std::string(name_of(kind_of(call->answer))) + " " +
                               call->answer.detail() + ")");
            const auto kind = std::string(name_of(kind_of(call->answer)));
            if (node["kind"] && kind != node["kind"].as<std::string>())
                fail(node, "the answer has kind " + kind);
            const auto elapsed = call->answered_at - call->at;
            if (node["within"] && call->answered && elapsed > duration(node["within"]))
                fail(node, "the answer took " + std::to_string(elapsed.count() / 1000) + "ms");
        }
    }

    // Expects a total number of starts of a key's tasks.
    void expect_starts(const YAML::Node& node)
    {
        const auto id = make_job_id("team-a", key_of(node["key"].as<std::string>()));
        std::size_t actual = 0;
        for (const auto& start : m_simulation.calls().starts())
            actual += start.job == id ? 1 : 0;
        for (const auto& name : m_simulation.worker_names())
            if (const auto* worker = m_simulation.worker(name))
                for (const auto& start : worker->started())
                    actual += start.job == id ? 1 : 0;
        if (actual != node["count"].as<std::size_t>())
            fail(node, "the key has " + std::to_string(actual) + " task starts");
    }

    // Expects a configuration revision of one host, or of every running host.
    void expect_revision(const YAML::Node& node)
    {
        for (const auto& name : resolve_hosts(node["host"]))
            if (m_simulation.alive(name) &&
                m_simulation.host(name)->revision() != node["is"].as<std::uint64_t>())
                fail(node,
                     name + " has revision " + std::to_string(m_simulation.host(name)->revision()));
    }

    // Expects a number of hosts that serve a key's shard at this time.
    void expect_serving(const YAML::Node& node)
    {
        const auto key = key_of(node["key"].as<std::string>());
        const auto shard =
            shard_of(make_job_id("team-a", key), m_file["shards"].as<std::uint32_t>(4));
        const auto actual = m_simulation.serving(key.substr(0, key.find('.')), shard).size();
        if (actual != node["hosts"].as<std::size_t>())
            fail(node, std::to_string(actual) + " hosts serve the key");
    }

    // Expects a worker's number of task starts to lie within bounds.
    void expect_worker(const YAML::Node& node)
    {
        const auto* worker = m_simulation.worker(node["name"].as<std::string>());
        const auto actual = worker->started().size();
        if (actual < node["least"].as<std::size_t>(0) || actual > node["most"].as<std::size_t>())
            fail(node, "the worker started " + std::to_string(actual) + " tasks");
    }

    YAML::Node m_file;
    simulation m_simulation;
    std::map<std::string, std::string> m_keys;
    std::map<std::string, std::string> m_roles;
    std::map<std::string, std::vector<std::uint64_t>> m_calls;
    std::vector<std::string> m_failures;
};

const std::array<scenario::verb, 27> scenario::verbs{
    {{"submit", &scenario::submit},
     {"query", &scenario::query},
     {"cancel", &scenario::cancel},
     {"make_key", &scenario::make_key},
     {"kill", &scenario::kill},
     {"start", &scenario::start},
     {"pause", &scenario::pause},
     {"resume", &scenario::resume},
     {"stop", &scenario::stop},
     {"unlist", &scenario::unlist},
     {"kill_worker", &scenario::kill_worker},
     {"start_worker", &scenario::start_worker},
     {"worker_fails", &scenario::worker_fails},
     {"leave_worker", &scenario::leave_worker},
     {"cut", &scenario::cut},
     {"heal", &scenario::heal},
     {"heal_all", &scenario::heal_all},
     {"log", &scenario::log},
     {"log_delay", &scenario::log_delay},
     {"age_out", &scenario::age_out},
     {"delay", &scenario::delay},
     {"publish", &scenario::publish},
     {"expect", &scenario::expect},
     {"expect_starts", &scenario::expect_starts},
     {"expect_revision", &scenario::expect_revision},
     {"expect_serving", &scenario::expect_serving},
     {"expect_worker", &scenario::expect_worker}}};

} // namespace

scenario_result run_scenario(const std::string& path, bool trace)
{
    try
    {
        return scenario(YAML::LoadFile(path), trace).run();
    }
    catch (const std::exception& e)
    {
        return {path, {e.what()}};
    }
}

} // namespace egretledge::harness
