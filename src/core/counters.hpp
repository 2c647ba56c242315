#ifndef EGRETLEDGE_CORE_COUNTERS_HPP
#define EGRETLEDGE_CORE_COUNTERS_HPP

#include <boost/describe.hpp>
#include <cstdint>

namespace egretledge
{

// Counts of what a node has done since its start. The counters under "Wasted" count messages and
// runs that did not contribute to an answer.
struct node_counters
{
    std::uint64_t jobs_accepted = 0;
    std::uint64_t jobs_complete = 0;
    std::uint64_t jobs_failed = 0;
    std::uint64_t jobs_refused = 0;
    std::uint64_t jobs_resumed = 0;
    std::uint64_t run_time_trials = 0; // see run_time_trials
    std::uint64_t run_time_trials_served = 0;
    std::uint64_t calls_forwarded = 0;
    std::uint64_t calls_unknown = 0;
    std::uint64_t starts_sent = 0;
    std::uint64_t start_batches = 0;
    std::uint64_t tasks_done = 0;
    std::uint64_t tasks_retried = 0;
    std::uint64_t workers_quarantined = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t handovers = 0;

    // Wasted.
    std::uint64_t starts_refused = 0;
    std::uint64_t starts_repeated = 0;
    std::uint64_t load_probes = 0;
    std::uint64_t calls_resent = 0;
    std::uint64_t answers_stray = 0;
    std::uint64_t tasks_failed = 0;

    std::uint64_t wasted() const
    {
        return starts_refused + starts_repeated + load_probes + calls_resent + answers_stray +
               tasks_failed;
    }
};
BOOST_DESCRIBE_STRUCT(node_counters, (),
                      (jobs_accepted, jobs_complete, jobs_failed, jobs_refused, jobs_resumed,
                       run_time_trials, run_time_trials_served, calls_forwarded, calls_unknown,
                       starts_sent, start_batches, tasks_done, tasks_retried, workers_quarantined,
                       takeovers, handovers, starts_refused, starts_repeated, load_probes,
                       calls_resent, answers_stray, tasks_failed))

} // namespace egretledge

#endif
