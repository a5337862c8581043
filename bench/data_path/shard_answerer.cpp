#include "bench/data_path/shard_answerer.h"

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
constexpr int EVENTS_AT_ONCE = 256;

int listenOnFreePort(unsigned short &port)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (listener < 0 || ::bind(listener, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(listener, 1024) != 0
        || ::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("no port to listen on");
    }
    port = ntohs(address.sin_port);
    return listener;
}

/** The text after @p name up to one of @p ends; the requests come from this benchmark only. */
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
    answering_process(const std::vector<int> &listeners, unsigned answerBytes, unsigned holdMs)
        : m_epoll(::epoll_create1(0))
        , m_results(answerBytes, 'r')
        , m_hold(std::chrono::milliseconds(holdMs))
        , m_listeners(listeners.begin(), listeners.end())
    {
        for (const int listener : listeners) {
            watch(listener);
        }
    }

    [[noreturn]] void run()
    {
        epoll_event events[EVENTS_AT_ONCE];
        for (;;) {
            const int count = ::epoll_wait(m_epoll, events, EVENTS_AT_ONCE, m_held.empty() ? -1 : 1);
            for (int i = 0; i < count; ++i) {
                handle(events[i].data.fd);
            }
            while (!m_held.empty() && m_held.front().due <= steady::now()) {
                reply(m_held.front().socket, m_held.front().answer);
                m_held.pop_front();
            }
        }
    }

private:
    struct held_answer
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
        answerWhole(descriptor, received);
    }

    void answerWhole(int descriptor, std::string &received)
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
        if (m_hold.count() == 0) {
            reply(descriptor, response);
        } else {
            m_held.push_back({steady::now() + m_hold, descriptor, std::move(response)});
        }
    }

    static void reply(int descriptor, const std::string &response) { (void)::send(descriptor, response.data(), response.size(), MSG_NOSIGNAL); }

    const int m_epoll;
    const std::string m_results;
    const std::chrono::milliseconds m_hold;
    const std::unordered_set<int> m_listeners;
    std::unordered_map<int, std::string> m_received;
    std::deque<held_answer> m_held;
};

} // namespace

shard_answerer::shard_answerer(unsigned processes, unsigned servers, unsigned answerBytes, unsigned holdMs)
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
            answering_process(listeners[i], answerBytes, holdMs).run();
        }
        m_children.push_back(child);
    }
    for (const std::vector<int> &part : listeners) {
        for (const int listener : part) {
            ::close(listener);
        }
    }
}

shard_answerer::~shard_answerer()
{
    for (const pid_t child : m_children) {
        ::kill(child, SIGKILL);
        ::waitpid(child, nullptr, 0);
    }
}
