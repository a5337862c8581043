#pragma once

#include <cstddef>
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

} // namespace snipefall
