#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/steady_timer.hpp>

#include "platform/store_client.h"
#include "policy/known_objects.h"

namespace snipefall {

class store_retry_coordinator;

/** Keeps up with all objects of one kind in the platform's store: reads the complete list, then watches for changes. Retries failed calls. */
class object_watcher
{
public:
    struct handlers
    {
        std::function<void(const object_listing &)> onListing; ///< Called with a complete list, which replaces all objects known before.
        std::function<void(const object_changes &)> onChanges; ///< Called with one or more changes, oldest first.
        std::function<void(bool reachable)> onReachabilityChange; ///< Called with false at the first failed call, and with true at the next successful one.
        /** Called when the newest state as of @p storeRevision was read, and applied if it was news, by a call that began at @p begun. */
        std::function<void(time_point begun, store_position storeRevision)> onNewestRead = [](time_point, store_position) {};
    };

    /** While the store is unreachable, only one of the watchers that share @p retryCoordinator keeps retrying. */
    object_watcher(boost::asio::io_context &loop, store_client &store, store_retry_coordinator &retryCoordinator, std::string kind, handlers callbacks);

    /** Sets for how long the store keeps changes; watches are shorter. */
    void setHistoryTime(duration historyTime);
    /** @p freshness applies to the first list only; changes that a stale list lacks arrive by the watch. */
    void start(read_freshness freshness) { list(freshness); }
    /** Reads the complete list again at once, for example after the machine was suspended. */
    void refresh();
    /** Reads the newest list beside the pending watch, which goes on if the list shows nothing new. Does nothing while another list is pending or failed calls
     * are retried. */
    bool verify();
    /** Starts the pending watch again from the last known revision without allowing an old copy to answer. Does nothing while none is pending. */
    void watchNewest();
    /** Lists after @p pause in place of another watcher that shares the retry coordinator. */
    void takeOverRetry(duration pause);
    const known_objects &known() const { return m_known; }

private:
    void list(read_freshness freshness);
    void acceptListing(const object_listing &listing, const known_objects::revisions &revisions, std::string_view source);
    /**
     * A list without a revision is an error unless nothing is known either: the store doesn't know a kind without objects. A list from an earlier era of the
     * store is from a copy that doesn't know of the newest one.
     */
    bool isPlausible(const object_listing &listing) const;
    void watch(read_freshness freshness);
    void applyChanges(object_changes changes);
    /** Lists after @p pause, or after MAX_WAIT_FOR_OTHER_WATCHER if another watcher already retries on behalf of all. */
    void scheduleList(duration pause);
    duration listTimeout() const;
    /** Logs that @p objects objects were listed or changed, and how long ago the newest state was read. */
    void logUpdate(std::string_view source, std::size_t objects) const;
    void noteFailure(const failure &reason);
    void noteSuccess();
    void noteNewestRead(time_point begun, store_position storeRevision);
    void scheduleAfter(duration pause, std::function<void()> action);

    store_client &m_store;
    store_retry_coordinator &m_retryCoordinator;
    std::string m_kind;
    handlers m_callbacks;
    boost::asio::steady_timer m_timer;
    known_objects m_known;
    duration m_watchTime = std::chrono::seconds(10);
    store_position m_revision; ///< Store revision from which the next watch continues.
    time_point m_newestReadAt; ///< Start of the last read of the newest state.
    bool m_watching = false; ///< A watch is pending.
    bool m_listing = false; ///< A list is pending.
    bool m_verifying = false; ///< A list beside a watch is pending.
    bool m_listed = false; ///< Some list has succeeded.
    unsigned m_failedVerifications = 0; ///< In a row.
    unsigned m_historyLosses = 0; ///< Watches in a row that failed because the store had discarded the history that they need.
    unsigned m_failures = 0; ///< Failed calls in a row.
    std::uint64_t m_callNumber = 0; ///< Of the latest call; answers to earlier calls are ignored.
    bool m_reachable = true;
};

} // namespace snipefall
