#include "tier/object_watcher.h"

#include <algorithm>

#include "core/logger.h"
#include "tier/loop_clock.h"
#include "tier/store_retry_coordinator.h"

namespace snipefall {

namespace {

/**
 * How long the store may hold a watch open. Each call is charged once however long it waits, so this is long. Dead connections are detected by keep-alive
 * probes, and lost answers by the revisions that peers report; the end of the watch is the last resort.
 */
constexpr duration WATCH_TIME = std::chrono::seconds(10);
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

void object_watcher::refresh()
{
    m_timer.cancel();
    list(read_freshness::newest);
}

void object_watcher::list(read_freshness freshness)
{
    const std::uint64_t callNumber = ++m_callNumber;
    m_watching = false;
    const time_point begun = now();
    m_store.list(m_kind, freshness, listTimeout(), [this, callNumber, freshness, begun](const outcome<object_listing> &listing) {
        if (callNumber != m_callNumber) {
            return;
        }
        if (!listing) {
            noteFailure(listing.reason());
            scheduleList(std::min(FIRST_RETRY_PAUSE * (1U << std::min(m_failures, 4U)) / 2, MAX_RETRY_PAUSE));
            return;
        }
        noteSuccess();
        m_listed = true;
        m_revision = listing->storeRevision;
        logUpdate(freshness == read_freshness::newest ? "list" : "stale_list", listing->objects.size());
        if (freshness == read_freshness::newest) {
            m_listedAt = begun;
        }
        for (const stored_object &object : listing->objects) {
            m_newestRevision = std::max(m_newestRevision, object.revision);
        }
        m_callbacks.onListing(*listing);
        watch();
    });
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

void object_watcher::restartWatch()
{
    if (m_watching) {
        watch();
    }
}

void object_watcher::watch()
{
    const std::uint64_t callNumber = ++m_callNumber;
    m_watching = true;
    m_store.watch(m_kind, m_revision, WATCH_TIME, [this, callNumber](const outcome<object_changes> &changes) {
        if (callNumber != m_callNumber) {
            return;
        }
        m_watching = false;
        if (!changes) {
            if (changes.reason().code == error_code::history_gone) {
                logInfo("store.history_gone", {{"kind", m_kind}, {"revision", std::to_string(m_revision.value())}});
                list(read_freshness::newest);
                return;
            }
            noteFailure(changes.reason());
            scheduleList(duration::zero());
            return;
        }
        noteSuccess();
        m_revision = std::max(m_revision, changes->storeRevision);
        for (const object_change &change : changes->changes) {
            m_newestRevision = std::max(m_newestRevision, change.object.revision);
        }
        if (!changes->changes.empty()) {
            logUpdate("watch", changes->changes.size());
            m_callbacks.onChanges(*changes);
            scheduleAfter(COALESCE_TIME, [this] { watch(); });
            return;
        }
        watch();
    });
}

void object_watcher::logUpdate(std::string_view source, std::size_t objects) const
{
    const std::string sinceList = m_listedAt ? std::to_string((now() - *m_listedAt).count() / 1000) : "never";
    logInfo("store.update",
            {{"kind", m_kind},
             {"source", std::string(source)},
             {"objects", std::to_string(objects)},
             {"revision", std::to_string(m_revision.value())},
             {"since_list_ms", sinceList}});
}

void object_watcher::noteFailure(const failure &reason)
{
    ++m_failures;
    if (!m_reachable) {
        return;
    }
    m_reachable = false;
    logWarning("store.lost", {{"kind", m_kind}, {"revision", std::to_string(m_revision.value())}, {"reason", reason.message}});
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
    m_timer.async_wait([action = std::move(action)](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            action();
        }
    });
}

} // namespace snipefall
