#include "tests/stand_ins/site_records.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/crypto.h"

namespace snipefall {

namespace {

/** Long answers repeat their first records, since hashes of all would take longer than anything that is tested with them. */
constexpr std::size_t MAX_DISTINCT_RECORDS = 1024;

} // namespace

std::string siteRecords(const std::string &service, const std::string &target, std::size_t count)
{
    constexpr std::size_t RECORD_BYTES = 16;
    std::string records;
    records.reserve(count * RECORD_BYTES);
    for (std::size_t i = 0; i < std::min(count, MAX_DISTINCT_RECORDS); ++i) {
        records += sha256Hex(fmt::format("{}|{}|{}", service, target, i)).substr(0, RECORD_BYTES);
    }
    while (records.size() < count * RECORD_BYTES) {
        records.append(records, 0, count * RECORD_BYTES - records.size());
    }
    return records;
}

std::string siteSignature(const std::string &service, const std::string &requestId, unsigned long number)
{
    return service + "." + requestId + "." + std::to_string(number);
}

} // namespace snipefall
