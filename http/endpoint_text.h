#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace snipefall {

/** Parses "ip:port" with an IPv4 address. Returns nothing if the text is malformed. */
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace snipefall
