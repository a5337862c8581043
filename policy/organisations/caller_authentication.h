#pragma once

#include <optional>

#include "policy/organisations/credential_knowledge.h"
#include "policy/organisations/key_digest.h"

namespace snipefall {

class organisation_directory;
struct organisation;

/** Whether a request may be served, by the key that it carries. */
struct caller_authentication
{
    enum class result
    {
        accepted, ///< Served; for an organisation if one has the key.
        unknown_key, ///< No configuration that may be in force allows the key.
        undecided, ///< The node's knowledge is too old to decide; the request has to be refused as not run.
    };

    result outcome = result::accepted;
    const organisation *owner = nullptr; ///< Null for requests without an organisation.
};

/**
 * Decides on a request with @p key, or without a valid one.
 *
 * Answers two failures: a new key that a node with an old configuration would reject for good, and a withdrawn key that a node cut off from the store would
 * accept without a limit. A public route needs no key, and a key that is known all the same names the organisation.
 */
caller_authentication
authenticateCaller(const organisation_directory &organisations, bool publicRoute, const std::optional<key_digest> &key, const credential_knowledge &knowledge);

} // namespace snipefall
