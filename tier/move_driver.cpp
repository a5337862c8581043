#include "tier/move_driver.h"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "core/logger.h"
#include "platform/store_client.h"
#include "platform/store_object_decoder.h"
#include "platform/wire_names.h"
#include "policy/move_messages.h"
#include "policy/sub_request_sample.h"
#include "tier/loop_clock.h"
#include "tier/tier_blackboard.h"

namespace snipefall {

namespace {

/** How often a node reports its counts during the canary phase. After it the counts are reported at each run, because the move's end is near. */
constexpr duration COUNTS_INTERVAL = std::chrono::seconds(1);
/** How often all counts are reported, also unchanged ones: a datagram may have been lost, and another node may have become a coordinator. */
constexpr duration ALL_COUNTS_INTERVAL = std::chrono::seconds(5);
/** Bytes of a report that fit one datagram with its envelope. */
constexpr std::size_t MAX_REPORT_BYTES = 1000;
/** A coordinator waits for this time after the full phase for the last reports to arrive. */
constexpr duration LAST_REPORTS_TIME = std::chrono::milliseconds(300);
/**
 * A node waits this long for each node ranked before it, so that their write and the store's notification of it arrive first. MAX_DELAYED_RANK bounds the
 * total, so that the last node still writes in time.
 */
constexpr duration RANK_DELAY = std::chrono::milliseconds(300);
constexpr std::size_t MAX_DELAYED_RANK = 4;
/** Pause after a write that failed or got no answer: the watch may still report that it took effect. */
constexpr duration WRITE_RETRY_PAUSE = std::chrono::milliseconds(400);
/** Counts are only merged if they name the same share, so all nodes use this one for a whole move, whatever the actual share is at the moment. */
constexpr std::uint32_t COUNTS_SHARE_PERCENT = 1;

move_record recordOf(const version_move &order)
{
    move_record record;
    record.moveId = order.moveId;
    record.service = order.service;
    record.to = order.target;
    record.sharePercent = COUNTS_SHARE_PERCENT;
    return record;
}

bool isOver(const version_move &order)
{
    return order.recorded == move_outcome::done || order.recorded == move_outcome::rolled_back;
}

} // namespace

move_driver::running_move::running_move(const version_move &ordered, const canary_limits &limits, time_point seenAt)
    : order(ordered)
    , listedId(ordered.moveId)
    , controller(seenAt, ordered.timeLimit, limits)
    , detector(recordOf(ordered))
{
}

move_driver::move_driver(store_client &store, tier_blackboard &board, node_id self)
    : m_store(store)
    , m_board(board)
    , m_self(std::move(self))
{
}

void move_driver::replaceAll(const std::vector<version_move> &moves)
{
    std::set<std::string> listed;
    for (const version_move &move : moves) {
        listed.insert(move.name);
    }
    m_unlisted.clear();
    std::erase_if(m_moves, [&](const auto &item) {
        const std::string &name = item.second->order.name;
        if (listed.contains(name)) {
            return false;
        }
        if (now() >= m_keepUnlistedUntil) {
            return true;
        }
        m_unlisted.insert(name);
        return false;
    });
    for (const version_move &move : moves) {
        apply(move);
    }
    publishShares(now());
}

void move_driver::apply(const version_move &move)
{
    m_unlisted.erase(move.name);
    std::unique_ptr<running_move> &known = m_moves[move.service];
    const bool isWrittenAgain = known && move.revision.era() > known->order.revision.era() && known->order.target == move.target;
    if (known && (known->listedId == move.moveId || isWrittenAgain)) {
        if (move.revision < known->order.revision) {
            return;
        }
        update(*known, move);
    } else {
        known = std::make_unique<running_move>(move, m_limits, now());
        std::erase_if(m_faultyVersions[move.service], [&move](const auto &item) { return item.first == move.target && item.second != move.moveId; });
        // A peer's finding may have arrived before the store's notification of the move.
        for (const fact_kind kind : {fact_kind::bad_version, fact_kind::approved_version}) {
            for (const fact &finding : m_peers.facts(kind)) {
                applyPeerFact(finding);
            }
        }
    }
    if (known->order.recorded == move_outcome::done) {
        liftStop(known->order);
    }
    logInfo("move.seen",
            {{"service", move.service.str()},
             {"target", move.target.str()},
             {"move", move.moveId},
             {"recorded", move.recorded ? std::string(toString(*move.recorded)) : "nothing"},
             {"time_limit_ms", std::to_string(move.timeLimit / std::chrono::milliseconds(1))},
             {"revision", toString(move.revision)}});
    publishShares(now());
}

void move_driver::update(running_move &known, const version_move &move)
{
    const version_move before = std::exchange(known.order, move);
    known.order.moveId = before.moveId;
    known.listedId = move.moveId;
    known.endLost = isOver(before) && !isOver(move) && (known.endLost || move.revision.era() > before.revision.era());
    if (known.endLost) {
        known.order.recorded = before.recorded;
    }
}

void move_driver::remove(const std::string &name)
{
    std::erase_if(m_moves, [&name](const auto &item) { return item.second->order.name == name; });
    logInfo("move.removed", {{"name", name}});
    publishShares(now());
}

void move_driver::record(const service_id &service, const version_id &version, sub_request_sample sample)
{
    const auto found = m_moves.find(service);
    if (found == m_moves.end() || isOver(found->second->order)) {
        return;
    }
    sample.newVersion = version == found->second->order.target;
    found->second->detector.record(sample);
    ++found->second->answers;
}

void move_driver::applyPeerFact(const fact &peerFact)
{
    const outcome<bad_version_fact> found = decodeBadVersion(peerFact.payload);
    if (!found) {
        logWarning("peers.fact_malformed", {{"key", peerFact.key}, {"origin", peerFact.origin.str()}});
        return;
    }
    running_move *move = findMove(found->service, found->moveId);
    if (peerFact.kind == fact_kind::approved_version) {
        if (move) {
            move->approved = true;
        }
        return;
    }
    if (found->version.empty()) {
        std::erase_if(m_faultyVersions[found->service], [&found](const auto &item) { return item.second == found->moveId; });
        publishShares(now());
        return;
    }
    const bool isDone = move && move->order.recorded == move_outcome::done;
    if (!isDone && !isOrderedAgain(found->service, found->version, found->moveId)) {
        m_faultyVersions[found->service][found->version] = found->moveId;
        publishShares(now());
    }
    if (!move || !move->fault.empty()) {
        return; // apply() reads the fact again when its move arrives later.
    }
    move->fault = found->reason;
    logWarning("move.target_stopped",
               {{"service", found->service.str()}, {"target", found->version.str()}, {"reason", found->reason}, {"origin", peerFact.origin.str()}});
    publishShares(now());
}

move_driver::running_move *move_driver::findMove(const service_id &service, const std::string &moveId)
{
    const auto known = m_moves.find(service);
    return known != m_moves.end() && known->second->order.moveId == moveId ? known->second.get() : nullptr;
}

void move_driver::runDue(time_point now)
{
    if (now >= m_keepUnlistedUntil && !m_unlisted.empty()) {
        for (const std::string &name : std::exchange(m_unlisted, {})) {
            remove(name);
        }
    }
    for (auto &[service, move] : m_moves) {
        if (!isOver(move->order)) {
            run(*move, now);
        } else if (move->endLost) {
            writeStatus(*move, *move->order.recorded, "the store came back without it", now);
        }
    }
    publishShares(now);
}

std::size_t move_driver::running() const
{
    return static_cast<std::size_t>(std::count_if(m_moves.begin(), m_moves.end(), [](const auto &item) { return !isOver(item.second->order); }));
}

void move_driver::run(running_move &move, time_point now)
{
    if (const std::optional<bad_version_fact> &found = move.detector.check(now); found && move.fault.empty()) {
        stopTarget(move, found->reason);
    }
    const move_observations own = move.detector.observations(now);
    reportCounts(move, own, now);
    const move_observations all = countsOfAllNodes(move, own);
    if (isCoordinator()) {
        logCounts(move, all, now);
    }
    timed_move_controller::decision decision = move.controller.decide(all, m_board.servers.usableServerCount(move.order.service, move.order.target), now);
    if (decision.targetAtFault && move.fault.empty()) {
        stopTarget(move, decision.reason);
    }
    if (!move.fault.empty()) {
        decision = {move_action::roll_back, true, move.fault};
    } else if (decision.action == move_action::finish && !move.approved) {
        if (isCoordinator() && now >= move.controller.finishAt() + LAST_REPORTS_TIME) {
            approveTarget(move, decision.reason);
        } else {
            decision = {move_action::none, false, "awaiting the approval of a coordinator"};
        }
    }
    if (decision.action == move_action::roll_back) {
        writeStatus(move, move_outcome::rolled_back, decision.reason, now);
    } else if (decision.action == move_action::finish) {
        writeStatus(move, move_outcome::done, decision.reason, now);
    } else if (!move.order.recorded) {
        writeStatus(move, move_outcome::running, decision.reason, now);
    } else {
        move.writeDueSince = time_point{};
    }
}

void move_driver::reportCounts(running_move &move, const move_observations &own, time_point now)
{
    const bool inCanaryPhase = move.controller.phaseAt(now) == timed_move_controller::phase::canary;
    if (inCanaryPhase && now - move.countsReportedAt < COUNTS_INTERVAL) {
        return;
    }
    move.countsReportedAt = now;
    const bool all = now - move.allCountsReportedAt >= ALL_COUNTS_INTERVAL;
    if (all) {
        move.allCountsReportedAt = now;
    }
    for (const auto &[route, counts] : own.step) {
        std::uint64_t &reportedAnswers = move.reportedAnswers[route];
        const bool changed = counts.newVersion.answers != reportedAnswers;
        if (counts.newVersion.answers == 0 || !(all || changed)) {
            continue;
        }
        reportedAnswers = counts.newVersion.answers;
        for (const std::string &message : encodeCountReport({move.order.service, move.order.moveId, route, counts}, MAX_REPORT_BYTES)) {
            m_peers.sendToCoordinators(message);
        }
    }
}

void move_driver::applyCountReport(const node_id &sender, const std::string &payload)
{
    const outcome<move_count_report> report = decodeCountReport(payload);
    if (!report) {
        logWarning("peers.count_report_malformed", {{"sender", sender.str()}, {"reason", report.reason().message}});
        return;
    }
    if (running_move *move = findMove(report->service, report->moveId)) {
        move->peerCounts.apply(sender, report->route, report->counts);
    }
}

void move_driver::logCounts(running_move &move, const move_observations &all, time_point now) const
{
    const auto counts = all.step.find(ALL_ROUTES);
    if (counts == all.step.end() || now - move.countsLoggedAt < COUNTS_INTERVAL) {
        return;
    }
    move.countsLoggedAt = now;
    const version_counts &oldVersion = counts->second.oldVersion;
    const version_counts &newVersion = counts->second.newVersion;
    logInfo("move.counts",
            {{"service", move.order.service.str()},
             {"target", move.order.target.str()},
             {"phase", toString(move.controller.phaseAt(now))},
             {"old_answers", std::to_string(oldVersion.answers)},
             {"old_errors", std::to_string(oldVersion.errors)},
             {"new_answers", std::to_string(newVersion.answers)},
             {"new_errors", std::to_string(newVersion.errors)}});
}

move_observations move_driver::countsOfAllNodes(const running_move &move, move_observations own)
{
    move_observations sum = std::move(own);
    sum.merge({sum.moveId, sum.sharePercent, move.peerCounts.total(), {}});
    return sum;
}

void move_driver::stopTarget(running_move &move, const std::string &reason)
{
    move.fault = reason;
    m_faultyVersions[move.order.service][move.order.target] = move.order.moveId;
    logWarning("move.target_stopped",
               {{"service", move.order.service.str()}, {"target", move.order.target.str()}, {"reason", reason}, {"origin", m_self.str()}});
    m_peers.publish(makeBadVersionFact({move.order.service, move.order.target, move.order.moveId, reason}));
    publishShares(now());
}

bool move_driver::isOrderedAgain(const service_id &service, const version_id &version, const std::string &moveId) const
{
    const auto known = m_moves.find(service);
    return known != m_moves.end() && known->second->order.target == version && known->second->order.moveId != moveId;
}

void move_driver::approveTarget(running_move &move, const std::string &reason)
{
    move.approved = true;
    m_peers.publish(makeApprovedVersionFact({move.order.service, move.order.target, move.order.moveId, reason}));
}

void move_driver::liftStop(const version_move &order)
{
    const auto isOfThisMove = [&order](const auto &item) { return item.first == order.target && item.second == order.moveId; };
    if (std::erase_if(m_faultyVersions[order.service], isOfThisMove) == 0) {
        return;
    }
    logWarning("move.stop_lifted", {{"service", order.service.str()}, {"target", order.target.str()}, {"move", order.moveId}});
    // Replaces the finding at all nodes, so that none that starts later stops the only version that is left.
    m_peers.publish(makeBadVersionFact({order.service, version_id(), order.moveId, "recorded as done"}));
}

void move_driver::writeStatus(running_move &move, move_outcome recorded, const std::string &reason, time_point now)
{
    if (move.writeDueSince == time_point{}) {
        move.writeDueSince = now;
    }
    const duration wait = RANK_DELAY * std::min(m_peers.rank(), MAX_DELAYED_RANK);
    if (move.writing || now - move.writeDueSince < wait || now - move.writtenAt < WRITE_RETRY_PAUSE) {
        return;
    }
    move.writing = true;
    move.writtenAt = now;
    const version_move order = move.order;
    m_store.replaceStatus(wire::MOVES_KIND,
                          order.name,
                          encodeMoveStatus(order, recorded),
                          order.revision,
                          [this, order, recorded, reason](const outcome<store_position> &written) {
                              logInfo("move.recorded",
                                      {{"service", order.service.str()},
                                       {"target", order.target.str()},
                                       {"state", std::string(toString(recorded))},
                                       {"reason", reason},
                                       {"revision", toString(order.revision)},
                                       {"result", written ? "written" : written.reason().message}});
                              running_move *current = findMove(order.service, order.moveId);
                              if (!current) {
                                  return;
                              }
                              current->writing = false;
                              current->writeDueSince = time_point{};
                              if (!written || *written <= current->order.revision) {
                                  return;
                              }
                              current->endLost = false;
                              current->order.revision = *written;
                              current->order.recorded = recorded;
                              if (recorded == move_outcome::done) {
                                  liftStop(current->order);
                              }
                          });
}

version_share move_driver::shareOf(const running_move &move, time_point now) const
{
    version_share share{move.order.target, 0, false, {}};
    if (move.order.recorded == move_outcome::done) {
        return {move.order.target, 1, true, {}};
    }
    if (move.order.recorded == move_outcome::rolled_back || !move.fault.empty()) {
        return share;
    }
    share.share = move.controller.shareAt(move.answers, now);
    // From the end of the canary phase the target may serve if no other version can, also when the time limit has passed without a recorded outcome: the
    // servers of the old version may already have stopped.
    const timed_move_controller::phase phase = move.controller.phaseAt(now);
    share.targetServesFallback = phase != timed_move_controller::phase::canary;
    return share;
}

void move_driver::publishShares(time_point now)
{
    std::map<service_id, version_share> shares;
    for (const auto &[service, move] : m_moves) {
        shares[service] = shareOf(*move, now);
    }
    for (const auto &[service, versions] : m_faultyVersions) {
        for (const auto &[version, moveId] : versions) {
            shares[service].stopped.insert(version);
        }
    }
    if (shares != m_board.servers.versionShares()) {
        m_board.servers.setVersionShares(std::move(shares));
    }
}

} // namespace snipefall
