#include "policy/leases/usage_record.h"

namespace snipefall {

namespace {

/** Both parts of a fencing token have 32 bits; a record of another writer must not leave a part without a successor. */
constexpr std::uint64_t MAX_COUNTER = 0xFFFF'FF00;

failure malformed()
{
    return {error_code::invalid_argument, "malformed record of the usage report"};
}

} // namespace

json encodeUsageRecord(const usage_record &record)
{
    json unsent = json::array();
    for (const auto &[window, counts] : record.unsent) {
        json byOrganisation = json::object();
        for (const auto &[organisation, count] : counts) {
            byOrganisation[organisation.str()] = count;
        }
        unsent.push_back({{"window", window.value()}, {"counts", std::move(byOrganisation)}});
    }
    return {{"holder", record.holder.str()},
            {"run", record.run.value()},
            {"counter", record.counter},
            {"era", record.era.value()},
            {"renewals", record.renewals},
            {"newest", record.newest.value()},
            {"unsent", std::move(unsent)}};
}

outcome<usage_record> decodeUsageRecord(const json &spec)
{
    if (!spec.is_object() || !spec.contains("holder") || !spec["holder"].is_string()) {
        return malformed();
    }
    for (const char *number : {"run", "counter", "era", "renewals", "newest"}) {
        if (!spec.contains(number) || !spec[number].is_number_unsigned()) {
            return malformed();
        }
    }
    const auto unsent = spec.find("unsent");
    if (unsent == spec.end() || !unsent->is_array()) {
        return malformed();
    }
    if (spec["counter"].get<std::uint64_t>() > MAX_COUNTER || spec["era"].get<std::uint64_t>() > MAX_COUNTER) {
        return malformed();
    }
    usage_record record;
    record.holder = node_id(spec["holder"].get<std::string>());
    record.run = incarnation(spec["run"].get<std::uint64_t>());
    record.counter = spec["counter"].get<std::uint64_t>();
    record.era = store_era(spec["era"].get<std::uint64_t>());
    record.renewals = spec["renewals"].get<std::uint64_t>();
    record.newest = usage_window(spec["newest"].get<std::uint64_t>());
    for (const json &item : *unsent) {
        if (!item.is_object() || !item.contains("window") || !item["window"].is_number_unsigned() || !item.contains("counts") || !item["counts"].is_object()) {
            return malformed();
        }
        usage_counts &counts = record.unsent[usage_window(item["window"].get<std::uint64_t>())];
        for (const auto &[organisation, count] : item["counts"].items()) {
            if (!count.is_number_unsigned()) {
                return malformed();
            }
            counts[organisation_id(organisation)] = count.get<std::uint64_t>();
        }
    }
    return record;
}

} // namespace snipefall
