#ifndef EGRETLEDGE_CORE_SERVICE_VERDICTS_HPP
#define EGRETLEDGE_CORE_SERVICE_VERDICTS_HPP

// Distinguishes a faulty worker from a faulty job or service by the outcome of each worker's latest
// task of each service. Takes one byte per service and worker.

#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace egretledge
{

class service_verdicts
{
public:
    // Records the outcome of a task of `service` on the worker with index `worker`.
    void record(const std::string& service, std::uint32_t worker, bool success)
    {
        auto& outcomes = m_rows[service];
        if (outcomes.size() <= worker)
            outcomes.resize(worker + 1, verdict::none);
        outcomes[worker] = success ? verdict::ran : verdict::failed;
    }

    // Returns true if at least two workers, and at least half of those that have run the service,
    // failed it when they last ran it.
    bool fails_across_workers(const std::string& service) const
    {
        const auto outcomes = m_rows.find(service);
        if (outcomes == m_rows.end())
            return false;
        const auto failed =
            std::count(outcomes->second.begin(), outcomes->second.end(), verdict::failed);
        const auto ran = std::count(outcomes->second.begin(), outcomes->second.end(), verdict::ran);
        return failed >= 2 && failed >= ran;
    }

private:
    enum class verdict : std::uint8_t
    {
        none, // has not run the service
        ran,
        failed
    };
    boost::unordered_flat_map<std::string, std::vector<verdict>> m_rows;
};

} // namespace egretledge

#endif
