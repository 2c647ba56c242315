#ifndef EGRETLEDGE_CORE_TASK_QUEUE_HPP
#define EGRETLEDGE_CORE_TASK_QUEUE_HPP

// The order in which tasks that wait at this host are started.
//
// Between teams: weighted fair queueing. Each team has a virtual time that grows by the expected
// run time of each start divided by the team's weight; the team with the least virtual time is
// next. A team that holds its quota of slots comes after every team that does not, so idle quota
// is lent, and taken back as soon as another team has a task to start.
//
// Within a team: a job's place is the time at which it would end if it had all slots to itself
// (arrival + its work / slots). Small jobs pass wide ones that came shortly before, yet a wide job
// is passed only by those that came within its own length, so it cannot starve.

#include "core/job.hpp"
#include <map>
#include <string>

namespace egretledge
{

struct queued_task
{
    open_job* job = nullptr;
    std::uint32_t task = 0;
};

class task_queue
{
public:
    void set_team(const std::string& team, double weight, std::uint32_t quota);

    // `work` is the expected time of the whole job and `slots` what the job could use at once.
    void add(open_job& job, std::uint32_t task, milliseconds expected, double slots);
    // Forgets the tasks of `job` that wait.
    void drop(const open_job& job);

    // Looks for the next task; nothing is removed. Teams in `skipped` (by number) are passed over.
    bool next(queued_task& found) const;
    // Removes what next() found; `expected` is charged to the team, which now holds a slot.
    void pop(const queued_task& found, milliseconds expected);
    // Moves the job of `found` behind the others of its team until `until`.
    void defer(const queued_task& found, microseconds until);
    // Brings deferred jobs back whose time has come.
    void resume_deferred(microseconds now);

    // A task of `team` left its slot.
    void release_slot(const std::string& team);

    std::size_t size() const { return m_size; }
    std::uint32_t slots_held(const std::string& team) const;
    bool at_quota(const std::string& team) const;
    milliseconds queued_work() const { return m_work; }
    milliseconds queued_work(const std::string& team) const;

private:
    struct waiting_job
    {
        open_job* job = nullptr;
        std::vector<std::uint32_t> tasks; // the next one last
        milliseconds expected{0};
        microseconds deferred_until{0};
    };
    using scheduling_key = std::pair<microseconds, job_id>;
    struct team_state
    {
        double weight = 1;
        std::uint32_t quota = 0; // 0: none
        double virtual_time = 0;
        std::uint32_t slots_held = 0;
        milliseconds work{0};
        std::map<scheduling_key, waiting_job> jobs;
        std::map<scheduling_key, waiting_job> deferred;
        std::map<job_id, scheduling_key> keys;
    };

    void remove_task(team_state& team, std::map<scheduling_key, waiting_job>::iterator job);

    std::map<std::string, team_state> m_teams;
    std::size_t m_size = 0;
    std::size_t m_deferred = 0;
    milliseconds m_work{0};
    double m_virtual_now = 0;
};

} // namespace egretledge

#endif
