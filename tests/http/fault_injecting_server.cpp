#include "tests/http/fault_injecting_server.h"

#include <algorithm>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

void sendAll(int socket, const std::string &text)
{
    ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
}

} // namespace

fault_injecting_server::fault_injecting_server(std::vector<behaviour> script)
    : m_script(std::move(script))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    // With a small receive window the sender of a large request blocks until the server reads.
    const int receiveWindowBytes = 8192;
    ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveWindowBytes, sizeof receiveWindowBytes);
    if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(m_listener, 64) != 0
        || ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("fault-injecting test server can't listen on a loopback port");
    }
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { acceptConnections(); });
}

fault_injecting_server::~fault_injecting_server()
{
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_sockets) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    ::close(m_listener);
}

void fault_injecting_server::acceptConnections()
{
    for (;;) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            return;
        }
        ++m_connections;
        const std::lock_guard lock(m_mutex);
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket] { serve(socket); });
    }
}

void fault_injecting_server::serve(int socket)
{
    behaviour current = behaviour::answer;
    while (current == behaviour::answer && readRequest(socket, current)) {
        if (current == behaviour::answer || current == behaviour::answer_and_close) {
            sendAll(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
        } else if (current == behaviour::truncate_answer) {
            sendAll(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{}");
        } else if (current == behaviour::never_answer || current == behaviour::stop_reading) {
            char byte = 0;
            while (!m_stopping && ::recv(socket, &byte, 1, current == behaviour::never_answer ? 0 : MSG_PEEK) > 0) {
                ::usleep(1000);
            }
        }
    }
    const std::lock_guard lock(m_mutex);
    m_sockets.erase(std::find(m_sockets.begin(), m_sockets.end(), socket));
    if (current == behaviour::reset_after_first_bytes) {
        const linger resetOnClose{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    }
    ::close(socket);
}

bool fault_injecting_server::readRequest(int socket, behaviour &current)
{
    std::string text;
    for (;;) {
        char bytes[4096];
        const ssize_t count = ::recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        if (text.empty()) {
            current = nextBehaviour();
        }
        text.append(bytes, static_cast<std::size_t>(count));
        if (current == behaviour::reset_after_first_bytes || current == behaviour::stop_reading) {
            return true;
        }
        const std::size_t end = text.find("\r\n\r\n");
        const std::size_t length = text.find("Content-Length: ");
        const std::size_t expected = length < end ? std::stoul(text.substr(length + 16)) : 0;
        if (end != std::string::npos && text.size() >= end + 4 + expected) {
            return true;
        }
    }
}

fault_injecting_server::behaviour fault_injecting_server::nextBehaviour()
{
    return m_script[std::min<std::size_t>(m_requests++, m_script.size() - 1)];
}
