#pragma once

#include <cstdint>
#include <functional>

#include "core/json.h"

namespace snipefall {

class audit_recorder;
class operator_api;

/** Adds GET /v1/audit?after=N; @p readAfter returns the entries after a sequence number. */
void addAuditRoute(operator_api &operators, std::function<outcome<json>(std::uint64_t after)> readAfter);

/** Returns the audit trail for a report: its newest segment and the verification of the whole hash chain, or {"problem"} if it can't be saved or read. */
json auditState(audit_recorder &recorder, const std::function<outcome<json>()> &tail, const std::function<outcome<json>()> &verify);

} // namespace snipefall
