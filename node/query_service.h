#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "blackboard/sharded_table.h"
#include "blackboard/topology_board.h"
#include "core/configuration.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "policy/answer_record.h"

namespace snipefall {

class account_keeper;
class configuration_replica;
class fan_out_engine;
class sub_request_dispatcher;
struct query_result;
struct query_task;
struct service_runtime;

/** Answers queries: checks, pins a snapshot, fans out, and labels the answer with its coverage. */
class query_service
{
public:
    query_service(std::string nodeTag,
                  const configuration_replica &configurations,
                  topology_board &topologies,
                  sub_request_dispatcher &dispatcher,
                  fan_out_engine &engine,
                  account_keeper &accounts);

    http_response handle(const service_id &service, const http_request &request);

private:
    struct parsed_query;

    http_response answer(const service_id &service, const http_request &request, answer_record &record);
    http_response runPlanned(const parsed_query &query, answer_record &record);
    query_task makeTask(const parsed_query &query, const snapshot_id &newerThan) const;
    std::shared_ptr<service_runtime> runtimeOf(const service_id &service);

    const std::string m_nodeTag;
    const configuration_replica &m_configurations;
    topology_board &m_topologies;
    sub_request_dispatcher &m_dispatcher;
    fan_out_engine &m_engine;
    account_keeper &m_accounts;
    sharded_table<service_id, std::shared_ptr<service_runtime>> m_runtimes;
    std::atomic<std::uint64_t> m_lastQuery{0};
};

} // namespace snipefall
