#include "policy/audit_chain.h"

#include "core/configuration_patch.h"
#include "core/crypto.h"

namespace snipefall {

std::string auditEntryHash(json entry)
{
    entry.erase("hash");
    return sha256Hex(canonicalText(entry));
}

std::string checkAuditChain(const json &entries, const std::string &previousHash)
{
    std::string previous = previousHash;
    std::uint64_t last = 0;
    for (const json &entry : entries) {
        const auto sequence = jsonValue<std::uint64_t>(entry, "sequence", 0);
        const std::string name = "audit entry " + std::to_string(sequence);
        if (!entry.is_object() || sequence == 0 || (last != 0 && sequence != last + 1)) {
            return name + " does not follow entry " + std::to_string(last);
        }
        if (jsonValue<std::string>(entry, "previous_hash", "") != previous) {
            return name + " does not continue the hash chain";
        }
        previous = jsonValue<std::string>(entry, "hash", "");
        if (previous != auditEntryHash(entry)) {
            return name + " does not have its hash";
        }
        last = sequence;
    }
    return {};
}

} // namespace snipefall
