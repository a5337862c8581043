#pragma once

#include <concepts>

#include "core/clock.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "node/account_keeper.h"
#include "policy/answer_record.h"

namespace snipefall {

/**
 * Gives a caller the response of @p answer and accounts for it. The record says "not run" until @p answer changes it.
 *
 * Requests for services that don't exist are not accounted, since any caller could make up names without bound.
 */
template <std::invocable<answer_record &> Answer>
http_response accountedAnswer(account_keeper &accounts, const service_id &service, const http_request &request, Answer answer)
{
    const time_point received = system_clock().now();
    answer_record record;
    record.service = service;
    record.request = request_id(request.header("Request-Id"));
    record.outcome = answer_outcome::not_run;
    http_response response = answer(record);
    record.latency = system_clock().now() - received;
    if (response.status != 404) {
        accounts.add(record);
    }
    return response;
}

} // namespace snipefall
