#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace snipefall {

/** An unsigned number with its own type per @p Tag, so that numbers of different kinds can't be mixed up. */
template <typename Tag, typename Value = std::uint64_t>
class strong_number
{
public:
    using value_type = Value;

    constexpr strong_number() = default;
    constexpr explicit strong_number(Value value)
        : m_value(value)
    {
    }

    constexpr Value value() const { return m_value; }
    constexpr strong_number next() const { return strong_number(m_value + 1); }

    constexpr auto operator<=>(const strong_number &) const = default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14.
    constexpr bool operator==(const strong_number &) const = default;

private:
    Value m_value = 0;
};

} // namespace snipefall

template <typename Tag, typename Value>
struct std::hash<snipefall::strong_number<Tag, Value>>
{
    std::size_t operator()(const snipefall::strong_number<Tag, Value> &number) const { return std::hash<Value>{}(number.value()); }
};
