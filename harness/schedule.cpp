// A schedule has three phases:
//   - The hosts start, then load and faults run for some seconds.
//   - All faults end, terminated processes restart, and the system has time to recover.
//   - Each host gets one new probe job per data centre, which must complete.
// The whole run is checked for safety, and its last phase for recovery.

#include "harness/schedule.hpp"
#include "core/wire.hpp"
#include "harness/schedule_digest.hpp"

namespace egretledge::harness
{

namespace
{

// Time for the hosts to start and claim their shards.
constexpr microseconds startup_time = milliseconds{4000};
constexpr microseconds load_duration = milliseconds{12000};
// The longest time that a shard may stay without an owner after all faults have ended: the lag of
// the host list, a lease and a claim.
constexpr microseconds recovery_time = milliseconds{16000};

class schedule
{
public:
    schedule(std::uint64_t seed, injected_defect defect, bool trace)
        : m_random(seed * 2654435761ULL + 1), m_simulation(make_settings(seed, defect))
    {
        m_simulation.trace(trace);
    }

    schedule_result run()
    {
        m_simulation.run_for(startup_time);
        plan_load();
        plan_faults();
        m_simulation.run_for(load_duration);
        end_faults();
        m_simulation.run_for(recovery_time);
        const auto probes = probe();
        m_simulation.run_for(milliseconds{9000});
        evaluate(probes);
        return m_result;
    }

private:
    std::uint64_t pick(std::uint64_t min_value, std::uint64_t max_value)
    {
        return std::uniform_int_distribution<std::uint64_t>(min_value, max_value)(m_random);
    }
    microseconds pick_time() { return m_simulation.now() + milliseconds{pick(0, 11500)}; }
    template <class T>
    const T& pick_one(const std::vector<T>& values)
    {
        return values[pick(0, values.size() - 1)];
    }

    simulation_settings make_settings(std::uint64_t seed, injected_defect defect)
    {
        simulation_settings settings;
        settings.seed = seed;
        settings.host_list_lag = milliseconds{5000};
        settings.unsafe_workers = defect == injected_defect::workers_ignore_fences;
        const auto centres = pick(1, 2);
        for (std::uint64_t c = 0; c < centres; ++c)
        {
            centre_plan centre;
            centre.name = "dc" + std::to_string(c + 1);
            const auto hosts = pick(1, 3);
            for (std::uint64_t h = 0; h < hosts; ++h)
                centre.hosts.push_back(centre.name + "-h" + std::to_string(h + 1));
            centre.workers = static_cast<std::uint32_t>(pick(1, 3));
            m_digest.add(std::uint64_t{hosts});
            m_digest.add(std::uint64_t{centre.workers});
            settings.centres.push_back(centre);
            m_centres.push_back(centre.name);
        }
        if (pick(0, 2) == 0)
            settings.loss = 0.02;
        if (pick(0, 2) == 0)
            settings.duplicates = 0.05;
        m_digest.add_real(settings.loss);
        m_digest.add_real(settings.duplicates);
        return settings;
    }

    wire::Job make_job()
    {
        wire::Job job;
        job.set_service(pick(0, 2) == 0 ? "repeat" : "once");
        if (pick(0, 2) == 0)
            job.set_deadline_ms(static_cast<std::uint32_t>(pick(300, 6000)));
        const auto tasks = pick(1, 6);
        const bool failing = pick(0, 11) == 0;
        for (std::uint64_t i = 0; i < tasks; ++i)
        {
            auto& task = *job.add_tasks();
            task.set_payload((failing && i == 0 ? "fail" : "p") + std::to_string(pick(0, 999999)));
            const bool is_long = pick(0, 9) == 0;
            task.set_size_ms(static_cast<std::uint32_t>(is_long ? pick(500, 3000) : pick(10, 300)));
            m_digest.add(task.payload());
            m_digest.add(std::uint64_t{task.size_ms()});
        }
        m_digest.add(job.service());
        m_digest.add(std::uint64_t{job.deadline_ms()});
        return job;
    }

    void plan_load()
    {
        const auto jobs = pick(10, 40);
        for (std::uint64_t j = 0; j < jobs; ++j)
        {
            const auto job = make_job();
            const auto first = pick_time();
            const auto nonce = "n" + std::to_string(j);
            const auto centre = pick_one(m_centres);
            const auto key = std::make_shared<std::string>();
            const auto host = pick_one(m_simulation.host_names());
            m_digest.add(static_cast<std::uint64_t>(first.count()));
            m_digest.add(centre);
            m_digest.add(host);
            m_simulation.at(first,
                            [this, key, centre, nonce, host, job]
                            {
                                *key = m_simulation.make_key(centre, nonce);
                                m_simulation.submit(host, *key, job);
                            });
            const auto copies = pick(0, 3);
            for (std::uint64_t c = 0; c < copies; ++c)
            {
                const bool soon = pick(0, 1) == 0;
                const auto resubmit_at = first + milliseconds{soon ? pick(0, 5) : pick(0, 7000)};
                const auto other_host = pick_one(m_simulation.host_names());
                const auto request_kind = pick(0, 9);
                m_digest.add(static_cast<std::uint64_t>(resubmit_at.count()));
                m_digest.add(other_host);
                m_digest.add(std::uint64_t{request_kind});
                m_simulation.at(resubmit_at,
                                [this, key, other_host, job, request_kind]
                                {
                                    if (request_kind == 0)
                                        m_simulation.send_call(other_host, *key, wire::CANCEL);
                                    else if (request_kind == 1)
                                        m_simulation.send_call(other_host, *key, wire::QUERY);
                                    else
                                        m_simulation.submit(other_host, *key, job);
                                });
            }
        }
    }

    void fault(microseconds at, std::string description, std::function<void()> begin,
               std::function<void()> end, microseconds length)
    {
        m_result.faults.push_back(std::to_string(at.count() / 1000) + "ms " + description +
                                  " for " + std::to_string(length.count() / 1000) + "ms");
        m_digest.add(m_result.faults.back());
        m_simulation.at(at, std::move(begin));
        m_simulation.at(at + length, std::move(end));
    }

    void plan_faults()
    {
        const auto count = pick(1, 7);
        for (std::uint64_t i = 0; i < count; ++i)
            plan_fault();
    }

    void plan_fault()
    {
        const auto at = pick_time();
        const auto host = pick_one(m_simulation.host_names());
        const auto worker = pick_one(m_simulation.worker_names());
        const auto centre = pick_one(m_centres);
        const bool brief = pick(0, 1) == 0;
        const microseconds length = milliseconds{brief ? pick(20, 1500) : pick(100, 6000)};
        const auto cut = [&](const std::string& a, const std::string& b)
        {
            if (a != b)
                fault(
                    at, "cut " + a + " " + b, [=, this] { m_simulation.cut(a, b); },
                    [=, this] { m_simulation.heal(a, b); }, length);
        };
        switch (pick(0, 13))
        {
        case 0:
        case 1:
            return fault(
                at, "kill " + host, [=, this] { m_simulation.kill(host); },
                [=, this] { m_simulation.start(host); }, length);
        case 2:
        case 3:
            return fault(
                at, "pause " + host, [=, this] { m_simulation.pause(host); },
                [=, this] { m_simulation.resume(host); }, length);
        case 4:
            return fault(
                at, "stop " + host, [=, this] { m_simulation.stop(host); },
                [=, this] { m_simulation.start(host); }, length);
        case 5:
            return cut(host, pick_one(m_simulation.host_names()));
        case 6:
            return cut(host, worker);
        case 7:
            return cut(centre, "log");
        case 8:
            return cut(host, "log");
        case 9:
            return fault(
                at, "log down", [this] { m_simulation.set_log(log_state::down); },
                [this] { m_simulation.set_log(log_state::up); }, length);
        case 10:
            return fault(
                at, "log loses answers", [this] { m_simulation.set_log(log_state::lose_answers); },
                [this] { m_simulation.set_log(log_state::up); }, length);
        case 11:
            return fault(
                at, "kill worker " + worker, [=, this] { m_simulation.kill_worker(worker); },
                [=, this] { m_simulation.start_worker(worker); }, length);
        case 12:
            return fault(
                at, "delay " + host + " to " + worker,
                [=, this] { m_simulation.set_extra_delay(host, worker, length); },
                [=, this] { m_simulation.set_extra_delay(host, worker, microseconds{0}); }, length);
        default:
            return fault(
                at, "slow log", [this] { m_simulation.set_log_delay(milliseconds{500}); },
                [this] { m_simulation.set_log_delay(microseconds{0}); }, length);
        }
    }

    void end_faults()
    {
        m_simulation.heal_all();
        m_simulation.set_log(log_state::up);
        m_simulation.set_log_delay(microseconds{0});
        m_simulation.set_loss(0);
        for (const auto& host : m_simulation.host_names())
        {
            m_simulation.resume(host);
            m_simulation.start(host);
        }
        for (const auto& worker : m_simulation.worker_names())
            m_simulation.start_worker(worker);
    }

    std::vector<std::uint64_t> probe()
    {
        std::vector<std::uint64_t> probes;
        for (const auto& host : m_simulation.host_names())
        {
            m_simulation.start(host);
            for (const auto& centre : m_centres)
            {
                wire::Job job;
                job.set_service("once");
                job.add_tasks()->set_payload("probe");
                job.mutable_tasks(0)->set_size_ms(20);
                const auto nonce = "probe" + std::to_string(probes.size());
                probes.push_back(
                    m_simulation.submit(host, m_simulation.make_key(centre, nonce), job));
            }
        }
        return probes;
    }

    void evaluate(const std::vector<std::uint64_t>& probes)
    {
        m_result.violation = m_simulation.check_history();
        for (const auto number : probes)
        {
            const auto* call = m_simulation.calls().find(number);
            const bool complete = call->answered && outcome_of(call->answer) == outcome::complete;
            if (!complete && !call->host_died)
                m_result.stuck = call->key + " at " + call->host + ": " +
                                 std::string(name_of(kind_of(call->answer)));
        }
        for (const auto& [number, call] : m_simulation.calls().calls())
        {
            ++m_result.calls;
            if (!call.answered)
                continue;
            const auto result = outcome_of(call.answer);
            m_result.complete += result == outcome::complete ? 1 : 0;
            m_result.failed += result == outcome::failed ? 1 : 0;
            m_result.not_run += result == outcome::not_run ? 1 : 0;
            m_result.unknown += result == outcome::unknown ? 1 : 0;
        }
        for (const auto& name : m_simulation.worker_names())
            if (m_simulation.worker(name) != nullptr)
                m_result.starts += m_simulation.worker(name)->started().size();
        m_result.counters = m_simulation.totals();
        m_result.digest = m_digest.value();
    }

    std::mt19937_64 m_random;
    schedule_digest m_digest;
    std::vector<std::string> m_centres;
    simulation m_simulation;
    schedule_result m_result;
};

} // namespace

schedule_result run_schedule(std::uint64_t seed, injected_defect defect, bool trace)
{
    return schedule(seed, defect, trace).run();
}

} // namespace egretledge::harness
