#pragma once

#include <functional>
#include <string>
#include <vector>

#include "peer/envelope_settings.h"
#include "peer/exchange_limits.h"
#include "policy/gossip_settings.h"
#include "policy/member.h"

namespace snipefall {

/** Settings of a gossip_service. */
struct gossip_service_settings
{
    member self; ///< Record of this node. Its peerAddress is bound for UDP and TCP; port 0 selects a free port.
    std::vector<peer_key> keys; ///< See envelope_settings.
    std::vector<std::string> seeds; ///< Peer addresses that are contacted to join the cluster.
    std::vector<std::string> allowedPeers; ///< Networks or addresses that may send messages; empty allows every sender that holds a key.
    gossip_settings gossip;
    exchange_limits exchange;
    std::uint64_t maxClockSkewMs = 300000;
    std::uint64_t randomSeed = 0; ///< Seed of the gossip engine; 0 takes one from std::random_device.
    std::function<bool(const std::string &address)> sendFilter; ///< For fault injection: a datagram to an address for which this returns false is dropped.
};

} // namespace snipefall
