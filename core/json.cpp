#include "core/json.h"

namespace snipefall {

outcome<json> parseJson(std::string_view text)
{
    bool tooDeep = false;
    const auto checkDepth = [&tooDeep](int depth, json::parse_event_t event, const json &) {
        const bool opens = event == json::parse_event_t::object_start || event == json::parse_event_t::array_start;
        tooDeep = tooDeep || (opens && depth >= MAX_JSON_DEPTH);
        // Once the limit is exceeded, all further values are discarded, so that no deeply nested value is built.
        return !tooDeep;
    };
    json value = json::parse(text, checkDepth, false);
    if (tooDeep) {
        return failure{error_code::invalid_argument, "the JSON text has more than " + std::to_string(MAX_JSON_DEPTH) + " levels of nesting"};
    }
    if (value.is_discarded()) {
        return failure{error_code::invalid_argument, "the text is not valid JSON"};
    }
    return value;
}

} // namespace snipefall
