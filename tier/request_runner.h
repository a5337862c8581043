#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "http/async_http_client.h"
#include "http/http_exchange.h"
#include "platform/caller_request.h"
#include "platform/sub_request_writer.h"
#include "policy/organisations/usage_window.h"
#include "policy/request_execution.h"
#include "policy/request_fingerprint.h"
#include "policy/route_matcher.h"
#include "tier/crash_controller.h"

namespace snipefall {

struct tier_blackboard;
class move_driver;
class tier_metrics;
class usage_reporter;
class memory_account;

/** Runs one caller's request: sends the sub-requests that its request_execution decides on, and answers the caller. */
class request_runner : public std::enable_shared_from_this<request_runner>
{
public:
    /** Services and state that all request runners of a node share. */
    struct runner_dependencies
    {
        boost::asio::io_context &loop;
        async_http_client &client;
        tier_blackboard &board;
        tier_metrics &metrics;
        crash_controller &crashes;
        move_driver &moves;
        usage_reporter &usage;
        const memory_account &memory;
    };

    /** @p routes is the configuration in force and owns @p route; the request keeps using it until it ends, even if a newer one is applied. */
    request_runner(runner_dependencies dependencies,
                   std::shared_ptr<http_exchange> exchange,
                   caller_request request,
                   request_fingerprint fingerprint,
                   std::shared_ptr<const route_matcher> routes,
                   const request_route &route,
                   std::vector<service_id> services,
                   const request_times &times,
                   request_execution::run_mode mode);

    /** Sends the first sub-requests; @p onFinished is called once, when the request has ended. */
    void start(std::function<void()> onFinished);
    /** Answers the caller at once with an error; called when the process is about to stop. */
    void endNow();

private:
    struct sub_request
    {
        async_http_client::call_id call = 0;
        backend_choice server;
        time_point sentAt;
        std::size_t part = 0; ///< Index of the shard; 0 for requests to one backend server.
        bool repeated = false; ///< Not the first sub-request for its shard.
        std::optional<attempt_outcome> outcome; ///< Empty while the sub-request is running.
        http_response_message answer;
        std::shared_ptr<memory_charge> memory; ///< Charges the answer.
    };

    void apply(const execution_step &step);
    /**
     * Authenticates the caller once more before anything is sent: the request may have waited while a key was withdrawn or the knowledge of the keys became
     * too old. Returns true if the request was refused.
     */
    bool refusedByKeysInForce();
    /** Ends a request of which nothing was sent. */
    void refuse(unsigned status, const std::string &reason, duration retryAfter);
    void send(const sub_request_send &planned);
    void subRequestEnded(std::size_t id, client_result result);
    void recordMoveSample(const sub_request &ended, bool reused, duration latency, time_point at);
    void armTimer(time_point at);
    void finish(const execution_result &result);
    /** Takes the answer to one backend server's request out of its sub-request. */
    http_response_message takeAnswer(const execution_result &result);
    /** Frees the answers of sub-requests that have ended, and lets those of running ones be dropped as they come. */
    void dropAnswers();
    void limitSubRequests(duration linger);
    /** Takes the request out of the usage counts if no server can have run it. */
    void settleUsage();
    void reportToCrashController(const execution_result &result);
    void endTrial();
    crash_controller::lost_server lostServer(const backend_server_id &id, const std::string &address) const;
    void callerLeft();
    void logRequestEnded(std::string_view outcome, const std::string &reason, std::size_t missing);

    runner_dependencies m_dependencies;
    std::shared_ptr<http_exchange> m_exchange;
    caller_request m_request;
    request_fingerprint m_fingerprint;
    std::shared_ptr<const route_matcher> m_routes;
    const request_route &m_route;
    request_times m_times;
    request_execution::run_mode m_mode;
    std::optional<crash_controller::lost_server> m_trialSibling; ///< See crash_trial_observation::siblingGone.
    sub_request_writer m_writer;
    std::size_t m_partCount;
    request_execution m_execution;
    std::vector<sub_request> m_subRequests;
    std::vector<connection_id> m_usedConnections; ///< Connections on which sub-requests of this request have ended.
    std::optional<usage_window> m_usageWindow; ///< The window in which the request was counted as usage.
    boost::asio::steady_timer m_timer;
    std::function<void()> m_onFinished;
    bool m_finished = false;
};

} // namespace snipefall
