#pragma once

#include <string>

#include "core/json.h"

namespace snipefall {

/** The hash of an audit entry in hexadecimal: SHA-256 of the canonical text of all its members except "hash". */
std::string auditEntryHash(json entry);

/**
 * Verifies the hash chain of @p entries and returns a description of the first error, or an empty string.
 *
 * An error is a wrong hash, a wrong previous hash or a gap in the sequence numbers. @p previousHash is the hash of the entry before the first one.
 */
std::string checkAuditChain(const json &entries, const std::string &previousHash);

} // namespace snipefall
