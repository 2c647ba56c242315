#include "io/base64.hpp"
#include <openssl/evp.h>

namespace egretledge
{

std::string to_base64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

expected<std::string> from_base64(std::string_view text)
{
    if (text.empty())
        return std::string{};
    std::string bytes(3 * (text.size() / 4) + 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                     reinterpret_cast<const unsigned char*>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0 || text.size() % 4 != 0)
        return tl::make_unexpected(error{error_kind::bad_input, "not base64"});
    // EVP_DecodeBlock decodes padding characters to zero bytes and includes them in the size.
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace egretledge
