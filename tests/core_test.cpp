#define BOOST_TEST_MODULE core
#include "core/config_follower.hpp"
#include "core/dispatcher.hpp"
#include "core/job_memory.hpp"
#include "core/ownership.hpp"
#include "core/task_queue.hpp"
#include "core/wire.hpp"
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

using namespace egretledge;

namespace
{

instant at(std::int64_t ms)
{
    return {milliseconds{ms}, milliseconds{1'800'000'000'000 + ms}};
}

} // namespace

BOOST_AUTO_TEST_CASE(every_answer_kind_has_a_row_with_a_status_and_a_remedy)
{
    std::map<outcome, std::set<unsigned>> statuses;
    boost::mp11::mp_for_each<boost::describe::describe_enumerators<answer_kind>>(
        [&](auto d)
        {
            const auto& row = row_of(d.value);
            BOOST_TEST((row.kind == d.value));
            BOOST_TEST(!row.remedy.empty());
            if (d.value != answer_kind::still_running)
                statuses[row.result].insert(row.http_status);
        });
    // Each final outcome, and unknown, maps to exactly one HTTP status.
    for (const auto result :
         {outcome::complete, outcome::failed, outcome::not_run, outcome::unknown})
        BOOST_TEST(statuses[result].size() == 1U);
}

BOOST_AUTO_TEST_CASE(valid_job_keys_are_parsed_and_malformed_ones_rejected)
{
    const auto key = parse_job_key("jaro-depot.1796351160123.7f3a9c");
    BOOST_REQUIRE(key);
    BOOST_TEST(key->data_centre == "jaro-depot");
    BOOST_TEST(key->made.count() == 1796351160123);
    const char* bad[] = {"",
                         "a",
                         "a.1",
                         "a.x.n",
                         "a.-1.n",
                         "a.1.",
                         ".1.n",
                         "a.1.n!",
                         "a b.1.n",
                         "a.1.n.m",
                         "a.1234567890123456.n",
                         "a..n"};
    for (const auto* key_text : bad)
        BOOST_TEST(!parse_job_key(key_text), key_text);
    BOOST_TEST(!parse_job_key(std::string(200, 'a') + ".1.n"));
}

BOOST_AUTO_TEST_CASE(the_same_key_in_two_teams_gives_two_job_ids)
{
    BOOST_TEST((make_job_id("a", "k") != make_job_id("b", "k")));
    BOOST_TEST((make_job_id("a", "bk") != make_job_id("ab", "k")));
    BOOST_TEST((make_job_id("a", "k") == make_job_id("a", "k")));
}

// Compares random puts, finds and expiry with a std::map.
BOOST_AUTO_TEST_CASE(job_memory_agrees_with_a_reference_map)
{
    std::mt19937_64 random(1);
    job_memory memory(milliseconds{600000}, 1ULL << 30);
    std::map<job_id, std::pair<milliseconds, std::string>> reference;
    const milliseconds window{600000};
    for (std::int64_t now = 0; now < 3'000'000; now += 500)
    {
        const milliseconds made{now - static_cast<std::int64_t>(random() % 100000)};
        const auto id_high = random() % 4;
        const job_id id{id_high, random() % 5000};
        const auto known = reference.find(id);
        const auto key_time = known == reference.end() ? made : known->second.first;
        if (key_time.count() >= 0 && key_time.count() + window.count() >= now)
        {
            remembered_job job{id, 1, key_time, {}};
            job.answer.set_detail(std::to_string(now));
            memory.put(job);
            reference.emplace(id, std::make_pair(key_time, job.answer.detail()));
        }
        memory.expire(milliseconds{now});
        const auto other_high = random() % 4;
        const job_id other{other_high, random() % 5000};
        const auto wanted = reference.find(other);
        if (wanted != reference.end() && wanted->second.first.count() + window.count() >= now)
        {
            const auto found = memory.find(other, wanted->second.first);
            BOOST_REQUIRE(found);
            BOOST_TEST(found->answer.detail() == wanted->second.second);
        }
        std::erase_if(reference, [&](const auto& e)
                      { return e.second.first.count() + window.count() + 40000 < now; });
    }
}

BOOST_AUTO_TEST_CASE(a_remembered_job_costs_at_most_64_bytes_beyond_its_answer)
{
    job_memory memory(milliseconds{600000}, 1ULL << 30);
    std::mt19937_64 random(2);
    constexpr std::size_t jobs = 400'000;
    for (std::size_t i = 0; i < jobs; ++i)
    {
        const milliseconds made{static_cast<std::int64_t>(i)};
        const auto high = random();
        const auto low = random();
        memory.put({{high, low}, 1, made, {}});
        if (i % 1000 == 0)
            memory.expire(made);
    }
    memory.expire(milliseconds{jobs});
    const auto each = static_cast<double>(memory.overhead_bytes()) / jobs;
    BOOST_TEST_MESSAGE("state per remembered job: " << each << " B");
    BOOST_TEST(each <= 64.0);
}

BOOST_AUTO_TEST_CASE(answers_over_the_memory_limit_are_evicted_oldest_first_and_jobs_stay_known)
{
    job_memory memory(milliseconds{600000}, 1000);
    for (int i = 0; i < 10; ++i)
    {
        remembered_job job{{1, static_cast<std::uint64_t>(i)}, 1, milliseconds{i * 30000}, {}};
        job.answer.set_detail(std::string(200, 'x'));
        memory.put(job);
    }
    BOOST_TEST(memory.answer_bytes() <= 1000U);
    const auto oldest = memory.find({1, 0}, milliseconds{0});
    BOOST_REQUIRE(oldest);
    BOOST_TEST((kind_of(oldest->answer) == answer_kind::key_expired));
    BOOST_TEST(memory.find({1, 9}, milliseconds{270000})->answer.detail().size() == 200U);
}

BOOST_AUTO_TEST_CASE(team_weights_divide_slots_and_unused_quota_is_lent)
{
    task_queue queue;
    queue.set_team("heavy", 3, 10);
    queue.set_team("light", 1, 10);
    std::vector<open_job> jobs(2);
    jobs[0].team = "heavy";
    jobs[1].team = "light";
    for (std::size_t j = 0; j < 2; ++j)
    {
        jobs[j].id = {0, j};
        jobs[j].tasks.resize(400);
        for (std::uint32_t t = 0; t < 400; ++t)
            queue.add(jobs[j], t, milliseconds{100}, 10);
    }
    std::map<std::string, int> started;
    queued_task next;
    for (int i = 0; i < 400; ++i)
    {
        BOOST_REQUIRE(queue.next(next));
        queue.pop(next, milliseconds{100});
        ++started[next.job->team];
        queue.release_slot(next.job->team);
    }
    BOOST_TEST(started["heavy"] >= 295);
    BOOST_TEST(started["heavy"] <= 305);
    // A team at its quota yields to a team below its quota, and gets every slot when it is alone.
    for (int i = 0; i < 10; ++i)
    {
        queue.next(next);
        queue.pop(next, milliseconds{1});
    }
    queue.drop(jobs[1]);
    int alone = 0;
    while (queue.next(next) && alone < 50)
    {
        BOOST_TEST(next.job->team == "heavy");
        queue.pop(next, milliseconds{1});
        ++alone;
    }
    BOOST_TEST(alone == 50);
}

BOOST_AUTO_TEST_CASE(small_jobs_overtake_a_wide_job_but_do_not_starve_it)
{
    task_queue queue;
    queue.set_team("t", 1, 0);
    open_job wide;
    wide.team = "t";
    wide.id = {0, 1};
    wide.tasks.resize(700);
    for (std::uint32_t i = 0; i < 700; ++i)
        queue.add(wide, i, milliseconds{100}, 7);
    open_job small_job = wide;
    small_job.id = {0, 2};
    small_job.accepted = milliseconds{100};
    small_job.tasks.resize(1);
    queue.add(small_job, 0, milliseconds{100}, 7);
    queued_task next;
    BOOST_REQUIRE(queue.next(next));
    BOOST_TEST(next.job == &small_job);
    queue.pop(next, milliseconds{100});
    open_job late = small_job;
    late.id = {0, 3};
    late.accepted = milliseconds{10001}; // the wide job takes 10 s by itself
    queue.add(late, 0, milliseconds{100}, 7);
    BOOST_REQUIRE(queue.next(next));
    BOOST_TEST(next.job == &wide);
}

namespace
{

// Two or three hosts of one data centre that share an in-order log. The test drives each step.
struct test_cluster
{
    explicit test_cluster(std::size_t hosts)
    {
        nodes.resize(hosts);
        for (std::size_t i = 0; i < hosts; ++i)
            restart(i);
    }

    // Replaces the process of host `i` by a new incarnation.
    void restart(std::size_t i)
    {
        ownership_settings settings;
        settings.self = {"h" + std::to_string(i + 1), ++incarnations[i]};
        settings.data_centre = "dc";
        settings.shards = 1;
        nodes[i] = std::make_unique<ownership>(settings, i);
    }

    // Ticks every host in `up`. Messages and log appends take effect immediately.
    void step(instant now, const std::vector<std::size_t>& up, bool log_up = true)
    {
        std::vector<listed_host> listed;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (!omitted.contains(i))
                listed.push_back({"h" + std::to_string(i + 1), "dc", "", "", false});
        for (const auto i : up)
        {
            nodes[i]->on_host_list({now.steady - list_age, now.wall}, now, listed);
            read(i, now, log_up);
            action_list out;
            ownership_events events;
            nodes[i]->on_tick(now, out, events);
            record_gains(i, events);
            deliver(i, now, out, up, log_up);
        }
        for (const auto i : up)
            read(i, now, log_up);
    }
    void run(std::int64_t from, std::int64_t to, const std::vector<std::size_t>& up,
             bool log_up = true)
    {
        for (auto ms = from; ms < to; ms += 10)
            step(at(ms), up, log_up);
    }
    void read(std::size_t i, instant now, bool log_up)
    {
        if (!log_up)
            return nodes[i]->on_log_reachable(now, false);
        log_page page{0, records.size(), {}};
        for (auto o = nodes[i]->next_offset(); o < records.size(); ++o)
            page.entries.push_back({o, records[o]});
        ownership_events events;
        nodes[i]->on_log_page(now, page, events);
        record_gains(i, events);
    }
    void deliver(std::size_t from, instant now, action_list& out,
                 const std::vector<std::size_t>& up, bool log_up)
    {
        const host_ref sender{"h" + std::to_string(from + 1), incarnations[from]};
        for (auto& action : out)
        {
            if (const auto* append = std::get_if<actions::append_log>(&action); append && log_up)
                records.push_back(append->data);
            const auto* message = std::get_if<actions::send_peer>(&action);
            if (message == nullptr)
                continue;
            for (const auto i : up)
            {
                if (message->host != "h" + std::to_string(i + 1))
                    continue;
                action_list replies;
                ownership_events events;
                if (message->message.has_heartbeat())
                    nodes[i]->on_heartbeat(now, sender, message->message.heartbeat(), replies,
                                           events);
                else
                    nodes[i]->on_heartbeat_ack(now, sender, message->message.heartbeat_ack());
                record_gains(i, events);
                deliver(i, now, replies, up, log_up);
            }
        }
    }
    void record_gains(std::size_t i, const ownership_events& events)
    {
        for (const auto& g : events.gained)
            gains.emplace_back(i, g);
    }
    std::vector<std::size_t> serving(std::int64_t ms) const
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            if (nodes[i]->may_serve(0, at(ms)))
                found.push_back(i);
        return found;
    }

    std::vector<std::unique_ptr<ownership>> nodes;
    std::map<std::size_t, std::uint64_t> incarnations; // of the running processes
    microseconds list_age{0};                          // from the list request to its answer
    std::set<std::size_t> omitted;                     // hosts missing from the platform's list
    std::vector<std::string> records;
    std::vector<std::pair<std::size_t, gained_shard>> gains;
};

} // namespace

BOOST_AUTO_TEST_CASE(one_host_claims_an_unowned_shard_and_its_grantor_takes_over_after_lease_expiry)
{
    test_cluster t(2);
    t.run(0, 3000, {0, 1});
    const auto owners = t.serving(3000);
    BOOST_REQUIRE_EQUAL(owners.size(), 1U);
    const auto owner = owners[0];
    const auto other = 1 - owner;
    BOOST_TEST((t.gains.at(0).second.reason == gain_reason::first));
    // The owner stops. No other host serves until its lease expires.
    for (std::int64_t ms = 3000; ms < 7000; ms += 10)
    {
        t.step(at(ms), {other});
        BOOST_TEST(t.serving(ms).size() <= 1U);
    }
    BOOST_TEST((t.serving(7000) == std::vector<std::size_t>{other}));
    BOOST_TEST((t.gains.back().second.reason == gain_reason::takeover));
    BOOST_TEST(t.gains.back().second.refusal_bound_known);
}

BOOST_AUTO_TEST_CASE(the_grantor_takes_over_directly_while_the_log_is_unreachable)
{
    test_cluster t(2);
    t.run(0, 3000, {0, 1});
    const auto owner = t.serving(3000).at(0);
    const auto other = 1 - owner;
    t.run(3000, 8000, {0, 1}, false);
    BOOST_TEST((t.serving(8000) == std::vector<std::size_t>{owner}));
    t.run(8000, 12000, {other}, false);
    BOOST_TEST((t.serving(12000) == std::vector<std::size_t>{other}));
    BOOST_TEST(t.nodes[other]->epoch_of(0).direct == 1U);
    // When the former owner and the log return, it does not serve, and learns of the new owner.
    t.run(12000, 16000, {0, 1});
    BOOST_TEST((t.serving(16000) == std::vector<std::size_t>{other}));
    BOOST_TEST(t.nodes[other]->may_transfer(0, at(16000)));
}

BOOST_AUTO_TEST_CASE(an_owner_replaces_a_dead_grantor_without_interrupting_service)
{
    test_cluster t(3);
    t.run(0, 3000, {0, 1, 2});
    const auto owner = t.serving(3000).at(0);
    const auto grantor = (owner + 1) % 3;
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < 3; ++i)
        if (i != grantor)
            up.push_back(i);
    for (std::int64_t ms = 3000; ms < 9000; ms += 10)
    {
        t.step(at(ms), up);
        BOOST_TEST((t.serving(ms) == std::vector<std::size_t>{owner}));
    }
}

BOOST_AUTO_TEST_CASE(a_refusal_bound_takes_effect_only_after_the_grantor_acknowledges_it)
{
    test_cluster t(2);
    t.run(0, 3000, {0, 1});
    auto& owner = *t.nodes[t.serving(3000).at(0)];
    BOOST_TEST(owner.acknowledged_refusal_bound(0).count() == 0);
    owner.request_refusal_bound(at(3000), 0, milliseconds{500});
    BOOST_TEST(owner.acknowledged_refusal_bound(0).count() == 0);
    t.run(3000, 3100, {0, 1});
    BOOST_TEST(owner.acknowledged_refusal_bound(0).count() == 500);
}

// Guards against a wrong "not refused" after a partition: the grantor received one heartbeat, then
// lost the connection, and the owner continued without it. The former grantor has no bound for the
// keys that the owner refused from then on.
BOOST_AUTO_TEST_CASE(a_former_grantor_that_takes_over_assumes_that_any_key_was_refused)
{
    test_cluster t(2);
    t.run(0, 3000, {0, 1});
    const auto owner = t.serving(3000).at(0);
    const auto other = 1 - owner;
    // Both hosts tick and read the log, but receive no messages from each other.
    for (std::int64_t ms = 3000; ms < 9000; ms += 10)
    {
        t.step(at(ms), {owner});
        t.step(at(ms), {other});
    }
    BOOST_REQUIRE((t.serving(9000) == std::vector<std::size_t>{owner}));
    BOOST_REQUIRE(t.nodes[owner]->acknowledged_refusal_bound(0) == milliseconds::max());
    t.restart(owner);
    t.run(9000, 13000, {0, 1});
    BOOST_REQUIRE((t.gains.back().second.reason == gain_reason::takeover));
    BOOST_TEST(!t.gains.back().second.refusal_bound_known);
}

// Guards against two owners: a host was down for longer than the maximum delay of the host list,
// has restarted and serves, but is not listed yet. The omission concerns its former process and
// does not prove that the new one has terminated.
BOOST_AUTO_TEST_CASE(an_omission_before_a_process_started_does_not_prove_it_terminated)
{
    test_cluster t(2);
    t.run(0, 3000, {0, 1});
    const auto restarted = t.serving(3000).at(0);
    const auto other = 1 - restarted;
    t.omitted = {restarted};
    t.run(3000, 36000, {other});
    BOOST_REQUIRE((t.serving(36000) == std::vector<std::size_t>{other}));
    t.restart(restarted);
    t.run(36000, 38000, {0, 1});
    t.run(38000, 39000, {0, 1}, false);
    // Without the log and partitioned from each other, only the grantor may take over.
    for (std::int64_t ms = 39000; ms < 45000; ms += 10)
    {
        t.step(at(ms), {restarted}, false);
        t.step(at(ms), {other}, false);
        BOOST_REQUIRE_LE(t.serving(ms).size(), 1U);
    }
    BOOST_TEST((t.serving(45000) == std::vector<std::size_t>{restarted}));
}

// A delayed host list shows which hosts were omitted when it was requested, not when it arrived.
BOOST_AUTO_TEST_CASE(a_delayed_host_list_counts_from_its_request)
{
    test_cluster t(2);
    t.run(0, 3000, {0, 1});
    const auto restarted = t.serving(3000).at(0);
    const auto other = 1 - restarted;
    t.omitted = {restarted};
    t.run(3000, 36000, {other});
    t.restart(restarted);
    t.run(36000, 61000, {0, 1});
    t.run(61000, 62000, {0, 1}, false);
    // The list includes the host from 66 s on; the last answer without it arrives just before 70 s.
    t.list_age = milliseconds{4000};
    for (std::int64_t ms = 62000; ms < 69500; ms += 10)
    {
        t.step(at(ms), {restarted}, false);
        t.step(at(ms), {other}, false);
        BOOST_REQUIRE_LE(t.serving(ms).size(), 1U);
    }
    BOOST_TEST((t.serving(69500) == std::vector<std::size_t>{restarted}));
}

// Guards against two owners: a grantor took over directly, transferred the shard through the log
// and died. The former owner knew nothing of this, and took the grantor's termination as permission
// to continue alone.
BOOST_AUTO_TEST_CASE(a_former_owner_does_not_resume_a_shard_that_its_grantor_transferred)
{
    test_cluster t(3);
    t.run(0, 3000, {0, 1, 2});
    const auto owner = t.serving(3000).at(0);
    const auto grantor = (owner + 1) % 3;
    const auto third = (owner + 2) % 3;
    t.run(3000, 4000, {0, 1, 2}, false);
    // The owner is partitioned. The grantor takes over, and then reaches the log again.
    const auto run_partitioned = [&](std::int64_t from, std::int64_t to, bool log_up)
    {
        for (auto ms = from; ms < to; ms += 10)
        {
            t.step(at(ms), {owner}, false);
            t.step(at(ms), {grantor, third}, log_up);
            BOOST_REQUIRE_LE(t.serving(ms).size(), 1U);
        }
    };
    run_partitioned(4000, 8000, false);
    BOOST_REQUIRE((t.serving(8000) == std::vector<std::size_t>{grantor}));
    BOOST_TEST(!t.nodes[grantor]->may_transfer(0, at(8000)));
    run_partitioned(8000, 10000, true);
    // The grantor dies; its next process reaches only the former owner. The third host reaches only
    // the log.
    t.restart(grantor);
    for (std::int64_t ms = 10000; ms < 16000; ms += 10)
    {
        t.step(at(ms), {owner, grantor}, false);
        t.step(at(ms), {third}, true);
        BOOST_REQUIRE_LE(t.serving(ms).size(), 1U);
    }
    // One host serves after the partition heals.
    t.run(16000, 20000, {0, 1, 2});
    BOOST_TEST(t.serving(20000).size() == 1U);
}

// Guards against two owners: a host had an open claim of its own when it read in the log that the
// shard was handed over to it. Its lease counts from a heartbeat that the new grantor acknowledged,
// not from its own claim, which did not win.
BOOST_AUTO_TEST_CASE(a_handover_gives_no_lease_from_the_receivers_own_claim)
{
    test_cluster t(2);
    t.run(0, 3000, {0, 1});
    const auto owner = t.serving(3000).at(0);
    const auto other = 1 - owner;
    const auto under = t.nodes[owner]->epoch_of(0);
    t.nodes[owner]->begin_handover(0);
    t.nodes[other]->on_memory_received(0, under);
    t.nodes[owner]->finish_handover(at(3000), 0, {"h" + std::to_string(other + 1), 1});
    // The hosts are partitioned, and the receiver loses the log before it reads of the handover.
    std::int64_t ms = 3000;
    const auto claims = t.nodes[other]->claims_made();
    for (; t.nodes[other]->claims_made() == claims; ms += 10)
    {
        BOOST_REQUIRE_LT(ms, 6000);
        t.step(at(ms), {owner}, true);
        t.step(at(ms), {other}, false);
    }
    // It reads the page that it requested before the former owner took the shard back.
    log_page page{0, t.records.size(), {}};
    for (std::size_t o = 0; o < t.records.size(); ++o)
        page.entries.push_back({o, t.records[o]});
    ownership_events events;
    t.nodes[other]->on_log_page(at(ms), page, events);
    BOOST_REQUIRE(t.nodes[other]->owned_by_self(0));
    BOOST_REQUIRE(!t.nodes[owner]->owned_by_self(0));
    for (; ms < 8000; ms += 10)
    {
        t.step(at(ms), {owner}, true);
        t.step(at(ms), {other}, false);
        BOOST_REQUIRE_LE(t.serving(ms).size(), 1U);
    }
    BOOST_TEST((t.serving(8000) == std::vector<std::size_t>{owner}));
}

// A heartbeat that was sent before the owner chose another grantor arrives late.
BOOST_AUTO_TEST_CASE(a_delayed_heartbeat_of_an_earlier_epoch_is_not_granted)
{
    test_cluster t(2);
    t.run(0, 3000, {0, 1});
    const auto owner = t.serving(3000).at(0);
    const auto other = 1 - owner;
    wire::PeerMessage late;
    auto& heartbeat = *late.mutable_heartbeat();
    heartbeat.set_sequence(1'000'000);
    auto& owned_shard = *heartbeat.add_owned();
    owned_shard.set_shard(0);
    owned_shard.set_renew(true);
    to_wire(t.nodes[owner]->epoch_of(0), *owned_shard.mutable_epoch());
    for (std::int64_t ms = 3000; ms < 9000; ms += 10)
    {
        t.step(at(ms), {owner});
        t.step(at(ms), {other});
    }
    action_list replies;
    ownership_events events;
    t.nodes[other]->on_heartbeat(at(9000), {"h" + std::to_string(owner + 1), 1}, heartbeat, replies,
                                 events);
    BOOST_TEST(replies.empty());
}

namespace
{

std::string publication(const std::string& id, std::uint64_t base, const std::string& yaml)
{
    return make_publication(id, "test", base, {*parse_objects(yaml, id), {}}).SerializeAsString();
}

log_page page_of(const std::vector<std::string>& records, std::uint64_t first)
{
    log_page page{first, records.size(), {}};
    for (auto o = first; o < records.size(); ++o)
        page.entries.push_back({o, records[o]});
    return page;
}

} // namespace

// Readers that start from the full log, from a snapshot after records aged out, or from a peer's
// state reach the same set of objects and the same revision.
BOOST_AUTO_TEST_CASE(all_config_readers_reach_the_same_state)
{
    std::mt19937_64 random(3);
    for (int round = 0; round < 50; ++round)
    {
        std::vector<std::string> records;
        config_follower writer;
        std::size_t snapshot_at = 0;
        for (int i = 0; i < 40; ++i)
        {
            if (i == 15)
            {
                // A publication is appended between reading the state and appending its snapshot.
                const auto snapshot = writer.snapshot().SerializeAsString();
                records.push_back(
                    publication("between", writer.revision(), "{kind: region, name: between}"));
                snapshot_at = records.size();
                records.push_back(snapshot);
            }
            const auto base =
                writer.revision() - std::min<std::uint64_t>(writer.revision(), random() % 4);
            const auto name = "r" + std::to_string(random() % 5);
            records.push_back(
                random() % 3 == 0
                    ? publication("p" + std::to_string(i), base,
                                  "{kind: data_centre, name: d" + name + ", region: " + name + "}")
                    : publication("p" + std::to_string(i), base,
                                  "{kind: region, name: " + name + "}"));
            writer.on_page(page_of(records, 0));
        }
        config_follower from_snapshot;
        const auto first = snapshot_at - 1;
        from_snapshot.on_page(page_of(records, first));
        from_snapshot.on_page(page_of(records, first));
        BOOST_TEST(from_snapshot.revision() == writer.revision());
        BOOST_TEST(difference(from_snapshot.current()->objects, writer.current()->objects).empty());
        config_follower from_peer;
        from_peer.on_state(writer.state());
        records.push_back(publication("last", writer.revision() - 1, "{kind: region, name: r1}"));
        writer.on_page(page_of(records, 0));
        from_peer.on_page(page_of(records, records.size() - 1));
        BOOST_TEST(from_peer.revision() == writer.revision());
        BOOST_TEST(!from_peer.on_state(from_snapshot.state()));
    }
}

BOOST_AUTO_TEST_CASE(a_conflicting_publication_reports_the_objects_that_clashed)
{
    config_follower reader;
    reader.on_page(page_of({publication("a", 0, "{kind: region, name: x}"),
                            publication("b", 0, "{kind: region, name: x}"),
                            publication("c", 1, "{kind: data_centre, name: d, region: none}")},
                           0));
    BOOST_TEST(reader.revision() == 1U);
    BOOST_TEST((reader.history()[1].verdict == publication_verdict::clashed));
    BOOST_TEST(reader.history()[1].objects.at(0) == "region x");
    BOOST_TEST((reader.history()[2].verdict == publication_verdict::not_valid));
    BOOST_TEST(reader.history()[2].detail.find("no region is named") != std::string::npos);
}

namespace
{

class always_open_gate : public start_gate
{
public:
    bool permit(std::uint32_t, instant now, start_permit& granted) const override
    {
        granted = {{1, 0}, now.steady + milliseconds{2000}, 1};
        return true;
    }
};

configuration_ptr one_worker_config()
{
    const auto objects = parse_objects(
        "{kind: region, name: r}\n---\n{kind: data_centre, name: dc, region: r}\n---\n"
        "{kind: executor_pool, name: p, data_centre: dc, address: 127.0.0.1, first_port: 1, "
        "memory: 1GiB}\n---\n{kind: service, name: s, repeatable: false}",
        "test");
    return std::make_shared<const configuration>(*build_configuration(*objects, 1));
}

// Returns the number of the first worker request of type `Request` in `out`, or 0 if there is none.
template <class Request>
std::uint64_t request_of(const action_list& out)
{
    for (const auto& action : out)
        if (const auto* ask = std::get_if<actions::send_worker_request>(&action))
            if (std::holds_alternative<Request>(ask->body))
                return ask->request;
    return 0;
}

} // namespace

// A result that is a duplicate, or belongs to another job, another task or an unknown start, is
// added to no job. Each is counted as a stray answer.
BOOST_AUTO_TEST_CASE(stray_misdirected_and_duplicate_results_are_counted_and_dropped)
{
    const always_open_gate gate;
    node_counters counters;
    dispatcher_settings settings;
    settings.self = {"h", 1};
    settings.data_centre = "dc";
    dispatcher sender(settings, gate, counters, 1);
    sender.configure(one_worker_config());
    std::vector<task_event> events;
    const auto answer = [&](std::uint64_t request, worker_answer received)
    {
        BOOST_REQUIRE(request != 0);
        sender.on_worker_answer(at(1), request, received, events);
    };
    action_list out;
    sender.on_tick(at(0), out);
    answer(request_of<lease_request>(out), lease_grant{7, 1, 8, 0, 10'000'000, 0});
    open_job job;
    job.id = {1, 2};
    job.service = "s";
    job.team = "t";
    job.deadline = milliseconds{5000};
    job.tasks.resize(2);
    job.unfinished = 2;
    sender.enqueue(job, at(1));
    out.clear();
    sender.pump(at(1), out);
    answer(request_of<start_batch>(out),
           start_reply{7, 0, 2, {start_verdict::accepted, start_verdict::accepted}});
    result_reply reply{7, 0, 0, {}};
    reply.lines.push_back({1, 1, job.tasks[0].sequence, {9, 9}, 0, task_end::done, 1, "other job"});
    reply.lines.push_back({2, 1, job.tasks[0].sequence, job.id, 1, task_end::done, 1, "crossed"});
    reply.lines.push_back({3, 1, 999, job.id, 0, task_end::done, 1, "no such start"});
    reply.lines.push_back({4, 1, job.tasks[0].sequence, job.id, 0, task_end::done, 1, "right"});
    reply.lines.push_back({4, 1, job.tasks[0].sequence, job.id, 0, task_end::done, 1, "doubled"});
    answer(request_of<result_request>(out), reply);
    BOOST_REQUIRE_EQUAL(events.size(), 1U);
    BOOST_TEST(events[0].output == "right");
    BOOST_TEST(events[0].task == 0U);
    BOOST_TEST(counters.answers_stray == 4U);
    BOOST_TEST(sender.outstanding() == 1U);
}

namespace
{

// A dispatcher with one worker. The test supplies the answers of the worker.
struct worker_fixture
{
    worker_fixture() : sender(settings(), gate, counters, 1)
    {
        sender.configure(one_worker_config());
        job.id = {1, 2};
        job.service = "s";
        job.team = "t";
        job.deadline = milliseconds{60000};
    }
    static dispatcher_settings settings()
    {
        dispatcher_settings result;
        result.self = {"h", 1};
        result.data_centre = "dc";
        return result;
    }
    // Grants the lease that the dispatcher requests at `ms`. Returns false if it requests none.
    bool grant(std::int64_t ms, std::uint64_t lease)
    {
        action_list out;
        sender.on_tick(at(ms), out);
        const auto request = request_of<lease_request>(out);
        if (request != 0)
            answer(ms, request, lease_grant{7, lease, 8, 0, 10'000'000, 0});
        return request != 0;
    }
    // Sends one more task of the job in a batch of its own. Returns the number of the request.
    std::uint64_t send(std::int64_t ms)
    {
        job.tasks.emplace_back();
        ++job.unfinished;
        sender.enqueue(job, at(ms));
        action_list out;
        sender.pump(at(ms), out);
        return request_of<start_batch>(out);
    }
    void answer(std::int64_t ms, std::uint64_t request, worker_answer received)
    {
        BOOST_REQUIRE(request != 0);
        sender.on_worker_answer(at(ms), request, received, events);
    }

    always_open_gate gate;
    node_counters counters;
    dispatcher sender;
    open_job job;
    std::vector<task_event> events;
};

} // namespace

// Guards against a task that waits for an answer for ever: two batches reach a worker after their
// lease expired there. The first refusal ends the lease; the second must still requeue its task.
BOOST_AUTO_TEST_CASE(every_refusal_under_an_expired_lease_requeues_its_task)
{
    worker_fixture fixture;
    BOOST_REQUIRE(fixture.grant(0, 1));
    fixture.job.tasks.reserve(2);
    const auto first = fixture.send(1);
    const auto second = fixture.send(2);
    fixture.answer(3, first, start_reply{7, 0, 0, {start_verdict::lease_lapsed}});
    fixture.answer(3, second, start_reply{7, 0, 0, {start_verdict::lease_lapsed}});
    BOOST_TEST(fixture.sender.outstanding() == 0U);
    BOOST_TEST((fixture.job.tasks[0].state == run_state::not_started));
    BOOST_TEST((fixture.job.tasks[1].state == run_state::not_started));
    BOOST_TEST(fixture.sender.queued() == 2U);
}

// A refusal under an earlier lease does not affect the lease that was granted since.
BOOST_AUTO_TEST_CASE(a_late_refusal_under_an_earlier_lease_keeps_the_current_one)
{
    worker_fixture fixture;
    BOOST_REQUIRE(fixture.grant(0, 1));
    fixture.job.tasks.reserve(2);
    const auto first = fixture.send(1);
    const auto second = fixture.send(2);
    fixture.answer(3, first, start_reply{7, 0, 0, {start_verdict::lease_lapsed}});
    BOOST_REQUIRE(fixture.grant(300, 2));
    fixture.answer(301, second, start_reply{7, 0, 0, {start_verdict::lease_lapsed}});
    BOOST_TEST(fixture.sender.workers().at(0)->lease == 2U);
    BOOST_TEST(fixture.sender.outstanding() == 0U);
}
