#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "core/clock.h"
#include "core/ids.h"
#include "policy/fact_kind.h"

namespace snipefall {

/** Something that a node observed and all nodes need to know for a while. */
struct fact
{
    std::string key; ///< The newest fact of a key replaces older ones.
    fact_kind kind = fact_kind::other;
    std::string payload;
    node_id origin;
    incarnation originIncarnation;
    std::uint64_t sequence = 0;
    duration lifetime{0}; ///< Time left until it expires.
};

/** A fact to publish; the table of the publishing node sets its origin and sequence. */
inline fact makeFact(fact_kind kind, std::string key, std::string payload, duration lifetime)
{
    fact item;
    item.kind = kind;
    item.key = std::move(key);
    item.payload = std::move(payload);
    item.lifetime = lifetime;
    return item;
}

/** Bytes of the numbers and field headers of an encoded fact. */
constexpr std::size_t FACT_FIXED_BYTES = 46;

/** Upper bound of the encoded size in bytes. */
inline std::size_t encodedSizeBound(const fact &item)
{
    return FACT_FIXED_BYTES + item.key.size() + item.payload.size() + item.origin.str().size();
}

} // namespace snipefall
