#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "blackboard/sharded_table.h"
#include "core/ids.h"
#include "core/json.h"
#include "core/outcome.h"
#include "policy/fact.h"
#include "policy/fault_detector.h"
#include "policy/move_decision.h"
#include "policy/move_outcome.h"
#include "policy/move_record.h"
#include "policy/version_router.h"
#include "policy/warm_up_state.h"
#include "store/object.h"

namespace snipefall {

class configuration_replica;
class peer_controller;

/**
 * Moves traffic between versions: holds each service's move record, chooses the version for each query, detects faults of the new version, and
 * advances the record's state machine by conditional updates. Any node may advance any move.
 */
class move_manager
{
public:
    struct platform_calls
    {
        std::function<outcome<std::vector<object>>(const std::string &prefix)> list;
        std::function<outcome<object>(const std::string &key)> read;
        std::function<outcome<object_version>(const std::string &key, const std::string &value, object_version expected)> write;
    };
    using warm_up_function = std::function<warm_up_state(const service_id &, const version_id &)>;
    /** Called for each step of a move that this node recorded. */
    using step_callback = std::function<void(const move_record &)>;

    move_manager(node_id self, const configuration_replica &replica, peer_controller &peers, platform_calls platform, warm_up_function warmUp);
    ~move_manager();

    void onStep(step_callback callback) { m_onStep = std::move(callback); }

    /** Reads the move records from the platform and advances the moves; to be called about every 500 ms. */
    void step();
    /** Whether this node is placed for a service whose move is not yet final, so that it must read the move record at every step. */
    bool isPlacedForActiveMove();
    /** Checks this node's own traffic for faults of new versions and publishes them to peers; to be called about every 100 ms. */
    void detectFaults();

    /** Chooses the version that serves a query. */
    version_choice chooseVersion(const service_id &service, const version_id &configured, const std::string &requestId) const;
    version_id versionFor(const service_id &service, const version_id &configured, const std::string &requestId) const
    {
        return chooseVersion(service, configured, requestId).version;
    }
    /** Adds the result of a sub-request to the observations for fault detection; ignored if the service has no move. */
    void record(const service_id &service, const version_id &version, sub_request_sample sample);
    /** Applies a bad_version fact that a peer published. */
    void handleFact(const fact &newFact);

    /** Starts a move. Fails with conflict if another move of the service is not yet final, and with not_found if the service is not configured. */
    outcome<move_record> start(const move_request &request);
    /** Rolls a move back at an operator's request. Fails with conflict if the move is final with another outcome. */
    outcome<move_record> rollBack(const service_id &service, const std::string &author, const std::string &reason);
    /** Returns the service's move as far as this node knows it, including whether its outcome is known yet; null if this node knows of no move. */
    json describe(const service_id &service) const;

private:
    struct service_move;

    std::shared_ptr<service_move> moveOf(const service_id &service);
    void applyRecord(const object &stored);
    void advance(const service_id &service);
    move_observations gatherObservations(const service_id &service, const move_record &record);
    outcome<std::string> handleObservationsRequest(const std::string &payload) const;
    outcome<move_record> writeRecord(const move_record &record, object_version expected);
    void publishFault(const bad_version_fact &found);

    const node_id m_self;
    const configuration_replica &m_replica;
    peer_controller &m_peers;
    platform_calls m_platform;
    warm_up_function m_warmUp;
    step_callback m_onStep;
    sharded_table<service_id, std::shared_ptr<service_move>> m_moves;
};

} // namespace snipefall
