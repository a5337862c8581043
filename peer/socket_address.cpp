#include "peer/socket_address.h"

#include <charconv>

#include <arpa/inet.h>

namespace snipefall {

std::optional<socket_address> socket_address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    socket_address result;
    result.ip = std::string(text.substr(0, colon));
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), result.port);
    in_addr ignored{};
    if (error != std::errc() || end != port.data() + port.size() || inet_pton(AF_INET, result.ip.c_str(), &ignored) != 1) {
        return std::nullopt;
    }
    return result;
}

socket_address socket_address::from(const sockaddr_in &raw)
{
    char buffer[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &raw.sin_addr, buffer, sizeof buffer);
    return {buffer, ntohs(raw.sin_port)};
}

sockaddr_in socket_address::raw() const
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

std::string socket_address::toString() const
{
    return ip + ":" + std::to_string(port);
}

} // namespace snipefall
