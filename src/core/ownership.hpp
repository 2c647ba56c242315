#ifndef EGRETLEDGE_CORE_OWNERSHIP_HPP
#define EGRETLEDGE_CORE_OWNERSHIP_HPP

// Tracks the owner of each shard of this host's data centre, and until when this host may act as
// an owner. ownership.cpp describes the algorithm and argues why it is safe.

#include "core/messages.hpp"
#include <map>
#include <random>

namespace egretledge
{

struct ownership_settings
{
    host_ref self;
    std::string data_centre;
    std::uint32_t shards = 8;
    // How long an owner may act after it sent a heartbeat that its grantor acknowledged.
    milliseconds lease{2000};
    milliseconds heartbeat_interval{250};
    // A grantor takes over only after the lease, 1% of it for clock drift, and this margin.
    milliseconds margin{150};
    milliseconds claim_retry{400};
    // Upper bound on the delay until the platform's host list shows a change.
    milliseconds host_list_lag{30000};
    // The owner repeats its claim at this age, before the log's retention can drop it.
    milliseconds claim_refresh{std::chrono::hours{12}};
};

// How this host became the owner of a shard.
enum class gain_reason : std::uint8_t
{
    first,      // the shard had no owner before
    takeover,   // earlier owners may have started tasks
    handed_over // like takeover, but the former owner transferred its remembered answers
};

struct gained_shard
{
    std::uint32_t shard = 0;
    epoch owner_epoch;
    gain_reason reason = gain_reason::takeover;
    // True if this host was the former owner's grantor and renewed its lease. The former owner then
    // answered "not run" only for keys made at or before refusals_until (Unix time).
    bool refusal_bound_known = false;
    milliseconds refusals_until{0};
};

// Changes of ownership that the caller of `ownership` must handle, in addition to the actions.
struct ownership_events
{
    std::vector<gained_shard> gained;
    std::vector<std::uint32_t> lost;
};

class ownership
{
public:
    ownership(ownership_settings settings, std::uint64_t seed);

    // Sends heartbeats and makes claims that are due.
    void on_tick(instant now, action_list& out, ownership_events& events);

    // Applies a page of the ownership stream. Pages must come in the order of the log.
    void on_log_page(instant now, const log_page& page, ownership_events& events);
    // Records whether the latest read of the ownership stream succeeded.
    void on_log_reachable(instant now, bool reachable);

    void on_heartbeat(instant now, const host_ref& from, const wire::Heartbeat& heartbeat,
                      action_list& out, ownership_events& events);
    void on_heartbeat_ack(instant now, const host_ref& from, const wire::HeartbeatAck& ack);
    // Applies the platform's host list. `requested_at` and `answered_at` are the times of the
    // request and the response; the list was current at some time between them. Idempotent for the
    // same list.
    void on_host_list(instant requested_at, instant answered_at,
                      const std::vector<listed_host>& hosts);

    // True while this host may start tasks of `shard` and answer "not run" for its keys: it owns
    // the shard, its lease is valid, and no handover is in progress.
    bool may_serve(std::uint32_t shard, instant now) const;
    // Steady time until which this host may start tasks of `shard`; zero if it may not.
    microseconds serves_until(std::uint32_t shard, instant now) const;
    epoch epoch_of(std::uint32_t shard) const { return m_shards.at(shard).current; }
    const host_ref& owner_of(std::uint32_t shard) const { return m_shards.at(shard).owner; }
    bool owned_by_self(std::uint32_t shard) const;

    // Sets the revision of the configuration in force at this host.
    void set_revision(std::uint64_t revision) { m_revision = revision; }
    // The latest configuration revision whose workers may run tasks of `shard`. Workers of a later
    // revision must wait: a grantor that takes over could not fence workers that it does not know.
    std::uint64_t usable_revision(std::uint32_t shard) const;

    // Keys made at or before this time (Unix time) may be answered "not run": the grantor has
    // acknowledged the bound, so after a takeover it takes into account that they were.
    milliseconds acknowledged_refusal_bound(std::uint32_t shard) const;
    milliseconds requested_refusal_bound(std::uint32_t shard) const
    {
        return m_shards.at(shard).requested_refusal_bound;
    }
    // Requests that the grantor acknowledge a refusal bound of at least `until` (Unix time), and
    // sends the next heartbeat at once. No effect if that bound was requested before.
    void request_refusal_bound(instant now, std::uint32_t shard, milliseconds until);
    // The number of shards of this data centre that `host` owns, as far as this host knows.
    std::uint32_t count_owned_by(const std::string& host) const;
    // False after a direct takeover of `shard` until the former owner has learned of the takeover
    // or is proven terminated. While false, the shard must not go to a new grantor or owner.
    bool may_transfer(std::uint32_t shard, instant now) const;
    // Starts a handover of `shard`. may_serve() is false until the handover completes or is
    // cancelled. This host must own the shard.
    void begin_handover(std::uint32_t shard);
    // To be called when the receiver holds this host's memory of the shard. Claims the shard on
    // behalf of `to`. begin_handover() must have been called.
    void finish_handover(instant now, std::uint32_t shard, const host_ref& to);
    // Records that this host received the memory of the owner of `shard` under `owner_epoch`.
    void on_memory_received(std::uint32_t shard, epoch owner_epoch);
    // Cancels a handover, unless finish_handover() was already called.
    void cancel_handover(std::uint32_t shard);
    bool handing_over(std::uint32_t shard) const { return m_shards.at(shard).handing_over; }

    // Stops claiming shards of other hosts, because this host is shutting down. The next heartbeat
    // notifies the peers and is due at once.
    void leave()
    {
        m_leaving = true;
        m_next_heartbeat = microseconds{0};
    }

    // Peers of the data centre from which a heartbeat or an acknowledgement arrived within the
    // last lease period, sorted by name. Peers that are shutting down are left out by default.
    std::vector<host_ref> live_peers(instant now, bool with_leaving = false) const;
    std::uint32_t owned_count() const;
    std::uint32_t shard_count() const { return static_cast<std::uint32_t>(m_shards.size()); }
    std::uint64_t next_offset() const { return m_next_offset; }
    bool log_reachable() const { return m_log_reachable; }

    // Counters for metrics.
    std::uint64_t claims_made() const { return m_claims_made; }
    std::uint64_t claims_lost() const { return m_claims_lost; }

private:
    struct shard_state
    {
        epoch current;
        std::uint64_t log_term = 0; // term of the latest winning claim read from the log
        std::uint64_t log_base = 0; // the base_term of that claim
        host_ref owner;
        host_ref grantor;
        microseconds learned_at{0}; // when this host learned of `current`
        microseconds claimed_at{0}; // first attempt of this host's open claim to own the shard

        // If this host is the owner.
        microseconds lease_until{0};
        bool sole_holder = false; // no other host may take over this shard
        // This host was the sole holder and has an open claim that names a grantor.
        bool grantor_claim_open = false;
        // A claim with a new grantor was made; acknowledgements no longer extend the lease.
        bool lease_frozen = false;
        bool direct_allowed = false;       // the grantor may take over without the log
        bool lease_expired = false;        // the lease expired while direct_allowed was set
        std::uint64_t direct_sequence = 0; // of the latest heartbeat that said "direct"
        std::uint64_t revision_acked = 0;  // configuration revision that a grantor acknowledged
        bool handing_over = false;
        host_ref handover_to;
        // The owner before a direct takeover, until it is known to have learned of the takeover.
        host_ref uninformed_owner;

        // Bounds on the time of making (Unix time) of keys that may be answered "not run": the
        // bound requested from the grantor, and the bound that the grantor has acknowledged.
        milliseconds requested_refusal_bound{0};
        milliseconds acked_refusal_bound{0};
        // First heartbeat to the grantor that carried requested_refusal_bound; 0 if none was sent.
        std::uint64_t refusal_bound_sequence = 0;

        // If this host is the grantor.
        bool renewed = false;                 // this host renewed the owner's lease at least once
        milliseconds refusals_until{0};       // the refusal bound that the owner reported
        microseconds last_renewal{0};         // when this host last acknowledged the owner
        bool direct_takeover_allowed = false; // the owner's latest heartbeat said "direct"

        // If this host has claimed the shard.
        bool claim_open = false;     // no winner was read from the log yet
        microseconds claim_after{0}; // earliest time of the next attempt

        epoch memory_epoch; // the epoch whose owner sent its memory to this host
    };

    struct peer_state
    {
        std::uint64_t incarnation = 0;
        microseconds last_heard{0}; // when the latest heartbeat or acknowledgement arrived
        std::uint64_t sequence = 0; // of the latest heartbeat
        bool leaving = false;
    };

    // The highest known incarnation of a host name, and when this host first learned of it.
    struct newest_process
    {
        std::uint64_t incarnation = 0;
        microseconds first_known{0};
    };

    struct sent_heartbeat
    {
        std::uint64_t sequence = 0;
        microseconds sent{0};
        std::uint64_t revision = 0;
    };

    void send_heartbeats(instant now, action_list& out);
    void tick_owner(std::uint32_t shard, instant now, action_list& out, ownership_events& events);
    void tick_grantor(std::uint32_t shard, instant now, action_list& out, ownership_events& events);
    void tick_other_host(std::uint32_t shard, instant now, action_list& out);
    void replace_grantor(std::uint32_t shard, instant now, action_list& out,
                         ownership_events& events);
    void retry_handover(std::uint32_t shard, instant now, action_list& out);
    void adopt_later_epochs(const host_ref& from, instant now, const wire::Heartbeat& heartbeat,
                            ownership_events& events);
    void clear_informed_owner(const host_ref& from, const wire::Heartbeat& heartbeat);
    std::vector<std::uint32_t> grant_renewals(const host_ref& from, instant now,
                                              const wire::Heartbeat& heartbeat);
    bool lease_valid(const shard_state& state, instant now) const;
    void claim(std::uint32_t shard, instant now, const host_ref& owner, const host_ref& grantor,
               const char* reason, action_list& out);
    void apply_claim(instant now, std::uint64_t offset, const wire::Claim& claim,
                     ownership_events& events);
    void take_over_directly(std::uint32_t shard, instant now, std::uint32_t epoch_step,
                            ownership_events& events);
    void set_owner(std::uint32_t shard, instant now, epoch current, const host_ref& owner,
                   const host_ref& grantor, bool with_memory, ownership_events& events);
    void record_process(instant now, const host_ref& host);
    void record_incarnation(instant now, const host_ref& from);
    bool proven_terminated(const host_ref& host, instant now) const;
    bool may_claim_unowned(instant now) const;
    microseconds takeover_timeout() const;
    host_ref choose_grantor(instant now, const host_ref& owner) const;
    std::size_t claim_rank(std::uint32_t shard, instant now) const;

    ownership_settings m_settings;
    std::mt19937_64 m_random;
    std::vector<shard_state> m_shards;
    std::map<std::string, peer_state> m_peers;
    std::map<std::string, std::vector<sent_heartbeat>> m_sent_heartbeats;
    std::map<std::string, microseconds> m_last_listed;    // host -> when the list last named it
    std::map<std::string, microseconds> m_unlisted_since; // host -> since when the list omits it
    std::map<std::string, newest_process> m_newest_process;
    microseconds m_list_read_at{-1}; // time of the latest request for the list that succeeded
    microseconds m_next_heartbeat{0};
    microseconds m_started_at{-1};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_next_offset = 0;
    std::uint64_t m_first_kept_offset = 0;
    bool m_log_read = false;
    bool m_log_reachable = false;
    bool m_leaving = false;
    std::uint64_t m_claims_made = 0;
    std::uint64_t m_claims_lost = 0;
};

} // namespace egretledge

#endif
