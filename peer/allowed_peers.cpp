#include "peer/allowed_peers.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <arpa/inet.h>

namespace snipefall {

namespace {

constexpr unsigned ADDRESS_BITS = 32;

std::optional<std::uint32_t> parseIp(const std::string &text)
{
    in_addr raw{};
    if (inet_pton(AF_INET, text.c_str(), &raw) != 1) {
        return std::nullopt;
    }
    return ntohl(raw.s_addr);
}

} // namespace

outcome<allowed_peers> allowed_peers::parse(const std::vector<std::string> &entries)
{
    allowed_peers result;
    for (const std::string &entry : entries) {
        const auto slash = entry.find('/');
        unsigned bits = ADDRESS_BITS;
        bool valid = true;
        if (slash != std::string::npos) {
            const char *last = entry.data() + entry.size();
            const auto [end, error] = std::from_chars(entry.data() + slash + 1, last, bits);
            valid = error == std::errc() && end == last && bits <= ADDRESS_BITS;
        }
        const auto ip = parseIp(entry.substr(0, slash));
        if (!valid || !ip) {
            return failure{error_code::invalid_argument, "not an address or a network: " + entry};
        }
        const std::uint32_t mask = bits == 0 ? 0 : ~std::uint32_t{0} << (ADDRESS_BITS - bits);
        result.m_networks.push_back({*ip & mask, mask});
    }
    return result;
}

bool allowed_peers::allows(const std::string &ip) const
{
    if (m_networks.empty()) {
        return true;
    }
    const auto address = parseIp(ip);
    return address && std::any_of(m_networks.begin(), m_networks.end(), [&](const network &allowed) { return (*address & allowed.mask) == allowed.address; });
}

} // namespace snipefall
