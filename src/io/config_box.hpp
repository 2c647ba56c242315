#ifndef EGRETLEDGE_IO_CONFIG_BOX_HPP
#define EGRETLEDGE_IO_CONFIG_BOX_HPP

// The configuration in force, for the threads on a request's path: read-copy-update, so a reader
// takes no lock and sees one revision from start to end.
//
// Every thread that calls read() must hold an rcu_thread while it runs.

#include "egretledge/config.hpp"
#include <atomic>
#include <urcu/urcu-memb.h>

namespace egretledge
{

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
    // Puts `next` in force and waits until no reader uses the former one. One thread may call it.
    void publish(configuration_ptr next)
    {
        auto previous = std::move(m_held);
        m_held = std::move(next);
        m_current.store(m_held.get(), std::memory_order_release);
        urcu_memb_synchronize_rcu();
    }

    // Calls `callback` with the configuration in force, or with null before the first one.
    // `callback` must not keep the pointer and must not block.
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
