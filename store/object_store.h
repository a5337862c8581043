#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "core/outcome.h"
#include "store/call_purpose.h"
#include "store/object.h"
#include "store/vm_entry.h"
#include "store/watch_result.h"

namespace snipefall {

/**
 * Interface to the platform's versioned object store.
 *
 * All functions block and may be called from several threads. Failures: not_found; conflict (the version differs, nothing was written);
 * unavailable (a read failed, or a write was not executed); unknown_result (the write may have taken effect); overloaded (the call budget is used
 * up, or the platform refused the call because of overload).
 */
template <typename T>
concept object_store =
    requires(T &store, call_purpose purpose, const std::string &key, std::string value, object_version expected, std::uint64_t revision, long timeoutMs)
{
    {
        store.read(purpose, key)
        } -> std::same_as<outcome<object>>;
    /** An @p expected version of 0 means that the object must not exist yet. */
    {
        store.write(purpose, key, value, expected)
        } -> std::same_as<outcome<object_version>>;
    {
        store.list(purpose, key)
        } -> std::same_as<outcome<std::vector<object>>>;
    {
        store.watch(purpose, key, revision, timeoutMs)
        } -> std::same_as<outcome<watch_result>>;
    {
        store.listVms()
        } -> std::same_as<outcome<std::vector<vm_entry>>>;
};

} // namespace snipefall
