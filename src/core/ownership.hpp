#ifndef EGRETLEDGE_CORE_OWNERSHIP_HPP
#define EGRETLEDGE_CORE_OWNERSHIP_HPP

// Who owns each shard of this host's data centre, and until when this host may act as an owner.
// The algorithm and its proof stand at the top of ownership.cpp.

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
    // How long one acknowledged heartbeat lets an owner act.
    milliseconds lease{2000};
    milliseconds heartbeat_interval{250};
    // Added to the lease, with 1% for clock drift, before a grantor moves.
    milliseconds margin{150};
    milliseconds claim_retry{400};
    // The longest time by which the platform's host list trails.
    milliseconds host_list_lag{30000};
    // A claim is written again at this age, so that it never ages out of the log.
    milliseconds claim_refresh{std::chrono::hours{12}};
};

// Why a shard became this host's.
enum class gain_reason : std::uint8_t
{
    first,      // nobody ever owned it
    takeover,   // earlier owners may have started tasks
    handed_over // as takeover, but the former owner's answers are known
};

struct gained_shard
{
    std::uint32_t shard = 0;
    epoch owner_epoch;
    gain_reason reason = gain_reason::takeover;
    // The former owner was renewed here until it fell silent, so its refusals are bounded: they
    // concern keys made up to refusals_until.
    bool refusal_bound_known = false;
    milliseconds refusals_until{0};
};

// What a call to `ownership` asks of its caller, besides the actions.
struct ownership_events
{
    std::vector<gained_shard> gained;
    std::vector<std::uint32_t> lost;
};

class ownership
{
public:
    ownership(ownership_settings settings, std::uint64_t seed);

    // Sends heartbeats when due and makes the claims that are called for.
    void on_tick(instant now, action_list& out, ownership_events& events);

    // A page of the ownership stream was read, in order.
    void on_log_page(instant now, const log_page& page, ownership_events& events);
    // Whether the latest read of the ownership stream succeeded.
    void on_log_reachable(instant now, bool reachable);

    void on_heartbeat(instant now, const host_ref& from, const wire::Heartbeat& heartbeat,
                      action_list& out, ownership_events& events);
    void on_heartbeat_ack(instant now, const host_ref& from, const wire::HeartbeatAck& ack);
    // The platform's list as it was some time between the question and the answer; the same list
    // may be given again.
    void on_host_list(instant asked, instant answered, const std::vector<listed_host>& hosts);

    // True while this host may decide for `shard`: start tasks and say "not run".
    bool may_serve(std::uint32_t shard, instant now) const;
    // Until when this host may start tasks of `shard`; zero if it may not.
    microseconds serves_until(std::uint32_t shard, instant now) const;
    epoch epoch_of(std::uint32_t shard) const { return m_shards.at(shard).current; }
    const host_ref& owner_of(std::uint32_t shard) const { return m_shards.at(shard).owner; }
    bool owned_by_self(std::uint32_t shard) const;

    // The revision of the configuration that is in force at this host.
    void set_revision(std::uint64_t revision) { m_revision = revision; }
    // Workers of `shard` that came with a later revision may not be used yet: whoever takes over
    // has to know them.
    std::uint64_t usable_revision(std::uint32_t shard) const;

    // Keys made up to this time may be answered "not run": the grantor knows that they may have
    // been.
    milliseconds acknowledged_refusal_bound(std::uint32_t shard) const;
    milliseconds requested_refusal_bound(std::uint32_t shard) const
    {
        return m_shards.at(shard).requested_refusal_bound;
    }
    // Asks the grantor to know of refusals of keys made up to `until`.
    void request_refusal_bound(instant now, std::uint32_t shard, milliseconds until);
    // Shards of this data centre owned by `host`, as far as this host knows.
    std::uint32_t count_owned_by(const std::string& host) const;
    // False while an owner from which this host took `shard` on its own word may not know of it.
    bool may_transfer(std::uint32_t shard, instant now) const;
    // Begins to give `shard` away: until it is over or cancelled, may_serve() is false.
    void begin_handover(std::uint32_t shard);
    // The receiver holds this host's memory of the shard: claims the shard in the receiver's name.
    void finish_handover(instant now, std::uint32_t shard, const host_ref& to);
    // This host now holds the memory of the owner of `shard` under `owner_epoch`.
    void on_memory_received(std::uint32_t shard, epoch owner_epoch);
    // Gives a handover up, unless the claim for it was already made.
    void cancel_handover(std::uint32_t shard);
    bool handing_over(std::uint32_t shard) const { return m_shards.at(shard).handing_over; }

    // This host is being stopped: it claims nothing more.
    void leave()
    {
        m_leaving = true;
        m_next_heartbeat = microseconds{0}; // the peers learn it at once
    }

    // Peers of the data centre heard within a lease, by name; leaving ones only on request.
    std::vector<host_ref> live_peers(instant now, bool with_leaving = false) const;
    std::uint32_t owned_count() const;
    std::uint32_t shard_count() const { return static_cast<std::uint32_t>(m_shards.size()); }
    std::uint64_t next_offset() const { return m_next_offset; }
    bool log_reachable() const { return m_log_reachable; }

    // Counts for metrics.
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
        microseconds learned_at{0};
        microseconds claimed_at{0};

        // As the owner.
        microseconds lease_until{0};
        bool sole_holder = false;                // no other host may take this shard
        bool grantor_claim_open = false;             // was the sole holder; the claim of its grantor is open
        bool lease_frozen = false;              // an own claim is open: the old lease is not renewed
        bool direct_allowed = false;        // the grantor may act without the log
        bool lapsed = false;              // the lease lapsed since the grantor got direct_allowed
        std::uint64_t direct_sequence = 0;    // the latest heartbeat that gave it
        std::uint64_t revision_acked = 0; // of the configuration; a grantor has it
        bool handing_over = false;
        host_ref handover_to;
        host_ref uninformed_owner; // the owner before a direct takeover, until it is known to know

        // Refusals: up to which key time they are wanted, and known to the grantor.
        milliseconds requested_refusal_bound{0};
        milliseconds acked_refusal_bound{0};
        std::uint64_t refusal_bound_sequence = 0; // the first heartbeat that said requested_refusal_bound

        // As the grantor.
        bool renewed = false;           // acknowledged this owner at least once
        milliseconds refusals_until{0}; // as the owner said
        microseconds last_renewal{0};       // when this host last acknowledged the owner
        bool direct_takeover_allowed = false;

        // As a claimant.
        bool claim_open = false;
        microseconds claim_after{0};

        epoch memory_epoch; // the epoch whose owner sent its memory
    };

    struct peer_state
    {
        std::uint64_t incarnation = 0;
        microseconds heard{0};
        std::uint64_t sequence = 0; // of the latest heartbeat
        bool leaving = false;
    };

    // The newest process of a name, and when this host first had word of it.
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
    void replace_grantor(std::uint32_t shard, instant now, action_list& out, ownership_events& events);
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
    std::map<std::string, microseconds> m_last_listed;   // host -> when the list last named it
    std::map<std::string, microseconds> m_unlisted_since; // host -> since when the list omits it
    std::map<std::string, newest_process> m_newest_process;
    microseconds m_list_read_at{-1}; // when the list was last asked for with success
    microseconds m_next_heartbeat{0};
    microseconds m_started_at{-1};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_next_offset = 0;
    std::uint64_t m_first_kept = 0;
    bool m_log_read = false;
    bool m_log_reachable = false;
    bool m_leaving = false;
    std::uint64_t m_claims_made = 0;
    std::uint64_t m_claims_lost = 0;
};

} // namespace egretledge

#endif
