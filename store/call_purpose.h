#pragma once

namespace snipefall {

/** The purpose of a call to the platform, ordered from the highest to the lowest priority. */
enum class call_purpose
{
    configuration,
    claim,
    permit,
    move,
    membership,
    audit,
    account,
};

const char *toString(call_purpose purpose);

} // namespace snipefall
