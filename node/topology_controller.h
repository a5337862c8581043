#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "blackboard/service_topology_table.h"
#include "core/backend_server.h"
#include "core/outcome.h"
#include "http/sub_request.h"
#include "node/crash_detector.h"
#include "store/vm_entry.h"

namespace snipefall {

class fan_out_engine;

/**
 * Updates the topology board: combines the platform's VM list, which lags, with the status that each backend server reports.
 *
 * A server that stops answering status reads stays on the board. The results of sub-requests decide whether it is used, because status endpoints can lag
 * or be wrong.
 */
class topology_controller
{
public:
    /** Returns whether this node sends requests to a service and therefore reads the status of its servers. */
    using filter_function = std::function<bool(const service_id &)>;
    using change_callback = std::function<void(const service_id &)>;
    /** Called with the nodes in the VM list. */
    using nodes_callback = std::function<void(std::set<node_id>)>;
    /** Called when a server first reports that it is leaving. */
    using leaving_callback = std::function<void(const backend_server &server)>;
    using list_function = std::function<outcome<std::vector<vm_entry>>()>;

    topology_controller(service_topology_table &topologyTable, fan_out_engine &engine, list_function listVms);

    void setFilter(filter_function filter) { m_filter = std::move(filter); }
    void onChange(change_callback callback) { m_onChange = std::move(callback); }
    void onNodesListed(nodes_callback callback) { m_onNodesListed = std::move(callback); }
    void onLeaving(leaving_callback callback) { m_onLeaving = std::move(callback); }

    /** Reads the VM list. Returns false if the platform did not return it. */
    bool readList();
    /** Starts status reads of the servers that this node uses; returns without waiting for them. */
    void readStatuses();

    /** Starts a read of one server's status immediately, for example after a connection was closed without a response. */
    void refresh(const backend_server_id &id);

    /** Marks a server as leaving when a peer's fact or a response shows it before the server's status or the VM list does. */
    void markLeaving(const backend_server_id &id);

    /** Returns the address and last known start time of a server; empty if the server is unknown. */
    crash_detector::server_identity identityOf(const backend_server_id &id);

    /** Whether the VM list was read at least once. */
    bool ready() const { return m_ready; }

private:
    void applyList(const std::vector<vm_entry> &vms);
    void readStatus(const backend_server &server);
    void applyStatus(const backend_server_id &id, const sub_response &response);
    void publish(const std::set<service_id> &services);

    service_topology_table &m_topologyTable;
    fan_out_engine &m_engine;
    list_function m_listVms;
    filter_function m_filter;
    change_callback m_onChange;
    nodes_callback m_onNodesListed;
    leaving_callback m_onLeaving;
    std::atomic<bool> m_ready{false};
    std::mutex m_mutex;
    std::map<backend_server_id, backend_server> m_servers;
    std::set<backend_server_id> m_readsInFlight;
};

} // namespace snipefall
