#include "policy/known_objects.h"

#include <algorithm>
#include <utility>

namespace snipefall {

void known_objects::replaceAll(revisions objects, store_position storeRevision)
{
    m_objects = std::move(objects);
    m_digest = bucket_digest();
    for (const auto &[name, revision] : m_objects) {
        m_digest.toggle(name, revision.revision(), revision.era().value());
    }
    m_completeTo = storeRevision;
}

bool known_objects::isNews(const std::string &name, store_position revision, bool deleted) const
{
    const auto known = m_objects.find(name);
    if (deleted) {
        // An object that was created again after this deletion has a higher revision.
        return known != m_objects.end() && revision >= known->second;
    }
    return revision > m_completeTo && (known == m_objects.end() || revision > known->second);
}

void known_objects::update(const std::string &name, store_position revision)
{
    remove(name);
    m_objects[name] = revision;
    m_digest.toggle(name, revision.revision(), revision.era().value());
}

void known_objects::remove(const std::string &name)
{
    const auto known = m_objects.find(name);
    if (known == m_objects.end()) {
        return;
    }
    m_digest.toggle(name, known->second.revision(), known->second.era().value());
    m_objects.erase(known);
}

void known_objects::noteCompleteTo(store_position storeRevision)
{
    m_completeTo = std::max(m_completeTo, storeRevision);
}

bool known_objects::covers(const revisions &objects, store_position storeRevision) const
{
    // Changes that were reported after the list was made are missing from it.
    return storeRevision < m_completeTo || objects == m_objects;
}

bool known_objects::covers(const kind_version &peer) const
{
    return m_completeTo > peer.completeTo || m_digest.total() == peer.digest;
}

} // namespace snipefall
