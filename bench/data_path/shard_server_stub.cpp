#include "bench/data_path/shard_server_stub.h"

#include <csignal>
#include <cstdlib>
#include <deque>
#include <stdexcept>
#include <unordered_map>
#include <unordered_set>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>

#include <fmt/format.h>

namespace {

using steady = std::chrono::steady_clock;
constexpr int MAX_EPOLL_EVENTS = 256;

int listenOnFreePort(unsigned short &port)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (listener < 0 || ::bind(listener, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(listener, 1024) != 0
        || ::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("can't listen on a free port of 127.0.0.1");
    }
    port = ntohs(address.sin_port);
    return listener;
}

/** Returns the text after @p name up to one of @p ends. A text search is enough, because all requests come from this benchmark. */
std::string textAfter(const std::string &body, const std::string &name, const char *ends)
{
    const std::size_t found = body.find(name);
    if (found == std::string::npos) {
        return "0";
    }
    const std::size_t begin = found + name.size();
    return body.substr(begin, body.find_first_of(ends, begin) - begin);
}

class answering_process
{
public:
    answering_process(const std::vector<int> &listeners, unsigned answerBytes, unsigned answerDelayMs)
        : m_epoll(::epoll_create1(0))
        , m_results(answerBytes, 'r')
        , m_delay(std::chrono::milliseconds(answerDelayMs))
        , m_listeners(listeners.begin(), listeners.end())
    {
        for (const int listener : listeners) {
            watch(listener);
        }
    }

    [[noreturn]] void run()
    {
        epoll_event events[MAX_EPOLL_EVENTS];
        for (;;) {
            const int count = ::epoll_wait(m_epoll, events, MAX_EPOLL_EVENTS, m_delayed.empty() ? -1 : 1);
            for (int i = 0; i < count; ++i) {
                handle(events[i].data.fd);
            }
            while (!m_delayed.empty() && m_delayed.front().due <= steady::now()) {
                reply(m_delayed.front().socket, m_delayed.front().answer);
                m_delayed.pop_front();
            }
        }
    }

private:
    struct delayed_answer
    {
        steady::time_point due;
        int socket;
        std::string answer;
    };

    void watch(int descriptor)
    {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = descriptor;
        ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
    }

    void handle(int descriptor)
    {
        if (m_listeners.count(descriptor) > 0) {
            for (int accepted = 0; (accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;) {
                const int on = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                watch(accepted);
            }
            return;
        }
        char bytes[8192];
        const ssize_t read = ::recv(descriptor, bytes, sizeof bytes, 0);
        if (read <= 0) {
            m_received.erase(descriptor);
            ::close(descriptor);
            return;
        }
        std::string &received = m_received[descriptor];
        received.append(bytes, static_cast<std::size_t>(read));
        answerIfComplete(descriptor, received);
    }

    void answerIfComplete(int descriptor, std::string &received)
    {
        const std::size_t headerEnd = received.find("\r\n\r\n");
        if (headerEnd == std::string::npos) {
            return;
        }
        const std::size_t length = std::strtoul(textAfter(received, "Content-Length:", "\r").c_str(), nullptr, 10);
        if (received.size() < headerEnd + 4 + length) {
            return;
        }
        const std::string body = received.substr(headerEnd + 4, length);
        received.clear();
        const std::string answer = fmt::format(R"({{"sub_id":"{}","snapshot":"{}","shard":{},"items_seen":100,"results":["{}"]}})",
                                               textAfter(body, R"("sub_id":")", "\""),
                                               textAfter(body, R"("snapshot":")", "\""),
                                               textAfter(body, R"("shard":)", ",}"),
                                               m_results);
        std::string response = fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}", answer.size(), answer);
        if (m_delay.count() == 0) {
            reply(descriptor, response);
        } else {
            m_delayed.push_back({steady::now() + m_delay, descriptor, std::move(response)});
        }
    }

    static void reply(int descriptor, const std::string &response) { (void)::send(descriptor, response.data(), response.size(), MSG_NOSIGNAL); }

    const int m_epoll;
    const std::string m_results;
    const std::chrono::milliseconds m_delay;
    const std::unordered_set<int> m_listeners;
    std::unordered_map<int, std::string> m_received;
    std::deque<delayed_answer> m_delayed;
};

} // namespace

shard_server_stub::shard_server_stub(unsigned processes, unsigned servers, unsigned answerBytes, unsigned answerDelayMs)
{
    std::vector<std::vector<int>> listeners(processes);
    for (unsigned i = 0; i < servers; ++i) {
        unsigned short port = 0;
        listeners[i % processes].push_back(listenOnFreePort(port));
        m_addresses.push_back(fmt::format("127.0.0.1:{}", port));
    }
    for (unsigned i = 0; i < processes; ++i) {
        const pid_t child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            answering_process(listeners[i], answerBytes, answerDelayMs).run();
        }
        m_children.push_back(child);
    }
    for (const std::vector<int> &part : listeners) {
        for (const int listener : part) {
            ::close(listener);
        }
    }
}

shard_server_stub::~shard_server_stub()
{
    for (const pid_t child : m_children) {
        ::kill(child, SIGKILL);
        ::waitpid(child, nullptr, 0);
    }
}
