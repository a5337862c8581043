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

/** Serves requests from peers over TCP with Thrift's compact protocol and framed transport. */
class exchange_server
{
public:
    exchange_server(envelope_codec &codec, allowed_peers allowed, exchange_limits limits, refusal_counters &refusals);
    ~exchange_server();
    exchange_server(const exchange_server &) = delete;
    exchange_server &operator=(const exchange_server &) = delete;

    /** Registers the handler of one kind of request. Must be called before start. */
    void registerHandler(message_kind kind, exchange_handler handler);

    /** Listens on @p address. Returns nothing on success and unavailable when listening fails. */
    std::optional<failure> start(const socket_address &address);
    void stop();

    /** Answers one request. Returns nothing when the request is refused. */
    std::optional<peer_messages::envelope> answer(const peer_messages::envelope &request, const std::string &ip);
    /** Returns whether messages from @p ip are accepted, and counts a refusal. */
    bool acceptsAddress(const std::string &ip);

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
