#include "policy/fresh_read.h"

#include <algorithm>
#include <vector>

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
    json eras = json::array();
    for (const kind_version &version : read.kinds) {
        kinds.push_back(version.completeTo.revision());
        kinds.push_back(version.digest);
        eras.push_back(version.completeTo.era().value());
    }
    json message = json::array({read.origin.value(), read.sequence, read.age.count(), std::move(kinds)});
    if (std::any_of(read.kinds.begin(), read.kinds.end(), [](const kind_version &version) { return version.completeTo.era() != store_era(); })) {
        message.push_back(std::move(eras));
    }
    return message.dump();
}

outcome<fresh_read> decodeFreshRead(const std::string &payload)
{
    const outcome<json> document = parseJson(payload);
    if (!document || !document->is_array() || document->size() < 4 || document->size() > 5 || !(*document)[3].is_array()) {
        return malformed();
    }
    const json &kinds = (*document)[3];
    const json eras = document->size() == 5 ? (*document)[4] : json(std::vector<std::uint64_t>(STORE_KINDS.size()));
    const json &age = (*document)[2];
    if (!(*document)[0].is_number_unsigned() || !(*document)[1].is_number_unsigned() || !age.is_number_unsigned() || age > MAX_AGE_US
        || kinds.size() != 2 * STORE_KINDS.size() || !eras.is_array() || eras.size() != STORE_KINDS.size()) {
        return malformed();
    }
    const auto isNumber = [](const json &number) { return number.is_number_unsigned(); };
    if (!std::all_of(kinds.begin(), kinds.end(), isNumber) || !std::all_of(eras.begin(), eras.end(), isNumber)) {
        return malformed();
    }
    fresh_read read;
    read.origin = run_number((*document)[0].get<std::uint64_t>());
    read.sequence = (*document)[1].get<std::uint64_t>();
    read.age = duration(age.get<std::int64_t>());
    for (std::size_t i = 0; i < STORE_KINDS.size(); ++i) {
        read.kinds[i] = {store_position(kinds[2 * i].get<std::uint64_t>(), store_era(eras[i].get<std::uint64_t>())), kinds[2 * i + 1].get<std::uint64_t>()};
    }
    return read;
}

} // namespace snipefall
