#ifndef EGRETLEDGE_CORE_ROUTER_HPP
#define EGRETLEDGE_CORE_ROUTER_HPP

// Routes each call to the owner of its key, and the answer back to the caller or peer that sent it.
//
// A call arrives from a caller of this host or from a peer, and is an open call here until it is
// answered. An open call is at this host's own job owner, at a peer, or held while the key's owner
// is unknown or may not serve. A held call is retried every hold_retry_interval. A call at a peer
// is sent again if the owner changes, or if no answer arrives within a resend delay. The owner
// joins copies of a call, so sending it again costs one message and has no other effect.
//
// The router itself never answers "not run": a call that does not reach its owner in time is
// answered "unknown".

#include "core/counters.hpp"
#include "core/job_owner.hpp"
#include "core/ownership.hpp"
#include <map>

namespace egretledge
{

struct router_settings
{
    host_ref self;
    std::string data_centre;
    milliseconds hold_retry_interval{20};
    // Delay before a call at a peer is first sent again; it doubles with each attempt. Connections
    // between hosts lose no messages while they are up, so this is seldom needed.
    milliseconds first_resend_delay{3000};
    // How long a call waits for the collection of a shard's history before it is answered
    // "unknown".
    milliseconds history_timeout{1500};
    // Added to a call's deadline, so that the owner's own answer arrives before the router gives
    // up.
    milliseconds grace{300};
};

class router
{
public:
    router(router_settings settings, ownership& owners, job_owner& jobs, node_counters& counters);

    void set_hosts(const std::vector<listed_host>& hosts);

    // Accepts a call from a caller of this host. The answer is a reply_call action with the same
    // number.
    void on_local_call(instant now, std::uint64_t number, wire::Call call, const job_key& key,
                       action_list& out);
    // The caller has disconnected: no answer is sent, but the job continues.
    void on_caller_disconnected(std::uint64_t number);
    void on_peer_call(instant now, const host_ref& from, wire::Call call, action_list& out);
    void on_peer_reply(instant now, const host_ref& from, wire::CallReply reply, action_list& out);
    void on_tick(instant now, action_list& out);
    // Forwards the answers of the job owner, and holds the calls that it returned.
    void forward_results(instant now, action_list& out);

    std::size_t open_calls() const { return m_open_calls.size(); }

private:
    enum class call_location : std::uint8_t
    {
        held,    // waits here for the next attempt
        at_self, // at this host's job owner
        at_peer  // sent to `peer`, no answer yet
    };
    struct open_call
    {
        std::string origin;            // name of the peer; empty for a caller of this host
        std::uint64_t origin_call = 0; // number of the call at its origin
        bool caller_disconnected = false;
        wire::Call call;
        job_key key;
        job_id id;
        bool in_own_data_centre = false; // the key belongs to this host's data centre
        std::uint32_t shard = 0;
        call_location location = call_location::held;
        host_ref peer;
        microseconds deadline{0};
        microseconds held_since{0};
        microseconds next_attempt{0};
        microseconds backoff{0};
        bool waits_for_history = false;
    };

    std::uint64_t add(instant now, open_call new_call, const job_key& key);
    void route(instant now, std::uint64_t number, action_list& out);
    void route_in_data_centre(instant now, std::uint64_t number, open_call& call, action_list& out);
    void submit_to_local_owner(instant now, std::uint64_t number, open_call& call,
                               action_list& out);
    void hold(instant now, open_call& call);
    void send(instant now, std::uint64_t number, open_call& call, const host_ref& peer,
              action_list& out);
    void answer(std::uint64_t number, wire::Answer call_answer, action_list& out);
    void answer_unknown(std::uint64_t number, open_call& call, action_list& out);
    // Returns the next host of `data_centre` in round-robin order; empty if none is listed.
    host_ref choose_remote_host(const std::string& data_centre);

    router_settings m_settings;
    ownership& m_owners;
    job_owner& m_jobs;
    node_counters& m_counters;
    std::vector<listed_host> m_hosts;
    std::map<std::uint64_t, open_call> m_open_calls;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_by_origin;
    boost::unordered_flat_map<std::uint64_t, std::uint64_t> m_local_calls;
    std::uint64_t m_next_number;
    std::size_t m_rotation = 0;
};

} // namespace egretledge

#endif
