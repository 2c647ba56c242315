#ifndef EGRETLEDGE_IO_BASE64_HPP
#define EGRETLEDGE_IO_BASE64_HPP

#include "egretledge/types.hpp"
#include <string>
#include <string_view>

namespace egretledge
{

std::string to_base64(std::string_view bytes);
// The bytes, or an error of kind bad_input if the text is not base64 with its padding.
expected<std::string> from_base64(std::string_view text);

} // namespace egretledge

#endif
