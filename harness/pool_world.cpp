#include "harness/pool_world.hpp"
#include <iostream>

namespace egretledge::harness
{

using namespace pool;

namespace
{

constexpr microseconds tick_time{20000};
constexpr microseconds come_back_after{1300000};
constexpr microseconds answer_slack{5000000}; // beyond a caller's wait, for all that may hold up
constexpr microseconds late_least{
    2000000}; // an order without an answer is carried out 2 to 12 s later
constexpr microseconds late_most{12000000};
// A host with a small share of a core gets its turn within one period of the scheduler.
constexpr microseconds latest_timer{100000};
// The bus between hosts gives a connection up after this silence.
constexpr microseconds connection_lost_after{900000};
constexpr double own_centre_share = 0.8;         // of callers that come back
constexpr std::int64_t epoch_ms = 1800000000000; // any Unix time
const char* const service = "desk";

} // namespace

struct pool_world::host_slot
{
    std::unique_ptr<pool_host> logic;
    std::uint64_t life = 0;
    microseconds frozen_until{0};
    std::string name;
    std::string data_centre;
    std::vector<std::function<void()>> held_up; // what arrived while it was frozen
    microseconds deaf_until{0};
    std::vector<wire::PeerMessage> unheard;
    // A backlog grows from `slow_from` to half of the time and has gone at `slow_until`.
    microseconds slow_from{0};
    microseconds slow_until{0};
};

pool_world::pool_world(pool_world_settings settings)
    : m_settings(std::move(settings)), m_random(m_settings.seed)
{
    std::uniform_real_distribution<double> rate(0.98, 1.0);
    for (std::uint32_t centre = 0; centre < m_settings.data_centres; ++centre)
    {
        const auto name = "dc" + std::to_string(centre + 1);
        for (std::uint32_t i = 0; i < m_settings.workers_per_centre; ++i)
        {
            worker_entry entry;
            entry.id = name + "-w" + std::to_string(i + 1);
            entry.service = service;
            entry.address = entry.id;
            entry.data_centre = name;
            entry.capacity = {m_settings.worker_cpu, 32768, 0};
            m_workers.push_back(std::make_unique<standin::pool_worker_model>(
                entry, rate(m_random),
                [this](const task_name& task)
                {
                    const auto& job = m_jobs.at(task.job);
                    return standin::task_behaviour{job.task_time, m_failing_jobs.contains(task.job),
                                                   job.request.steps[task.step].demand};
                },
                standin::pool_worker_model::observer{
                    [this](microseconds, const std::string& worker, const run_ref& run)
                    { on_started(worker, run); },
                    [this](microseconds, const std::string& worker, const run_ref& run, run_end end)
                    { on_ended(worker, run, end); }}));
        }
        for (std::uint32_t i = 0; i < m_settings.hosts_per_centre; ++i)
        {
            auto slot = std::make_unique<host_slot>();
            slot->name = name + "-h" + std::to_string(i + 1);
            slot->data_centre = name;
            m_hosts.push_back(std::move(slot));
        }
    }
    for (std::uint32_t host = 0; host < host_count(); ++host)
        start_host(host);
}

pool_world::~pool_world() = default;

instant pool_world::clocks() const
{
    return {m_now, milliseconds{epoch_ms + m_now.count() / 1000}};
}

microseconds pool_world::delay()
{
    return microseconds{std::uniform_int_distribution<std::int64_t>(200, 1500)(m_random)};
}

void pool_world::at(microseconds time, std::function<void()> what)
{
    m_events.push({time, m_order++, std::move(what)});
}

void pool_world::run_until(microseconds time)
{
    while (!m_events.empty() && m_events.top().when <= time)
    {
        const auto next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.when);
        advance_workers();
        next.what();
    }
    m_now = time;
    advance_workers();
}

void pool_world::advance_workers()
{
    for (auto& worker : m_workers)
        if (worker->up())
            worker->advance(m_now);
}

worker_registry pool_world::registry() const
{
    worker_registry all;
    for (const auto& worker : m_workers)
        all.emplace(worker->entry().id, worker->entry());
    return all;
}

void pool_world::start_host(std::uint32_t index)
{
    auto& slot = *m_hosts[index];
    if (slot.logic)
        return;
    auto settings = m_settings.host;
    settings.membership.self = {slot.name, static_cast<std::uint64_t>(clocks().wall.count())};
    settings.membership.data_centre = slot.data_centre;
    settings.membership.address = slot.name;
    slot.logic = std::make_unique<pool_host>(settings);
    show("start " + slot.name);
    const auto life = ++slot.life;
    decide(index,
           [&](pool_host& host, instant now, action_list& out)
           {
               for (const auto& other : m_hosts)
                   host.introduce(now, other->name, other->name, out);
               auto config = std::make_shared<route_config>();
               config->version = 1;
               host.set_config(now, config, out);
               host.set_registry(now, registry(), out);
           });
    tick(index, life);
}

void pool_world::kill_host(std::uint32_t index)
{
    auto& slot = *m_hosts[index];
    slot.logic.reset();
    ++slot.life;
    slot.held_up.clear();
    slot.unheard.clear();
    slot.frozen_until = slot.deaf_until = slot.slow_until = microseconds{0};
    show("kill " + slot.name);
    break_calls(index);
}

void pool_world::freeze_host(std::uint32_t index, microseconds time)
{
    m_hosts[index]->frozen_until = m_now + time;
    show("freeze " + m_hosts[index]->name + " for " + std::to_string(time.count() / 1000) + " ms");
    at(m_now + time,
       [this, index]
       {
           auto& slot = *m_hosts[index];
           if (m_now < slot.frozen_until)
               return;
           slot.frozen_until = microseconds{0};
           for (auto& what : std::exchange(slot.held_up, {}))
               what();
       });
}

void pool_world::deafen_host(std::uint32_t index, microseconds time)
{
    auto& slot = *m_hosts[index];
    slot.deaf_until = std::max(slot.deaf_until, m_now + time);
    show("deafen " + slot.name + " for " + std::to_string(time.count() / 1000) + " ms");
    at(m_now + time,
       [this, index]
       {
           auto& deaf = *m_hosts[index];
           if (m_now < deaf.deaf_until)
               return;
           for (const auto& message : std::exchange(deaf.unheard, {}))
               receive(index, message);
       });
}

void pool_world::slow_host(std::uint32_t index, microseconds most)
{
    auto& slot = *m_hosts[index];
    if (m_now < slot.slow_until)
        return;
    slot.slow_from = m_now;
    slot.slow_until = m_now + 2 * most;
    show("slow " + slot.name + " by " + std::to_string(most.count() / 1000) + " ms");
}

microseconds pool_world::backlog_of(std::uint32_t index) const
{
    const auto& slot = *m_hosts[index];
    if (m_now >= slot.slow_until)
        return microseconds{0};
    return std::min(m_now - slot.slow_from, slot.slow_until - m_now);
}

void pool_world::stop_host(std::uint32_t index)
{
    show("stop " + m_hosts[index]->name);
    decide(index,
           [](pool_host& host, instant now, action_list& out) { host.begin_stop(now, out); });
}

const pool_host* pool_world::host(std::uint32_t index) const
{
    return m_hosts[index]->logic.get();
}

void pool_world::cut_hosts(std::uint32_t a, std::uint32_t b, bool cut, bool messages_wait)
{
    const auto pair = std::minmax(a, b);
    if (cut)
        m_cut_hosts.insert({pair.first, pair.second});
    else
        m_cut_hosts.erase({pair.first, pair.second});
    for (const auto& way : {std::pair{a, b}, std::pair{b, a}})
    {
        if (cut)
            m_links[way].cut_since = m_now;
        else
            release_messages(way.first, way.second);
        m_links[way].messages_wait = cut && messages_wait;
    }
}

void pool_world::cut_centre(std::uint32_t centre, bool cut, bool messages_wait)
{
    const auto name = "dc" + std::to_string(centre + 1);
    show((cut ? "cut off " : "heal ") + name + (messages_wait ? ", messages wait" : ""));
    for (std::uint32_t host = 0; host < host_count(); ++host)
    {
        const bool inside = m_hosts[host]->data_centre == name;
        for (std::uint32_t other = 0; other < host; ++other)
            if ((m_hosts[other]->data_centre == name) != inside)
                cut_hosts(host, other, cut, messages_wait);
        for (std::uint32_t worker = 0; worker < worker_count(); ++worker)
            if ((m_workers[worker]->entry().data_centre == name) != inside)
                cut_worker(host, worker, cut);
    }
}

void pool_world::reset_connection(std::uint32_t from, std::uint32_t to, microseconds gap)
{
    show("reset " + m_hosts[from]->name + " -> " + m_hosts[to]->name);
    auto& way = m_links[{from, to}];
    ++way.connection;
    way.lost_until = m_now + gap;
    way.last_arrival = microseconds{0};
    way.waiting.clear();
}

void pool_world::reset_hosts(std::uint32_t a, std::uint32_t b, microseconds gap)
{
    reset_connection(a, b, gap);
    reset_connection(b, a, gap);
}

void pool_world::cut_one_way(std::uint32_t from, std::uint32_t to, bool cut)
{
    if (cut)
        m_cut_one_way.insert({from, to});
    else
        m_cut_one_way.erase({from, to});
}

void pool_world::cut_worker(std::uint32_t host, std::uint32_t worker, bool cut)
{
    if (cut)
        m_cut_workers.insert({host, worker});
    else
        m_cut_workers.erase({host, worker});
}

standin::pool_worker_model& pool_world::worker(std::uint32_t index)
{
    return *m_workers[index];
}

void pool_world::crash_worker(std::uint32_t index)
{
    if (m_workers[index]->up())
        m_workers[index]->crash(m_now);
}

void pool_world::restart_worker(std::uint32_t index)
{
    if (!m_workers[index]->up())
        m_workers[index]->restart(m_now);
}

void pool_world::tick(std::uint32_t index, std::uint64_t life)
{
    const auto& slot = *m_hosts[index];
    if (slot.life != life || !slot.logic)
        return;
    const auto late = std::min(backlog_of(index), latest_timer);
    at_host(index, late,
            [](pool_host& host, instant now, action_list& out) { host.tick(now, out); });
    at(m_now + tick_time, [this, index, life] { tick(index, life); });
}

void pool_world::decide(std::uint32_t index,
                        const std::function<void(pool_host&, instant, action_list&)>& what)
{
    at_host(index, backlog_of(index), what);
}

void pool_world::at_host(std::uint32_t index, microseconds late,
                         const std::function<void(pool_host&, instant, action_list&)>& what)
{
    if (late.count() == 0)
        return handle(index, what);
    at(m_now + late,
       [this, index, life = m_hosts[index]->life, what]
       {
           if (m_hosts[index]->life == life)
               handle(index, what);
       });
}

void pool_world::handle(std::uint32_t index,
                        const std::function<void(pool_host&, instant, action_list&)>& what)
{
    auto& slot = *m_hosts[index];
    if (!slot.logic)
        return;
    if (m_now < slot.frozen_until)
    {
        const auto life = slot.life;
        slot.held_up.push_back(
            [this, index, life, what]
            {
                if (m_hosts[index]->life == life)
                    handle(index, what);
            });
        return;
    }
    action_list out;
    what(*slot.logic, clocks(), out);
    carry_out(index, out);
}

void pool_world::carry_out(std::uint32_t index, action_list& actions)
{
    for (auto& action : actions)
    {
        if (const auto* answer = std::get_if<actions::answer_call>(&action))
            on_answer(index, answer->call, answer->answer);
        else if (const auto* message = std::get_if<actions::send_peer>(&action))
        {
            for (std::uint32_t to = 0; to < host_count(); ++to)
                if (m_hosts[to]->name == message->host)
                    send_message(index, to, message->message);
        }
        else if (const auto* hold = std::get_if<actions::hold_worker>(&action))
            order_worker(index, *hold);
        else if (const auto* start = std::get_if<actions::start_run>(&action))
            order_worker(index, *start);
        else if (const auto* stop = std::get_if<actions::stop_run>(&action))
            order_worker(index, *stop);
        else if (const auto* line = std::get_if<actions::log_event>(&action); line && trace)
            std::cout << m_now.count() / 1000.0 << " " << m_hosts[index]->name << " " << line->text
                      << '\n';
    }
}

void pool_world::send_message(std::uint32_t from, std::uint32_t to,
                              const wire::PeerMessage& message)
{
    auto& way = m_links[{from, to}];
    const auto life = m_hosts[to]->life;
    const bool cut = m_cut_hosts.contains(std::minmax(from, to));
    if (cut && way.messages_wait && m_now - way.cut_since < connection_lost_after)
    {
        show_message(from, to, "waits", message);
        way.waiting.emplace_back(life, message);
        return;
    }
    if (cut || m_now < way.lost_until || m_cut_one_way.contains({from, to}))
        return show_message(from, to, "lost", message);
    show_message(from, to, "sent", message);
    put_under_way(from, to, life, in_turn(from, to, m_now + delay()), message);
}

microseconds pool_world::in_turn(std::uint32_t from, std::uint32_t to, microseconds when)
{
    if (!m_settings.ordered_messages)
        return when;
    auto& last = m_links[{from, to}].last_arrival;
    return last = std::max(last, when);
}

void pool_world::put_under_way(std::uint32_t from, std::uint32_t to, std::uint64_t life,
                               microseconds when, const wire::PeerMessage& message)
{
    at(when,
       [this, from, to, life, connection = m_links[{from, to}].connection, message]
       {
           if (m_hosts[to]->life != life)
               return;
           if (m_links[{from, to}].connection != connection)
               return show_message(from, to, "lost under way", message);
           show_message(from, to, "arrives", message);
           receive(to, message);
       });
}

void pool_world::receive(std::uint32_t to, const wire::PeerMessage& message)
{
    auto& slot = *m_hosts[to];
    if (m_now < slot.deaf_until)
        return slot.unheard.push_back(message);
    decide(to, [message](pool_host& host, instant now, action_list& out)
           { host.on_peer(now, message, out); });
}

void pool_world::release_messages(std::uint32_t from, std::uint32_t to)
{
    auto& way = m_links[{from, to}];
    const auto waiting = std::exchange(way.waiting, {});
    if (waiting.empty() || !m_hosts[from]->logic)
        return;
    const auto lasted = m_now - way.cut_since;
    const auto when =
        m_now +
        microseconds{std::uniform_int_distribution<std::int64_t>(0, lasted.count())(m_random)};
    const bool same_connection = lasted < connection_lost_after;
    for (const auto& [life, message] : waiting)
        put_under_way(from, to, life, same_connection ? in_turn(from, to, when) : when, message);
}

template <class Order>
void pool_world::order_worker(std::uint32_t index, const Order& order)
{
    const auto life = m_hosts[index]->life;
    std::uint32_t target = 0;
    while (m_workers[target]->entry().id != order.worker)
        ++target;
    // Of the orders without an answer half are carried out at once, and half seconds later.
    const bool unanswered = std::bernoulli_distribution(m_late_share)(m_random);
    const bool late = unanswered && std::bernoulli_distribution(0.5)(m_random);
    const auto when = m_now + (late ? microseconds{std::uniform_int_distribution<std::int64_t>(
                                          late_least.count(), late_most.count())(m_random)}
                                    : delay());
    // Whatever happens, the host hears of its order within the time-out.
    at(m_now + order.timeout,
       [this, index, life, request = order.request]
       {
           if (m_hosts[index]->life == life)
               decide(index, [request](pool_host& host, instant now, action_list& out)
                      { host.on_worker(now, request, {}, out); });
       });
    if (m_cut_workers.contains({index, target}))
        return;
    at(when, [this, index, life, target, order, unanswered]
       { deliver(index, life, target, order, !unanswered); });
}

template <class Order>
void pool_world::deliver(std::uint32_t index, std::uint64_t life, std::uint32_t target, Order order,
                         bool answered)
{
    auto& worker = *m_workers[target];
    if (!worker.up())
        return;
    worker_reply reply;
    if constexpr (std::is_same_v<Order, actions::hold_worker>)
    {
        reply = worker.hold(m_now, order);
        if (answered && reply.result == order_result::accepted && order.wait.count() > 0 &&
            !worker.has_news(order.ends_seen))
            return poll_hold(index, life, target, order, m_now + order.wait);
    }
    else if constexpr (std::is_same_v<Order, actions::start_run>)
        reply = worker.start(m_now, order);
    else
        reply = worker.stop(m_now, order);
    if (answered)
        answer_order(index, life, target, order.request, reply);
}

void pool_world::poll_hold(std::uint32_t index, std::uint64_t life, std::uint32_t target,
                           actions::hold_worker order, microseconds until)
{
    constexpr microseconds step{6000}; // how late an end is told; a tick of a host is 20 ms
    at(m_now + step,
       [this, index, life, target, order, until]
       {
           const auto& worker = *m_workers[target];
           if (!worker.up())
               return;
           if (worker.has_news(order.ends_seen) || m_now >= until)
               return answer_order(index, life, target, order.request, worker.lists(m_now));
           poll_hold(index, life, target, order, until);
       });
}

void pool_world::answer_order(std::uint32_t index, std::uint64_t life, std::uint32_t target,
                              std::uint64_t request, worker_reply reply)
{
    if (m_cut_workers.contains({index, target}))
        return;
    at(m_now + delay(),
       [this, index, life, request, reply = std::move(reply)]
       {
           if (m_hosts[index]->life == life)
               decide(index, [request, reply](pool_host& host, instant now, action_list& out)
                      { host.on_worker(now, request, reply, out); });
       });
}

void pool_world::submit(std::uint32_t host, const std::string& id, std::uint32_t count,
                        resources demand, microseconds task_time, bool comes_back)
{
    auto& job = m_jobs[id];
    job.request.id = id;
    job.request.payload = "p";
    job_step step;
    step.count = count;
    step.demand = demand;
    step.estimate = std::chrono::duration_cast<milliseconds>(task_time);
    job.request.steps = {step};
    job.request.terms = {"r", service, 0, 3, 1.6, milliseconds{60}, m_settings.caller_wait};
    job.task_time = task_time;
    job.comes_back = comes_back;
    job.data_centre = m_hosts[host]->data_centre;
    send_call(host, id);
}

void pool_world::send_call(std::uint32_t host, const std::string& id)
{
    auto& job = m_jobs.at(id);
    const auto call = m_calls.size();
    job.calls.push_back(call);
    m_calls.push_back({id, m_now, microseconds{-1}, {}, false});
    if (trace)
        show("caller of " + id + " calls " + m_hosts[host]->name);
    if (!m_hosts[host]->logic)
    {
        m_calls[call].broken = true;
        if (m_settings.platform_callers && job.comes_back)
            come_back(host, id);
        return;
    }
    decide(host, [call, request = job.request](pool_host& logic, instant now, action_list& out)
           { logic.on_job(now, (call << 8), request, out); });
    m_calls[call].answer.detail = std::to_string(host); // until it is answered: the host
}

std::optional<std::uint32_t> pool_world::host_of_open_call(const std::string& id) const
{
    const auto& record = m_calls[m_jobs.at(id).calls.back()];
    if (record.answered.count() >= 0 || record.broken)
        return std::nullopt;
    return static_cast<std::uint32_t>(std::stoul(record.answer.detail));
}

void pool_world::caller_leaves(const std::string& id)
{
    const auto host = host_of_open_call(id);
    if (!host)
        return;
    const auto call = m_jobs.at(id).calls.back();
    m_calls[call].broken = true;
    decide(*host, [call](pool_host& logic, instant now, action_list& out)
           { logic.on_caller_gone(now, call << 8, out); });
}

void pool_world::reset_caller(const std::string& id)
{
    const auto host = host_of_open_call(id);
    if (!host)
        return;
    show("caller of " + id + " is reset");
    caller_leaves(id);
    if (m_jobs.at(id).comes_back)
        come_back(*host, id);
}

void pool_world::lose_caller(const std::string& id)
{
    const auto host = host_of_open_call(id);
    if (!host)
        return;
    show("caller of " + id + " is lost unnoticed");
    m_calls[m_jobs.at(id).calls.back()].broken = true;
    at(m_now + come_back_after, [this, host = *host, id] { send_call(host, id); });
}

void pool_world::reset_callers(std::uint32_t host)
{
    show("reset the callers of " + m_hosts[host]->name);
    for (const auto& [id, job] : m_jobs)
        if (m_calls[job.calls.back()].answer.detail == std::to_string(host))
            reset_caller(id);
}

void pool_world::break_calls(std::uint32_t host)
{
    for (std::size_t call = 0; call < m_calls.size(); ++call)
    {
        auto& record = m_calls[call];
        if (record.broken || record.answered.count() >= 0 ||
            record.answer.detail != std::to_string(host))
            continue;
        record.broken = true;
        if (m_jobs.at(record.job).comes_back)
            come_back(host, record.job);
    }
}

void pool_world::on_answer(std::uint32_t host, std::uint64_t number, const call_answer& answer)
{
    auto& record = m_calls[number >> 8];
    if (record.broken)
        return;
    if (record.answered.count() >= 0)
        violated("call answered twice: " + record.job);
    record.answered = m_now;
    record.answer = answer;
    const auto& job = m_jobs.at(record.job);
    if (answer.kind == answer_kind::ok && job.done.size() < job.request.steps[0].count)
        violated("complete without all tasks done: " + record.job);
    if (trace)
        std::cout << m_now.count() / 1000.0 << " caller of " << record.job << " is told "
                  << name_of(answer.kind) << '\n';
    if (row_of(answer.kind).result == outcome::not_run && job.starts > 0)
        violated("told that it has not run, but a task had started: " + record.job);
    if (job.comes_back && comes_back_after(answer))
        come_back(host, record.job);
}

bool pool_world::comes_back_after(const call_answer& answer) const
{
    const auto result = row_of(answer.kind).result;
    if (!m_settings.platform_callers)
        return result == outcome::unknown;
    return result != outcome::complete && result != outcome::not_run &&
           result != outcome::rejected && answer.kind != answer_kind::task_failed;
}

std::optional<std::uint32_t> pool_world::host_for_caller(const std::string& data_centre)
{
    const bool own = std::bernoulli_distribution(own_centre_share)(m_random);
    std::vector<std::uint32_t> near;
    std::vector<std::uint32_t> all;
    for (std::uint32_t host = 0; host < host_count(); ++host)
    {
        const auto& slot = *m_hosts[host];
        if (!slot.logic || !slot.logic->accepts_jobs(m_now))
            continue;
        all.push_back(host);
        if (slot.data_centre == data_centre)
            near.push_back(host);
    }
    const auto& from = own && !near.empty() ? near : all;
    if (from.empty())
        return std::nullopt;
    return from[std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(m_random)];
}

void pool_world::come_back(std::uint32_t host, const std::string& job)
{
    if (m_settings.platform_callers)
    {
        if (m_jobs.at(job).calls.size() < m_settings.most_calls)
            at(m_now + come_back_after, [this, host, job]
               { send_call(host_for_caller(m_jobs.at(job).data_centre).value_or(host), job); });
        return;
    }
    at(m_now + come_back_after, [this, host, job] { send_call((host + 1) % host_count(), job); });
}

const pool_world::call_record* pool_world::last_call(const std::string& job) const
{
    const auto known = m_jobs.find(job);
    return known == m_jobs.end() ? nullptr : &m_calls[known->second.calls.back()];
}

void pool_world::violated(const std::string& what)
{
    m_violations.push_back(std::to_string(m_now.count() / 1000) + " ms: " + what);
    if (trace)
        std::cout << "VIOLATION " << m_violations.back() << '\n';
}

void pool_world::show(const std::string& text) const
{
    if (trace)
        std::cout << m_now.count() / 1000.0 << " " << text << '\n';
}

void pool_world::show_message(std::uint32_t from, std::uint32_t to, const char* what,
                              const wire::PeerMessage& message) const
{
    if (!trace)
        return;
    std::string about;
    if (message.has_pool_job())
        about = "offer " + std::to_string(message.pool_job().offer()) + " of " +
                message.pool_job().id() + " age_ms=" + std::to_string(message.pool_job().age_ms()) +
                " former_workers=" + std::to_string(message.pool_job().former_workers_size());
    else if (message.has_pool_result())
    {
        const auto& result = message.pool_result();
        about = "result of " + result.id() + ' ' +
                std::string(name_of(static_cast<answer_kind>(result.kind()))) +
                (result.declined() ? " declined" : "") + " \"" + result.detail() + '"';
    }
    else if (message.has_pool_cancel())
        about = "cancel of offer " + std::to_string(message.pool_cancel().offer());
    else
        return;
    show(m_hosts[from]->name + " -> " + m_hosts[to]->name + ' ' + what + ": " + about);
}

void pool_world::on_started(const std::string& worker, const run_ref& run)
{
    ++m_starts;
    auto& job = m_jobs.at(run.task.job);
    ++job.starts;
    if (trace)
        std::cout << m_now.count() / 1000.0 << " " << worker << " starts " << run.task.job << "."
                  << run.task.index << "#" << run.number << '\n';
    if (const auto other = job.running.find(run.task); other != job.running.end())
        violated("two runs at once of " + run.task.job + "." + std::to_string(run.task.index) +
                 " on " + other->second + " and " + worker);
    job.running[run.task] = worker;
    for (const auto& model : m_workers)
        if (model->entry().id == worker && !model->used().fits(model->entry().capacity))
            violated("over capacity: " + worker + " uses " + std::to_string(model->used().cpu));
}

void pool_world::on_ended(const std::string& worker, const run_ref& run, run_end end)
{
    auto& job = m_jobs.at(run.task.job);
    if (const auto known = job.running.find(run.task);
        known != job.running.end() && known->second == worker)
        job.running.erase(known);
    if (end == run_end::done)
        ++job.done[run.task];
}

std::vector<std::string> pool_world::violations()
{
    for (const auto& [id, job] : m_jobs)
    {
        const bool all_refused =
            std::all_of(job.calls.begin(), job.calls.end(),
                        [&](std::size_t call)
                        {
                            const auto& record = m_calls[call];
                            return record.answered.count() >= 0 &&
                                   row_of(record.answer.kind).result == outcome::not_run;
                        });
        if (all_refused && job.starts > 0)
            violated("refused as not run, but it started: " + id);
    }
    for (const auto& record : m_calls)
        if (!record.broken && record.answered.count() < 0 &&
            m_now - record.sent > m_settings.caller_wait + answer_slack)
            violated("never answered: " + record.job);
    return m_violations;
}

} // namespace egretledge::harness
