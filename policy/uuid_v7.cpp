#include "policy/uuid_v7.h"

#include <array>

#include <fmt/format.h>

namespace snipefall {

namespace {

constexpr std::size_t TEXT_LENGTH = 36;
constexpr std::uint64_t VERSION_BITS = 0x7000;
constexpr std::uint64_t VERSION_MASK = 0xF000;
constexpr std::uint64_t VARIANT_BITS = 0x8000'0000'0000'0000;
constexpr std::uint64_t VARIANT_MASK = 0xC000'0000'0000'0000;
constexpr std::size_t DIGITS_PER_WORD = 16;

bool isHyphenPosition(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

std::optional<unsigned> hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return std::nullopt;
}

} // namespace

std::optional<uuid_v7> uuid_v7::parse(std::string_view text)
{
    if (text.size() != TEXT_LENGTH) {
        return std::nullopt;
    }
    std::array<std::uint64_t, 2> words{};
    std::size_t digits = 0;
    for (std::size_t position = 0; position < TEXT_LENGTH; ++position) {
        if (isHyphenPosition(position)) {
            if (text[position] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const auto digit = hexDigit(text[position]);
        if (!digit) {
            return std::nullopt;
        }
        std::uint64_t &word = words[digits++ / DIGITS_PER_WORD];
        word = (word << 4) | *digit;
    }
    if ((words[0] & VERSION_MASK) != VERSION_BITS || (words[1] & VARIANT_MASK) != VARIANT_BITS) {
        return std::nullopt;
    }
    return uuid_v7(words[0], words[1]);
}

uuid_v7 uuid_v7::generate(std::uint64_t unixMs, std::uint64_t randomA, std::uint64_t randomB)
{
    return {(unixMs << 16) | VERSION_BITS | (randomA & 0x0FFF), VARIANT_BITS | (randomB & ~VARIANT_MASK)};
}

uuid_v7::age uuid_v7::checkAge(std::uint64_t nowMs, std::uint64_t retentionMs, std::uint64_t aheadMs) const
{
    if (unixMs() > nowMs + aheadMs) {
        return age::too_far_ahead;
    }
    return unixMs() + retentionMs < nowMs ? age::too_old : age::acceptable;
}

std::string uuid_v7::text() const
{
    return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", m_high >> 32, (m_high >> 16) & 0xFFFF, m_high & 0xFFFF, m_low >> 48, m_low & 0xFFFF'FFFF'FFFF);
}

} // namespace snipefall
