#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/** A server over plain sockets that counts what arrives and then fails as told. */
class raw_server
{
public:
    /** What is done with one request. */
    enum class behaviour
    {
        answer, ///< 200 with body "{}"; the connection is kept.
        answer_and_close, ///< As answer, but then the connection is closed without notice.
        answer_half, ///< Half of a response, then the connection is closed.
        close_after_reading, ///< The connection is closed once the whole request was read.
        close_after_part, ///< The connection is reset after the first bytes.
        stay_silent, ///< The whole request is read and nothing is sent.
        stop_reading, ///< Only the first bytes are read and nothing is sent.
    };

    /** The n-th request meets the n-th behaviour, further ones the last. */
    explicit raw_server(std::vector<behaviour> script);
    ~raw_server();
    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /** Requests of which the first bytes arrived. */
    unsigned requests() const { return m_requests; }
    unsigned connections() const { return m_connections; }

private:
    void acceptConnections();
    void serve(int socket);
    /** Reads a request until its end or, for the behaviours that want only a part, its first bytes. */
    bool readRequest(int socket, behaviour &chosen);
    behaviour next();

    const std::vector<behaviour> m_script;
    int m_listener = -1;
    unsigned short m_port = 0;
    std::atomic<unsigned> m_requests{0};
    std::atomic<unsigned> m_connections{0};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};
