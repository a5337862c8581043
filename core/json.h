#pragma once

#include <nlohmann/json.hpp>

#include "core/outcome.h"

namespace snipefall {

using json = nlohmann::json;

/** Parses a JSON text; a malformed text gives invalid_argument. */
outcome<json> parseJson(std::string_view text);

/** The member @p key as T, or @p fallback when it is missing or of another type. */
template <typename T>
T jsonValue(const json &object, const char *key, T fallback)
{
    const auto found = object.is_object() ? object.find(key) : object.end();
    if (!object.is_object() || found == object.end()) {
        return fallback;
    }
    if constexpr (std::is_same_v<T, std::string>) {
        return found->is_string() ? found->template get<T>() : fallback;
    } else if constexpr (std::is_same_v<T, bool>) {
        return found->is_boolean() ? found->template get<T>() : fallback;
    } else if constexpr (std::is_unsigned_v<T>) {
        return found->is_number_unsigned() ? found->template get<T>() : fallback;
    } else {
        return found->is_number() ? found->template get<T>() : fallback;
    }
}

} // namespace snipefall
