#include "policy/audit_chain.h"

#include "core/configuration_patch.h"
#include "core/crypto.h"

namespace snipefall {

std::string auditEntryHash(json entry)
{
    entry.erase("hash");
    return sha256Hex(canonicalJson(entry));
}

std::string checkAuditChain(const json &entries, const std::string &previousHash)
{
    std::string previous = previousHash;
    std::uint64_t lastSequence = 0;
    for (const json &entry : entries) {
        const auto sequence = jsonValue<std::uint64_t>(entry, "sequence", 0);
        const std::string entryName = "audit entry " + std::to_string(sequence);
        if (!entry.is_object() || sequence == 0 || (lastSequence != 0 && sequence != lastSequence + 1)) {
            return entryName + " does not follow entry " + std::to_string(lastSequence);
        }
        if (jsonValue<std::string>(entry, "previous_hash", "") != previous) {
            return entryName + " does not continue the hash chain";
        }
        previous = jsonValue<std::string>(entry, "hash", "");
        if (previous != auditEntryHash(entry)) {
            return entryName + " does not have its hash";
        }
        lastSequence = sequence;
    }
    return {};
}

} // namespace snipefall
