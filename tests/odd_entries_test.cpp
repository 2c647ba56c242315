// Entries among the workers' that another program wrote: none may end the process or stop it from
// following the others.

#include "io/peer_bus.hpp"
#include "tests/worker_store.hpp"
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::platform;

namespace
{

std::string entry_with(const std::string& field, const std::string& value)
{
    std::map<std::string, std::string> fields{{"service", R"("s")"},
                                              {"addr", R"("10.0.0.9:8080")"},
                                              {"zone", R"("z")"},
                                              {"state", R"("ready")"},
                                              {"capacity", R"({"cpu":16000,"mem_mb":32768})"}};
    fields[field] = value;
    std::string text;
    for (const auto& [name, content] : fields)
        text += (text.empty() ? "{\"" : ",\"") + name + "\":" + content;
    return text + "}";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string text_of(std::size_t size)
{
    return '"' + std::string(size, 'x') + '"';
}

// Follows the workers' topic until `done`, and returns the ids that are listed last.
std::set<std::string> follow(worker_store& store,
                             const std::function<bool(const std::set<std::string>&)>& done,
                             milliseconds limit = milliseconds{3000})
{
    const auto ids_of = [](const pool::worker_registry& registry)
    {
        std::set<std::string> ids;
        for (const auto& [id, entry] : registry)
            ids.insert(id);
        return ids;
    };
    return ids_of(follow_registry(
        store, [&](const pool::worker_registry& registry) { return done(ids_of(registry)); },
        limit));
}

const std::string good_entry = entry_with("born", "17");
const std::set<std::string> good_ids{"i-1", "i-2"};

bool has_good_ids(const std::set<std::string>& ids)
{
    return std::includes(ids.begin(), ids.end(), good_ids.begin(), good_ids.end());
}

} // namespace

// Guards against a process that ends when it sends a request to an address that is longer than a
// header field may be: the exception left the event loop, at each start again.
BOOST_AUTO_TEST_CASE(a_request_to_an_oversized_address_fails_alone)
{
    boost::asio::io_context context{1};
    http_client client(context, 2);
    http_call call;
    call.address = std::string(70'000, '9') + ":80";
    std::optional<expected<http_reply>> result;
    client.send(std::move(call), [&](expected<http_reply> reply) { result = std::move(reply); });
    BOOST_CHECK_NO_THROW(context.run_for(milliseconds{500}));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(!result->has_value());
}

// Guards against orders that go to another port than the entry names: 4294967376 was read as 80.
BOOST_AUTO_TEST_CASE(a_request_to_a_port_out_of_range_fails_at_once)
{
    boost::asio::io_context context{1};
    http_server server(context, {},
                       [](const http_request&, const http_responder& respond) {
                           respond({200, "{}", "application/json", 0});
                       });
    const auto port = std::uint64_t{server.port()};
    for (const auto& text :
         {std::to_string(port + 4'294'967'296), std::to_string(port) + "x", std::string("70000"),
          std::string("-1"), std::string(), std::string("0")})
    {
        http_client client(context, 2);
        http_call call;
        call.method = "GET";
        call.target = "/";
        call.address = "127.0.0.1:" + text;
        std::optional<expected<http_reply>> result;
        client.send(std::move(call),
                    [&](expected<http_reply> reply) { result = std::move(reply); });
        context.run_for(milliseconds{100});
        BOOST_REQUIRE_MESSAGE(result.has_value(), text);
        BOOST_TEST(!result->has_value(), text);
    }
}

// Guards against a process that ends when it is to connect to a host whose record is malformed, and
// against heartbeats that nobody can read since they name such a host.
BOOST_AUTO_TEST_CASE(an_odd_host_record_names_no_host)
{
    BOOST_TEST(decode_host(R"({"address":"tcp://10.0.0.1:7720","incarnation":5})").has_value());
    for (const char* address : {"10.0.0.1:7720", "tcp://10.0.0.1:70000", "tcp://10.0.0.1", "x://1",
                                "tcp://host.example:80", "tcp://10.0.0.1:80\n", ""})
        BOOST_TEST(!decode_host(std::string(R"({"incarnation":5,"address":")") + address + "\"}"),
                   address);
}

// Guards against a process that ends since no socket to a host can be made: the exception left the
// bus's thread.
BOOST_AUTO_TEST_CASE(a_host_that_cannot_be_connected_to_leaves_the_others_connected)
{
    std::atomic<int> received{0};
    peer_bus receiver({},
                      [&](const wire::PeerMessage&)
                      {
                          ++received;
                          return true;
                      });
    peer_bus sender({}, [](const wire::PeerMessage&) { return true; });
    sender.set_address("odd", "tcp://no such address");
    sender.set_address("other", "x://1");
    sender.set_address("good", receiver.endpoint());
    for (int i = 0; i < 400 && received == 0; ++i)
    {
        for (const char* host : {"odd", "other", "good"})
            sender.send(host, {});
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    BOOST_TEST(received > 0);
    BOOST_TEST(sender.dropped() > 0U);
}

// Guards against workers that are counted and called although their entry names no address, is
// larger than any executor's, or can't be passed on in a header.
BOOST_AUTO_TEST_CASE(an_odd_entry_names_no_worker)
{
    BOOST_TEST(decode_worker("i-1", good_entry).has_value());
    BOOST_TEST(decode_worker("i-1", entry_with("extra", nested(8))).has_value());
    const std::pair<const char*, std::string> odd_fields[] = {
        {"addr", R"("10.0.0.9:4294967376")"},
        {"addr", R"("10.0.0.9:80x")"},
        {"addr", R"("10.0.0.9:70000")"},
        {"addr", R"("10.0.0.9:0")"},
        {"addr", R"("10.0.0.9")"},
        {"addr", R"("host.example:80")"},
        {"addr", R"("10.0.0.9\r\nX: y:80")"},
        {"addr", text_of(70'000)},
        {"service", text_of(70'000)},
        {"zone", text_of(70'000)},
        {"labels", "[" + text_of(70'000) + "]"},
        {"extra", text_of(200'000)},
        {"extra", nested(5'000)},
        {"extra", nested(100'000)},
        {"capacity", R"({"cpu":1e400})"},
        {"capacity", R"({"cpu":1e999999999999})"},
        {"capacity", R"({"cpu":99999999999999999999})"},
        {"capacity", R"({"cpu":-16000})"},
        {"capacity", R"({"cpu":16000,"mem_mb":1e30})"},
        {"born", "1e300"},
        {"born", "-1"},
        {"born", "18446744073709551616"}};
    for (const auto& [field, value] : odd_fields)
        BOOST_TEST(!decode_worker("i-1", entry_with(field, value)).has_value(),
                   std::string(field) + "=" + value.substr(0, 40));
    for (const std::string id : {std::string("\xff\xfe"), std::string("a\r\nX-Other: 1"),
                                 std::string("a b"), std::string("\0x", 2), std::string()})
        BOOST_TEST(!decode_worker(id, good_entry).has_value());
}

// Guards against a list that is not followed any more since one of its keys is no UTF-8: the whole
// page was unreadable.
BOOST_AUTO_TEST_CASE(workers_are_followed_beside_keys_that_are_not_utf8)
{
    for (const std::string key :
         {std::string("\"\xff\xfe\""), std::string(R"("\udcff\udcfe")"), std::string(R"("\ud800")"),
          std::string("\"\xed\xa0\x80\""), std::string(R"("a\\\udcff")")})
    {
        worker_store store;
        store.page = page_of(
            {item(R"("i-1")", good_entry), item(key, good_entry), item(R"("i-2")", good_entry)});
        BOOST_TEST((follow(store, has_good_ids) == good_ids));
    }
}

// Guards against one odd entry that keeps the others from being followed, in the pages or among the
// records that follow.
BOOST_AUTO_TEST_CASE(workers_are_followed_beside_odd_entries)
{
    const std::string odd_values[] = {nested(100'000),
                                      entry_with("extra", nested(50'000)),
                                      entry_with("addr", text_of(200'000)),
                                      entry_with("capacity", R"({"cpu":1e400})"),
                                      entry_with("addr", R"("1.2.3.4:4294967376")"),
                                      "\xff\xfe",
                                      "",
                                      std::string(200'000, '{')};
    worker_store store;
    std::vector<std::string> items{item(R"("i-1")", good_entry)};
    std::string records = encode_record({"i-2", good_entry});
    int number = 0;
    for (const auto& value : odd_values)
    {
        const auto key = "odd-" + std::to_string(number++);
        items.push_back(item('"' + key + '"', value));
        records += encode_record({"later-" + key, value}) + encode_record({"\xff" + key, value});
    }
    items.emplace_back("7");
    items.emplace_back(R"({"key":9,"value":[]})");
    items.emplace_back(R"({"key":"i-9","value":"?"})");
    store.page = page_of(items);
    store.batch = records;
    BOOST_TEST((follow(store, has_good_ids) == good_ids));
}

// Guards against reads that begin anew at once and for ever, since a page ends with a record whose
// key says nothing about where the next one begins.
BOOST_AUTO_TEST_CASE(pages_that_do_not_advance_are_read_again_with_pauses)
{
    for (const char* key : {R"("")", "9", R"("i-1")"})
    {
        worker_store store;
        store.page = page_of({item(key, good_entry)}, true);
        follow(
            store, [](const auto&) { return false; }, milliseconds{400});
        BOOST_TEST(store.page_reads < 40U);
    }
}
