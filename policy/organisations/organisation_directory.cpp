#include "policy/organisations/organisation_directory.h"

#include <utility>

namespace snipefall {

std::size_t organisation_directory::add(organisation added)
{
    m_organisations.push_back(std::move(added));
    return m_organisations.size() - 1;
}

bool organisation_directory::addKey(std::size_t index, const key_digest &key)
{
    const auto [found, isNew] = m_byKey.try_emplace(key, index);
    return isNew || found->second == index;
}

const organisation *organisation_directory::find(const key_digest &key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : &m_organisations[found->second];
}

} // namespace snipefall
