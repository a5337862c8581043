#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace snipefall {

/** Encodes bytes as lower-case hexadecimal digits. */
std::string toHex(std::string_view bytes);

/** Decodes lower-case hexadecimal digits; nothing if the length is odd or another character occurs. */
std::optional<std::string> fromHex(std::string_view text);

} // namespace snipefall
