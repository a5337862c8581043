#pragma once

#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace snipefall {

/** Serializes the message in Thrift's compact protocol. */
template <typename Message>
std::string toThriftBytes(const Message &message)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

/** Deserializes a message. Returns false when the bytes are truncated or malformed, or when bytes follow the message. */
template <typename Message>
bool fromThriftBytes(std::string_view bytes, Message &message)
{
    try {
        const auto size = static_cast<std::uint32_t>(bytes.size());
        const auto buffer =
            std::make_shared<apache::thrift::transport::TMemoryBuffer>(reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data())), size);
        // The limits prevent a forged length field from allocating more memory than the input has bytes.
        apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(
            buffer, static_cast<std::int32_t>(size), static_cast<std::int32_t>(size));
        message.read(&protocol);
        return buffer->available_read() == 0;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace snipefall
