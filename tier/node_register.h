#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "core/ids.h"
#include "platform/store_client.h"
#include "policy/member.h"

namespace snipefall {

/** This node's entry in the platform's store, by which nodes find each other when the platform's seeds are stale. */
class node_register
{
public:
    /** @p onListed gets the peer addresses of all registered nodes. */
    node_register(boost::asio::io_context &loop, store_client &store, member self, std::function<void(std::vector<std::string>)> onListed);

    void start() { list(read_freshness::seconds_old); }
    /** Removes the entry; for a planned stop. */
    void remove();

private:
    void list(read_freshness freshness);
    void write(object_version known);
    void retry();

    store_client &m_store;
    member m_self;
    std::function<void(std::vector<std::string>)> m_onListed;
    boost::asio::steady_timer m_timer;
    object_version m_revision; ///< Of the written entry; 0 if there is none.
    bool m_removing = false;
};

} // namespace snipefall
