#include "core/setting_values.h"

#include <cstdlib>

#include "core/invariant.h"

namespace snipefall {

const std::string &setting_values::text(const std::string &name) const
{
    const auto found = m_values.find(name);
    SNIPEFALL_INVARIANT(found != m_values.end(), "the settings table does not define the setting that is read");
    return found->second;
}

long setting_values::integer(const std::string &name) const
{
    return std::strtol(text(name).c_str(), nullptr, 10);
}

bool setting_values::flag(const std::string &name) const
{
    return text(name) == "true";
}

std::vector<std::string> setting_values::list(const std::string &name) const
{
    std::vector<std::string> parts;
    std::string part;
    for (const char c : text(name) + ',') {
        if (c != ',') {
            part += c;
            continue;
        }
        if (!part.empty()) {
            parts.push_back(part);
        }
        part.clear();
    }
    return parts;
}

} // namespace snipefall
