#define BOOST_TEST_MODULE standin
#include "standin/log_model.hpp"
#include "standin/worker_model.hpp"
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::standin;

namespace
{

const host_ref holder{"jaro-1", 5};

instant at(std::int64_t ms)
{
    return {milliseconds{ms}, milliseconds{1000000 + ms}};
}

struct fixture
{
    worker_model worker{{"w", 3, 2}, at(0)};
    std::uint64_t next = 1;

    template <class Answer>
    Answer send_request(instant now, const worker_request& body)
    {
        std::vector<worker_reply> replies;
        const auto request = next++;
        worker.handle_request(now, request, body, replies);
        for (auto& reply : replies)
            if (reply.request == request)
                return std::get<Answer>(reply.answer);
        BOOST_FAIL("no answer");
        return {};
    }
    lease_grant lease(instant now)
    {
        return send_request<lease_grant>(now, lease_request{holder, 0, 2, 0});
    }
    start_verdict start(instant now, const lease_grant& lease, std::uint64_t sequence,
                        epoch owner = {1, 0}, std::int64_t start_by = 1'000'000'000)
    {
        start_order order;
        order.sequence = sequence;
        order.owner_epoch = owner;
        order.start_by_us = start_by;
        order.job = {1, sequence};
        order.task_count = 1;
        order.size_ms = 100;
        return send_request<start_reply>(now, start_batch{holder, 3, lease.lease, {order}})
            .verdicts.at(0);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(stale_repeated_late_and_unleased_starts_are_refused, fixture)
{
    const auto granted = lease(at(0));
    BOOST_TEST((start(at(1), granted, 1) == start_verdict::accepted));
    BOOST_TEST((start(at(1), granted, 1) == start_verdict::repeated));
    BOOST_TEST((start(at(1), granted, 2, {2, 0}) == start_verdict::accepted));
    BOOST_TEST((start(at(1), granted, 3, {1, 5}) == start_verdict::stale_epoch));
    BOOST_TEST((start(at(10), granted, 4, {2, 0}, 5000) == start_verdict::too_late));
    BOOST_TEST((start(at(10001), granted, 5, {2, 0}) == start_verdict::lease_lapsed));
    BOOST_TEST(worker.started().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_late_renewal_extends_the_lease_only_from_its_request_time, fixture)
{
    const auto granted = lease(at(0));
    const auto renewed =
        send_request<lease_grant>(at(9000), lease_request{holder, granted.lease, 2, 1000});
    BOOST_TEST(renewed.lapses_at_us == 10'001'000);
}

BOOST_FIXTURE_TEST_CASE(tasks_missing_from_the_history_never_start, fixture)
{
    const auto granted = lease(at(0));
    for (std::uint64_t s = 1; s <= 4; ++s)
        start(at(1), granted, s);
    // Two tasks run in slots and two wait; the fence removes the waiting ones.
    const auto reply = send_request<history_reply>(at(2), history_request{{{0, {9, 0}}}, {}, 0, 0});
    BOOST_TEST(reply.records.size() == 2U);
    BOOST_TEST((start(at(3), granted, 5, {8, 0}) == start_verdict::stale_epoch));
    std::vector<worker_reply> replies;
    worker.advance(at(5000), replies);
    BOOST_TEST(worker.started().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(results_are_kept_until_acknowledged_for_the_same_incarnation, fixture)
{
    const auto granted = lease(at(0));
    start(at(1), granted, 1);
    const auto first = send_request<result_reply>(at(200), result_request{holder, 3, 0, 0});
    BOOST_REQUIRE_EQUAL(first.lines.size(), 1U);
    const auto repeated_reply =
        send_request<result_reply>(at(201), result_request{holder, 3, 0, 0});
    BOOST_TEST(repeated_reply.lines.size() == 1U);
    const auto other_incarnation =
        send_request<result_reply>(at(202), result_request{holder, 2, 7, 0});
    BOOST_TEST(other_incarnation.lines.size() == 1U);
    const auto acknowledged = send_request<result_reply>(at(203), result_request{holder, 3, 1, 0});
    BOOST_TEST(acknowledged.lines.empty());
}

BOOST_FIXTURE_TEST_CASE(a_job_is_closed_only_under_the_current_epoch_and_recorded_as_closed,
                        fixture)
{
    const auto granted = lease(at(0));
    start(at(1), granted, 1, {4, 0});
    job_close close;
    close.job = {1, 1};
    close.owner_epoch = {3, 0};
    BOOST_TEST((send_request<stop_reply>(at(2), stop_request{holder, {close}}).verdicts.at(0) ==
                stop_verdict::stale_epoch));
    close.owner_epoch = {4, 0};
    BOOST_TEST((send_request<stop_reply>(at(2), stop_request{holder, {close}}).verdicts.at(0) ==
                stop_verdict::recorded));
    const auto reply = send_request<history_reply>(at(3), history_request{{{0, {5, 0}}}, {}, 0, 0});
    BOOST_REQUIRE_EQUAL(reply.records.size(), 2U);
    BOOST_TEST((reply.records[1].state == record_state::closed));
}

BOOST_AUTO_TEST_CASE(the_log_assigns_offsets_and_drops_old_records)
{
    log_model log(3);
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(log.append("s", std::to_string(i)) == static_cast<std::uint64_t>(i));
    const auto page = log.read("s", 0);
    BOOST_TEST(page.first_kept == 2U);
    BOOST_TEST(page.next == 5U);
    BOOST_TEST(page.entries.front().data == "2");
    BOOST_TEST(log.read("s", 4).entries.size() == 1U);
    BOOST_TEST(log.read("none", 0).entries.empty());
}
