#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/** An HTTP server on plain sockets that counts connections and requests and injects a scripted fault into each request. */
class fault_injecting_server
{
public:
    /** How the server handles one request. */
    enum class behaviour
    {
        answer, ///< 200 with body "{}"; the connection is kept.
        answer_and_close, ///< As answer, but then the connection is closed without a "Connection: close" header.
        truncate_answer, ///< Only a part of the response is sent, then the connection is closed.
        close_after_reading, ///< The connection is closed without a response after the complete request was read.
        reset_after_first_bytes, ///< The connection is reset after the first bytes of the request were read.
        never_answer, ///< The complete request is read, but no response is sent.
        stop_reading, ///< Only the first bytes of the request are read, and no response is sent.
    };

    /** The n-th request is handled with the n-th behaviour of @p script, further ones with the last. */
    explicit fault_injecting_server(std::vector<behaviour> script);
    ~fault_injecting_server();
    fault_injecting_server(const fault_injecting_server &) = delete;
    fault_injecting_server &operator=(const fault_injecting_server &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /** Number of requests of which at least the first bytes were received. */
    unsigned requests() const { return m_requests; }
    unsigned connections() const { return m_connections; }

private:
    void acceptConnections();
    void serve(int socket);
    /** Reads a complete request or, for reset_after_first_bytes and stop_reading, its first bytes. Returns false if the connection ends before that. */
    bool readRequest(int socket, behaviour &current);
    behaviour nextBehaviour();

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
