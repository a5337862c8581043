#pragma once

namespace snipefall {

/** Why a backend server gets no new work; facts and configuration of the node. */
struct server_exclusions
{
    bool leaving = false;
    bool domainOut = false;
    bool badVersion = false;

    bool any() const { return leaving || domainOut || badVersion; }
};

} // namespace snipefall
