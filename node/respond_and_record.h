#pragma once

#include <concepts>

#include "core/clock.h"
#include "http/http_request.h"
#include "http/http_response.h"
#include "node/account_keeper.h"
#include "policy/answer_record.h"

namespace snipefall {

/**
 * Calls @p answer for a caller's request and adds its outcome and latency to @p accounts. The outcome is "not run" unless @p answer sets another one.
 *
 * Responses with status 404 are not counted: the service doesn't exist, and callers could create an unbounded number of entries with invented names.
 */
template <std::invocable<answer_record &> Answer>
http_response respondAndRecord(account_keeper &accounts, const service_id &service, const http_request &request, Answer answer)
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
