#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipefall {

/** A UUID of version 7 (RFC 9562), whose first 48 bits are its creation time. */
class uuid_v7
{
public:
    enum class age
    {
        acceptable,
        too_old,
        too_far_ahead,
    };

    /** Parses the 36-character form in upper or lower case. Returns nothing for malformed texts and for other versions and variants. */
    static std::optional<uuid_v7> parse(std::string_view text);
    /** Uses the low 48 bits of @p unixMs, the low 12 bits of @p randomA and the low 62 bits of @p randomB. */
    static uuid_v7 generate(std::uint64_t unixMs, std::uint64_t randomA, std::uint64_t randomB);

    /** Creation time in ms since 1970, by the clock of the host that generated the id. */
    std::uint64_t unixMs() const { return m_high >> 16; }
    /** Checks that the id is at most @p retentionMs older and at most @p aheadMs newer than @p nowMs. */
    age checkAge(std::uint64_t nowMs, std::uint64_t retentionMs, std::uint64_t aheadMs) const;
    /** The canonical lower-case form: each id has exactly one text, and texts sort by creation time. */
    std::string text() const;

    auto operator<=>(const uuid_v7 &) const = default;

private:
    uuid_v7(std::uint64_t high, std::uint64_t low)
        : m_high(high)
        , m_low(low)
    {
    }

    std::uint64_t m_high;
    std::uint64_t m_low;
};

} // namespace snipefall
