#ifndef EGRETLEDGE_CORE_TASK_QUEUE_HPP
#define EGRETLEDGE_CORE_TASK_QUEUE_HPP

// Determines the order in which the tasks queued at this host are started.
//
// Between teams: weighted fair queueing. Each team has a virtual time that grows by the expected
// run time of each start divided by the team's weight; the team with the smallest virtual time is
// next. A team that holds its quota of slots comes after every team that does not. Unused quota is
// thus available to other teams, and its owner gets the next free slots as soon as it has a task to
// start.
//
// Within a team: jobs are ordered by a scheduling key, the time at which the job would end if it
// had all slots to itself (arrival + expected work / slots). Small jobs overtake large ones that
// arrived shortly before. Only jobs that arrive within a large job's own length can overtake it, so
// it cannot starve.

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
    // Sets a team's weight and its quota of slots; a quota of 0 means no limit.
    void set_team(const std::string& team, double weight, std::uint32_t quota);

    // Queues one task. `expected` is its expected run time and `slots` the number of slots that the
    // job could use at a time. The first task of a job that is queued sets both for the whole job.
    void add(open_job& job, std::uint32_t task, milliseconds expected, double slots);
    // Removes the queued tasks of `job`.
    void drop(const open_job& job);

    // Finds the next task to start without removing it. Returns false if no task is ready.
    bool next(queued_task& found) const;
    // Removes the task that next() found. The team is charged `expected` and now holds a slot.
    void pop(const queued_task& found, milliseconds expected);
    // Takes the job of `found` out of the order until resume_deferred() is called at or after
    // `until`.
    void defer(const queued_task& found, microseconds until);
    // Makes the deferred jobs ready whose time is up, under their former scheduling keys.
    void resume_deferred(microseconds now);

    // Gives back a slot that `team` held.
    void release_slot(const std::string& team);

    std::size_t size() const { return m_size; }
    // Returns the number of slots that the team's started tasks hold.
    std::uint32_t slots_held(const std::string& team) const;
    bool at_quota(const std::string& team) const;
    // Returns the sum of the expected run times of all queued tasks, or of one team's.
    milliseconds queued_work() const { return m_work; }
    milliseconds queued_work(const std::string& team) const;

private:
    struct waiting_job
    {
        open_job* job = nullptr;
        std::vector<std::uint32_t> tasks; // the next one is at the back
        milliseconds expected{0};
        microseconds deferred_until{0};
    };
    using scheduling_key = std::pair<microseconds, job_id>;
    struct team_state
    {
        double weight = 1;
        std::uint32_t quota = 0; // slots; 0: no limit
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
