// egret-bench runs the production decision logic in virtual time on both users' deployments. It
// measures response times relative to the ideal and the number of wasted messages.
//
//     egret-bench --load 80 --seconds 20
//     egret-bench --all                       every load, without and with faults, as a table
//
// The ideal is one omniscient dispatcher without network delay: tasks start in the order of
// arrival, each as soon as a slot of its data centre is free. The baselines use the same arrivals
// and slots, the users' one-way network delay and a queue at each worker. They place a task on a
// random worker, round robin, or on the worker with the shorter queue of two random ones. --json
// prints one line of JSON per row.

#include "core/wire.hpp"
#include "harness/simulation.hpp"
#include "io/command_line.hpp"
#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <iomanip>
#include <queue>

using namespace egretledge;
using namespace egretledge::harness;

namespace
{

struct arrival
{
    microseconds at{0};
    std::size_t centre = 0;
    std::vector<std::uint32_t> tasks; // run times in ms
};

struct deployment
{
    const char* name;
    std::vector<std::string> centres;
    microseconds delay;
};

constexpr std::uint32_t slots = 8;
constexpr std::uint32_t workers_per_centre = 17; // 51 executors in three data centres
constexpr microseconds warm_up_time = milliseconds{5000};
constexpr milliseconds job_deadline{30000};

// Returns jobs that load every data centre to `load` percent of its capacity, in the order of
// arrival. A job has 1 to 710 tasks of 50 ms to 5 s; both distributions have heavy tails.
std::vector<arrival> make_arrivals(std::uint64_t seed, std::size_t centres, int load,
                                   microseconds duration)
{
    std::mt19937_64 random(seed);
    std::vector<arrival> jobs;
    const double capacity = slots * workers_per_centre; // task-seconds per second
    for (std::size_t centre = 0; centre < centres; ++centre)
    {
        double work = 0; // in task-seconds
        std::exponential_distribution<double> gap(1);
        double at = 0;
        const double duration_s = static_cast<double>(duration.count()) / 1e6;
        while (at < duration_s)
        {
            arrival job;
            job.centre = centre;
            const double width = std::uniform_real_distribution<double>(0, 1)(random);
            const auto count = std::min(710.0, std::pow(1 - width, -1.0));
            double job_work = 0;
            for (int i = 0; i < static_cast<int>(count); ++i)
            {
                const double u = std::uniform_real_distribution<double>(0, 1)(random);
                const double ms = std::min(5000.0, 50 * std::pow(1 - u, -1.0 / 1.5));
                job.tasks.push_back(static_cast<std::uint32_t>(ms));
                job_work += ms / 1000;
            }
            job.at = microseconds{static_cast<std::int64_t>(at * 1e6)};
            work += job_work;
            jobs.push_back(std::move(job));
            // The mean gap is the time in which the data centre, at this load, does the job's work.
            at += gap(random) * job_work / (capacity * load / 100.0);
        }
    }
    std::sort(jobs.begin(), jobs.end(),
              [](const arrival& a, const arrival& b) { return a.at < b.at; });
    return jobs;
}

// Returns the response time in microseconds of each job if a task starts as soon as a slot is free.
std::vector<double> ideal_responses(const std::vector<arrival>& jobs, std::size_t centres)
{
    using heap = std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>>;
    std::vector<heap> free_slots(centres);
    for (auto& centre : free_slots)
        for (std::uint32_t i = 0; i < slots * workers_per_centre; ++i)
            centre.push(0);
    std::vector<double> responses;
    for (const auto& job : jobs)
    {
        std::int64_t last = 0;
        for (const auto ms : job.tasks)
        {
            auto& centre = free_slots[job.centre];
            const auto start = std::max<std::int64_t>(centre.top(), job.at.count());
            centre.pop();
            centre.push(start + std::int64_t{ms} * 1000);
            last = std::max<std::int64_t>(last, start + std::int64_t{ms} * 1000);
        }
        responses.push_back(static_cast<double>(last - job.at.count()));
    }
    return responses;
}

enum class baseline : std::uint8_t
{
    random_worker,
    round_robin,
    two_choices,
    intent_in_log, // two choices, after a record of the job was written to the platform's log
    copy_to_peer   // two choices, after a peer has acknowledged a copy of the job
};
BOOST_DESCRIBE_ENUM(baseline, random_worker, round_robin, two_choices, intent_in_log, copy_to_peer)

// A synced write of the log takes several milliseconds. A record also waits, on average, for half
// of the duration of a batch.
constexpr microseconds log_append_time = milliseconds{5};
constexpr microseconds log_batch_wait = milliseconds{5};

// Returns the response time in microseconds of each job with early binding: a task is placed on a
// worker at its arrival and waits in the queue of that worker.
std::vector<double> baseline_responses(const std::vector<arrival>& jobs, std::size_t centres,
                                       baseline policy, microseconds delay, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    using heap = std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>>;
    std::vector<std::vector<heap>> workers(centres, std::vector<heap>(workers_per_centre));
    for (auto& centre : workers)
        for (auto& worker : centre)
            for (std::uint32_t i = 0; i < slots; ++i)
                worker.push(0);
    std::size_t next_worker = 0;
    std::vector<double> responses;
    for (const auto& job : jobs)
    {
        std::int64_t last = 0;
        auto setup_delay = microseconds{0};
        if (policy == baseline::intent_in_log)
            setup_delay = log_append_time + log_batch_wait + 2 * delay;
        if (policy == baseline::copy_to_peer)
            setup_delay = 2 * delay;
        const auto arrives = job.at.count() + (setup_delay + delay).count();
        for (const auto ms : job.tasks)
        {
            auto& centre = workers[job.centre];
            std::size_t chosen = random() % centre.size();
            if (policy == baseline::round_robin)
                chosen = next_worker++ % centre.size();
            if (policy >= baseline::two_choices)
            {
                const auto alternative = random() % centre.size();
                chosen = centre[alternative].top() < centre[chosen].top() ? alternative : chosen;
            }
            const auto start = std::max<std::int64_t>(centre[chosen].top(), arrives);
            centre[chosen].pop();
            centre[chosen].push(start + std::int64_t{ms} * 1000);
            last = std::max<std::int64_t>(last, start + std::int64_t{ms} * 1000 + delay.count());
        }
        responses.push_back(static_cast<double>(last - job.at.count()));
    }
    return responses;
}

struct figures
{
    // Ratios of response time to ideal response time, over all complete jobs.
    double mean = 0; // mean response time / mean ideal response time
    double p50 = 0;  // percentiles of the ratio per job
    double p99 = 0;
    // Shares of all jobs.
    double complete = 0;
    double not_run = 0;
    double unknown = 0;
    // Wasted messages per 1,000 tasks, in total and by kind.
    double wasted = 0;
    double probes = 0;
    double resent = 0;
    double refused = 0;
    double stray = 0;
    double goodput = 0; // task time of jobs completed during the load / capacity
};

double quantile(std::vector<double>& values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

figures compare(const std::vector<double>& measured, const std::vector<double>& ideal)
{
    figures f;
    std::vector<double> ratios;
    double measured_sum = 0;
    double ideal_sum = 0;
    for (std::size_t i = 0; i < measured.size(); ++i)
    {
        if (measured[i] <= 0)
            continue;
        ratios.push_back(measured[i] / ideal[i]);
        measured_sum += measured[i];
        ideal_sum += ideal[i];
    }
    f.complete = static_cast<double>(ratios.size()) / static_cast<double>(measured.size());
    f.mean = ideal_sum > 0 ? measured_sum / ideal_sum : 0;
    f.p50 = quantile(ratios, 0.5);
    f.p99 = quantile(ratios, 0.99);
    return f;
}

using fault_injector = void (*)(simulation&, microseconds);
struct fault_case
{
    const char* name;
    fault_injector inject;
};

const std::array faults{
    fault_case{"calm", [](simulation&, microseconds) {}},
    fault_case{"host killed",
               [](simulation& sim, microseconds at) { sim.at(at, [&sim] { sim.kill("c1-h1"); }); }},
    fault_case{"host replaced",
               [](simulation& sim, microseconds at)
               {
                   sim.at(at, [&sim] { sim.stop("c1-h1"); });
                   sim.at(at + milliseconds{3000}, [&sim] { sim.start("c1-h1"); });
               }},
    fault_case{"log down", [](simulation& sim, microseconds at)
               { sim.at(at, [&sim] { sim.set_log(log_state::down); }); }},
    fault_case{"worker fails all", [](simulation& sim, microseconds at)
               {
                   sim.at(at,
                          [&sim] {
                              sim.set_worker("c1-pool-3", [](standin::worker_settings& s)
                                             { s.fail_all = true; });
                          });
               }}};

figures run_egretledge(const std::vector<arrival>& jobs, const deployment& site,
                       microseconds duration, std::uint64_t seed, const fault_case& fault)
{
    simulation_settings settings;
    settings.seed = seed;
    settings.slots = slots;
    settings.shards = 8;
    settings.min_delay = site.delay;
    settings.constant_delay = true;
    settings.tick = milliseconds{5};
    settings.extra_config = "";
    const std::array hosts_per_centre{3, 3, 2}; // 8 entry hosts
    for (std::size_t c = 0; c < site.centres.size(); ++c)
    {
        centre_plan centre;
        centre.name = "c" + std::to_string(c + 1);
        for (int h = 1; h <= hosts_per_centre[c]; ++h)
            centre.hosts.push_back(centre.name + "-h" + std::to_string(h));
        centre.workers = workers_per_centre;
        settings.centres.push_back(centre);
    }
    simulation sim(settings);
    sim.run_until(warm_up_time);
    const auto totals_before = sim.totals();
    std::mt19937_64 random(seed + 1);
    std::vector<std::uint64_t> call_numbers(jobs.size());
    std::size_t tasks = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        tasks += jobs[i].tasks.size();
        const auto& centre = settings.centres[jobs[i].centre];
        const auto host = centre.hosts[random() % centre.hosts.size()];
        sim.at(warm_up_time + jobs[i].at,
               [&, i, host]
               {
                   wire::Job job;
                   job.set_service("repeat");
                   job.set_deadline_ms(static_cast<std::uint32_t>(job_deadline.count()));
                   for (const auto ms : jobs[i].tasks)
                   {
                       auto& task = *job.add_tasks();
                       task.set_payload("p");
                       task.set_size_ms(ms);
                   }
                   // The load balancer sends no calls to a host that is down.
                   auto target = host;
                   for (const auto& peer : centre.hosts)
                       if (!sim.alive(target))
                           target = peer;
                   call_numbers[i] = sim.submit(
                       target, sim.make_key(centre.name, "n" + std::to_string(i)), std::move(job));
               });
    }
    fault.inject(sim, warm_up_time + duration / 3);
    sim.run_until(warm_up_time + duration + microseconds{job_deadline} + milliseconds{2000});
    std::vector<double> measured(jobs.size(), 0);
    figures f;
    double completed_task_ms = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        const auto* call = sim.calls().find(call_numbers[i]);
        const auto result = outcome_of(call->answer);
        not_run += call->answered && result == outcome::not_run ? 1 : 0;
        unknown += call->answered && result == outcome::unknown ? 1 : 0;
        if (!call->answered || result != outcome::complete)
            continue;
        measured[i] = static_cast<double>((call->answered_at - call->at).count());
        for (const auto ms : jobs[i].tasks)
            completed_task_ms += call->answered_at <= warm_up_time + duration ? ms : 0;
    }
    f = compare(measured, ideal_responses(jobs, site.centres.size()));
    f.not_run = static_cast<double>(not_run) / static_cast<double>(jobs.size());
    f.unknown = static_cast<double>(unknown) / static_cast<double>(jobs.size());
    f.wasted = static_cast<double>(sim.totals().wasted() - totals_before.wasted()) * 1000 /
               static_cast<double>(tasks);
    const auto totals_after = sim.totals();
    const double per_1000 = 1000.0 / static_cast<double>(tasks);
    f.probes = static_cast<double>(totals_after.load_probes - totals_before.load_probes) * per_1000;
    f.resent =
        static_cast<double>(totals_after.calls_resent - totals_before.calls_resent) * per_1000;
    f.refused =
        static_cast<double>(totals_after.starts_refused - totals_before.starts_refused) * per_1000;
    f.stray =
        static_cast<double>(totals_after.answers_stray - totals_before.answers_stray) * per_1000;
    const double capacity_ms = static_cast<double>(duration.count()) / 1000 * slots *
                               workers_per_centre * static_cast<double>(site.centres.size());
    f.goodput = completed_task_ms / capacity_ms;
    return f;
}

void print(const std::string& name, const char* site, int load, const char* fault, const figures& f,
           bool as_json)
{
    if (as_json)
    {
        std::cout << boost::json::serialize(boost::json::object{{"policy", name},
                                                                {"deployment", site},
                                                                {"load", load},
                                                                {"fault", fault},
                                                                {"mean", f.mean},
                                                                {"p50", f.p50},
                                                                {"p99", f.p99},
                                                                {"complete", f.complete},
                                                                {"not_run", f.not_run},
                                                                {"unknown", f.unknown},
                                                                {"wasted_per_1000", f.wasted},
                                                                {"probes", f.probes},
                                                                {"resent", f.resent},
                                                                {"refused_starts", f.refused},
                                                                {"stray", f.stray},
                                                                {"goodput", f.goodput}})
                  << '\n';
        return;
    }
    std::cout << std::left << std::setw(15) << name << std::setw(15) << site << std::right
              << std::setw(5) << load << "%  " << std::left << std::setw(17) << fault << std::right
              << std::fixed << std::setprecision(3) << std::setw(8) << f.mean << std::setw(8)
              << f.p50 << std::setw(8) << f.p99 << std::setw(10) << f.complete << std::setw(9)
              << f.not_run << std::setw(9) << f.unknown << std::setw(9) << f.wasted << std::setw(8)
              << f.probes << std::setw(8) << f.resent << std::setw(8) << f.refused << std::setw(8)
              << f.stray << std::setw(9) << f.goodput << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    int load = 80;
    int seconds = 20;
    std::uint64_t seed = 1;
    po::options_description options("egret-bench");
    options.add_options()("help", "print this")("load", po::value(&load), "percent of capacity")(
        "seconds", po::value(&seconds), "duration of the load")("seed", po::value(&seed), "seed")(
        "all", "run every load and fault")("json", "print one JSON object per row");
    po::variables_map given;
    if (const auto code = egretledge::read_options(argc, argv, options, given))
        return *code;
    const bool as_json = given.contains("json");
    const std::vector<deployment> deployments{
        {"iloilo", {"iloilo-city", "jaro-depot", "oton-yard"}, microseconds{500}},
        {"dar-es-salaam", {"kinondoni", "ilala", "temeke"}, microseconds{1000}}};
    const microseconds duration = std::chrono::seconds{seconds};
    std::vector<int> loads{load};
    if (given.contains("all"))
        loads = {50, 80, 95, 120};
    if (!as_json)
        std::cout
            << "policy         deployment      load  fault               mean     p50     "
               "p99  complete  not_run  unknown  wasted  probes  resent refused   stray  goodput\n";
    for (const auto& site : deployments)
        for (const auto percent : loads)
        {
            const auto jobs = make_arrivals(seed, site.centres.size(), percent, duration);
            const auto ideal = ideal_responses(jobs, site.centres.size());
            for (const auto policy :
                 {baseline::random_worker, baseline::round_robin, baseline::two_choices,
                  baseline::intent_in_log, baseline::copy_to_peer})
                print(
                    boost::describe::enum_to_string(policy, "?"), site.name, percent, "calm",
                    compare(baseline_responses(jobs, site.centres.size(), policy, site.delay, seed),
                            ideal),
                    as_json);
            for (const auto& fault : faults)
            {
                if (std::string_view(fault.name) != "calm" && percent != 80)
                    continue;
                print("egretledge", site.name, percent, fault.name,
                      run_egretledge(jobs, site, duration, seed, fault), as_json);
            }
        }
    return 0;
}
