#pragma once

#include "core/backend_server.h"
#include "core/json.h"
#include "core/outcome.h"

namespace snipefall {

/**
 * Reads a backend server's status document into @p server, whose identity comes from the VM list.
 *
 * The status of another server or service gives invalid_argument: an address can be reused by another VM before the list shows it.
 */
outcome<backend_server> parseStatus(const json &document, backend_server server);

} // namespace snipefall
