#pragma once

#include <string>

#include "cli/exit_code.h"
#include "cli/node_client.h"
#include "core/outcome.h"

namespace snipefall {

/** Prints to standard error why a request got no valid response, and returns the exit code for that failure. */
exit_code printFailure(const failure &reason);

/** Prints an error response to standard error and returns the exit code for its status and error code. */
exit_code printErrorResponse(const node_response &response);

/** Prints the body of a response as JSON, or by @p show when its status is 200. Any other status or a failure is printed as an error. */
template <typename Show>
exit_code showResponse(const outcome<node_response> &response, bool asJson, Show &&show);

} // namespace snipefall

#include "cli/output_writer.h"

namespace snipefall {

template <typename Show>
exit_code showResponse(const outcome<node_response> &response, bool asJson, Show &&show)
{
    if (!response) {
        return printFailure(response.reason());
    }
    if (response->status != 200) {
        if (asJson) {
            output_writer::document(response->body);
        }
        return printErrorResponse(*response);
    }
    if (asJson) {
        output_writer::document(response->body);
    } else {
        show(response->body);
    }
    return exit_code::success;
}

} // namespace snipefall
