#ifndef EGRETLEDGE_POOL_ROUTES_HPP
#define EGRETLEDGE_POOL_ROUTES_HPP

// The configuration in force for pools: routes that callers use, and what bounds them.

#include "pool/pool_types.hpp"
#include <memory>

namespace egretledge::pool
{

struct route
{
    std::string name;
    std::string host; // of the request's Host header
    std::string path_prefix;
    job_terms terms; // `wait` is the route's timeout until a call names its own
};

struct route_config
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::uint64_t max_body_bytes = 262144;
    std::string published; // as the platform published it, for hosts that cannot read it
};
using route_config_ptr = std::shared_ptr<const route_config>;

// The route of `host` whose prefix is the longest with which `path` begins; null if there is none.
// A port at the end of `host` does not count.
const route* match_route(const route_config& config, std::string_view host, std::string_view path);

} // namespace egretledge::pool

#endif
