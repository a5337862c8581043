#pragma once

#include <string>

#include "cli/exit_code.h"
#include "cli/node_client.h"
#include "core/outcome.h"

namespace snipefall {

/** Tells why there was no response; the exit code follows the reason. */
exit_code reportFailure(const failure &reason);

/** Tells a response that is a refusal; the exit code follows its status. */
exit_code reportRefusal(const node_response &response);

/** Writes the body as JSON, or gives the refusal or failure out; @p show writes the table form of a body with status 200. */
template <typename Show>
exit_code showResponse(const outcome<node_response> &response, bool asJson, Show &&show);

} // namespace snipefall

#include "cli/output_writer.h"

namespace snipefall {

template <typename Show>
exit_code showResponse(const outcome<node_response> &response, bool asJson, Show &&show)
{
    if (!response) {
        return reportFailure(response.reason());
    }
    if (response->status != 200) {
        if (asJson) {
            output_writer::document(response->body);
        }
        return reportRefusal(*response);
    }
    if (asJson) {
        output_writer::document(response->body);
    } else {
        show(response->body);
    }
    return exit_code::success;
}

} // namespace snipefall
