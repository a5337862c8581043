#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/json.h"
#include "policy/closing_step.h"

namespace snipefall {

/**
 * Progress of the closing of a service: new requests are refused, running ones are drained, and a final report is signed.
 *
 * It is the value of the object closings/<service>. Any node may continue a closing; each step is one conditional write.
 */
struct closing_record
{
    service_id service;
    closing_state state = closing_state::open;
    std::string author;
    std::string reason;
    config_version configuration; ///< The configuration version that was in force when the service was first found to refuse new requests; 0 until then.
    std::string reportHash; ///< SHA-256 of the published report; set only in the state signed_off.
    std::vector<closing_step> steps; ///< Oldest first; the last one is the current state.

    bool operator==(const closing_record &) const = default;
};

/** The key of the object that holds the closing of @p service. */
std::string closingKey(const service_id &service);

/** Creates a record in the state of @p first, which must be refusing; invalid_argument when the service, author or reason is empty. */
outcome<closing_record> startClosing(const service_id &service, const std::string &author, const std::string &reason, const closing_step &first);

/**
 * Returns the record after the step @p next; conflict when the current state doesn't allow that step. A step to the current state returns the record
 * unchanged, so that repeated calls are idempotent.
 */
outcome<closing_record> advanceClosing(const closing_record &record, const closing_step &next);

json toJson(const closing_record &record);
/** Decodes and checks a record; invalid_argument when a state is unknown, the service is missing or the steps are not a valid history. */
outcome<closing_record> parseClosingRecord(const json &document);

} // namespace snipefall
