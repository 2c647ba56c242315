#include "pool/routes.hpp"

namespace egretledge::pool
{

const route* match_route(const route_config& config, std::string_view host, std::string_view path)
{
    host = host.substr(0, host.find(':'));
    const route* best = nullptr;
    for (const auto& candidate : config.routes)
    {
        if (candidate.host != host || !path.starts_with(candidate.path_prefix))
            continue;
        if (best == nullptr || candidate.path_prefix.size() > best->path_prefix.size())
            best = &candidate;
    }
    return best;
}

} // namespace egretledge::pool
