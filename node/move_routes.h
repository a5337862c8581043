#pragma once

#include <functional>
#include <string>

namespace snipefall {

class configuration_replica;
class move_manager;
class operator_api;

/** Writes an entry of the audit trail. */
using move_audit_function = std::function<void(const std::string &author, const std::string &action, const std::string &reason)>;

/** Adds GET and POST /v1/moves/S and POST /v1/moves/S/rollback; @p record is called for each POST with a valid body, refused ones included. */
void addMoveRoutes(operator_api &operators, const configuration_replica &replica, move_manager &moves, move_audit_function record);

} // namespace snipefall
