#pragma once

#include <string>

namespace snipefall {

/** Returns the @p count records that each backend server of the shard @p service holds for the request target @p target. */
std::string siteRecords(const std::string &service, const std::string &target, std::size_t count);

/** Returns the signature of an answer, "service.requestId.number", which identifies the service and the request that the answer belongs to. */
std::string siteSignature(const std::string &service, const std::string &requestId, unsigned long number);

} // namespace snipefall
