#ifndef EGRETLEDGE_CORE_RUN_TIME_TRIALS_HPP
#define EGRETLEDGE_CORE_RUN_TIME_TRIALS_HPP

// Corrects refusals that rest on learned run times. A job whose learned run time is longer than its
// caller waits is refused at once, and only jobs that run correct that figure: without trials a
// service that has learned too high a figure refuses its callers for good.
//
// A trial is such a job that runs all the same, on workers that are free, because its declared run
// time allows it. Each service has a few trials at a time: one at first, twice as many after each
// one that was served in time, and one again after each that was not, with a delay that doubles.
// Callers are thus served again within a few run times if the figure was too high. If it is right,
// a service wastes at most one run in each delay; the owner bounds the sum over all services by
// unproven().

#include "egretledge/types.hpp"
#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <string>

namespace egretledge
{

struct run_time_trial_settings
{
    // Delay between the end of a trial that was not served and the next trial of its service. It
    // doubles with each further one up to the maximum.
    milliseconds initial_delay{500};
    milliseconds max_delay{4000};
    // Trials of one service that may run at a time.
    std::uint32_t max_open = 64;
    // What is known of a service is forgotten after this time without a refusal or a trial.
    milliseconds record_lifetime{300000};
};

class run_time_trials
{
public:
    explicit run_time_trials(run_time_trial_settings settings = {}) : m_settings(settings) {}

    // Records that a job of `service` with a declared run time of `declared` is refused because of
    // its learned run time. Returns true if the service refused no such job before: it is closed
    // from now on.
    bool refuse(microseconds now, const std::string& service, milliseconds declared);
    // What a service refused while it was closed.
    struct closure
    {
        microseconds since{0};
        milliseconds declared{0}; // the shortest declared run time that was refused
        std::uint64_t refused = 0;
        std::uint64_t trials = 0;
        std::uint64_t served = 0; // trials that were served
    };
    // Records that the learned run time allows a job of this declared run time. Returns the closure
    // that this ends, if any.
    std::optional<closure> admit(const std::string& service, milliseconds declared);

    // Returns true if a trial of this service may begin.
    bool may_begin(microseconds now, const std::string& service) const;
    void begin(microseconds now, const std::string& service);
    // Ends a trial. `served`: its caller was answered in time.
    void end(microseconds now, const std::string& service, bool served);
    // Ends a trial whose outcome is not known here.
    void abandon(const std::string& service);

    // Number of trials that run now, of the services whose latest trial was not served or which had
    // none.
    std::size_t unproven() const { return m_unproven; }
    // Number of closed services.
    std::size_t closed() const { return m_closed; }

private:
    struct record
    {
        std::optional<closure> closed;
        std::uint32_t open = 0;
        std::uint32_t max_open = 1;
        bool proven = false;   // the latest trial was served
        milliseconds delay{0}; // after the latest trial; 0 if that one was served
        microseconds next_at{0};
        microseconds used_at{0};
    };

    // Takes one trial off those that run and returns the service's record.
    record& remove_open(const std::string& service);
    void evict_expired(microseconds now);

    run_time_trial_settings m_settings;
    boost::unordered_flat_map<std::string, record> m_records;
    microseconds m_evicted_at{0};
    std::size_t m_unproven = 0;
    std::size_t m_closed = 0;
};

} // namespace egretledge

#endif
