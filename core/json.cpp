#include "core/json.h"

namespace snipefall {

outcome<json> parseJson(std::string_view text)
{
    json value = json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return failure{error_code::invalid_argument, "the text is not valid JSON"};
    }
    return value;
}

} // namespace snipefall
