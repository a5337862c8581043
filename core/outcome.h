#pragma once

#include <optional>
#include <string>
#include <utility>

#include "core/failure.h"

namespace snipefall {

/**
 * A value, or the failure that prevented it.
 *
 * Run-time errors that a caller has to handle are returned as outcomes. Code that uses a library with exceptions catches them and returns outcomes.
 */
template <typename T>
class [[nodiscard]] outcome
{
public:
    using value_type = T;

    outcome(T value)
        : m_value(std::move(value))
    {
    }

    outcome(failure reason)
        : m_reason(std::move(reason))
    {
    }

    bool hasValue() const { return m_value.has_value(); }
    explicit operator bool() const { return hasValue(); }

    const T &value() const & { return *m_value; }
    T &value() & { return *m_value; }
    T &&value() && { return std::move(*m_value); }
    const T *operator->() const { return &*m_value; }
    const T &operator*() const { return *m_value; }

    /** The failure; only meaningful if hasValue() is false. */
    const failure &reason() const { return m_reason; }

private:
    std::optional<T> m_value;
    failure m_reason;
};

} // namespace snipefall
