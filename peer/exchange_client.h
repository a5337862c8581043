#pragma once

#include "core/clock.h"
#include "core/outcome.h"
#include "peer/envelope_codec.h"
#include "peer/exchange_limits.h"
#include "peer/peer_message.h"
#include "peer/refusal_counters.h"
#include "peer/socket_address.h"

namespace snipefall {

/** Sends requests to peers over TCP and waits for the responses. Thread-safe. */
class exchange_client
{
public:
    exchange_client(envelope_codec &codec, exchange_limits limits, refusal_counters &refusals);

    /**
     * Sends one request on a new connection, so that it is sent at most once.
     *
     * Failures: invalid_argument for a malformed address or a request above the frame limit; unavailable when nothing was sent; unknown_result
     * when the peer may have executed the request; otherwise the failure that the peer's handler returned.
     * @param timeout Limit for connecting and for each single send or receive.
     */
    outcome<peer_message> exchange(const std::string &address, const node_id &recipient, message_kind kind, std::string payload, duration timeout);

private:
    envelope_codec &m_codec;
    exchange_limits m_limits;
    refusal_counters &m_refusals;
};

} // namespace snipefall
