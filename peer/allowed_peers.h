#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/outcome.h"

namespace snipefall {

/** Allow list of the IPv4 networks and addresses from which peer messages are accepted. An empty list allows all. */
class allowed_peers
{
public:
    /** Parses entries such as "10.1.0.0/16" or "10.1.2.3". Returns invalid_argument with the first malformed entry. */
    static outcome<allowed_peers> parse(const std::vector<std::string> &entries);

    bool allows(const std::string &ip) const;

private:
    struct network
    {
        std::uint32_t address = 0;
        std::uint32_t mask = 0;
    };

    std::vector<network> m_networks;
};

} // namespace snipefall
