// The records by which entry hosts find each other: those of replaced hosts are removed, and few
// hosts that were never heard are known at a time (review/8).

#include "io/http_server.hpp"
#include "platform/store_client.hpp"
#include "pool/membership.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::platform;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace
{

const std::string own_name = "edge-own";

host_record record_of(const std::string& name)
{
    return {"tcp://10.0.0.1:7720", name.size()};
}

// The records of a host, with what it hears of other hosts.
struct records_fixture
{
    host_records records;
    std::map<std::string, microseconds> heard; // the last time
    std::vector<std::string> introduced;
    std::size_t max_introduced = 1000;

    explicit records_fixture(std::size_t max_removals = 256)
        : records(host_records_settings{own_name, 60s, 10s, 10s, 120s, max_removals})
    {
    }
    void step(microseconds now)
    {
        records.observe(now,
                        [&](const std::string& name) -> std::optional<microseconds>
                        {
                            const auto known = heard.find(name);
                            if (known == heard.end() || now - known->second > 30s)
                                return std::nullopt;
                            return now - known->second;
                        });
        records.introduce(now,
                          [&](const std::string& name, const host_record&)
                          {
                              if (introduced.size() >= max_introduced)
                                  return false;
                              introduced.push_back(name);
                              return true;
                          });
    }
    // Runs from `from` to `to` in steps of 5 s, as the records are read.
    void run(microseconds from, microseconds to)
    {
        for (auto now = from; now <= to; now += 5s)
            step(now);
    }
};

// A store with the topic of the host records. It refuses a conditional write whose offset is not
// the topic's end.
struct hosts_store
{
    boost::asio::io_context context{1};
    std::vector<std::string> records;           // encoded
    std::map<std::string, std::string> newest;  // key -> value
    std::map<std::string, std::size_t> offsets; // of these
    std::vector<std::string> conditions;        // of conditional writes
    std::size_t refused = 0;                    // with 412
    std::function<void()> before_conditional;   // called before each conditional write
    http_server server{context,
                       {},
                       [this](const http_request& request, const http_responder& respond)
                       { respond(answer(request)); }};

    static std::string big_endian(std::uint64_t value)
    {
        const auto swapped = boost::endian::native_to_big(value);
        return {reinterpret_cast<const char*>(&swapped), sizeof(swapped)};
    }
    void append(const std::string& encoded)
    {
        const auto batch = decode_batch(std::string(16, '\0') + encoded);
        for (const auto& record : batch->records)
        {
            if (record.value)
            {
                newest[record.key] = *record.value;
                offsets[record.key] = records.size();
            }
            else
                newest.erase(record.key);
            records.push_back(encode_record(record));
        }
    }
    void append_host(const std::string& name)
    {
        append(encode_record({name, encode_host(record_of(name))}));
    }
    http_response answer(const http_request& request)
    {
        const bool hosts = request.query.find("keyed.egret-hosts") != std::string::npos;
        if (!hosts && request.path == "/log-newest")
            return {200, R"({"items":[],"has_more":false,"end":0})", "application/json", 0};
        if (!hosts)
            return {200, std::string(16, '\0'), "application/octet-stream", 0};
        if (request.path == "/log-append")
        {
            if (const auto at = request.query.find("&at="); at != std::string::npos)
            {
                if (before_conditional)
                    before_conditional();
                conditions.push_back(request.query.substr(at + 4));
                if (conditions.back() != std::to_string(records.size()))
                {
                    ++refused;
                    return {412, "{}", "application/json", 0};
                }
            }
            append(request.body);
            return {200, "{}", "application/json", 0};
        }
        if (request.path == "/log-newest")
        {
            json::array items;
            for (const auto& [key, value] : newest)
                items.push_back(json::object{
                    {"key", key}, {"value", base64(value)}, {"offset", offsets.at(key)}});
            return {200,
                    json::serialize(json::object{
                        {"items", items}, {"has_more", false}, {"end", records.size()}}),
                    "application/json", 0};
        }
        const auto from = request.query.find("from=") + 5;
        std::string body = big_endian(records.size()) + big_endian(0);
        for (auto i = std::stoull(request.query.substr(from)); i < records.size(); ++i)
            body += records[i];
        return {200, body, "application/octet-stream", 0};
    }
    static std::string base64(const std::string& text)
    {
        static const char* digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string result;
        for (std::size_t i = 0; i < text.size(); i += 3)
        {
            std::uint32_t bits = 0;
            for (std::size_t j = 0; j < 3; ++j)
                bits = bits << 8 |
                       (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
            for (std::size_t j = 0; j < 4; ++j)
                result.push_back(i + j <= text.size() ? digits[bits >> (18 - 6 * j) & 63] : '=');
        }
        return result;
    }
};

// Runs a client of the store that hears the hosts in `alive`, until `done` returns true or 10 s
// have passed. Its intervals are 20 ms, and a record is removed after 300 ms.
struct client_run
{
    std::vector<std::string> introduced;

    client_run(hosts_store& store, const std::set<std::string>& alive,
               const std::function<bool()>& done)
    {
        http_client http(store.context, 4);
        store_settings settings;
        settings.address = "127.0.0.1:" + std::to_string(store.server.port());
        settings.own_name = own_name;
        settings.own_record = record_of(own_name);
        settings.hosts_interval = 20ms;
        settings.host_removal_timeout = 300ms;
        settings.max_config_wait = 100ms;
        store_client client(store.context, http, settings,
                            {[](pool::route_config) {}, [](pool::worker_registry) {},
                             [this](const std::string& name, const host_record&)
                             {
                                 introduced.push_back(name);
                                 return true;
                             },
                             [&](const std::string& name) {
                                 return alive.contains(name) ? std::optional{microseconds{0}}
                                                             : std::nullopt;
                             },
                             [](bool, const std::string&) {}, [](microseconds) {}});
        client.start();
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!done() && std::chrono::steady_clock::now() < end)
            store.context.run_one_for(5ms);
        client.stop();
        store.context.run_for(20ms);
    }
};

} // namespace

// Guards against records that stay for good: after 1,050 replacements hosts did not find each
// other.
BOOST_AUTO_TEST_CASE(a_record_is_removable_once_its_host_was_not_heard_for_60_s)
{
    records_fixture test;
    test.records.set(own_name, record_of(own_name), 1);
    test.records.set("dead", record_of("dead"), 2);
    test.records.set("alive", record_of("alive"), 3);
    test.records.set("silenced", record_of("silenced"), 4);
    for (auto now = 0s; now <= 55s; now += 5s)
    {
        test.heard["alive"] = now;
        if (now <= 20s)
            test.heard["silenced"] = now;
        test.step(now);
    }
    BOOST_TEST(test.records.removable().empty());
    test.heard["alive"] = 60s;
    test.step(60s);
    BOOST_TEST(test.records.removable() == std::vector<std::string>{"dead"});
    for (auto now = 65s; now <= 95s; now += 5s)
    {
        test.heard["alive"] = now;
        test.step(now);
    }
    const std::vector<std::string> both{"dead", "silenced"};
    BOOST_TEST(test.records.removable() == both);
}

// Guards against the removal of all records by a host that was paused, or that the store did not
// answer: it has heard nobody for the whole time.
BOOST_AUTO_TEST_CASE(a_pause_of_this_process_does_not_make_other_hosts_records_removable)
{
    records_fixture test;
    test.records.set("other", record_of("other"), 1);
    test.heard["other"] = 0s;
    test.run(0s, 10s);
    test.step(200s);
    BOOST_TEST(test.records.removable().empty());
    test.heard["other"] = 201s;
    test.run(205s, 225s);
    BOOST_TEST(test.records.removable().empty());
}

// Guards against the removal of a record that its host has just written.
BOOST_AUTO_TEST_CASE(a_rewritten_record_is_kept_for_another_60_s)
{
    records_fixture test;
    test.records.set("other", record_of("other"), 1);
    test.run(0s, 60s);
    BOOST_REQUIRE(test.records.removable().size() == 1U);
    test.records.set("other", record_of("other"), 2);
    BOOST_TEST(test.records.removable().empty());
    test.step(65s);
    BOOST_TEST(test.introduced.size() == 2U);
    test.run(70s, 120s);
    BOOST_TEST(test.records.removable().empty());
}

// Guards against hosts that start at the same time and are introduced after all dead ones.
BOOST_AUTO_TEST_CASE(hosts_are_introduced_newest_first_and_no_dead_one_holds_up_the_others)
{
    records_fixture test;
    for (std::uint64_t i = 0; i < 500; ++i)
        test.records.set("h" + std::to_string(i), record_of("h" + std::to_string(i)), i);
    test.max_introduced = 100;
    test.step(0s);
    BOOST_REQUIRE(test.introduced.size() == 100U);
    BOOST_TEST(test.introduced.front() == "h499");
    BOOST_TEST(test.introduced.back() == "h400");
    test.max_introduced = 200;
    test.step(30s);
    BOOST_REQUIRE(test.introduced.size() == 200U);
    BOOST_TEST(test.introduced[100] == "h399");
    // A host that was not tried is not taken for replaced.
    test.run(35s, 80s);
    BOOST_TEST(test.records.removable().size() == 100U);
    BOOST_TEST(records_fixture(10).records.removable().empty());
}

BOOST_AUTO_TEST_CASE(one_write_removes_a_bounded_number_of_records)
{
    records_fixture test(10);
    for (std::uint64_t i = 0; i < 50; ++i)
        test.records.set("h" + std::to_string(i), record_of("h" + std::to_string(i)), i);
    test.run(0s, 60s);
    BOOST_TEST(test.records.removable().size() == 10U);
}

BOOST_AUTO_TEST_CASE(the_records_of_hosts_that_are_not_heard_are_removed_from_the_store)
{
    hosts_store store;
    for (const auto* name : {"dead-1", "alive", "dead-2"})
        store.append_host(name);
    const client_run run(store, {"alive"}, [&] { return store.newest.size() == 2; });
    BOOST_TEST(store.newest.contains("alive"));
    BOOST_TEST(store.newest.contains(own_name));
    BOOST_REQUIRE(!store.conditions.empty());
    BOOST_TEST(store.conditions[0] == "4"); // three records and this host's own
    BOOST_REQUIRE(run.introduced.size() == 2U);
    BOOST_TEST(run.introduced[0] == "dead-2");
    BOOST_TEST(run.introduced[1] == "dead-1");
}

// Guards against the removal of a record that was written after the last read.
BOOST_AUTO_TEST_CASE(a_record_written_during_its_removal_stays)
{
    hosts_store store;
    store.append_host("dead");
    store.append_host("returns");
    bool returned = false;
    store.before_conditional = [&]
    {
        if (!std::exchange(returned, true))
            store.append_host("returns");
    };
    std::set<std::string> alive;
    const client_run run(store, alive,
                         [&]
                         {
                             if (returned)
                                 alive.insert("returns");
                             return !store.newest.contains("dead");
                         });
    BOOST_TEST(store.refused == 1U);
    BOOST_TEST(store.newest.contains("returns"));
    BOOST_TEST(!store.newest.contains("dead"));
}

// Guards against a host that stays unknown because another one, which was cut off from it, has
// removed its record.
BOOST_AUTO_TEST_CASE(a_host_whose_record_is_missing_writes_it_anew)
{
    hosts_store store;
    bool removed = false;
    const client_run run(store, {},
                         [&]
                         {
                             if (!removed && store.newest.contains(own_name))
                             {
                                 removed = true;
                                 store.append(encode_record({own_name, std::nullopt}));
                             }
                             return removed && store.newest.contains(own_name);
                         });
    BOOST_TEST(removed);
    BOOST_TEST(store.newest.contains(own_name));
    BOOST_TEST(store.conditions.empty());
}

// Guards against a socket and heartbeats for each host that was replaced: at 1,023 sockets a host
// reached no further one.
BOOST_AUTO_TEST_CASE(at_most_256_hosts_that_were_never_heard_are_known_for_30_s)
{
    pool::membership_settings settings;
    settings.self = {"own", 1};
    settings.address = "tcp://own";
    pool::membership peers(settings);
    pool::action_list out;
    const auto introduce = [&](microseconds now, int first, int last)
    {
        bool all = true;
        for (int i = first; i < last; ++i)
            all =
                peers.introduce(now, "h" + std::to_string(i), "tcp://h" + std::to_string(i), out) &&
                all;
        return all;
    };
    const auto tick = [&](microseconds now)
    {
        peers.tick(
            now, [] { return pool::membership::announcement{}; }, out);
    };
    BOOST_TEST(introduce(1s, 0, 256));
    BOOST_TEST(!introduce(1s, 256, 300));
    BOOST_TEST(peers.all().size() == 256U);
    // Known hosts may be introduced again, and a host that is heard makes room.
    BOOST_TEST(introduce(2s, 0, 256));
    tick(2s);
    wire::PoolBeat heartbeat;
    heartbeat.set_sequence(1);
    heartbeat.set_address("tcp://h7");
    peers.on_heartbeat(3s, {"h7", 1}, heartbeat, out);
    BOOST_TEST(introduce(3s, 256, 257));
    BOOST_TEST(!introduce(3s, 257, 258));
    tick(31s);
    BOOST_TEST(peers.all().size() == 257U);
    tick(32s);
    BOOST_TEST(peers.all().size() == 2U); // h7 and h256
    BOOST_TEST(introduce(32s, 300, 555));
}

namespace
{

// Entry hosts that find each other by their records and heartbeats alone: the logic of each, and
// the topic of the records. Heartbeats arrive at once.
struct meeting_hosts
{
    struct host
    {
        pool::membership peers;
        host_records records;
    };
    std::map<std::string, std::unique_ptr<host>> hosts;
    std::vector<std::string> topic; // names, in the order of their records
    pool::action_list out;

    static std::string address_of(const std::string& name) { return "tcp://" + name; }
    // Starts a host, which writes its record.
    void start(const std::string& name)
    {
        pool::membership_settings settings;
        settings.self = {name, 1};
        settings.address = address_of(name);
        host_records_settings record_settings;
        record_settings.own_name = name;
        hosts[name] =
            std::make_unique<host>(host{pool::membership(settings), host_records(record_settings)});
        topic.push_back(name);
    }
    // Adds the records of `count` hosts that have been replaced.
    void add_dead(int count)
    {
        for (int i = 0; i < count; ++i)
            topic.push_back("dead-" + std::to_string(topic.size()));
    }
    // The host reads all records and introduces those that its table has room for.
    void read(microseconds now, const std::string& name)
    {
        auto& reader = *hosts.at(name);
        for (std::size_t offset = 0; offset < topic.size(); ++offset)
            reader.records.set(topic[offset], {address_of(topic[offset]), 1}, offset);
        reader.records.observe(now,
                               [&](const std::string& other) -> std::optional<microseconds>
                               {
                                   const auto* peer = reader.peers.find(other);
                                   if (peer == nullptr || peer->last_heard.count() < 0)
                                       return std::nullopt;
                                   return now - peer->last_heard;
                               });
        reader.records.introduce(now,
                                 [&](const std::string& other, const host_record& record) {
                                     return reader.peers.introduce(now, other, record.address, out);
                                 });
    }
    // Each host sends its heartbeats, and those to live hosts arrive.
    void beat(microseconds now)
    {
        for (auto& [name, sender] : hosts)
        {
            pool::action_list sent;
            sender->peers.tick(
                now, [] { return pool::membership::announcement{}; }, sent);
            for (const auto& action : sent)
                if (const auto* message = std::get_if<pool::actions::send_peer>(&action))
                    if (const auto to = hosts.find(message->host); to != hosts.end())
                        to->second->peers.on_heartbeat(now, {name, 1}, message->message.pool_beat(),
                                                       out);
        }
    }
    // Returns how many other hosts the host hears.
    std::size_t heard_by(const std::string& name, microseconds now) const
    {
        return hosts.at(name)->peers.count_alive(now);
    }
};

} // namespace

// Guards against hosts that do not find each other after a restart of all, since the records of
// replaced hosts came first and took all sockets (review/8).
BOOST_AUTO_TEST_CASE(hosts_that_restart_among_1050_dead_records_find_each_other_at_once)
{
    meeting_hosts test;
    test.add_dead(1050);
    std::vector<std::string> names;
    for (int i = 1; i <= 8; ++i)
    {
        // Each reads the records right after it has written its own, before the next one starts.
        names.push_back("edge-" + std::to_string(9000 + i));
        test.start(names.back());
        test.read(1s, names.back());
    }
    for (auto now = 1000ms; now <= 2000ms; now += 125ms)
        test.beat(now);
    for (const auto& name : names)
        BOOST_TEST(test.heard_by(name, 2s) == 7U);
}

// Guards against a new host that stays unknown for half a minute: the tables of the others were
// full of replaced hosts that were still being tried, and its own of newer records than theirs.
BOOST_AUTO_TEST_CASE(a_host_that_starts_after_300_replacements_is_found_at_the_next_read)
{
    meeting_hosts test;
    test.add_dead(1050);
    test.start("former");
    test.read(1s, "former");
    test.add_dead(300);
    test.start("new");
    test.read(4s, "new");
    for (auto now = 1000ms; now <= 6000ms; now += 125ms)
        test.beat(now);
    BOOST_REQUIRE(test.heard_by("former", 6s) == 0U);
    test.read(6s, "former");
    for (auto now = 6000ms; now <= 7000ms; now += 125ms)
        test.beat(now);
    BOOST_TEST(test.heard_by("former", 7s) == 1U);
    BOOST_TEST(test.heard_by("new", 7s) == 1U);
    BOOST_TEST(test.hosts.at("former")->peers.all().size() == 256U);
}
