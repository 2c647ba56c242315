#ifndef EGRETLEDGE_IO_DUMP_JSON_HPP
#define EGRETLEDGE_IO_DUMP_JSON_HPP

// A node's dump as JSON. Its conversion is compiled once, here: the struct is large and the
// compiler takes long over it.

#include "core/node.hpp"

namespace egretledge
{

std::string dump_to_json(const node_dump& dump);
expected<node_dump> dump_from_json(std::string_view text);
expected<host_listing> listing_from_json(std::string_view text);
std::string listing_to_json(const host_listing& listing);

} // namespace egretledge

#endif
