#include "cli/command_results.h"

#include <fmt/format.h>

namespace snipefall {

exit_code printFailure(const failure &reason)
{
    output_writer::problem(reason.message);
    switch (reason.code) {
    case error_code::invalid_argument:
        return exit_code::usage;
    case error_code::unknown_result:
        return exit_code::unknown;
    case error_code::unavailable:
        return exit_code::unreachable;
    default:
        return exit_code::failed;
    }
}

exit_code printErrorResponse(const node_response &response)
{
    const json error = response.body.is_object() ? response.body.value("error", json::object()) : json::object();
    std::string message = jsonValue<std::string>(error, "message", "");
    if (message.empty() && response.body.is_object()) {
        message = jsonValue<std::string>(response.body, "message", "");
    }
    output_writer::problem(fmt::format("status {}: {}", response.status, message));
    if (jsonValue<std::string>(error, "code", "") == "unknown_result") {
        return exit_code::unknown;
    }
    if (response.body.is_object()) {
        for (const json &field : response.body.value("invalid_fields", json::array())) {
            output_writer::problem(fmt::format("  {}: {} is not allowed; allowed: {}",
                                               jsonValue<std::string>(field, "path", ""),
                                               field.value("value", json()).dump(),
                                               jsonValue<std::string>(field, "allowed", "")));
        }
        if (jsonValue<std::string>(response.body, "result", "") == "unknown") {
            return exit_code::unknown;
        }
    }
    return response.status == 400 || response.status == 403 || response.status == 409 ? exit_code::refused : exit_code::failed;
}

} // namespace snipefall
