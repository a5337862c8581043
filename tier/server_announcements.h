#pragma once

#include "core/ids.h"
#include "http/async_http_types.h"

namespace snipefall {

struct tier_blackboard;

/** Records on the blackboard, and logs, what the backend server @p id stated about itself in @p answer. */
void noteServerAnnouncement(tier_blackboard &board, const backend_server_id &id, const http_response_message &answer);

} // namespace snipefall
