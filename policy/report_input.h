#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/json.h"
#include "policy/member.h"
#include "policy/node_account.h"

namespace snipefall {

/** What a service's report is made from. */
struct report_input
{
    service_id service;
    std::vector<node_account> accounts; ///< Of all incarnations; of two copies of one incarnation, the higher sequence counts.
    std::map<node_id, member> members; ///< Nodes known to membership, with the newest incarnation, dead ones included.
    json closing = json::object(); ///< The closing record.
    json move; ///< The service's move record, or null.
    json audit; ///< The state of the audit trail, or null.
    std::uint64_t collectedMs = 0; ///< Wall clock milliseconds.
};

} // namespace snipefall
