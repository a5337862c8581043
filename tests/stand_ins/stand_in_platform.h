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

/** Fake platform for tests: serves the object API from an in-memory store and injects the faults that PUT /control sets. */
class stand_in_platform
{
public:
    /** @p address is an IP address. The server listens on it and @p port after start(). */
    stand_in_platform(const std::string &address, unsigned short port);
    ~stand_in_platform();
    stand_in_platform(const stand_in_platform &) = delete;
    stand_in_platform &operator=(const stand_in_platform &) = delete;

    /** Starts the HTTP server. Returns an empty string, or the reason why listening on the address failed. */
    std::string start();
    /** Wakes pending watches and delayed calls, then stops the HTTP server. */
    void stop();

    std::string address() const { return m_address + ":" + std::to_string(m_port); }
    memory_object_store &store() { return m_store; }
    /** Applies the body of PUT /control. Returns an empty string, or the reason why the body was rejected; the switches are then unchanged. */
    std::string control(const json &switches);
    /** Returns the body of GET /control: switches and call counters. */
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
    /** Counts a call of type @p kind and waits for the injected delay (slow_ms). Returns false while the platform is down. */
    bool admit(const char *kind);
    /** Returns true if the connection is to close without a response; may wait for lost_answer_delay_ms instead. */
    bool loseResponse();

    const std::string m_address;
    const unsigned short m_port;
    memory_object_store m_store;
    mutable std::mutex m_mutex;
    std::condition_variable m_stopRequested;
    std::map<std::string, std::uint64_t> m_calls;
    std::vector<std::pair<time_point, std::vector<vm_entry>>> m_pendingVmLists; ///< VM lists, each with the time from which GET /vms returns it.
    long m_callDelayMs = 0;
    long m_responsesToLose = 0;
    long m_lostResponseDelayMs = 0;
    long m_vmListLagMs = 0;
    std::uint64_t m_responsesLost = 0;
    bool m_down = false;
    bool m_stopping = false;
    std::unique_ptr<http_server> m_server;
};

} // namespace snipefall
