#include "core/hex.h"

namespace snipefall {

namespace {

constexpr std::string_view HEX_DIGITS = "0123456789abcdef";

}

std::string toHex(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += HEX_DIGITS[byte >> 4];
        text += HEX_DIGITS[byte & 0xF];
    }
    return text;
}

std::optional<std::string> fromHex(std::string_view text)
{
    if (text.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        const std::size_t high = HEX_DIGITS.find(text[i]);
        const std::size_t low = HEX_DIGITS.find(text[i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        bytes += static_cast<char>(high << 4 | low);
    }
    return bytes;
}

} // namespace snipefall
