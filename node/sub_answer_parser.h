#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "policy/sub_answer.h"

namespace snipefall {

/**
 * Reads the answer of a backend server to sub-request @p sub.
 *
 * The results stay the text that the server sent, so they are checked but neither built as a document nor written a second time. Nothing when the
 * text is not JSON, names another sub-request than @p name, or has results that are no array.
 */
std::optional<sub_answer> parseSubAnswer(const std::string &text, sub_request_id sub, std::string_view name);

} // namespace snipefall
