// An event loop in virtual time. Each fake does one thing: peers' messages get a random delay and
// may be lost, doubled or cut off; the log applies an append and answers, or loses one of the two;
// workers are the stand-in model. A paused host keeps its inputs, as a stopped process's sockets
// do, and gets them all when it resumes. A killed host loses everything it had.
//
// Every host has its own clocks: an offset of the wall clock and a rate of the steady clock.

#include "harness/world.hpp"
#include "core/check.hpp"
#include <algorithm>
#include <iostream>

namespace egretledge::harness
{

namespace
{

constexpr milliseconds epoch_wall{1'800'000'000'000};
constexpr microseconds request_timeout = milliseconds{1000};
constexpr microseconds stop_limit = milliseconds{10000};
constexpr double most_drift = 0.001;

} // namespace

world::world(world_settings settings) : m_settings(std::move(settings)), m_random(m_settings.seed)
{
    std::uniform_real_distribution<double> drift(1 - most_drift, 1 + most_drift);
    std::uniform_int_distribution<std::int64_t> offset(-m_settings.most_clock_offset.count(),
                                                       m_settings.most_clock_offset.count());
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

world::~world() = default;

std::string world::base_config() const
{
    std::string text = "kind: region\nname: region-a\n";
    for (const auto& centre : m_settings.centres)
    {
        text += "---\nkind: data_centre\nname: " + centre.name +
                "\nregion: region-a\nshards: " + std::to_string(m_settings.shards) + "\n";
        text += "---\nkind: executor_pool\nname: " + centre.name +
                "-pool\ndata_centre: " + centre.name +
                "\naddress: 127.0.0.1\nfirst_port: 20000\nmemory: 32GiB\ncount: " +
                std::to_string(centre.workers) + "\nslots: " + std::to_string(m_settings.slots) +
                "\n";
        for (const auto& host : centre.hosts)
            text += "---\nkind: entry_host\nname: " + host + "\ndata_centre: " + centre.name + "\n";
    }
    text += "---\nkind: service\nname: once\nrepeatable: false\nrun_time: 50ms\ndeadline: 8s\n"
            "---\nkind: service\nname: repeat\nrepeatable: true\nrun_time: 50ms\ndeadline: 8s\n";
    const auto quota =
        std::to_string(std::max(1U, m_settings.slots * m_settings.centres.front().workers / 2));
    const std::string token(64, 'a');
    const std::string other(64, 'b');
    text += "---\nkind: team\nname: team-a\nquota: " + quota + "\ntoken_sha256: " + token + "\n";
    text += "---\nkind: team\nname: team-b\nquota: " + quota + "\ntoken_sha256: " + other + "\n";
    return text;
}

void world::publish(const std::string& yaml, std::uint64_t base, const std::string& id)
{
    const auto objects = parse_objects(yaml, id);
    EGRET_CHECK(objects.has_value(), "the world's own objects parse");
    const auto record = make_publication(id, "world", base, {*objects, {}});
    m_log.append("config", record.SerializeAsString());
}

void world::at(microseconds when, std::function<void()> what)
{
    m_events.push({std::max(when, m_now), m_order++, std::move(what)});
}

void world::deliver(microseconds delay, std::function<void()> what)
{
    at(m_now + delay, std::move(what));
}

void world::run_until(microseconds when)
{
    while (!m_events.empty() && m_events.top().when <= when)
    {
        auto what = std::move(const_cast<event&>(m_events.top()).what);
        m_now = m_events.top().when;
        m_events.pop();
        what();
    }
    m_now = when;
}

bool world::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

instant world::true_time() const
{
    return {m_now, epoch_wall + std::chrono::duration_cast<milliseconds>(m_now)};
}

instant world::clock(const host_state& host) const
{
    const auto steady = static_cast<std::int64_t>(static_cast<double>(m_now.count()) * host.rate);
    // A steady clock's zero is arbitrary; it differs from host to host.
    constexpr microseconds zero{1'000'000'000};
    return {microseconds{steady} + zero, true_time().wall + host.wall_offset};
}

instant world::clock_of(const std::string& host) const
{
    return clock(m_hosts.at(host));
}

microseconds world::delay(const std::string& from, const std::string& to)
{
    const auto extra = m_extra.find({from, to});
    const auto added = extra == m_extra.end() ? microseconds{0} : extra->second;
    if (m_settings.constant_delay)
        return m_settings.least_delay + added;
    std::uniform_int_distribution<std::int64_t> span(m_settings.least_delay.count(),
                                                     m_settings.most_delay.count());
    return microseconds{span(m_random)} + added;
}

void world::set_extra_delay(const std::string& from, const std::string& to, microseconds extra)
{
    m_extra[{from, to}] = extra;
}

bool world::reachable(const std::string& a, const std::string& b) const
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

bool world::log_reachable(const std::string& host) const
{
    return reachable(host, "log");
}

void world::cut(const std::string& a, const std::string& b)
{
    m_cuts.insert({a, b});
}

void world::heal(const std::string& a, const std::string& b)
{
    m_cuts.erase({a, b});
    m_cuts.erase({b, a});
}

void world::heal_all()
{
    m_cuts.clear();
    m_extra.clear();
}

void world::enter(const std::string& name, std::uint64_t incarnation,
                  std::function<void(node&, instant, action_list&)> what)
{
    auto& host = m_hosts.at(name);
    if (!host.logic || host.incarnation != incarnation)
        return;
    auto run = [this, name, incarnation, what = std::move(what)]
    {
        auto& target = m_hosts.at(name);
        if (!target.logic || target.incarnation != incarnation)
            return;
        action_list out;
        what(*target.logic, clock(target), out);
        carry_out(target, out);
    };
    if (host.paused)
        host.backlog.push_back(std::move(run));
    else
        run();
}

void world::tick_host(const std::string& name, std::uint64_t incarnation)
{
    auto& host = m_hosts.at(name);
    if (!host.logic || host.incarnation != incarnation)
        return;
    if (!host.paused)
        enter(name, incarnation,
              [](node& logic, instant now, action_list& out) { logic.tick(now, out); });
    if (host.stopping && host.logic &&
        (host.logic->stopped(clock(host)) || m_now - host.stop_begun > stop_limit))
    {
        const bool again = host.restart;
        kill(name);
        return again ? start(name) : void();
    }
    deliver(m_settings.tick, [this, name, incarnation] { tick_host(name, incarnation); });
}

void world::start(const std::string& name)
{
    auto& host = m_hosts.at(name);
    host.restart = host.stopping;
    if (host.logic)
        return;
    host.incarnation = static_cast<std::uint64_t>((true_time().wall + milliseconds{1}).count());
    host.paused = false;
    host.stopping = false;
    host.forced_out = false;
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

void world::kill(const std::string& name)
{
    auto& host = m_hosts.at(name);
    if (!host.logic)
        return;
    m_history.on_host_over(name, host.incarnation);
    host.logic.reset();
    host.backlog.clear();
    host.listed_until = m_now + microseconds{m_settings.list_lag};
}

void world::unlist(const std::string& name)
{
    m_hosts.at(name).forced_out = true;
}

void world::pause(const std::string& name)
{
    auto& host = m_hosts.at(name);
    if (!host.paused)
        host.paused_at = m_now;
    host.paused = true;
}

void world::resume(const std::string& name)
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

void world::stop(const std::string& name)
{
    auto& host = m_hosts.at(name);
    if (!host.logic)
        return;
    host.stopping = true;
    host.stop_begun = m_now;
    host.logic->begin_stop(clock(host));
}

void world::carry_out(host_state& from, action_list& actions)
{
    const auto name = from.name;
    for (auto& action : actions)
    {
        if (auto* reply = std::get_if<actions::reply_call>(&action))
            m_history.on_answer(reply->call, m_now, std::move(reply->answer));
        else if (auto* message = std::get_if<actions::send_peer>(&action))
            carry_peer(from, *message);
        else if (const auto* append = std::get_if<actions::append_log>(&action))
            carry_log(from, *append);
        else if (const auto* read = std::get_if<actions::read_log>(&action))
            carry_log(from, *read);
        else if (std::holds_alternative<actions::fetch_hosts>(action))
            carry_hosts(from);
        else if (auto* question = std::get_if<actions::send_worker_request>(&action))
            carry_worker(from, *question);
        else if (const auto* line = std::get_if<actions::log_event>(&action); line && m_trace)
            std::cout << m_now.count() / 1000 << "ms " << name << ' ' << line->text << '\n';
    }
}

void world::carry_peer(host_state& from, actions::send_peer& message)
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
                [this, sender = from.name, host = message.host, text = message.message]
                {
                    // A cut that began meanwhile stops what is on its way.
                    if (!reachable(sender, host))
                        return;
                    enter(host, m_hosts.at(host).incarnation,
                          [text](node& logic, instant now, action_list& out)
                          { logic.on_peer(now, text, out); });
                });
}

void world::carry_log(host_state& from, const actions::append_log& append)
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

void world::carry_log(host_state& from, const actions::read_log& read)
{
    const auto name = from.name;
    const auto incarnation = from.incarnation;
    if (m_log_state != log_state::up || !log_reachable(name))
    {
        deliver(request_timeout / 2,
                [this, name, incarnation, read]
                {
                    enter(name, incarnation,
                          [read](node& logic, instant now, action_list& out)
                          {
                              logic.on_log_read(
                                  now, read.stream,
                                  tl::make_unexpected(
                                      error{error_kind::timed_out, "the log is out of reach"}),
                                  out);
                          });
                });
        return;
    }
    const auto until = m_now + microseconds{read.wait};
    deliver(delay(name, "log") + m_log_delay, [this, name, incarnation, read, until]
            { answer_read(name, incarnation, read, until); });
}

void world::answer_read(const std::string& name, std::uint64_t incarnation,
                        const actions::read_log& read, microseconds until)
{
    auto page = m_log.read(read.stream, read.from);
    const bool lost = m_log_state != log_state::up || !log_reachable(name);
    if (!lost && page.entries.empty() && m_now < until)
    {
        constexpr microseconds look_again = milliseconds{5};
        deliver(look_again, [this, name, incarnation, read, until]
                { answer_read(name, incarnation, read, until); });
        return;
    }
    expected<log_page> result = page;
    if (lost)
        result = tl::make_unexpected(error{error_kind::timed_out, "the log's answer was lost"});
    deliver(lost ? request_timeout : delay("log", name) + m_log_delay,
            [this, name, incarnation, stream = read.stream, result]
            {
                enter(name, incarnation,
                      [stream, result](node& logic, instant now, action_list& out)
                      { logic.on_log_read(now, stream, result, out); });
            });
}

void world::carry_hosts(host_state& from)
{
    const auto name = from.name;
    expected<host_listing> result = host_listing{};
    if (!log_reachable(name))
        result = tl::make_unexpected(error{error_kind::timed_out, "the platform is out of reach"});
    else
    {
        for (const auto& [other, host] : m_hosts)
        {
            const bool listed = host.listed_from >= microseconds{0} && m_now >= host.listed_from &&
                                (host.listed_until < microseconds{0} || m_now < host.listed_until);
            if (listed && !host.forced_out)
                result->hosts.push_back({other, host.centre, "", "", host.stopping});
        }
        result->leaving_workers.assign(m_leaving_workers.begin(), m_leaving_workers.end());
    }
    deliver(2 * delay(name, "log"),
            [this, name, incarnation = from.incarnation, result]
            {
                enter(name, incarnation,
                      [result](node& logic, instant now, action_list& out)
                      { logic.on_host_list(now, result, out); });
            });
}

void world::carry_worker(host_state& from, actions::send_worker_request& question)
{
    ++m_messages;
    const auto name = from.name;
    const auto incarnation = from.incarnation;
    const auto request = question.request;
    const auto answer = [this, name, incarnation, request](worker_answer text)
    {
        enter(name, incarnation,
              [request, text](node& logic, instant now, action_list& out)
              { logic.on_worker(now, request, text, out); });
    };
    const auto worker_name = question.worker;
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
    if (const auto* poll = std::get_if<result_request>(&question.question))
        wait += milliseconds{poll->wait_ms};
    // Whichever comes first ends the request: the answer, or the timeout.
    const auto open = std::make_shared<bool>(true);
    const auto once = [open, answer](worker_answer text)
    {
        if (std::exchange(*open, false))
            answer(std::move(text));
    };
    deliver(wait, [once] { once(error{error_kind::timed_out, "no answer"}); });
    if (!reachable(name, worker_name))
        return;
    deliver(delay(name, worker_name),
            [this, name, worker_name, once, text = std::move(question.question)]
            {
                auto& worker = m_workers.at(worker_name);
                if (!worker.model || !reachable(name, worker_name))
                    return;
                const auto number = worker.next++;
                worker.waiting.emplace(number,
                                       [this, name, worker_name, once](worker_answer reply)
                                       {
                                           if (!reachable(name, worker_name))
                                               return;
                                           deliver(delay(worker_name, name),
                                                   [once, reply] { once(reply); });
                                       });
                std::vector<standin::worker_reply> replies;
                worker.model->ask(true_time(), number, text, replies);
                worker_replies(worker, replies);
            });
}

void world::worker_replies(worker_state& worker, std::vector<standin::worker_reply>& replies)
{
    for (auto& reply : replies)
    {
        const auto waiting = worker.waiting.find(reply.request);
        if (waiting == worker.waiting.end())
            continue;
        auto answer = std::move(waiting->second);
        worker.waiting.erase(waiting);
        answer(std::move(reply.answer));
    }
    wake_worker(worker);
}

void world::wake_worker(worker_state& worker)
{
    const auto next = worker.model->next_event();
    if (next == microseconds::max() || next >= worker.wake)
        return;
    worker.wake = next;
    at(next, [this, name = worker.name, incarnation = worker.incarnation]
       { worker_event(name, incarnation); });
}

void world::worker_event(const std::string& name, std::uint64_t incarnation)
{
    auto& worker = m_workers.at(name);
    if (!worker.model || worker.incarnation != incarnation)
        return;
    worker.wake = microseconds::max();
    std::vector<standin::worker_reply> replies;
    worker.model->advance(true_time(), replies);
    worker_replies(worker, replies);
}

void world::start_worker(const std::string& name)
{
    auto& worker = m_workers.at(name);
    if (worker.model)
        return;
    worker.settings.incarnation = ++worker.incarnation;
    worker.model = std::make_unique<standin::worker_model>(worker.settings, true_time());
    worker.wake = microseconds::max();
}

void world::kill_worker(const std::string& name)
{
    auto& worker = m_workers.at(name);
    if (!worker.model)
        return;
    for (const auto& start : worker.model->started())
    {
        // What was running ended with its process.
        const auto ended = start.ended < microseconds{0} ? m_now : start.ended;
        m_history.add_start({name, start.job, start.task, start.at, ended});
    }
    worker.model.reset();
    worker.waiting.clear();
}

void world::set_worker(const std::string& name,
                       const std::function<void(standin::worker_settings&)>& change)
{
    auto& worker = m_workers.at(name);
    change(worker.settings);
    if (worker.model)
        change(worker.model->settings());
}

void world::age_out_log(std::size_t kept)
{
    m_log.age_out("config", kept);
    for (const auto& centre : m_settings.centres)
        m_log.age_out("ownership." + centre.name, kept);
}

std::string world::make_key(const std::string& centre, const std::string& nonce) const
{
    return centre + "." + std::to_string(true_time().wall.count()) + "." + nonce;
}

std::uint64_t world::submit(const std::string& host, const std::string& key, wire::Job job,
                            const std::string& team)
{
    constexpr milliseconds service_deadline{8000};
    const auto time = job.deadline_ms() > 0 ? milliseconds{job.deadline_ms()} : service_deadline;
    wire::Call text;
    text.set_kind(wire::SUBMIT);
    text.set_team(team);
    text.set_key(key);
    *text.mutable_job() = std::move(job);
    return call(host, std::move(text), time);
}

std::uint64_t world::ask(const std::string& host, const std::string& key, wire::CallKind kind,
                         const std::string& team)
{
    constexpr milliseconds query_deadline{2000};
    wire::Call text;
    text.set_kind(kind);
    text.set_team(team);
    text.set_key(key);
    return call(host, std::move(text), query_deadline);
}

std::uint64_t world::call(const std::string& host, wire::Call text, milliseconds time)
{
    const auto number = m_next_call++;
    const auto& target = m_hosts.at(host);
    recorded_call noted;
    noted.number = number;
    noted.host = host;
    noted.incarnation = target.incarnation;
    noted.team = text.team();
    noted.key = text.key();
    noted.kind = text.kind();
    noted.job = text.job();
    noted.at = m_now;
    noted.due = m_now + microseconds{time};
    noted.host_died = !target.logic;
    m_history.add(std::move(noted));
    enter(host, target.incarnation,
          [number, text = std::move(text)](node& logic, instant now, action_list& out)
          { logic.on_call(now, number, text, out); });
    return number;
}

std::string world::verdict()
{
    auto all = m_history;
    for (const auto& [name, worker] : m_workers)
        if (worker.model)
            for (const auto& start : worker.model->started())
                all.add_start({name, start.job, start.task, start.at, start.ended});
    auto fault = all.check(m_now, {"repeat"});
    if (!fault.empty())
        fault += '\n' + all.describe(fault.substr(0, fault.find(':')));
    return fault;
}

node* world::host(const std::string& name)
{
    return m_hosts.at(name).logic.get();
}

bool world::alive(const std::string& name) const
{
    return m_hosts.at(name).logic != nullptr;
}

std::vector<std::string> world::host_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, host] : m_hosts)
        names.push_back(name);
    return names;
}

std::vector<std::string> world::worker_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, worker] : m_workers)
        names.push_back(name);
    return names;
}

standin::worker_model* world::worker(const std::string& name)
{
    return m_workers.at(name).model.get();
}

std::string world::centre_of(const std::string& name) const
{
    return m_centres.at(name);
}

std::vector<std::string> world::serving(const std::string& centre, std::uint32_t shard)
{
    std::vector<std::string> names;
    for (auto& [name, host] : m_hosts)
        if (host.centre == centre && host.logic && host.logic->owners() != nullptr &&
            host.logic->owners()->may_serve(shard, clock(host)))
            names.push_back(name);
    return names;
}

node_counters world::totals() const
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
