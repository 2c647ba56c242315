#ifndef EGRETLEDGE_POOL_EVACUATIONS_HPP
#define EGRETLEDGE_POOL_EVACUATIONS_HPP

// The data centres that the operator has evacuated: no task may start on their workers. The state
// is read from the store by each host and announced in heartbeats, so that a host which the store
// does not serve learns it from its peers. Its revision is the offset up to which the operator's
// topic was read, and the state with the highest revision is in force.

#include "pool/pool_types.hpp"
#include <functional>
#include <set>

namespace egretledge::pool
{

struct evacuation_settings
{
    // The time after the operator's request from which no task may start in the data centre; 0:
    // none is announced.
    milliseconds bound{0};
    // Remaining tasks of jobs that have begun may start for this long after this host learned of
    // the request: usual jobs end within it. At most `grace_share` of the bound, since the host may
    // learn late.
    milliseconds max_grace{1000};
    double grace_share = 0.2;
    // Where there is a bound, a host that has just started starts no task before it knows the
    // state, for at most this long: the time in which membership settles.
    milliseconds max_start_wait{1500};
};

struct evacuation_state
{
    std::uint64_t revision = 0;
    std::set<std::string> data_centres;
    bool operator==(const evacuation_state&) const = default;
};

class evacuations
{
public:
    explicit evacuations(evacuation_settings settings) : m_settings(settings) {}

    // Begins the wait for the state. Further calls have no effect.
    void begin(microseconds now);
    // Merges a state read from the store or announced by a peer. Returns true if the state became
    // known or its set of data centres changed.
    bool merge(microseconds now, const evacuation_state& state);
    // Returns null while the state is not known.
    const evacuation_state* state() const { return m_known ? &m_state : nullptr; }
    bool empty() const { return m_state.data_centres.empty(); }
    bool contains(const std::string& data_centre) const
    {
        return m_state.data_centres.contains(data_centre);
    }
    // Returns true while a host that has just started waits for the state.
    bool awaits_state(microseconds now) const;
    // Returns true if a task may start now on a worker of the data centre. `begun`: an earlier task
    // of its job has started.
    bool allows_start(const std::string& data_centre, bool begun, microseconds now) const;
    // Returns true if the request was received so long ago that no task may start any more.
    bool in_force(const std::string& data_centre, microseconds now) const;
    // Returns the time since this host learned of the request; 0 if there is none.
    microseconds age(const std::string& data_centre, microseconds now) const;
    // Appends the log lines that are due. A data centre that `exists` does not confirm is logged
    // once as unknown.
    void log_changes(microseconds now, const std::function<bool(const std::string&)>& exists,
                     action_list& out);

private:
    enum class stage : std::uint8_t
    {
        unlogged,
        unknown,
        requested,
        in_force
    };
    struct request
    {
        microseconds learned{0};
        stage logged = stage::unlogged;
    };
    microseconds grace() const;
    void log(const char* state, const std::string& data_centre, microseconds age,
             action_list& out) const;

    evacuation_settings m_settings;
    bool m_known = false;
    evacuation_state m_state;
    std::map<std::string, request> m_requests;   // of the data centres in `m_state`
    std::map<std::string, request> m_taken_back; // to be logged
    microseconds m_began{-1};
    bool m_wait_logged = false;
};

} // namespace egretledge::pool

#endif
