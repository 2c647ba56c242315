#include "pool/pool_types.hpp"
#include <boost/describe/enum_to_string.hpp>

namespace egretledge::pool
{

std::string_view name_of(order_result value)
{
    return boost::describe::enum_to_string(value, "unknown");
}

std::string_view name_of(run_end value)
{
    return boost::describe::enum_to_string(value, "unknown");
}

std::string_view name_of(job_query_result value)
{
    return boost::describe::enum_to_string(value, "unknown");
}

} // namespace egretledge::pool
