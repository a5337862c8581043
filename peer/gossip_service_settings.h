#pragma once

#include <functional>
#include <string>
#include <vector>

#include "peer/envelope_settings.h"
#include "peer/exchange_limits.h"
#include "policy/gossip_settings.h"
#include "policy/member.h"

namespace snipefall {

/** Settings of a node's side towards its peers. */
struct gossip_service_settings
{
    member self; ///< Its peerAddress is bound for UDP and TCP; port 0 takes a free one.
    std::vector<peer_key> keys; ///< See envelope_settings.
    std::vector<std::string> seeds; ///< Peer addresses to join through.
    std::vector<std::string> allowedPeers; ///< Networks or addresses; empty allows all holders of a key.
    gossip_settings gossip;
    exchange_limits exchange;
    std::uint64_t maxSkewMs = 300000;
    std::uint64_t randomSeed = 0; ///< 0 takes one from the system.
    std::function<bool(const std::string &address)> sendFilter; ///< For fault injection: datagrams for which it returns false are lost.
};

} // namespace snipefall
