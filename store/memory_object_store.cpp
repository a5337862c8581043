#include "store/memory_object_store.h"

#include <chrono>

#include "store/object_store.h"

namespace snipefall {

static_assert(object_store<memory_object_store>);

namespace {

const failure &platformDownFailure()
{
    static const failure s_reason{error_code::unavailable, "the platform is down"};
    return s_reason;
}

} // namespace

outcome<object> memory_object_store::read(call_purpose, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    ++m_calls;
    if (m_down) {
        return platformDownFailure();
    }
    const auto found = m_objects.find(key);
    if (found == m_objects.end()) {
        return failure{error_code::not_found, "no object " + key};
    }
    return found->second.value;
}

outcome<object_version> memory_object_store::write(call_purpose, const std::string &key, std::string value, object_version expected)
{
    const std::lock_guard lock(m_mutex);
    ++m_calls;
    if (m_down) {
        return platformDownFailure();
    }
    const auto found = m_objects.find(key);
    const object_version current = found == m_objects.end() ? object_version() : found->second.value.version;
    if (current != expected) {
        return failure{error_code::conflict, "object " + key + " is at version " + std::to_string(current.value())};
    }
    m_objects[key] = {object{key, current.next(), std::move(value)}, ++m_revision};
    m_changed.notify_all();
    if (m_responsesToLose > 0) {
        --m_responsesToLose;
        return failure{error_code::unknown_result, "the answer to the write was lost"};
    }
    return current.next();
}

outcome<std::vector<object>> memory_object_store::list(call_purpose, const std::string &prefix)
{
    const std::lock_guard lock(m_mutex);
    ++m_calls;
    if (m_down) {
        return platformDownFailure();
    }
    std::vector<object> objects;
    for (auto entry = m_objects.lower_bound(prefix); entry != m_objects.end() && entry->first.starts_with(prefix); ++entry) {
        objects.push_back(entry->second.value);
    }
    return objects;
}

outcome<watch_result> memory_object_store::watch(call_purpose, const std::string &prefix, std::uint64_t afterRevision, long timeoutMs)
{
    std::unique_lock lock(m_mutex);
    ++m_calls;
    const auto changedObjects = [&] {
        std::vector<object> objects;
        for (auto entry = m_objects.lower_bound(prefix); entry != m_objects.end() && entry->first.starts_with(prefix); ++entry) {
            if (entry->second.revision > afterRevision) {
                objects.push_back(entry->second.value);
            }
        }
        return objects;
    };
    watch_result result;
    m_changed.wait_for(lock, std::chrono::milliseconds(timeoutMs), [&] {
        result.objects = changedObjects();
        return m_down || !result.objects.empty();
    });
    if (m_down) {
        return platformDownFailure();
    }
    result.revision = m_revision;
    return result;
}

outcome<std::vector<vm_entry>> memory_object_store::listVms()
{
    const std::lock_guard lock(m_mutex);
    ++m_calls;
    if (m_down) {
        return platformDownFailure();
    }
    return m_vms;
}

void memory_object_store::setVms(std::vector<vm_entry> vms)
{
    const std::lock_guard lock(m_mutex);
    m_vms = std::move(vms);
}

void memory_object_store::setDown(bool down)
{
    const std::lock_guard lock(m_mutex);
    m_down = down;
    m_changed.notify_all();
}

void memory_object_store::loseWriteResponses(int count)
{
    const std::lock_guard lock(m_mutex);
    m_responsesToLose = count;
}

std::uint64_t memory_object_store::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

} // namespace snipefall
