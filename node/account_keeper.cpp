#include "node/account_keeper.h"

#include "core/clock.h"
#include "core/configuration_patch.h"
#include "core/crypto.h"
#include "core/logger.h"

namespace snipefall {

namespace {

constexpr int MAX_SAVE_ATTEMPTS = 3;

}

account_keeper::account_keeper(const node_id &node, incarnation nodeIncarnation, calls callbacks)
    : m_node(node)
    , m_callbacks(std::move(callbacks))
{
    for (part &entry : m_parts) {
        entry.account = node_account(node, nodeIncarnation, wallClockMs());
        entry.earlierAccounts = json::array();
    }
}

std::size_t account_keeper::indexOf(const service_id &service)
{
    return stableHash(service.str()) % PART_COUNT;
}

std::string account_keeper::keySuffixOf(const service_id &service)
{
    return "/" + std::to_string(indexOf(service));
}

std::string account_keeper::saveService(const service_id &service)
{
    return savePart(indexOf(service));
}

std::string account_keeper::keyOf(std::size_t index) const
{
    return "accounts/" + m_node.str() + "/" + std::to_string(index);
}

void account_keeper::add(const answer_record &record)
{
    m_callbacks.observe(record);
    part &target = partOf(record.service);
    const std::lock_guard lock(target.mutex);
    target.account.add(record);
    target.changed = true;
}

void account_keeper::closeService(const service_id &service, config_version version)
{
    part &target = partOf(service);
    const std::lock_guard lock(target.mutex);
    if (!target.account.serviceClosed(service, version)) {
        target.account.closeService(service, version);
        target.changed = true;
    }
}

std::string account_keeper::save()
{
    std::string problem;
    for (std::size_t index = 0; index < PART_COUNT; ++index) {
        const std::string result = savePart(index);
        problem = result.empty() ? problem : result;
    }
    return problem;
}

std::string account_keeper::close()
{
    for (part &entry : m_parts) {
        const std::lock_guard lock(entry.mutex);
        entry.account.close();
        entry.changed = true;
    }
    return save();
}

std::string account_keeper::savePart(std::size_t index)
{
    part &entry = m_parts[index];
    const std::lock_guard saveLock(entry.saveMutex);
    node_account account;
    {
        const std::lock_guard lock(entry.mutex);
        if (!entry.changed) {
            return {};
        }
        entry.account.prepareSave(wallClockMs());
        entry.changed = false;
        account = entry.account;
    }
    std::string problem;
    for (int attempt = 0; attempt < MAX_SAVE_ATTEMPTS; ++attempt) {
        json accounts = entry.earlierAccounts;
        accounts.push_back(account.toJson());
        const outcome<object_version> written = m_callbacks.write(keyOf(index), canonicalJson(accounts), entry.stored);
        if (written) {
            entry.stored = *written;
            return {};
        }
        problem = written.reason().message;
        if (written.reason().code != error_code::conflict && written.reason().code != error_code::unknown_result) {
            break;
        }
        // Either an earlier incarnation wrote the object, or this incarnation wrote it and the response was lost.
        const outcome<object> current = m_callbacks.read(keyOf(index));
        if (!current) {
            problem = current.reason().message;
            break;
        }
        entry.stored = current->version;
        entry.earlierAccounts = json::array();
        const outcome<json> document = parseJson(current->value);
        if (!document || !document->is_array()) {
            problem = "the object " + keyOf(index) + " is malformed";
            break;
        }
        for (const json &other : *document) {
            if (jsonValue<std::uint64_t>(other, "incarnation", 0) != account.nodeIncarnation().value()) {
                entry.earlierAccounts.push_back(other);
            }
        }
    }
    const std::lock_guard lock(entry.mutex);
    entry.changed = true;
    return problem;
}

} // namespace snipefall
