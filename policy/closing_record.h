#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/json.h"
#include "policy/closing_step.h"

namespace snipefall {

/** The value of the object closings/<service>. Any node may continue a closing; each step is one conditional update. */
struct closing_record
{
    service_id service;
    closing_state state = closing_state::open;
    std::string author;
    std::string reason;
    config_version configuration; ///< The version in force when the service was seen to refuse new work; 0 before.
    std::string reportHash; ///< SHA-256 of the published text; only in the state signed.
    std::vector<closing_step> steps; ///< Oldest first; the last one is the current state.

    bool operator==(const closing_record &) const = default;
};

/** The key of the object that holds the closing of @p service. */
std::string closingKey(const service_id &service);

/** A record in the state refusing; invalid_argument when a field is empty. */
outcome<closing_record> startClosing(const service_id &service, const std::string &author, const std::string &reason, const closing_step &first);

/**
 * The record after one step; conflict when @p next does not follow the current state. The state that the record is in already gives the
 * record unchanged, so that repeats are harmless.
 */
outcome<closing_record> advanceClosing(const closing_record &record, const closing_step &next);

json toJson(const closing_record &record);
outcome<closing_record> parseClosingRecord(const json &document);

} // namespace snipefall
