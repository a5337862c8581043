#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "policy/sub_answer.h"

namespace snipefall {

/**
 * Reads the answer of a backend server to sub-request @p sub.
 *
 * The results keep the text that the server sent: the parser validates them, but neither builds a document of them nor serialises them again. Returns
 * nullopt if the text isn't a JSON object, names another sub-request than @p name, or has results that aren't an array.
 */
std::optional<sub_answer> parseSubAnswer(const std::string &text, sub_request_id sub, std::string_view name);

} // namespace snipefall
