#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "blackboard/sharded_table.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "policy/forwarding_router.h"
#include "policy/permit_action.h"
#include "policy/permit_share.h"
#include "policy/placement_member.h"
#include "store/object.h"

namespace snipefall {

class configuration_replica;
class peer_controller;
class permit_holder;
class placement_cache;

/**
 * Runs the permit_holder of each service for which this node is placed: performs its platform calls and requests promises from the successors of its
 * shares.
 */
class permit_controller
{
public:
    struct platform_calls
    {
        std::function<outcome<std::vector<object>>(const std::string &prefix)> list;
        std::function<outcome<object_version>(const std::string &key, const std::string &value, object_version expected)> write;
    };
    /** Returns the largest number of requests that this node is running on any one backend server of a service. */
    using usage_function = std::function<unsigned(const service_id &)>;
    using change_callback = std::function<void(const service_id &)>;

    permit_controller(node_id self,
                      incarnation ownIncarnation,
                      const configuration_replica &replica,
                      peer_controller &peers,
                      placement_cache &placements,
                      platform_calls platform,
                      usage_function usage);
    ~permit_controller();

    /** Sets the callback for services whose usable share has grown. */
    void onGrowth(change_callback callback) { m_onGrowth = std::move(callback); }

    /** Advances all services; to be called every 200 ms. */
    void step();

    /** Returns the share that this node may currently use of each backend server of @p service. */
    permit_share usable(const service_id &service) const;

    /** Decides whether this node serves a request, forwards it to another node or refuses it. */
    forwarding_decision route(const service_id &service, const request_id &request, bool forwarded, const std::set<node_id> &avoided) const;

private:
    struct service_entry;
    struct pending_read;
    struct pending_promise;

    std::shared_ptr<service_entry> entryOf(const service_id &service);
    void tickServices(std::vector<pending_read> &reads, std::map<node_id, std::vector<pending_promise>> &promises);
    void completeReads(const std::vector<pending_read> &reads);
    void write(const service_id &service, service_entry &entry, const write_permits &action);
    void requestPromises(const node_id &successor, const std::vector<pending_promise> &promises);
    outcome<std::string> handlePromiseRequests(const std::string &payload);
    void notifyGrowth();

    const node_id m_self;
    const incarnation m_incarnation;
    const configuration_replica &m_replica;
    peer_controller &m_peers;
    placement_cache &m_placements;
    platform_calls m_platform;
    usage_function m_usage;
    change_callback m_onGrowth;
    sharded_table<service_id, std::shared_ptr<service_entry>> m_services;
};

} // namespace snipefall
