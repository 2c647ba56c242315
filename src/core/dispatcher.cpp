// Placement, starts and results.
//
// Placement: tasks wait at this host, not at the workers (late binding). A worker is sent at most
// as many tasks as it has free slots, plus a few in advance, so a task is bound to a worker at
// about the time at which a slot becomes free. Hosts share the workers but have no shared view of
// their load. Each answer of a worker states how many tasks it has in total; the tasks that this
// host did not send belong to other hosts. The next task goes to the worker with the most free
// capacity by this figure. The figure is as old as the worker's last answer, so a host that has
// tasks waiting but no recent figures requests one from two random workers, by a lease renewal.
// These probes are counted as waste (load_probes).
//
// Starts: every start has a sequence number within this host's lease on the worker, and one of
// three outcomes:
//   - The worker accepts it, and a result follows.
//   - The worker refuses it. The task has not run and is queued again.
//   - No answer arrives, so the task may or may not have started: the start is in doubt. This host
//     requests the worker's history under the lease up to the sequence in doubt, and from that
//     request on the worker refuses those sequences. A start that the history lists has started. A
//     start that it does not list will never start; only then is its task queued again.
// If the worker's incarnation has changed, its former process has ended and all starts outstanding
// at it are reported as lost.
//
// Start limit: each start carries start_by, the earlier of the end of this host's ownership lease
// and the job's deadline, on the worker's clock. The offset between the clocks is computed as the
// worker's reading minus the time at which the answer arrived. This is the smallest offset that the
// exchange allows, so start_by is never too late.
//
// Quarantine: a worker that fails tasks which other workers can run looks idle and would attract
// all tasks, so it is quarantined. A failure counts against a worker only if most workers did not
// fail the service when they last ran it; a bad job or service therefore quarantines no worker. A
// quarantined worker is tested with single tasks at growing intervals. At most a configured share
// of the workers is in quarantine at a time.

#include "core/dispatcher.hpp"
#include "core/check.hpp"
#include <algorithm>
#include <cmath>
#include <utility>

namespace egretledge
{

namespace
{

// Maximum number of tasks at a time on a worker on which no task has succeeded yet.
constexpr std::uint32_t max_unproven_tasks = 4;
// A count of other hosts' tasks that is older than this is halved, since it is out of date.
constexpr microseconds max_load_age = milliseconds{500};
constexpr microseconds initial_backoff = milliseconds{100};
constexpr microseconds max_backoff = milliseconds{5000};
// Delay after a worker refused a start, or when a task cannot be placed.
constexpr microseconds retry_delay = milliseconds{50};
// A lease is renewed when it has less than this left.
constexpr microseconds lease_renew_margin = milliseconds{4000};
constexpr microseconds initial_test_delay = milliseconds{1000};
constexpr microseconds max_test_delay = milliseconds{30000};
constexpr std::uint32_t max_probes_per_round = 2;
constexpr std::size_t reserved_events_per_reply = 16;

// Returns the worker incarnation stated in an answer, or 0 for an error.
std::uint64_t incarnation_of(const worker_answer& answer)
{
    return std::visit(
        [](const auto& reply) -> std::uint64_t
        {
            if constexpr (std::is_same_v<std::decay_t<decltype(reply)>, error>)
                return 0;
            else
                return reply.worker_incarnation;
        },
        answer);
}

// Doubles a delay up to `max`, starting with `initial` after 0.
microseconds next_backoff(microseconds current, microseconds initial, microseconds max)
{
    return current == microseconds{0} ? initial : std::min(2 * current, max);
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
    std::vector<bool> was_configured;
    for (auto& worker : m_workers)
        was_configured.push_back(std::exchange(worker->configured, false));
    for (const auto& configured_worker : m_config->executors)
    {
        if (configured_worker.data_centre != m_settings.data_centre)
            continue;
        const auto [entry, inserted] = m_worker_index.try_emplace(
            configured_worker.name, static_cast<std::uint32_t>(m_workers.size()));
        if (inserted)
        {
            m_workers.push_back(std::make_unique<worker_view>());
            m_workers.back()->index = entry->second;
        }
        auto& worker = *m_workers[entry->second];
        worker.settings = configured_worker;
        worker.configured = true;
        // A worker that is configured again counts as new: a host that started while the worker was
        // not configured does not know it.
        if (inserted || (entry->second < was_configured.size() && !was_configured[entry->second]))
            worker.added_in_revision = m_newest_worker_revision = m_config->revision;
    }
    m_batches.resize(m_workers.size());
    for (const auto& [name, team] : m_config->teams)
    {
        const auto own_quota = static_cast<double>(team.quota) * m_share;
        m_queue.set_team(
            name, team.weight,
            std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::ceil(own_quota))));
    }
}

void dispatcher::set_leaving_workers(const std::vector<std::string>& names)
{
    for (auto& worker : m_workers)
        worker->leaving =
            std::find(names.begin(), names.end(), worker->settings.name) != names.end();
}

const service_object* dispatcher::service_of(const std::string& name) const
{
    if (!m_config)
        return nullptr;
    const auto found = m_config->services.find(name);
    return found == m_config->services.end() ? nullptr : &found->second;
}

bool dispatcher::any_worker_fits(const service_object& service) const
{
    return std::any_of(m_workers.begin(), m_workers.end(),
                       [&](const auto& worker)
                       { return worker->configured && worker->settings.fits(service); });
}

milliseconds dispatcher::declared_run_time(const std::string& service,
                                           std::uint32_t declared_ms) const
{
    const auto* service_settings = service_of(service);
    return milliseconds{declared_ms > 0 ? declared_ms
                        : service_settings != nullptr
                            ? static_cast<std::uint32_t>(service_settings->run_time_ms)
                            : 1};
}

milliseconds dispatcher::expected_run_time(microseconds now, const std::string& service,
                                           std::uint32_t declared_ms) const
{
    return m_run_times.expect(now, service, declared_run_time(service, declared_ms));
}

double dispatcher::usable_slots() const
{
    double slots = 0;
    for (const auto& worker : m_workers)
        if (worker->configured && !worker->leaving && worker->health != worker_health::quarantined)
            slots += std::max(0.0, static_cast<double>(worker->settings.slots) -
                                       static_cast<double>(worker->other_hosts_tasks));
    return std::max(1.0, slots);
}

bool dispatcher::over_quota(const std::string& team) const
{
    return m_queue.at_quota(team);
}

milliseconds dispatcher::expected_wait() const
{
    const auto wait_ms = static_cast<double>(m_queue.queued_work().count()) / usable_slots();
    return milliseconds{static_cast<std::int64_t>(wait_ms)};
}

void dispatcher::enqueue(open_job& job, instant now)
{
    const double slots = usable_slots();
    for (auto task = job.tasks.size(); task-- > 0;)
    {
        if (job.tasks[task].state != run_state::not_started)
            continue;
        m_queue.add(job, static_cast<std::uint32_t>(task),
                    expected_run_time(now.steady, job.service, job.tasks[task].size_ms), slots);
    }
}

void dispatcher::requeue(open_job& job, std::uint32_t task, instant now)
{
    job.tasks[task].state = run_state::not_started;
    m_queue.add(job, task, expected_run_time(now.steady, job.service, job.tasks[task].size_ms),
                usable_slots());
}

std::string dispatcher::worker_name(std::uint32_t index) const
{
    return index < m_workers.size() ? m_workers[index]->settings.name : std::string{};
}

std::uint32_t dispatcher::worker_index(const std::string& name) const
{
    const auto found = m_worker_index.find(name);
    return found == m_worker_index.end() ? open_task::no_worker : found->second;
}

void dispatcher::close(const open_job& job, epoch owner_epoch, instant now, action_list& out)
{
    std::vector<std::uint32_t> recipients;
    std::vector<std::uint32_t> former_workers;
    for (const auto& task : job.tasks)
    {
        if (task.worker == open_task::no_worker)
            continue;
        const bool running =
            task.state == run_state::running || task.state == run_state::start_sent;
        (running ? recipients : former_workers).push_back(task.worker);
    }
    std::sort(recipients.begin(), recipients.end());
    recipients.erase(std::unique(recipients.begin(), recipients.end()), recipients.end());
    // One worker suffices to record the job as closed.
    if (recipients.empty() && !former_workers.empty())
        recipients.push_back(former_workers.front());
    const job_close close_message{job.id,
                                  job.shard,
                                  owner_epoch,
                                  job.digest,
                                  static_cast<std::uint32_t>(job.tasks.size()),
                                  job.made.count(),
                                  job.deadline_wall.count(),
                                  std::string(name_of(job.closing_kind))};
    for (const auto worker : recipients)
    {
        request_context context{};
        context.job = job.id;
        send_request(worker, context, stop_request{m_settings.self, {close_message}}, now, out);
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

void dispatcher::send_request(std::uint32_t worker, request_context context, worker_request message,
                              instant now, action_list& out)
{
    const auto request = m_next_request++;
    context.worker = worker;
    context.sent = now.steady;
    const auto& view = *m_workers[worker];
    // The orders of a start batch with their payloads are not kept: the sequences in `context` are
    // sufficient if the answer is lost.
    worker_request kept =
        std::holds_alternative<start_batch>(message) ? worker_request{start_batch{}} : message;
    m_pending_requests.emplace(request, std::make_pair(context, std::move(kept)));
    out.push_back(actions::send_worker_request{view.settings.name, view.settings.address, request,
                                               std::move(message)});
}

void dispatcher::request_lease(std::uint32_t index, instant now, action_list& out)
{
    auto& worker = *m_workers[index];
    worker.lease_requested = true;
    lease_request message{m_settings.self, worker.lease, worker.settings.slots, 0};
    if (worker.lease != 0 && worker.clock_known)
        message.asked_at_us = now.steady.count() + worker.clock_offset_us;
    send_request(index, {}, message, now, out);
}

void dispatcher::poll_results(std::uint32_t index, instant now, action_list& out)
{
    auto& worker = *m_workers[index];
    worker.poll_open = true;
    send_request(index, {},
                 result_request{m_settings.self, worker.incarnation, worker.last_result_index,
                                static_cast<std::uint32_t>(m_settings.poll_timeout.count())},
                 now, out);
}

void dispatcher::request_history(std::uint32_t index, instant now, action_list& out)
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
    worker.history_requested = true;
    request_context context{};
    context.first = first;
    context.last = last;
    send_request(index, context, history_request{{}, m_settings.self, first, last}, now, out);
}

void dispatcher::on_tick(instant now, action_list& out)
{
    m_queue.resume_deferred(now.steady);
    if (now.steady >= m_next_lease_check)
    {
        m_next_lease_check = now.steady + microseconds{m_settings.lease_check_interval};
        std::uint32_t leased = 0;
        for (auto& worker : m_workers)
        {
            const bool wanted = worker->configured && !worker->leaving;
            const bool needed = wanted && leased < m_settings.max_workers;
            leased += needed ? 1 : 0;
            const bool expiring =
                worker->lease == 0 || worker->lease_expiry - now.steady < lease_renew_margin;
            if (needed && expiring && !worker->lease_requested &&
                now.steady >= worker->next_request_at)
                request_lease(worker->index, now, out);
        }
    }
    for (auto& worker : m_workers)
    {
        if (worker->in_doubt_count > 0 && !worker->history_requested &&
            now.steady >= worker->next_request_at)
            request_history(worker->index, now, out);
        if (!worker->outstanding.empty() && !worker->poll_open &&
            now.steady >= worker->next_poll_at)
            poll_results(worker->index, now, out);
    }
    pump(now, out);
    if (m_queue.size() > 0 && now.steady >= m_next_probe)
        probe_load(now, out);
}

// Requests current load figures by lease renewals. Called while tasks are queued that no worker
// seems to have capacity for: the figures of other hosts' tasks may be out of date.
void dispatcher::probe_load(instant now, action_list& out)
{
    m_next_probe = now.steady + microseconds{m_settings.probe_interval};
    // The next result brings a load figure and a free slot, so a host that expects one sends no
    // probe.
    if (m_outstanding_count > 0)
        return;
    std::uint32_t probes_sent = 0;
    const auto start = m_workers.empty() ? 0 : m_random() % m_workers.size();
    for (std::size_t i = 0; i < m_workers.size() && probes_sent < max_probes_per_round; ++i)
    {
        auto& worker = *m_workers[(start + i) % m_workers.size()];
        const bool stale =
            now.steady - worker.load_updated_at >= microseconds{m_settings.probe_interval};
        if (!worker.configured || worker.leaving || worker.lease == 0 || worker.lease_requested ||
            worker.other_hosts_tasks == 0 || !worker.outstanding.empty() || !stale)
            continue;
        request_lease(worker.index, now, out);
        ++m_counters.load_probes;
        ++probes_sent;
    }
}

std::uint32_t dispatcher::free_capacity(const worker_view& worker, std::uint32_t queue_ahead,
                                        instant now) const
{
    if (!worker.configured || worker.leaving || worker.lease == 0 ||
        now.steady >= worker.lease_expiry || now.steady < worker.next_start_at)
        return 0;
    const auto own_tasks = static_cast<std::uint32_t>(worker.outstanding.size());
    if (worker.health == worker_health::quarantined)
        return now.steady >= worker.next_test_at && own_tasks == 0 ? 1 : 0;
    if (worker.health == worker_health::on_test)
        return 0;
    const std::uint32_t limit = worker.settings.slots + queue_ahead;
    if (worker.health == worker_health::unproven && own_tasks >= max_unproven_tasks)
        return 0;
    const bool load_is_current = now.steady - worker.load_updated_at < max_load_age;
    const std::uint32_t other_hosts_tasks =
        load_is_current ? worker.other_hosts_tasks : worker.other_hosts_tasks / 2;
    const std::uint32_t all_tasks = own_tasks + other_hosts_tasks;
    return all_tasks >= limit ? 0 : limit - all_tasks;
}

// Returns the index of the worker with the most free capacity that can run the service, or -1. The
// search starts at a random worker, so that ties are broken at random.
int dispatcher::choose_worker(const service_object& service, std::uint64_t revision, instant now)
{
    int best = -1;
    std::uint32_t best_capacity = 0;
    if (m_workers.empty())
        return best;
    const auto queue_ahead = static_cast<std::uint32_t>(m_config->policy_of(service).queue_ahead);
    const auto start = m_random() % m_workers.size();
    for (std::size_t i = 0; i < m_workers.size(); ++i)
    {
        const auto index = (start + i) % m_workers.size();
        const auto& worker = *m_workers[index];
        const auto capacity = free_capacity(worker, queue_ahead, now);
        if (capacity > best_capacity && worker.added_in_revision <= revision &&
            worker.settings.fits(service))
        {
            best = static_cast<int>(index);
            best_capacity = capacity;
        }
    }
    return best;
}

void dispatcher::pump(instant now, action_list& out)
{
    queued_task next;
    std::vector<std::uint32_t> workers_with_batch;
    while (m_queue.next(next))
    {
        const auto* service = service_of(next.job->service);
        if (service == nullptr)
        {
            m_queue.defer(next, now.steady + retry_delay);
            continue;
        }
        start_permit permit;
        const bool permitted = m_gate.permit(next.job->shard, now, permit);
        const int worker = permitted ? choose_worker(*service, permit.revision, now) : -1;
        const bool may_use_all_workers = permitted && permit.revision >= m_newest_worker_revision;
        // Every worker is allowed and fits the service, yet none has free capacity: placement ends
        // for now, and the task keeps its position in the queue.
        if (worker < 0 && may_use_all_workers && fits_all_workers(*service))
            break;
        if (worker < 0 || !add_start(static_cast<std::uint32_t>(worker), next, permit, now))
        {
            m_queue.defer(next, now.steady + retry_delay);
            continue;
        }
        if (m_batches[static_cast<std::size_t>(worker)].size() == 1)
            workers_with_batch.push_back(static_cast<std::uint32_t>(worker));
    }
    for (const auto worker : workers_with_batch)
        send_batch(worker, now, out);
}

bool dispatcher::fits_all_workers(const service_object& service) const
{
    return std::all_of(m_workers.begin(), m_workers.end(),
                       [&](const auto& worker)
                       { return !worker->configured || worker->settings.fits(service); });
}

// Moves the next queued task into the worker's batch. Returns false, and leaves the task queued, if
// the permit or the job's deadline has passed.
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
    m_queue.pop(next, expected_run_time(now.steady, job.service, task.size_ms));
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
    request_context context{};
    context.lease = batch.lease;
    context.first = batch.orders.front().sequence;
    context.last = batch.orders.back().sequence;
    m_counters.starts_sent += batch.orders.size();
    ++m_counters.start_batches;
    send_request(index, context, std::move(batch), now, out);
    if (!worker.poll_open)
        poll_results(index, now, out);
}

bool dispatcher::on_worker_answer(instant now, std::uint64_t request, worker_answer& answer,
                                  std::vector<task_event>& events)
{
    const auto found = m_pending_requests.find(request);
    if (found == m_pending_requests.end())
        return false;
    const auto [context, message] = std::move(found->second);
    m_pending_requests.erase(found);
    auto& worker = *m_workers[context.worker];
    if (incarnation_of(answer) != 0 && incarnation_of(answer) < worker.incarnation)
        answer =
            error{error_kind::timed_out, "the answer is from an earlier incarnation of the worker"};
    if (std::holds_alternative<lease_request>(message))
        worker.lease_requested = false;
    if (std::holds_alternative<result_request>(message))
        worker.poll_open = false;
    if (std::holds_alternative<history_request>(message))
        worker.history_requested = false;
    if (const auto* grant = std::get_if<lease_grant>(&answer))
        on_grant(now, context, *grant, events);
    else if (const auto* started = std::get_if<start_reply>(&answer))
        on_started(now, context, *started, events);
    else if (auto* results = std::get_if<result_reply>(&answer))
        on_results(now, context, *results, events);
    else if (const auto* history = std::get_if<history_reply>(&answer))
        on_history(now, context, *history, events);
    else if (const auto* stopped = std::get_if<stop_reply>(&answer))
    {
        update_incarnation(now, context.worker, stopped->worker_incarnation, events);
        if (!stopped->verdicts.empty() && stopped->verdicts.front() == stop_verdict::recorded)
            events.push_back({context.job, 0, task_change::closed, {}, worker.settings.name});
    }
    else
        on_failure(now, context, message, std::get<error>(answer));
    return true;
}

void dispatcher::on_failure(instant now, const request_context& context,
                            const worker_request& message, const error& failure)
{
    auto& worker = *m_workers[context.worker];
    worker.request_backoff = next_backoff(worker.request_backoff, initial_backoff, max_backoff);
    worker.next_request_at = now.steady + worker.request_backoff;
    worker.next_poll_at = now.steady + worker.request_backoff;
    worker.next_start_at = now.steady + worker.request_backoff;
    if (!std::holds_alternative<start_batch>(message))
        return;
    // error_kind::unreachable means that no byte was sent, so none of the tasks has started.
    const bool never_sent = failure.kind == error_kind::unreachable;
    for (auto sequence = context.first; sequence <= context.last; ++sequence)
    {
        const auto start = worker.outstanding.find(sequence);
        if (start == worker.outstanding.end() || start->second.accepted || start->second.in_doubt)
            continue;
        if (never_sent)
        {
            return_to_queue(worker, sequence, now);
            continue;
        }
        start->second.in_doubt = true;
        ++worker.in_doubt_count;
    }
}

void dispatcher::update_incarnation(instant, std::uint32_t index, std::uint64_t incarnation,
                                    std::vector<task_event>& events)
{
    auto& worker = *m_workers[index];
    worker.request_backoff = microseconds{0};
    if (worker.incarnation == incarnation)
        return;
    if (worker.incarnation != 0)
        report_all_lost(worker, events);
    worker.incarnation = incarnation;
    worker.lease = 0;
    worker.last_result_index = 0;
    worker.clock_known = false;
    if (worker.health == worker_health::quarantined || worker.health == worker_health::on_test)
        --m_quarantined;
    worker.health = worker_health::unproven;
    worker.failures = 0;
}

void dispatcher::report_all_lost(worker_view& worker, std::vector<task_event>& events)
{
    for (auto& [sequence, start] : worker.outstanding)
    {
        m_queue.release_slot(start.team);
        --m_outstanding_count;
        if (start.job != nullptr)
            events.push_back({start.id, start.task, task_change::lost, {}, worker.settings.name});
    }
    worker.outstanding.clear();
    worker.in_doubt_count = 0;
}

void dispatcher::on_grant(instant now, const request_context& context, const lease_grant& grant,
                          std::vector<task_event>& events)
{
    update_incarnation(now, context.worker, grant.worker_incarnation, events);
    auto& worker = *m_workers[context.worker];
    if (grant.lease == 0)
    {
        worker.next_request_at = now.steady + initial_backoff;
        return;
    }
    worker.lease = grant.lease;
    worker.clock_offset_us = grant.now_us - now.steady.count();
    worker.clock_known = true;
    worker.lease_expiry = microseconds{grant.lapses_at_us - grant.now_us} + context.sent;
    update_load(now, worker, grant.queued);
}

void dispatcher::update_load(instant now, worker_view& worker, std::uint32_t all_tasks)
{
    const auto own_tasks = static_cast<std::uint32_t>(worker.outstanding.size());
    worker.other_hosts_tasks = all_tasks > own_tasks ? all_tasks - own_tasks : 0;
    worker.load_updated_at = now.steady;
}

void dispatcher::remove_start(worker_view& worker, std::uint64_t sequence)
{
    const auto start = worker.outstanding.find(sequence);
    EGRET_CHECK(start != worker.outstanding.end(),
                "a start is removed only once, while it is outstanding");
    m_queue.release_slot(start->second.team);
    --m_outstanding_count;
    worker.in_doubt_count -= start->second.in_doubt ? 1 : 0;
    worker.outstanding.erase(start);
}

void dispatcher::confirm(outstanding_start& start)
{
    start.accepted = true;
    if (start.job != nullptr && start.job->tasks[start.task].state == run_state::start_sent)
        start.job->tasks[start.task].state = run_state::running;
}

// Queues the task of a start again. The task has not run and never will under this sequence.
void dispatcher::return_to_queue(worker_view& worker, std::uint64_t sequence, instant now)
{
    const auto start = worker.outstanding.find(sequence);
    if (start == worker.outstanding.end())
        return;
    auto* job = start->second.job;
    const auto task = start->second.task;
    ++m_counters.starts_refused;
    if (worker.health == worker_health::on_test)
        worker.health = worker_health::quarantined;
    remove_start(worker, sequence);
    if (job == nullptr)
        return;
    --job->tasks[task].attempts;
    job->tasks[task].worker = open_task::no_worker;
    job->tasks[task].state = run_state::not_started;
    if (!job->expired && !job->closing)
        requeue(*job, task, now);
}

void dispatcher::on_started(instant now, const request_context& context, const start_reply& reply,
                            std::vector<task_event>& events)
{
    update_incarnation(now, context.worker, reply.worker_incarnation, events);
    auto& worker = *m_workers[context.worker];
    for (std::size_t i = 0; i < reply.verdicts.size(); ++i)
    {
        const auto sequence = context.first + i;
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
            // The worker received an earlier copy of the same message. Whether it accepted that
            // copy is not known, so the start is in doubt.
            ++m_counters.starts_repeated;
            worker.in_doubt_count += start->second.in_doubt ? 0 : 1;
            start->second.in_doubt = true;
            continue;
        }
        // If a later lease was granted after the batch was sent, that one stays valid.
        if (verdict == start_verdict::lease_lapsed && worker.lease == context.lease)
            worker.lease = 0;
        worker.next_start_at = now.steady + retry_delay;
        return_to_queue(worker, sequence, now);
    }
    update_load(now, worker, reply.queued);
    worker.clock_offset_us = reply.now_us - now.steady.count();
}

void dispatcher::on_results(instant now, const request_context& context, result_reply& reply,
                            std::vector<task_event>& events)
{
    update_incarnation(now, context.worker, reply.worker_incarnation, events);
    auto& worker = *m_workers[context.worker];
    events.reserve(events.size() + std::min(reply.lines.size(), reserved_events_per_reply));
    for (auto& line : reply.lines)
    {
        if (line.index <= worker.last_result_index)
        {
            ++m_counters.answers_stray;
            continue;
        }
        worker.last_result_index = line.index;
        on_result(now, worker, line, events);
    }
    update_load(now, worker, reply.queued);
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
        return return_to_queue(worker, line.sequence, now);
    auto* job = start->second.job;
    const auto service = start->second.service;
    const bool success = line.end == task_end::done;
    if (success)
        learn_run_time(now.steady, start->second, line);
    if (line.end == task_end::stopped && worker.health == worker_health::on_test)
        worker.health = worker_health::quarantined;
    if (line.end != task_end::stopped)
        update_health(now, worker, service, success);
    remove_start(worker, line.sequence);
    m_counters.tasks_done += success ? 1 : 0;
    m_counters.tasks_failed += line.end == task_end::failed ? 1 : 0;
    if (job == nullptr)
        return;
    events.push_back({line.job, line.task, success ? task_change::done : task_change::failed,
                      std::move(line.output), worker.settings.name});
}

void dispatcher::learn_run_time(microseconds now, const outstanding_start& start,
                                const result_line& line)
{
    if (start.job == nullptr || service_of(start.service) == nullptr)
        return;
    const auto declared = start.job->tasks[start.task].size_ms;
    m_run_times.learn(now, start.service, declared_run_time(start.service, declared),
                      microseconds{line.ran_us});
}

void dispatcher::on_history(instant now, const request_context& context, const history_reply& reply,
                            std::vector<task_event>& events)
{
    update_incarnation(now, context.worker, reply.worker_incarnation, events);
    auto& worker = *m_workers[context.worker];
    std::vector<std::uint64_t> never_started;
    for (auto& [sequence, start] : worker.outstanding)
    {
        if (!start.in_doubt || sequence < context.first || sequence > context.last)
            continue;
        const bool recorded = std::any_of(
            reply.records.begin(), reply.records.end(),
            [&start = start, number = sequence](const history_record& r)
            { return r.job == start.id && r.task == start.task && r.sequence == number; });
        if (!recorded)
        {
            never_started.push_back(sequence);
            continue;
        }
        start.in_doubt = false;
        confirm(start);
        --worker.in_doubt_count;
    }
    for (const auto sequence : never_started)
        return_to_queue(worker, sequence, now);
}

void dispatcher::update_health(instant now, worker_view& worker, const std::string& service,
                               bool success)
{
    m_verdicts.record(service, worker.index, success);
    if (success)
    {
        if (worker.health == worker_health::on_test)
            --m_quarantined;
        worker.health = worker_health::good;
        worker.failures = 0;
        worker.test_backoff = microseconds{0};
        return;
    }
    const auto* service_settings = service_of(service);
    const auto& policy =
        service_settings == nullptr ? policy_object{} : m_config->policy_of(*service_settings);
    if (worker.health == worker_health::on_test)
    {
        worker.health = worker_health::quarantined;
        worker.test_backoff = next_backoff(worker.test_backoff, initial_test_delay, max_test_delay);
        worker.next_test_at = now.steady + worker.test_backoff;
        return;
    }
    if (m_verdicts.fails_across_workers(service))
        return;
    if (++worker.failures >= policy.quarantine_after)
        quarantine(now, worker, policy);
}

void dispatcher::quarantine(instant now, worker_view& worker, const policy_object& policy)
{
    const auto max_quarantined = policy.quarantine_share * static_cast<double>(m_workers.size());
    // A single worker can't be compared with others, and no other could run its tasks.
    const bool only_worker = m_workers.size() < 2;
    if (only_worker || worker.health == worker_health::quarantined ||
        static_cast<double>(m_quarantined + 1) > std::max(1.0, max_quarantined))
        return;
    ++m_quarantined;
    ++m_counters.workers_quarantined;
    worker.health = worker_health::quarantined;
    worker.test_backoff = initial_test_delay;
    worker.next_test_at = now.steady + worker.test_backoff;
}

} // namespace egretledge
