#ifndef EGRETLEDGE_POOL_JOB_QUERIES_HPP
#define EGRETLEDGE_POOL_JOB_QUERIES_HPP

// Queries for jobs that this host does not serve: a caller's GET or DELETE may arrive at another
// host than its POST. This host asks all hosts that it knows and answers by what they say.
//
// A query is answered as gone only if every known host has said that it does not have the job. A
// host that is silent may still serve it, so it is asked too and counts as one that did not answer.
//
// A host also remembers the jobs that it was told to cancel, so that a submission or an offer which
// the cancel has overtaken does not start the job.

#include "pool/membership.hpp"

namespace egretledge::pool
{

struct job_queries_settings
{
    // A query that some host has not answered within this time is answered as not known.
    milliseconds answer_timeout{1000};
    // Interval after which hosts that have not answered are asked again: the transport drops
    // messages while a connection is being replaced.
    milliseconds repeat_interval{250};
    std::size_t max_open = 256;
    milliseconds retry_after{1000}; // advised to the caller of a query that is not known
    // Cancelled jobs are remembered for as long as callers' retries of them may arrive: the same as
    // call_router_settings::answer_retention and max_retained_answers.
    milliseconds cancel_retention{10000};
    std::size_t max_retained_cancels = 4000;
};

class job_queries
{
public:
    // `first_number` differs between the incarnations of a host, so that a late answer to a former
    // incarnation matches no query.
    job_queries(job_queries_settings settings, std::uint64_t first_number)
        : m_settings(settings), m_next_number(first_number)
    {
    }

    // Asks all hosts in `peers` for the job, and to cancel it if `cancel` is set. The call is
    // answered once, by an answer_query action, unless its caller disconnects before.
    void begin(microseconds now, std::uint64_t call, const std::string& job, bool cancel,
               const membership& peers, action_list& out);
    // Sends all hosts in `peers` a cancel of a job that this host has cancelled itself: after a
    // retry of its caller another host may serve it too. Does not wait for the answers.
    void announce_cancel(const std::string& job, const membership& peers, action_list& out);
    void on_state(const host_ref& from, const wire::PoolJobState& message, action_list& out);
    void on_caller_disconnected(std::uint64_t call);
    // Repeats the questions, and answers the queries whose time is over.
    void tick(microseconds now, action_list& out);
    // Answers all open queries before this process ends.
    void end_all(action_list& out);
    bool idle() const { return m_open.empty(); }

    // Records that a cancel of the job was requested, and whether this host cancelled the job.
    void record_cancel(microseconds now, const std::string& job, bool cancelled_here);
    // Returns true if a cancel of the job was requested within `cancel_retention`.
    bool cancel_requested(microseconds now, const std::string& job) const;
    // Returns true if this host cancelled the job within `cancel_retention`.
    bool cancelled_here(microseconds now, const std::string& job) const;

    struct totals
    {
        std::uint64_t job_queries = 0;          // of callers, that other hosts were asked for
        std::uint64_t job_queries_found = 0;    // a host had the job or has cancelled it
        std::uint64_t job_queries_gone = 0;     // no host had it
        std::uint64_t job_queries_unknown = 0;  // some host did not answer in time
        std::uint64_t job_queries_rejected = 0; // too many were open
    };
    const totals& counts() const { return m_totals; }

private:
    struct open_query
    {
        std::uint64_t call = 0;
        std::string job;
        bool cancel = false;
        // This host knew which hosts there are when the query began.
        bool all_known = false;
        std::set<std::string> unanswered;
        microseconds deadline{0};
        microseconds next_repeat{0};
    };
    struct requested_cancel
    {
        microseconds when{0};
        bool here = false;
    };

    static void send(const std::string& host, std::uint64_t number, const std::string& job,
                     bool cancel, action_list& out);
    void answer(std::map<std::uint64_t, open_query>::iterator query, job_query_result result,
                action_list& out);
    void drop_oldest_cancel();

    job_queries_settings m_settings;
    std::uint64_t m_next_number = 0;
    std::map<std::uint64_t, open_query> m_open; // by the number of the query
    std::map<std::string, requested_cancel> m_cancels;
    std::deque<std::pair<microseconds, std::string>> m_cancel_order;
    totals m_totals;
};

} // namespace egretledge::pool

#endif
