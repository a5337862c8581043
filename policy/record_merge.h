#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace snipefall {

/** Size of one record in the answer of a shard, in bytes. */
constexpr std::size_t RECORD_BYTES = 16;

/**
 * Returns the @p count greatest records of all @p bodies, concatenated in descending order.
 *
 * Records are compared byte by byte and duplicates are kept. An incomplete record at the end of a body is ignored.
 */
std::string greatestRecords(const std::vector<std::string_view> &bodies, std::size_t count);

} // namespace snipefall
