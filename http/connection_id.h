#pragma once

#include <cstdint>

namespace snipefall {

/** Identifies a connection of an async_http_client for as long as the client exists. */
enum class connection_id : std::uint64_t
{
    none = 0,
};

} // namespace snipefall
