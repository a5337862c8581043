#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>

#include <boost/beast/http/error.hpp>

namespace snipefall {

/**
 * Passes bytes to a parser of Beast and returns how many it used.
 *
 * A field whose line exceeds the 65,533 bytes that Beast can store fails with header_limit, where Beast throws an exception.
 */
template <typename Parser, typename Buffers>
std::size_t putBytes(Parser &parser, const Buffers &bytes, boost::system::error_code &error)
{
    try {
        return parser.put(bytes, error);
    } catch (const std::length_error &) {
        error = boost::beast::http::error::header_limit;
        return 0;
    }
}

/** The bytes of its body that a message still needs; nothing if that isn't known. */
template <typename Parser>
std::optional<std::uint64_t> restOfBody(const std::optional<Parser> &parser)
{
    if (!parser || !parser->is_header_done()) {
        return std::nullopt;
    }
    const auto rest = parser->content_length_remaining();
    return rest ? std::optional<std::uint64_t>(*rest) : std::nullopt;
}

} // namespace snipefall
