#pragma once

namespace snipefall {

/** Why a call to the platform is made; ordered from the highest to the lowest priority. */
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
