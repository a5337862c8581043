#pragma once

#include <cstdint>
#include <string>

#include "core/json.h"
#include "policy/report_check.h"

namespace snipefall {

class signing_key;

/** The canonical text {"signature", "signed": {"public_key", "report", "signed_ms", "signer"}}; the signature covers all of "signed". */
std::string signReport(const json &report, const signing_key &key, const std::string &signer, std::uint64_t signedMs);

/**
 * Checks the signature, the form and, when the report names audit entries, their hash chain. Only the canonical text, with at most one line
 * feed after it, is accepted, so that any changed byte is found.
 *
 * @param publicKey the expected key in hexadecimal; empty accepts any key, which shows only that the text is as its signer made it.
 */
report_check verifyReport(const std::string &text, const std::string &publicKey);

} // namespace snipefall
