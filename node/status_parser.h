#pragma once

#include "core/backend_server.h"
#include "core/json.h"
#include "core/outcome.h"

namespace snipefall {

/**
 * Reads a backend server's status document into @p server, whose identity comes from the VM list.
 *
 * Returns invalid_argument if the document is malformed or names another server or service: another VM can reuse an address before the VM list
 * shows the change.
 */
outcome<backend_server> parseStatus(const json &document, backend_server server);

} // namespace snipefall
