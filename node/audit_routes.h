#pragma once

#include <cstdint>
#include <functional>

#include "core/json.h"

namespace snipefall {

class audit_recorder;
class operator_api;

/** Adds GET /v1/audit?after=N; @p readAfter gives the entries after a number. */
void addAuditRoute(operator_api &operators, std::function<outcome<json>(std::uint64_t after)> readAfter);

/** The audit trail for a report: its newest segment and the check of the whole chain, or {"problem"} when it can't be saved or read. */
json auditState(audit_recorder &recorder, const std::function<outcome<json>()> &tail, const std::function<outcome<json>()> &verify);

} // namespace snipefall
