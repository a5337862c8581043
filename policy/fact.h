#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/fact_kind.h"

namespace snipefall {

/** A key-value record with a limited lifetime that a node publishes and gossip replicates to all nodes. */
struct fact
{
    std::string key; ///< A newer fact with the same key replaces an older one.
    fact_kind kind = fact_kind::other;
    std::string payload;
    node_id origin; ///< The node that published it.
    incarnation originIncarnation; ///< With @c sequence, the version of the fact.
    std::uint64_t sequence = 0;
    duration lifetime{0}; ///< Remaining time until it expires; at most fact_table::MAX_LIFETIME.
};

/** Creates a fact to publish; gossip_engine::publish() sets its origin, incarnation and sequence. */
inline fact makeFact(fact_kind kind, std::string key, std::string payload, duration lifetime)
{
    fact item;
    item.kind = kind;
    item.key = std::move(key);
    item.payload = std::move(payload);
    item.lifetime = lifetime;
    return item;
}

/** Upper bound of the size of all numbers and field headers of an encoded fact. */
constexpr std::size_t FACT_FIXED_BYTES = 46;

/** Returns an upper bound of the encoded size in bytes. */
inline std::size_t encodedSizeBound(const fact &item)
{
    return FACT_FIXED_BYTES + item.key.size() + item.payload.size() + item.origin.str().size();
}

} // namespace snipefall
