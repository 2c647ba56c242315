#ifndef EGRETLEDGE_IO_IP_PORT_HPP
#define EGRETLEDGE_IO_IP_PORT_HPP

// Addresses of the form IP:PORT, in settings and as other systems give them.

#include "egretledge/types.hpp"

namespace egretledge
{

struct ip_port
{
    std::string ip; // a numeric address
    std::uint16_t port = 0;
};

// Parses IP:PORT with a numeric IP address and a port from 1 to 65535. The error quotes the text,
// shortened.
expected<ip_port> parse_ip_port(const std::string& text);

} // namespace egretledge

#endif
