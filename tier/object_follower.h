#pragma once

#include <functional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "platform/store_client.h"

namespace snipefall {

class store_search;

/** Follows all objects of one kind in the platform's store: a complete list, then the changes. */
class object_follower
{
public:
    struct handlers
    {
        std::function<void(const object_listing &)> onListing; ///< Replaces all that was known.
        std::function<void(const object_changes &)> onChanges;
        std::function<void(bool reachable)> onReachable; ///< Called when the store is lost and when it answers again.
    };

    /** Followers with the same @p search take turns at looking for a store that is away. */
    object_follower(boost::asio::io_context &loop, store_client &store, store_search &search, std::string kind, handlers callbacks);

    /** @p freshness holds for the first list; the watch brings what it lacks. */
    void start(read_freshness freshness) { list(freshness); }
    /** Reads the complete list again as soon as possible, for example after the process was suspended. */
    void refresh();
    /** Asks again for the changes since the last known one, because the answer to the waiting watch may have been lost. */
    void watchAgain();
    /** The revision of the newest object that was seen. */
    object_version newestChange() const { return m_newestChange; }

private:
    void list(read_freshness freshness);
    void watch();
    /** Lists after @p pause, or much later if another follower looks for the store. */
    void listAgain(duration pause);
    void failed(const failure &reason);
    void succeeded();
    void after(duration pause, std::function<void()> action);

    store_client &m_store;
    store_search &m_search;
    std::string m_kind;
    handlers m_handlers;
    boost::asio::steady_timer m_timer;
    object_version m_revision; ///< The watch continues from here.
    object_version m_newestChange;
    bool m_watching = false;
    unsigned m_failures = 0;
    std::uint64_t m_round = 0; ///< Answers to calls of earlier rounds are left out.
    bool m_reachable = true;
};

} // namespace snipefall
