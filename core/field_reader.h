#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "core/invalid_field.h"

namespace snipefall {

/** Reads and validates the members of one JSON object, and collects every invalid one. A missing optional member leaves the target unchanged. */
class field_reader
{
public:
    enum class presence
    {
        optional,
        required,
    };

    /** @p path is the JSON pointer of @p object within the document. @p object and @p invalid must outlive the reader. */
    field_reader(const json &object, json::json_pointer path, std::vector<invalid_field> &invalid);

    /** Returns whether the value is an object, and reports it as invalid if it is not. */
    bool requireObject() const;
    /** Reports each member that is not in @p known, with the known name of the smallest edit distance. */
    void reportUnknownFields(std::initializer_list<std::string_view> known) const;

    void readStringField(const char *key, presence need, std::size_t maxBytes, std::string &target) const;
    void readBooleanField(const char *key, bool &target) const;
    void readFractionField(const char *key, double &target) const;
    template <typename T>
    void readIntegerField(const char *key, presence need, T min, T max, T &target) const
    {
        std::uint64_t value = target;
        readUnsigned(key, need, min, max, value);
        target = static_cast<T>(value);
    }

    /** Reports the member @p key as invalid, with its current value or with @p fallback if it is missing. */
    void reportInvalid(const std::string &key, std::string allowed, const json &fallback = nullptr) const;

private:
    void readUnsigned(const char *key, presence need, std::uint64_t min, std::uint64_t max, std::uint64_t &target) const;
    /** The member, or null if it is missing. Reports a missing required member as invalid. */
    const json *findMember(const char *key, presence need, const std::string &allowed) const;

    const json &m_object;
    json::json_pointer m_path;
    std::vector<invalid_field> &m_invalid;
};

} // namespace snipefall
