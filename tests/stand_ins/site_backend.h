#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "http/async_http_server.h"
#include "tests/stand_ins/site_store.h"

namespace snipefall {

/** Plays a backend server of the users' platform: slots, a queue, its entry in the store, and the faults that it may have. */
class site_backend
{
public:
    struct options
    {
        std::string id;
        std::string service;
        std::string domain;
        std::string version = "v1";
        unsigned slots = 2;
        std::size_t queue = 12;
        std::chrono::milliseconds work{5};
        std::size_t records = 8; ///< In an answer.
    };

    /** How many of 100 requests meet each fault. */
    struct faults
    {
        unsigned errors = 0; ///< 500 after the work.
        unsigned refused = 0; ///< 503 that says that nothing ran.
        unsigned lostAnswers = 0; ///< Run, never answered.
        bool silent = false; ///< Nothing is read to its end or answered.
        std::chrono::milliseconds slower{0}; ///< Added to the work.
    };

    /** One request that began to run. */
    struct run
    {
        std::string requestId;
        std::string method;
        std::string target;
        std::string body;
        std::chrono::steady_clock::time_point at;
    };

    site_backend(boost::asio::io_context &loop, site_store &store, options settings);

    const options &settings() const { return m_options; }
    /** Where it listens. */
    std::string address() const;
    /** Makes its entry name another address, for example that of a proxy before it. */
    void advertise(const std::string &address);
    void setFaults(const faults &now) { m_faults = now; }
    /** Requests whose target contains @p text crash the server: @p crash is called instead of an answer. */
    void crashOn(const std::string &text, std::function<void()> crash);
    /** Writes its entry; @p state is "ready" or "draining". */
    void report(const std::string &state);
    void withdraw();
    const std::vector<run> &runs() const { return m_runs; }
    /** Requests that arrived, those that were refused included. */
    std::uint64_t arrivals() const { return m_arrivals; }
    std::size_t working() const { return m_working; }

private:
    struct waiting
    {
        std::shared_ptr<http_exchange> exchange;
        std::chrono::steady_clock::time_point deadline;
    };

    void handle(const std::shared_ptr<http_exchange> &exchange);
    void startNext();
    void work(const std::shared_ptr<http_exchange> &exchange);
    void answer(http_exchange &exchange);
    bool drawn(unsigned percent);

    boost::asio::io_context &m_loop;
    site_store &m_store;
    options m_options;
    faults m_faults;
    std::string m_crashText; ///< Empty if no request crashes the server.
    std::function<void()> m_crash;
    std::string m_advertised;
    async_http_server m_server;
    std::deque<waiting> m_queue;
    std::vector<std::shared_ptr<http_exchange>> m_unanswered;
    std::vector<run> m_runs;
    std::mt19937 m_random;
    std::size_t m_working = 0;
    std::uint64_t m_arrivals = 0;
    unsigned long m_signatures = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_startedMs;
};

} // namespace snipefall
