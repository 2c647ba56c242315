#ifndef EGRETLEDGE_IO_PLATFORM_CLIENT_HPP
#define EGRETLEDGE_IO_PLATFORM_CLIENT_HPP

// The platform's log and host list, and the workers, over HTTP. Callbacks run on a thread of the
// client's context.

#include "core/messages.hpp"
#include "io/http_client.hpp"

namespace egretledge
{

class platform_client
{
public:
    // `address` is the platform's IP:PORT.
    platform_client(http_client& http, std::string address);

    void append(const std::string& stream, std::string data,
                std::function<void(expected<std::uint64_t>)> done);
    void read(const std::string& stream, std::uint64_t from, milliseconds wait,
              std::function<void(expected<log_page>)> done);
    void hosts(std::function<void(expected<host_listing>)> done);
    void ask_worker(const std::string& address, const worker_question& request,
                    std::function<void(worker_answer)> done);

private:
    http_client& m_http;
    std::string m_address;
};

} // namespace egretledge

#endif
