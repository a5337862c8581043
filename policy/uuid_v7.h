#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipefall {

/** A UUID of version 7 (RFC 9562): its first 48 bits are the time of its making. */
class uuid_v7
{
public:
    enum class age
    {
        acceptable,
        too_old,
        too_far_ahead,
    };

    /** Accepts the 36-character form in any case; nothing for other versions and variants. */
    static std::optional<uuid_v7> parse(std::string_view text);
    /** @p unixMs uses its low 48 bits; of the random bits 12 and 62 are used. */
    static uuid_v7 generate(std::uint64_t unixMs, std::uint64_t randomA, std::uint64_t randomB);

    /** Milliseconds since 1970 by the clock of the maker. */
    std::uint64_t unixMs() const { return m_high >> 16; }
    /** Whether the id is at most @p retentionMs old and at most @p aheadMs ahead of @p nowMs. */
    age checkAge(std::uint64_t nowMs, std::uint64_t retentionMs, std::uint64_t aheadMs) const;
    /** The lower-case form: one text for each id, and texts sort by time. */
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
