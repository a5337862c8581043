#pragma once

namespace snipefall {

/** Reasons why a backend server must not get new requests. */
struct server_exclusions
{
    bool leaving = false; ///< The server is shutting down.
    bool domainExcluded = false; ///< Its failure domain is excluded.
    bool badVersion = false; ///< Its version was found to be faulty.

    bool any() const { return leaving || domainExcluded || badVersion; }
};

} // namespace snipefall
