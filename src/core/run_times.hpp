#ifndef EGRETLEDGE_CORE_RUN_TIMES_HPP
#define EGRETLEDGE_CORE_RUN_TIMES_HPP

// Learns the actual run times of the tasks of each service. Declared run times are often far off,
// but by about the same factor within one service. The class therefore keeps the ratio of actual to
// declared run time as an exponential moving average: one number per service.

#include "egretledge/types.hpp"
#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <string>

namespace egretledge
{

class run_times
{
public:
    // Records that a task of `service` with a declared run time of `declared` ran for `actual`.
    void learn(const std::string& service, milliseconds declared, microseconds actual)
    {
        const double expected_us = static_cast<double>(microseconds{declared}.count()) + 1;
        const double ratio =
            std::clamp(static_cast<double>(actual.count()) / expected_us, min_ratio, max_ratio);
        auto [entry, inserted] = m_ratios.try_emplace(service, ratio);
        if (!inserted)
            entry->second += learning_rate * (ratio - entry->second);
    }

    // Returns the expected run time of a task with a declared run time of `declared`. For a service
    // without records this is `declared`.
    milliseconds expect(const std::string& service, milliseconds declared) const
    {
        const auto entry = m_ratios.find(service);
        const double ratio = entry == m_ratios.end() ? 1.0 : entry->second;
        return milliseconds{
            static_cast<std::int64_t>(static_cast<double>(declared.count()) * ratio)};
    }

private:
    static constexpr double learning_rate = 0.05; // weight of the latest ratio in the average
    static constexpr double min_ratio = 0.01;
    static constexpr double max_ratio = 100;
    boost::unordered_flat_map<std::string, double> m_ratios;
};

} // namespace egretledge

#endif
