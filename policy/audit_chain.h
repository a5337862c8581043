#pragma once

#include <string>

#include "core/json.h"

namespace snipefall {

/** The hash of an audit entry: SHA-256 over the canonical text of all members but "hash". */
std::string auditEntryHash(json entry);

/** An empty string, or the first fault in @p entries: a hash, a previous hash or a sequence that does not hold. @p previousHash precedes them. */
std::string checkAuditChain(const json &entries, const std::string &previousHash);

} // namespace snipefall
