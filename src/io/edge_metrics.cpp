#include "io/edge_metrics.hpp"
#include "core/check.hpp"
#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace egretledge
{

namespace
{

// Upper bounds in seconds. They cover one round trip to a worker, tasks of 60 to 900 ms, and the
// longest time that a caller waits.
const prometheus::Histogram::BucketBoundaries buckets{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                      0.2,   0.35,  0.5,   0.75, 1.0,  1.5,  2.5};
constexpr double us_per_s = 1e6;

struct latency_row
{
    latency kind;
    const char* name;
    const char* label;
    const char* value;
    const char* help;
};
constexpr const char* call_help = "A call, from its last byte to its answer";
constexpr const char* order_help = "An order to a worker, to its answer or time-out";
constexpr std::array latency_rows{
    latency_row{latency::call_complete, "egretledge_call_seconds", "outcome", "complete",
                call_help},
    latency_row{latency::call_failed, "egretledge_call_seconds", "outcome", "failed", call_help},
    latency_row{latency::call_not_run, "egretledge_call_seconds", "outcome", "not_run", call_help},
    latency_row{latency::call_unknown, "egretledge_call_seconds", "outcome", "unknown", call_help},
    latency_row{latency::start_order, "egretledge_order_seconds", "order", "start", order_help},
    latency_row{latency::stop_order, "egretledge_order_seconds", "order", "stop", order_help},
    latency_row{latency::store_call, "egretledge_store_seconds", "call", "short",
                "A call to the platform's store that does not wait for a change"}};

struct call_count_row
{
    const char* kind;
    std::uint64_t pool::call_router::totals::*value;
};
constexpr std::array call_count_rows{
    call_count_row{"calls", &pool::call_router::totals::calls},
    call_count_row{"complete", &pool::call_router::totals::complete},
    call_count_row{"failed", &pool::call_router::totals::failed},
    call_count_row{"refused", &pool::call_router::totals::refused},
    call_count_row{"unknown", &pool::call_router::totals::unknown},
    call_count_row{"caller_gone", &pool::call_router::totals::caller_disconnected},
    call_count_row{"sent_away", &pool::call_router::totals::remote},
    call_count_row{"offers", &pool::call_router::totals::offers},
    call_count_row{"declined_for_room", &pool::call_router::totals::capacity_declines},
    call_count_row{"declined_otherwise", &pool::call_router::totals::other_declines},
    call_count_row{"orphaned", &pool::call_router::totals::orphaned},
    call_count_row{"placed_anew", &pool::call_router::totals::orphan_offers}};

struct pool_count_row
{
    const char* kind;
    std::uint64_t pool::worker_pool::totals::*value;
};
constexpr std::array pool_count_rows{
    pool_count_row{"starts", &pool::worker_pool::totals::starts},
    pool_count_row{"tasks_done", &pool::worker_pool::totals::done},
    pool_count_row{"tasks_failed", &pool::worker_pool::totals::failed},
    pool_count_row{"runs_wasted", &pool::worker_pool::totals::wasted},
    pool_count_row{"orders_in_doubt", &pool::worker_pool::totals::in_doubt},
    pool_count_row{"workers_lost", &pool::worker_pool::totals::lost_workers},
    pool_count_row{"jobs_refused_for_run_time", &pool::worker_pool::totals::refused_for_run_time},
    pool_count_row{"run_time_trials", &pool::worker_pool::totals::trials},
    pool_count_row{"run_time_trials_served", &pool::worker_pool::totals::trials_served}};

struct host_count_row
{
    const char* kind;
    std::uint64_t pool::membership::totals::*value;
};
constexpr std::array host_count_rows{
    host_count_row{"heartbeat_rounds", &pool::membership::totals::heartbeat_rounds},
    host_count_row{"expedited_rounds", &pool::membership::totals::expedited_rounds},
    host_count_row{"heartbeats", &pool::membership::totals::heartbeats},
    host_count_row{"heartbeats_with_hosts", &pool::membership::totals::heartbeats_with_hosts},
    host_count_row{"returned_hosts", &pool::membership::totals::returned_hosts}};

struct query_count_row
{
    const char* kind;
    std::uint64_t pool::job_queries::totals::*value;
};
constexpr std::array query_count_rows{
    query_count_row{"job_queries", &pool::job_queries::totals::job_queries},
    query_count_row{"job_queries_found", &pool::job_queries::totals::job_queries_found},
    query_count_row{"job_queries_gone", &pool::job_queries::totals::job_queries_gone},
    query_count_row{"job_queries_unknown", &pool::job_queries::totals::job_queries_unknown},
    query_count_row{"job_queries_rejected", &pool::job_queries::totals::job_queries_rejected}};

struct process_count_row
{
    const char* kind;
    std::uint64_t process_counts::*value;
};
constexpr std::array process_count_rows{
    process_count_row{"processor_us", &process_counts::processor_us},
    process_count_row{"worker_connections_opened", &process_counts::worker_connections_opened},
    process_count_row{"worker_requests_failed", &process_counts::worker_requests_failed},
    process_count_row{"store_calls", &process_counts::store_calls},
    process_count_row{"host_records_removed", &process_counts::host_records_removed},
    process_count_row{"peer_messages_dropped", &process_counts::peer_messages_dropped},
    process_count_row{"log_lines_dropped", &process_counts::log_lines_dropped},
    process_count_row{"peer_heartbeats_superseded", &process_counts::peer_heartbeats_superseded},
    process_count_row{"peer_reading_pauses", &process_counts::peer_reading_pauses}};

struct process_gauge_row
{
    const char* name;
    const char* help;
    std::uint64_t process_counts::*value;
};
constexpr std::array process_gauge_rows{
    process_gauge_row{"egretledge_resident_bytes", "Physical memory of this process",
                      &process_counts::resident_bytes},
    process_gauge_row{"egretledge_allocated_bytes", "Memory given out by the allocator",
                      &process_counts::allocated_bytes},
    process_gauge_row{"egretledge_unhandled_peer_messages",
                      "Messages of other hosts that were received and not handled yet",
                      &process_counts::unhandled_peer_messages},
    process_gauge_row{"egretledge_caller_connections", "Open connections of callers",
                      &process_counts::caller_connections},
    process_gauge_row{"egretledge_worker_connections", "Connections to workers with a request",
                      &process_counts::worker_connections},
    process_gauge_row{"egretledge_idle_worker_connections",
                      "Open connections to workers without a request",
                      &process_counts::idle_worker_connections},
    process_gauge_row{"egretledge_waiting_worker_requests",
                      "Requests to workers that wait for a free connection",
                      &process_counts::waiting_worker_requests}};

struct gauge_row
{
    const char* name;
    const char* help;
    double (*value)(const pool::pool_host& host, instant now);
};
constexpr std::array gauge_rows{
    gauge_row{"egretledge_ready", "1 if the balancer may send calls",
              [](const pool::pool_host& host, instant now) { return host.ready(now) ? 1.0 : 0.0; }},
    gauge_row{"egretledge_config_version", "Version in force",
              [](const pool::pool_host& host, instant)
              { return host.config() ? static_cast<double>(host.config()->version) : 0.0; }},
    gauge_row{"egretledge_hosts_alive", "Other hosts whose heartbeats arrive",
              [](const pool::pool_host& host, instant now)
              { return static_cast<double>(host.hosts().count_alive(now.steady)); }},
    gauge_row{"egretledge_open_calls", "Calls not answered yet",
              [](const pool::pool_host& host, instant)
              { return static_cast<double>(host.calls().open_calls()); }},
    gauge_row{"egretledge_pool_jobs", "Jobs of the own pool",
              [](const pool::pool_host& host, instant)
              { return static_cast<double>(host.workers().open_jobs()); }},
    gauge_row{"egretledge_pool_max_workers", "Workers that this host can serve",
              [](const pool::pool_host& host, instant)
              { return static_cast<double>(host.max_workers()); }},
    gauge_row{"egretledge_pool_workers", "Workers held",
              [](const pool::pool_host& host, instant)
              { return static_cast<double>(host.workers().held().size()); }},
    gauge_row{"egretledge_pool_free_cpu", "Free thousandths of a core",
              [](const pool::pool_host& host, instant now)
              { return static_cast<double>(host.workers().free_cpu(now.steady)); }},
    gauge_row{"egretledge_pool_wait_ms", "Expected wait of a new task",
              [](const pool::pool_host& host, instant now)
              { return static_cast<double>(host.workers().expected_wait(now.steady).count()); }},
    gauge_row{"egretledge_pool_closed_routes",
              "Routes that refuse jobs because of their learned run time",
              [](const pool::pool_host& host, instant)
              { return static_cast<double>(host.workers().closed_routes()); }},
    gauge_row{"egretledge_pool_max_run_time_ratio",
              "Highest learned ratio of actual to declared run time of a route",
              [](const pool::pool_host& host, instant now)
              {
                  const auto highest = host.workers().highest_run_time_ratio(now.steady);
                  return highest ? highest->ratio : 0.0;
              }},
    gauge_row{
        "egretledge_pool_max_run_time_ratio_age_seconds",
        "Time since the latest run that this ratio was learned from",
        [](const pool::pool_host& host, instant now)
        {
            const auto highest = host.workers().highest_run_time_ratio(now.steady);
            return highest ? std::chrono::duration<double>(now.steady - highest->learned_at).count()
                           : 0.0;
        }},
    gauge_row{"egretledge_evacuated_data_centres", "Data centres in which no task may start",
              [](const pool::pool_host& host, instant now)
              { return static_cast<double>(host.evacuated_data_centres(now.steady).size()); }},
    gauge_row{"egretledge_started_jobs_known", "Jobs that are known to have started lately",
              [](const pool::pool_host& host, instant)
              { return static_cast<double>(host.started().known()); }},
    gauge_row{"egretledge_task_crashes_known", "Crashes and silences of workers under tasks, kept",
              [](const pool::pool_host& host, instant)
              { return static_cast<double>(host.workers().crashes().known()); }}};

} // namespace

latency latency_of(answer_kind kind)
{
    switch (row_of(kind).result)
    {
    case outcome::complete:
        return latency::call_complete;
    case outcome::failed:
        return latency::call_failed;
    case outcome::not_run:
        return latency::call_not_run;
    default:
        return latency::call_unknown;
    }
}

struct edge_metrics::instruments
{
    prometheus::Registry registry;
    std::array<prometheus::Histogram*, latency_rows.size()> histograms{};
    std::array<prometheus::Gauge*, gauge_rows.size()> gauges{};
    std::array<prometheus::Gauge*, process_gauge_rows.size()> process_gauges{};
    prometheus::Gauge* store_reachable = nullptr;
    std::map<std::string, prometheus::Counter*> counters;
};

edge_metrics::edge_metrics() : m_instruments(std::make_unique<instruments>())
{
    auto& registry = m_instruments->registry;
    for (std::size_t i = 0; i < latency_rows.size(); ++i)
    {
        const auto& row = latency_rows[i];
        EGRET_CHECK(static_cast<std::size_t>(row.kind) == i,
                    "latency_rows must list every latency in the order of the enumerators");
        auto& family =
            prometheus::BuildHistogram().Name(row.name).Help(row.help).Register(registry);
        m_instruments->histograms[i] = &family.Add({{row.label, row.value}}, buckets);
    }
    const auto gauge = [&](const char* name, const char* help)
    { return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}); };
    for (std::size_t i = 0; i < gauge_rows.size(); ++i)
        m_instruments->gauges[i] = gauge(gauge_rows[i].name, gauge_rows[i].help);
    for (std::size_t i = 0; i < process_gauge_rows.size(); ++i)
        m_instruments->process_gauges[i] =
            gauge(process_gauge_rows[i].name, process_gauge_rows[i].help);
    m_instruments->store_reachable =
        gauge("egretledge_store_reachable", "1 if the platform's store answered last");
    auto& events = prometheus::BuildCounter()
                       .Name("egretledge_events_total")
                       .Help("What this process did; see docs/OPERATIONS.md")
                       .Register(registry);
    const auto add = [&](const auto& rows)
    {
        for (const auto& row : rows)
            m_instruments->counters[row.kind] = &events.Add({{"kind", row.kind}});
    };
    add(call_count_rows);
    add(pool_count_rows);
    add(host_count_rows);
    add(query_count_rows);
    add(process_count_rows);
}

edge_metrics::~edge_metrics() = default;

void edge_metrics::observe(latency kind, microseconds duration)
{
    m_instruments->histograms.at(static_cast<std::size_t>(kind))
        ->Observe(static_cast<double>(duration.count()) / us_per_s);
}

std::string edge_metrics::text(const pool::pool_host& host, instant now,
                               const process_counts& process)
{
    for (std::size_t i = 0; i < gauge_rows.size(); ++i)
        m_instruments->gauges[i]->Set(gauge_rows[i].value(host, now));
    for (std::size_t i = 0; i < process_gauge_rows.size(); ++i)
        m_instruments->process_gauges[i]->Set(
            static_cast<double>(process.*process_gauge_rows[i].value));
    m_instruments->store_reachable->Set(process.store_reachable ? 1 : 0);
    // The decision logic keeps the totals; each counter is raised to its total.
    const auto update_counters = [&](const auto& rows, const auto& totals)
    {
        for (const auto& row : rows)
        {
            auto& counter = *m_instruments->counters.at(row.kind);
            counter.Increment(static_cast<double>(totals.*row.value) - counter.Value());
        }
    };
    update_counters(call_count_rows, host.calls().counts());
    update_counters(pool_count_rows, host.workers().counts());
    update_counters(host_count_rows, host.hosts().counts());
    update_counters(query_count_rows, host.queries().counts());
    update_counters(process_count_rows, process);
    return prometheus::TextSerializer().Serialize(m_instruments->registry.Collect());
}

} // namespace egretledge
