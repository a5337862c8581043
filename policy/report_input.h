#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/json.h"
#include "policy/member.h"
#include "policy/node_account.h"

namespace snipefall {

/** The input of buildServiceReport(). */
struct report_input
{
    service_id service;
    std::vector<node_account> accounts; ///< Of all incarnations; if one has several copies, the highest sequence number is used.
    std::map<node_id, member> members; ///< All nodes in the member list, including dead ones, with their newest incarnation.
    json closing = json::object(); ///< The closing_record of the service.
    json move; ///< The move_record of the service, or null.
    json audit; ///< The state of the audit trail, or null.
    std::uint64_t collectedMs = 0; ///< Wall clock time of the collection, in milliseconds.
};

} // namespace snipefall
