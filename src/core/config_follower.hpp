#ifndef EGRETLEDGE_CORE_CONFIG_FOLLOWER_HPP
#define EGRETLEDGE_CORE_CONFIG_FOLLOWER_HPP

// Follows the stream of publications and holds the configuration that is in force. The rules by
// which every reader reaches the same verdict on each record stand at the top of
// config_follower.cpp.

#include "core/messages.hpp"
#include "egretledge/config.hpp"
#include <deque>
#include <map>

namespace egretledge
{

// What became of a publication.
enum class publication_verdict : std::uint8_t
{
    accepted,
    clashed,     // an object it changes was changed after its base
    not_valid,   // the whole set would not pass the check
    base_too_old // its base is older than the latest snapshot
};
BOOST_DESCRIBE_ENUM(publication_verdict, accepted, clashed, not_valid, base_too_old)

struct evaluated_publication
{
    std::string id;
    std::string author;
    std::uint64_t offset = 0;
    std::uint64_t revision = 0; // after the record
    publication_verdict verdict = publication_verdict::accepted;
    std::vector<std::string> objects; // changed and removed; those that clashed if it clashed
    std::string detail;
};

// The record of a publication that makes `change` against `base`.
wire::LogRecord make_publication(const std::string& id, const std::string& author,
                                 std::uint64_t base, const config_difference& change);

class config_follower
{
public:
    // Applies records in order. Returns true if a new configuration is in force.
    bool on_page(const log_page& page);
    // A peer's newer state replaces an older one, never the other way round.
    bool on_state(const wire::ConfigState& state);
    wire::ConfigState state() const;

    // Null until the first publication took hold.
    configuration_ptr current() const { return m_current; }
    std::uint64_t revision() const { return m_revision; }
    std::uint64_t next_offset() const { return m_next_offset; }
    // The latest records, to hand on to peers.
    const std::deque<log_entry>& recent() const { return m_recent; }
    // The latest verdicts, oldest first.
    const std::deque<evaluated_publication>& history() const { return m_history; }
    bool saw_snapshot() const { return m_saw_snapshot; }
    void clear_snapshot_seen() { m_saw_snapshot = false; }

    // A record that holds the whole set, so that earlier records may age out.
    wire::LogRecord snapshot() const;

private:
    bool apply_publication(const log_entry& entry, const wire::Publication& publication);
    bool apply_snapshot(const log_page& page, const wire::Publication& publication);
    void process_publication(const log_entry& entry, const wire::Publication& publication);
    bool install(std::vector<config_object> objects, std::uint64_t revision,
                 evaluated_publication& verdict);
    std::vector<std::string> clashes(const wire::Publication& publication) const;
    void append_history(evaluated_publication verdict);

    configuration_ptr m_current;
    std::vector<config_object> m_objects;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_changed_at;
    std::uint64_t m_revision = 0;
    std::uint64_t m_next_offset = 0;
    std::uint64_t m_base_floor = 0;
    bool m_has_state = false;
    bool m_saw_snapshot = false;
    std::deque<log_entry> m_recent;
    std::deque<evaluated_publication> m_history;
};

} // namespace egretledge

#endif
