#ifndef EGRETLEDGE_TESTS_WORKER_STORE_HPP
#define EGRETLEDGE_TESTS_WORKER_STORE_HPP

// A stand-in for the topic of the workers' entries, for the source files of platform_test.

#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "platform/store_client.hpp"
#include <boost/asio/io_context.hpp>

namespace egretledge::platform
{

inline std::string base64(const std::string& bytes)
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

inline std::string item(const std::string& key_in_json, const std::string& value)
{
    return R"({"key":)" + key_in_json + R"(,"value":")" + base64(value) + R"(","offset":1})";
}

inline std::string page_of(const std::vector<std::string>& items, bool more = false)
{
    std::string text = R"({"items":[)";
    for (const auto& row : items)
        text += (text.back() == '[' ? "" : ",") + row;
    return text + R"(],"has_more":)" + (more ? "true" : "false") + R"(,"end":9})";
}

// A store whose topic of workers has the given page of newest records, and later the given batch.
// After `history_lost` is set, the next read finds that the history has been deleted.
struct worker_store
{
    boost::asio::io_context context{1};
    std::string page = page_of({});
    std::string batch;
    bool history_lost = false;
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
        if (workers && std::exchange(history_lost, false))
            return respond({410, R"({"first":9})", "application/json", 0});
        const auto records = workers ? std::exchange(batch, {}) : std::string{};
        if (!workers && request.query.find("wait_ms") != std::string::npos)
            return; // a long poll without an answer
        respond({200, number(99) + number(0) + records, "application/octet-stream", 0});
    }
};

// Follows the workers' topic until `done`, and returns the registry that was reported last.
inline pool::worker_registry
follow_registry(worker_store& store, const std::function<bool(const pool::worker_registry&)>& done,
                milliseconds limit = milliseconds{3000})
{
    pool::worker_registry registry;
    http_client http(store.context, 4);
    store_settings settings;
    settings.address = "127.0.0.1:" + std::to_string(store.server.port());
    settings.own_name = "edge-1";
    settings.workers_interval = milliseconds{20};
    settings.min_retry_delay = milliseconds{20};
    store_client client(store.context, http, settings,
                        {[](const pool::route_config&) {},
                         [&](const pool::worker_registry& workers) { registry = workers; },
                         [](const std::string&, const host_record&) { return true; },
                         [](const std::string&) { return std::optional<microseconds>{}; },
                         [](bool, const std::string&) {}, [](microseconds) {}});
    client.start();
    const auto begin = std::chrono::steady_clock::now();
    while (!done(registry) && std::chrono::steady_clock::now() - begin < limit)
        store.context.run_one_for(milliseconds{5});
    client.stop();
    store.context.run_for(milliseconds{20});
    return registry;
}

} // namespace egretledge::platform

#endif
