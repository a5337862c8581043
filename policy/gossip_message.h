#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "policy/fact.h"
#include "policy/gossip_type.h"
#include "policy/member_update.h"

namespace snipefall {

/** The payload of one datagram between nodes. */
struct gossip_message
{
    gossip_type type = gossip_type::news;
    std::uint64_t probe = 0; ///< Number of the probe that a ping, ack, nack or ping_request belongs to; in a pull, 1 asks for a pull in return.
    node_id target; ///< Of a ping_request.
    std::string targetAddress; ///< Of a ping_request.
    config_version configVersion; ///< The sender's.
    std::uint64_t memberDigest = 0;
    std::uint64_t factDigest = 0;
    std::vector<std::uint32_t> memberBuckets; ///< In a pull, when the digests of members differ.
    std::vector<std::uint32_t> factBuckets; ///< In a pull, when the digests of facts differ.
    std::vector<member_update> updates;
    std::vector<fact> facts;
};

/** Bytes of the numbers and field headers of an encoded message. */
constexpr std::size_t MESSAGE_FIXED_BYTES = 60;
constexpr std::size_t BUCKET_BYTES = 5;

/** Upper bound of the encoded size in bytes. */
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
