#ifndef EGRETLEDGE_IO_DUMP_JSON_HPP
#define EGRETLEDGE_IO_DUMP_JSON_HPP

// JSON conversion of a node's dump and of the host list. It is compiled once, in dump_json.cpp,
// because node_dump is large and its conversion is slow to compile.

#include "core/node.hpp"

namespace egretledge
{

std::string dump_to_json(const node_dump& dump);
expected<node_dump> dump_from_json(std::string_view text);
expected<host_listing> listing_from_json(std::string_view text);
std::string listing_to_json(const host_listing& listing);

} // namespace egretledge

#endif
