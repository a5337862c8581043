#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/configuration_patch.h"
#include "core/ids.h"
#include "core/json.h"
#include "policy/closing_record.h"
#include "store/commit_result.h"
#include "store/object.h"

namespace snipefall {

class account_keeper;
class configuration_replica;
class peer_controller;

/**
 * Closes services: refuses new work by a configuration patch, waits until all live nodes have finished and saved, collects the report and
 * publishes it with an operator's signature. All state is in the platform, so that any node may continue and any call may be repeated.
 */
class closing_controller
{
public:
    struct calls
    {
        std::function<outcome<object>(const std::string &key)> read;
        std::function<outcome<object_version>(const std::string &key, const std::string &value, object_version expected)> write;
        std::function<outcome<std::vector<object>>(const std::string &prefix)> list;
        std::function<commit_result(const configuration_patch &)> commit;
        std::function<std::uint64_t(const service_id &)> running; ///< Requests of a service that this node is answering.
        std::function<json()> audit; ///< The state of the audit trail for a report.
        std::function<void(const closing_record &, const std::string &reason)> observe; ///< Told of each step that this node recorded.
    };

    closing_controller(node_id self, const configuration_replica &replica, peer_controller &peers, account_keeper &accounts, calls run);

    /**
     * Drives a closing as far as it goes without waiting.
     *
     * @return {"state", "waiting_for": [{node, reason}]}, with "collected" (the report to sign) in the state collecting and "published" (the
     *         signed report) in the state signed; not_found when the service isn't configured
     */
    outcome<json> close(const service_id &service, const std::string &author, const std::string &reason);
    /** Publishes a signed report if none is published yet. Returns the published one, which may be another. */
    outcome<json> publish(const service_id &service, const std::string &text);
    outcome<json> published(const service_id &service) const;
    outcome<json> describe(const service_id &service) const;

private:
    struct stored_record
    {
        closing_record record;
        object_version version;
    };

    outcome<stored_record> load(const service_id &service) const;
    outcome<stored_record> begin(const service_id &service, const std::string &author, const std::string &reason);
    outcome<stored_record> advance(const stored_record &from, closing_state next, const std::string &reportHash = "");
    outcome<stored_record> store(const closing_record &record, object_version expected);
    /** Creates an object; a conflict or a lost answer is settled by reading what is there. */
    outcome<std::string> createOnce(const std::string &key, const std::string &value) const;
    outcome<json> signedAnswer(const service_id &service, const std::string &text);
    /** The reason why the service is not refused yet, or an empty string. */
    std::string refuse(const closing_record &record);
    json waitingNodes(const closing_record &record);
    /** What keeps this node from having a final account of the service, or an empty string. */
    std::string prepareSelf(const service_id &service, config_version closedBy);
    bool isOpen(const service_id &service) const;
    outcome<json> collect(const closing_record &record);

    const node_id m_self;
    const configuration_replica &m_replica;
    peer_controller &m_peers;
    account_keeper &m_accounts;
    const calls m_run;
};

} // namespace snipefall
