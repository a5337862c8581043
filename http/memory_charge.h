#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace snipefall {

class memory_account;

/** What one holder is charged for in a memory_account; nothing if there is no account. The charge ends with the object. */
class memory_charge
{
public:
    explicit memory_charge(std::shared_ptr<memory_account> account);
    ~memory_charge();
    memory_charge(const memory_charge &) = delete;
    memory_charge &operator=(const memory_charge &) = delete;

    void set(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }
    /**
     * Whether the holder may take in more now; see growth_turns. @p restBytes is what its message still needs; nothing if that isn't known.
     *
     * A holder that may not asks again after retryDelay(), until it calls stopGrowing().
     */
    bool mayGrow(std::optional<std::uint64_t> restBytes);
    std::chrono::microseconds retryDelay() const;
    /** Notes that the holder takes in no more for now, so that another one may. */
    void stopGrowing();

private:
    std::shared_ptr<memory_account> m_account;
    std::size_t m_bytes = 0;
    std::uint64_t m_number = 0; ///< Identifies the charge in its account.
};

} // namespace snipefall
