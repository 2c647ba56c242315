#define BOOST_TEST_MODULE edge
#include "io/edge_metrics.hpp"
#include "io/process_memory.hpp"
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace std::chrono_literals;

namespace
{

pool::pool_host make_host()
{
    pool::pool_host_settings settings;
    settings.membership.self = {"h1", 1};
    settings.membership.data_centre = "dc1";
    return pool::pool_host(settings);
}

bool has_line(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(latencies_are_counted_in_the_right_histogram_and_bucket)
{
    edge_metrics metrics;
    metrics.observe(latency::call_complete, 60ms);
    metrics.observe(latency::call_complete, 900ms);
    metrics.observe(latency::start_order, 3ms);
    const auto text = metrics.text(make_host(), {10s, 1000ms}, {});
    BOOST_TEST(has_line(text, R"(egretledge_call_seconds_bucket{outcome="complete",le="0.05"} 0)"));
    BOOST_TEST(has_line(text, R"(egretledge_call_seconds_bucket{outcome="complete",le="0.1"} 1)"));
    BOOST_TEST(has_line(text, R"(egretledge_call_seconds_bucket{outcome="complete",le="1"} 2)"));
    BOOST_TEST(has_line(text, R"(egretledge_call_seconds_count{outcome="not_run"} 0)"));
    BOOST_TEST(has_line(text, R"(egretledge_order_seconds_bucket{order="start",le="0.005"} 1)"));
    BOOST_TEST(has_line(text, R"(egretledge_order_seconds_count{order="stop"} 0)"));
}

BOOST_AUTO_TEST_CASE(counters_report_totals_on_every_read)
{
    edge_metrics metrics;
    auto host = make_host();
    pool::action_list out;
    const auto calls = [](int count)
    { return "egretledge_events_total{kind=\"calls\"} " + std::to_string(count); };
    BOOST_TEST(has_line(metrics.text(host, {10s, 1000ms}, {}), calls(0)));
    pool::job_request job;
    job.id = "0123456789abcdef";
    job.steps.push_back({});
    job.steps.back().count = 1;
    host.on_job({10s, 1000ms}, 1, job, out);
    BOOST_TEST(has_line(metrics.text(host, {10s, 1000ms}, {}), calls(1)));
    const auto text = metrics.text(host, {10s, 1000ms}, {true, 7, 2, 5, 11, 3});
    BOOST_TEST(has_line(text, calls(1)));
    BOOST_TEST(has_line(text, R"(egretledge_events_total{kind="store_calls"} 7)"));
    BOOST_TEST(has_line(text, R"(egretledge_events_total{kind="log_lines_dropped"} 5)"));
    BOOST_TEST(has_line(text, R"(egretledge_events_total{kind="peer_heartbeats_superseded"} 11)"));
    BOOST_TEST(has_line(text, R"(egretledge_events_total{kind="peer_reading_pauses"} 3)"));
    BOOST_TEST(has_line(text, "egretledge_store_reachable 1"));
}

// Guards against a process that is ended for its memory without a figure that tells what used it
// (incident LOST).
BOOST_AUTO_TEST_CASE(gauges_report_memory_and_what_is_open)
{
    edge_metrics metrics;
    process_counts counts;
    counts.resident_bytes = resident_bytes();
    counts.allocated_bytes = allocated_bytes();
    BOOST_TEST(counts.resident_bytes > 1000000U);
    // Under sanitizers the allocator keeps no such figure.
    BOOST_TEST(counts.allocated_bytes < counts.resident_bytes * 100);
    counts.unhandled_peer_messages = 3;
    counts.idle_worker_connections = 5;
    const auto text = metrics.text(make_host(), {10s, 1000ms}, counts);
    BOOST_TEST(has_line(text, "egretledge_unhandled_peer_messages 3"));
    BOOST_TEST(has_line(text, "egretledge_idle_worker_connections 5"));
    BOOST_TEST(!has_line(text, "egretledge_resident_bytes 0"));
}

// Guards against a gauge that counts data centres of which nothing is known.
BOOST_AUTO_TEST_CASE(a_gauge_reports_the_evacuated_data_centres_that_exist)
{
    edge_metrics metrics;
    auto host = make_host();
    pool::action_list out;
    const instant now{10s, 1000ms};
    BOOST_TEST(has_line(metrics.text(host, now, {}), "egretledge_evacuated_data_centres 0"));
    host.set_evacuations(now, {3, {"dc1", "dc2"}}, out);
    BOOST_TEST(has_line(metrics.text(host, now, {}), "egretledge_evacuated_data_centres 1"));
    host.set_evacuations(now, {4, {}}, out);
    BOOST_TEST(has_line(metrics.text(host, now, {}), "egretledge_evacuated_data_centres 0"));
}

// Guards against a route that refuses its callers for a learned run time without a trace in the
// metrics.
BOOST_AUTO_TEST_CASE(gauges_report_learned_run_times_and_closed_routes)
{
    edge_metrics metrics;
    const auto text = metrics.text(make_host(), {10s, 1000ms}, {});
    BOOST_TEST(has_line(text, "egretledge_pool_closed_routes 0"));
    BOOST_TEST(has_line(text, "egretledge_pool_max_run_time_ratio 0"));
    BOOST_TEST(has_line(text, "egretledge_pool_max_run_time_ratio_age_seconds 0"));
}

BOOST_AUTO_TEST_CASE(each_answer_outcome_maps_to_its_latency_histogram)
{
    BOOST_TEST((latency_of(answer_kind::ok) == latency::call_complete));
    BOOST_TEST((latency_of(answer_kind::worker_lost) == latency::call_failed));
    BOOST_TEST((latency_of(answer_kind::over_capacity) == latency::call_not_run));
    BOOST_TEST((latency_of(answer_kind::recovering) == latency::call_unknown));
}
