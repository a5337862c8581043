#pragma once

#include <string>

namespace snipefall {

/** The records that the shard @p service holds for a request; the same on all its servers. */
std::string siteRecords(const std::string &service, const std::string &target, std::size_t count);

/** The signature of one answer; names the service and the request it belongs to. */
std::string siteSignature(const std::string &service, const std::string &requestId, unsigned long number);

} // namespace snipefall
