#pragma once

#include <string>
#include <vector>

#include "core/json.h"
#include "core/outcome.h"
#include "http/http_call.h"
#include "store/call_purpose.h"
#include "store/http_object_store_options.h"
#include "store/object.h"
#include "store/vm_entry.h"
#include "store/watch_result.h"

namespace snipefall {

/**
 * The platform's object API over HTTP; see docs/contract_platform.md.
 *
 * Each call opens its own connection, so that a write is sent at most once. A read without a valid response gives unavailable. A write
 * gives unavailable only if none of its bytes were sent or the platform answered that it was not run; if it may have taken effect, it gives
 * unknown_result. Thread-safe.
 */
class http_object_store
{
public:
    explicit http_object_store(http_object_store_options options);

    outcome<object> read(call_purpose purpose, const std::string &key);
    outcome<object_version> write(call_purpose purpose, const std::string &key, std::string value, object_version expected);
    outcome<std::vector<object>> list(call_purpose purpose, const std::string &prefix);
    outcome<watch_result> watch(call_purpose purpose, const std::string &prefix, std::uint64_t afterRevision, long timeoutMs);
    outcome<std::vector<vm_entry>> listVms();

private:
    http_call newCall(const char *method, std::string target) const;
    outcome<json> get(const http_call &call) const;

    http_object_store_options m_options;
};

} // namespace snipefall
