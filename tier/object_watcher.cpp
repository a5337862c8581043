#include "tier/object_watcher.h"

#include <algorithm>

#include "core/logger.h"
#include "tier/loop_clock.h"
#include "tier/store_retry_coordinator.h"

namespace snipefall {

namespace {

/**
 * How long the store may hold a watch open, its upper limit. Each call is charged once however long it waits. What a watch doesn't report is found by lists of
 * the newest state, see freshness_monitor.
 */
constexpr duration MAX_WATCH_TIME = std::chrono::seconds(30);
/** Share of the time for which the store keeps changes. A watch that lasts longer ends in an error, because its revision is forgotten by then. */
constexpr double WATCH_SHARE_OF_HISTORY = 0.75;
/** Time-out of a list beside a watch. It leaves time to list again on a new connection within the time limits for applying changes. */
constexpr duration VERIFY_TIMEOUT = std::chrono::milliseconds(500);
/**
 * Pause after changes, so that one call reads further changes made at the same time. It is short, so that a new configuration is not in force long before the
 * servers that it names are known.
 */
constexpr duration COALESCE_TIME = std::chrono::milliseconds(250);
/**
 * Time-out of the first list, doubled with every other failure. A node serves no caller before it, and a call that reached the store during an outage gets no
 * answer even after the outage.
 */
constexpr duration FIRST_LIST_TIMEOUT = std::chrono::milliseconds(400);
constexpr duration FIRST_RETRY_PAUSE = std::chrono::milliseconds(100);
/** Upper bound of the retry back-off, so that a recovered store is noticed well within the time limits for applying changes. */
constexpr duration MAX_RETRY_PAUSE = std::chrono::milliseconds(800);
/** A watcher that lets another one retry tries by itself after this time, in case only the other's calls fail. */
constexpr duration MAX_WAIT_FOR_OTHER_WATCHER = std::chrono::seconds(5);

known_objects::revisions revisionsOf(const object_listing &listing)
{
    known_objects::revisions result;
    for (const stored_object &object : listing.objects) {
        result[object.name] = object.revision;
    }
    return result;
}

} // namespace

object_watcher::object_watcher(
    boost::asio::io_context &loop, store_client &store, store_retry_coordinator &retryCoordinator, std::string kind, handlers callbacks)
    : m_store(store)
    , m_retryCoordinator(retryCoordinator)
    , m_kind(std::move(kind))
    , m_callbacks(std::move(callbacks))
    , m_timer(loop)
{
}

void object_watcher::setHistoryTime(duration historyTime)
{
    m_watchTime = std::clamp<duration>(std::chrono::duration_cast<duration>(WATCH_SHARE_OF_HISTORY * historyTime), std::chrono::seconds(1), MAX_WATCH_TIME);
}

void object_watcher::refresh()
{
    m_timer.cancel();
    list(read_freshness::newest);
}

void object_watcher::list(read_freshness freshness)
{
    const std::uint64_t callNumber = ++m_callNumber;
    m_watching = false;
    m_listing = true;
    const time_point begun = now();
    m_store.list(m_kind, freshness, listTimeout(), [this, callNumber, freshness, begun](const outcome<object_listing> &listing) {
        if (callNumber != m_callNumber) {
            return;
        }
        m_listing = false;
        if (!listing || !isPlausible(*listing)) {
            noteFailure(listing ? failure{error_code::invalid_argument, "the list has no revision or is from an earlier era"} : listing.reason());
            scheduleList(std::min(FIRST_RETRY_PAUSE * (1U << std::min(m_failures, 4U)) / 2, MAX_RETRY_PAUSE));
            return;
        }
        noteSuccess();
        m_listed = true;
        const bool newest = freshness == read_freshness::newest;
        acceptListing(*listing, revisionsOf(*listing), newest ? "list" : "stale_list");
        if (newest) {
            noteNewestRead(begun, listing->storeRevision);
        }
    });
}

void object_watcher::acceptListing(const object_listing &listing, const known_objects::revisions &revisions, std::string_view source)
{
    m_revision = listing.storeRevision;
    m_known.replaceAll(revisions, listing.storeRevision);
    logUpdate(source, listing.objects.size());
    m_callbacks.onListing(listing);
    // A copy that doesn't have this revision yet could refuse each stale watch, and list and watch would alternate without a pause.
    watch(m_historyLosses > 1 ? read_freshness::newest : read_freshness::may_be_stale);
}

bool object_watcher::verify()
{
    if (m_listing || m_verifying || !m_listed || m_failures > 0) {
        return false;
    }
    m_verifying = true;
    const time_point begun = now();
    m_store.list(m_kind, read_freshness::newest, VERIFY_TIMEOUT, [this, begun](const outcome<object_listing> &listing) {
        m_verifying = false;
        // A list that has begun since reports the state of the store.
        if (m_listing || m_failures > 0) {
            return;
        }
        if (!listing || !isPlausible(*listing)) {
            logInfo("store.not_verified",
                    {{"kind", m_kind}, {"reason", listing ? "the list has no revision or is from an earlier era" : listing.reason().message}});
            if (++m_failedVerifications > 1) {
                refresh();
            }
            return;
        }
        m_failedVerifications = 0;
        const known_objects::revisions revisions = revisionsOf(*listing);
        if (m_known.covers(revisions, listing->storeRevision)) {
            m_known.noteCompleteTo(listing->storeRevision);
            m_revision = std::max(m_revision, listing->storeRevision);
        } else {
            m_timer.cancel();
            acceptListing(*listing, revisions, "verification");
        }
        noteNewestRead(begun, listing->storeRevision);
    });
    return true;
}

bool object_watcher::isPlausible(const object_listing &listing) const
{
    return listing.storeRevision.era() >= m_store.era()
        && (listing.storeRevision.revision() != 0 || m_known.empty() || listing.storeRevision.era() > m_known.completeTo().era());
}

duration object_watcher::listTimeout() const
{
    return m_listed ? store_client::CALL_TIMEOUT : std::min(FIRST_LIST_TIMEOUT * (1U << std::min(m_failures / 2, 2U)), store_client::CALL_TIMEOUT);
}

void object_watcher::scheduleList(duration pause)
{
    scheduleAfter(m_retryCoordinator.mayRetry(*this, pause) ? pause : MAX_WAIT_FOR_OTHER_WATCHER, [this] { list(read_freshness::newest); });
}

void object_watcher::takeOverRetry(duration pause)
{
    scheduleAfter(pause, [this] { list(read_freshness::newest); });
}

void object_watcher::watchNewest()
{
    if (m_watching) {
        watch(read_freshness::newest);
    }
}

void object_watcher::watch(read_freshness freshness)
{
    const std::uint64_t callNumber = ++m_callNumber;
    m_watching = true;
    m_listing = false;
    m_store.watch(m_kind, m_revision, freshness, m_watchTime, [this, callNumber](const outcome<object_changes> &changes) {
        if (callNumber != m_callNumber) {
            return;
        }
        m_watching = false;
        if (!changes) {
            if (changes.reason().code == error_code::history_gone) {
                ++m_historyLosses;
                logInfo("store.history_gone", {{"kind", m_kind}, {"revision", toString(m_revision)}});
                if (m_historyLosses == 1) {
                    list(read_freshness::newest);
                } else {
                    scheduleAfter(std::min(FIRST_RETRY_PAUSE * (1U << std::min(m_historyLosses, 5U)), MAX_RETRY_PAUSE),
                                  [this] { list(read_freshness::newest); });
                }
                return;
            }
            noteFailure(changes.reason());
            scheduleList(duration::zero());
            return;
        }
        noteSuccess();
        m_historyLosses = 0;
        m_revision = std::max(m_revision, changes->storeRevision);
        if (changes->changes.empty()) {
            watch(read_freshness::may_be_stale);
            return;
        }
        applyChanges(*changes);
        scheduleAfter(COALESCE_TIME, [this] { watch(read_freshness::may_be_stale); });
    });
}

void object_watcher::applyChanges(object_changes changes)
{
    std::erase_if(changes.changes, [this](const object_change &change) {
        const stored_object &object = change.object;
        if (!m_known.isNews(object.name, object.revision, change.deleted)) {
            return true;
        }
        if (change.deleted) {
            m_known.remove(object.name);
        } else {
            m_known.update(object.name, object.revision);
        }
        return false;
    });
    m_known.noteCompleteTo(changes.storeRevision);
    logUpdate("watch", changes.changes.size());
    if (!changes.changes.empty()) {
        m_callbacks.onChanges(changes);
    }
}

void object_watcher::noteNewestRead(time_point begun, store_position storeRevision)
{
    m_newestReadAt = begun;
    m_callbacks.onNewestRead(begun, storeRevision);
}

void object_watcher::logUpdate(std::string_view source, std::size_t objects) const
{
    const std::string sinceRead = m_newestReadAt == time_point() ? "never" : std::to_string((now() - m_newestReadAt).count() / 1000);
    logInfo("store.update",
            {{"kind", m_kind},
             {"source", std::string(source)},
             {"objects", std::to_string(objects)},
             {"revision", toString(m_revision)},
             {"since_read_ms", sinceRead}});
}

void object_watcher::noteFailure(const failure &reason)
{
    ++m_failures;
    if (!m_reachable) {
        return;
    }
    m_reachable = false;
    logWarning("store.lost", {{"kind", m_kind}, {"revision", toString(m_revision)}, {"reason", reason.message}});
    m_callbacks.onReachabilityChange(false);
}

void object_watcher::noteSuccess()
{
    if (!m_reachable) {
        logInfo("store.regained", {{"kind", m_kind}, {"failures", std::to_string(m_failures)}});
        m_reachable = true;
        m_callbacks.onReachabilityChange(true);
    }
    m_failures = 0;
    m_retryCoordinator.noteStoreAnswered(*this);
}

void object_watcher::scheduleAfter(duration pause, std::function<void()> action)
{
    m_timer.expires_after(pause);
    // Cancelling the timer doesn't stop an action that is already queued; a call that has begun since replaces it.
    m_timer.async_wait([this, callNumber = m_callNumber, action = std::move(action)](const boost::system::error_code &cancelled) {
        if (!cancelled && callNumber == m_callNumber) {
            action();
        }
    });
}

} // namespace snipefall
