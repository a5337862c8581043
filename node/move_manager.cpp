#include "node/move_manager.h"

#include <algorithm>

#include "core/clock.h"
#include "core/configuration_replica.h"
#include "core/crypto.h"
#include "core/logger.h"
#include "node/peer_controller.h"
#include "policy/move_controller.h"
#include "policy/move_messages.h"
#include "policy/placement.h"

namespace snipefall {

namespace {

constexpr const char *KEY_PREFIX = "moves/";
constexpr duration EXCHANGE_TIMEOUT = std::chrono::milliseconds(500);

} // namespace

struct move_manager::service_move
{
    explicit service_move(const service_id &service)
        : router(service)
    {
    }

    std::mutex mutex;
    version_router router;
    std::optional<move_record> record;
    object_version version;
    bool readable = false;
    std::optional<fault_detector> detector;
    std::vector<bad_version_fact> facts;
    bool faultPublished = false; ///< Whether this node has published a bad_version fact for the current move.
};

move_manager::move_manager(node_id self, const configuration_replica &replica, peer_controller &peers, platform_calls platform, warm_up_function warmUp)
    : m_self(std::move(self))
    , m_replica(replica)
    , m_peers(peers)
    , m_platform(std::move(platform))
    , m_warmUp(std::move(warmUp))
{
    m_peers.registerHandler(peer_exchange_kind::move_observations, [this](const peer_message &request) { return handleObservationsRequest(request.payload); });
}

move_manager::~move_manager() = default;

std::shared_ptr<move_manager::service_move> move_manager::moveOf(const service_id &service)
{
    return m_moves.update(service, [&service](std::shared_ptr<service_move> &move) {
        if (!move) {
            move = std::make_shared<service_move>(service);
        }
        return move;
    });
}

void move_manager::applyRecord(const object &stored)
{
    const outcome<json> document = parseJson(stored.value);
    const outcome<move_record> record = document ? parseMoveRecord(*document) : outcome<move_record>(document.reason());
    if (!record) {
        logError("move.malformed_record", {{"key", stored.key}, {"reason", record.reason().message}});
        return;
    }
    const std::shared_ptr<service_move> move = moveOf(record->service);
    const std::lock_guard lock(move->mutex);
    move->readable = true;
    if (stored.version < move->version) {
        return;
    }
    const bool newMove = !move->record || move->record->moveId != record->moveId;
    move->record = *record;
    move->version = stored.version;
    move->router.setMove(*record, true);
    if (newMove) {
        move->detector.emplace(*record);
        move->faultPublished = false;
    } else {
        move->detector->setShare(record->sharePercent);
    }
}

void move_manager::step()
{
    const outcome<std::vector<object>> records = m_platform.list(KEY_PREFIX);
    if (!records) {
        m_moves.forEach([](const service_id &, const std::shared_ptr<service_move> &move) {
            const std::lock_guard lock(move->mutex);
            move->readable = false;
            move->router.setMove(move->record, false);
        });
        return;
    }
    for (const object &stored : *records) {
        applyRecord(stored);
    }
    for (const service_id &service : m_moves.keys()) {
        advance(service);
    }
}

bool move_manager::isPlacedForActiveMove()
{
    const std::uint64_t now = wallClockMs();
    std::vector<service_id> unfinished;
    m_moves.forEach([&](const service_id &service, const std::shared_ptr<service_move> &move) {
        const std::lock_guard lock(move->mutex);
        if (move->record && !move->record->isFinal(now)) {
            unfinished.push_back(service);
        }
    });
    const std::vector<placement_member> members = unfinished.empty() ? std::vector<placement_member>() : m_peers.placementMembers();
    return std::any_of(unfinished.begin(), unfinished.end(), [&](const service_id &service) {
        const std::vector<placement_member> placed = placeService(service, members, MAX_PERMIT_HOLDERS);
        return std::any_of(placed.begin(), placed.end(), [this](const placement_member &peer) { return peer.id == m_self; });
    });
}

void move_manager::advance(const service_id &service)
{
    const std::shared_ptr<service_move> move = moveOf(service);
    move_input input;
    {
        const std::lock_guard lock(move->mutex);
        if (!move->record || move->record->isFinal(wallClockMs())) {
            return;
        }
        input.record = *move->record;
        input.version = move->version;
        input.facts = move->facts;
    }
    // The first placed node updates the record. The others do so only after the deadline or once a bad_version fact exists, so that conflicting writes are
    // rare.
    const std::vector<placement_member> placed = placeService(service, m_peers.placementMembers(), MAX_PERMIT_HOLDERS);
    const bool first = !placed.empty() && placed.front().id == m_self;
    if (!first && wallClockMs() < input.record.deadlineMs && input.facts.empty()) {
        return;
    }
    input.observations = gatherObservations(service, input.record);
    input.warmUp = m_warmUp(service, input.record.to);
    input.nowMs = wallClockMs();
    const move_decision decision = move_controller().decide(input);
    if (decision.fact) {
        publishFault(*decision.fact);
    }
    if (decision.action == move_action::none) {
        logDebug("move.waits", {{"service", service.str()}, {"reason", decision.reason}});
        return;
    }
    const outcome<move_record> written = writeRecord(decision.record, decision.expected);
    logInfo("move.step",
            {{"service", service.str()},
             {"move", decision.record.moveId},
             {"state", std::string(toString(decision.record.state))},
             {"share_percent", std::to_string(decision.record.sharePercent)},
             {"reason", decision.reason},
             {"result", written ? "written" : written.reason().message}});
    if (written && m_onStep) {
        m_onStep(*written);
    }
}

move_observations move_manager::gatherObservations(const service_id &service, const move_record &record)
{
    move_observations all;
    {
        const std::shared_ptr<service_move> move = moveOf(service);
        const std::lock_guard lock(move->mutex);
        all = move->detector->observations(system_clock().now());
    }
    for (const placement_member &peer : placeService(service, m_peers.placementMembers(), MAX_PERMIT_HOLDERS)) {
        if (peer.id == m_self) {
            continue;
        }
        const outcome<std::string> answer = m_peers.exchange(peer.id, peer_exchange_kind::move_observations, record.service.str(), EXCHANGE_TIMEOUT);
        const outcome<move_observations> peerObservations = answer ? decodeObservations(*answer) : outcome<move_observations>(answer.reason());
        if (peerObservations) {
            all.merge(*peerObservations);
        }
    }
    return all;
}

outcome<std::string> move_manager::handleObservationsRequest(const std::string &payload) const
{
    const auto move = m_moves.find(service_id(payload));
    if (!move || !*move) {
        return failure{error_code::not_found, "no move of service " + payload};
    }
    const std::lock_guard lock((*move)->mutex);
    if (!(*move)->detector) {
        return failure{error_code::not_found, "no move of service " + payload};
    }
    return encodeObservations((*move)->detector->observations(system_clock().now()));
}

outcome<move_record> move_manager::writeRecord(const move_record &record, object_version expected)
{
    const outcome<object_version> written = m_platform.write(moveKey(record.service), canonicalJson(toJson(record)), expected);
    if (!written) {
        // No retry is needed after any error: the next step reads the record again and decides on its current state.
        return written.reason();
    }
    applyRecord({moveKey(record.service), *written, canonicalJson(toJson(record))});
    return record;
}

void move_manager::detectFaults()
{
    std::vector<bad_version_fact> found;
    m_moves.forEach([&found](const service_id &, const std::shared_ptr<service_move> &move) {
        const std::lock_guard lock(move->mutex);
        if (!move->record || !move->detector || move->record->isFinal(wallClockMs()) || move->faultPublished) {
            return;
        }
        if (const std::optional<bad_version_fact> &finding = move->detector->check(system_clock().now())) {
            move->faultPublished = true;
            found.push_back(*finding);
        }
    });
    for (const bad_version_fact &finding : found) {
        logWarning("move.bad_version", {{"service", finding.service.str()}, {"version", finding.version.str()}, {"reason", finding.reason}});
        publishFault(finding);
    }
}

void move_manager::publishFault(const bad_version_fact &found)
{
    {
        const std::shared_ptr<service_move> move = moveOf(found.service);
        const std::lock_guard lock(move->mutex);
        move->router.addFact(found);
        move->facts.push_back(found);
        move->faultPublished = true;
    }
    m_peers.publish(makeBadVersionFact(found));
}

void move_manager::handleFact(const fact &newFact)
{
    const outcome<bad_version_fact> found = decodeBadVersion(newFact.payload);
    if (!found) {
        logWarning("fact.malformed", {{"key", newFact.key}, {"origin", newFact.origin.str()}});
        return;
    }
    const std::shared_ptr<service_move> move = moveOf(found->service);
    const std::lock_guard lock(move->mutex);
    move->router.addFact(*found);
    move->facts.push_back(*found);
}

version_choice move_manager::chooseVersion(const service_id &service, const version_id &configured, const std::string &requestId) const
{
    const auto move = m_moves.find(service);
    if (!move || !*move) {
        return {configured, version_reason::configured};
    }
    const std::lock_guard lock((*move)->mutex);
    const std::optional<move_record> &record = (*move)->record;
    // A configured version that is neither side of the move was set by an operator after the move and takes precedence.
    if (!record || (configured != record->from && configured != record->to)) {
        return {configured, version_reason::configured};
    }
    return (*move)->router.decide(stableHash(requestId), wallClockMs(), configured);
}

void move_manager::record(const service_id &service, const version_id &version, sub_request_sample sample)
{
    const auto move = m_moves.find(service);
    if (!move || !*move) {
        return;
    }
    const std::lock_guard lock((*move)->mutex);
    if (!(*move)->record || !(*move)->detector) {
        return;
    }
    sample.newVersion = version == (*move)->record->to;
    (*move)->detector->record(sample);
}

outcome<move_record> move_manager::start(const move_request &request)
{
    const auto config = m_replica.current();
    if (config->services.count(request.service) == 0) {
        return failure{error_code::not_found, "no service " + request.service.str()};
    }
    const std::uint64_t now = wallClockMs();
    outcome<move_record> record = startMove(request, now);
    if (!record) {
        return record;
    }
    const outcome<object> current = m_platform.read(moveKey(request.service));
    if (!current && current.reason().code != error_code::not_found) {
        return current.reason();
    }
    object_version expected;
    if (current) {
        applyRecord(*current);
        const std::shared_ptr<service_move> move = moveOf(request.service);
        const std::lock_guard lock(move->mutex);
        if (move->record && move->record->moveId == request.moveId) {
            return *move->record;
        }
        if (move->record && !move->record->isFinal(now)) {
            return failure{error_code::conflict, "move " + move->record->moveId + " of the service is not yet final"};
        }
        expected = current->version;
    }
    return writeRecord(*record, expected);
}

outcome<move_record> move_manager::rollBack(const service_id &service, const std::string &author, const std::string &reason)
{
    const outcome<object> current = m_platform.read(moveKey(service));
    if (!current) {
        return current.reason();
    }
    applyRecord(*current);
    move_record record;
    {
        const std::shared_ptr<service_move> move = moveOf(service);
        const std::lock_guard lock(move->mutex);
        record = *move->record;
    }
    if (record.state == move_state::rolled_back) {
        return record;
    }
    if (record.isFinal(wallClockMs())) {
        return failure{error_code::conflict, "move " + record.moveId + " is final"};
    }
    record.state = move_state::rolled_back;
    record.sharePercent = 0;
    record.stepStartedMs = wallClockMs();
    record.reason = "rolled back by " + author + ": " + reason;
    record.steps.push_back({record.state, record.sharePercent, record.stepStartedMs});
    return writeRecord(record, current->version);
}

json move_manager::describe(const service_id &service) const
{
    const auto move = m_moves.find(service);
    if (!move || !*move) {
        return nullptr;
    }
    const std::lock_guard lock((*move)->mutex);
    if (!(*move)->record) {
        return nullptr;
    }
    json document = toJson(*(*move)->record);
    document["outcome"] = toString((*move)->router.outcome(wallClockMs()));
    document["platform_readable"] = (*move)->readable;
    if (const auto stopped = (*move)->router.stoppedBy()) {
        document["stopped_here"] = stopped->reason;
    }
    return document;
}

} // namespace snipefall
