#pragma once

#include <cstdint>
#include <string>

#include "core/json.h"
#include "policy/report_verification.h"

namespace snipefall {

class signing_key;

/**
 * Signs a report. Returns the canonical text of {"signature", "signed": {"public_key", "report", "signed_ms", "signer"}}; the signature covers all of "signed".
 * @p signedMs is the wall clock time in milliseconds.
 */
std::string signReport(const json &report, const signing_key &key, const std::string &signer, std::uint64_t signedMs);

/**
 * Verifies the signature, the format and, when the report contains audit entries, their hash chain. Only the canonical text is accepted, with at most one
 * line feed after it, so that a change of any byte is detected.
 *
 * @param publicKey the expected key in hexadecimal. Empty accepts any key, which proves only that the text is unchanged, not who signed it.
 */
report_verification verifyReport(const std::string &text, const std::string &publicKey);

} // namespace snipefall
