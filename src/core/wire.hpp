#ifndef EGRETLEDGE_CORE_WIRE_HPP
#define EGRETLEDGE_CORE_WIRE_HPP

// Conversions between the types of types.hpp and the generated protobuf messages.

#include "egretledge/types.hpp"
#include "proto/egretledge.pb.h"

namespace egretledge
{

inline host_ref from_wire(const wire::HostRef& ref)
{
    return {ref.name(), ref.incarnation()};
}

inline void to_wire(const host_ref& ref, wire::HostRef& out)
{
    out.set_name(ref.name);
    out.set_incarnation(ref.incarnation);
}

inline epoch from_wire(const wire::Epoch& value)
{
    return {value.term(), value.direct()};
}

inline void to_wire(const epoch& value, wire::Epoch& out)
{
    out.set_term(value.term);
    out.set_direct(value.direct);
}

// Returns an answer of the given kind, final or not, without task results.
inline wire::Answer make_answer(answer_kind kind, std::string detail = {},
                                milliseconds retry_after = milliseconds{0})
{
    wire::Answer answer;
    answer.set_outcome(static_cast<std::uint32_t>(row_of(kind).result));
    answer.set_kind(static_cast<std::uint32_t>(kind));
    answer.set_detail(std::move(detail));
    answer.set_retry_after_ms(static_cast<std::uint32_t>(retry_after.count()));
    return answer;
}

inline answer_kind kind_of(const wire::Answer& answer)
{
    return static_cast<answer_kind>(answer.kind());
}

inline outcome outcome_of(const wire::Answer& answer)
{
    return static_cast<outcome>(answer.outcome());
}

} // namespace egretledge

#endif
