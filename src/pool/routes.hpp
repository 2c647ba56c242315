#ifndef EGRETLEDGE_POOL_ROUTES_HPP
#define EGRETLEDGE_POOL_ROUTES_HPP

// The pool configuration in force: the routes that callers use and their limits.

#include "pool/pool_types.hpp"
#include <memory>

namespace egretledge::pool
{

struct route
{
    std::string name;
    std::string host; // matched against the request's Host header
    std::string path_prefix;
    job_terms terms; // `wait` is the route's timeout, used unless a call sets its own
};

struct route_config
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::uint64_t max_body_bytes = 262144;
    std::string published; // as published by the platform, for hosts that cannot fetch it
};
using route_config_ptr = std::shared_ptr<const route_config>;

// Returns the route of `host` with the longest prefix of `path`; null if none matches. A port at
// the end of `host` is ignored.
const route* match_route(const route_config& config, std::string_view host, std::string_view path);

} // namespace egretledge::pool

#endif
