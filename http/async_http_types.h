#pragma once

#include <boost/beast/http.hpp>

namespace snipefall {

/** Messages of the asynchronous client and server; their bodies are buffered completely, not streamed. */
using http_request_message = boost::beast::http::request<boost::beast::http::string_body>;
using http_response_message = boost::beast::http::response<boost::beast::http::string_body>;

} // namespace snipefall
