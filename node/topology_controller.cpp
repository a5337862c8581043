#include "node/topology_controller.h"

#include "core/json.h"
#include "core/logger.h"
#include "http/fan_out_engine.h"
#include "node/status_parser.h"
#include "node/status_read.h"

namespace snipefall {

topology_controller::topology_controller(service_topology_table &topologyTable, fan_out_engine &engine, list_function listVms)
    : m_topologyTable(topologyTable)
    , m_engine(engine)
    , m_listVms(std::move(listVms))
{
}

bool topology_controller::readList()
{
    const outcome<std::vector<vm_entry>> vms = m_listVms();
    if (!vms) {
        logWarning("topology.list_failed", {{"reason", vms.reason().message}});
        return false;
    }
    applyList(*vms);
    m_ready = true;
    return true;
}

void topology_controller::readStatuses()
{
    std::vector<backend_server> servers;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, server] : m_servers) {
            servers.push_back(server);
        }
    }
    // Servers are ordered by id, not by service, so the filter's results are cached for the duration of this step.
    std::map<service_id, bool> used;
    for (const backend_server &server : servers) {
        const auto known = used.find(server.service);
        if (known != used.end() ? known->second : (used[server.service] = m_filter(server.service))) {
            readStatus(server);
        }
    }
}

void topology_controller::refresh(const backend_server_id &id)
{
    std::optional<backend_server> server;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_servers.find(id);
        if (found == m_servers.end()) {
            return;
        }
        server = found->second;
    }
    readStatus(*server);
}

void topology_controller::markLeaving(const backend_server_id &id)
{
    service_id service;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_servers.find(id);
        if (found == m_servers.end() || found->second.leaving) {
            return;
        }
        found->second.leaving = true;
        service = found->second.service;
    }
    publish({service});
}

void topology_controller::applyList(const std::vector<vm_entry> &vms)
{
    std::set<service_id> changed;
    std::set<node_id> nodes;
    {
        const std::lock_guard lock(m_mutex);
        std::set<backend_server_id> listed;
        for (const vm_entry &vm : vms) {
            if (vm.service.empty()) {
                nodes.insert(node_id(vm.id));
                continue;
            }
            const backend_server_id id(vm.id);
            listed.insert(id);
            backend_server &server = m_servers[id];
            // The VM list lags, so a listed server that is already marked as leaving stays marked.
            const bool leaving = server.leaving || vm.state == "leaving";
            if (server.address == vm.address && server.leaving == leaving && server.service == vm.service) {
                continue;
            }
            server.id = id;
            server.address = vm.address;
            server.service = vm.service;
            server.domain = vm.domain;
            server.version = vm.version;
            server.leaving = leaving;
            changed.insert(vm.service);
        }
        for (auto entry = m_servers.begin(); entry != m_servers.end();) {
            if (listed.count(entry->first) > 0) {
                ++entry;
                continue;
            }
            changed.insert(entry->second.service);
            entry = m_servers.erase(entry);
        }
    }
    publish(changed);
    m_onNodesListed(std::move(nodes));
}

void topology_controller::readStatus(const backend_server &server)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_readsInFlight.insert(server.id).second) {
            return;
        }
    }
    m_engine.submit(makeStatusRead(server.address), [this, id = server.id](const sub_response &response) { applyStatus(id, response); });
}

void topology_controller::applyStatus(const backend_server_id &id, const sub_response &response)
{
    std::optional<backend_server> updated;
    bool startsLeaving = false;
    {
        const std::lock_guard lock(m_mutex);
        m_readsInFlight.erase(id);
        const auto found = m_servers.find(id);
        if (found == m_servers.end() || response.status != transport_status::ok || response.httpStatus != 200) {
            return;
        }
        const outcome<json> document = parseJson(response.body);
        const outcome<backend_server> parsed = document ? parseStatus(*document, found->second) : outcome<backend_server>(document.reason());
        if (!parsed) {
            logWarning("topology.bad_status", {{"server", id.str()}, {"reason", parsed.reason().message}});
            return;
        }
        if (*parsed == found->second) {
            return;
        }
        startsLeaving = parsed->leaving && !found->second.leaving;
        found->second = *parsed;
        updated = *parsed;
    }
    publish({updated->service});
    if (m_onLeaving && startsLeaving) {
        m_onLeaving(*updated);
    }
}

void topology_controller::publish(const std::set<service_id> &services)
{
    std::unique_lock lock(m_mutex);
    for (const service_id &service : services) {
        auto topology = std::make_shared<service_topology>();
        for (const auto &[id, server] : m_servers) {
            if (server.service == service) {
                topology->servers.push_back(server);
            }
        }
        m_topologyTable.set(service, std::move(topology));
    }
    lock.unlock();
    for (const service_id &service : services) {
        m_onChange(service);
    }
}

crash_detector::server_identity topology_controller::identityOf(const backend_server_id &id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? crash_detector::server_identity() : crash_detector::server_identity{found->second.address, found->second.startedMs};
}

} // namespace snipefall
