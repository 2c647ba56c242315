#ifndef EGRETLEDGE_CORE_WORKER_VIEW_HPP
#define EGRETLEDGE_CORE_WORKER_VIEW_HPP

#include "core/job.hpp"
#include "egretledge/config.hpp"
#include <boost/unordered/unordered_flat_map.hpp>

namespace egretledge
{

// A start that was sent to a worker and whose outcome is not known yet. `job` is null after
// dispatcher::drop().
struct outstanding_start
{
    open_job* job = nullptr;
    job_id id;
    std::uint32_t task = 0;
    bool accepted = false;
    bool in_doubt = false; // the answer to the start was lost
    std::string service;
    std::string team;
    microseconds sent{0};
};

enum class worker_health : std::uint8_t
{
    unproven, // no task has succeeded yet: only a few tasks at a time
    good,
    quarantined, // no task is sent until the next test
    on_test      // a single task has been sent as a test
};
BOOST_DESCRIBE_ENUM(worker_health, unproven, good, quarantined, on_test)

// This host's view of one worker. Times are on this host's steady clock unless stated otherwise.
struct worker_view
{
    executor settings;
    std::uint32_t index = 0;
    bool configured = true;
    bool leaving = false;
    std::uint64_t added_in_revision = 0; // configuration revision that added it, or added it again

    // The worker's incarnation (0: unknown) and this host's lease on it (0: none). The expiry is
    // counted from the time at which the lease was requested, so it is never later than the
    // worker's own.
    std::uint64_t incarnation = 0;
    std::uint64_t lease = 0;
    microseconds lease_expiry{0};
    bool lease_requested = false;
    microseconds next_request_at{0};
    microseconds request_backoff{0};

    // The worker's clock minus this host's clock, in microseconds; never more than the true offset.
    std::int64_t clock_offset_us = 0;
    bool clock_known = false;

    std::uint64_t next_sequence = 1;
    boost::unordered_flat_map<std::uint64_t, outstanding_start> outstanding;
    std::uint32_t in_doubt_count = 0; // outstanding starts that are in doubt
    bool history_requested = false;

    bool poll_open = false;
    std::uint64_t last_result_index = 0;
    microseconds next_poll_at{0};
    microseconds next_start_at{0};

    // Number of other hosts' tasks at the worker by its last answer, and the time of that answer.
    std::uint32_t other_hosts_tasks = 0;
    microseconds load_updated_at{-1};

    worker_health health = worker_health::unproven;
    std::uint32_t failures = 0;
    microseconds next_test_at{0};
    microseconds test_backoff{0};
};

} // namespace egretledge

#endif
