#ifndef EGRETLEDGE_IO_EDGE_METRICS_HPP
#define EGRETLEDGE_IO_EDGE_METRICS_HPP

// Prometheus metrics of an entry host of pooled workers: gauges of its current state, counters of
// events, and latency histograms. docs/OPERATIONS.md describes the use of each.

#include "pool/pool_host.hpp"
#include <memory>

namespace egretledge
{

// The measured latencies. Each is exported as a histogram in seconds.
enum class latency : std::uint8_t
{
    call_complete, // a call, from its last byte received to its answer, by outcome
    call_failed,
    call_not_run,
    call_unknown,
    start_order, // an order to a worker, from sending it to its reply or timeout
    stop_order,
    store_call // a call to the platform's store that is not a long poll
};
BOOST_DESCRIBE_ENUM(latency, call_complete, call_failed, call_not_run, call_unknown, start_order,
                    stop_order, store_call)

// Returns the latency that records calls with this answer.
latency latency_of(answer_kind kind);

// State and counts that are kept outside of the decision logic.
struct process_counts
{
    bool store_reachable = false;
    std::uint64_t store_calls = 0;
    std::uint64_t peer_messages_dropped = 0;
    std::uint64_t log_lines_dropped = 0;
    std::uint64_t peer_heartbeats_superseded = 0;
    std::uint64_t peer_reading_pauses = 0;
    std::uint64_t resident_bytes = 0;
    std::uint64_t allocated_bytes = 0;
    std::uint64_t unhandled_peer_messages = 0;
    std::uint64_t caller_connections = 0;
    std::uint64_t worker_connections = 0;      // with a request
    std::uint64_t idle_worker_connections = 0; // without one
    std::uint64_t waiting_worker_requests = 0; // for a free connection
    std::uint64_t processor_us = 0;            // processor time used
    std::uint64_t worker_connections_opened = 0;
    std::uint64_t worker_requests_failed = 0; // without a whole reply
    std::uint64_t host_records_removed = 0;   // of replaced hosts, from the store
};

class edge_metrics
{
public:
    edge_metrics();
    ~edge_metrics();

    void observe(latency kind, microseconds duration);
    // Returns all metrics in Prometheus' text format.
    std::string text(const pool::pool_host& host, instant now, const process_counts& process);

private:
    struct instruments;
    std::unique_ptr<instruments> m_instruments;
};

} // namespace egretledge

#endif
