#pragma once

#include <string>

#include "core/json.h"

namespace snipefall {

/** The result of verifying a signed report. */
struct report_check
{
    std::string problem; ///< Empty when the report holds.
    json report; ///< The report, when it holds.
    std::string publicKey; ///< Hexadecimal; the key that signed.
    std::string signer;
    std::uint64_t signedMs = 0;
};

} // namespace snipefall
