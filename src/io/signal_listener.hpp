#ifndef EGRETLEDGE_IO_SIGNAL_LISTENER_HPP
#define EGRETLEDGE_IO_SIGNAL_LISTENER_HPP

// Receives the process's stop and reload signals on a thread of its own. All other threads block
// them, so that no system call of another thread is interrupted: a thread that waits in ZeroMQ, or
// is in the middle of a message of several parts, would otherwise end or lose the rest of it.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <thread>

namespace egretledge
{

class signal_listener
{
public:
    // Blocks SIGTERM, SIGINT and SIGHUP in the calling thread, and thereby in the threads that it
    // starts from now on. To be made before them. Signals wait until start().
    signal_listener();
    // Stops, and restores the calling thread's signal mask.
    ~signal_listener();
    signal_listener(const signal_listener&) = delete;
    signal_listener& operator=(const signal_listener&) = delete;

    // Calls `on_signal` with the number of each signal that arrives, on the listener's thread.
    // Signals of the same number that arrive at about the same time may be reported once.
    void start(std::function<void(int)> on_signal);
    // Ends the listener's thread: `on_signal` is not called any more. The signals stay blocked.
    void stop();

private:
    void wait();

    sigset_t m_former_mask{};
    boost::asio::io_context m_context{1};
    boost::asio::signal_set m_signals{m_context};
    std::function<void(int)> m_on_signal;
    std::thread m_thread;
};

} // namespace egretledge

#endif
