#pragma once

#include <map>
#include <string>
#include <vector>

namespace snipefall {

/** The validated values of a program's settings, by name. */
class setting_values
{
public:
    void set(const std::string &name, std::string value) { m_values[name] = std::move(value); }

    const std::string &text(const std::string &name) const;
    long integer(const std::string &name) const;
    bool flag(const std::string &name) const;
    /** The non-empty parts of a comma-separated value. */
    std::vector<std::string> list(const std::string &name) const;

    /** Positional arguments, in the order given. */
    std::vector<std::string> arguments;

private:
    std::map<std::string, std::string> m_values;
};

} // namespace snipefall
