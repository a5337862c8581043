#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "core/ids.h"
#include "platform/store_client.h"
#include "policy/member.h"

namespace snipefall {

/** Registers this node in the platform's store, so that nodes find each other when the seed addresses from the platform are stale. */
class node_registration
{
public:
    /** @p onListed is called with the peer addresses of all registered nodes, this one included if it is listed. */
    node_registration(boost::asio::io_context &loop, store_client &store, member self, std::function<void(std::vector<std::string>)> onListed);

    /** Registers the node. The known nodes may be incomplete if @p freshness allows an old copy to answer. */
    void start(read_freshness freshness);
    /** Registers the node again after the store came back from a copy that may lack its entry. */
    void restore();
    /** Removes the entry and stops retrying; called on a graceful shutdown. */
    void remove();

private:
    void list(read_freshness freshness);
    void write(store_position existing);
    void scheduleRetry();
    void listAfter(duration pause);

    store_client &m_store;
    member m_self;
    std::function<void(std::vector<std::string>)> m_onListed;
    boost::asio::steady_timer m_timer;
    store_position m_revision; ///< Revision of this node's entry as written; 0 if it was not written.
    bool m_started = false;
    bool m_removing = false;
    std::mt19937 m_random; ///< Spreads the calls of the nodes after the store was restored.
};

} // namespace snipefall
