#include "node/audit_routes.h"

#include <cstdlib>

#include "node/api_responses.h"
#include "node/audit_recorder.h"
#include "node/operator_api.h"

namespace snipefall {

void addAuditRoute(operator_api &operators, std::function<outcome<json>(std::uint64_t after)> readAfter)
{
    operators.addRoute("GET", "/v1/audit", [readAfter = std::move(readAfter)](const http_request &request, const std::string &rest, const std::string &) {
        const std::string after = request.parameter("after");
        char *end = nullptr;
        const unsigned long long sequence = std::strtoull(after.c_str(), &end, 10);
        if (*end != '\0' || !rest.empty()) {
            return errorResponse(400, error_code::invalid_argument, "after must be the number of an entry", run_state::not_run);
        }
        const outcome<json> entries = readAfter(sequence);
        return entries ? jsonResponse({{"entries", *entries}})
                       : errorResponse(httpStatusOf(entries.reason().code), entries.reason().code, entries.reason().message, run_state::not_run);
    });
}

json auditState(audit_recorder &recorder, const std::function<outcome<json>()> &tail, const std::function<outcome<json>()> &verify)
{
    if (const std::string problem = recorder.flush(); !problem.empty()) {
        return {{"problem", "the audit trail is not saved: " + problem}};
    }
    const outcome<json> newest = tail();
    const outcome<json> checked = verify();
    if (!newest || !checked) {
        return {{"problem", "the audit trail can't be read: " + (newest ? checked.reason().message : newest.reason().message)}};
    }
    json state = *newest;
    state["verified"] = *checked;
    return state;
}

} // namespace snipefall
