// An event loop in virtual time. The fakes behave as follows:
//   - A message between hosts gets a random delay, and may be lost, duplicated or dropped at a cut.
//   - The log applies an append and answers it, or loses the append or the answer.
//   - Workers are instances of the stand-in model, worker_model.
//   - A paused host queues its inputs, as the sockets of a stopped process do, and processes them
//     all when it is resumed.
//   - A killed host loses all its state.
//
// Every host has its own clocks: its wall clock has an offset and its steady clock a rate.

#include "harness/simulation.hpp"
#include "core/check.hpp"
#include <algorithm>
#include <iostream>

namespace egretledge::harness
{

namespace
{

// The wall clock at the start of a simulation.
constexpr milliseconds epoch_wall{1'800'000'000'000};
// Timeout of a host's requests to the log and to workers, beyond the time that a poll waits.
constexpr microseconds request_timeout = milliseconds{1000};
// A host that has not completed its graceful stop after this time is killed.
constexpr microseconds stop_timeout = milliseconds{10000};
// Largest relative deviation of a host's steady clock.
constexpr double max_drift = 0.001;

} // namespace

simulation::simulation(simulation_settings settings)
    : m_settings(std::move(settings)), m_random(m_settings.seed)
{
    std::uniform_real_distribution<double> drift(1 - max_drift, 1 + max_drift);
    std::uniform_int_distribution<std::int64_t> offset(-m_settings.max_clock_offset.count(),
                                                       m_settings.max_clock_offset.count());
    std::uint64_t number = 0;
    for (const auto& centre : m_settings.centres)
    {
        for (std::uint32_t i = 1; i <= centre.workers; ++i)
        {
            const auto name = centre.name + "-pool-" + std::to_string(i);
            auto& worker = m_workers[name];
            worker.name = name;
            worker.centre = centre.name;
            worker.settings.name = name;
            worker.settings.slots = m_settings.slots;
            worker.settings.clock_offset = microseconds{(++number) * 1'000'000'007ULL};
            worker.settings.ignore_fences = m_settings.unsafe_workers;
            m_centres[name] = centre.name;
            start_worker(name);
        }
        for (const auto& name : centre.hosts)
        {
            auto& host = m_hosts[name];
            host.name = name;
            host.centre = centre.name;
            host.wall_offset = milliseconds{offset(m_random)};
            host.rate = drift(m_random);
            m_centres[name] = centre.name;
        }
    }
    publish(base_config() + m_settings.extra_config, 0, "first");
    for (const auto& name : host_names())
    {
        m_hosts[name].listed_from = microseconds{0};
        start(name);
    }
}

simulation::~simulation() = default;

std::string simulation::base_config() const
{
    std::string yaml = "kind: region\nname: region-a\n";
    for (const auto& centre : m_settings.centres)
    {
        yaml += "---\nkind: data_centre\nname: " + centre.name +
                "\nregion: region-a\nshards: " + std::to_string(m_settings.shards) + "\n";
        yaml += "---\nkind: executor_pool\nname: " + centre.name +
                "-pool\ndata_centre: " + centre.name +
                "\naddress: 127.0.0.1\nfirst_port: 20000\nmemory: 32GiB\ncount: " +
                std::to_string(centre.workers) + "\nslots: " + std::to_string(m_settings.slots) +
                "\n";
        for (const auto& host : centre.hosts)
            yaml += "---\nkind: entry_host\nname: " + host + "\ndata_centre: " + centre.name + "\n";
    }
    yaml += "---\nkind: service\nname: once\nrepeatable: false\nrun_time: 50ms\ndeadline: 8s\n"
            "---\nkind: service\nname: repeat\nrepeatable: true\nrun_time: 50ms\ndeadline: 8s\n";
    const auto quota =
        std::to_string(std::max(1U, m_settings.slots * m_settings.centres.front().workers / 2));
    const std::string token(64, 'a');
    const std::string other_token(64, 'b');
    yaml += "---\nkind: team\nname: team-a\nquota: " + quota + "\ntoken_sha256: " + token + "\n";
    yaml +=
        "---\nkind: team\nname: team-b\nquota: " + quota + "\ntoken_sha256: " + other_token + "\n";
    return yaml;
}

void simulation::publish(const std::string& yaml, std::uint64_t base, const std::string& id)
{
    const auto objects = parse_objects(yaml, id);
    EGRET_CHECK(objects.has_value(), "the simulation's own configuration objects must parse");
    const auto record = make_publication(id, "world", base, {*objects, {}});
    m_log.append("config", record.SerializeAsString());
}

void simulation::at(microseconds when, std::function<void()> callback)
{
    m_events.push({std::max(when, m_now), m_next_sequence++, std::move(callback)});
}

void simulation::deliver(microseconds delay, std::function<void()> callback)
{
    at(m_now + delay, std::move(callback));
}

void simulation::run_until(microseconds when)
{
    while (!m_events.empty() && m_events.top().when <= when)
    {
        auto callback = std::move(const_cast<event&>(m_events.top()).callback);
        m_now = m_events.top().when;
        m_events.pop();
        callback();
    }
    m_now = when;
}

bool simulation::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

instant simulation::true_time() const
{
    return {m_now, epoch_wall + std::chrono::duration_cast<milliseconds>(m_now)};
}

instant simulation::clock(const host_state& host) const
{
    const auto steady = static_cast<std::int64_t>(static_cast<double>(m_now.count()) * host.rate);
    // The origin of a steady clock is arbitrary and unrelated to the simulation's time.
    constexpr microseconds clock_origin{1'000'000'000};
    return {microseconds{steady} + clock_origin, true_time().wall + host.wall_offset};
}

instant simulation::clock_of(const std::string& host) const
{
    return clock(m_hosts.at(host));
}

microseconds simulation::delay(const std::string& from, const std::string& to)
{
    const auto extra = m_extra_delays.find({from, to});
    const auto added = extra == m_extra_delays.end() ? microseconds{0} : extra->second;
    if (m_settings.constant_delay)
        return m_settings.min_delay + added;
    std::uniform_int_distribution<std::int64_t> duration(m_settings.min_delay.count(),
                                                         m_settings.max_delay.count());
    return microseconds{duration(m_random)} + added;
}

void simulation::set_extra_delay(const std::string& from, const std::string& to, microseconds extra)
{
    m_extra_delays[{from, to}] = extra;
}

bool simulation::reachable(const std::string& a, const std::string& b) const
{
    const auto names = [&](const std::string& x)
    {
        const auto centre = m_centres.find(x);
        return std::vector<std::string>{x, centre == m_centres.end() ? x : centre->second};
    };
    for (const auto& x : names(a))
        for (const auto& y : names(b))
            if (x != y && (m_cuts.contains({x, y}) || m_cuts.contains({y, x})))
                return false;
    return true;
}

bool simulation::log_reachable(const std::string& host) const
{
    return reachable(host, "log");
}

void simulation::cut(const std::string& a, const std::string& b)
{
    m_cuts.insert({a, b});
}

void simulation::heal(const std::string& a, const std::string& b)
{
    m_cuts.erase({a, b});
    m_cuts.erase({b, a});
}

void simulation::heal_all()
{
    m_cuts.clear();
    m_extra_delays.clear();
}

void simulation::run_on_host(const std::string& name, std::uint64_t incarnation,
                             std::function<void(node&, instant, action_list&)> callback)
{
    auto& host = m_hosts.at(name);
    if (!host.logic || host.incarnation != incarnation)
        return;
    auto run = [this, name, incarnation, callback = std::move(callback)]
    {
        auto& target = m_hosts.at(name);
        if (!target.logic || target.incarnation != incarnation)
            return;
        action_list out;
        callback(*target.logic, clock(target), out);
        execute_actions(target, out);
    };
    if (host.paused)
        host.backlog.push_back(std::move(run));
    else
        run();
}

void simulation::tick_host(const std::string& name, std::uint64_t incarnation)
{
    auto& host = m_hosts.at(name);
    if (!host.logic || host.incarnation != incarnation)
        return;
    if (!host.paused)
        run_on_host(name, incarnation,
                    [](node& logic, instant now, action_list& out) { logic.tick(now, out); });
    if (host.stopping && host.logic &&
        (host.logic->stopped(clock(host)) || m_now - host.stop_begun > stop_timeout))
    {
        const bool restart_host = host.restart;
        kill(name);
        return restart_host ? start(name) : void();
    }
    deliver(m_settings.tick, [this, name, incarnation] { tick_host(name, incarnation); });
}

void simulation::start(const std::string& name)
{
    auto& host = m_hosts.at(name);
    host.restart = host.stopping;
    if (host.logic)
        return;
    host.incarnation = static_cast<std::uint64_t>((true_time().wall + milliseconds{1}).count());
    host.paused = false;
    host.stopping = false;
    host.forced_off_list = false;
    node_settings settings;
    settings.self = {name, host.incarnation};
    settings.data_centre = host.centre;
    settings.owners.lease = m_settings.lease;
    settings.owners.host_list_lag = m_settings.host_list_lag;
    settings.snapshot_interval = m_settings.snapshot_interval;
    host.logic = std::make_unique<node>(settings, m_random());
    if (host.listed_from < microseconds{0} || host.listed_until >= microseconds{0})
        host.listed_from = m_now + microseconds{m_settings.list_lag};
    host.listed_until = microseconds{-1};
    const auto incarnation = host.incarnation;
    std::uniform_int_distribution<std::int64_t> phase(0, m_settings.tick.count());
    deliver(microseconds{phase(m_random)},
            [this, name, incarnation] { tick_host(name, incarnation); });
}

void simulation::kill(const std::string& name)
{
    auto& host = m_hosts.at(name);
    if (!host.logic)
        return;
    m_history.on_host_terminated(name, host.incarnation);
    host.logic.reset();
    host.backlog.clear();
    host.listed_until = m_now + microseconds{m_settings.list_lag};
}

void simulation::unlist(const std::string& name)
{
    m_hosts.at(name).forced_off_list = true;
}

void simulation::pause(const std::string& name)
{
    auto& host = m_hosts.at(name);
    if (!host.paused)
        host.paused_at = m_now;
    host.paused = true;
}

void simulation::resume(const std::string& name)
{
    auto& host = m_hosts.at(name);
    if (!host.paused)
        return;
    host.paused = false;
    m_history.on_host_resumed(name, host.paused_at, m_now);
    auto backlog = std::move(host.backlog);
    host.backlog.clear();
    for (auto& run : backlog)
        run();
}

void simulation::stop(const std::string& name)
{
    auto& host = m_hosts.at(name);
    if (!host.logic)
        return;
    host.stopping = true;
    host.stop_begun = m_now;
    host.logic->begin_stop(clock(host));
}

void simulation::execute_actions(host_state& from, action_list& actions)
{
    const auto name = from.name;
    for (auto& action : actions)
    {
        if (auto* reply = std::get_if<actions::reply_call>(&action))
            m_history.on_answer(reply->call, m_now, std::move(reply->answer));
        else if (auto* message = std::get_if<actions::send_peer>(&action))
            send_to_peer(from, *message);
        else if (const auto* append = std::get_if<actions::append_log>(&action))
            access_log(from, *append);
        else if (const auto* read = std::get_if<actions::read_log>(&action))
            access_log(from, *read);
        else if (std::holds_alternative<actions::fetch_hosts>(action))
            fetch_host_list(from);
        else if (auto* request = std::get_if<actions::send_worker_request>(&action))
            send_to_worker(from, *request);
        else if (const auto* line = std::get_if<actions::log_event>(&action); line && m_trace)
            std::cout << m_now.count() / 1000 << "ms " << name << ' ' << line->text << '\n';
    }
}

void simulation::send_to_peer(host_state& from, actions::send_peer& message)
{
    ++m_messages;
    if (m_count_bytes)
        m_message_bytes += message.message.ByteSizeLong();
    const auto target = m_hosts.find(message.host);
    if (target == m_hosts.end() || !reachable(from.name, message.host) || chance(m_settings.loss))
        return;
    const int copies = chance(m_settings.duplicates) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
        deliver(delay(from.name, message.host),
                [this, sender = from.name, host = message.host, copy = message.message]
                {
                    // A cut that began meanwhile also drops the messages in flight.
                    if (!reachable(sender, host))
                        return;
                    run_on_host(host, m_hosts.at(host).incarnation,
                                [copy](node& logic, instant now, action_list& out)
                                { logic.on_peer(now, copy, out); });
                });
}

void simulation::access_log(host_state& from, const actions::append_log& append)
{
    if (m_log_state == log_state::down || !log_reachable(from.name))
        return;
    deliver(delay(from.name, "log") + m_log_delay,
            [this, append]
            {
                if (m_log_state != log_state::down)
                    m_log.append(append.stream, append.data);
            });
}

void simulation::access_log(host_state& from, const actions::read_log& read)
{
    const auto name = from.name;
    const auto incarnation = from.incarnation;
    if (m_log_state != log_state::up || !log_reachable(name))
    {
        deliver(request_timeout / 2,
                [this, name, incarnation, read]
                {
                    run_on_host(name, incarnation,
                                [read](node& logic, instant now, action_list& out)
                                {
                                    logic.on_log_read(
                                        now, read.stream,
                                        tl::make_unexpected(error{error_kind::timed_out,
                                                                  "the log is out of reach"}),
                                        out);
                                });
                });
        return;
    }
    const auto until = m_now + microseconds{read.wait};
    deliver(delay(name, "log") + m_log_delay, [this, name, incarnation, read, until]
            { answer_read(name, incarnation, read, until); });
}

void simulation::answer_read(const std::string& name, std::uint64_t incarnation,
                             const actions::read_log& read, microseconds until)
{
    auto page = m_log.read(read.stream, read.from);
    const bool lost = m_log_state != log_state::up || !log_reachable(name);
    if (!lost && page.entries.empty() && m_now < until)
    {
        constexpr microseconds retry_interval = milliseconds{5};
        deliver(retry_interval, [this, name, incarnation, read, until]
                { answer_read(name, incarnation, read, until); });
        return;
    }
    expected<log_page> result = page;
    if (lost)
        result = tl::make_unexpected(error{error_kind::timed_out, "the log's answer was lost"});
    deliver(lost ? request_timeout : delay("log", name) + m_log_delay,
            [this, name, incarnation, stream = read.stream, result]
            {
                run_on_host(name, incarnation,
                            [stream, result](node& logic, instant now, action_list& out)
                            { logic.on_log_read(now, stream, result, out); });
            });
}

void simulation::fetch_host_list(host_state& from)
{
    const auto name = from.name;
    expected<host_listing> result = host_listing{};
    if (!log_reachable(name))
        result = tl::make_unexpected(error{error_kind::timed_out, "the platform is out of reach"});
    else
    {
        for (const auto& [listed_name, host] : m_hosts)
        {
            const bool listed = host.listed_from >= microseconds{0} && m_now >= host.listed_from &&
                                (host.listed_until < microseconds{0} || m_now < host.listed_until);
            if (listed && !host.forced_off_list)
                result->hosts.push_back({listed_name, host.centre, "", "", host.stopping});
        }
        result->leaving_workers.assign(m_leaving_workers.begin(), m_leaving_workers.end());
    }
    deliver(2 * delay(name, "log"),
            [this, name, incarnation = from.incarnation, result]
            {
                run_on_host(name, incarnation,
                            [result](node& logic, instant now, action_list& out)
                            { logic.on_host_list(now, result, out); });
            });
}

void simulation::send_to_worker(host_state& from, actions::send_worker_request& action)
{
    ++m_messages;
    const auto name = from.name;
    const auto incarnation = from.incarnation;
    const auto request = action.request;
    const auto answer = [this, name, incarnation, request](worker_answer reply)
    {
        run_on_host(name, incarnation,
                    [request, reply](node& logic, instant now, action_list& out)
                    { logic.on_worker(now, request, reply, out); });
    };
    const auto worker_name = action.worker;
    const auto target = m_workers.find(worker_name);
    if (target == m_workers.end() || !target->second.model)
    {
        deliver(delay(name, worker_name),
                [answer] {
                    answer(error{error_kind::unreachable, "connection refused"});
                });
        return;
    }
    auto wait = request_timeout;
    if (const auto* poll = std::get_if<result_request>(&action.body))
        wait += milliseconds{poll->wait_ms};
    // The answer or the timeout completes the request, whichever comes first.
    const auto pending = std::make_shared<bool>(true);
    const auto answer_once = [pending, answer](worker_answer reply)
    {
        if (std::exchange(*pending, false))
            answer(std::move(reply));
    };
    deliver(wait, [answer_once] { answer_once(error{error_kind::timed_out, "no answer"}); });
    if (!reachable(name, worker_name))
        return;
    deliver(delay(name, worker_name),
            [this, name, worker_name, answer_once, body = std::move(action.body)]
            {
                auto& worker = m_workers.at(worker_name);
                if (!worker.model || !reachable(name, worker_name))
                    return;
                const auto number = worker.next_request++;
                worker.pending_replies.emplace(
                    number,
                    [this, name, worker_name, answer_once](worker_answer reply)
                    {
                        if (!reachable(name, worker_name))
                            return;
                        deliver(delay(worker_name, name),
                                [answer_once, reply] { answer_once(reply); });
                    });
                std::vector<standin::worker_reply> replies;
                worker.model->handle_request(true_time(), number, body, replies);
                dispatch_replies(worker, replies);
            });
}

void simulation::dispatch_replies(worker_state& worker, std::vector<standin::worker_reply>& replies)
{
    for (auto& reply : replies)
    {
        const auto waiting = worker.pending_replies.find(reply.request);
        if (waiting == worker.pending_replies.end())
            continue;
        auto answer = std::move(waiting->second);
        worker.pending_replies.erase(waiting);
        answer(std::move(reply.answer));
    }
    schedule_wake_up(worker);
}

void simulation::schedule_wake_up(worker_state& worker)
{
    const auto next = worker.model->next_event();
    if (next == microseconds::max() || next >= worker.next_wake_up)
        return;
    worker.next_wake_up = next;
    at(next, [this, name = worker.name, incarnation = worker.incarnation]
       { advance_worker(name, incarnation); });
}

void simulation::advance_worker(const std::string& name, std::uint64_t incarnation)
{
    auto& worker = m_workers.at(name);
    if (!worker.model || worker.incarnation != incarnation)
        return;
    worker.next_wake_up = microseconds::max();
    std::vector<standin::worker_reply> replies;
    worker.model->advance(true_time(), replies);
    dispatch_replies(worker, replies);
}

void simulation::start_worker(const std::string& name)
{
    auto& worker = m_workers.at(name);
    if (worker.model)
        return;
    worker.settings.incarnation = ++worker.incarnation;
    worker.model = std::make_unique<standin::worker_model>(worker.settings, true_time());
    worker.next_wake_up = microseconds::max();
}

void simulation::kill_worker(const std::string& name)
{
    auto& worker = m_workers.at(name);
    if (!worker.model)
        return;
    for (const auto& start : worker.model->started())
    {
        // Running tasks end with the worker process.
        const auto ended = start.ended < microseconds{0} ? m_now : start.ended;
        m_history.add_start({name, start.job, start.task, start.at, ended});
    }
    worker.model.reset();
    worker.pending_replies.clear();
}

void simulation::set_worker(const std::string& name,
                            const std::function<void(standin::worker_settings&)>& change)
{
    auto& worker = m_workers.at(name);
    change(worker.settings);
    if (worker.model)
        change(worker.model->settings());
}

void simulation::age_out_log(std::size_t kept)
{
    m_log.age_out("config", kept);
    for (const auto& centre : m_settings.centres)
        m_log.age_out("ownership." + centre.name, kept);
}

std::string simulation::make_key(const std::string& centre, const std::string& nonce) const
{
    return centre + "." + std::to_string(true_time().wall.count()) + "." + nonce;
}

std::uint64_t simulation::submit(const std::string& host, const std::string& key, wire::Job job,
                                 const std::string& team)
{
    constexpr milliseconds service_deadline{8000};
    const auto time = job.deadline_ms() > 0 ? milliseconds{job.deadline_ms()} : service_deadline;
    wire::Call request;
    request.set_kind(wire::SUBMIT);
    request.set_team(team);
    request.set_key(key);
    *request.mutable_job() = std::move(job);
    return call(host, std::move(request), time);
}

std::uint64_t simulation::send_call(const std::string& host, const std::string& key,
                                    wire::CallKind kind, const std::string& team)
{
    constexpr milliseconds query_deadline{2000};
    wire::Call request;
    request.set_kind(kind);
    request.set_team(team);
    request.set_key(key);
    return call(host, std::move(request), query_deadline);
}

std::uint64_t simulation::call(const std::string& host, wire::Call request, milliseconds time)
{
    const auto number = m_next_call++;
    const auto& target = m_hosts.at(host);
    recorded_call recorded;
    recorded.number = number;
    recorded.host = host;
    recorded.incarnation = target.incarnation;
    recorded.team = request.team();
    recorded.key = request.key();
    recorded.kind = request.kind();
    recorded.job = request.job();
    recorded.at = m_now;
    recorded.due = m_now + microseconds{time};
    recorded.host_died = !target.logic;
    m_history.add(std::move(recorded));
    run_on_host(host, target.incarnation,
                [number, request = std::move(request)](node& logic, instant now, action_list& out)
                { logic.on_call(now, number, request, out); });
    return number;
}

std::string simulation::check_history()
{
    auto complete_history = m_history;
    for (const auto& [name, worker] : m_workers)
        if (worker.model)
            for (const auto& start : worker.model->started())
                complete_history.add_start({name, start.job, start.task, start.at, start.ended});
    auto violation = complete_history.check(m_now, {"repeat"});
    if (!violation.empty())
        violation += '\n' + complete_history.describe(violation.substr(0, violation.find(':')));
    return violation;
}

node* simulation::host(const std::string& name)
{
    return m_hosts.at(name).logic.get();
}

bool simulation::alive(const std::string& name) const
{
    return m_hosts.at(name).logic != nullptr;
}

std::vector<std::string> simulation::host_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, host] : m_hosts)
        names.push_back(name);
    return names;
}

std::vector<std::string> simulation::worker_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, worker] : m_workers)
        names.push_back(name);
    return names;
}

standin::worker_model* simulation::worker(const std::string& name)
{
    return m_workers.at(name).model.get();
}

std::string simulation::centre_of(const std::string& name) const
{
    return m_centres.at(name);
}

std::vector<std::string> simulation::serving(const std::string& centre, std::uint32_t shard)
{
    std::vector<std::string> names;
    for (auto& [name, host] : m_hosts)
        if (host.centre == centre && host.logic && host.logic->owners() != nullptr &&
            host.logic->owners()->may_serve(shard, clock(host)))
            names.push_back(name);
    return names;
}

node_counters simulation::totals() const
{
    node_counters sum;
    for (const auto& [name, host] : m_hosts)
        if (host.logic)
            boost::mp11::mp_for_each<
                boost::describe::describe_members<node_counters, boost::describe::mod_public>>(
                [&sum, &logic = *host.logic](auto d)
                { sum.*d.pointer += logic.counters().*d.pointer; });
    return sum;
}

} // namespace egretledge::harness
