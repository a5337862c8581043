#include "policy/record_merge.h"

#include <algorithm>

namespace snipefall {

std::string greatestRecords(const std::vector<std::string_view> &bodies, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const std::string_view body : bodies) {
        for (std::size_t offset = 0; offset + RECORD_BYTES <= body.size(); offset += RECORD_BYTES) {
            records.push_back(body.substr(offset, RECORD_BYTES));
        }
    }
    const std::size_t kept = std::min(count, records.size());
    // std::string_view compares bytes as unsigned characters, so bytes above 127 are greater.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * RECORD_BYTES);
    for (std::size_t i = 0; i < kept; ++i) {
        merged += records[i];
    }
    return merged;
}

} // namespace snipefall
