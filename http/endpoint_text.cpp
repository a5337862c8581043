#include "http/endpoint_text.h"

#include <charconv>
#include <string>

namespace snipefall {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    unsigned short port = 0;
    const auto [end, portError] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code addressError;
    const auto ip = boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), addressError);
    if (addressError || portError != std::errc() || end != digits.data() + digits.size() || digits.empty()) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace snipefall
