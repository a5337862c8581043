#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/configuration_patch.h"

namespace snipefall {

/** The result of submitting a patch to the configuration log. */
struct commit_result
{
    enum class kind
    {
        applied, ///< Applied as @ref version; also returned if the same patch is submitted again.
        refused, ///< Another patch made this version, or the base version does not exist yet; this submission will never be applied.
        invalid, ///< Some fields are not allowed; nothing was written.
        unavailable, ///< The platform was unavailable before anything was sent; the patch was not applied.
        unknown, ///< The write was sent, but its response was lost and the log can't be read; committing the same patch again resolves it.
    };

    kind status = kind::unavailable;
    config_version
        version; ///< applied: the version the patch made. refused: the version that another patch made, or the newest version if the base does not exist.
    std::optional<configuration_patch> winner; ///< refused: the patch that made the version instead.
    std::vector<invalid_field> invalidFields;
    std::string message; ///< One sentence for operators.
};

} // namespace snipefall
