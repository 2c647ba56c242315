#include "io/peer_delivery.hpp"
#include "io/clocks.hpp"
#include <boost/asio/post.hpp>

namespace egretledge
{

peer_delivery::peer_delivery(boost::asio::io_context& context, peer_delivery_settings settings,
                             handler on_message, std::function<void()> resume_receiving)
    : m_context(context), m_settings(settings), m_handler(std::move(on_message)),
      m_resume_receiving(std::move(resume_receiving)), m_inbox(settings.inbox)
{
}

bool peer_delivery::push(wire::PeerMessage message)
{
    const std::lock_guard lock(m_mutex);
    m_inbox.push(std::move(message), read_clocks().steady);
    if (!std::exchange(m_scheduled, true))
        boost::asio::post(m_context, [this] { deliver_batch(); });
    m_paused = m_paused || m_inbox.full();
    return !m_paused;
}

void peer_delivery::deliver_batch()
{
    for (std::size_t handled = 0; handled < m_settings.max_batch; ++handled)
    {
        std::unique_lock lock(m_mutex);
        const auto message = m_inbox.take(read_clocks().steady);
        lock.unlock();
        if (!message)
            break;
        m_handler(*message);
    }
    bool resume = false;
    {
        const std::lock_guard lock(m_mutex);
        m_scheduled = !m_inbox.empty();
        // Posted rather than called: the events that are ready by now run first.
        if (m_scheduled)
            boost::asio::post(m_context, [this] { deliver_batch(); });
        resume = m_paused && m_inbox.may_resume();
        m_paused = m_paused && !resume;
    }
    if (resume)
        m_resume_receiving();
}

std::size_t peer_delivery::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_inbox.waiting();
}

microseconds peer_delivery::waiting_time(microseconds now) const
{
    const std::lock_guard lock(m_mutex);
    return now - m_inbox.next_arrival().value_or(now);
}

std::uint64_t peer_delivery::superseded() const
{
    const std::lock_guard lock(m_mutex);
    return m_inbox.superseded();
}

} // namespace egretledge
