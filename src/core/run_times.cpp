#include "core/run_times.hpp"
#include <algorithm>

namespace egretledge
{

namespace
{

constexpr double min_weight = 0.05;        // of the latest sample in an average of many
constexpr std::uint64_t prior_samples = 4; // runs that the declared time counts as
// Bounds of a sample, relative to the average that it is added to.
constexpr double min_relative_sample = 0.5;
constexpr double max_relative_sample = 2;

} // namespace

void run_times::average::add(double sample, std::uint64_t prior)
{
    if (samples + prior == 0)
        value = sample;
    ++samples;
    const double weight = std::max(min_weight, 1.0 / static_cast<double>(samples + prior));
    value *=
        1 + weight * (std::clamp(sample / value, min_relative_sample, max_relative_sample) - 1);
}

void run_times::learn(microseconds now, const std::string& service, milliseconds declared,
                      microseconds actual)
{
    evict_expired(now);
    auto& known = m_records[service];
    known.learned_at = now;
    const auto actual_us = static_cast<double>(std::max<std::int64_t>(1, actual.count()));
    known.time_us.add(actual_us, 0);
    if (declared.count() > 0)
        known.ratio.add(actual_us / static_cast<double>(microseconds{declared}.count()),
                        prior_samples);
}

milliseconds run_times::expect(microseconds now, const std::string& service,
                               milliseconds declared) const
{
    const auto* known = find_record(now, service);
    if (known == nullptr)
        return declared;
    if (declared.count() > 0)
        return milliseconds{
            static_cast<std::int64_t>(static_cast<double>(declared.count()) * known->ratio.value)};
    return std::chrono::duration_cast<milliseconds>(
        microseconds{static_cast<std::int64_t>(known->time_us.value)});
}

std::optional<run_times::figure> run_times::find(microseconds now, const std::string& service) const
{
    const auto* known = find_record(now, service);
    return known == nullptr ? std::nullopt : std::optional{figure_of(*known)};
}

std::optional<run_times::figure> run_times::highest(microseconds now) const
{
    const record* best = nullptr;
    for (const auto& [service, known] : m_records)
        if (now - known.learned_at < max_age &&
            (best == nullptr || known.ratio.value > best->ratio.value))
            best = &known;
    return best == nullptr ? std::nullopt : std::optional{figure_of(*best)};
}

const run_times::record* run_times::find_record(microseconds now, const std::string& service) const
{
    const auto entry = m_records.find(service);
    return entry == m_records.end() || now - entry->second.learned_at >= max_age ? nullptr
                                                                                 : &entry->second;
}

run_times::figure run_times::figure_of(const record& known)
{
    return {known.ratio.value, known.ratio.samples, known.learned_at};
}

void run_times::evict_expired(microseconds now)
{
    if (now - m_evicted_at < max_age)
        return;
    m_evicted_at = now;
    boost::unordered::erase_if(m_records, [now](const auto& entry)
                               { return now - entry.second.learned_at >= max_age; });
}

} // namespace egretledge
