#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "policy/gossip_message.h"

namespace snipefall {

/** Encodes a message as the payload of a datagram in Thrift's compact protocol. */
std::string encodeGossip(const gossip_message &message);

/** Decodes a payload. Returns nothing when the bytes are malformed or a value is out of range. */
std::optional<gossip_message> decodeGossip(std::string_view bytes);

} // namespace snipefall
