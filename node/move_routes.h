#pragma once

#include <functional>
#include <string>

namespace snipefall {

class configuration_replica;
class move_manager;
class operator_api;

/** Adds an entry to the audit trail. */
using move_audit_function = std::function<void(const std::string &author, const std::string &action, const std::string &reason)>;

/** Adds GET and POST /v1/moves/S and POST /v1/moves/S/rollback; @p record is called for each POST whose body is a JSON object, also if the request is refused.
 */
void addMoveRoutes(operator_api &operators, const configuration_replica &replica, move_manager &moves, move_audit_function record);

} // namespace snipefall
