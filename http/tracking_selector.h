#pragma once

#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/selector.h>

namespace snipefall {

/**
 * A selector that tells which socket was added last; internal to this package.
 *
 * The library's client reports requestSent only once the whole request has left, and hides its socket, which it adds in its first
 * beginExecute(). The socket's own signal "connected" tells when the first byte may leave; it comes for a failed connect, too, and then the
 * socket's isConnected() is false.
 */
class tracking_selector : public cxxtools::Selector
{
public:
    /** The socket added since the last call, or nullptr. */
    cxxtools::net::TcpSocket *takeAdded()
    {
        cxxtools::net::TcpSocket *added = m_added;
        m_added = nullptr;
        return added;
    }

protected:
    void onAdd(cxxtools::Selectable &selectable) override
    {
        cxxtools::Selector::onAdd(selectable);
        if (auto *socket = dynamic_cast<cxxtools::net::TcpSocket *>(&selectable)) {
            m_added = socket;
        }
    }

private:
    cxxtools::net::TcpSocket *m_added = nullptr;
};

} // namespace snipefall
