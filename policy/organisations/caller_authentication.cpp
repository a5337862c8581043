#include "policy/organisations/caller_authentication.h"

#include "policy/organisations/organisation_directory.h"

namespace snipefall {

caller_authentication
authenticateCaller(const organisation_directory &organisations, bool publicRoute, const std::optional<key_digest> &key, const credential_knowledge &knowledge)
{
    using result = caller_authentication::result;
    if (!organisations.requiresKeys()) {
        return {};
    }
    const bool mayBeRevoked = knowledge.revocationBound && knowledge.age > *knowledge.revocationBound;
    const organisation *owner = key && !mayBeRevoked ? organisations.find(*key) : nullptr;
    if (owner || publicRoute) {
        return {result::accepted, owner};
    }
    if (!key) {
        return {result::unknown_key, nullptr};
    }
    return {mayBeRevoked || knowledge.age > knowledge.additionBound ? result::undecided : result::unknown_key, nullptr};
}

} // namespace snipefall
