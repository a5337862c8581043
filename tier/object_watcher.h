#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "platform/store_client.h"

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
    };

    /** While the store is unreachable, only one of the watchers that share @p retryCoordinator keeps retrying. */
    object_watcher(boost::asio::io_context &loop, store_client &store, store_retry_coordinator &retryCoordinator, std::string kind, handlers callbacks);

    /** @p freshness applies to the first list only; changes that a stale list lacks arrive by the watch. */
    void start(read_freshness freshness) { list(freshness); }
    /** Reads the complete list again at once, for example after the machine was suspended. */
    void refresh();
    /** Starts the watch again from the last known revision, because the answer to the pending watch may have been lost. Does nothing while none is pending. */
    void restartWatch();
    /** Lists after @p pause in place of another watcher that shares the retry coordinator. */
    void takeOverRetry(duration pause);
    /** The highest revision of all objects that were listed or changed so far. */
    object_version newestRevision() const { return m_newestRevision; }
    const std::string &kind() const { return m_kind; }
    /** The start of the latest successful list of the newest state; nothing before the first one. Watches may be answered from an older copy and don't count. */
    std::optional<time_point> listedAt() const { return m_listedAt; }

private:
    void list(read_freshness freshness);
    void watch();
    /** Lists after @p pause, or after MAX_WAIT_FOR_OTHER_WATCHER if another watcher already retries on behalf of all. */
    void scheduleList(duration pause);
    duration listTimeout() const;
    /** Logs that @p objects objects were listed or changed, and how old the node's knowledge of them was. */
    void logUpdate(std::string_view source, std::size_t objects) const;
    void noteFailure(const failure &reason);
    void noteSuccess();
    void scheduleAfter(duration pause, std::function<void()> action);

    store_client &m_store;
    store_retry_coordinator &m_retryCoordinator;
    std::string m_kind;
    handlers m_callbacks;
    boost::asio::steady_timer m_timer;
    object_version m_revision; ///< Store revision from which the next watch continues.
    object_version m_newestRevision;
    std::optional<time_point> m_listedAt;
    bool m_watching = false; ///< A watch is pending.
    bool m_listed = false; ///< Some list has succeeded.
    unsigned m_failures = 0; ///< Failed calls in a row.
    std::uint64_t m_callNumber = 0; ///< Of the latest call; answers to earlier calls are ignored.
    bool m_reachable = true;
};

} // namespace snipefall
