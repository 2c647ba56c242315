#ifndef EGRETLEDGE_POOL_CONFIG_FETCHER_HPP
#define EGRETLEDGE_POOL_CONFIG_FETCHER_HPP

// Decides when this host requests the configuration from another host: if a peer has a newer one in
// force, and the platform's store has not delivered it for some time; and which peers' requests
// this host answers.
//
// The host that lacks the configuration asks one peer at a time. It therefore receives few copies,
// however many peers have the configuration and however slowly this host reads its messages. If
// peers sent it unasked, their number times its size would be in flight until the host announces
// that it is in force. A host answers few requests at a time, so that its heartbeats don't wait
// behind copies on its link; each host that has received a copy can answer others. The trade-off:
// some round trips more for hosts that cannot reach the store.

#include "pool/membership.hpp"

namespace egretledge::pool
{

struct config_fetcher_settings
{
    // Time for the platform's store to deliver a configuration that a peer has in force. A change
    // of 1,260 routes reaches the last of 37 hosts 0.8 s after the first one.
    milliseconds store_delay{800};
    // Delay before another peer is asked. Doubles with each request.
    milliseconds initial_retry_interval{500};
    milliseconds max_retry_interval{2000};
    // Delay after the answer of a peer that is busy.
    milliseconds busy_retry_delay{100};
    // Maximum number of peers to which this host sends its configuration at a time. Three copies of
    // 300 KB take 0.3 s of a link of 25 Mbit/s, less than the time after which a host counts as
    // dead.
    std::size_t max_copies_in_flight = 3;
    // Time after which a copy counts as lost if its receiver has not announced the version.
    milliseconds copy_timeout{1000};
};

class config_fetcher
{
public:
    explicit config_fetcher(config_fetcher_settings settings) : m_settings(settings) {}

    // Returns the host to request the configuration from now, or nothing. `own_version` is the
    // version in force here; 0 if there is none.
    std::optional<std::string> choose_peer(microseconds now, std::uint64_t own_version,
                                           const membership& peers);
    // Processes the answer of a peer that is busy.
    void on_busy(microseconds now);
    // Returns true if this host sends its configuration to the peer that requests it now.
    bool accept_request(microseconds now, const std::string& peer_name, std::uint64_t own_version,
                        const membership& peers);

private:
    config_fetcher_settings m_settings;
    // State of the requests since `m_own_version` came into force.
    std::uint64_t m_own_version = 0;
    microseconds m_next_request{-1}; // -1: no peer had a newer version
    milliseconds m_retry_interval{0};
    std::uint64_t m_requests = 0;
    std::set<std::string> m_asked; // until all peers with a newer version have been asked
    std::map<std::string, microseconds> m_copies_sent; // in flight, by receiver
};

} // namespace egretledge::pool

#endif
