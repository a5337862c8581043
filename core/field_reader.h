#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "core/invalid_field.h"

namespace snipefall {

/** Reads the members of one JSON object and collects every invalid one; a missing optional member leaves the target as it is. */
class field_reader
{
public:
    enum class presence
    {
        optional,
        required,
    };

    /** The object and the list must outlive the reader. */
    field_reader(const json &object, json::json_pointer path, std::vector<invalid_field> &invalid);

    /** Whether the value is an object; reports it otherwise. */
    bool isObject() const;
    /** Reports each member that is not in @p known, with the nearest known name. */
    void refuseUnknown(std::initializer_list<std::string_view> known) const;

    void text(const char *key, presence need, std::size_t maxBytes, std::string &target) const;
    void boolean(const char *key, bool &target) const;
    void fraction(const char *key, double &target) const;
    template <typename T>
    void whole(const char *key, presence need, T min, T max, T &target) const
    {
        std::uint64_t value = target;
        wholeNumber(key, need, min, max, value);
        target = static_cast<T>(value);
    }

    /** Reports the member @p key with its present value, or @p fallback when it is missing. */
    void report(const std::string &key, std::string allowed, const json &fallback = nullptr) const;

private:
    void wholeNumber(const char *key, presence need, std::uint64_t min, std::uint64_t max, std::uint64_t &target) const;
    /** The member, or null when it is missing; reports a missing required one. */
    const json *member(const char *key, presence need, const std::string &allowed) const;

    const json &m_object;
    json::json_pointer m_path;
    std::vector<invalid_field> &m_invalid;
};

} // namespace snipefall
