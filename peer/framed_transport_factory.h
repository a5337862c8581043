#pragma once

#include <memory>

#include <thrift/transport/TBufferTransports.h>

namespace snipefall {

constexpr std::uint32_t FRAME_BUFFER_BYTES = 512;
/** A frame buffer larger than this is freed after the message. */
constexpr std::uint32_t FRAME_RECLAIM_BYTES = 64U << 10U;

/** Creates framed transports that refuse a frame above a size limit before they allocate memory for it. */
class framed_transport_factory : public apache::thrift::transport::TTransportFactory
{
public:
    explicit framed_transport_factory(std::size_t maxFrameBytes)
        : m_config(std::make_shared<apache::thrift::TConfiguration>(static_cast<int>(maxFrameBytes), static_cast<int>(maxFrameBytes)))
    {
    }

    std::shared_ptr<apache::thrift::transport::TTransport> getTransport(std::shared_ptr<apache::thrift::transport::TTransport> transport) override
    {
        return std::make_shared<apache::thrift::transport::TFramedTransport>(std::move(transport), FRAME_BUFFER_BYTES, FRAME_RECLAIM_BYTES, m_config);
    }

private:
    std::shared_ptr<apache::thrift::TConfiguration> m_config;
};

} // namespace snipefall
