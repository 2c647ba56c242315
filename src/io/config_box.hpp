#ifndef EGRETLEDGE_IO_CONFIG_BOX_HPP
#define EGRETLEDGE_IO_CONFIG_BOX_HPP

// Holds the configuration in force for the threads that process requests. Uses read-copy-update: a
// reader takes no lock and sees the same revision throughout.
//
// Every thread that calls read() must own an rcu_thread for as long as it runs.

#include "egretledge/config.hpp"
#include <atomic>
#include <urcu/urcu-memb.h>

namespace egretledge
{

// Registers the current thread with liburcu for the lifetime of this object.
class rcu_thread
{
public:
    rcu_thread() { urcu_memb_register_thread(); }
    ~rcu_thread() { urcu_memb_unregister_thread(); }
    rcu_thread(const rcu_thread&) = delete;
    rcu_thread& operator=(const rcu_thread&) = delete;
};

class config_box
{
public:
    // Puts `next` in force and blocks until no reader uses the previous configuration. Must always
    // be called from the same thread.
    void publish(configuration_ptr next)
    {
        auto previous = std::move(m_held);
        m_held = std::move(next);
        m_current.store(m_held.get(), std::memory_order_release);
        urcu_memb_synchronize_rcu();
    }

    // Calls `callback` with the configuration in force, or with null before the first publish().
    // The callback must not retain the pointer and must not block.
    template <class Use>
    auto read(Use callback) const
    {
        urcu_memb_read_lock();
        struct unlock
        {
            ~unlock() { urcu_memb_read_unlock(); }
        } guard;
        return callback(m_current.load(std::memory_order_acquire));
    }

private:
    configuration_ptr m_held;
    std::atomic<const configuration*> m_current{nullptr};
};

} // namespace egretledge

#endif
