#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "http/async_http_types.h"

namespace snipefall {

struct tier_blackboard;

/** Records on the blackboard, and logs, what the backend server @p id stated about itself in its answer to a request that was sent at @p sentAt. */
void noteServerAnnouncement(tier_blackboard &board, const backend_server_id &id, const http_response_message &answer, time_point sentAt);

} // namespace snipefall
