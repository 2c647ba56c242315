// The processor time of a host's rounds, and the index of holders that bounds it.

#include "pool/pool_host.hpp"
#include "tests/pool_helpers.hpp"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <ctime>
#include <random>

using namespace egretledge;
using namespace egretledge::pool;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t data_centre_count = 5;

std::string worker_name(std::uint32_t i)
{
    return "w" + std::to_string(1000 + i);
}

// A host that has heard all its peers, each of which holds its share of the workers, and then hears
// none. No worker answers.
class deaf_host
{
public:
    deaf_host(std::uint32_t peer_count, std::uint32_t worker_count)
        : m_host(
              []
              {
                  pool_host_settings settings;
                  settings.membership.self = {"h0", 1};
                  settings.membership.data_centre = "dc0";
                  settings.membership.address = "h0";
                  return settings;
              }())
    {
        worker_registry registry;
        for (std::uint32_t i = 0; i < worker_count; ++i)
        {
            worker_entry entry;
            entry.id = entry.address = worker_name(i);
            entry.service = "desk";
            entry.data_centre = "dc" + std::to_string(i % data_centre_count);
            entry.capacity = {16000, 32768, 0};
            registry.emplace(entry.id, entry);
        }
        m_host.set_registry(current(), registry, m_out);
        for (std::uint64_t sequence = 1; sequence <= 20; ++sequence)
        {
            for (std::uint32_t i = 0; i < peer_count; ++i)
                hear(i, peer_count, worker_count, sequence);
            tick();
        }
    }

    void begin_stop() { m_host.begin_stop(current(), m_out); }
    // Runs one round and returns its processor time.
    std::chrono::nanoseconds tick()
    {
        m_now += 40ms; // `assignment_interval`
        const auto start = processor_time();
        m_host.tick(current(), m_out);
        const auto time = processor_time() - start;
        m_out.clear();
        return time;
    }
    const pool_host& host() const { return m_host; }
    microseconds now() const { return m_now; }

private:
    static std::chrono::nanoseconds processor_time()
    {
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
    }
    instant current() const { return {m_now, std::chrono::duration_cast<milliseconds>(m_now)}; }
    void hear(std::uint32_t peer, std::uint32_t peer_count, std::uint32_t worker_count,
              std::uint64_t sequence)
    {
        wire::PeerMessage message;
        const auto name = "peer" + std::to_string(1000 + peer);
        message.mutable_from()->set_name(name);
        message.mutable_from()->set_incarnation(1);
        auto& heartbeat = *message.mutable_pool_beat();
        heartbeat.set_sequence(sequence);
        heartbeat.set_address(name);
        heartbeat.set_data_centre("dc" + std::to_string(peer % data_centre_count));
        heartbeat.set_settled(true);
        heartbeat.set_held_version(1);
        heartbeat.set_with_held(true);
        for (auto i = peer; i < worker_count; i += peer_count)
            heartbeat.add_held(worker_name(i));
        heartbeat.set_held_count(static_cast<std::uint32_t>(heartbeat.held_size()));
        m_host.on_peer(current(), message, m_out);
    }

    microseconds m_now{1000000};
    pool_host m_host;
    action_list m_out;
};

// Four deaf hosts: beside few or many peers, with few or many workers.
struct deployments
{
    deaf_host small{4, 96};
    deaf_host more_hosts{96, 96};
    deaf_host more_workers{4, 540};
    deaf_host large{96, 540};

    void tick_all(int rounds)
    {
        for (int i = 0; i < rounds; ++i)
            for (auto* test : {&small, &more_hosts, &more_workers, &large})
                test->tick();
    }
    // Returns the processor time of a round of `large` and `small` over that of `more_hosts` and
    // `more_workers`: 1 if a round costs f(hosts) + g(workers), whatever f and g are, and 4.6 if it
    // costs hosts x workers. The shortest round of each counts: the others send heartbeats, or were
    // interrupted.
    double joint_growth()
    {
        constexpr auto max = std::chrono::nanoseconds::max();
        auto shortest = std::array{max, max, max, max};
        constexpr int rounds = 100; // 4 s; the peers count as recent for 10 s
        for (int i = 0; i < rounds; ++i)
        {
            std::size_t n = 0;
            for (auto* test : {&small, &more_hosts, &more_workers, &large})
            {
                shortest[n] = std::min(shortest[n], test->tick());
                ++n;
            }
        }
        BOOST_TEST_MESSAGE("shortest round, ns: small " << shortest[0].count() << ", more hosts "
                                                        << shortest[1].count() << ", more workers "
                                                        << shortest[2].count() << ", large "
                                                        << shortest[3].count());
        return static_cast<double>((shortest[3] + shortest[0]).count()) /
               static_cast<double>((shortest[1] + shortest[2]).count());
    }
};

// The middle of 1 and 4.6 on a logarithmic scale, rounded down.
constexpr double max_joint_growth = 2;

} // namespace

// Guards against a livelock (incident LOST): a host short of processor time no longer heard its
// peers, and then used up its processor by looking for each awaited worker at each peer.
BOOST_AUTO_TEST_CASE(awaited_lists_of_silent_hosts_cost_no_look_at_each_host_for_each_worker)
{
    deployments tests;
    for (auto* test : {&tests.small, &tests.more_hosts, &tests.more_workers, &tests.large})
        test->begin_stop(); // acquires no worker
    tests.tick_all(50);
    BOOST_TEST_REQUIRE(tests.large.host().started().updates_awaited());
    BOOST_TEST_REQUIRE(tests.large.host().workers().held().empty());
    BOOST_TEST(tests.joint_growth() < max_joint_growth);
    BOOST_TEST(tests.large.host().started().updates_awaited());
}

// Guards against the same livelock: for each worker without a live holder, the host looked at each
// peer to decide whether it may acquire the worker on trial.
BOOST_AUTO_TEST_CASE(trials_of_silent_hosts_workers_cost_no_look_at_each_host_for_each_worker)
{
    deployments tests;
    tests.tick_all(50);
    const auto on_trial = [&]
    {
        const auto& host = tests.large.host();
        return host.hosts().partitioned(tests.large.now()) && host.workers().held().size() == 1;
    };
    BOOST_TEST_REQUIRE(on_trial());
    BOOST_TEST(tests.joint_growth() < max_joint_growth);
    BOOST_TEST(on_trial());
}

// Guards against wrong decisions after a restart, a removal or a change of name of a host: the
// index of holders must agree with what the hosts announce.
BOOST_AUTO_TEST_CASE(holders_agree_with_the_announcements_of_all_hosts)
{
    membership_settings settings;
    settings.self = {"h0", 1};
    settings.forget_timeout = 2000ms;
    membership hosts(settings);
    action_list out;
    std::mt19937_64 random(1);
    const auto below = [&](std::uint64_t limit) { return random() % limit; };
    std::uint64_t sequence = 0;
    std::size_t removed = 0;
    std::size_t compared = 0;
    for (std::int64_t ms = 1000; ms < 60000; ms += 20)
    {
        const auto known = hosts.all().size();
        hosts.tick(
            at_ms(ms), [] { return membership::announcement{}; }, out);
        removed += known > hosts.all().size() ? 1 : 0;
        const auto sender = below(8);
        // Each address is silent for several seconds in turn.
        if (sender / 2 != static_cast<std::uint64_t>(ms) / 5000 % 4)
        {
            wire::PoolBeat heartbeat;
            heartbeat.set_sequence(++sequence);
            // A host with another name at the same address replaces the former one.
            heartbeat.set_address("address" + std::to_string(sender / 2));
            heartbeat.set_with_held(below(3) != 0);
            for (std::uint32_t i = 0; i < 20; ++i)
                if (heartbeat.with_held() && below(4) == 0)
                    heartbeat.add_held(worker_name(i));
            // Of two names at one address, one is used for a second at a time.
            const auto name = sender / 2 * 2 + static_cast<std::uint64_t>(ms) / 1000 % 2;
            hosts.on_heartbeat(
                at_ms(ms),
                {"h" + std::to_string(1 + name), static_cast<std::uint64_t>(1 + ms / 2500)},
                heartbeat, out);
        }
        out.clear();
        for (std::uint32_t i = 0; i < 20; ++i)
        {
            std::vector<std::string> expected;
            for (const auto& [name, host] : hosts.all())
                if (host.held.contains(worker_name(i)))
                    expected.push_back(name);
            auto holders = hosts.holders(worker_name(i));
            std::sort(holders.begin(), holders.end());
            BOOST_REQUIRE(holders == expected);
            compared += expected.size();
        }
    }
    BOOST_TEST(removed > 0U);
    BOOST_TEST(compared > 0U);
}
