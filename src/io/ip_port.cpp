#include "io/ip_port.hpp"
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace egretledge
{

namespace
{

constexpr std::size_t max_quoted_bytes = 64; // longer than any valid address

} // namespace

expected<ip_port> parse_ip_port(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon != std::string::npos && text.size() <= max_quoted_bytes)
    {
        ip_port result{text.substr(0, colon)};
        const auto* last = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, last, result.port);
        boost::system::error_code code;
        boost::asio::ip::make_address(result.ip, code);
        if (parsed.ec == std::errc{} && parsed.ptr == last && result.port > 0 && !code)
            return result;
    }
    return tl::make_unexpected(
        error{error_kind::bad_input, "'" + text.substr(0, max_quoted_bytes) + "' is not IP:PORT"});
}

} // namespace egretledge
