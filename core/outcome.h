#pragma once

#include <optional>
#include <string>
#include <utility>

#include "core/failure.h"

namespace snipefall {

/**
 * A value, or the last reason why there is none.
 *
 * Errors that a caller can meet in operation are returned as outcomes; exceptions of libraries are turned into outcomes at the package's border.
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

    /** The last reason; only meaningful when hasValue() is false. */
    const failure &reason() const { return m_reason; }

private:
    std::optional<T> m_value;
    failure m_reason;
};

} // namespace snipefall
