#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "blackboard/service_topology_table.h"
#include "blackboard/sharded_table.h"
#include "core/configuration.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "policy/answer_record.h"
#include "policy/permit_share.h"
#include "policy/planned_query.h"

namespace snipefall {

class account_keeper;
class configuration_replica;
struct query_environment;
struct query_outcome;
struct planning_limits;
struct query_task;
struct service_runtime;

/** Serves queries: validates and admits them, pins a snapshot, fans out to the shards, and reports the coverage in the answer. */
class query_service
{
public:
    /** Returns how many slots and connections this node may currently use on each backend server of a service. */
    using share_function = std::function<permit_share(const service_id &)>;

    query_service(node_id self,
                  std::string subRequestIdPrefix,
                  const configuration_replica &configurations,
                  service_topology_table &topologies,
                  query_environment &environment,
                  account_keeper &accounts,
                  share_function share);

    http_response handle(const service_id &service, const http_request &request);

private:
    struct parsed_query;

    http_response answer(const service_id &service, const http_request &request, answer_record &record);
    http_response runAdmitted(const parsed_query &query, answer_record &record);
    http_response runPlanned(const parsed_query &query, answer_record &record);
    http_response makeAnswer(const parsed_query &query, const query_outcome &ended, answer_record &record) const;
    query_task makeTask(const parsed_query &query, const snapshot_id &newerThan);
    using plan_function = planned_query(const std::vector<backend_server> &servers, const planning_limits &limits);
    planned_query plan(const parsed_query &query, const snapshot_id &newerThan, std::uint64_t rotation, plan_function *planner) const;
    std::shared_ptr<service_runtime> runtimeOf(const service_id &service, std::size_t maxQueued);

    const node_id m_self;
    const std::string m_subRequestIdPrefix;
    const configuration_replica &m_configurations;
    service_topology_table &m_topologies;
    query_environment &m_environment;
    account_keeper &m_accounts;
    share_function m_share;
    sharded_table<service_id, std::shared_ptr<service_runtime>> m_runtimes;
    std::atomic<std::uint64_t> m_lastQuery{0};
};

} // namespace snipefall
