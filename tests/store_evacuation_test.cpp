// Reading of the operator's evacuation requests from the store.

#include "io/edge_settings.hpp"
#include "io/http_server.hpp"
#include "platform/store_client.hpp"
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

using namespace egretledge;
using namespace egretledge::platform;

namespace
{

std::string base64(const std::string& text)
{
    constexpr const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3)
    {
        std::uint32_t bits = 0;
        for (std::size_t i = 0; i < 3; ++i)
            bits =
                bits << 8 | (at + i < text.size() ? static_cast<unsigned char>(text[at + i]) : 0);
        for (std::size_t i = 0; i < 4; ++i)
            result.push_back(at + i <= text.size() ? digits[bits >> (18 - 6 * i) & 63] : '=');
    }
    return result;
}

// A store whose operator's topic has these records. Those before `first` were deleted, except the
// newest of each key. A page has one key; a batch has all records.
struct topic_store
{
    boost::asio::io_context context{1};
    std::vector<keyed_record> records;
    std::uint64_t first = 0;
    std::size_t pages = 0;
    std::function<void()> on_page = [] {};
    http_server server{context, {}, [this](const http_request& request, http_responder respond) {
                           answer(request, std::move(respond));
                       }};

    static std::string number(std::uint64_t value)
    {
        std::string bytes;
        for (int shift = 56; shift >= 0; shift -= 8)
            bytes.push_back(static_cast<char>(value >> shift));
        return bytes;
    }
    void answer(const http_request& request, http_responder respond)
    {
        if (request.path == "/log-append")
            return respond({200, R"({"offset":0,"end":1})", "application/json", 0});
        const bool followed = request.query.find("keyed.op") != std::string::npos;
        if (request.path == "/log-newest")
        {
            if (!followed)
                return respond(
                    {200, R"({"items":[],"has_more":false,"end":0})", "application/json", 0});
            std::map<std::string, std::string> newest;
            for (const auto& record : records)
                if (record.value)
                    newest[record.key] = *record.value;
                else
                    newest.erase(record.key);
            const auto mark = request.query.find("after=");
            auto after = mark == std::string::npos ? std::string{} : request.query.substr(mark + 6);
            if (const auto slash = after.find("%2F"); slash != std::string::npos)
                after.replace(slash, 3, "/");
            const auto item = newest.upper_bound(after);
            std::string body = R"({"items":[)";
            const bool more = item != newest.end() && std::next(item) != newest.end();
            if (item != newest.end())
                body +=
                    R"({"key":")" + item->first + R"(","value":")" + base64(item->second) + R"("})";
            body += std::string(R"(],"has_more":)") + (more ? "true" : "false") + R"(,"end":)" +
                    std::to_string(records.size()) + "}";
            ++pages;
            respond({200, body, "application/json", 0});
            return on_page();
        }
        if (!followed)
            return respond({200, number(0) + number(0), "application/octet-stream", 0});
        const auto from = std::stoull(request.query.substr(request.query.find("from=") + 5));
        if (from < first)
            return respond({410, "", "application/json", 0});
        std::string body = number(records.size()) + number(first);
        for (auto offset = from; offset < records.size(); ++offset)
            body += encode_record(records[offset]);
        if (from < records.size())
            return respond({200, body, "application/octet-stream", 0});
        auto timer = std::make_shared<boost::asio::steady_timer>(context, milliseconds{10});
        timer->async_wait(
            [timer, respond, body](boost::system::error_code) {
                respond({200, body, "application/octet-stream", 0});
            });
    }
};

struct client_fixture
{
    topic_store store;
    http_client http{store.context, 4};
    std::vector<pool::evacuation_state> states;
    std::vector<std::string> warnings;
    std::unique_ptr<store_client> client;

    void start()
    {
        store_settings settings;
        settings.address = "127.0.0.1:" + std::to_string(store.server.port());
        settings.own_name = "edge-1";
        client = std::make_unique<store_client>(
            store.context, http, settings,
            store_client::callbacks{
                [](const pool::route_config&) {}, [](const pool::worker_registry&) {},
                [](const std::string&, const host_record&) { return true; },
                [](const std::string&) { return std::optional<microseconds>{}; },
                [this](bool warning, const std::string& text)
                {
                    // This store keeps no records of hosts.
                    if (warning && !text.starts_with("event=own_host_record_missing"))
                        warnings.push_back(text);
                },
                [](microseconds) {},
                [this](const pool::evacuation_state& state) { states.push_back(state); }});
        client->start();
    }
    // Runs until a state of this revision or a higher one was reported.
    void run_to(std::uint64_t revision)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds{10};
        while ((states.empty() || states.back().revision < revision) &&
               std::chrono::steady_clock::now() < limit)
            store.context.run_one_for(milliseconds{5});
        BOOST_REQUIRE(!states.empty());
        BOOST_REQUIRE(states.back().revision == revision);
    }
    // Runs for a few reads of the topic.
    void run_on() { store.context.run_for(milliseconds{60}); }
    ~client_fixture()
    {
        if (client)
            client->stop();
        store.context.run_for(milliseconds{20});
    }
    const std::set<std::string>& evacuated() const { return states.back().data_centres; }
};

using names = std::set<std::string>;

} // namespace

// Guards against a state that is reported before it is whole, or without its offset.
BOOST_AUTO_TEST_CASE(evacuations_are_reported_whole_with_the_offset_of_the_topic)
{
    client_fixture test;
    test.store.records = {{"evacuate/dc1", "{}"}, {"evacuate/dc2", "{}"}, {"other", "x"}};
    test.start();
    test.run_to(3);
    for (const auto& state : test.states)
        BOOST_TEST((state.data_centres == names{"dc1", "dc2"}));
    BOOST_TEST(test.store.pages == 3U);
    test.store.records.push_back({"evacuate/dc1", std::nullopt});
    test.run_to(4);
    BOOST_TEST((test.evacuated() == names{"dc2"}));
    // A request and its removal in one batch, and the other way round.
    test.store.records.push_back({"evacuate/dc3", R"({"by":"op"})"});
    test.store.records.push_back({"evacuate/dc3", std::nullopt});
    test.store.records.push_back({"evacuate/dc2", std::nullopt});
    test.store.records.push_back({"evacuate/dc2", "{}"});
    test.run_to(8);
    BOOST_TEST((test.evacuated() == names{"dc2"}));
    BOOST_TEST(test.warnings.empty());
}

// Guards against a request that is lost or kept for ever when the store forgets its history.
BOOST_AUTO_TEST_CASE(evacuations_are_read_anew_when_the_store_has_deleted_records)
{
    client_fixture test;
    test.store.records = {{"evacuate/dc1", "{}"}, {"evacuate/dc2", "{}"}};
    test.start();
    test.run_to(2);
    test.store.records.push_back({"evacuate/dc1", std::nullopt});
    test.store.records.push_back({"evacuate/dc3", "{}"});
    test.store.first = 4;
    test.run_to(4);
    BOOST_TEST((test.evacuated() == names{"dc2", "dc3"}));
    test.run_on();
    BOOST_TEST((test.evacuated() == names{"dc2", "dc3"}));
}

// Guards against a record that is appended while the pages are read: they are not a snapshot.
BOOST_AUTO_TEST_CASE(a_request_that_comes_while_the_pages_are_read_counts)
{
    client_fixture test;
    test.store.records = {{"evacuate/dc1", "{}"}, {"evacuate/dc5", "{}"}};
    test.store.on_page = [&]
    {
        if (test.store.pages != 1)
            return;
        test.store.records.push_back({"evacuate/dc0", "{}"});         // before the next page
        test.store.records.push_back({"evacuate/dc5", std::nullopt}); // on the next page
    };
    test.start();
    test.run_to(4);
    BOOST_TEST((test.evacuated() == names{"dc0", "dc1"}));
}

// Guards against bad records that evacuate, take back, or fill the log.
BOOST_AUTO_TEST_CASE(unusable_evacuation_records_are_logged_once_and_change_nothing)
{
    client_fixture test;
    test.store.records = {{"evacuate/dc1", "[]"}, {"evacuate/dc2", "{}"}};
    test.start();
    test.run_to(2);
    BOOST_TEST((test.evacuated() == names{"dc2"}));
    BOOST_TEST(test.warnings.size() == 1U);
    for (const char* value : {"1", "true", "{\"a\":"})
        test.store.records.push_back({"evacuate/dc2", value});
    test.store.records.push_back({"evacuate/", "{}"});
    test.store.records.push_back({"evacuated/dc4", "{}"}); // another key
    test.run_to(7);
    BOOST_TEST((test.evacuated() == names{"dc2"}));
    BOOST_TEST(test.warnings.size() == 5U);
    // The pages, read again, have the unusable record only. It has been logged, and the request
    // before it is still in force.
    test.store.records.push_back({"other", "x"});
    test.store.first = test.store.records.size();
    test.run_to(8);
    test.run_on();
    BOOST_TEST((test.evacuated() == names{"dc2"}));
    BOOST_TEST(test.warnings.size() == 5U);
    for (const auto& line : test.warnings)
        BOOST_TEST(line.find("event=evacuation_unreadable key=evacuate/") == 0U, line);
    test.store.records.push_back({"evacuate/dc2", std::nullopt});
    test.run_to(9);
    BOOST_TEST(test.evacuated().empty());
}

// Guards against a bound of zero, and against a process that a wrong bound keeps from starting.
BOOST_AUTO_TEST_CASE(the_evacuation_bound_may_be_empty_and_a_bad_one_is_replaced)
{
    const std::string others = "name: a\ndata_centre: z\ncallers: 1.2.3.4:1\nreadiness: 1.2.3.4:2\n"
                               "peers: tcp://1.2.3.4:3\nstore: 1.2.3.4:4\n";
    const auto read = [&](const std::string& line)
    {
        const auto settings = parse_edge_settings(others + line);
        BOOST_REQUIRE(settings);
        return *settings;
    };
    for (const char* none : {"", "evacuation_bound_ms:\n", "evacuation_bound_ms: \"\"\n"})
    {
        BOOST_TEST(read(none).evacuation_bound.count() == 0);
        BOOST_TEST(read(none).replaced.empty());
    }
    BOOST_TEST(read("evacuation_bound_ms: 3000\n").evacuation_bound.count() == 3000);
    for (const char* bad : {"0", "-5", "99999999", "soon", "[1]", ".nan"})
    {
        const auto settings = read(std::string("evacuation_bound_ms: ") + bad + "\n");
        BOOST_TEST(settings.evacuation_bound.count() == 5000, bad);
        BOOST_REQUIRE(settings.replaced.size() == 1U);
        BOOST_TEST(settings.replaced[0].find("setting=evacuation_bound_ms") == 0U);
    }
}
