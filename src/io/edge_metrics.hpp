#ifndef EGRETLEDGE_IO_EDGE_METRICS_HPP
#define EGRETLEDGE_IO_EDGE_METRICS_HPP

// What an entry host of pooled workers serves to Prometheus: gauges of its present state, counters
// of what it did, and latency histograms. docs/OPERATIONS.md tells what each is good for.

#include "pool/pool_host.hpp"
#include <memory>

namespace egretledge
{

// The latencies that are measured, each a histogram of seconds.
enum class latency : std::uint8_t
{
    call_complete, // a call, from its last byte to its answer, by the answer's outcome
    call_failed,
    call_not_run,
    call_unknown,
    start_order, // an order to a worker, from sending it to its answer or time-out
    stop_order,
    store_call // a call to the platform's store that does not wait for a change
};
BOOST_DESCRIBE_ENUM(latency, call_complete, call_failed, call_not_run, call_unknown, start_order,
                    stop_order, store_call)

// The latency under which a call with this answer counts.
latency latency_of(answer_kind kind);

// Counts that the process keeps outside of its decision logic.
struct process_counts
{
    bool store_reachable = false;
    std::uint64_t store_calls = 0;
    std::uint64_t peer_messages_dropped = 0;
    std::uint64_t log_lines_dropped = 0;
};

class edge_metrics
{
public:
    edge_metrics();
    ~edge_metrics();

    void observe(latency kind, microseconds duration);
    // Everything in Prometheus' text format.
    std::string text(const pool::pool_host& host, instant now, const process_counts& process);

private:
    struct instruments;
    std::unique_ptr<instruments> m_instruments;
};

} // namespace egretledge

#endif
