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

/** Limit of nesting levels. Copying, comparing and serializing a JSON value recurse once per level, so deeper values could overflow a thread's stack. */
constexpr int MAX_JSON_DEPTH = 100;

/** Parses a JSON text. Fails with invalid_argument if the text is malformed or nests objects and arrays more than MAX_JSON_DEPTH deep. */
outcome<json> parseJson(std::string_view text);

/** The member @p key as T, or @p fallback if it is missing, has another type or is out of the range of an unsigned T. */
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
