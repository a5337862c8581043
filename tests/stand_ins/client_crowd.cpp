#include "tests/stand_ins/client_crowd.h"

#include <optional>
#include <utility>

#include "tests/stand_ins/raw_client.h"

namespace snipefall {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds STEP_INTERVAL(10);
constexpr milliseconds DRIP_INTERVAL(100);
constexpr milliseconds LEAVE_AFTER(300);
/** Pause of a client that was refused or closed. */
constexpr milliseconds RETURN_AFTER(50);
constexpr std::size_t SLOW_BYTES = 2048;
constexpr std::size_t STATUS_LINE_BYTES = 12;
constexpr std::size_t REFUSAL_BYTES = 65536;
/** Far below what the kernel buffers by default, so that unread bytes stay with the node. */
constexpr int SMALL_RECEIVE_BUFFER = 4096;

} // namespace

struct client_crowd::client
{
    std::optional<raw_client> connection;
    std::string unsent;
    std::chrono::steady_clock::time_point connectedAt;
    std::chrono::steady_clock::time_point nextAt; ///< Of the next drip, slow read or return.
    bool holdsAnswer = false;
};

client_crowd::client_crowd(std::string address, std::size_t clients, behaviour shown)
    : m_address(std::move(address))
    , m_clients(clients)
    , m_shown(std::move(shown))
    , m_thread([this] { run(); })
{
}

client_crowd::~client_crowd()
{
    stop();
}

void client_crowd::stop()
{
    m_stopped = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void client_crowd::run()
{
    std::vector<client> crowd(m_clients);
    while (!m_stopped) {
        const auto now = std::chrono::steady_clock::now();
        for (client &pressing : crowd) {
            step(pressing, now);
        }
        std::this_thread::sleep_for(STEP_INTERVAL);
    }
}

void client_crowd::connect(client &pressing, std::chrono::steady_clock::time_point now)
{
    pressing.connection.emplace(m_address, SMALL_RECEIVE_BUFFER);
    pressing.unsent = m_shown.opening;
    pressing.connectedAt = now;
    pressing.nextAt = now + DRIP_INTERVAL;
    pressing.holdsAnswer = false;
    ++m_connectionsOpened;
}

void client_crowd::step(client &pressing, std::chrono::steady_clock::time_point now)
{
    if (!pressing.connection) {
        if (now >= pressing.nextAt) {
            connect(pressing, now);
        }
        return;
    }
    const bool leaves = m_shown.takes == reading::leaves && now - pressing.connectedAt >= LEAVE_AFTER;
    if (pressing.connection->wasClosed() || leaves) {
        pressing.connection.reset();
        pressing.nextAt = now + RETURN_AFTER;
        return;
    }
    if (!pressing.unsent.empty()) {
        pressing.unsent.erase(0, pressing.connection->send(pressing.unsent));
    }
    if (m_shown.takes != reading::leaves) {
        take(pressing, now);
    }
    if (now < pressing.nextAt) {
        return;
    }
    pressing.nextAt = now + DRIP_INTERVAL;
    if (pressing.unsent.empty()) {
        pressing.unsent = m_shown.dripped;
    }
    if (pressing.holdsAnswer && m_shown.takes == reading::slowly) {
        pressing.connection->receive(SLOW_BYTES);
    }
}

void client_crowd::take(client &pressing, std::chrono::steady_clock::time_point now)
{
    if (pressing.holdsAnswer) {
        return;
    }
    const std::string status = pressing.connection->receive(STATUS_LINE_BYTES);
    if (status.size() < STATUS_LINE_BYTES) {
        return;
    }
    if (status.compare(9, 3, "200") == 0) {
        pressing.holdsAnswer = true;
        ++m_answersBegun;
        return;
    }
    pressing.connection->receive(REFUSAL_BYTES);
    pressing.connection.reset();
    pressing.nextAt = now + RETURN_AFTER;
}

} // namespace snipefall
