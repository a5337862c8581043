#pragma once

#include <array>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "core/outcome.h"
#include "policy/node_account.h"
#include "store/object.h"

namespace snipefall {

/**
 * Keeps this node's totals of answers and saves them to the platform.
 *
 * The services are partitioned by hash into parts. Each part has its own lock and its own object accounts/<node>/<part>; a save writes only the parts that
 * changed.
 */
class account_keeper
{
public:
    /** Number of parts, and so of stored objects, per node. */
    static constexpr std::size_t PART_COUNT = 8;

    struct calls
    {
        std::function<outcome<object>(const std::string &key)> read;
        std::function<outcome<object_version>(const std::string &key, const std::string &value, object_version expected)> write;
        std::function<void(const answer_record &)> observe; ///< Called for each answer; updates the metrics.
    };

    account_keeper(const node_id &node, incarnation nodeIncarnation, calls callbacks);

    /** Counts an answer in the account of its service. */
    void add(const answer_record &record);
    /** Records that from configuration @p version on this node only refuses requests for the service. */
    void closeService(const service_id &service, config_version version);

    /** Saves the parts that changed. Returns the last error message, or an empty string on success. */
    std::string save();
    /** Saves the part that holds @p service, if it changed. Returns the error message, or an empty string on success. */
    std::string saveService(const service_id &service);
    /** Returns the suffix that the keys accounts/<node>/<part> of all nodes share for @p service. */
    static std::string keySuffixOf(const service_id &service);
    /** Marks all parts as final and saves them. Returns the last error message, or an empty string on success. */
    std::string close();

private:
    struct part
    {
        std::mutex mutex;
        node_account account;
        object_version stored;
        bool changed = true; ///< Initially true, so that the first save stores an account of each incarnation.
        std::mutex saveMutex; ///< Serializes saves; held during the calls to the platform, while add() needs only the other mutex.
        json earlierAccounts; ///< Accounts of earlier incarnations, which are stored in the same object.
    };

    std::string savePart(std::size_t index);
    std::string keyOf(std::size_t index) const;
    static std::size_t indexOf(const service_id &service);
    part &partOf(const service_id &service) { return m_parts[indexOf(service)]; }

    const node_id m_node;
    const calls m_callbacks;
    std::array<part, PART_COUNT> m_parts;
};

} // namespace snipefall
