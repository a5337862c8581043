#pragma once

#include <map>
#include <memory>
#include <thread>

#include "core/outcome.h"
#include "peer/allowed_peers.h"
#include "peer/envelope_codec.h"
#include "peer/exchange_handler.h"
#include "peer/exchange_limits.h"
#include "peer/refusal_counters.h"
#include "peer/replay_guard.h"
#include "peer/socket_address.h"

namespace apache::thrift::server {
class TThreadedServer;
}

namespace snipefall {

/** Answers exchanges of peers over Thrift's compact protocol in frames. */
class exchange_server
{
public:
    exchange_server(envelope_codec &codec, allowed_peers allowed, exchange_limits limits, refusal_counters &refusals);
    ~exchange_server();
    exchange_server(const exchange_server &) = delete;
    exchange_server &operator=(const exchange_server &) = delete;

    /** To be called before start. */
    void registerHandler(message_kind kind, exchange_handler handler);

    /** Listens at @p address; nothing on success. */
    std::optional<failure> start(const socket_address &address);
    void stop();

    /** Answers one request; an empty result means that it was refused. */
    std::optional<peer_messages::envelope> answer(const peer_messages::envelope &request, const std::string &ip);
    /** True when messages from @p ip are accepted; a refusal is counted. */
    bool admits(const std::string &ip);

private:
    envelope_codec &m_codec;
    allowed_peers m_allowed;
    exchange_limits m_limits;
    refusal_counters &m_refusals;
    replay_guard m_guard;
    std::map<message_kind, exchange_handler> m_handlers;
    std::shared_ptr<apache::thrift::server::TThreadedServer> m_server;
    std::thread m_thread;
};

} // namespace snipefall
