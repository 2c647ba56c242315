// Entries among the workers' that another program wrote: none may end the process or stop it from
// following the others.

#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "io/peer_bus.hpp"
#include "platform/store_client.hpp"
#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
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

std::string base64(const std::string& bytes)
{
    constexpr const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group =
                group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

std::string item(const std::string& key_in_json, const std::string& value)
{
    return R"({"key":)" + key_in_json + R"(,"value":")" + base64(value) + R"(","offset":1})";
}

std::string page_of(const std::vector<std::string>& items, bool more = false)
{
    std::string text = R"({"items":[)";
    for (const auto& row : items)
        text += (text.back() == '[' ? "" : ",") + row;
    return text + R"(],"has_more":)" + (more ? "true" : "false") + R"(,"end":9})";
}

// A store whose topic of workers has the given page of newest records, and later the given batch.
struct worker_store
{
    boost::asio::io_context context{1};
    std::string page = page_of({});
    std::string batch;
    std::size_t page_reads = 0;
    http_server server{context, {}, [this](const http_request& request, http_responder respond) {
                           answer(request, respond);
                       }};

    static std::string number(std::uint64_t value)
    {
        std::string bytes;
        for (int shift = 56; shift >= 0; shift -= 8)
            bytes.push_back(static_cast<char>(value >> shift));
        return bytes;
    }
    void answer(const http_request& request, const http_responder& respond)
    {
        const bool workers = request.query.find("keyed.servers") != std::string::npos;
        if (request.path == "/log-append")
            return respond({200, R"({"offset":0,"end":1})", "application/json", 0});
        page_reads += workers && request.path == "/log-newest" ? 1 : 0;
        if (request.path == "/log-newest")
            return respond({200, workers ? page : page_of({}), "application/json", 0});
        const auto records = workers ? std::exchange(batch, {}) : std::string{};
        if (!workers && request.query.find("wait_ms") != std::string::npos)
            return; // a long poll without an answer
        respond({200, number(99) + number(0) + records, "application/octet-stream", 0});
    }
};

// Follows the workers' topic until `done`, and returns the ids that are listed last.
std::set<std::string> follow(worker_store& store,
                             const std::function<bool(const std::set<std::string>&)>& done,
                             milliseconds limit = milliseconds{3000})
{
    std::set<std::string> ids;
    http_client http(store.context, 4);
    store_settings settings;
    settings.address = "127.0.0.1:" + std::to_string(store.server.port());
    settings.own_name = "edge-1";
    settings.workers_interval = milliseconds{20};
    settings.min_retry_delay = milliseconds{20};
    store_client client(store.context, http, settings,
                        {[](const pool::route_config&) {},
                         [&](const pool::worker_registry& workers)
                         {
                             ids.clear();
                             for (const auto& [id, entry] : workers)
                                 ids.insert(id);
                         },
                         [](const std::string&, const host_record&) { return true; },
                         [](const std::string&) { return std::optional<microseconds>{}; },
                         [](bool, const std::string&) {}, [](microseconds) {}});
    client.start();
    const auto begin = std::chrono::steady_clock::now();
    while (!done(ids) && std::chrono::steady_clock::now() - begin < limit)
        store.context.run_one_for(milliseconds{5});
    client.stop();
    store.context.run_for(milliseconds{20});
    return ids;
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

// Guards against tasks that start on a draining worker: the store carried out an older report of
// "ready" late, behind the report of "draining", and the worker counted as ready again.
BOOST_AUTO_TEST_CASE(a_report_that_the_store_writes_late_does_not_undo_draining)
{
    const auto entry = [](std::uint64_t start_time_ms, std::uint64_t report)
    {
        pool::worker_entry result;
        result.id = "i-1";
        result.start_time_ms = start_time_ms;
        result.report = report;
        return result;
    };
    const auto at = [](std::int64_t ms) { return microseconds{ms * 1000}; };
    report_order order;
    BOOST_TEST(order.accept(at(0), entry(100, 7)));
    BOOST_TEST(order.accept(at(100), entry(100, 9)));
    BOOST_TEST(!order.accept(at(4650), entry(100, 8)));
    BOOST_TEST(order.accept(at(5000), entry(100, 9))); // read again after a gap in the history
    BOOST_TEST(order.accept(at(5100), entry(200, 1))); // the worker has restarted
    BOOST_TEST(!order.accept(at(6000), entry(100, 10)));
    BOOST_TEST(order.accept(at(6100), entry(200, 2)));
    // Entries without a number, or of a restarted worker whose clock was set back.
    BOOST_TEST(order.accept(at(6200), entry(200, 0)));
    BOOST_TEST(!order.accept(at(6300), entry(50, 1)));
    BOOST_TEST(order.accept(at(17000), entry(50, 8)));
}

// Guards against an order of reports that is not applied to what the store returns.
BOOST_AUTO_TEST_CASE(an_entry_names_its_report)
{
    const auto entry = decode_worker("i-1", entry_with("seq", "12"));
    BOOST_REQUIRE(entry.has_value());
    BOOST_TEST(entry->report == 12U);
    BOOST_TEST(decode_worker("i-1", entry_with("seq", "\"x\""))->report == 0U);
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
