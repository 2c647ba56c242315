#ifndef EGRETLEDGE_IO_BASE64_HPP
#define EGRETLEDGE_IO_BASE64_HPP

#include "egretledge/types.hpp"
#include <string>
#include <string_view>

namespace egretledge
{

// Encodes with padding and without line breaks.
std::string to_base64(std::string_view bytes);
// Returns the decoded bytes, or an error of kind bad_input if the text is not padded base64.
expected<std::string> from_base64(std::string_view text);

} // namespace egretledge

#endif
