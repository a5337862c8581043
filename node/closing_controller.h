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
 * Closes services: applies a configuration patch that refuses new requests, waits until all live nodes have finished their requests and saved their accounts,
 * collects the report and publishes it with an operator's signature. All state is stored in the platform, so any node can continue a closing and every call
 * is idempotent.
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
        std::function<std::uint64_t(const service_id &)> running; ///< Number of requests of a service that run on this node.
        std::function<json()> audit; ///< Returns the state of the audit trail for a report.
        std::function<void(const closing_record &, const std::string &reason)> observe; ///< Called for each state that this node recorded.
    };

    closing_controller(node_id self, const configuration_replica &replica, peer_controller &peers, account_keeper &accounts, calls callbacks);

    /**
     * Starts or continues a closing and advances it as far as possible without waiting for other nodes to finish.
     *
     * @return {"state", "waiting_for": [{node, reason}]}, with "collected" (the report to sign) in the state collecting and "published" (the
     *         signed report) in the state signed; not_found when the service isn't configured
     */
    outcome<json> close(const service_id &service, const std::string &author, const std::string &reason);
    /** Publishes a signed report unless one is already published. Returns the published report, which may differ from @p text. */
    outcome<json> publish(const service_id &service, const std::string &text);
    /** Returns the published report; not_found if none is published. */
    outcome<json> published(const service_id &service) const;
    /** Returns the closing record of the service; not_found if no closing was started. */
    outcome<json> describe(const service_id &service) const;

private:
    struct stored_record
    {
        closing_record record;
        object_version version;
    };

    outcome<stored_record> load(const service_id &service) const;
    outcome<stored_record> loadOrCreate(const service_id &service, const std::string &author, const std::string &reason);
    outcome<stored_record> advance(const stored_record &from, closing_state next, const std::string &reportHash = "");
    outcome<stored_record> store(const closing_record &record, object_version expected);
    /** Creates an object unless it exists. After a conflict or a lost response, returns the stored value. */
    outcome<std::string> createIfAbsent(const std::string &key, const std::string &value) const;
    outcome<json> publishedResponse(const service_id &service, const std::string &text);
    /** Applies the patch that refuses new requests. Returns why the service is still open, or an empty string. */
    std::string refuseNewRequests(const closing_record &record);
    json findPendingNodes(const closing_record &record);
    /** Finalizes and saves this node's account of the service. Returns why it can't yet be final, or an empty string on success. */
    std::string finalizeOwnAccount(const service_id &service, config_version closedBy);
    bool isOpen(const service_id &service) const;
    outcome<json> collect(const closing_record &record);

    const node_id m_self;
    const configuration_replica &m_replica;
    peer_controller &m_peers;
    account_keeper &m_accounts;
    const calls m_callbacks;
};

} // namespace snipefall
