#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace snipefall {

/** Size of one record in an answer of a shard. */
constexpr std::size_t RECORD_BYTES = 16;

/** The greatest @p count records of the bodies, greatest first, compared byte by byte. Equal records all count; a shorter remainder of a body is left out. */
std::string greatestRecords(const std::vector<std::string_view> &bodies, std::size_t count);

} // namespace snipefall
