#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "policy/recovery/store_era.h"

namespace snipefall {

/**
 * A point in the history of the platform's store.
 *
 * A store that comes back from an older copy assigns revisions again, to other contents, so that revisions of different eras can't be compared. Positions are
 * ordered by era first. The default value stands for "none" and precedes all others.
 */
class store_position
{
public:
    constexpr store_position() = default;
    constexpr explicit store_position(std::uint64_t revision, store_era era = {})
        : m_era(era)
        , m_revision(revision)
    {
    }

    constexpr store_era era() const { return m_era; }
    constexpr std::uint64_t revision() const { return m_revision; }

    constexpr auto operator<=>(const store_position &) const = default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14.
    constexpr bool operator==(const store_position &) const = default;

private:
    store_era m_era;
    std::uint64_t m_revision = 0;
};

/** The revision, preceded by the era and a colon if the store reports eras. */
inline std::string toString(const store_position &position)
{
    const std::string revision = std::to_string(position.revision());
    return position.era() == store_era() ? revision : std::to_string(position.era().value()) + ":" + revision;
}

} // namespace snipefall
