#pragma once

#include <string>

#include "core/ids.h"
#include "peer/message_kind.h"

namespace snipefall {

/** A verified message from a peer. */
struct peer_message
{
    node_id sender;
    incarnation senderIncarnation;
    std::uint64_t sequence = 0;
    std::uint64_t inReplyTo = 0;
    message_kind kind = message_kind::gossip;
    std::string payload;
    std::string address; ///< Address of the sender: "ip:port", or the IP address alone for a request received over TCP.
};

} // namespace snipefall
