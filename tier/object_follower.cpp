#include "tier/object_follower.h"

#include <algorithm>

#include "core/logger.h"
#include "tier/store_search.h"

namespace snipefall {

namespace {

/**
 * A waiting watch is paid for once, so it waits long. Silent connections are found by keep-alive probes, and a lost answer by the revisions that peers know;
 * the watch's end is the last resort.
 */
constexpr duration WATCH_TIME = std::chrono::seconds(10);
/** Changes that come together are read by one call; a new configuration must not be in force long before the servers that it names are known. */
constexpr duration COALESCE_TIME = std::chrono::milliseconds(250);
constexpr duration FIRST_RETRY = std::chrono::milliseconds(100);
/** Bounds the time until a store that is back is noticed, well below the bounds on applying what it holds. */
constexpr duration LONGEST_RETRY = std::chrono::milliseconds(800);
/** A follower that leaves the search for the store to another one tries by itself after this time, in case only the other's calls fail. */
constexpr duration LONGEST_WAIT = std::chrono::seconds(5);

} // namespace

object_follower::object_follower(boost::asio::io_context &loop, store_client &store, store_search &search, std::string kind, handlers callbacks)
    : m_store(store)
    , m_search(search)
    , m_kind(std::move(kind))
    , m_handlers(std::move(callbacks))
    , m_timer(loop)
{
}

void object_follower::refresh()
{
    m_timer.cancel();
    list(read_freshness::newest);
}

void object_follower::list(read_freshness freshness)
{
    const std::uint64_t round = ++m_round;
    m_watching = false;
    m_store.list(m_kind, freshness, [this, round](const outcome<object_listing> &listing) {
        if (round != m_round) {
            return;
        }
        if (!listing) {
            failed(listing.reason());
            listAgain(std::min(FIRST_RETRY * (1U << std::min(m_failures, 4U)) / 2, LONGEST_RETRY));
            return;
        }
        succeeded();
        m_revision = listing->storeRevision;
        for (const stored_object &object : listing->objects) {
            m_newestChange = std::max(m_newestChange, object.revision);
        }
        m_handlers.onListing(*listing);
        watch();
    });
}

void object_follower::listAgain(duration pause)
{
    after(m_search.mayTryAgain(*this) ? pause : LONGEST_WAIT, [this] { list(read_freshness::newest); });
}

void object_follower::watchAgain()
{
    if (m_watching) {
        watch();
    }
}

void object_follower::watch()
{
    const std::uint64_t round = ++m_round;
    m_watching = true;
    m_store.watch(m_kind, m_revision, WATCH_TIME, [this, round](const outcome<object_changes> &changes) {
        if (round != m_round) {
            return;
        }
        m_watching = false;
        if (!changes) {
            if (changes.reason().code == error_code::history_gone) {
                logInfo("store.history_gone", {{"kind", m_kind}, {"revision", std::to_string(m_revision.value())}});
                list(read_freshness::newest);
                return;
            }
            failed(changes.reason());
            listAgain(duration::zero());
            return;
        }
        succeeded();
        m_revision = std::max(m_revision, changes->storeRevision);
        for (const object_change &change : changes->changes) {
            m_newestChange = std::max(m_newestChange, change.object.revision);
        }
        if (!changes->changes.empty()) {
            m_handlers.onChanges(*changes);
            after(COALESCE_TIME, [this] { watch(); });
            return;
        }
        watch();
    });
}

void object_follower::failed(const failure &reason)
{
    ++m_failures;
    if (!m_reachable) {
        return;
    }
    m_reachable = false;
    logWarning("store.lost", {{"kind", m_kind}, {"revision", std::to_string(m_revision.value())}, {"reason", reason.message}});
    m_handlers.onReachable(false);
}

void object_follower::succeeded()
{
    if (!m_reachable) {
        logInfo("store.regained", {{"kind", m_kind}, {"failures", std::to_string(m_failures)}});
        m_reachable = true;
        m_handlers.onReachable(true);
    }
    m_failures = 0;
    m_search.found(*this);
}

void object_follower::after(duration pause, std::function<void()> action)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([action = std::move(action)](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            action();
        }
    });
}

} // namespace snipefall
