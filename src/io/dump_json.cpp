// Contains the conversions only; dump_json.hpp gives the reason.

#include "io/dump_json.hpp"
#include "io/codec.hpp"

namespace egretledge
{

std::string dump_to_json(const node_dump& dump)
{
    return to_json(dump);
}

expected<node_dump> dump_from_json(std::string_view text)
{
    return from_json<node_dump>(text);
}

expected<host_listing> listing_from_json(std::string_view text)
{
    return from_json<host_listing>(text);
}

std::string listing_to_json(const host_listing& listing)
{
    return to_json(listing);
}

} // namespace egretledge
