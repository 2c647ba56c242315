#include "io/signal_listener.hpp"
#include "core/check.hpp"
#include <array>

namespace egretledge
{

namespace
{

constexpr std::array handled_signals{SIGTERM, SIGINT, SIGHUP};

sigset_t handled_set()
{
    sigset_t set;
    sigemptyset(&set);
    for (const int number : handled_signals)
        sigaddset(&set, number);
    return set;
}

} // namespace

signal_listener::signal_listener()
{
    const auto set = handled_set();
    EGRET_CHECK(::pthread_sigmask(SIG_BLOCK, &set, &m_former_mask) == 0,
                "the signal mask of a thread can be changed");
}

signal_listener::~signal_listener()
{
    stop();
    // m_signals still has its handlers, so that a signal that waits does not end the process.
    ::pthread_sigmask(SIG_SETMASK, &m_former_mask, nullptr);
}

void signal_listener::start(std::function<void(int)> on_signal)
{
    m_on_signal = std::move(on_signal);
    for (const int number : handled_signals)
        m_signals.add(number);
    wait();
    m_thread = std::thread(
        [this]
        {
            const auto set = handled_set();
            ::pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
            m_context.run();
        });
}

void signal_listener::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void signal_listener::wait()
{
    m_signals.async_wait(
        [this](boost::system::error_code code, int number)
        {
            if (code)
                return;
            m_on_signal(number);
            wait();
        });
}

} // namespace egretledge
