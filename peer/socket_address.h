#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <netinet/in.h>

namespace snipefall {

/** An IPv4 address and port. */
struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;

    /** Parses "ip:port". Host names are not resolved. */
    static std::optional<socket_address> parse(std::string_view text);
    static socket_address from(const sockaddr_in &raw);

    sockaddr_in raw() const;
    std::string toString() const;
};

} // namespace snipefall
