#include "harness/pool_simulation.hpp"
#include <algorithm>
#include <array>
#include <iostream>

namespace egretledge::harness
{

using namespace pool;

namespace
{

constexpr microseconds tick_interval{20000};
constexpr microseconds retry_delay{1300000};
// A call counts as never answered when this time has passed after the caller's own timeout. It
// covers freezes, backlogs and partitions.
constexpr microseconds answer_margin{5000000};
// The delay of an order that is executed late and gets no answer.
constexpr microseconds min_late_delay{2000000};
constexpr microseconds max_late_delay{12000000};
// A process with a small share of a core is scheduled within one period of the scheduler.
constexpr microseconds max_timer_delay{100000};
// The message bus between hosts closes a connection after this period without messages.
constexpr microseconds connection_timeout{900000};
// The share of retrying callers that prefer a host of their own data centre.
constexpr double own_data_centre_share = 0.8;
constexpr std::int64_t epoch_ms = 1800000000000; // Unix time at virtual time 0, arbitrary
// A deadly task terminates its worker this long after its start.
constexpr microseconds crash_delay{30000};
constexpr microseconds capacity_grace_period{50000};
// A worker that starts again registers itself, and the hosts read its entry, within this time.
constexpr microseconds registration_delay{700000};
constexpr std::uint32_t min_crashes_to_fail = 2; // a job may be given up from then on
constexpr std::uint32_t max_crashes_of_task = 3;
constexpr std::uint32_t max_starts_after_crashes = 2; // the third one breaks the rule
const char* const service = "desk";
// Messages that a host handles before other work.
constexpr std::size_t max_message_batch = 16;
constexpr microseconds max_start_spread{300000}; // of hosts that the platform starts together
// After a fault, workers change hands, leases expire and late orders are resolved for this long.
constexpr microseconds calm_delay{6000000};
// Jobs for which there is room are refused for at most this time and a caller's wait: the longest
// delay between two trials of a run time, and 1 s in which no job may arrive.
constexpr microseconds max_refusal_with_room{5000000};
constexpr microseconds placement_time{100000}; // of a job on idle workers

} // namespace

struct pool_simulation::host_state
{
    std::unique_ptr<pool_host> logic;
    std::uint64_t incarnation = 0;
    microseconds frozen_until{0};
    std::string name;
    std::string data_centre;
    std::vector<std::function<void()>> deferred_calls; // events that arrived during a freeze
    microseconds blocked_until{0};
    std::vector<wire::PeerMessage> blocked_messages;
    // The backlog grows from `backlog_from` until the middle of the period, then shrinks, and is
    // empty at `backlog_until`.
    microseconds backlog_from{0};
    microseconds backlog_until{0};
    // Work of a limited processor, and the messages that wait to be handled. What the inbox has no
    // room for is left unread.
    std::deque<std::pair<microseconds, std::function<void()>>> work;
    bool working = false;
    microseconds busy_until{0};
    pool::peer_inbox inbox{pool::peer_inbox_settings{}};
    std::deque<wire::PeerMessage> unread_messages;
    bool reading_paused = false;
    bool delivery_scheduled = false;
};

pool_simulation::pool_simulation(pool_simulation_settings settings)
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
                    return standin::task_behaviour{
                        job.task_time, m_failing_jobs.contains(task.job),
                        job.request.steps[task.step].demand,
                        m_deadly_tasks.contains(task) ? crash_delay : microseconds{-1}};
                },
                standin::pool_worker_model::observer{
                    [this](microseconds, const std::string& worker, const run_ref& run)
                    { on_started(worker, run); },
                    [this](microseconds, const std::string& worker, const run_ref& run, run_end end)
                    { on_ended(worker, run, end); },
                    [this](microseconds, const std::string& worker, const run_ref& run)
                    { on_crashed(worker, run); }}));
        }
        for (std::uint32_t i = 0; i < m_settings.hosts_per_centre; ++i)
        {
            auto state = std::make_unique<host_state>();
            state->name = name + "-h" + std::to_string(i + 1);
            state->data_centre = name;
            m_hosts.push_back(std::move(state));
        }
    }
    only_drawn("settings", std::uint64_t{m_settings.data_centres},
               std::uint64_t{m_settings.hosts_per_centre},
               std::uint64_t{m_settings.workers_per_centre}, microseconds{m_settings.caller_wait},
               m_settings.processor.share);
    for (std::uint32_t host = 0; host < host_count(); ++host)
        start_host(host);
}

pool_simulation::~pool_simulation() = default;

template <class... Arguments>
bool pool_simulation::only_drawn(std::string_view request, const Arguments&... arguments)
{
    constexpr std::array<std::string_view, 8> no_faults{"settings",
                                                        "submit",
                                                        "estimate",
                                                        "make_job_fail",
                                                        "disconnect_caller",
                                                        "lose_caller_connection",
                                                        "reset_caller_connection",
                                                        "reset_caller_connections"};
    if (std::find(no_faults.begin(), no_faults.end(), request) == no_faults.end())
        m_last_fault = m_now;
    if (!m_settings.draw_only)
        return false;
    add_to_digest(m_now);
    add_to_digest(request);
    (add_to_digest(arguments), ...);
    return true;
}

instant pool_simulation::current_instant() const
{
    return {m_now, milliseconds{epoch_ms + m_now.count() / 1000}};
}

microseconds pool_simulation::delay()
{
    return microseconds{std::uniform_int_distribution<std::int64_t>(200, 1500)(m_random)};
}

void pool_simulation::at(microseconds time, std::function<void()> callback)
{
    m_events.push({time, m_next_order++, std::move(callback)});
}

void pool_simulation::run_until(microseconds time)
{
    while (!m_events.empty() && m_events.top().when <= time)
    {
        const auto next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.when);
        advance_workers();
        next.callback();
    }
    m_now = time;
    advance_workers();
}

void pool_simulation::advance_workers()
{
    for (auto& worker : m_workers)
        if (worker->up())
            worker->advance(m_now);
}

worker_registry pool_simulation::registry() const
{
    worker_registry all;
    for (const auto& worker : m_workers)
    {
        auto entry = worker->entry();
        entry.start_time_ms = worker->start_time_ms();
        all.emplace(entry.id, std::move(entry));
    }
    return all;
}

void pool_simulation::evacuate(std::uint32_t centre, bool evacuated)
{
    const auto name = "dc" + std::to_string(centre + 1);
    print((evacuated ? "evacuate " : "take back the evacuation of ") + name);
    ++m_evacuations.revision;
    if (evacuated)
    {
        m_evacuations.data_centres.insert(name);
        m_evacuated_at.try_emplace(name, m_now);
    }
    else
    {
        m_evacuations.data_centres.erase(name);
        m_evacuated_at.erase(name);
    }
    for (std::uint32_t host = 0; host < host_count(); ++host)
        read_evacuations(host);
}

void pool_simulation::cut_store(std::uint32_t host, bool cut)
{
    print((cut ? "the store does not serve " : "the store serves ") + m_hosts[host]->name);
    if (cut)
        m_unserved.insert(host);
    else if (m_unserved.erase(host) > 0)
        read_evacuations(host);
}

void pool_simulation::read_evacuations(std::uint32_t host)
{
    const microseconds longest{m_settings.evacuation_read_delay};
    if (longest.count() == 0 || m_unserved.contains(host))
        return;
    std::uniform_int_distribution<std::int64_t> read_delay(0, longest.count());
    call_host_after(
        host, microseconds{read_delay(m_random)},
        [this, host, state = m_evacuations](pool_host& logic, instant now, action_list& out)
        {
            if (!m_unserved.contains(host))
                logic.set_evacuations(now, state, out);
        });
}

bool pool_simulation::in_touch(std::uint32_t host) const
{
    if (!m_unserved.contains(host))
        return true;
    for (std::uint32_t other = 0; other < host_count(); ++other)
    {
        const auto pair = std::minmax(host, other);
        if (other != host && m_hosts[other]->logic && !m_unserved.contains(other) &&
            !m_cut_hosts.contains({pair.first, pair.second}) &&
            !m_cut_one_way.contains({other, host}))
            return true;
    }
    return false;
}

void pool_simulation::check_evacuation(const std::string& worker, const run_ref& run)
{
    if (m_evacuated_at.empty())
        return;
    const auto model =
        std::find_if(m_workers.begin(), m_workers.end(),
                     [&](const auto& candidate) { return candidate->entry().id == worker; });
    const auto requested = m_evacuated_at.find((*model)->entry().data_centre);
    const microseconds bound{m_settings.host.workers.evacuations.bound};
    if (requested != m_evacuated_at.end() &&
        m_now > std::max(requested->second, m_out_of_touch_at) + bound)
        add_violation("started in an evacuated data centre " +
                      std::to_string((m_now - requested->second).count() / 1000) +
                      " ms after the request: " + run.task.job + "." +
                      std::to_string(run.task.index) + " on " + worker);
}

void pool_simulation::publish_registry()
{
    for (std::uint32_t host = 0; host < host_count(); ++host)
        call_host(host, [all = registry()](pool_host& logic, instant now, action_list& out)
                  { logic.set_registry(now, all, out); });
}

void pool_simulation::start_host(std::uint32_t index)
{
    auto& state = *m_hosts[index];
    if (state.logic)
        return;
    auto settings = m_settings.host;
    settings.membership.self = {state.name,
                                static_cast<std::uint64_t>(current_instant().wall.count())};
    settings.membership.data_centre = state.data_centre;
    settings.membership.address = state.name;
    settings.first_start = state.incarnation == 0;
    if (!m_settings.processor.first_shares.empty())
        settings.capacity.limits.processor_share = processor_share(index);
    state.logic = std::make_unique<pool_host>(settings);
    print("start " + state.name);
    if (only_drawn("start_host", std::uint64_t{index}))
        return;
    const auto incarnation = ++state.incarnation;
    state.busy_until = m_now;
    use_processor(index, m_settings.processor.start);
    call_host(index,
              [&](pool_host& host, instant now, action_list& out)
              {
                  for (const auto& other : m_hosts)
                      host.introduce(now, other->name, other->name, out);
                  auto config = std::make_shared<route_config>();
                  config->version = 1;
                  host.set_config(now, config, out);
                  host.set_registry(now, registry(), out);
              });
    read_evacuations(index);
    tick(index, incarnation);
}

void pool_simulation::kill_host(std::uint32_t index)
{
    auto& state = *m_hosts[index];
    state.logic.reset();
    if (only_drawn("kill_host", std::uint64_t{index}))
        return;
    ++state.incarnation;
    state.deferred_calls.clear();
    state.blocked_messages.clear();
    state.work.clear();
    state.working = false;
    state.inbox = peer_inbox{peer_inbox_settings{}};
    state.unread_messages.clear();
    state.reading_paused = state.delivery_scheduled = false;
    state.frozen_until = state.blocked_until = state.backlog_until = microseconds{0};
    print("kill " + state.name);
    break_open_calls(index);
}

void pool_simulation::restart_all_hosts(microseconds downtime)
{
    if (only_drawn("restart_all_hosts", downtime))
        return;
    for (std::uint32_t host = 0; host < host_count(); ++host)
        kill_host(host);
    for (std::uint32_t host = 0; host < host_count(); ++host)
        at(m_now + downtime +
               microseconds{std::uniform_int_distribution<std::int64_t>(
                   0, max_start_spread.count())(m_random)},
           [this, host] { start_host(host); });
}

void pool_simulation::use_processor(std::uint32_t index, microseconds work)
{
    if (!limits_processor())
        return;
    auto& busy_until = m_hosts[index]->busy_until;
    busy_until = std::max(busy_until, m_now) +
                 std::chrono::duration_cast<microseconds>(work / processor_share(index));
}

double pool_simulation::processor_share(std::uint32_t index) const
{
    const auto& shares = m_settings.processor.first_shares;
    const auto position = index % m_settings.hosts_per_centre;
    return position < shares.size() ? shares[position] : m_settings.processor.share;
}

void pool_simulation::add_work(std::uint32_t index, microseconds work,
                               std::function<void()> callback)
{
    auto& state = *m_hosts[index];
    if (!state.logic)
        return;
    state.work.emplace_back(work, std::move(callback));
    if (std::exchange(state.working, true))
        return;
    at(std::max(m_now, state.busy_until),
       [this, index, incarnation = state.incarnation] { do_next_work(index, incarnation); });
}

void pool_simulation::do_next_work(std::uint32_t index, std::uint64_t incarnation)
{
    auto& state = *m_hosts[index];
    if (state.incarnation != incarnation)
        return;
    const bool frozen = m_now < state.frozen_until;
    if (m_now >= state.busy_until && !frozen)
    {
        const auto next = std::move(state.work.front());
        state.work.pop_front();
        use_processor(index, next.first);
        next.second();
    }
    state.working = !state.work.empty();
    if (state.working)
        at(std::max(state.busy_until, state.frozen_until),
           [this, index, incarnation] { do_next_work(index, incarnation); });
}

void pool_simulation::deliver_messages(std::uint32_t index)
{
    auto& state = *m_hosts[index];
    for (std::size_t handled = 0; handled < max_message_batch; ++handled)
    {
        const auto message = state.inbox.take(m_now);
        if (!message)
            break;
        use_processor(index, m_settings.processor.handle_message);
        call_host_now(index, [&](pool_host& host, instant now, action_list& out)
                      { host.on_peer(now, *message, out); });
    }
    if (state.reading_paused && state.inbox.may_resume())
    {
        state.reading_paused = false;
        for (auto& message : std::exchange(state.unread_messages, {}))
            receive(index, message);
    }
    state.delivery_scheduled = !state.inbox.empty();
    if (state.delivery_scheduled)
        add_work(index, microseconds{0}, [this, index] { deliver_messages(index); });
}

void pool_simulation::freeze_host(std::uint32_t index, microseconds duration)
{
    if (only_drawn("freeze_host", std::uint64_t{index}, duration))
        return;
    m_hosts[index]->frozen_until = m_now + duration;
    print("freeze " + m_hosts[index]->name + " for " + std::to_string(duration.count() / 1000) +
          " ms");
    at(m_now + duration,
       [this, index]
       {
           auto& state = *m_hosts[index];
           if (m_now < state.frozen_until)
               return;
           state.frozen_until = microseconds{0};
           for (auto& callback : std::exchange(state.deferred_calls, {}))
               callback();
       });
}

void pool_simulation::block_peer_messages(std::uint32_t index, microseconds duration)
{
    if (only_drawn("block_peer_messages", std::uint64_t{index}, duration))
        return;
    auto& state = *m_hosts[index];
    state.blocked_until = std::max(state.blocked_until, m_now + duration);
    print("block peer messages of " + state.name + " for " +
          std::to_string(duration.count() / 1000) + " ms");
    at(m_now + duration,
       [this, index]
       {
           auto& blocked_host = *m_hosts[index];
           if (m_now < blocked_host.blocked_until)
               return;
           for (const auto& message : std::exchange(blocked_host.blocked_messages, {}))
               receive(index, message);
       });
}

void pool_simulation::slow_host(std::uint32_t index, microseconds max_delay)
{
    if (only_drawn("slow_host", std::uint64_t{index}, max_delay))
        return;
    auto& state = *m_hosts[index];
    if (m_now < state.backlog_until)
        return;
    state.backlog_from = m_now;
    state.backlog_until = m_now + 2 * max_delay;
    print("slow " + state.name + " by " + std::to_string(max_delay.count() / 1000) + " ms");
}

microseconds pool_simulation::backlog_delay(std::uint32_t index) const
{
    const auto& state = *m_hosts[index];
    if (m_now >= state.backlog_until)
        return microseconds{0};
    return std::min(m_now - state.backlog_from, state.backlog_until - m_now);
}

void pool_simulation::stop_host(std::uint32_t index)
{
    if (only_drawn("stop_host", std::uint64_t{index}))
        return;
    print("stop " + m_hosts[index]->name);
    call_host(index,
              [](pool_host& host, instant now, action_list& out) { host.begin_stop(now, out); });
}

void pool_simulation::finish_stop(std::uint32_t index)
{
    const auto& state = *m_hosts[index];
    // A host that is paused or behind has not read all calls.
    if (m_now < state.frozen_until || m_now < state.backlog_until || !state.work.empty())
        return;
    call_host_now(index,
                  [](pool_host& host, instant now, action_list& out) { host.end_calls(now, out); });
    for (const auto& call : m_calls)
        if (!call.broken && call.answered.count() < 0 &&
            call.answer.detail == std::to_string(index))
            add_violation("a planned stop left a call without an answer: " + call.job);
}

const pool_host* pool_simulation::host(std::uint32_t index) const
{
    return m_hosts[index]->logic.get();
}

void pool_simulation::cut_hosts(std::uint32_t a, std::uint32_t b, bool cut, bool queue_messages)
{
    if (only_drawn("cut_hosts", std::uint64_t{a}, std::uint64_t{b}, std::uint64_t{cut},
                   std::uint64_t{queue_messages}))
        return;
    const auto pair = std::minmax(a, b);
    if (cut)
        m_cut_hosts.insert({pair.first, pair.second});
    else
        m_cut_hosts.erase({pair.first, pair.second});
    for (const auto& direction : {std::pair{a, b}, std::pair{b, a}})
    {
        if (cut)
            m_links[direction].cut_since = m_now;
        else
            release_messages(direction.first, direction.second);
        m_links[direction].queue_messages = cut && queue_messages;
    }
}

void pool_simulation::cut_data_centre(std::uint32_t centre, bool cut, bool queue_messages)
{
    if (only_drawn("cut_data_centre", std::uint64_t{centre}, std::uint64_t{cut},
                   std::uint64_t{queue_messages}))
        return;
    const auto name = "dc" + std::to_string(centre + 1);
    print((cut ? "cut off " : "heal ") + name + (queue_messages ? ", messages wait" : ""));
    for (std::uint32_t host = 0; host < host_count(); ++host)
    {
        const bool inside = m_hosts[host]->data_centre == name;
        for (std::uint32_t other = 0; other < host; ++other)
            if ((m_hosts[other]->data_centre == name) != inside)
                cut_hosts(host, other, cut, queue_messages);
        for (std::uint32_t worker = 0; worker < worker_count(); ++worker)
            if ((m_workers[worker]->entry().data_centre == name) != inside)
                cut_worker(host, worker, cut);
    }
}

void pool_simulation::reset_connection(std::uint32_t from, std::uint32_t to, microseconds gap)
{
    if (only_drawn("reset_connection", std::uint64_t{from}, std::uint64_t{to}, gap))
        return;
    print("reset " + m_hosts[from]->name + " -> " + m_hosts[to]->name);
    auto& peer_link = m_links[{from, to}];
    ++peer_link.connection;
    peer_link.lost_until = m_now + gap;
    peer_link.last_arrival = microseconds{0};
    peer_link.queued_messages.clear();
}

void pool_simulation::reset_hosts(std::uint32_t a, std::uint32_t b, microseconds gap)
{
    reset_connection(a, b, gap);
    reset_connection(b, a, gap);
}

void pool_simulation::cut_one_way(std::uint32_t from, std::uint32_t to, bool cut)
{
    if (cut)
        m_cut_one_way.insert({from, to});
    else
        m_cut_one_way.erase({from, to});
}

void pool_simulation::cut_worker(std::uint32_t host, std::uint32_t worker, bool cut)
{
    if (only_drawn("cut_worker", std::uint64_t{host}, std::uint64_t{worker}, std::uint64_t{cut}))
        return;
    if (cut)
        m_cut_workers.insert({host, worker});
    else
        m_cut_workers.erase({host, worker});
}

standin::pool_worker_model& pool_simulation::worker(std::uint32_t index)
{
    return *m_workers[index];
}

void pool_simulation::disturb_worker(std::uint32_t index, double slow_factor, bool failing)
{
    if (only_drawn("disturb_worker", std::uint64_t{index}, slow_factor, std::uint64_t{failing}))
        return;
    m_workers[index]->set_failing(failing);
    m_workers[index]->set_slow_factor(slow_factor);
    if (failing || slow_factor != 1)
        m_disturbed_workers.insert(index);
    else
        m_disturbed_workers.erase(index);
}

void pool_simulation::make_job_fail(const std::string& id)
{
    if (only_drawn("make_job_fail", id))
        return;
    m_failing_jobs.insert(id);
}

void pool_simulation::make_task_deadly(const std::string& id, std::uint32_t index)
{
    if (only_drawn("make_task_deadly", id, std::uint64_t{index}))
        return;
    m_deadly_tasks.insert({id, 0, 0, index});
}

void pool_simulation::set_crashed_worker_downtime(milliseconds downtime)
{
    if (only_drawn("set_crashed_worker_downtime", microseconds{downtime}))
        return;
    m_settings.crashed_worker_downtime = downtime;
}

void pool_simulation::set_order_delay(std::uint32_t worker, microseconds delay)
{
    if (only_drawn("set_order_delay", std::uint64_t{worker}, delay))
        return;
    if (delay.count() == 0)
        m_order_delays.erase(worker);
    else
        m_order_delays[worker] = delay;
}

void pool_simulation::set_unanswered_share(double share)
{
    if (only_drawn("set_unanswered_share", share))
        return;
    m_unanswered_share = share;
}

void pool_simulation::crash_worker(std::uint32_t index)
{
    if (only_drawn("crash_worker", std::uint64_t{index}))
        return;
    if (m_workers[index]->up())
        m_workers[index]->crash(m_now);
    m_broken_runs = 0;
}

void pool_simulation::restart_worker(std::uint32_t index)
{
    if (only_drawn("restart_worker", std::uint64_t{index}))
        return;
    if (m_workers[index]->up())
        return;
    m_workers[index]->restart(m_now);
    at(m_now + registration_delay, [this] { publish_registry(); });
}

void pool_simulation::set_worker_capacity(std::uint32_t index, const resources& capacity)
{
    const auto& entry = m_workers[index]->entry();
    m_former_capacity[entry.id] = {m_now + capacity_grace_period, entry.capacity};
    print(entry.id + " has capacity " + std::to_string(capacity.cpu));
    m_workers[index]->set_capacity(capacity);
    publish_registry();
}

void pool_simulation::tick(std::uint32_t index, std::uint64_t incarnation)
{
    const auto& state = *m_hosts[index];
    if (state.incarnation != incarnation || !state.logic)
        return;
    if (!m_unserved.empty() && !in_touch(index))
        m_out_of_touch_at = m_now;
    if (limits_processor())
        return add_work(index, m_settings.processor.handle_timers,
                        [this, index, incarnation, due = m_now]
                        {
                            const auto next = m_hosts[index]->inbox.next_arrival();
                            const auto delay = m_now - std::min(due, next.value_or(due));
                            call_host_now(index,
                                          [&](pool_host& host, instant now, action_list& out)
                                          {
                                              host.observe_delay(now, delay);
                                              host.tick(now, out);
                                          });
                            at(m_now + tick_interval,
                               [this, index, incarnation] { tick(index, incarnation); });
                        });
    const auto late = std::min(backlog_delay(index), max_timer_delay);
    call_host_after(index, late,
                    [](pool_host& host, instant now, action_list& out) { host.tick(now, out); });
    at(m_now + tick_interval, [this, index, incarnation] { tick(index, incarnation); });
}

void pool_simulation::call_host(std::uint32_t index, const host_callback& callback,
                                microseconds work)
{
    if (limits_processor())
        return add_work(index, work, [this, index, callback] { call_host_now(index, callback); });
    call_host_after(index, backlog_delay(index), callback);
}

void pool_simulation::call_host_after(std::uint32_t index, microseconds late,
                                      const host_callback& callback)
{
    if (late.count() == 0)
        return call_host_now(index, callback);
    at(m_now + late,
       [this, index, incarnation = m_hosts[index]->incarnation, callback]
       {
           if (m_hosts[index]->incarnation == incarnation)
               call_host_now(index, callback);
       });
}

void pool_simulation::call_host_now(std::uint32_t index, const host_callback& callback)
{
    auto& state = *m_hosts[index];
    if (!state.logic)
        return;
    if (m_now < state.frozen_until)
    {
        const auto incarnation = state.incarnation;
        state.deferred_calls.push_back(
            [this, index, incarnation, callback]
            {
                if (m_hosts[index]->incarnation == incarnation)
                    call_host_now(index, callback);
            });
        return;
    }
    action_list out;
    callback(*state.logic, current_instant(), out);
    execute_actions(index, out);
}

void pool_simulation::execute_actions(std::uint32_t index, action_list& actions)
{
    const auto& costs = m_settings.processor;
    for (auto& action : actions)
    {
        if (const auto* answer = std::get_if<actions::answer_call>(&action))
        {
            use_processor(index, costs.answer_call);
            on_answer(index, answer->call, answer->answer);
        }
        else if (const auto* query = std::get_if<actions::answer_query>(&action))
        {
            use_processor(index, costs.answer_call);
            const auto open = m_open_queries.find(query->call);
            if (open == m_open_queries.end())
            {
                add_violation("a query is answered twice");
                continue;
            }
            m_answered_queries.push_back({open->second, m_now, query->result});
            m_open_queries.erase(open);
        }
        else if (const auto* message = std::get_if<actions::send_peer>(&action))
        {
            use_processor(index, costs.send_message +
                                     costs.send_kilobyte * message->message.ByteSizeLong() / 1024);
            for (std::uint32_t to = 0; to < host_count(); ++to)
                if (m_hosts[to]->name == message->host)
                    send_message(index, to, message->message);
        }
        else if (const auto* hold = std::get_if<actions::hold_worker>(&action))
            send_order(index, *hold);
        else if (const auto* start = std::get_if<actions::start_run>(&action))
            send_order(index, *start);
        else if (const auto* stop = std::get_if<actions::stop_run>(&action))
            send_order(index, *stop);
        else if (const auto* line = std::get_if<actions::log_event>(&action); line && trace)
            std::cout << m_now.count() / 1000.0 << " " << m_hosts[index]->name << " " << line->text
                      << '\n';
    }
}

void pool_simulation::send_message(std::uint32_t from, std::uint32_t to,
                                   const wire::PeerMessage& message)
{
    auto& peer_link = m_links[{from, to}];
    const auto incarnation = m_hosts[to]->incarnation;
    const bool cut = m_cut_hosts.contains(std::minmax(from, to));
    if (cut && peer_link.queue_messages && m_now - peer_link.cut_since < connection_timeout)
    {
        print_message(from, to, "waits", message);
        peer_link.queued_messages.emplace_back(incarnation, message);
        return;
    }
    if (cut || m_now < peer_link.lost_until || m_cut_one_way.contains({from, to}))
        return print_message(from, to, "lost", message);
    print_message(from, to, "sent", message);
    schedule_arrival(from, to, incarnation, arrival_time(from, to, m_now + delay()), message);
}

microseconds pool_simulation::arrival_time(std::uint32_t from, std::uint32_t to, microseconds when)
{
    if (!m_settings.ordered_messages)
        return when;
    auto& last = m_links[{from, to}].last_arrival;
    return last = std::max(last, when);
}

void pool_simulation::schedule_arrival(std::uint32_t from, std::uint32_t to,
                                       std::uint64_t incarnation, microseconds when,
                                       const wire::PeerMessage& message)
{
    at(when,
       [this, from, to, incarnation, connection = m_links[{from, to}].connection, message]
       {
           if (m_hosts[to]->incarnation != incarnation)
               return;
           if (m_links[{from, to}].connection != connection)
               return print_message(from, to, "lost in flight", message);
           print_message(from, to, "arrives", message);
           receive(to, message);
       });
}

void pool_simulation::receive(std::uint32_t to, const wire::PeerMessage& message)
{
    auto& state = *m_hosts[to];
    if (m_now < state.blocked_until)
        return state.blocked_messages.push_back(message);
    if (limits_processor())
    {
        if (!state.logic)
            return;
        if (state.reading_paused)
            return state.unread_messages.push_back(message);
        use_processor(to, m_settings.processor.receive_message);
        state.inbox.push(message, m_now);
        state.reading_paused = state.inbox.full();
        if (!std::exchange(state.delivery_scheduled, true))
            add_work(to, microseconds{0}, [this, to] { deliver_messages(to); });
        return;
    }
    call_host(to, [message](pool_host& host, instant now, action_list& out)
              { host.on_peer(now, message, out); });
}

void pool_simulation::release_messages(std::uint32_t from, std::uint32_t to)
{
    auto& peer_link = m_links[{from, to}];
    const auto queued_messages = std::exchange(peer_link.queued_messages, {});
    if (queued_messages.empty() || !m_hosts[from]->logic)
        return;
    const auto cut_duration = m_now - peer_link.cut_since;
    const auto when = m_now + microseconds{std::uniform_int_distribution<std::int64_t>(
                                  0, cut_duration.count())(m_random)};
    const bool same_connection = cut_duration < connection_timeout;
    for (const auto& [incarnation, message] : queued_messages)
        schedule_arrival(from, to, incarnation,
                         same_connection ? arrival_time(from, to, when) : when, message);
}

template <class Order>
void pool_simulation::send_order(std::uint32_t index, const Order& order)
{
    const auto incarnation = m_hosts[index]->incarnation;
    use_processor(index, m_settings.processor.send_order);
    std::uint32_t target = 0;
    while (m_workers[target]->entry().id != order.worker)
        ++target;
    // Half of the orders without an answer are executed after the usual delay, half seconds later.
    bool unanswered = std::bernoulli_distribution(m_unanswered_share)(m_random);
    const bool late = unanswered && std::bernoulli_distribution(0.5)(m_random);
    auto order_delay = late ? microseconds{std::uniform_int_distribution<std::int64_t>(
                                  min_late_delay.count(), max_late_delay.count())(m_random)}
                            : delay();
    if (const auto delayed = m_order_delays.find(target); delayed != m_order_delays.end())
    {
        unanswered = true;
        order_delay = delayed->second;
    }
    const auto when = m_now + order_delay;
    // The timeout is reported even if the order was answered.
    at(m_now + order.timeout,
       [this, index, incarnation, request = order.request]
       {
           if (m_hosts[index]->incarnation == incarnation)
               call_host(index, [request](pool_host& host, instant now, action_list& out)
                         { host.on_worker(now, request, {}, out); });
       });
    if (m_cut_workers.contains({index, target}))
        return;
    auto executed = order;
    if constexpr (!std::is_same_v<Order, actions::stop_run>)
        if (m_settings.late_leases && order_delay >= min_late_delay && order.lease_until_ms > 0)
            executed.lease_until_ms +=
                std::chrono::duration_cast<milliseconds>(order_delay).count();
    at(when, [this, index, incarnation, target, executed, unanswered]
       { execute_order(index, incarnation, target, executed, !unanswered); });
}

template <class Order>
void pool_simulation::execute_order(std::uint32_t index, std::uint64_t incarnation,
                                    std::uint32_t target, Order order, bool answered)
{
    auto& worker = *m_workers[target];
    if (!worker.up())
        return;
    worker_reply reply;
    if constexpr (std::is_same_v<Order, actions::hold_worker>)
    {
        reply = worker.hold(m_now, order);
        if (answered && reply.result == order_result::accepted && order.wait.count() > 0 &&
            !worker.has_update(order.ends_seen))
            return poll_hold(index, incarnation, target, order, m_now + order.wait);
    }
    else if constexpr (std::is_same_v<Order, actions::start_run>)
        reply = worker.start(m_now, order);
    else
        reply = worker.stop(m_now, order);
    if (answered)
        send_reply(index, incarnation, target, order.request, reply);
}

void pool_simulation::poll_hold(std::uint32_t index, std::uint64_t incarnation,
                                std::uint32_t target, actions::hold_worker order,
                                microseconds until)
{
    // The maximum delay until the end of a run is reported. Shorter than a host's tick of 20 ms.
    constexpr microseconds poll_interval{6000};
    at(m_now + poll_interval,
       [this, index, incarnation, target, order, until]
       {
           const auto& worker = *m_workers[target];
           if (!worker.up())
               return;
           if (worker.has_update(order.ends_seen) || m_now >= until)
               return send_reply(index, incarnation, target, order.request,
                                 worker.current_reply(m_now));
           poll_hold(index, incarnation, target, order, until);
       });
}

void pool_simulation::send_reply(std::uint32_t index, std::uint64_t incarnation,
                                 std::uint32_t target, std::uint64_t request, worker_reply reply)
{
    if (m_cut_workers.contains({index, target}))
        return;
    at(m_now + delay(),
       [this, index, incarnation, request, reply = std::move(reply)]
       {
           if (m_hosts[index]->incarnation == incarnation)
               call_host(
                   index,
                   [request, reply](pool_host& host, instant now, action_list& out)
                   { host.on_worker(now, request, reply, out); },
                   m_settings.processor.handle_reply);
       });
}

void pool_simulation::submit(std::uint32_t host, const std::string& id, std::uint32_t count,
                             resources demand, microseconds task_time, bool retries,
                             std::optional<milliseconds> estimate)
{
    if (estimate)
        only_drawn("estimate", microseconds{*estimate});
    if (only_drawn("submit", std::uint64_t{host}, id, std::uint64_t{count},
                   static_cast<std::uint64_t>(demand.cpu), task_time, std::uint64_t{retries}))
        return;
    auto& job = m_jobs[id];
    job.request.id = id;
    job.request.payload = "p";
    job_step step;
    step.count = count;
    step.demand = demand;
    step.estimate = estimate.value_or(std::chrono::duration_cast<milliseconds>(task_time));
    job.request.steps = {step};
    job.request.terms = {"r", service, 0, 3, 1.6, milliseconds{60}, m_settings.caller_wait};
    job.task_time = task_time;
    job.retries = retries;
    job.data_centre = m_hosts[host]->data_centre;
    send_call(host, id);
}

void pool_simulation::send_call(std::uint32_t host, const std::string& id)
{
    auto& job = m_jobs.at(id);
    const auto call = m_calls.size();
    job.calls.push_back(call);
    m_calls.push_back({id, m_now, microseconds{-1}, {}, false});
    if (trace)
        print("caller of " + id + " calls " + m_hosts[host]->name);
    if (!m_hosts[host]->logic)
    {
        m_calls[call].broken = true;
        if (m_settings.platform_callers && job.retries)
            retry_call(host, id);
        return;
    }
    call_host(
        host,
        [call, request = job.request](pool_host& logic, instant now, action_list& out)
        { logic.on_job(now, (call << 8), request, out); },
        m_settings.processor.handle_call);
    m_calls[call].answer.detail = std::to_string(host); // the host, while the call is open
}

std::optional<std::uint32_t> pool_simulation::host_of_open_call(const std::string& id) const
{
    const auto& record = m_calls[m_jobs.at(id).calls.back()];
    if (record.answered.count() >= 0 || record.broken)
        return std::nullopt;
    return static_cast<std::uint32_t>(std::stoul(record.answer.detail));
}

void pool_simulation::query_job(std::uint32_t host, const std::string& id, bool cancel)
{
    // Calls of jobs have the low bits 0.
    const auto call =
        (static_cast<std::uint64_t>(m_open_queries.size() + m_answered_queries.size()) << 8) | 1;
    m_open_queries[call] = id;
    call_host(
        host,
        [call, id, cancel](pool_host& logic, instant now, action_list& out)
        { logic.on_job_query(now, call, id, cancel, out); },
        m_settings.processor.handle_call);
}

void pool_simulation::disconnect_caller(const std::string& id)
{
    if (only_drawn("disconnect_caller", id))
        return;
    const auto host = host_of_open_call(id);
    if (!host)
        return;
    const auto call = m_jobs.at(id).calls.back();
    m_calls[call].broken = true;
    call_host(*host, [call](pool_host& logic, instant now, action_list& out)
              { logic.on_caller_disconnected(now, call << 8, out); });
}

void pool_simulation::reset_caller_connection(const std::string& id)
{
    if (only_drawn("reset_caller_connection", id))
        return;
    const auto host = host_of_open_call(id);
    if (!host)
        return;
    print("caller of " + id + " is reset");
    disconnect_caller(id);
    if (m_jobs.at(id).retries)
        retry_call(*host, id);
}

void pool_simulation::lose_caller_connection(const std::string& id)
{
    if (only_drawn("lose_caller_connection", id))
        return;
    const auto host = host_of_open_call(id);
    if (!host)
        return;
    print("connection of the caller of " + id + " is lost, host not notified");
    m_calls[m_jobs.at(id).calls.back()].broken = true;
    at(m_now + retry_delay, [this, host = *host, id] { send_call(host, id); });
}

void pool_simulation::reset_caller_connections(std::uint32_t host)
{
    if (only_drawn("reset_caller_connections", std::uint64_t{host}))
        return;
    print("reset the callers of " + m_hosts[host]->name);
    for (const auto& [id, job] : m_jobs)
        if (m_calls[job.calls.back()].answer.detail == std::to_string(host))
            reset_caller_connection(id);
}

void pool_simulation::break_open_calls(std::uint32_t host)
{
    for (std::size_t call = 0; call < m_calls.size(); ++call)
    {
        auto& record = m_calls[call];
        if (record.broken || record.answered.count() >= 0 ||
            record.answer.detail != std::to_string(host))
            continue;
        record.broken = true;
        if (m_jobs.at(record.job).retries)
            retry_call(host, record.job);
    }
}

void pool_simulation::on_answer(std::uint32_t host, std::uint64_t call_number,
                                const call_answer& answer)
{
    auto& record = m_calls[call_number >> 8];
    if (record.broken)
        return;
    if (record.answered.count() >= 0)
        add_violation("call answered twice: " + record.job);
    record.answered = m_now;
    record.answer = answer;
    const auto& job = m_jobs.at(record.job);
    if (answer.kind == answer_kind::ok && job.done.size() < job.request.steps[0].count)
        add_violation("complete without all tasks done: " + record.job);
    if (trace)
        std::cout << m_now.count() / 1000.0 << " caller of " << record.job << " is told "
                  << name_of(answer.kind) << '\n';
    const auto reaches = [](const auto& counts, std::uint32_t limit)
    {
        return std::any_of(counts.begin(), counts.end(),
                           [&](const auto& item) { return item.second >= limit; });
    };
    if (answer.kind == answer_kind::task_failed &&
        !reaches(job.failures, job.request.terms.max_attempts) &&
        !reaches(job.crashes, min_crashes_to_fail))
        add_violation("told that it failed, without cause: " + record.job);
    if (row_of(answer.kind).result == outcome::not_run && job.starts > 0)
        add_violation("told that it has not run, but a task had started: " + record.job);
    check_refusal(record);
    if (job.retries && retries_after(answer))
        retry_call(host, record.job);
}

bool pool_simulation::is_calm() const
{
    return m_now - m_last_fault >= calm_delay && m_cut_hosts.empty() && m_cut_one_way.empty() &&
           m_cut_workers.empty() && m_unanswered_share == 0 && m_order_delays.empty() &&
           m_disturbed_workers.empty() && m_evacuated_at.empty() && !limits_processor() &&
           std::all_of(m_hosts.begin(), m_hosts.end(),
                       [this](const auto& host)
                       { return host->logic && host->logic->accepts_jobs(m_now); }) &&
           std::all_of(m_workers.begin(), m_workers.end(),
                       [](const auto& worker) { return worker->up(); });
}

bool pool_simulation::has_room_for(const job_record& job) const
{
    struct idle_count
    {
        std::size_t workers = 0;
        std::size_t idle = 0;
        std::int64_t slots = 0;
    };
    const auto& step = job.request.steps[0];
    std::map<std::string, idle_count> centres;
    for (const auto& worker : m_workers)
    {
        auto& centre = centres[worker->entry().data_centre];
        ++centre.workers;
        if (worker->running() > 0)
            continue;
        ++centre.idle;
        centre.slots += worker->entry().capacity.cpu / std::max<std::int64_t>(1, step.demand.cpu);
    }
    return std::any_of(centres.begin(), centres.end(),
                       [&](const auto& entry)
                       {
                           const auto& centre = entry.second;
                           return centre.idle * 4 >= centre.workers * 3 &&
                                  centre.slots >= 2 * static_cast<std::int64_t>(step.count);
                       });
}

void pool_simulation::check_refusal(const call_record& call)
{
    const auto& job = m_jobs.at(call.job);
    const bool calm = is_calm();
    const auto run_time =
        std::max<microseconds>(job.task_time, job.request.steps[0].estimate) + placement_time;
    if (!calm)
        m_refused_since = microseconds{-1};
    if (!calm || run_time > job.request.terms.wait || m_failing_jobs.contains(call.job))
        return;
    if (call.answer.kind == answer_kind::ok)
        m_refused_since = microseconds{-1};
    if (row_of(call.answer.kind).result != outcome::not_run || !has_room_for(job))
        return;
    if (m_refused_since.count() < 0)
        m_refused_since = m_now;
    m_longest_refusal = std::max(m_longest_refusal, m_now - m_refused_since);
    if (m_now - m_refused_since > max_refusal_with_room + job.request.terms.wait)
        add_violation("refused for " + std::to_string((m_now - m_refused_since).count() / 1000) +
                      " ms although there is room: " + call.job);
}

bool pool_simulation::retries_after(const call_answer& answer) const
{
    const auto result = row_of(answer.kind).result;
    if (!m_settings.platform_callers)
        return result == outcome::unknown;
    return result != outcome::complete && result != outcome::not_run &&
           result != outcome::rejected && answer.kind != answer_kind::task_failed;
}

std::optional<std::uint32_t> pool_simulation::choose_host_for_caller(const std::string& data_centre)
{
    const bool prefer_own = std::bernoulli_distribution(own_data_centre_share)(m_random);
    std::vector<std::uint32_t> in_data_centre;
    std::vector<std::uint32_t> all;
    for (std::uint32_t host = 0; host < host_count(); ++host)
    {
        const auto& state = *m_hosts[host];
        if (!state.logic || !state.logic->accepts_jobs(m_now))
            continue;
        all.push_back(host);
        if (state.data_centre == data_centre)
            in_data_centre.push_back(host);
    }
    const auto& from = prefer_own && !in_data_centre.empty() ? in_data_centre : all;
    if (from.empty())
        return std::nullopt;
    return from[std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(m_random)];
}

void pool_simulation::retry_call(std::uint32_t host, const std::string& job)
{
    if (m_settings.platform_callers)
    {
        if (m_jobs.at(job).calls.size() < m_settings.max_calls)
            at(m_now + retry_delay,
               [this, host, job] {
                   send_call(choose_host_for_caller(m_jobs.at(job).data_centre).value_or(host),
                             job);
               });
        return;
    }
    at(m_now + retry_delay, [this, host, job] { send_call((host + 1) % host_count(), job); });
}

const pool_simulation::call_record* pool_simulation::last_call(const std::string& job) const
{
    const auto known = m_jobs.find(job);
    return known == m_jobs.end() ? nullptr : &m_calls[known->second.calls.back()];
}

void pool_simulation::add_violation(const std::string& description)
{
    m_violations.push_back(std::to_string(m_now.count() / 1000) + " ms: " + description);
    if (trace)
        std::cout << "VIOLATION " << m_violations.back() << '\n';
}

void pool_simulation::print(const std::string& text) const
{
    if (trace)
        std::cout << m_now.count() / 1000.0 << " " << text << '\n';
}

void pool_simulation::print_message(std::uint32_t from, std::uint32_t to, const char* description,
                                    const wire::PeerMessage& message) const
{
    if (!trace)
        return;
    std::string summary;
    if (message.has_pool_job())
        summary = "offer " + std::to_string(message.pool_job().offer()) + " of " +
                  message.pool_job().id() +
                  " age_ms=" + std::to_string(message.pool_job().age_ms()) +
                  " former_workers=" + std::to_string(message.pool_job().former_workers_size());
    else if (message.has_pool_result())
    {
        const auto& result = message.pool_result();
        summary = "result of " + result.id() + ' ' +
                  std::string(name_of(static_cast<answer_kind>(result.kind()))) +
                  (result.declined() ? " declined" : "") + " \"" + result.detail() + '"';
    }
    else if (message.has_pool_cancel())
        summary = "cancel of offer " + std::to_string(message.pool_cancel().offer());
    else
        return;
    print(m_hosts[from]->name + " -> " + m_hosts[to]->name + ' ' + description + ": " + summary);
}

void pool_simulation::on_started(const std::string& worker, const run_ref& run)
{
    ++m_starts;
    check_evacuation(worker, run);
    auto& job = m_jobs.at(run.task.job);
    ++job.starts;
    if (trace)
        std::cout << m_now.count() / 1000.0 << " " << worker << " starts " << run.task.job << "."
                  << run.task.index << "#" << run.number << '\n';
    if (const auto other = job.running.find(run.task); other != job.running.end())
        add_violation("two runs at once of " + run.task.job + "." + std::to_string(run.task.index) +
                      " on " + other->second + " and " + worker);
    job.running[run.task] = worker;
    if (const auto crashes = m_crashes.find(run.task);
        crashes != m_crashes.end() && crashes->second >= max_crashes_of_task &&
        ++m_starts_after_budget[run.task] > max_starts_after_crashes)
        add_violation("started on " + worker + " after " + std::to_string(crashes->second) +
                      " crashes: " + run.task.job + "." + std::to_string(run.task.index));
    for (const auto& model : m_workers)
        if (model->entry().id == worker && !model->used().fits(model->entry().capacity) &&
            !fits_former_capacity(worker, model->used()))
            add_violation("over capacity: " + worker + " uses " +
                          std::to_string(model->used().cpu));
}

void pool_simulation::on_ended(const std::string& worker, const run_ref& run, run_end end)
{
    auto& job = m_jobs.at(run.task.job);
    if (const auto known = job.running.find(run.task);
        known != job.running.end() && known->second == worker)
        job.running.erase(known);
    if (end == run_end::done)
        ++job.done[run.task];
    if (end == run_end::failed)
        ++job.failures[run.task];
    if (end == run_end::broken) // the model ends runs so only at a crash
    {
        ++job.crashes[run.task];
        ++m_broken_runs;
    }
}

bool pool_simulation::fits_former_capacity(const std::string& worker, const resources& used) const
{
    const auto former = m_former_capacity.find(worker);
    return former != m_former_capacity.end() && m_now < former->second.first &&
           used.fits(former->second.second);
}

void pool_simulation::on_crashed(const std::string& worker, const run_ref& run)
{
    ++m_crashes[run.task];
    m_runs_lost[run.task].push_back(std::exchange(m_broken_runs, 0) - 1);
    print(worker + " crashed by " + run.task.job + "." + std::to_string(run.task.index));
    for (std::uint32_t index = 0; index < worker_count(); ++index)
        if (m_workers[index]->entry().id == worker)
            at(m_now + m_settings.crashed_worker_downtime,
               [this, index] { restart_worker(index); });
}

std::vector<std::string> pool_simulation::violations()
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
            add_violation("refused as not run, but it started: " + id);
    }
    for (const auto& record : m_calls)
        if (!record.broken && record.answered.count() < 0 &&
            m_now - record.sent > m_settings.caller_wait + answer_margin)
            add_violation("never answered: " + record.job);
    return m_violations;
}

} // namespace egretledge::harness
