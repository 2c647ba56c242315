// Publications are evaluated by their position in the log alone, so every reader reaches the same
// verdict.
//
// A publication names the revision that it is based on and carries only what it changes. It is
// accepted if no object that it changes or removes was changed after that base, and if the whole
// set with the change passes the check; the revision then increases by one. Otherwise the
// publication changes nothing. Two operators who change different objects both succeed; if they
// change the same object, the first in the log wins.
//
// A snapshot record holds the whole set as of some offset, so that a reader without state can start
// although earlier records have aged out: it installs the set, returns to that offset and applies
// the records that follow. Readers with state only record the snapshot's revision. From there on,
// every reader refuses publications with an older base, because a reader that started from the
// snapshot cannot know when each object was last changed. Any host may write a snapshot at any
// time; a second one does no harm.
//
// A revision never decreases: states from peers are installed only if newer.

#include "core/config_follower.hpp"
#include "core/check.hpp"
#include <algorithm>

namespace egretledge
{

namespace
{

constexpr std::size_t max_recent_records = 256;
constexpr std::size_t max_history = 256;

config_object from_wire_object(const wire::ConfigObject& object)
{
    return {object.kind(), object.name(), object.body(), "", 0};
}

} // namespace

wire::LogRecord make_publication(const std::string& id, const std::string& author,
                                 std::uint64_t base, const config_difference& change)
{
    wire::LogRecord record;
    auto& publication = *record.mutable_publication();
    publication.set_id(id);
    publication.set_author(author);
    publication.set_base_revision(base);
    for (const auto& object : change.changed)
    {
        auto& wire_object = *publication.add_changed();
        wire_object.set_kind(object.kind);
        wire_object.set_name(object.name);
        wire_object.set_body(object.body);
    }
    for (const auto& object : change.removed)
    {
        auto& wire_object = *publication.add_removed();
        wire_object.set_kind(object.kind);
        wire_object.set_name(object.name);
    }
    return record;
}

void config_follower::append_history(evaluated_publication verdict)
{
    m_history.push_back(std::move(verdict));
    if (m_history.size() > max_history)
        m_history.pop_front();
}

bool config_follower::on_page(const log_page& page)
{
    if (!m_has_state && page.first_kept == 0)
        m_has_state = true;
    const auto former_revision = m_revision;
    for (const auto& entry : page.entries)
    {
        if (entry.offset < m_next_offset)
            continue;
        wire::LogRecord record;
        const bool readable = record.ParseFromString(entry.data) && record.has_publication();
        if (readable && record.publication().snapshot())
        {
            // A reader that starts from this snapshot must read on from the snapshot's offset.
            if (apply_snapshot(page, record.publication()))
                return true;
        }
        else if (readable)
            process_publication(entry, record.publication());
        m_next_offset = entry.offset + 1;
    }
    m_next_offset = std::max(m_next_offset, page.next);
    return m_revision > former_revision;
}

void config_follower::process_publication(const log_entry& entry,
                                          const wire::Publication& publication)
{
    if (m_has_state)
        apply_publication(entry, publication);
    m_recent.push_back(entry);
    if (m_recent.size() > max_recent_records)
        m_recent.pop_front();
}

// Returns true if this reader starts from the snapshot and must read on from the snapshot's offset.
bool config_follower::apply_snapshot(const log_page& page, const wire::Publication& publication)
{
    m_snapshot_seen = true;
    if (m_has_state)
    {
        if (publication.revision() <= m_revision)
            m_base_floor = std::max(m_base_floor, publication.revision());
        return false;
    }
    if (publication.up_to() < page.first_kept)
        return false; // some of the records that follow it have aged out
    wire::ConfigState state;
    state.set_revision(publication.revision());
    state.set_next_offset(0);
    state.set_base_floor(publication.revision());
    for (const auto& object : publication.changed())
    {
        auto& copy = *state.add_objects();
        copy = object;
        copy.set_changed_at(publication.revision());
    }
    if (!on_state(state))
        return false;
    m_next_offset = publication.up_to();
    return true;
}

std::vector<std::string> config_follower::clashes(const wire::Publication& publication) const
{
    std::vector<std::string> found;
    const auto check = [&](const std::string& kind, const std::string& name)
    {
        const auto changed = m_changed_at.find({kind, name});
        if (changed != m_changed_at.end() && changed->second > publication.base_revision())
            found.push_back(kind + " " + name);
    };
    for (const auto& object : publication.changed())
        check(object.kind(), object.name());
    for (const auto& object : publication.removed())
        check(object.kind(), object.name());
    return found;
}

bool config_follower::apply_publication(const log_entry& entry,
                                        const wire::Publication& publication)
{
    evaluated_publication verdict{
        publication.id(), publication.author(), entry.offset, m_revision, {}, {}, {}};
    // The append of a publication may have been retried; only the first record counts.
    const bool repeated =
        std::any_of(m_history.begin(), m_history.end(),
                    [&](const evaluated_publication& p) { return p.id == publication.id(); });
    if (repeated)
        return false;
    verdict.objects = clashes(publication);
    if (publication.base_revision() < m_base_floor)
        verdict.verdict = publication_verdict::base_too_old;
    else if (!verdict.objects.empty())
        verdict.verdict = publication_verdict::clashed;
    if (verdict.verdict != publication_verdict::accepted)
    {
        append_history(std::move(verdict));
        return false;
    }
    config_difference change;
    for (const auto& object : publication.changed())
    {
        change.changed.push_back(from_wire_object(object));
        verdict.objects.push_back(object.kind() + " " + object.name());
    }
    for (const auto& object : publication.removed())
    {
        change.removed.push_back({object.kind(), object.name(), "", "", 0});
        verdict.objects.push_back(object.kind() + " " + object.name());
    }
    const bool installed = install(egretledge::apply(m_objects, change), m_revision + 1, verdict);
    if (installed)
    {
        for (const auto& object : change.changed)
            m_changed_at[{object.kind, object.name}] = m_revision;
        for (const auto& object : change.removed)
            m_changed_at[{object.kind, object.name}] = m_revision;
    }
    append_history(std::move(verdict));
    return installed;
}

bool config_follower::install(std::vector<config_object> objects, std::uint64_t revision,
                              evaluated_publication& verdict)
{
    auto built = build_configuration(objects, revision);
    if (!built)
    {
        verdict.verdict = publication_verdict::not_valid;
        verdict.detail = describe(built.error().front());
        return false;
    }
    if (m_current)
        for (const auto& [name, centre] : m_current->data_centres)
        {
            const auto next = built->data_centres.find(name);
            if (next == built->data_centres.end() || next->second.shards == centre.shards)
                continue;
            verdict.verdict = publication_verdict::not_valid;
            verdict.detail = "data_centre " + name + ": shards must not change while it serves";
            return false;
        }
    EGRET_CHECK(revision > m_revision, "the revision of the configuration must increase");
    m_objects = std::move(objects);
    m_revision = revision;
    verdict.revision = revision;
    m_current = std::make_shared<const configuration>(std::move(*built));
    return true;
}

bool config_follower::on_state(const wire::ConfigState& state)
{
    if (state.revision() <= m_revision)
        return false;
    std::vector<config_object> objects;
    for (const auto& object : state.objects())
        objects.push_back(from_wire_object(object));
    evaluated_publication verdict;
    if (!install(std::move(objects), state.revision(), verdict))
        return false;
    m_changed_at.clear();
    for (const auto& object : state.objects())
        m_changed_at[{object.kind(), object.name()}] = object.changed_at();
    for (const auto& object : state.removed())
        m_changed_at[{object.kind(), object.name()}] = object.changed_at();
    m_next_offset = std::max(m_next_offset, state.next_offset());
    m_base_floor = std::max(m_base_floor, state.base_floor());
    m_has_state = true;
    m_recent.clear();
    return true;
}

wire::ConfigState config_follower::state() const
{
    wire::ConfigState state;
    state.set_revision(m_revision);
    state.set_next_offset(m_next_offset);
    state.set_base_floor(m_base_floor);
    for (const auto& object : m_objects)
    {
        auto& wire_object = *state.add_objects();
        wire_object.set_kind(object.kind);
        wire_object.set_name(object.name);
        wire_object.set_body(object.body);
        const auto changed = m_changed_at.find({object.kind, object.name});
        wire_object.set_changed_at(changed == m_changed_at.end() ? 0 : changed->second);
    }
    for (const auto& [changed, revision] : m_changed_at)
    {
        const auto& name = changed;
        const bool present = std::any_of(m_objects.begin(), m_objects.end(),
                                         [&](const config_object& o)
                                         { return o.kind == name.first && o.name == name.second; });
        if (present || revision <= m_base_floor)
            continue;
        auto& wire_object = *state.add_removed();
        wire_object.set_kind(name.first);
        wire_object.set_name(name.second);
        wire_object.set_changed_at(revision);
    }
    return state;
}

wire::LogRecord config_follower::snapshot() const
{
    wire::LogRecord record;
    auto& publication = *record.mutable_publication();
    publication.set_snapshot(true);
    publication.set_revision(m_revision);
    publication.set_up_to(m_next_offset);
    const auto full_state = state();
    for (const auto& object : full_state.objects())
        *publication.add_changed() = object;
    return record;
}

} // namespace egretledge
