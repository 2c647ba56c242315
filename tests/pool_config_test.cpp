// Configurations that hosts get from each other, because the platform's store does not answer them.

#include "pool/pool_host.hpp"
#include "tests/pool_helpers.hpp"
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::pool;
using namespace std::chrono_literals;

namespace
{

// Entry hosts that exchange messages. Each host handles the messages that it received after a delay
// of its own, as a host does whose processor or link is slow.
class host_group
{
public:
    explicit host_group(std::uint32_t count)
    {
        for (std::uint32_t i = 0; i < count; ++i)
        {
            pool_host_settings settings;
            settings.membership.self = {name_of_host(i), 1};
            settings.membership.data_centre = "dc" + std::to_string(i % 3);
            settings.membership.address = name_of_host(i);
            m_members.emplace_back().host = std::make_unique<pool_host>(settings);
            for (std::uint32_t other = 0; other < count; ++other)
                m_members.back().host->introduce(current(), name_of_host(other),
                                                 name_of_host(other), m_out);
            deliver(i);
        }
    }

    void set_delay(std::uint32_t host, milliseconds delay) { m_members[host].delay = delay; }
    void set_config(std::uint32_t host, std::uint64_t version)
    {
        auto config = std::make_shared<route_config>();
        config->version = version;
        config->published = std::to_string(version);
        m_members[host].host->set_config(current(), config, m_out);
        deliver(host);
    }
    std::uint64_t version(std::uint32_t host) const
    {
        const auto& config = m_members[host].host->config();
        return config ? config->version : 0;
    }
    // Returns how many copies of a configuration were sent to the host, received or not.
    std::size_t copies_sent_to(std::uint32_t host) const { return m_members[host].copies; }
    // Returns the most copies that the host sent within 300 ms.
    std::size_t max_copies_sent_by(std::uint32_t host) const
    {
        const auto& times = m_members[host].copies_sent_at;
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last)
        {
            while (times[last] - times[first] > 300ms)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }
    // Loses all messages to and from the host.
    void cut(std::uint32_t host, bool is_cut) { m_members[host].is_cut = is_cut; }
    // Loses the copies that the host sends from now on.
    void lose_copies_of(std::uint32_t host) { m_members[host].loses_copies = true; }
    // Returns how many requests for its configuration the host was sent.
    std::size_t requests_sent_to(std::uint32_t host) const { return m_members[host].requests; }
    void run_for(milliseconds time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += 20ms)
            for (std::uint32_t i = 0; i < m_members.size(); ++i)
            {
                m_members[i].host->tick(current(), m_out);
                deliver(i);
                receive(i);
            }
    }

private:
    struct member
    {
        std::unique_ptr<pool_host> host; // components of a host refer to each other
        std::deque<std::pair<microseconds, wire::PeerMessage>> inbox; // with the time of arrival
        milliseconds delay{0};
        std::size_t copies = 0;
        std::size_t requests = 0;
        std::vector<microseconds> copies_sent_at;
        bool is_cut = false;
        bool loses_copies = false;
    };

    static std::string name_of_host(std::uint32_t i) { return "h" + std::to_string(100 + i); }
    instant current() const { return {m_now, std::chrono::duration_cast<milliseconds>(m_now)}; }
    void deliver(std::uint32_t from)
    {
        for (auto& action : std::exchange(m_out, {}))
            if (auto* sent = std::get_if<actions::send_peer>(&action))
                for (std::uint32_t to = 0; to < m_members.size(); ++to)
                    if (name_of_host(to) == sent->host && to != from)
                        deliver_message(m_members[from], m_members[to], std::move(sent->message));
    }
    void deliver_message(member& from, member& to, wire::PeerMessage message) const
    {
        const bool copy = message.has_pool_config() && !message.pool_config().busy();
        if (copy)
        {
            ++to.copies;
            from.copies_sent_at.push_back(m_now);
        }
        to.requests += message.has_pool_config_request() ? 1 : 0;
        if (!from.is_cut && !to.is_cut && !(copy && from.loses_copies))
            to.inbox.emplace_back(m_now, std::move(message));
    }
    void receive(std::uint32_t to)
    {
        auto& host = *m_members[to].host;
        auto& inbox = m_members[to].inbox;
        while (!inbox.empty() && inbox.front().first + m_members[to].delay < m_now)
        {
            const auto message = std::move(inbox.front().second);
            inbox.pop_front();
            if (host.on_peer(current(), message, m_out))
                set_config(to, message.pool_config().version());
            deliver(to);
        }
    }

    microseconds m_now{1000000};
    std::vector<member> m_members;
    action_list m_out;
};

} // namespace

// Guards against memory over the limit (incident LOST): every host sent its configuration with each
// heartbeat to every host that had not announced it yet.
BOOST_AUTO_TEST_CASE(a_slow_host_is_sent_few_copies_of_a_new_configuration)
{
    constexpr std::uint32_t host_count = 20;
    constexpr std::uint32_t slow_host = 0;
    host_group hosts(host_count);
    for (std::uint32_t i = 0; i < host_count; ++i)
        hosts.set_config(i, 1);
    hosts.run_for(1s);
    hosts.set_delay(slow_host, 1s);
    for (std::uint32_t i = 1; i < host_count; ++i)
        hosts.set_config(i, 2);
    hosts.run_for(4s);
    BOOST_TEST(hosts.version(slow_host) == 2U);
    // One at a time: a second one is on its way after `initial_retry_interval`, a third after twice
    // that time more.
    BOOST_TEST(hosts.copies_sent_to(slow_host) <= 3U);
}

// Guards against the same for hosts that return all at once: each of them was sent as many copies
// as there were hosts that had read the store, which serves the last one 0.7 s after the first.
BOOST_AUTO_TEST_CASE(hosts_that_the_store_serves_are_sent_no_configuration)
{
    constexpr std::uint32_t host_count = 12;
    host_group hosts(host_count);
    hosts.run_for(500ms);
    for (std::uint32_t i = 0; i < host_count; ++i)
    {
        hosts.set_config(i, 1);
        hosts.run_for(60ms);
    }
    hosts.run_for(1s);
    for (std::uint32_t i = 0; i < host_count; ++i)
        BOOST_TEST(hosts.copies_sent_to(i) == 0U);
}

// Guards against configurations that take effect late, and against a host that is silent for its
// peers while it sends them copies: one host had the configuration, and all others asked it.
BOOST_AUTO_TEST_CASE(hosts_without_the_store_get_a_new_configuration_within_two_seconds)
{
    constexpr std::uint32_t host_count = 37;
    host_group hosts(host_count);
    for (std::uint32_t i = 0; i < host_count; ++i)
        hosts.set_config(i, 1);
    hosts.run_for(1s);
    hosts.set_config(7, 2);
    hosts.run_for(2s); // the shortest config_bound_ms
    for (std::uint32_t i = 0; i < host_count; ++i)
    {
        BOOST_TEST(hosts.version(i) == 2U);
        BOOST_TEST(hosts.copies_sent_to(i) <= 2U);
        BOOST_TEST(hosts.max_copies_sent_by(i) <= 12U);
    }
}

// A peer that does not answer its request, for example because it is slow, must not be the only one
// that is asked.
BOOST_AUTO_TEST_CASE(another_peer_is_asked_if_the_first_one_does_not_answer)
{
    constexpr std::uint32_t host_count = 4;
    host_group hosts(host_count);
    for (std::uint32_t i = 0; i < host_count; ++i)
        hosts.set_config(i, 1);
    hosts.run_for(1s);
    // Host 3 is in the data centre of host 0, which therefore asks it first.
    hosts.set_delay(3, 10s);
    for (std::uint32_t i = 1; i < host_count; ++i)
        hosts.set_config(i, 2);
    hosts.run_for(3s);
    BOOST_TEST(hosts.version(0) == 2U);
}

// Guards against a host that asks one peer for ever: it forgot whom it had asked whenever no peer
// was heard for a moment, and the same peer came first again.
BOOST_AUTO_TEST_CASE(the_other_peers_are_asked_after_a_silence_too)
{
    constexpr std::uint32_t host_count = 7;
    for (std::uint32_t sound = 1; sound < host_count; ++sound)
    {
        host_group hosts(host_count);
        for (std::uint32_t i = 0; i < host_count; ++i)
            hosts.set_config(i, 1);
        hosts.run_for(1s);
        for (std::uint32_t i = 1; i < host_count; ++i)
        {
            hosts.set_config(i, 2);
            if (i != sound)
                hosts.lose_copies_of(i);
        }
        for (int i = 0; i < 20 && hosts.version(0) != 2; ++i)
        {
            hosts.run_for(1200ms);
            hosts.cut(0, true);
            hosts.run_for(600ms);
            hosts.cut(0, false);
        }
        BOOST_TEST(hosts.version(0) == 2U);
        // No peer is asked again before all others have been asked.
        std::size_t least = hosts.requests_sent_to(1);
        std::size_t most = least;
        for (std::uint32_t i = 1; i < host_count; ++i)
        {
            least = std::min(least, hosts.requests_sent_to(i));
            most = std::max(most, hosts.requests_sent_to(i));
        }
        BOOST_TEST(most <= least + 1);
    }
}
