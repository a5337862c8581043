#pragma once

#include <array>
#include <mutex>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "store/call_budget.h"
#include "store/call_counts.h"
#include "store/object_store.h"

namespace snipefall {

/**
 * Wraps an object store to enforce a call_budget and count calls by purpose.
 *
 * A call over the budget fails with overloaded and a call during backoff fails with unavailable; neither is sent.
 * Safe to use from several threads.
 */
template <object_store Store, clock_source Clock = system_clock>
class budgeted_object_store
{
public:
    /** @p store must outlive this object; @p seed should differ between nodes, so that their retries are spread out. */
    budgeted_object_store(Store &store, call_budget_options options, std::uint64_t seed, Clock clock = {})
        : m_store(store)
        , m_clock(std::move(clock))
        , m_budget(options, m_clock.now())
        , m_random(seed)
    {
    }

    outcome<object> read(call_purpose purpose, const std::string &key)
    {
        return run(purpose, call_kind::read, [&] { return m_store.read(purpose, key); });
    }

    outcome<object_version> write(call_purpose purpose, const std::string &key, std::string value, object_version expected)
    {
        return run(purpose, call_kind::write, [&] { return m_store.write(purpose, key, std::move(value), expected); });
    }

    outcome<std::vector<object>> list(call_purpose purpose, const std::string &prefix)
    {
        return run(purpose, call_kind::read, [&] { return m_store.list(purpose, prefix); });
    }

    outcome<watch_result> watch(call_purpose purpose, const std::string &prefix, std::uint64_t afterRevision, long timeoutMs)
    {
        return run(purpose, call_kind::read, [&] { return m_store.watch(purpose, prefix, afterRevision, timeoutMs); });
    }

    outcome<std::vector<vm_entry>> listVms()
    {
        return run(call_purpose::membership, call_kind::read, [&] { return m_store.listVms(); });
    }

    /** Sets the number of live nodes that share the platform. */
    void setNodes(std::uint32_t nodes)
    {
        const std::lock_guard lock(m_mutex);
        m_budget.setNodes(nodes, m_clock.now());
    }

    call_counts counts(call_purpose purpose) const
    {
        const std::lock_guard lock(m_mutex);
        return m_counts[static_cast<std::size_t>(purpose)];
    }

private:
    template <typename Call>
    auto run(call_purpose purpose, call_kind kind, Call call) -> decltype(call())
    {
        call_counts &counts = m_counts[static_cast<std::size_t>(purpose)];
        {
            const std::lock_guard lock(m_mutex);
            switch (m_budget.tryAcquire(purpose, kind, m_clock.now())) {
            case call_budget::decision::over_budget:
                ++counts.refusedOverBudget;
                return failure{error_code::overloaded, "the budget of calls to the platform is used up"};
            case call_budget::decision::backing_off:
                ++counts.refusedDuringBackoff;
                return failure{error_code::unavailable, "the platform failed lately; the call was not sent"};
            case call_budget::decision::allowed:
                ++(kind == call_kind::write ? counts.writes : counts.reads);
                break;
            }
        }
        auto result = call();
        const std::lock_guard lock(m_mutex);
        if (isPlatformFailure(result)) {
            ++counts.failures;
            m_budget.recordFailure(purpose, kind, m_clock.now(), std::uniform_real_distribution<double>(0, 1)(m_random));
        } else {
            m_budget.recordSuccess(purpose, kind);
        }
        return result;
    }

    // conflict and not_found are valid responses of a working platform and do not start the backoff.
    template <typename Value>
    static bool isPlatformFailure(const outcome<Value> &result)
    {
        if (result) {
            return false;
        }
        const error_code code = result.reason().code;
        return code == error_code::unavailable || code == error_code::unknown_result || code == error_code::overloaded;
    }

    Store &m_store;
    Clock m_clock;
    mutable std::mutex m_mutex;
    call_budget m_budget;
    std::mt19937_64 m_random;
    std::array<call_counts, static_cast<std::size_t>(call_purpose::account) + 1> m_counts{};
};

} // namespace snipefall
