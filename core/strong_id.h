#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace snipefall {

/** A string identifier with its own type per @p Tag, so that identifiers of different kinds can't be mixed up. */
template <typename Tag>
class strong_id
{
public:
    strong_id() = default;
    explicit strong_id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &str() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    auto operator<=>(const strong_id &) const = default; // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14.
    bool operator==(const strong_id &) const = default;

private:
    std::string m_value;
};

} // namespace snipefall

template <typename Tag>
struct std::hash<snipefall::strong_id<Tag>>
{
    std::size_t operator()(const snipefall::strong_id<Tag> &id) const { return std::hash<std::string>{}(id.str()); }
};
