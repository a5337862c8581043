#include "policy/fresh_read.h"

#include "core/json.h"

namespace snipefall {

namespace {

/** Older reads are of no use to anybody. */
constexpr std::int64_t MAX_AGE_US = 60'000'000;

failure malformed()
{
    return {error_code::invalid_argument, "malformed report of a read of the store"};
}

} // namespace

std::string encodeFreshRead(const fresh_read &read)
{
    json kinds = json::array();
    for (const kind_version &version : read.kinds) {
        kinds.push_back(version.completeTo.value());
        kinds.push_back(version.digest);
    }
    return json::array({read.origin.value(), read.sequence, read.age.count(), std::move(kinds)}).dump();
}

outcome<fresh_read> decodeFreshRead(const std::string &payload)
{
    const outcome<json> document = parseJson(payload);
    if (!document || !document->is_array() || document->size() != 4 || !(*document)[3].is_array()) {
        return malformed();
    }
    const json &kinds = (*document)[3];
    const json &age = (*document)[2];
    if (!(*document)[0].is_number_unsigned() || !(*document)[1].is_number_unsigned() || !age.is_number_unsigned() || age > MAX_AGE_US
        || kinds.size() != 2 * STORE_KINDS.size()) {
        return malformed();
    }
    for (const json &number : kinds) {
        if (!number.is_number_unsigned()) {
            return malformed();
        }
    }
    fresh_read read;
    read.origin = run_number((*document)[0].get<std::uint64_t>());
    read.sequence = (*document)[1].get<std::uint64_t>();
    read.age = duration(age.get<std::int64_t>());
    for (std::size_t i = 0; i < STORE_KINDS.size(); ++i) {
        read.kinds[i] = {object_version(kinds[2 * i].get<std::uint64_t>()), kinds[2 * i + 1].get<std::uint64_t>()};
    }
    return read;
}

} // namespace snipefall
