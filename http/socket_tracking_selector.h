#pragma once

#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/selector.h>

namespace snipefall {

/**
 * A selector that remembers the socket that was added last. Internal to this folder.
 *
 * The client of the HTTP library emits requestSent only after the complete request was sent, and doesn't expose its socket, which it adds to the selector in
 * its first beginExecute(). The socket's signal "connected" marks the time from which bytes of the request may be sent. The signal is also emitted for a failed
 * connect; then the socket's isConnected() is false.
 */
class socket_tracking_selector : public cxxtools::Selector
{
public:
    /** Returns the socket that was last added since the previous call, or nullptr. */
    cxxtools::net::TcpSocket *takeLastAddedSocket()
    {
        cxxtools::net::TcpSocket *added = m_lastAdded;
        m_lastAdded = nullptr;
        return added;
    }

protected:
    void onAdd(cxxtools::Selectable &selectable) override
    {
        cxxtools::Selector::onAdd(selectable);
        if (auto *socket = dynamic_cast<cxxtools::net::TcpSocket *>(&selectable)) {
            m_lastAdded = socket;
        }
    }

private:
    cxxtools::net::TcpSocket *m_lastAdded = nullptr;
};

} // namespace snipefall
