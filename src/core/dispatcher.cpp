// Placement, starts and results.
//
// Tasks wait at this host, not at the workers: a worker is sent at most its free slots plus a few
// tasks ahead (late binding), so a task is bound to a worker about when a slot frees. Hosts share
// the workers without a shared view. Each answer of a worker says how many tasks it has in all;
// what is not ours belongs to others, and the least loaded worker by that figure gets the next
// task. The figure is as old as the last answer; a host that has work waiting and no fresh figures
// asks two random workers for one (a lease renewal serves as the question), which is counted as
// waste.
//
// Every start has a sequence within this host's lease on the worker. Three things can happen to it:
//   - the worker accepts it, and a result follows;
//   - the worker refuses it: it has not run and goes back into the queue;
//   - no answer comes: it may or may not have started. It is then in doubt. The worker is asked for
//     its history under the lease up to the doubtful sequence, and from that question on refuses
//     those sequences. What the history lists has started; what it does not list never will, and
//     only then goes back into the queue.
// If the worker's process is over (its incarnation changed), what it had is reported as lost.
//
// Each start carries start_by, the end of this host's ownership lease or the job's deadline,
// in the worker's clock. The offset between the clocks is taken as small as the exchange allows
// (the worker's reading against the time at which the answer came), so start_by is never late.
//
// A worker that fails what others can run is quarantined: it looks idle and would draw all tasks.
// A failure counts against the worker only while most workers that lately ran the service did not
// fail it; a bad job or service therefore quarantines nobody. A quarantined worker is tested with
// single tasks at growing intervals. At most a set share of workers is out at once.

#include "core/dispatcher.hpp"
#include "core/check.hpp"
#include <algorithm>
#include <cmath>
#include <utility>

namespace egretledge
{

namespace
{

constexpr std::uint32_t unproven_room = 4;
constexpr microseconds load_trusted = milliseconds{500};
constexpr microseconds first_backoff = milliseconds{100};
constexpr microseconds longest_backoff = milliseconds{5000};
constexpr microseconds refused_pause = milliseconds{50};
constexpr microseconds renew_before = milliseconds{4000};
constexpr microseconds first_test_pause = milliseconds{1000};
constexpr microseconds longest_test_pause = milliseconds{30000};
constexpr std::uint32_t probes_at_once = 2;
constexpr std::size_t events_per_reply = 16;

// The incarnation that an answer names; 0 for a failure.
std::uint64_t incarnation_of(const worker_answer& answer)
{
    return std::visit(
        [](const auto& text) -> std::uint64_t
        {
            if constexpr (std::is_same_v<std::decay_t<decltype(text)>, error>)
                return 0;
            else
                return text.worker_incarnation;
        },
        answer);
}

microseconds doubled(microseconds value, microseconds first, microseconds longest)
{
    return value == microseconds{0} ? first : std::min(2 * value, longest);
}

} // namespace

dispatcher::dispatcher(dispatcher_settings settings, const start_gate& gate,
                       node_counters& counters, std::uint64_t seed)
    : m_settings(std::move(settings)), m_gate(gate), m_counters(counters), m_random(seed)
{
}

void dispatcher::configure(configuration_ptr config)
{
    m_config = std::move(config);
    std::vector<bool> before;
    for (auto& worker : m_workers)
        before.push_back(std::exchange(worker->configured, false));
    for (const auto& about : m_config->executors)
    {
        if (about.data_centre != m_settings.data_centre)
            continue;
        const auto [entry, fresh] =
            m_worker_index.try_emplace(about.name, static_cast<std::uint32_t>(m_workers.size()));
        if (fresh)
        {
            m_workers.push_back(std::make_unique<worker_view>());
            m_workers.back()->index = entry->second;
        }
        auto& worker = *m_workers[entry->second];
        worker.about = about;
        worker.configured = true;
        // A worker that comes back is new to hosts that began while it was away.
        if (fresh || (entry->second < before.size() && !before[entry->second]))
            worker.since = m_latest_worker = m_config->revision;
    }
    m_batches.resize(m_workers.size());
    for (const auto& [name, team] : m_config->teams)
    {
        const auto part = static_cast<double>(team.quota) * m_share;
        m_queue.set_team(name, team.weight,
                         std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::ceil(part))));
    }
}

void dispatcher::set_leaving_workers(const std::vector<std::string>& names)
{
    for (auto& worker : m_workers)
        worker->leaving = std::find(names.begin(), names.end(), worker->about.name) != names.end();
}

const service_object* dispatcher::service_of(const std::string& name) const
{
    if (!m_config)
        return nullptr;
    const auto found = m_config->services.find(name);
    return found == m_config->services.end() ? nullptr : &found->second;
}

bool dispatcher::any_fit(const service_object& service) const
{
    return std::any_of(m_workers.begin(), m_workers.end(),
                       [&](const auto& worker)
                       { return worker->configured && worker->about.fits(service); });
}

milliseconds dispatcher::run_time_of(const std::string& service, std::uint32_t declared_ms) const
{
    const auto* about = service_of(service);
    const auto declared = declared_ms > 0    ? declared_ms
                          : about != nullptr ? static_cast<std::uint32_t>(about->run_time_ms)
                                             : 1;
    return m_run_times.expect(service, milliseconds{declared});
}

double dispatcher::usable_slots() const
{
    double slots = 0;
    for (const auto& worker : m_workers)
        if (worker->configured && !worker->leaving && worker->health != worker_health::quarantined)
            slots += std::max(0.0, static_cast<double>(worker->about.slots) -
                                       static_cast<double>(worker->others));
    return std::max(1.0, slots);
}

bool dispatcher::over_quota(const std::string& team) const
{
    return m_queue.at_quota(team);
}

milliseconds dispatcher::expected_wait() const
{
    const auto whole = static_cast<double>(m_queue.queued_work().count()) / usable_slots();
    return milliseconds{static_cast<std::int64_t>(whole)};
}

void dispatcher::enqueue(open_job& job, instant)
{
    const double slots = usable_slots();
    for (auto task = job.tasks.size(); task-- > 0;)
    {
        if (job.tasks[task].state != run_state::not_started)
            continue;
        m_queue.add(job, static_cast<std::uint32_t>(task),
                    run_time_of(job.service, job.tasks[task].size_ms), slots);
    }
}

void dispatcher::requeue(open_job& job, std::uint32_t task, instant)
{
    job.tasks[task].state = run_state::not_started;
    m_queue.add(job, task, run_time_of(job.service, job.tasks[task].size_ms), usable_slots());
}

std::string dispatcher::worker_name(std::uint32_t index) const
{
    return index < m_workers.size() ? m_workers[index]->about.name : std::string{};
}

std::uint32_t dispatcher::worker_index(const std::string& name) const
{
    const auto found = m_worker_index.find(name);
    return found == m_worker_index.end() ? open_task::no_worker : found->second;
}

void dispatcher::close(const open_job& job, epoch owner_epoch, instant now, action_list& out)
{
    std::vector<std::uint32_t> with_running;
    std::vector<std::uint32_t> with_ended;
    for (const auto& task : job.tasks)
    {
        if (task.worker == open_task::no_worker)
            continue;
        const bool running =
            task.state == run_state::running || task.state == run_state::start_sent;
        (running ? with_running : with_ended).push_back(task.worker);
    }
    std::sort(with_running.begin(), with_running.end());
    with_running.erase(std::unique(with_running.begin(), with_running.end()), with_running.end());
    if (with_running.empty() && !with_ended.empty())
        with_running.push_back(with_ended.front());
    const job_close text{job.id,
                         job.shard,
                         owner_epoch,
                         job.digest,
                         static_cast<std::uint32_t>(job.tasks.size()),
                         job.made.count(),
                         job.deadline_wall.count(),
                         std::string(name_of(job.closing_kind))};
    for (const auto worker : with_running)
    {
        question about{};
        about.job = job.id;
        ask(worker, about, stop_ask{m_settings.self, {text}}, now, out);
    }
}

void dispatcher::drop(open_job& job)
{
    m_queue.drop(job);
    for (const auto& task : job.tasks)
    {
        if (task.worker == open_task::no_worker || task.adopted)
            continue;
        auto& outstanding = m_workers[task.worker]->outstanding;
        const auto start = outstanding.find(task.sequence);
        if (start != outstanding.end() && start->second.job == &job)
            start->second.job = nullptr;
    }
}

void dispatcher::ask(std::uint32_t worker, question about, worker_question text, instant now,
                     action_list& out)
{
    const auto request = m_next_request++;
    about.worker = worker;
    about.sent = now.steady;
    const auto& view = *m_workers[worker];
    // A start batch's payloads are not kept: its sequences suffice to resolve a lost answer.
    worker_question kept =
        std::holds_alternative<start_batch>(text) ? worker_question{start_batch{}} : text;
    m_questions.emplace(request, std::make_pair(about, std::move(kept)));
    out.push_back(actions::send_worker_request{view.about.name, view.about.address, request,
                                               std::move(text)});
}

void dispatcher::ask_lease(std::uint32_t index, instant now, action_list& out)
{
    auto& worker = *m_workers[index];
    worker.lease_asked = true;
    lease_ask text{m_settings.self, worker.lease, worker.about.slots, 0};
    if (worker.lease != 0 && worker.clock_known)
        text.asked_at_us = now.steady.count() + worker.clock_offset_us;
    ask(index, {}, text, now, out);
}

void dispatcher::ask_results(std::uint32_t index, instant now, action_list& out)
{
    auto& worker = *m_workers[index];
    worker.poll_open = true;
    ask(index, {},
        result_ask{m_settings.self, worker.incarnation, worker.results_after,
                   static_cast<std::uint32_t>(m_settings.poll_wait.count())},
        now, out);
}

void dispatcher::ask_doubtful(std::uint32_t index, instant now, action_list& out)
{
    auto& worker = *m_workers[index];
    std::uint64_t first = ~0ULL;
    std::uint64_t last = 0;
    for (const auto& [sequence, start] : worker.outstanding)
    {
        if (!start.in_doubt)
            continue;
        first = std::min(first, sequence);
        last = std::max(last, sequence);
    }
    if (last == 0)
        return;
    worker.doubt_asked = true;
    question about{};
    about.first = first;
    about.last = last;
    ask(index, about, history_ask{{}, m_settings.self, first, last}, now, out);
}

void dispatcher::on_tick(instant now, action_list& out)
{
    m_queue.wake(now.steady);
    if (now.steady >= m_next_lease_check)
    {
        m_next_lease_check = now.steady + microseconds{m_settings.lease_check};
        std::uint32_t leased = 0;
        for (auto& worker : m_workers)
        {
            const bool wanted = worker->configured && !worker->leaving;
            const bool needed = wanted && leased < m_settings.most_workers;
            leased += needed ? 1 : 0;
            const bool lapsing = worker->lease == 0 || worker->lapses - now.steady < renew_before;
            if (needed && lapsing && !worker->lease_asked && now.steady >= worker->ask_after)
                ask_lease(worker->index, now, out);
        }
    }
    for (auto& worker : m_workers)
    {
        if (worker->doubtful > 0 && !worker->doubt_asked && now.steady >= worker->ask_after)
            ask_doubtful(worker->index, now, out);
        if (!worker->outstanding.empty() && !worker->poll_open && now.steady >= worker->poll_after)
            ask_results(worker->index, now, out);
    }
    pump(now, out);
    if (m_queue.size() > 0 && now.steady >= m_next_probe)
        probe_load(now, out);
}

// Work waits and no worker seems to have room: the figures of others' tasks may be out of date.
void dispatcher::probe_load(instant now, action_list& out)
{
    m_next_probe = now.steady + microseconds{m_settings.probe_every};
    // Any result brings a figure and a free slot: a host that waits for one asks nothing.
    if (m_outstanding_count > 0)
        return;
    std::uint32_t asked = 0;
    const auto start = m_workers.empty() ? 0 : m_random() % m_workers.size();
    for (std::size_t i = 0; i < m_workers.size() && asked < probes_at_once; ++i)
    {
        auto& worker = *m_workers[(start + i) % m_workers.size()];
        const bool stale = now.steady - worker.load_known >= microseconds{m_settings.probe_every};
        if (!worker.configured || worker.leaving || worker.lease == 0 || worker.lease_asked ||
            worker.others == 0 || !worker.outstanding.empty() || !stale)
            continue;
        ask_lease(worker.index, now, out);
        ++m_counters.load_probes;
        ++asked;
    }
}

std::uint32_t dispatcher::room_in(const worker_view& worker, std::uint32_t ahead, instant now) const
{
    if (!worker.configured || worker.leaving || worker.lease == 0 || now.steady >= worker.lapses ||
        now.steady < worker.start_after)
        return 0;
    const auto own = static_cast<std::uint32_t>(worker.outstanding.size());
    if (worker.health == worker_health::quarantined)
        return now.steady >= worker.test_after && own == 0 ? 1 : 0;
    if (worker.health == worker_health::on_test)
        return 0;
    const std::uint32_t limit = worker.about.slots + ahead;
    if (worker.health == worker_health::unproven && own >= unproven_room)
        return 0;
    const bool trusted = now.steady - worker.load_known < load_trusted;
    const std::uint32_t others = trusted ? worker.others : worker.others / 2;
    const std::uint32_t all = own + others;
    return all >= limit ? 0 : limit - all;
}

// The worker with the most room that fits the service; ties go to a random one.
int dispatcher::pick_worker(const service_object& service, std::uint64_t revision, instant now)
{
    int best = -1;
    std::uint32_t best_room = 0;
    if (m_workers.empty())
        return best;
    const auto ahead = static_cast<std::uint32_t>(m_config->policy_of(service).queue_ahead);
    const auto start = m_random() % m_workers.size();
    for (std::size_t i = 0; i < m_workers.size(); ++i)
    {
        const auto index = (start + i) % m_workers.size();
        const auto& worker = *m_workers[index];
        const auto room = room_in(worker, ahead, now);
        if (room > best_room && worker.since <= revision && worker.about.fits(service))
        {
            best = static_cast<int>(index);
            best_room = room;
        }
    }
    return best;
}

void dispatcher::pump(instant now, action_list& out)
{
    queued_task next;
    std::vector<std::uint32_t> touched;
    while (m_queue.next(next))
    {
        const auto* service = service_of(next.job->service);
        if (service == nullptr)
        {
            m_queue.defer(next, now.steady + refused_pause);
            continue;
        }
        start_permit permit;
        const bool permitted = m_gate.permit(next.job->shard, now, permit);
        const int worker = permitted ? pick_worker(*service, permit.revision, now) : -1;
        const bool any_worker = permitted && permit.revision >= m_latest_worker;
        if (worker < 0 && any_worker && fits_everywhere(*service))
            break;
        if (worker < 0 || !add_start(static_cast<std::uint32_t>(worker), next, permit, now))
        {
            m_queue.defer(next, now.steady + refused_pause);
            continue;
        }
        if (m_batches[static_cast<std::size_t>(worker)].size() == 1)
            touched.push_back(static_cast<std::uint32_t>(worker));
    }
    for (const auto worker : touched)
        send_batch(worker, now, out);
}

bool dispatcher::fits_everywhere(const service_object& service) const
{
    return std::all_of(m_workers.begin(), m_workers.end(),
                       [&](const auto& worker)
                       { return !worker->configured || worker->about.fits(service); });
}

// Takes one task from the queue into the worker's batch; false if its time is over.
bool dispatcher::add_start(std::uint32_t index, const queued_task& next, const start_permit& permit,
                           instant now)
{
    auto& worker = *m_workers[index];
    auto& job = *next.job;
    auto& task = job.tasks[next.task];
    const auto until = std::min(permit.until, job.deadline);
    if (until <= now.steady)
        return false;
    start_order order;
    order.sequence = worker.next_sequence++;
    order.shard = job.shard;
    order.owner_epoch = permit.owner_epoch;
    order.start_by_us = until.count() + worker.clock_offset_us;
    order.job = job.id;
    order.digest = job.digest;
    order.task = next.task;
    order.task_count = static_cast<std::uint32_t>(job.tasks.size());
    order.made_ms = job.made.count();
    order.deadline_ms = job.deadline_wall.count();
    order.service = job.service;
    order.size_ms = task.size_ms;
    order.payload = task.payload;
    outstanding_start start;
    start.job = &job;
    start.id = job.id;
    start.task = next.task;
    start.service = job.service;
    start.team = job.team;
    start.sent = now.steady;
    worker.outstanding.emplace(order.sequence, std::move(start));
    ++m_outstanding_count;
    m_queue.pop(next, run_time_of(job.service, task.size_ms));
    task.state = run_state::start_sent;
    task.worker = index;
    task.sequence = order.sequence;
    task.adopted = false;
    ++task.attempts;
    if (worker.health == worker_health::quarantined)
        worker.health = worker_health::on_test;
    m_batches[index].push_back(std::move(order));
    return true;
}

void dispatcher::send_batch(std::uint32_t index, instant now, action_list& out)
{
    auto& worker = *m_workers[index];
    start_batch batch{m_settings.self, worker.incarnation, worker.lease,
                      std::move(m_batches[index])};
    m_batches[index].clear();
    question about{};
    about.lease = batch.lease;
    about.first = batch.orders.front().sequence;
    about.last = batch.orders.back().sequence;
    m_counters.starts_sent += batch.orders.size();
    ++m_counters.start_batches;
    ask(index, about, std::move(batch), now, out);
    if (!worker.poll_open)
        ask_results(index, now, out);
}

bool dispatcher::on_worker_answer(instant now, std::uint64_t request, worker_answer& answer,
                                  std::vector<task_event>& events)
{
    const auto found = m_questions.find(request);
    if (found == m_questions.end())
        return false;
    const auto [about, text] = std::move(found->second);
    m_questions.erase(found);
    auto& worker = *m_workers[about.worker];
    if (incarnation_of(answer) != 0 && incarnation_of(answer) < worker.incarnation)
        answer = error{error_kind::timed_out, "an answer from a process that is over"};
    if (std::holds_alternative<lease_ask>(text))
        worker.lease_asked = false;
    if (std::holds_alternative<result_ask>(text))
        worker.poll_open = false;
    if (std::holds_alternative<history_ask>(text))
        worker.doubt_asked = false;
    if (const auto* grant = std::get_if<lease_grant>(&answer))
        on_grant(now, about, *grant, events);
    else if (const auto* started = std::get_if<start_reply>(&answer))
        on_started(now, about, *started, events);
    else if (auto* results = std::get_if<result_reply>(&answer))
        on_results(now, about, *results, events);
    else if (const auto* history = std::get_if<history_reply>(&answer))
        on_history(now, about, *history, events);
    else if (const auto* stopped = std::get_if<stop_reply>(&answer))
    {
        note_incarnation(now, about.worker, stopped->worker_incarnation, events);
        if (!stopped->verdicts.empty() && stopped->verdicts.front() == stop_verdict::recorded)
            events.push_back({about.job, 0, task_change::closed, {}, worker.about.name});
    }
    else
        on_failure(now, about, text, std::get<error>(answer));
    return true;
}

void dispatcher::on_failure(instant now, const question& about, const worker_question& text,
                            const error& failure)
{
    auto& worker = *m_workers[about.worker];
    worker.ask_backoff = doubled(worker.ask_backoff, first_backoff, longest_backoff);
    worker.ask_after = now.steady + worker.ask_backoff;
    worker.poll_after = now.steady + worker.ask_backoff;
    worker.start_after = now.steady + worker.ask_backoff;
    if (!std::holds_alternative<start_batch>(text))
        return;
    // "unreachable" means that no byte was sent, so nothing has started.
    const bool never_sent = failure.kind == error_kind::unreachable;
    for (auto sequence = about.first; sequence <= about.last; ++sequence)
    {
        const auto start = worker.outstanding.find(sequence);
        if (start == worker.outstanding.end() || start->second.accepted || start->second.in_doubt)
            continue;
        if (never_sent)
        {
            give_back(worker, sequence, now);
            continue;
        }
        start->second.in_doubt = true;
        ++worker.doubtful;
    }
}

void dispatcher::note_incarnation(instant, std::uint32_t index, std::uint64_t incarnation,
                                  std::vector<task_event>& events)
{
    auto& worker = *m_workers[index];
    worker.ask_backoff = microseconds{0};
    if (worker.incarnation == incarnation)
        return;
    if (worker.incarnation != 0)
        lose_all(worker, events);
    worker.incarnation = incarnation;
    worker.lease = 0;
    worker.results_after = 0;
    worker.clock_known = false;
    if (worker.health == worker_health::quarantined || worker.health == worker_health::on_test)
        --m_quarantined;
    worker.health = worker_health::unproven;
    worker.failures = 0;
}

void dispatcher::lose_all(worker_view& worker, std::vector<task_event>& events)
{
    for (auto& [sequence, start] : worker.outstanding)
    {
        m_queue.release(start.team);
        --m_outstanding_count;
        if (start.job != nullptr)
            events.push_back({start.id, start.task, task_change::lost, {}, worker.about.name});
    }
    worker.outstanding.clear();
    worker.doubtful = 0;
}

void dispatcher::on_grant(instant now, const question& about, const lease_grant& grant,
                          std::vector<task_event>& events)
{
    note_incarnation(now, about.worker, grant.worker_incarnation, events);
    auto& worker = *m_workers[about.worker];
    if (grant.lease == 0)
    {
        worker.ask_after = now.steady + first_backoff;
        return;
    }
    worker.lease = grant.lease;
    worker.clock_offset_us = grant.now_us - now.steady.count();
    worker.clock_known = true;
    worker.lapses = microseconds{grant.lapses_at_us - grant.now_us} + about.sent;
    note_load(now, worker, grant.queued);
}

void dispatcher::note_load(instant now, worker_view& worker, std::uint32_t all_tasks)
{
    const auto own = static_cast<std::uint32_t>(worker.outstanding.size());
    worker.others = all_tasks > own ? all_tasks - own : 0;
    worker.load_known = now.steady;
}

void dispatcher::finish(worker_view& worker, std::uint64_t sequence)
{
    const auto start = worker.outstanding.find(sequence);
    EGRET_CHECK(start != worker.outstanding.end(), "a start ends once");
    m_queue.release(start->second.team);
    --m_outstanding_count;
    worker.doubtful -= start->second.in_doubt ? 1 : 0;
    worker.outstanding.erase(start);
}

void dispatcher::confirm(outstanding_start& start)
{
    start.accepted = true;
    if (start.job != nullptr && start.job->tasks[start.task].state == run_state::start_sent)
        start.job->tasks[start.task].state = run_state::running;
}

// The start has not run and never will: its task goes back into the queue.
void dispatcher::give_back(worker_view& worker, std::uint64_t sequence, instant now)
{
    const auto start = worker.outstanding.find(sequence);
    if (start == worker.outstanding.end())
        return;
    auto* job = start->second.job;
    const auto task = start->second.task;
    ++m_counters.starts_refused;
    if (worker.health == worker_health::on_test)
        worker.health = worker_health::quarantined;
    finish(worker, sequence);
    if (job == nullptr)
        return;
    --job->tasks[task].attempts;
    job->tasks[task].worker = open_task::no_worker;
    job->tasks[task].state = run_state::not_started;
    if (!job->expired && !job->closing)
        requeue(*job, task, now);
}

void dispatcher::on_started(instant now, const question& about, const start_reply& reply,
                            std::vector<task_event>& events)
{
    note_incarnation(now, about.worker, reply.worker_incarnation, events);
    auto& worker = *m_workers[about.worker];
    for (std::size_t i = 0; i < reply.verdicts.size(); ++i)
    {
        const auto sequence = about.first + i;
        const auto start = worker.outstanding.find(sequence);
        if (start == worker.outstanding.end())
            continue;
        const auto verdict = reply.verdicts[i];
        if (verdict == start_verdict::accepted)
        {
            confirm(start->second);
            continue;
        }
        if (verdict == start_verdict::repeated)
        {
            // An earlier copy of the same message came first; what became of it is in doubt.
            ++m_counters.starts_repeated;
            worker.doubtful += start->second.in_doubt ? 0 : 1;
            start->second.in_doubt = true;
            continue;
        }
        // A later lease may have been granted since the batch was sent.
        if (verdict == start_verdict::lease_lapsed && worker.lease == about.lease)
            worker.lease = 0;
        worker.start_after = now.steady + refused_pause;
        give_back(worker, sequence, now);
    }
    note_load(now, worker, reply.queued);
    worker.clock_offset_us = reply.now_us - now.steady.count();
}

void dispatcher::on_results(instant now, const question& about, result_reply& reply,
                            std::vector<task_event>& events)
{
    note_incarnation(now, about.worker, reply.worker_incarnation, events);
    auto& worker = *m_workers[about.worker];
    events.reserve(events.size() + std::min(reply.lines.size(), events_per_reply));
    for (auto& line : reply.lines)
    {
        if (line.index <= worker.results_after)
        {
            ++m_counters.answers_stray;
            continue;
        }
        worker.results_after = line.index;
        on_result(now, worker, line, events);
    }
    note_load(now, worker, reply.queued);
}

void dispatcher::on_result(instant now, worker_view& worker, result_line& line,
                           std::vector<task_event>& events)
{
    const auto start = worker.outstanding.find(line.sequence);
    const bool ours = start != worker.outstanding.end() && start->second.id == line.job &&
                      start->second.task == line.task;
    if (!ours)
    {
        ++m_counters.answers_stray;
        return;
    }
    if (line.end == task_end::not_started)
        return give_back(worker, line.sequence, now);
    auto* job = start->second.job;
    const auto service = start->second.service;
    const bool success = line.end == task_end::done;
    if (success)
        learn(start->second, line);
    if (line.end == task_end::stopped && worker.health == worker_health::on_test)
        worker.health = worker_health::quarantined;
    if (line.end != task_end::stopped)
        judge(now, worker, service, success);
    finish(worker, line.sequence);
    m_counters.tasks_done += success ? 1 : 0;
    m_counters.tasks_failed += line.end == task_end::failed ? 1 : 0;
    if (job == nullptr)
        return;
    events.push_back({line.job, line.task, success ? task_change::done : task_change::failed,
                      std::move(line.output), worker.about.name});
}

void dispatcher::learn(const outstanding_start& start, const result_line& line)
{
    const auto* service = service_of(start.service);
    if (start.job == nullptr || service == nullptr)
        return;
    const auto declared = start.job->tasks[start.task].size_ms;
    m_run_times.learn(start.service, milliseconds{declared > 0 ? declared : service->run_time_ms},
                      microseconds{line.ran_us});
}

void dispatcher::on_history(instant now, const question& about, const history_reply& reply,
                            std::vector<task_event>& events)
{
    note_incarnation(now, about.worker, reply.worker_incarnation, events);
    auto& worker = *m_workers[about.worker];
    std::vector<std::uint64_t> never_started;
    for (auto& [sequence, start] : worker.outstanding)
    {
        if (!start.in_doubt || sequence < about.first || sequence > about.last)
            continue;
        const bool on_record = std::any_of(
            reply.records.begin(), reply.records.end(),
            [&start = start, number = sequence](const history_record& r)
            { return r.job == start.id && r.task == start.task && r.sequence == number; });
        if (!on_record)
        {
            never_started.push_back(sequence);
            continue;
        }
        start.in_doubt = false;
        confirm(start);
        --worker.doubtful;
    }
    for (const auto sequence : never_started)
        give_back(worker, sequence, now);
}

void dispatcher::judge(instant now, worker_view& worker, const std::string& service, bool success)
{
    m_verdicts.note(service, worker.index, success);
    if (success)
    {
        if (worker.health == worker_health::on_test)
            --m_quarantined;
        worker.health = worker_health::good;
        worker.failures = 0;
        worker.test_backoff = microseconds{0};
        return;
    }
    const auto* about = service_of(service);
    const auto& policy = about == nullptr ? policy_object{} : m_config->policy_of(*about);
    if (worker.health == worker_health::on_test)
    {
        worker.health = worker_health::quarantined;
        worker.test_backoff = doubled(worker.test_backoff, first_test_pause, longest_test_pause);
        worker.test_after = now.steady + worker.test_backoff;
        return;
    }
    if (m_verdicts.fails_everywhere(service))
        return;
    if (++worker.failures >= policy.quarantine_after)
        quarantine(now, worker, policy);
}

void dispatcher::quarantine(instant now, worker_view& worker, const policy_object& policy)
{
    const auto most = policy.quarantine_share * static_cast<double>(m_workers.size());
    // A lone worker has nobody to be compared with, and nobody to take its place.
    const bool lone = m_workers.size() < 2;
    if (lone || worker.health == worker_health::quarantined ||
        static_cast<double>(m_quarantined + 1) > std::max(1.0, most))
        return;
    ++m_quarantined;
    ++m_counters.workers_quarantined;
    worker.health = worker_health::quarantined;
    worker.test_backoff = first_test_pause;
    worker.test_after = now.steady + worker.test_backoff;
}

} // namespace egretledge
