#ifndef EGRETLEDGE_CORE_WORKER_VIEW_HPP
#define EGRETLEDGE_CORE_WORKER_VIEW_HPP

#include "core/job.hpp"
#include "egretledge/config.hpp"
#include <boost/unordered/unordered_flat_map.hpp>

namespace egretledge
{

// A start that a worker was sent and whose end is not known. `job` is null once the job was
// dropped.
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
    unproven, // nothing has succeeded yet: few tasks at once
    good,
    quarantined, // nothing is sent until the next single test
    on_test      // one task is out as a test
};
BOOST_DESCRIBE_ENUM(worker_health, unproven, good, quarantined, on_test)

// What this host knows of one worker.
struct worker_view
{
    executor settings;
    std::uint32_t index = 0;
    bool configured = true;
    bool leaving = false;
    std::uint64_t since_revision = 0; // the revision that brought it, or brought it back

    // The lease; 0 means none.
    std::uint64_t incarnation = 0;
    std::uint64_t lease = 0;
    microseconds lease_expiry{0};
    bool lease_requested = false;
    microseconds next_request_at{0};
    microseconds request_backoff{0};

    // The worker's clock minus ours, never more than the truth allows.
    std::int64_t clock_offset_us = 0;
    bool clock_known = false;

    std::uint64_t next_sequence = 1;
    boost::unordered_flat_map<std::uint64_t, outstanding_start> outstanding;
    std::uint32_t in_doubt_count = 0;
    bool history_requested = false;

    bool poll_open = false;
    std::uint64_t last_result_index = 0;
    microseconds next_poll_at{0};
    microseconds next_start_at{0};

    // Tasks of other hosts at the worker, as it last said.
    std::uint32_t other_hosts_tasks = 0;
    microseconds load_updated_at{-1};

    worker_health health = worker_health::unproven;
    std::uint32_t failures = 0;
    microseconds next_test_at{0};
    microseconds test_backoff{0};
};

} // namespace egretledge

#endif
