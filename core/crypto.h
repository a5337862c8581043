#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace snipefall {

/** SHA-256 of @p data as 64 lower-case hexadecimal digits. */
std::string sha256Hex(std::string_view data);

/** HMAC-SHA256 of @p data under @p key, as 32 raw bytes. */
std::string hmacSha256(std::string_view key, std::string_view data);

/** Compares two strings in a time that does not depend on their contents, against timing attacks. The time may depend on their lengths. */
bool constantTimeEquals(std::string_view a, std::string_view b);

/** A 64-bit hash with the same value on every node; for placement, not for security. */
std::uint64_t stableHash(std::string_view data);

} // namespace snipefall
