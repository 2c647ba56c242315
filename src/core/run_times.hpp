#ifndef EGRETLEDGE_CORE_RUN_TIMES_HPP
#define EGRETLEDGE_CORE_RUN_TIMES_HPP

// Learns the actual run times of the tasks of each service. Declared run times are often far off,
// but by about the same factor within one service. The class therefore keeps the ratio of actual to
// declared run time as a moving average: one number per service. For tasks that declare none it
// keeps the actual time as well.
//
// A new service begins at the declared time, which counts as much as `prior_samples` runs, and one
// run changes an average by at most its weight times a factor of two. A single run or a single
// caller with an estimate of its own therefore decides nothing for the others. The trade-off: a
// factor of five is known only after some 20 runs.

#include "egretledge/types.hpp"
#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <string>

namespace egretledge
{

class run_times
{
public:
    // What is known of a service, and how well.
    struct figure
    {
        double ratio = 1;           // of actual to declared run time
        std::uint64_t samples = 0;  // runs that it was learned from
        microseconds learned_at{0}; // time of the latest run of the service
    };

    // Records that a task of `service` with a declared run time of `declared`, 0 if it declared
    // none, ran for `actual`.
    void learn(microseconds now, const std::string& service, milliseconds declared,
               microseconds actual);
    // Returns the expected run time of a task with a declared run time of `declared`. For a service
    // without records this is `declared`.
    milliseconds expect(microseconds now, const std::string& service, milliseconds declared) const;
    // Returns nothing if no run of the service has been recorded for `max_age`.
    std::optional<figure> find(microseconds now, const std::string& service) const;
    // Returns the figure with the highest ratio; nothing if there is none.
    std::optional<figure> highest(microseconds now) const;

    // A figure without new samples for this long is forgotten.
    static constexpr std::chrono::minutes max_age{5};

private:
    // A moving average of positive samples.
    struct average
    {
        double value = 1;
        std::uint64_t samples = 0;
        // `prior`: number of samples that the initial value counts as.
        void add(double sample, std::uint64_t prior);
    };
    struct record
    {
        average ratio;
        average time_us; // of tasks that declared no run time
        microseconds learned_at{0};
    };

    const record* find_record(microseconds now, const std::string& service) const;
    static figure figure_of(const record& known);
    void evict_expired(microseconds now);

    boost::unordered_flat_map<std::string, record> m_records;
    microseconds m_evicted_at{0};
};

} // namespace egretledge

#endif
