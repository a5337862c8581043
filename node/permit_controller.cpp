#include "node/permit_controller.h"

#include "core/configuration_replica.h"
#include "core/json.h"
#include "core/logger.h"
#include "node/peer_controller.h"
#include "node/placement_cache.h"
#include "policy/cluster_view.h"
#include "policy/permit_holder.h"

namespace snipefall {

namespace {

constexpr const char *KEY_PREFIX = "permits/";
constexpr duration PROMISE_EXCHANGE_TIMEOUT = std::chrono::milliseconds(800);

json toJson(const versioned_permits &permits)
{
    return {{"version", permits.version.value()}, {"record", json::parse(permits.record.toJson(), nullptr, false)}};
}

outcome<versioned_permits> parsePermits(const json &document)
{
    versioned_permits permits;
    permits.version = object_version(jsonValue<std::uint64_t>(document, "version", 0));
    if (permits.version.value() == 0) {
        return permits;
    }
    outcome<permit_record> record = permit_record::fromJson(document.value("record", json()).dump());
    if (!record) {
        return record.reason();
    }
    permits.record = std::move(record).value();
    return permits;
}

} // namespace

struct permit_controller::service_entry
{
    service_entry(node_id self, incarnation started)
        : holder(std::move(self), started)
    {
    }

    mutable std::mutex mutex;
    permit_holder holder;
    permit_share lastUsable;
};

struct permit_controller::pending_read
{
    service_id service;
    std::shared_ptr<service_entry> entry;
    std::uint64_t operation = 0;
};

struct permit_controller::pending_promise
{
    service_id service;
    std::shared_ptr<service_entry> entry;
    ask_promise action;
};

permit_controller::permit_controller(node_id self,
                                     incarnation ownIncarnation,
                                     const configuration_replica &replica,
                                     peer_controller &peers,
                                     placement_cache &placements,
                                     platform_calls platform,
                                     usage_function usage)
    : m_self(std::move(self))
    , m_incarnation(ownIncarnation)
    , m_replica(replica)
    , m_peers(peers)
    , m_placements(placements)
    , m_platform(std::move(platform))
    , m_usage(std::move(usage))
{
    m_peers.registerHandler(peer_exchange_kind::permit_promises, [this](const peer_message &request) { return handlePromiseRequests(request.payload); });
}

permit_controller::~permit_controller() = default;

std::shared_ptr<permit_controller::service_entry> permit_controller::entryOf(const service_id &service)
{
    return m_services.update(service, [this](std::shared_ptr<service_entry> &entry) {
        if (!entry) {
            entry = std::make_shared<service_entry>(m_self, m_incarnation);
        }
        return entry;
    });
}

permit_share permit_controller::usable(const service_id &service) const
{
    const auto entry = m_services.find(service);
    if (!entry || !*entry) {
        return {};
    }
    const std::lock_guard lock((*entry)->mutex);
    return (*entry)->holder.usable(system_clock().now());
}

forwarding_decision permit_controller::route(const service_id &service, const request_id &request, bool forwarded, const std::set<node_id> &avoided) const
{
    forwarding_input input;
    input.self = m_self;
    input.request = request;
    input.forwarded = forwarded;
    input.usable = usable(service);
    input.avoided = avoided;
    if (input.usable.slots > 0) {
        return decideForwarding(input);
    }
    std::optional<permit_record> record;
    if (const auto entry = m_services.find(service); entry && *entry) {
        const std::lock_guard lock((*entry)->mutex);
        if ((*entry)->holder.permits()) {
            record = (*entry)->holder.permits()->record;
        }
    }
    input.record = record ? &*record : nullptr;
    const std::shared_ptr<const placement_cache::service_placement> placement = m_placements.placementOf(service);
    input.live = *placement->live;
    input.placed = placement->placed;
    return decideForwarding(input);
}

void permit_controller::step()
{
    std::vector<pending_read> reads;
    std::map<node_id, std::vector<pending_promise>> promises;
    tickServices(reads, promises);
    if (!reads.empty()) {
        completeReads(reads);
    }
    for (const auto &[successor, requests] : promises) {
        requestPromises(successor, requests);
    }
    notifyGrowth();
}

void permit_controller::tickServices(std::vector<pending_read> &reads, std::map<node_id, std::vector<pending_promise>> &promises)
{
    const auto config = m_replica.current();
    const std::shared_ptr<const cluster_view> cluster = m_peers.clusterView();
    for (const auto &[service, settings] : config->services) {
        permit_inputs inputs;
        const std::shared_ptr<const placement_cache::service_placement> placement = m_placements.placementOf(service);
        if (!placement->includesNode(m_self) && !m_services.find(service)) {
            continue;
        }
        inputs.placed = placement->placed;
        inputs.limit = {settings.slotsPerServer, settings.connectionsPerServer};
        inputs.inUse = {m_usage(service), 0};
        inputs.cluster = cluster;
        const std::shared_ptr<service_entry> entry = entryOf(service);
        std::vector<permit_action> actions;
        {
            const std::lock_guard lock(entry->mutex);
            actions = entry->holder.tick(system_clock().now(), inputs);
        }
        for (permit_action &action : actions) {
            if (const auto *read = std::get_if<read_permits>(&action)) {
                reads.push_back({service, entry, read->operation});
            } else if (const auto *change = std::get_if<write_permits>(&action)) {
                write(service, *entry, *change);
            } else {
                auto &ask = std::get<ask_promise>(action);
                const node_id successor = ask.successor;
                promises[successor].push_back({service, entry, std::move(ask)});
            }
        }
    }
}

void permit_controller::completeReads(const std::vector<pending_read> &reads)
{
    // One list call serves the reads of all services, so that the number of platform calls doesn't grow with the number of services.
    const outcome<std::vector<object>> records = m_platform.list(KEY_PREFIX);
    std::map<std::string, const object *> byKey;
    if (records) {
        for (const object &record : *records) {
            byKey[record.key] = &record;
        }
    }
    for (const pending_read &read : reads) {
        outcome<versioned_permits> answer = versioned_permits();
        const auto found = byKey.find(KEY_PREFIX + read.service.str());
        if (!records) {
            answer = records.reason();
        } else if (found != byKey.end()) {
            outcome<permit_record> record = permit_record::fromJson(found->second->value);
            answer = record ? outcome<versioned_permits>(versioned_permits{found->second->version, std::move(record).value()})
                            : outcome<versioned_permits>(record.reason());
        }
        const std::lock_guard lock(read.entry->mutex);
        read.entry->holder.handleReadAnswer(read.operation, system_clock().now(), answer);
    }
}

void permit_controller::write(const service_id &service, service_entry &entry, const write_permits &action)
{
    const outcome<object_version> written = m_platform.write(KEY_PREFIX + service.str(), action.permits.record.toJson(), action.permits.version);
    logInfo("permit.write",
            {{"service", service.str()},
             {"epoch", std::to_string(action.permits.record.epoch())},
             {"holders", std::to_string(action.permits.record.ring().size())},
             {"result", written ? "written" : written.reason().message}});
    const std::lock_guard lock(entry.mutex);
    entry.holder.handleWriteAnswer(action.operation, system_clock().now(), written);
}

void permit_controller::requestPromises(const node_id &successor, const std::vector<pending_promise> &promises)
{
    json request = json::array();
    for (const pending_promise &pending : promises) {
        request.push_back({{"service", pending.service.str()},
                           {"holder", pending.action.request.holder.str()},
                           {"started", pending.action.request.started.value()},
                           {"permits", toJson(pending.action.request.permits)}});
    }
    const outcome<std::string> payload = m_peers.exchange(successor, peer_exchange_kind::permit_promises, request.dump(), PROMISE_EXCHANGE_TIMEOUT);
    const outcome<json> answers = payload ? parseJson(*payload) : outcome<json>(payload.reason());
    for (std::size_t i = 0; i < promises.size(); ++i) {
        outcome<promise_answer> answer = failure{error_code::unavailable, "no valid answer from the successor to the promise request"};
        if (answers && answers->is_array() && i < answers->size()) {
            const outcome<versioned_permits> permits = parsePermits((*answers)[i].value("permits", json::object()));
            if (permits) {
                answer = promise_answer{jsonValue<bool>((*answers)[i], "granted", false), *permits};
            }
        }
        const std::lock_guard lock(promises[i].entry->mutex);
        promises[i].entry->holder.handlePromiseAnswer(promises[i].action.operation, system_clock().now(), answer);
    }
}

outcome<std::string> permit_controller::handlePromiseRequests(const std::string &payload)
{
    const outcome<json> requests = parseJson(payload);
    if (!requests || !requests->is_array()) {
        return failure{error_code::invalid_argument, "permit promises must be a JSON array"};
    }
    json answers = json::array();
    for (const json &entry : *requests) {
        const outcome<versioned_permits> permits = parsePermits(entry.is_object() ? entry.value("permits", json::object()) : json());
        const service_id service(jsonValue<std::string>(entry, "service", ""));
        if (!permits || m_replica.current()->services.count(service) == 0) {
            return failure{error_code::invalid_argument, "a permit promise is malformed or names an unknown service"};
        }
        const promise_request request{
            node_id(jsonValue<std::string>(entry, "holder", "")), incarnation(jsonValue<std::uint64_t>(entry, "started", 0)), *permits};
        const std::shared_ptr<service_entry> target = entryOf(service);
        const std::lock_guard lock(target->mutex);
        const promise_answer answer = target->holder.answerPromise(request, system_clock().now());
        answers.push_back({{"granted", answer.granted}, {"permits", toJson(answer.permits)}});
    }
    return answers.dump();
}

void permit_controller::notifyGrowth()
{
    std::vector<service_id> grown;
    m_services.forEach([&grown](const service_id &service, const std::shared_ptr<service_entry> &entry) {
        const std::lock_guard lock(entry->mutex);
        const permit_share now = entry->holder.usable(system_clock().now());
        if (now.slots > entry->lastUsable.slots) {
            grown.push_back(service);
        }
        entry->lastUsable = now;
    });
    for (const service_id &service : grown) {
        if (m_onGrowth) {
            m_onGrowth(service);
        }
    }
}

} // namespace snipefall
