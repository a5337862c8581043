#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace snipefall {

/** Reads "ip:port"; nothing if it is malformed. */
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace snipefall
