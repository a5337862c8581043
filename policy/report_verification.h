#pragma once

#include <string>

#include "core/json.h"

namespace snipefall {

/** The result of verifying a signed report. */
struct report_verification
{
    std::string problem; ///< Why the report was rejected; empty when it is valid.
    json report; ///< The report; meaningful only when it is valid.
    std::string publicKey; ///< The key that signed the report, in hexadecimal.
    std::string signer;
    std::uint64_t signedMs = 0; ///< Wall clock time in milliseconds, as stated by the signer.
};

} // namespace snipefall
