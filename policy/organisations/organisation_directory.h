#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "policy/organisations/key_digest.h"
#include "policy/organisations/organisation.h"

namespace snipefall {

/** The organisations of one configuration version and the keys of their callers. */
class organisation_directory
{
public:
    /** Adds an organisation without keys and returns its index. */
    std::size_t add(organisation added);
    /** Gives a key to the organisation with this index. Returns false if another organisation, added earlier, has the key; that one keeps it. */
    bool addKey(std::size_t index, const key_digest &key);

    /** The organisation that has the key; null if none has. */
    const organisation *find(const key_digest &key) const;
    const std::vector<organisation> &organisations() const { return m_organisations; }
    /** Notes that callers need keys, also if no organisation could be read. */
    void requireKeys() { m_requiresKeys = true; }
    bool requiresKeys() const { return m_requiresKeys; }

private:
    std::vector<organisation> m_organisations;
    std::unordered_map<key_digest, std::size_t> m_byKey;
    bool m_requiresKeys = false;
};

} // namespace snipefall
