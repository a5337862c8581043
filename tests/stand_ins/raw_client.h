#pragma once

#include <cstddef>
#include <string>

namespace snipefall {

/** A client on a plain non-blocking socket that need not keep to any limit. */
class raw_client
{
public:
    /** Connects to "ip:port". A @p receiveBuffer other than 0 sets how many bytes the kernel takes for this client without its reading them. */
    explicit raw_client(const std::string &address, int receiveBuffer = 0);
    ~raw_client();
    raw_client(raw_client &&other) noexcept;
    raw_client &operator=(raw_client &&other) noexcept;
    raw_client(const raw_client &) = delete;
    raw_client &operator=(const raw_client &) = delete;

    /** Sends as much of @p bytes as the socket takes; returns how much that was. */
    std::size_t send(const std::string &bytes);
    /** Returns up to @p maxBytes that have arrived; empty if there are none. */
    std::string receive(std::size_t maxBytes);
    /** True once bytes of an answer can be read, or the connection has ended. */
    bool hasInput() const;
    /** True once the other side has closed or reset the connection; reads and drops what has arrived. */
    bool isClosed();
    /** True once a call has found the connection closed or reset. */
    bool wasClosed() const { return m_closed; }
    std::size_t bytesSent() const { return m_bytesSent; }

private:
    int m_socket = -1;
    std::size_t m_bytesSent = 0;
    bool m_closed = false;
};

} // namespace snipefall
