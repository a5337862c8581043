#include "tests/stand_ins/site_records.h"

#include <fmt/format.h>

#include "core/crypto.h"

namespace snipefall {

std::string siteRecords(const std::string &service, const std::string &target, std::size_t count)
{
    std::string records;
    for (std::size_t i = 0; i < count; ++i) {
        records += sha256Hex(fmt::format("{}|{}|{}", service, target, i)).substr(0, 16);
    }
    return records;
}

std::string siteSignature(const std::string &service, const std::string &requestId, unsigned long number)
{
    return service + "." + requestId + "." + std::to_string(number);
}

} // namespace snipefall
