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
 * Counts this node's answers and saves them to the platform.
 *
 * The services are spread over parts, each with its own lock and its own object accounts/<node>/<part>; only parts that changed are written.
 */
class account_keeper
{
public:
    /** Objects of one node. */
    static constexpr std::size_t PARTS = 8;

    struct calls
    {
        std::function<outcome<object>(const std::string &key)> read;
        std::function<outcome<object_version>(const std::string &key, const std::string &value, object_version expected)> write;
        std::function<void(const answer_record &)> observe; ///< Told of each answer, for the metrics.
    };

    account_keeper(const node_id &node, incarnation nodeIncarnation, calls run);

    void add(const answer_record &record);
    /** Marks that this node gives the service no more answers but refusals, by configuration @p version. */
    void closeService(const service_id &service, config_version version);

    /** Saves the parts that changed. Returns the last failure, or an empty string. */
    std::string save();
    /** Saves the part that holds @p service, if it changed. Returns the failure, or an empty string. */
    std::string saveService(const service_id &service);
    /** The end of the keys accounts/<node>/<part> that hold @p service. */
    static std::string keySuffixOf(const service_id &service);
    /** Marks all parts as final and saves them. */
    std::string close();

private:
    struct part
    {
        std::mutex mutex;
        node_account account;
        object_version stored;
        bool changed = true; ///< True from the start, so that each incarnation is registered.
        std::mutex saving; ///< Held during a save, which calls the platform.
        json older; ///< Accounts of earlier incarnations in the same object.
    };

    std::string savePart(std::size_t index);
    std::string keyOf(std::size_t index) const;
    static std::size_t indexOf(const service_id &service);
    part &partOf(const service_id &service) { return m_parts[indexOf(service)]; }

    const node_id m_node;
    const calls m_run;
    std::array<part, PARTS> m_parts;
};

} // namespace snipefall
