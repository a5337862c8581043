#include "http/fan_out_engine.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "http/http_call.h"
#include "http/pooled_connection.h"
#include "http/socket_tracking_selector.h"

namespace snipefall {

namespace {

// Servers close idle connections after their keep-alive timeout, by default 30 s. An earlier close avoids sending a request on a connection that the server is
// closing.
constexpr std::chrono::seconds MAX_IDLE_TIME{15};

// The low bits of a sub-request's id hold the index of its I/O thread.
constexpr unsigned THREAD_BITS = 8;

} // namespace

class fan_out_engine::io_thread
{
public:
    explicit io_thread(unsigned index)
        : m_index(index)
        , m_thread([this] { run(); })
    {
    }

    ~io_thread() { stop(); }

    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        m_stop = true;
        m_selector.wake();
        m_thread.join();
    }

    std::uint64_t submit(sub_request request, completion done)
    {
        const std::uint64_t id = (++m_lastId << THREAD_BITS) | m_index;
        post([this, id, request = std::move(request), done = std::move(done)]() mutable { startRequest(id, request, std::move(done)); });
        return id;
    }

    void cancel(std::uint64_t id)
    {
        post([this, id] { abort(id, transport_status::cancelled, "cancelled"); });
    }

    void schedule(clock::time_point when, std::function<void()> action)
    {
        post([this, when, action = std::move(action)]() mutable { m_timers.emplace(when, std::move(action)); });
    }

    void closeIdle(const std::string &address)
    {
        post([this, address] {
            const auto found = m_idle.find(address);
            if (found != m_idle.end()) {
                m_openConnections -= found->second.size();
                m_idle.erase(found);
            }
        });
    }

    std::size_t openConnections() const { return m_openConnections; }

private:
    using connection = pooled_connection;
    using connection_pointer = std::unique_ptr<connection>;

    void post(std::function<void()> task)
    {
        bool wake = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            // A wake-up costs a system call and a context switch, so only the first task after the thread began to wait causes one.
            wake = m_waitingForEvents;
            m_waitingForEvents = false;
            m_tasks.push_back(std::move(task));
        }
        if (wake) {
            m_selector.wake();
        }
    }

    void run()
    {
        while (!m_stop) {
            runTasks();
            completeFinished();
            runTimers();
            checkTimeouts();
            waitForEvents();
        }
        runTasks();
        completeFinished();
        while (!m_activeRequests.empty()) {
            abort(m_activeRequests.begin()->first, transport_status::cancelled, "the engine stopped");
        }
    }

    void waitForEvents()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (!m_tasks.empty() || !m_finishedIds.empty()) {
                return;
            }
            m_waitingForEvents = true;
        }
        clock::duration wait = std::chrono::milliseconds(50);
        const clock::time_point now = clock::now();
        if (!m_timers.empty()) {
            wait = std::min(wait, m_timers.begin()->first - now);
        }
        if (!m_activeRequests.empty()) {
            wait = std::min<clock::duration>(wait, m_nextTimeoutCheck - now);
        }
        const double milliseconds = std::max(0.0, std::chrono::duration<double, std::milli>(wait).count());
        try {
            m_selector.wait(cxxtools::Milliseconds(milliseconds));
        } catch (const std::exception &) {
            // The error of a connection is thrown again by its endExecute() and handled there.
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_waitingForEvents = false;
    }

    void runTasks()
    {
        std::vector<std::function<void()>> tasks;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            tasks.swap(m_tasks);
        }
        for (auto &task : tasks) {
            task();
        }
    }

    void runTimers()
    {
        const clock::time_point now = clock::now();
        while (!m_timers.empty() && m_timers.begin()->first <= now) {
            auto action = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            action();
        }
    }

    connection_pointer acquireConnection(const std::string &address, const std::string &host, unsigned short port)
    {
        std::vector<connection_pointer> &idle = m_idle[address];
        if (!idle.empty()) {
            connection_pointer taken = std::move(idle.back());
            idle.pop_back();
            taken->response = sub_response();
            taken->response.reusedConnection = true;
            return taken;
        }
        ++m_openConnections;
        connection_pointer created = std::make_unique<connection>(m_selector, m_finishedIds, host, port);
        created->address = address;
        return created;
    }

    void startRequest(std::uint64_t id, const sub_request &request, completion done)
    {
        std::string host;
        unsigned short port = 0;
        sub_response failed;
        if (!splitAddress(request.address, host, port)) {
            failed.message = "malformed address: " + request.address;
            done(std::move(failed));
            return;
        }
        connection_pointer taken = acquireConnection(request.address, host, port);
        taken->prepare(id, request, std::move(done));
        connection &started = *taken;
        m_activeRequests.emplace(id, std::move(taken));
        try {
            started.send();
        } catch (const std::exception &e) {
            started.fail(e);
            abort(id, started.response.status, e.what());
        }
    }

    void completeFinished()
    {
        std::vector<std::uint64_t> finished;
        finished.swap(m_finishedIds);
        for (const std::uint64_t id : finished) {
            const auto found = m_activeRequests.find(id);
            if (found == m_activeRequests.end()) {
                continue;
            }
            connection_pointer ended = std::move(found->second);
            m_activeRequests.erase(found);
            complete(std::move(ended));
        }
    }

    void complete(connection_pointer ended)
    {
        ended->response.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - ended->started);
        sub_response response = std::move(ended->response);
        completion done = std::move(ended->done);
        if (response.status == transport_status::ok && ended->client.header().keepAlive()) {
            ended->idleSince = clock::now();
            m_idle[ended->address].push_back(std::move(ended));
        } else {
            --m_openConnections;
            ended.reset();
        }
        done(std::move(response));
    }

    void abort(std::uint64_t id, transport_status status, const std::string &message)
    {
        const auto found = m_activeRequests.find(id);
        if (found == m_activeRequests.end()) {
            return;
        }
        connection_pointer ended = std::move(found->second);
        m_activeRequests.erase(found);
        try {
            ended->client.cancel();
        } catch (const std::exception &) {
            // The destructor of the connection closes it in any case.
        }
        ended->response.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - ended->started);
        sub_response response = std::move(ended->response);
        completion done = std::move(ended->done);
        response.status = status;
        response.message = message;
        --m_openConnections;
        ended.reset();
        done(std::move(response));
    }

    void checkTimeouts()
    {
        const clock::time_point now = clock::now();
        if (now < m_nextTimeoutCheck) {
            return;
        }
        m_nextTimeoutCheck = now + std::chrono::milliseconds(2);
        std::vector<std::pair<std::uint64_t, transport_status>> expired;
        for (const auto &[id, running] : m_activeRequests) {
            if (now >= running->deadline) {
                expired.emplace_back(id, transport_status::deadline_exceeded);
            } else if (!running->response.mayHaveReachedServer && now - running->started >= running->connectTimeout) {
                expired.emplace_back(id, transport_status::connect_failed);
            } else if (running->response.mayHaveReachedServer && now - running->lastProgress >= running->progressTimeout) {
                expired.emplace_back(id, transport_status::no_progress);
            }
        }
        for (const auto &[id, status] : expired) {
            abort(id, status, status == transport_status::connect_failed ? "connect timeout" : toString(status));
        }
        closeExpiredIdle(now);
    }

    void closeExpiredIdle(clock::time_point now)
    {
        if (now < m_nextIdleCheck) {
            return;
        }
        m_nextIdleCheck = now + std::chrono::seconds(1);
        for (auto &[address, idle] : m_idle) {
            const std::size_t before = idle.size();
            idle.erase(std::remove_if(idle.begin(), idle.end(), [now](const connection_pointer &c) { return now - c->idleSince > MAX_IDLE_TIME; }), idle.end());
            m_openConnections -= before - idle.size();
        }
    }

    const unsigned m_index;
    std::atomic<bool> m_stop{false};
    std::atomic<std::uint64_t> m_lastId{0};
    std::atomic<std::size_t> m_openConnections{0};
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_tasks;
    bool m_waitingForEvents = false; ///< Whether the thread waits for events, so that a new task must wake it; guarded by m_mutex.
    socket_tracking_selector m_selector;
    std::vector<std::uint64_t> m_finishedIds; ///< Ids of sub-requests whose response is complete or has failed.
    std::unordered_map<std::uint64_t, connection_pointer> m_activeRequests;
    std::unordered_map<std::string, std::vector<connection_pointer>> m_idle;
    std::multimap<clock::time_point, std::function<void()>> m_timers;
    clock::time_point m_nextTimeoutCheck;
    clock::time_point m_nextIdleCheck;
    std::thread m_thread;
};

fan_out_engine::fan_out_engine(unsigned threads)
{
    for (unsigned i = 0; i < std::max(1U, threads); ++i) {
        m_threads.push_back(std::make_unique<io_thread>(i));
    }
}

// Stops all threads before any is destroyed, because a completion may submit to each of them.
fan_out_engine::~fan_out_engine()
{
    for (const auto &thread : m_threads) {
        thread->stop();
    }
}

std::uint64_t fan_out_engine::submit(sub_request request, completion done)
{
    const std::size_t index = std::hash<std::string>{}(request.address) % m_threads.size();
    return m_threads[index]->submit(std::move(request), std::move(done));
}

void fan_out_engine::cancel(std::uint64_t id)
{
    m_threads[id & ((1U << THREAD_BITS) - 1)]->cancel(id);
}

void fan_out_engine::schedule(clock::time_point when, std::uint64_t affinity, std::function<void()> action)
{
    m_threads[affinity % m_threads.size()]->schedule(when, std::move(action));
}

std::size_t fan_out_engine::openConnections() const
{
    std::size_t count = 0;
    for (const auto &thread : m_threads) {
        count += thread->openConnections();
    }
    return count;
}

void fan_out_engine::closeIdle(const std::string &address)
{
    m_threads[std::hash<std::string>{}(address) % m_threads.size()]->closeIdle(address);
}

} // namespace snipefall
