#ifndef EGRETLEDGE_POOL_CONFIG_FETCHER_HPP
#define EGRETLEDGE_POOL_CONFIG_FETCHER_HPP

// Decides when this host requests the configuration from another host: if a peer has a newer one in
// force, and the platform's store has not delivered it for some time.
//
// The host that lacks the configuration asks one peer at a time. It therefore receives few copies,
// however many peers have the configuration and however slowly this host reads its messages. If
// peers sent it unasked, their number times its size would be in flight until the host announces
// that it is in force. The trade-off: a round trip more for a host that cannot reach the store.

#include "pool/membership.hpp"

namespace egretledge::pool
{

struct config_fetcher_settings
{
    // Time for the platform's store to deliver a configuration that a peer has in force. The store
    // answers a long poll within milliseconds, and within a quarter of a second when it is slow.
    milliseconds store_delay{300};
    // Delay before another peer is asked. Doubles with each request.
    milliseconds initial_retry_interval{500};
    milliseconds max_retry_interval{2000};
};

class config_fetcher
{
public:
    explicit config_fetcher(config_fetcher_settings settings) : m_settings(settings) {}

    // Returns the host to request the configuration from now, or nothing. `own_version` is the
    // version in force here; 0 if there is none.
    std::optional<std::string> choose_peer(microseconds now, std::uint64_t own_version,
                                           const membership& peers);

private:
    config_fetcher_settings m_settings;
    std::uint64_t m_own_version = 0;
    microseconds m_next_request{-1}; // -1: no peer has a newer version
    milliseconds m_retry_interval{0};
    std::uint64_t m_requests = 0; // since `m_own_version` came into force
};

} // namespace egretledge::pool

#endif
