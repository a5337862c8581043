#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/configuration_patch.h"

namespace snipefall {

/** What became of a patch that was submitted to the configuration log. */
struct commit_result
{
    enum class kind
    {
        applied, ///< In force as @ref version; also for a repeat of a patch that is already in the log.
        refused, ///< Another patch has the version, or the base version does not exist yet; not in force, and never will be as submitted.
        invalid, ///< Some fields are not allowed; nothing was written.
        unavailable, ///< The platform gave no answer before anything was sent; not in force.
        unknown, ///< Sent, but the answer was lost and the log can't be read; committing the same patch again settles it.
    };

    kind status = kind::unavailable;
    config_version version; ///< applied: the patch's version. refused: the version it lost to, or the newest one when the base does not exist.
    std::optional<configuration_patch> winner; ///< refused: the patch it lost to.
    std::vector<invalid_field> invalidFields;
    std::string message; ///< One sentence for operators.
};

} // namespace snipefall
