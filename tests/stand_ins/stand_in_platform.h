#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/json.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "http/http_server.h"
#include "store/memory_object_store.h"

namespace snipefall {

/** A platform in one process: the object API over a memory store, with switches for its faults at PUT /control. */
class stand_in_platform
{
public:
    /** Listens on @p address, an IP address, and @p port once start() is called. */
    stand_in_platform(const std::string &address, unsigned short port);
    ~stand_in_platform();
    stand_in_platform(const stand_in_platform &) = delete;
    stand_in_platform &operator=(const stand_in_platform &) = delete;

    /** Returns an empty string, or the reason why the address can't be listened on. */
    std::string start();
    /** Ends waiting watches and delayed calls, then the server. */
    void stop();

    std::string address() const { return m_address + ":" + std::to_string(m_port); }
    memory_object_store &store() { return m_store; }
    /** Applies the switches of PUT /control; returns the reason why they are refused, or an empty string. */
    std::string control(const json &switches);
    /** The body of GET /control. */
    json state() const;
    http_response handle(const http_request &request);

private:
    http_response route(const http_request &request);
    http_response readObject(const std::string &key);
    http_response writeObject(const std::string &key, const std::string &body);
    http_response listObjects(const std::string &prefix);
    http_response watchObjects(const http_request &request);
    http_response putVms(const std::string &body);
    http_response getVms();
    /** Waits for the switched delay; returns false while the platform is down. */
    bool admit(const char *kind);
    bool loseAnswer();

    const std::string m_address;
    const unsigned short m_port;
    memory_object_store m_store;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::uint64_t> m_calls;
    std::vector<std::pair<time_point, std::vector<vm_entry>>> m_laggingVms; ///< Lists that become visible at their time.
    long m_slowMs = 0;
    long m_loseAnswers = 0;
    long m_lostAnswerDelayMs = 0;
    long m_vmListLagMs = 0;
    std::uint64_t m_answersLost = 0;
    bool m_down = false;
    bool m_stopping = false;
    std::unique_ptr<http_server> m_server;
};

} // namespace snipefall
