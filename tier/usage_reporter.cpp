#include "tier/usage_reporter.h"

#include <algorithm>
#include <utility>

#include "core/logger.h"
#include "http/async_http_client.h"
#include "platform/usage_messages.h"
#include "platform/wire_names.h"
#include "tier/boot_clock.h"

namespace snipefall {

namespace {

/** The counts of a window are decided this long after its end, when the last reports of all nodes have arrived. */
constexpr duration SETTLE_TIME = std::chrono::milliseconds(2500);
/** Changed counts are sent after this time, and all recent ones after the second: a datagram may be lost, and another node may have become a candidate. */
constexpr duration COUNTS_INTERVAL = std::chrono::seconds(1);
constexpr duration REPEAT_INTERVAL = std::chrono::seconds(2);
/** Counts of windows that ended longer ago are not repeated. */
constexpr duration REPEAT_TIME = std::chrono::seconds(8);
/** Bytes of a message that fit one datagram with its envelope. */
constexpr std::size_t MAX_MESSAGE_BYTES = 1000;
/** A started node asks for the lease after this time, when it knows its peers: without them each node would take itself for the first. */
constexpr duration JOIN_TIME = std::chrono::seconds(3);
constexpr duration RETRY_PAUSE = std::chrono::seconds(1);
constexpr duration REPORT_TIMEOUT = std::chrono::seconds(1);
/** Windows that are reported late after an outage; older ones are given up. */
constexpr std::size_t MAX_UNSENT_WINDOWS = 64;

constexpr char LEASE_WRITTEN[] = "written";
constexpr char LEASE_RELEASED[] = "released";

} // namespace

usage_reporter::usage_reporter(store_client &store, async_http_client &client, node_id self, incarnation run, const usage_duty_settings &settings)
    : m_store(store)
    , m_client(client)
    , m_self(self)
    , m_run(run)
    , m_settings(settings)
    , m_lease(std::move(self), run, settings.leaseTime, settings.windowLength)
    , m_startedAt(sinceBoot())
{
    if (isWanted()) {
        m_firstWindow = windowNow();
    }
}

usage_window usage_reporter::windowNow()
{
    return windowAt(m_clock.trueTimeMs(wallClockMs(), sinceBoot()), m_settings.windowLength);
}

std::optional<usage_window> usage_reporter::began(const organisation_id &organisation)
{
    if (!isWanted() || organisation.empty()) {
        return std::nullopt;
    }
    const usage_window window = windowNow();
    m_ledger.add(window, organisation);
    return window;
}

void usage_reporter::applyCounts(const node_id &sender, const std::string &payload)
{
    const outcome<usage_message> message = decodeUsageMessage(payload);
    if (!message) {
        logWarning("usage.counts_malformed", {{"sender", sender.str()}, {"reason", message.reason().message}});
        return;
    }
    m_ledger.apply(sender, *message);
}

void usage_reporter::applyLease(const std::string &payload)
{
    if (payload == LEASE_RELEASED) {
        m_lease.noteReleased();
    } else {
        m_lease.noteHeard(sinceBoot());
    }
}

void usage_reporter::noteStoreRestored()
{
    if (isWanted()) {
        m_maybeSent = std::max(m_maybeSent, newestSettled());
    }
}

void usage_reporter::sendOwnCounts(bool all)
{
    const duration now = sinceBoot();
    const std::uint64_t nowMs = m_clock.trueTimeMs(wallClockMs(), now);
    for (const auto &[window, counts] : m_ledger.own()) {
        const auto sent = m_sentCounts.find(window);
        const duration sinceSent = sent == m_sentCounts.end() ? duration::max() : now - sent->second.at;
        const bool changed = (sent == m_sentCounts.end() ? usage_counts() : sent->second.counts) != counts;
        const bool isRecent = nowMs < endOf(window, m_settings.windowLength) + static_cast<std::uint64_t>(REPEAT_TIME / std::chrono::milliseconds(1));
        if (!all && sinceSent < (changed ? COUNTS_INTERVAL : REPEAT_INTERVAL)) {
            continue;
        }
        if (!changed && !isRecent) {
            continue;
        }
        m_sentCounts[window] = {now, counts};
        for (const std::string &message : encodeUsageMessage({m_run, ++m_sequence, window, counts}, MAX_MESSAGE_BYTES)) {
            m_peers.sendCounts(message);
        }
    }
}

usage_counts usage_reporter::countsOf(usage_window window)
{
    const auto decided = m_decided.find(window);
    return decided != m_decided.end() ? decided->second : m_ledger.total(window);
}

usage_window usage_reporter::newestSettled()
{
    const std::uint64_t settledMs = m_clock.trueTimeMs(wallClockMs(), sinceBoot()) - static_cast<std::uint64_t>(SETTLE_TIME / std::chrono::milliseconds(1));
    return usage_window(windowAt(settledMs, m_settings.windowLength).value() - 1);
}

std::map<usage_window, usage_counts> usage_reporter::undecided()
{
    const usage_window current = newestSettled().next();
    // A record of another writer, or of a node whose time was wrong, must not end the reports.
    const usage_window newest = m_lease.record()->newest < windowNow() ? m_lease.record()->newest : m_maybeSent;
    // Of windows before its start the node may know only a part.
    usage_window window = std::max(newest.next(), m_firstWindow);
    if (current.value() > usage_ledger::RETAINED_WINDOWS) {
        window = std::max(window, usage_window(current.value() - usage_ledger::RETAINED_WINDOWS + 1));
    }
    std::map<usage_window, usage_counts> result;
    for (; window < current; window = window.next()) {
        if (window > m_maybeSent || m_decided.contains(window)) {
            result[window] = countsOf(window);
        }
    }
    return result;
}

void usage_reporter::runDue()
{
    if (!isWanted() || !m_peers.rank) {
        return;
    }
    const usage_window current = windowNow();
    m_ledger.discardOld(current);
    const auto isOld = [&](const auto &item) { return item.first.value() + MAX_UNSENT_WINDOWS < current.value(); };
    std::erase_if(m_decided, isOld);
    std::erase_if(m_sentCounts, isOld);
    sendOwnCounts(false);
    const duration now = sinceBoot();
    if (m_busy || m_stopping || now < m_nextCallAt || now - m_startedAt < JOIN_TIME) {
        return;
    }
    if (m_lease.isHolder()) {
        runAsHolder();
        return;
    }
    const std::optional<usage_record> &record = m_lease.record();
    switch (m_lease.next({m_peers.rank(), record && !m_peers.hasLeft(record->holder)}, now)) {
    case duty_lease::action::none:
        break;
    case duty_lease::action::read:
        read();
        break;
    case duty_lease::action::take:
        write(m_lease.takenRecord(), "take");
    }
}

void usage_reporter::runAsHolder()
{
    usage_record record = *m_lease.record();
    if (m_peers.rank() >= duty_lease::CANDIDATES) {
        // Counts are sent to the first nodes by id, to which this node no longer belongs.
        record.holder = node_id();
        write(std::move(record), "release");
        return;
    }
    const std::map<usage_window, usage_counts> decided = undecided();
    if (!decided.empty()) {
        record.newest = std::max(record.newest, decided.rbegin()->first);
        record.unsent.insert(decided.begin(), decided.end());
        write(std::move(record), "decide");
        return;
    }
    const auto unsent = std::find_if(record.unsent.begin(), record.unsent.end(), [this](const auto &item) { return !m_lastSent || item.first > *m_lastSent; });
    const duration now = sinceBoot();
    if (unsent == record.unsent.end() || !m_lease.isSettled(now)) {
        return;
    }
    if (m_lease.maySend(now)) {
        sendReport(unsent->first, unsent->second);
    } else {
        write(std::move(record), "renew");
    }
}

void usage_reporter::read()
{
    m_busy = true;
    m_store.read(wire::DUTIES_KIND, wire::USAGE_DUTY, [this](const outcome<stored_object> &stored) {
        m_busy = false;
        if (!stored && stored.reason().code != error_code::not_found) {
            m_nextCallAt = sinceBoot() + RETRY_PAUSE;
            return;
        }
        std::optional<usage_record> record;
        if (stored) {
            outcome<usage_record> decoded = decodeUsageRecord(stored->spec);
            if (!decoded) {
                // A record of another writer names no holder; the next write replaces it. Reports of the last windows may have been sent.
                logWarning("usage.record_unreadable", {{"revision", toString(stored->revision)}, {"reason", decoded.reason().message}});
                m_maybeSent = std::max(m_maybeSent, newestSettled());
                m_lease.noteUnreadable(stored->revision, sinceBoot());
                return;
            }
            record = std::move(decoded).value();
        }
        m_lease.noteRead(record, stored ? stored->revision : store_position(), sinceBoot());
    });
}

void usage_reporter::write(usage_record record, std::string_view purpose)
{
    ++record.renewals;
    std::erase_if(record.unsent, [this](const auto &item) { return m_lastSent && item.first <= *m_lastSent; });
    while (record.unsent.size() > MAX_UNSENT_WINDOWS) {
        logWarning("usage.window_given_up", {{"window", std::to_string(record.unsent.begin()->first.value())}});
        record.unsent.erase(record.unsent.begin());
    }
    m_busy = true;
    const duration begun = sinceBoot();
    const auto onWritten = [this, record, begun, purpose = std::string(purpose)](const outcome<store_position> &written) {
        m_busy = false;
        logInfo("usage.record_written",
                {{"purpose", purpose},
                 {"counter", std::to_string(record.counter)},
                 {"newest", std::to_string(record.newest.value())},
                 {"unsent", std::to_string(record.unsent.size())},
                 {"result", written ? "written" : written.reason().message}});
        if (!written) {
            m_lease.noteWriteFailed();
            m_nextCallAt = sinceBoot() + RETRY_PAUSE;
            return;
        }
        m_lease.noteWritten(record, *written, begun, sinceBoot());
        m_decided.insert(record.unsent.begin(), record.unsent.end());
        m_peers.sendLease(record.holder.empty() ? LEASE_RELEASED : LEASE_WRITTEN);
    };
    if (m_lease.position() == store_position()) {
        m_store.create(wire::DUTIES_KIND, wire::USAGE_DUTY, encodeUsageRecord(record), onWritten);
    } else {
        m_store.replace(wire::DUTIES_KIND, wire::USAGE_DUTY, encodeUsageRecord(record), m_lease.position(), onWritten);
    }
}

void usage_reporter::sendReport(usage_window window, const usage_counts &counts)
{
    m_busy = true;
    client_call call;
    call.address = m_settings.address;
    call.bytes = usageReportRequest(m_settings.address, m_self, m_lease.token(), window, counts);
    call.newConnection = true;
    // An answer after the lease has ended is of no use: the report is sent again then.
    call.deadline = std::chrono::steady_clock::now() + std::min(REPORT_TIMEOUT, m_settings.leaseTime / 2);
    m_client.start(std::move(call), [this, window](const client_result &result) { handleReportEnd(window, result); });
}

void usage_reporter::handleReportEnd(usage_window window, const client_result &result)
{
    m_busy = false;
    const unsigned status = result.outcome == client_result::kind::answered ? result.response.result_int() : 0;
    const bool accepted = status >= 200 && status < 300;
    logInfo("usage.reported", {{"window", std::to_string(window.value())}, {"token", std::to_string(m_lease.token())}, {"status", std::to_string(status)}});
    if (!accepted) {
        m_nextCallAt = sinceBoot() + RETRY_PAUSE;
        return;
    }
    ++m_reportsSent;
    m_lastSent = std::max(m_lastSent.value_or(usage_window()), window);
}

void usage_reporter::stop()
{
    if (!isWanted() || !m_peers.rank) {
        return;
    }
    m_stopping = true;
    sendOwnCounts(true);
    if (m_lease.isHolder() && !m_busy) {
        usage_record record = *m_lease.record();
        record.holder = node_id();
        write(std::move(record), "release");
    }
}

} // namespace snipefall
