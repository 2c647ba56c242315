// Ownership of shards: a table ordered by the log, and leases granted by one peer.
//
// The keys of a data centre are divided into a fixed number of shards. For each shard the
// platform's log holds claims. A claim names an owner, a grantor, and the term that it is based on.
// It wins if that term is still current at the claim's position in the log; its own position then
// becomes the new term. Every host that reads the log computes the same table, independent of its
// host list. If two hosts both claim a shard, the order of the log decides between them.
//
// Requests do not involve the log. What allows an owner to act at a given moment is a lease. The
// grantor acknowledges the owner's heartbeats; with each acknowledgement it promises not to take
// over the shard for one lease period. The owner counts the period from when it SENT the heartbeat;
// the grantor counts from when it ANSWERED it and adds a margin and 1% for clock drift. So when a
// grantor takes over, the owner's lease has expired, even if the owner's process was paused.
//
// Which host may change the owner or grantor of a shard:
//  1. The grantor appends a claim if the owner was silent for a full lease period. From then on it
//     renews no lease of that shard, because an append whose answer was lost may still take effect.
//     It repeats the claim until the log shows a winner.
//  2. The owner may claim its own shard again with a new grantor if its grantor does not answer.
//     From then on its old lease is frozen (no longer extended). The new grantor counts a full
//     lease period from the moment at which it reads the claim, which is later than the time at
//     which the claim was made.
//  3. While the owner cannot reach the log, its heartbeats say "direct". A grantor that last
//     received "direct" takes over without the log, and is then the sole holder. An owner that has
//     said "direct" gives up right 2 until the grantor acknowledges a heartbeat without it. So at
//     any time at most one of the two can move the shard without the other. If the grantor has
//     terminated, the owner resumes. Therefore a grantor that took over transfers the shard to a
//     new grantor or owner only after the former owner has shown that it knows of the takeover, or
//     has terminated as well.
//  4. Any other host may claim the shard only if both owner and grantor are proven to have
//     terminated: either a higher incarnation of the same host name was heard from, or the
//     platform's host list has omitted the host for longer than the list's maximum lag, counted
//     from when the process was first known. Silence alone proves nothing.
//  5. Any host may claim a shard that has no claim yet; the log decides.
//
// Trade-off: there is no vote and no quorum. A single silent grantor during an outage of the log
// stalls the shards of its owner until the grantor returns or is proven terminated. In exchange, a
// data centre that is partitioned from the platform continues to serve with two hosts, or with one
// host that took over from the other.
//
// The answer "not run" must remain true after the host that gave it has terminated. An owner
// therefore gives it only for keys made at or before a bound that its grantor has acknowledged. The
// bound is sent in the heartbeats and is raised before it is needed. A grantor that takes over then
// knows which keys may have been refused; in normal operation there are none. Any other host that
// takes over must assume that every key may have been refused.
//
// The epoch (term, direct) fences the workers: a worker refuses a start under a lower epoch than it
// has seen for the shard. A new owner queries and fences the workers that it knows. So a grantor
// acknowledges nothing while the owner has a later configuration revision than the grantor, and the
// owner uses the workers of a later revision only after the grantor has acknowledged that revision.

#include "core/ownership.hpp"
#include "core/check.hpp"
#include "core/wire.hpp"
#include <algorithm>

namespace egretledge
{

namespace
{

constexpr int drift_divisor = 100; // a grantor adds 1/100 of the lease for clock drift
constexpr const char* handover_reason = "handover";
constexpr std::size_t max_sent_heartbeats = 32;
constexpr microseconds max_host_list_gap = milliseconds{5000};
// A host that is neither owner nor grantor claims a shard only after first_claim_delay plus its
// rank times claim_rank_delay, so that the claims of several hosts rarely conflict.
constexpr microseconds first_claim_delay = milliseconds{600};
constexpr microseconds claim_rank_delay = milliseconds{700};
constexpr std::uint32_t grantor_epoch_step = 1;
// An owner that resumes after its grantor terminated must exceed the epoch under which the grantor
// may have taken over.
constexpr std::uint32_t owner_epoch_step = 2;

} // namespace

ownership::ownership(ownership_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings)), m_random(seed), m_shards(m_settings.shards)
{
    EGRET_CHECK(m_settings.shards > 0, "a data centre must have at least one shard");
    EGRET_CHECK(m_settings.lease > 4 * m_settings.heartbeat_interval,
                "the lease must be longer than four heartbeat intervals");
}

microseconds ownership::takeover_timeout() const
{
    const microseconds lease = m_settings.lease;
    return lease + lease / drift_divisor + m_settings.margin;
}

bool ownership::owned_by_self(std::uint32_t shard) const
{
    return m_shards.at(shard).owner == m_settings.self;
}

bool ownership::lease_valid(const shard_state& state, instant now) const
{
#ifdef EGRETLEDGE_BREAK_LEASE
    return true; // injected defect, see scripts/check-broken.sh
#endif
    return state.sole_holder || now.steady < state.lease_until;
}

bool ownership::may_serve(std::uint32_t shard, instant now) const
{
    const auto& state = m_shards.at(shard);
    return state.owner == m_settings.self && !state.handing_over && lease_valid(state, now);
}

microseconds ownership::serves_until(std::uint32_t shard, instant now) const
{
    if (!may_serve(shard, now))
        return microseconds{0};
    const auto& state = m_shards.at(shard);
    return state.sole_holder ? now.steady + m_settings.lease : state.lease_until;
}

std::uint32_t ownership::owned_count() const
{
    return static_cast<std::uint32_t>(std::count_if(m_shards.begin(), m_shards.end(),
                                                    [&](const shard_state& s)
                                                    { return s.owner == m_settings.self; }));
}

std::uint32_t ownership::count_owned_by(const std::string& host) const
{
    return static_cast<std::uint32_t>(std::count_if(m_shards.begin(), m_shards.end(),
                                                    [&](const shard_state& s)
                                                    { return s.owner.name == host; }));
}

std::vector<host_ref> ownership::live_peers(instant now, bool with_leaving) const
{
    std::vector<host_ref> live;
    for (const auto& [name, peer] : m_peers)
    {
        const bool alive = peer.incarnation != 0 && now.steady - peer.last_heard < m_settings.lease;
        if (alive && (with_leaving || !peer.leaving))
            live.push_back({name, peer.incarnation});
    }
    return live;
}

// Returns the live host that follows `owner` in the circular order of names, or an empty reference
// if there is none. This host is a candidate too, unless it is `owner` or is shutting down.
host_ref ownership::choose_grantor(instant now, const host_ref& owner) const
{
    auto candidates = live_peers(now);
    if (!m_leaving)
        candidates.push_back(m_settings.self);
    std::erase_if(candidates, [&](const host_ref& h) { return h.name == owner.name; });
    if (candidates.empty())
        return {};
    std::sort(candidates.begin(), candidates.end());
    const auto next = std::find_if(candidates.begin(), candidates.end(),
                                   [&](const host_ref& h) { return h.name > owner.name; });
    return next == candidates.end() ? candidates.front() : *next;
}

// Returns this host's rank among the hosts that may claim `shard`. The rank differs from shard to
// shard, so that a new data centre distributes its shards evenly and claims rarely conflict.
std::size_t ownership::claim_rank(std::uint32_t shard, instant now) const
{
    auto candidates = live_peers(now);
    candidates.push_back(m_settings.self);
    std::sort(candidates.begin(), candidates.end());
    const auto self = std::find(candidates.begin(), candidates.end(), m_settings.self);
    const auto index = static_cast<std::size_t>(self - candidates.begin());
    return (index + candidates.size() - shard % candidates.size()) % candidates.size();
}

bool ownership::proven_terminated(const host_ref& host, instant now) const
{
    if (host.empty())
        return true;
    if (host.name == m_settings.self.name)
        return host.incarnation < m_settings.self.incarnation;
    const auto peer = m_peers.find(host.name);
    if (peer != m_peers.end())
    {
        if (peer->second.incarnation > host.incarnation)
            return true;
        if (peer->second.incarnation == host.incarnation &&
            now.steady - peer->second.last_heard < m_settings.lease)
            return false;
    }
    const auto omitted = m_unlisted_since.find(host.name);
    if (omitted == m_unlisted_since.end())
        return false;
    // The list may omit a host because an earlier process of that name ended, while a newer one
    // already runs and is not listed yet. Only an omission for longer than the list's lag, counted
    // from when the newest process was first known, proves that no process of that name runs. Time
    // after the latest successful read of the list does not count.
    const auto newest = m_newest_process.find(host.name);
    const auto since = newest == m_newest_process.end()
                           ? omitted->second
                           : std::max(omitted->second, newest->second.first_known);
    return m_list_read_at - since > microseconds{m_settings.host_list_lag};
}

void ownership::on_host_list(instant requested_at, instant answered_at,
                             const std::vector<listed_host>& hosts)
{
    // Changes of the list during a gap between reads are unknown, so omissions are counted from the
    // start again.
    if (requested_at.steady - m_list_read_at > max_host_list_gap)
        m_unlisted_since.clear();
    std::vector<std::string> named;
    for (const auto& host : hosts)
    {
        if (host.data_centre != m_settings.data_centre)
            continue;
        named.push_back(host.name);
        m_last_listed[host.name] = answered_at.steady;
        m_unlisted_since.erase(host.name);
        if (host.name != m_settings.self.name)
            m_peers.try_emplace(host.name);
    }
    m_list_read_at = requested_at.steady;
    const auto record_omission = [&](const std::string& name)
    {
        if (!name.empty() && std::find(named.begin(), named.end(), name) == named.end())
            m_unlisted_since.try_emplace(name, answered_at.steady);
    };
    for (const auto& shard : m_shards)
    {
        record_omission(shard.owner.name);
        record_omission(shard.grantor.name);
    }
    for (const auto& [name, peer] : m_peers)
        record_omission(name);
}

// Returns whether a shard without a known owner may be claimed. A log that starts above offset 0
// may have dropped the claim of a live owner; then every listed host of the data centre must have
// been heard from within the last lease period.
bool ownership::may_claim_unowned(instant now) const
{
    if (m_first_kept_offset == 0)
        return true;
    if (m_list_read_at < microseconds{0})
        return false;
    for (const auto& [name, listed] : m_last_listed)
    {
        if (name == m_settings.self.name || m_unlisted_since.contains(name))
            continue;
        const auto peer = m_peers.find(name);
        const bool alive = peer != m_peers.end() && peer->second.incarnation != 0 &&
                           now.steady - peer->second.last_heard < microseconds{m_settings.lease};
        if (!alive)
            return false;
    }
    return true;
}

void ownership::on_log_reachable(instant, bool reachable)
{
    m_log_reachable = reachable;
}

void ownership::on_log_page(instant now, const log_page& page, ownership_events& events)
{
    m_log_read = true;
    m_log_reachable = true;
    m_first_kept_offset = page.first_kept;
    for (const auto& entry : page.entries)
    {
        if (entry.offset < m_next_offset)
            continue;
        m_next_offset = entry.offset + 1;
        wire::LogRecord record;
        if (record.ParseFromString(entry.data) && record.has_claim())
            apply_claim(now, entry.offset, record.claim(), events);
    }
    m_next_offset = std::max(m_next_offset, page.next);
}

void ownership::apply_claim(instant now, std::uint64_t offset, const wire::Claim& claim,
                            ownership_events& events)
{
    if (claim.shard() >= m_shards.size())
        return;
    auto& state = m_shards[claim.shard()];
    // A reader that started after old records aged out may have treated a losing claim as the
    // winner. A claim whose base lies between that claim's own base and its term reveals this: no
    // such term could exist if that claim had won.
    const bool corrects = m_first_kept_offset > 0 && claim.base_term() > state.log_base &&
                          claim.base_term() < state.log_term;
    const bool first_seen = state.log_term == 0 && m_first_kept_offset > 0;
    if (claim.base_term() != state.log_term && !corrects && !first_seen)
    {
        if (from_wire(claim.owner()) == m_settings.self)
            ++m_claims_lost;
        return;
    }
    state.log_base = claim.base_term();
    state.log_term = offset + 1;
    const epoch won{offset + 1, 0};
    if (won < state.current)
        return;
    set_owner(claim.shard(), now, won, from_wire(claim.owner()), from_wire(claim.grantor()),
              claim.reason() == handover_reason, events);
}

void ownership::set_owner(std::uint32_t shard, instant now, epoch current, const host_ref& owner,
                          const host_ref& grantor, bool with_memory, ownership_events& events)
{
    auto& state = m_shards[shard];
    const bool was_self = state.owner == m_settings.self;
    const bool is_self = owner == m_settings.self;
    const bool had_memory =
        with_memory && state.memory_epoch == state.current && state.current.term != 0;
    const bool same_owner = state.owner == owner;
    const bool never_owned = state.current.term == 0 && m_first_kept_offset == 0;
    gained_shard gain{shard, current, gain_reason::takeover, state.renewed, state.refusals_until};
    if (!same_owner || state.grantor != grantor)
    {
        state.acked_refusal_bound = milliseconds{0};
        state.refusal_bound_sequence = 0;
        // A bound reported to a former grantor does not cover what the owner refuses without it.
        state.renewed = false;
        state.refusals_until = milliseconds{0};
    }
    record_process(now, owner);
    record_process(now, grantor);
    state.current = current;
    state.owner = owner;
    state.grantor = grantor;
    state.learned_at = now.steady;
    state.claim_open = false;
    state.lease_frozen = false;
    state.grantor_claim_open = false;
    state.handing_over = false;
    state.handover_to = {};
    state.sole_holder = is_self && grantor.empty();
    state.uninformed_owner = {};
    if (!same_owner)
    {
        state.direct_takeover_allowed = false;
        state.last_renewal = microseconds{0};
        state.requested_refusal_bound = milliseconds{0};
        state.revision_acked = 0;
    }
    // The claim of a handover was made by the former owner. If this host had an open claim as well,
    // that claim lost, and its time starts no lease.
    if (is_self && !with_memory && !state.sole_holder && state.claimed_at > microseconds{0})
        state.lease_until =
            std::max(state.lease_until, state.claimed_at + microseconds{m_settings.lease});
    if (!is_self)
        state.lease_until = microseconds{0};
    state.claimed_at = microseconds{0};
    state.direct_allowed = false;
    state.lease_expired = false;
    if (was_self && !is_self)
        events.lost.push_back(shard);
    if (!was_self && is_self)
    {
        gain.reason = never_owned  ? gain_reason::first
                      : had_memory ? gain_reason::handed_over
                                   : gain_reason::takeover;
        events.gained.push_back(gain);
        m_next_heartbeat = now.steady;
    }
}

void ownership::take_over_directly(std::uint32_t shard, instant now, std::uint32_t epoch_step,
                                   ownership_events& events)
{
    auto& state = m_shards[shard];
    const epoch next{state.current.term, state.current.direct + epoch_step};
    const auto former = state.owner;
    const bool was_self = former == m_settings.self;
    set_owner(shard, now, next, m_settings.self, {}, false, events);
    if (!was_self)
        state.uninformed_owner = former;
    if (was_self)
        events.gained.push_back({shard, next, gain_reason::takeover, false, milliseconds{0}});
}

void ownership::claim(std::uint32_t shard, instant now, const host_ref& owner,
                      const host_ref& grantor, const char* reason, action_list& out)
{
    auto& state = m_shards[shard];
    if (now.steady < state.claim_after)
        return;
    const auto retry = microseconds{m_settings.claim_retry};
    std::uniform_int_distribution<std::int64_t> jitter(0, retry.count() / 4);
    state.claim_after = now.steady + retry + microseconds{jitter(m_random)};
    state.claim_open = true;
    // The lease counts from the first attempt, which may be the one that takes effect.
    if (owner == m_settings.self && state.claimed_at == microseconds{0})
        state.claimed_at = now.steady;
    wire::LogRecord record;
    auto& body = *record.mutable_claim();
    body.set_shard(shard);
    body.set_base_term(state.log_term);
    to_wire(owner, *body.mutable_owner());
    to_wire(grantor, *body.mutable_grantor());
    body.set_reason(reason);
    ++m_claims_made;
    out.push_back(
        actions::append_log{"ownership." + m_settings.data_centre, record.SerializeAsString()});
}

void ownership::on_tick(instant now, action_list& out, ownership_events& events)
{
    if (m_started_at < microseconds{0})
        m_started_at = now.steady;
    for (std::uint32_t shard = 0; shard < m_shards.size(); ++shard)
    {
        if (owned_by_self(shard))
            tick_owner(shard, now, out, events);
        else if (m_shards[shard].grantor == m_settings.self)
            tick_grantor(shard, now, out, events);
        else
            tick_other_host(shard, now, out);
    }
    if (now.steady >= m_next_heartbeat)
        send_heartbeats(now, out);
}

void ownership::tick_owner(std::uint32_t shard, instant now, action_list& out,
                           ownership_events& events)
{
    auto& state = m_shards[shard];
    if (state.direct_allowed && !lease_valid(state, now))
        state.lease_expired = true;
    if (!state.handover_to.empty())
        return retry_handover(shard, now, out);
    if (state.sole_holder)
    {
        const auto grantor = choose_grantor(now, m_settings.self);
        if (m_log_reachable && !grantor.empty() && may_transfer(shard, now))
        {
            // No other host can move a sole holder's shard, so the first lease under the new
            // grantor starts now, before the claim is read from the log.
            claim(shard, now, m_settings.self, grantor, "grantor", out);
            if (state.claim_open)
            {
                state.sole_holder = false;
                state.grantor_claim_open = true;
                state.grantor = grantor;
                state.lease_until = now.steady + microseconds{m_settings.lease};
            }
        }
        return;
    }
    replace_grantor(shard, now, out, events);
    if (m_log_reachable && !state.claim_open && !state.direct_allowed && !state.handing_over &&
        now.steady - state.learned_at > microseconds{m_settings.claim_refresh})
        claim(shard, now, m_settings.self, state.grantor, "refresh", out);
}

// Replaces a grantor that has terminated, is silent or is shutting down.
void ownership::replace_grantor(std::uint32_t shard, instant now, action_list& out,
                                ownership_events& events)
{
    auto& state = m_shards[shard];
    const bool grantor_terminated = proven_terminated(state.grantor, now);
    if (state.grantor_claim_open)
    {
        state.sole_holder = grantor_terminated;
        return claim(shard, now, m_settings.self, state.grantor, "grantor", out);
    }
    if (grantor_terminated && !state.claim_open)
    {
        if (lease_valid(state, now))
        {
            // The lease has not expired, so the grantor has not taken over. It has terminated, so
            // it cannot do so later either.
            state.sole_holder = true;
            state.grantor = {};
            state.direct_allowed = false;
            return;
        }
        if (state.direct_allowed)
            return take_over_directly(shard, now, owner_epoch_step, events);
    }
    if (state.direct_allowed)
        return;
    const auto peer = m_peers.find(state.grantor.name);
    const bool leaving = peer != m_peers.end() && peer->second.leaving;
    const bool silent = state.lease_until - now.steady < microseconds{m_settings.lease} / 2;
    if (!grantor_terminated && !silent && !state.claim_open && !(leaving && m_log_reachable))
        return;
    // If no peer is left, the claim names no grantor. If it wins, the silent grantor may no longer
    // take over, and this host is the sole holder.
    const auto next = choose_grantor(now, m_settings.self);
    if (next == state.grantor && !silent)
        return;
    claim(shard, now, m_settings.self, next, "new grantor", out);
    state.lease_frozen = state.lease_frozen || state.claim_open;
}

void ownership::tick_grantor(std::uint32_t shard, instant now, action_list& out,
                             ownership_events& events)
{
    auto& state = m_shards[shard];
    const auto counted_from = std::max(state.learned_at, state.last_renewal);
    if (now.steady <= counted_from + takeover_timeout() && !proven_terminated(state.owner, now))
        return;
    if (state.direct_takeover_allowed && !state.claim_open)
        return take_over_directly(shard, now, grantor_epoch_step, events);
    if (!m_leaving)
        claim(shard, now, m_settings.self, choose_grantor(now, m_settings.self), "takeover", out);
}

void ownership::tick_other_host(std::uint32_t shard, instant now, action_list& out)
{
    auto& state = m_shards[shard];
    if (m_leaving || !m_log_read || !m_log_reachable)
        return;
    const bool unowned = state.owner.empty();
    if (unowned && !may_claim_unowned(now))
        return;
    if (!unowned && !(proven_terminated(state.owner, now) && proven_terminated(state.grantor, now)))
        return;
    const auto rank = static_cast<std::int64_t>(claim_rank(shard, now));
    const auto since = std::max(m_started_at, state.learned_at);
    if (now.steady < since + first_claim_delay + rank * claim_rank_delay)
        return;
    claim(shard, now, m_settings.self, choose_grantor(now, m_settings.self), "unowned", out);
}

std::uint64_t ownership::usable_revision(std::uint32_t shard) const
{
    const auto& state = m_shards.at(shard);
    return state.sole_holder ? m_revision : state.revision_acked;
}

milliseconds ownership::acknowledged_refusal_bound(std::uint32_t shard) const
{
#ifdef EGRETLEDGE_BREAK_REFUSALS
    return milliseconds::max(); // injected defect, see scripts/check-broken.sh
#endif
    const auto& state = m_shards.at(shard);
    // A sole holder has no grantor. Any host that takes over from it must assume that every key may
    // have been refused, so refusals need no bound.
    return state.sole_holder ? milliseconds::max() : state.acked_refusal_bound;
}

void ownership::request_refusal_bound(instant now, std::uint32_t shard, milliseconds until)
{
    auto& state = m_shards.at(shard);
    if (until <= state.requested_refusal_bound)
        return;
    state.requested_refusal_bound = until;
    state.refusal_bound_sequence = 0;
    m_next_heartbeat = now.steady;
}

bool ownership::may_transfer(std::uint32_t shard, instant now) const
{
    const auto& state = m_shards.at(shard);
    return state.uninformed_owner.empty() || proven_terminated(state.uninformed_owner, now);
}

// A former owner whose heartbeat no longer lists a shard has learned of the takeover.
void ownership::clear_informed_owner(const host_ref& from, const wire::Heartbeat& heartbeat)
{
    for (std::uint32_t shard = 0; shard < m_shards.size(); ++shard)
    {
        const bool still_owns = std::any_of(heartbeat.owned().begin(), heartbeat.owned().end(),
                                            [&](const wire::OwnedShard& owned_shard)
                                            { return owned_shard.shard() == shard; });
        if (m_shards[shard].uninformed_owner == from && !still_owns)
            m_shards[shard].uninformed_owner = {};
    }
}

void ownership::begin_handover(std::uint32_t shard)
{
    EGRET_CHECK(owned_by_self(shard), "only the owner of a shard can hand it over");
    m_shards[shard].handing_over = true;
}

void ownership::cancel_handover(std::uint32_t shard)
{
    auto& state = m_shards.at(shard);
    if (state.handover_to.empty())
        state.handing_over = false;
}

void ownership::finish_handover(instant, std::uint32_t shard, const host_ref& to)
{
    auto& state = m_shards.at(shard);
    EGRET_CHECK(state.handing_over, "begin_handover() must precede finish_handover()");
    state.handover_to = to;
    state.claim_after = microseconds{0};
}

// Claims the shard on behalf of the receiver. Without a valid lease, or while the grantor may take
// over directly, the claim could override a takeover that is not in the log; then the handover is
// cancelled.
void ownership::retry_handover(std::uint32_t shard, instant now, action_list& out)
{
    auto& state = m_shards[shard];
    if (!state.claim_open && (state.direct_allowed || !lease_valid(state, now)))
    {
        state.handover_to = {};
        state.handing_over = false;
        return;
    }
    auto grantor = m_settings.self;
    if (m_leaving)
    {
        auto peers = live_peers(now);
        std::erase_if(peers, [&](const host_ref& h) { return h.name == state.handover_to.name; });
        grantor = peers.empty() ? host_ref{} : peers.front();
    }
    claim(shard, now, state.handover_to, grantor, handover_reason, out);
}

void ownership::on_memory_received(std::uint32_t shard, epoch owner_epoch)
{
    m_shards.at(shard).memory_epoch = owner_epoch;
}

void ownership::send_heartbeats(instant now, action_list& out)
{
    m_next_heartbeat = now.steady + microseconds{m_settings.heartbeat_interval};
    ++m_sequence;
    for (const auto& [name, peer] : m_peers)
    {
        if (m_unlisted_since.contains(name) &&
            now.steady - peer.last_heard > 4 * takeover_timeout())
            continue;
        actions::send_peer send{name, {}};
        auto& heartbeat = *send.message.mutable_heartbeat();
        heartbeat.set_sequence(m_sequence);
        heartbeat.set_leaving(m_leaving);
        for (std::uint32_t shard = 0; shard < m_shards.size(); ++shard)
        {
            auto& state = m_shards[shard];
            if (state.owner != m_settings.self)
                continue;
            auto& owned_shard = *heartbeat.add_owned();
            owned_shard.set_shard(shard);
            to_wire(state.current, *owned_shard.mutable_epoch());
            const bool renew = !state.sole_holder && state.grantor.name == name;
            const bool direct = renew && !m_log_reachable && !state.claim_open;
            owned_shard.set_renew(renew);
            owned_shard.set_direct(direct);
            owned_shard.set_refusals_until_ms(state.requested_refusal_bound.count());
            if (renew && state.refusal_bound_sequence == 0)
                state.refusal_bound_sequence = m_sequence;
            if (direct)
            {
                state.direct_allowed = true;
                state.direct_sequence = m_sequence;
            }
        }
        auto& sent = m_sent_heartbeats[name];
        sent.push_back({m_sequence, now.steady, m_revision});
        heartbeat.set_config_revision(m_revision);
        if (sent.size() > max_sent_heartbeats)
            sent.erase(sent.begin());
        out.push_back(std::move(send));
    }
}

void ownership::record_process(instant now, const host_ref& host)
{
    auto& newest = m_newest_process[host.name];
    if (host.incarnation > newest.incarnation)
        newest = {host.incarnation, now.steady};
}

void ownership::record_incarnation(instant now, const host_ref& from)
{
    record_process(now, from);
    auto& peer = m_peers[from.name];
    if (from.incarnation > peer.incarnation)
        peer = {from.incarnation, now.steady, 0, false};
    if (from.incarnation == peer.incarnation)
        peer.last_heard = now.steady;
}

void ownership::on_heartbeat(instant now, const host_ref& from, const wire::Heartbeat& heartbeat,
                             action_list& out, ownership_events& events)
{
    record_incarnation(now, from);
    auto& peer = m_peers[from.name];
    // Late and duplicate heartbeats are dropped, because they could restore an outdated "direct".
    if (from.incarnation < peer.incarnation || heartbeat.sequence() <= peer.sequence)
        return;
    peer.sequence = heartbeat.sequence();
    peer.leaving = heartbeat.leaving();
    adopt_later_epochs(from, now, heartbeat, events);
    clear_informed_owner(from, heartbeat);
    const auto granted = grant_renewals(from, now, heartbeat);
    if (granted.empty())
        return;
    actions::send_peer reply{from.name, {}};
    auto& ack = *reply.message.mutable_heartbeat_ack();
    ack.set_sequence(heartbeat.sequence());
    for (const auto shard : granted)
        ack.add_granted(shard);
    out.push_back(std::move(reply));
}

// Adopts the epochs that `from` holds and that are later than this host knows: the peer has read
// more of the log, or took over directly.
void ownership::adopt_later_epochs(const host_ref& from, instant now,
                                   const wire::Heartbeat& heartbeat, ownership_events& events)
{
    for (const auto& owned_shard : heartbeat.owned())
    {
        if (owned_shard.shard() >= m_shards.size())
            continue;
        const auto& state = m_shards[owned_shard.shard()];
        const auto claimed = from_wire(owned_shard.epoch());
        if (claimed > state.current)
            set_owner(owned_shard.shard(), now, claimed, from, {}, false, events);
    }
}

std::vector<std::uint32_t> ownership::grant_renewals(const host_ref& from, instant now,
                                                     const wire::Heartbeat& heartbeat)
{
    std::vector<std::uint32_t> granted;
    // The owner may start tasks on workers that are not in this host's configuration yet; after a
    // takeover this host could not query and fence them.
    if (heartbeat.config_revision() > m_revision)
        return granted;
    for (const auto& owned_shard : heartbeat.owned())
    {
        if (owned_shard.shard() >= m_shards.size() || !owned_shard.renew())
            continue;
        auto& state = m_shards[owned_shard.shard()];
        // A heartbeat of an earlier epoch may name a grantor that the owner has replaced since.
        if (state.owner != from || state.claim_open ||
            from_wire(owned_shard.epoch()) != state.current)
            continue;
        state.last_renewal = now.steady;
        state.direct_takeover_allowed = owned_shard.direct();
        state.renewed = true;
        state.refusals_until =
            std::max(state.refusals_until, milliseconds{owned_shard.refusals_until_ms()});
        granted.push_back(owned_shard.shard());
    }
    return granted;
}

void ownership::on_heartbeat_ack(instant now, const host_ref& from, const wire::HeartbeatAck& ack)
{
    record_incarnation(now, from);
    const auto& sent = m_sent_heartbeats[from.name];
    const auto heartbeat =
        std::find_if(sent.begin(), sent.end(),
                     [&](const sent_heartbeat& b) { return b.sequence == ack.sequence(); });
    if (heartbeat == sent.end())
        return;
    for (const auto shard : ack.granted())
    {
        if (shard >= m_shards.size())
            continue;
        auto& state = m_shards[shard];
        if (state.owner != m_settings.self || state.grantor != from || state.lease_frozen ||
            state.sole_holder)
            continue;
        state.lease_until =
            std::max(state.lease_until, heartbeat->sent + microseconds{m_settings.lease});
        state.revision_acked = std::max(state.revision_acked, heartbeat->revision);
        if (lease_valid(state, now))
            state.lease_expired = false;
        if (state.refusal_bound_sequence != 0 && ack.sequence() >= state.refusal_bound_sequence)
            state.acked_refusal_bound = state.requested_refusal_bound;
        if (ack.sequence() > state.direct_sequence)
            state.direct_allowed = false;
    }
}

} // namespace egretledge
