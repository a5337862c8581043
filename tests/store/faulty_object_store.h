#pragma once

#include <functional>
#include <random>
#include <vector>

#include "store/memory_object_store.h"

namespace snipefall {

/**
 * Injects platform faults from a seeded generator: calls that are not sent, responses lost before or after the write takes effect,
 * writes that take effect only during a later call, and outages that begin with a lost response. Not thread-safe.
 */
class faulty_object_store
{
public:
    faulty_object_store(memory_object_store &store, std::mt19937_64 &random)
        : m_store(store)
        , m_random(random)
    {
    }

    /** Sets the probability of each kind of fault, in percent of the calls; also ends an outage. */
    void setFaultPercent(unsigned percent)
    {
        m_percent = percent;
        m_outageCalls = 0;
    }
    /** Called just before a write takes effect, so that a test can let another node act at this point. */
    std::function<void()> beforeWrite;

    outcome<object> read(call_purpose purpose, const std::string &key)
    {
        return isNotSent() ? outcome<object>(failure{error_code::unavailable, "not sent"}) : m_store.read(purpose, key);
    }

    outcome<object_version> write(call_purpose purpose, const std::string &key, std::string value, object_version expected)
    {
        if (isNotSent()) {
            return failure{chance(50) ? error_code::unavailable : error_code::overloaded, "not sent"};
        }
        if (beforeWrite) {
            beforeWrite();
        }
        const bool lost = chance(m_percent);
        if (lost && chance(50)) {
            m_delayedWrites.push_back([this, purpose, key, value, expected] { (void)m_store.write(purpose, key, value, expected); });
            return loseResponse();
        }
        const auto written = m_store.write(purpose, key, std::move(value), expected);
        return lost ? loseResponse() : written;
    }

    outcome<std::vector<object>> list(call_purpose purpose, const std::string &prefix)
    {
        return isNotSent() ? outcome<std::vector<object>>(failure{error_code::unavailable, "not sent"}) : m_store.list(purpose, prefix);
    }

    outcome<watch_result> watch(call_purpose purpose, const std::string &prefix, std::uint64_t after, long timeoutMs)
    {
        return m_store.watch(purpose, prefix, after, timeoutMs);
    }

    outcome<std::vector<vm_entry>> listVms() { return m_store.listVms(); }

private:
    bool chance(unsigned percent) { return m_random() % 100 < percent; }

    bool isNotSent()
    {
        if (!m_delayedWrites.empty() && chance(40)) {
            for (const auto &write : std::exchange(m_delayedWrites, {})) {
                write();
            }
        }
        if (m_outageCalls > 0) {
            --m_outageCalls;
            return true;
        }
        return chance(m_percent);
    }

    failure loseResponse()
    {
        if (chance(50)) {
            m_outageCalls = m_random() % 12;
        }
        return {error_code::unknown_result, "answer lost"};
    }

    memory_object_store &m_store;
    std::mt19937_64 &m_random;
    std::vector<std::function<void()>> m_delayedWrites;
    unsigned m_percent = 0;
    unsigned m_outageCalls = 0;
};

} // namespace snipefall
