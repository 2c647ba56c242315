#ifndef EGRETLEDGE_HARNESS_SCHEDULE_DIGEST_HPP
#define EGRETLEDGE_HARNESS_SCHEDULE_DIGEST_HPP

// A digest of a drawn schedule (FNV-1a, 64 bits). It is computed from integers and unsigned bytes
// only, in the order in which they are added, so that it is the same on every machine.

#include <cmath>
#include <cstdint>
#include <string_view>

namespace egretledge::harness
{

class schedule_digest
{
public:
    void add(std::uint64_t number)
    {
        for (int shift = 0; shift < 64; shift += 8)
            add_byte(static_cast<std::uint8_t>(number >> shift));
    }
    void add(std::string_view text)
    {
        add(std::uint64_t{text.size()});
        for (const char c : text)
            add_byte(static_cast<std::uint8_t>(c));
    }
    // Rounds to a millionth: compilers may contract floating-point operations, which changes the
    // last bit.
    void add_real(double number) { add(static_cast<std::uint64_t>(std::llround(number * 1e6))); }
    std::uint64_t value() const { return m_value; }

private:
    void add_byte(std::uint8_t byte)
    {
        constexpr std::uint64_t prime = 1099511628211ULL;
        m_value = (m_value ^ byte) * prime;
    }

    std::uint64_t m_value = 14695981039346656037ULL;
};

} // namespace egretledge::harness

#endif
