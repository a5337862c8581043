#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace snipefall {

/** Bytes as lower-case hexadecimal digits. */
std::string toHex(std::string_view bytes);

/** The bytes of hexadecimal digits, or nothing if the text is malformed. */
std::optional<std::string> fromHex(std::string_view text);

} // namespace snipefall
