#pragma once

#include "core/clock.h"
#include "core/outcome.h"
#include "peer/envelope_codec.h"
#include "peer/exchange_limits.h"
#include "peer/peer_message.h"
#include "peer/refusal_counters.h"
#include "peer/socket_address.h"

namespace snipefall {

/** Sends one request to a peer and waits for its response. Thread-safe. */
class exchange_client
{
public:
    exchange_client(envelope_codec &codec, exchange_limits limits, refusal_counters &refusals);

    /**
     * One exchange on a new connection, so that a request goes out at most once.
     *
     * Failures: unavailable when nothing was sent; unknown_result when the request may have been run; the failure of the peer's handler otherwise.
     * @param timeout Limit of the connect and of each wait for bytes.
     */
    outcome<peer_message> exchange(const std::string &address, const node_id &recipient, message_kind kind, std::string payload, duration timeout);

private:
    envelope_codec &m_codec;
    exchange_limits m_limits;
    refusal_counters &m_refusals;
};

} // namespace snipefall
