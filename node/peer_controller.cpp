#include "node/peer_controller.h"

#include <algorithm>

#include "core/configuration_replica.h"
#include "core/crypto.h"
#include "core/logger.h"
#include "node/configuration_controller.h"
#include "node/configuration_messages.h"
#include "node/node_settings.h"
#include "node/peer_keys.h"
#include "peer/gossip_service.h"

namespace snipefall {

namespace {

constexpr duration EXCHANGE_TIMEOUT = std::chrono::milliseconds(1000);
constexpr duration CONFIGURATION_FACT_LIFETIME = std::chrono::seconds(30);
constexpr std::size_t WATCHERS_PER_DOMAIN = 2;
constexpr const char *CONFIGURATION_FACT_KEY = "configuration";
constexpr const char *DRAINING_FACT_PREFIX = "draining/";

bool isLive(const member &peer)
{
    return peer.state == member_state::alive || peer.state == member_state::suspect;
}

} // namespace

peer_controller::peer_controller(const node_settings &settings,
                                 incarnation ownIncarnation,
                                 const configuration_replica &replica,
                                 configuration_controller &configurations)
    : m_settings(settings)
    , m_incarnation(ownIncarnation)
    , m_replica(replica)
    , m_configurations(configurations)
{
    registerHandler(peer_exchange_kind::configuration_pull, [this](const peer_message &request) { return handlePull(request.payload); });
}

peer_controller::~peer_controller() = default;

void peer_controller::registerHandler(peer_exchange_kind kind, exchange_handler handler)
{
    m_handlers.emplace_back(kind, std::move(handler));
}

gossip_service_settings peer_controller::makeGossipSettings() const
{
    gossip_service_settings settings;
    settings.self.id = m_settings.id;
    settings.self.peerAddress = m_settings.peerAddress;
    settings.self.callerAddress = m_settings.callerAddress;
    settings.self.domain = m_settings.domain;
    settings.self.started = m_incarnation;
    settings.seeds = m_settings.seedPeers;
    return settings;
}

std::string peer_controller::start()
{
    outcome<std::vector<peer_key>> keys = loadPeerKeys(m_settings.peerKeyFile);
    if (!keys) {
        return keys.reason().message;
    }
    gossip_service_settings settings = makeGossipSettings();
    settings.keys = std::move(keys).value();
    gossip_callbacks callbacks;
    callbacks.onMemberEvent = [](const member_event &event) {
        logInfo("member.event", {{"kind", toString(event.kind)}, {"node", event.subject.id.str()}, {"domain", event.subject.domain.str()}});
    };
    callbacks.onFact = [this](const fact &newFact) { handleFact(newFact); };
    callbacks.onNewerConfigPeer = [this](const std::string &address, config_version version) { queuePull(address, version); };
    m_gossip = std::make_unique<gossip_service>(std::move(settings), std::move(callbacks));
    for (auto &[kind, handler] : m_handlers) {
        m_gossip->registerHandler(toMessageKind(kind), handler);
    }
    const std::optional<failure> failed = m_gossip->start();
    return failed ? "can't listen on " + m_settings.peerAddress + " for peers: " + failed->message : std::string();
}

void peer_controller::stop()
{
    if (m_gossip) {
        m_gossip->stop();
    }
}

void peer_controller::handleFact(const fact &newFact)
{
    if (newFact.kind == fact_kind::configuration) {
        const config_version version(std::strtoull(newFact.payload.c_str(), nullptr, 10));
        for (const member &peer : m_gossip->members()) {
            if (peer.id == newFact.origin && isLive(peer)) {
                queuePull(peer.peerAddress, version);
            }
        }
        return;
    }
    if (m_onFact) {
        m_onFact(newFact);
    }
}

void peer_controller::queuePull(const std::string &address, config_version version)
{
    if (version <= m_replica.position().version) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        const bool alreadyQueued = std::any_of(m_pulls.begin(), m_pulls.end(), [&](const pull_target &target) { return target.address == address; });
        if (alreadyQueued) {
            return;
        }
        m_pulls.push_back({address, version});
    }
    if (m_wakePull) {
        m_wakePull();
    }
}

std::optional<member> peer_controller::memberAt(const std::string &address) const
{
    for (const member &peer : m_gossip->members()) {
        if (peer.peerAddress == address) {
            return peer;
        }
    }
    return std::nullopt;
}

void peer_controller::pullConfigurations()
{
    for (;;) {
        pull_target target;
        {
            const std::lock_guard lock(m_mutex);
            if (m_pulls.empty()) {
                return;
            }
            target = m_pulls.front();
            m_pulls.pop_front();
        }
        const config_version own = m_replica.position().version;
        const std::optional<member> peer = memberAt(target.address);
        if (target.version <= own || !peer) {
            continue;
        }
        const outcome<std::string> answer = exchange(peer->id, peer_exchange_kind::configuration_pull, std::to_string(own.value()), EXCHANGE_TIMEOUT);
        const outcome<configuration_delta> delta = answer ? decodeDelta(*answer) : outcome<configuration_delta>(answer.reason());
        if (!delta) {
            logWarning("configuration.pull_failed", {{"peer", peer->id.str()}, {"reason", delta.reason().message}});
            continue;
        }
        m_configurations.offerDelta(*delta);
    }
}

outcome<std::string> peer_controller::handlePull(const std::string &payload) const
{
    char *end = nullptr;
    const std::uint64_t version = std::strtoull(payload.c_str(), &end, 10);
    if (payload.empty() || *end != '\0') {
        return failure{error_code::invalid_argument, "a configuration pull must name a version"};
    }
    return encodeDelta(m_replica.patchesAfter(config_version(version)));
}

void peer_controller::announceConfiguration(config_version version, bool committed)
{
    m_gossip->setConfigVersion(version);
    if (committed) {
        publish(makeFact(fact_kind::configuration, CONFIGURATION_FACT_KEY, std::to_string(version.value()), CONFIGURATION_FACT_LIFETIME));
    }
}

void peer_controller::publish(fact newFact)
{
    const std::string key = newFact.key;
    const outcome<fact> published = m_gossip->publish(std::move(newFact));
    if (!published) {
        logError("fact.not_published", {{"key", key}, {"reason", published.reason().message}});
    }
}

outcome<std::string> peer_controller::exchange(const node_id &recipient, peer_exchange_kind kind, std::string payload, duration timeout)
{
    for (const member &peer : m_gossip->members()) {
        if (peer.id != recipient) {
            continue;
        }
        outcome<peer_message> answer = m_gossip->exchange(peer.peerAddress, recipient, toMessageKind(kind), std::move(payload), timeout);
        return answer ? outcome<std::string>(std::move(answer).value().payload) : outcome<std::string>(answer.reason());
    }
    return failure{error_code::unavailable, "no member " + recipient.str()};
}

std::vector<member> peer_controller::members() const
{
    std::vector<member> all = m_gossip->members();
    member self = m_gossip->self();
    self.configVersion = m_replica.position().version;
    all.push_back(std::move(self));
    std::sort(all.begin(), all.end(), [](const member &a, const member &b) { return a.id < b.id; });
    return all;
}

std::vector<placement_member> peer_controller::placementMembers() const
{
    std::set<std::string> draining;
    for (const fact &item : m_gossip->facts()) {
        if (item.kind == fact_kind::draining_node) {
            draining.insert(item.key);
        }
    }
    std::vector<placement_member> live;
    for (const member &peer : members()) {
        if (isLive(peer)) {
            const bool isDraining = draining.count(DRAINING_FACT_PREFIX + peer.id.str()) > 0;
            live.push_back({peer.id, peer.firstStarted(), peer.domain, isDraining ? 0.0 : 1.0, peer.callerAddress});
        }
    }
    return live;
}

std::uint64_t peer_controller::placementVersion() const
{
    return m_gossip->placementVersion();
}

std::shared_ptr<const cluster_view> peer_controller::clusterView() const
{
    auto view = std::make_shared<cluster_view>();
    std::set<node_id> listed;
    {
        const std::lock_guard lock(m_mutex);
        listed = m_listedNodes;
    }
    for (const member &peer : members()) {
        if (isLive(peer)) {
            view->live.emplace(peer.id, peer.firstStarted());
        } else if (listed.count(m_settings.id) > 0 && listed.count(peer.id) == 0) {
            // A VM list that lacks this live node doesn't contain nodes, so the absence of another node doesn't show that it was deprovisioned.
            view->deprovisioned.insert(peer.id);
        }
    }
    return view;
}

void peer_controller::setListedNodes(std::set<node_id> listed)
{
    const std::lock_guard lock(m_mutex);
    m_listedNodes = std::move(listed);
}

bool peer_controller::watchesPlatform() const
{
    std::vector<std::pair<std::uint64_t, node_id>> candidates;
    for (const member &peer : members()) {
        if (isLive(peer) && peer.domain == m_settings.domain) {
            candidates.emplace_back(stableHash(peer.id.str()), peer.id);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    candidates.resize(std::min(candidates.size(), WATCHERS_PER_DOMAIN));
    return std::any_of(candidates.begin(), candidates.end(), [this](const auto &candidate) { return candidate.second == m_settings.id; });
}

} // namespace snipefall
