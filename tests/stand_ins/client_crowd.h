#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace snipefall {

/** Many clients on one thread that press on a node until stop(): a client that is refused or closed begins again. */
class client_crowd
{
public:
    /** What a client does once a successful answer begins to arrive, or in place of waiting for one. */
    enum class reading
    {
        nothing, ///< Leaves the answer unread.
        slowly, ///< Takes 2 KB ten times a second.
        leaves, ///< Closes the connection shortly after its request, whether an answer arrived or not.
    };

    struct behaviour
    {
        std::string opening; ///< Sent on a new connection, and again after each refusal.
        std::string dripped; ///< Sent ten times a second after that; empty for nothing.
        reading takes = reading::nothing;
    };

    client_crowd(std::string address, std::size_t clients, behaviour shown);
    ~client_crowd();
    client_crowd(const client_crowd &) = delete;
    client_crowd &operator=(const client_crowd &) = delete;

    /** Ends all connections. */
    void stop();
    /** Successful answers that have begun to arrive. */
    std::size_t answersBegun() const { return m_answersBegun; }
    std::size_t connectionsOpened() const { return m_connectionsOpened; }

private:
    struct client;

    void run();
    void step(client &pressing, std::chrono::steady_clock::time_point now);
    void connect(client &pressing, std::chrono::steady_clock::time_point now);
    void take(client &pressing, std::chrono::steady_clock::time_point now);

    std::string m_address;
    std::size_t m_clients;
    behaviour m_shown;
    std::atomic<std::size_t> m_answersBegun{0};
    std::atomic<std::size_t> m_connectionsOpened{0};
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

} // namespace snipefall
