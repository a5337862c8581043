#include "tier/server_announcements.h"

#include <fmt/format.h>

#include "core/logger.h"
#include "platform/server_announcement_reader.h"
#include "tier/loop_clock.h"
#include "tier/tier_blackboard.h"

namespace snipefall {

void noteServerAnnouncement(tier_blackboard &board, const backend_server_id &id, const http_response_message &answer, time_point sentAt)
{
    const server_announcement announced = readServerAnnouncement(answer);
    if (!board.servers.noteAnnouncement(id, announced, sentAt, now())) {
        return;
    }
    const backend_entry *entry = board.servers.find(id);
    logInfo("backend.announced",
            {{"server", id.str()},
             {"service", entry ? entry->service.str() : "unlisted"},
             {"leaving", announced.leaving ? "yes" : "no"},
             {"limit", announced.requestsPerSecond ? fmt::format("{:.2f}", *announced.requestsPerSecond) : "-"},
             {"pause_ms", announced.pause ? std::to_string(*announced.pause / std::chrono::milliseconds(1)) : "-"},
             {"store_says_draining", entry && entry->draining ? "yes" : "no"}});
}

} // namespace snipefall
