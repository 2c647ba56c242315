#ifndef EGRETLEDGE_IO_DAEMON_CONTEXTS_HPP
#define EGRETLEDGE_IO_DAEMON_CONTEXTS_HPP

#include <boost/asio/io_context.hpp>

namespace egretledge
{

// The two event queues of an entry daemon.
struct daemon_contexts
{
    boost::asio::io_context io; // sockets and timers of HTTP, on several threads
    // The decision logic, on one thread. Destroyed first: a call that waits in this queue owns its
    // connection, whose socket belongs to `io`.
    boost::asio::io_context logic{1};
};

} // namespace egretledge

#endif
