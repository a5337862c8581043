#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>

#include <nlohmann/json.hpp>

#include "core/outcome.h"

namespace snipefall {

using json = nlohmann::json;

/** Copying, comparing and writing a JSON value recurse once a level, so that a text with more levels could overflow a thread's stack. */
constexpr int MAX_JSON_DEPTH = 100;

/** Parses a JSON text; a malformed text, or one with more than MAX_JSON_DEPTH nested objects and arrays, gives invalid_argument. */
outcome<json> parseJson(std::string_view text);

/** The member @p key as T, or @p fallback when it is missing or of another type. */
template <typename T>
T jsonValue(const json &object, const char *key, T fallback)
{
    const auto found = object.is_object() ? object.find(key) : object.end();
    if (!object.is_object() || found == object.end()) {
        return fallback;
    }
    bool matches = found->is_number();
    if constexpr (std::is_same_v<T, std::string>) {
        matches = found->is_string();
    } else if constexpr (std::is_same_v<T, bool>) {
        matches = found->is_boolean();
    } else if constexpr (std::is_unsigned_v<T>) {
        matches = found->is_number_unsigned() && found->template get<std::uint64_t>() <= std::numeric_limits<T>::max();
    }
    return matches ? found->template get<T>() : fallback;
}

} // namespace snipefall
