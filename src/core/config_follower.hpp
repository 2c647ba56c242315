#ifndef EGRETLEDGE_CORE_CONFIG_FOLLOWER_HPP
#define EGRETLEDGE_CORE_CONFIG_FOLLOWER_HPP

// Reads the stream of publications and holds the configuration that is in force.
// config_follower.cpp describes the rules by which every reader reaches the same verdict on each
// record.

#include "core/messages.hpp"
#include "egretledge/config.hpp"
#include <deque>
#include <map>

namespace egretledge
{

// The result of evaluating a publication.
enum class publication_verdict : std::uint8_t
{
    accepted,
    clashed,     // an object that it changes or removes was changed after its base revision
    not_valid,   // the resulting set of objects would not pass build_configuration()
    base_too_old // its base revision is older than the latest snapshot
};
BOOST_DESCRIBE_ENUM(publication_verdict, accepted, clashed, not_valid, base_too_old)

struct evaluated_publication
{
    std::string id;
    std::string author;
    std::uint64_t offset = 0;
    std::uint64_t revision = 0; // in force after the record
    publication_verdict verdict = publication_verdict::accepted;
    std::vector<std::string> objects; // "KIND NAME" of those changed and removed, or that clashed
    std::string detail;
};

// Returns the log record of a publication that applies `change` to revision `base`.
wire::LogRecord make_publication(const std::string& id, const std::string& author,
                                 std::uint64_t base, const config_difference& change);

class config_follower
{
public:
    // Applies the records of a page in order. Returns true if a new configuration is in force. The
    // rest of the page is skipped if a snapshot was installed; read on from next_offset().
    bool on_page(const log_page& page);
    // Installs a peer's state if its revision is newer. Returns true if it was installed.
    bool on_state(const wire::ConfigState& state);
    wire::ConfigState state() const;

    // Null until the first configuration is in force.
    configuration_ptr current() const { return m_current; }
    std::uint64_t revision() const { return m_revision; }
    std::uint64_t next_offset() const { return m_next_offset; }
    // The latest publication records, for forwarding to peers; at most 256.
    const std::deque<log_entry>& recent() const { return m_recent; }
    // The latest verdicts, oldest first; at most 256.
    const std::deque<evaluated_publication>& history() const { return m_history; }
    bool snapshot_seen() const { return m_snapshot_seen; }
    void clear_snapshot_seen() { m_snapshot_seen = false; }

    // Returns a record that holds the whole set of objects, so that earlier records may age out of
    // the log.
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
    bool m_snapshot_seen = false;
    std::deque<log_entry> m_recent;
    std::deque<evaluated_publication> m_history;
};

} // namespace egretledge

#endif
