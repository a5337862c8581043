#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "blackboard/service_topology_table.h"
#include "core/backend_server.h"
#include "core/json.h"
#include "core/outcome.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "policy/answer_record.h"
#include "policy/request_fingerprint.h"
#include "store/claim_result.h"

namespace snipefall {

class account_keeper;
class configuration_replica;
struct query_environment;
struct service_settings;

/**
 * Runs non-idempotent requests at most once.
 *
 * The service claims a request in the platform before it sends it, as a single POST on a new connection. Once a byte may have reached a backend
 * server, the service reports only "ran" or "unknown", unless the backend server refused the request.
 */
class execute_service
{
public:
    /** Calls to the platform that claim a request and record how it ended. */
    struct claim_calls
    {
        std::function<claim_result(const service_id &, const request_id &)> claim;
        std::function<void(const service_id &, const request_id &, object_version, claim_state, const std::string &)> record;
    };

    execute_service(const configuration_replica &configurations,
                    service_topology_table &topologies,
                    query_environment &environment,
                    account_keeper &accounts,
                    claim_calls claims);

    http_response handle(const service_id &service, const http_request &request);

private:
    struct execution;
    struct held_slot;

    http_response answer(execution &run, const http_request &request);
    http_response answerRepeat(execution &run, const claim_entry &entry);
    http_response runClaimed(execution &run, object_version token, held_slot slot);
    std::optional<held_slot> acquireSlot(const execution &run, const std::set<backend_server_id> &excluded);

    const configuration_replica &m_configurations;
    service_topology_table &m_topologies;
    query_environment &m_environment;
    account_keeper &m_accounts;
    claim_calls m_claims;
};

} // namespace snipefall
