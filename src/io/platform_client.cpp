// Each call is one HTTP exchange; docs/PROTOCOLS.md lists the paths. A request to a worker that got
// no response is reported as timed_out, unless no byte of it was sent. After timed_out, the
// dispatcher must find out whether the request took effect.

#include "io/platform_client.hpp"
#include "io/codec.hpp"
#include "io/dump_json.hpp"

namespace egretledge
{

namespace
{

constexpr milliseconds request_timeout{1500};
constexpr unsigned first_error_status = 300;

struct append_reply
{
    std::uint64_t offset = 0;
};
BOOST_DESCRIBE_STRUCT(append_reply, (), (offset))

// Returns the body of a successful reply, or the error. A status of 300 or above is an error.
expected<std::string> body_of(expected<http_reply> reply)
{
    if (!reply)
        return tl::make_unexpected(reply.error());
    if (reply->status >= first_error_status)
        return tl::make_unexpected(
            error{error_kind::refused,
                  "status " + std::to_string(reply->status) + ": " + reply->body.substr(0, 200)});
    return std::move(reply->body);
}

} // namespace

platform_client::platform_client(http_client& http, std::string address)
    : m_http(http), m_address(std::move(address))
{
}

void platform_client::append(const std::string& stream, std::string data,
                             std::function<void(expected<std::uint64_t>)> done)
{
    http_call call;
    call.address = m_address;
    call.target = "/v1/streams/" + stream + "/records";
    call.body = std::move(data);
    call.content_type = "application/octet-stream";
    call.timeout = request_timeout;
    m_http.send(std::move(call),
                [done = std::move(done)](expected<http_reply> reply)
                {
                    const auto body = body_of(std::move(reply));
                    if (!body)
                        return done(tl::make_unexpected(body.error()));
                    done(
                        from_json<append_reply>(*body).map([](const auto& r) { return r.offset; }));
                });
}

void platform_client::read(const std::string& stream, std::uint64_t from, milliseconds wait,
                           std::function<void(expected<log_page>)> done)
{
    http_call call;
    call.address = m_address;
    call.method = "GET";
    call.target = "/v1/streams/" + stream + "/records?from=" + std::to_string(from) +
                  "&wait_ms=" + std::to_string(wait.count());
    call.timeout = request_timeout + wait;
    m_http.send(std::move(call),
                [done = std::move(done)](expected<http_reply> reply)
                {
                    const auto body = body_of(std::move(reply));
                    if (!body)
                        return done(tl::make_unexpected(body.error()));
                    done(page_from_json(*body));
                });
}

void platform_client::hosts(std::function<void(expected<host_listing>)> done)
{
    http_call call;
    call.address = m_address;
    call.method = "GET";
    call.target = "/v1/hosts";
    call.timeout = request_timeout;
    m_http.send(std::move(call),
                [done = std::move(done)](expected<http_reply> reply)
                {
                    const auto body = body_of(std::move(reply));
                    if (!body)
                        return done(tl::make_unexpected(body.error()));
                    done(listing_from_json(*body));
                });
}

void platform_client::send_worker_request(const std::string& address, const worker_request& request,
                                          std::function<void(worker_answer)> done)
{
    http_call call;
    call.address = address;
    call.target = std::string(path_of(request));
    call.body = request_to_json(request);
    call.timeout = request_timeout;
    if (const auto* poll = std::get_if<result_request>(&request))
        call.timeout += milliseconds{poll->wait_ms};
    m_http.send(std::move(call),
                [done = std::move(done), kind = request.index()](expected<http_reply> reply)
                {
                    const auto body = body_of(std::move(reply));
                    if (!body)
                        return done(body.error());
                    done(worker_answer_from_json(kind, *body));
                });
}

} // namespace egretledge
