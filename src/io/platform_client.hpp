#ifndef EGRETLEDGE_IO_PLATFORM_CLIENT_HPP
#define EGRETLEDGE_IO_PLATFORM_CLIENT_HPP

// Client of the platform's log and host list, and of the workers, over HTTP. Callbacks run on a
// thread of the http_client's context.

#include "core/messages.hpp"
#include "io/http_client.hpp"

namespace egretledge
{

class platform_client
{
public:
    // `address` is the platform's IP:PORT.
    platform_client(http_client& http, std::string address);

    // Appends one record to a stream and passes its offset to `done`.
    void append(const std::string& stream, std::string data,
                std::function<void(expected<std::uint64_t>)> done);
    // Reads the records of a stream from offset `from` on. If there are none yet, the platform
    // waits up to `wait` for one (long poll).
    void read(const std::string& stream, std::uint64_t from, milliseconds wait,
              std::function<void(expected<log_page>)> done);
    // Reads the list of hosts.
    void hosts(std::function<void(expected<host_listing>)> done);
    // Sends a request to the worker at `address`, which is IP:PORT.
    void send_worker_request(const std::string& address, const worker_request& request,
                             std::function<void(worker_answer)> done);

private:
    http_client& m_http;
    std::string m_address;
};

} // namespace egretledge

#endif
