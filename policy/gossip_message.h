#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "policy/fact.h"
#include "policy/gossip_type.h"
#include "policy/member_update.h"

namespace snipefall {

/** The payload of one gossip datagram. */
struct gossip_message
{
    gossip_type type = gossip_type::broadcasts;
    std::uint64_t probe = 0; ///< Number of the probe that a ping, ack, nack or ping_request belongs to. In a pull, 1 asks the receiver to pull in return.
    node_id target; ///< In a ping_request, the member to ping; in an ack of a relay, the member that answered.
    std::string targetAddress; ///< In a ping_request, the "ip:port" of the member to ping.
    config_version configVersion; ///< Configuration version of the sender.
    std::uint64_t memberDigest = 0; ///< Digest of the live members as the sender sees them.
    std::uint64_t factDigest = 0; ///< Digest of the sender's unexpired facts.
    std::vector<std::uint32_t> memberBuckets; ///< The sender's member buckets; only in a pull, and only if the member digests differ.
    std::vector<std::uint32_t> factBuckets; ///< The sender's fact buckets; only in a pull, and only if the fact digests differ.
    std::vector<member_update> updates;
    std::vector<fact> facts;
};

/** Upper bound of the size of all numbers and field headers of an encoded message. */
constexpr std::size_t MESSAGE_FIXED_BYTES = 60;
/** Upper bound of the encoded size of one digest bucket. */
constexpr std::size_t BUCKET_BYTES = 5;

/** Returns an upper bound of the encoded size in bytes. */
inline std::size_t encodedSizeBound(const gossip_message &message)
{
    std::size_t size = MESSAGE_FIXED_BYTES + message.target.str().size() + message.targetAddress.size();
    size += BUCKET_BYTES * (message.memberBuckets.size() + message.factBuckets.size());
    for (const member_update &update : message.updates) {
        size += encodedSizeBound(update);
    }
    for (const fact &item : message.facts) {
        size += encodedSizeBound(item);
    }
    return size;
}

} // namespace snipefall
