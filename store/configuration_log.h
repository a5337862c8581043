#pragma once

#include <algorithm>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "core/configuration_parser.h"
#include "core/configuration_snapshot.h"
#include "core/logger.h"
#include "store/commit_result.h"
#include "store/configuration_keys.h"
#include "store/object_store.h"

namespace snipefall {

/** Newest log entries that are cached and searched to recognise a patch that is submitted again. */
constexpr std::size_t MAX_RECENT_LOG_ENTRIES = 256;
/** Versions between two snapshots; start-up reads one snapshot and at most about this many log entries. */
constexpr std::uint64_t SNAPSHOT_INTERVAL = 50;
/** Writes of one log entry that may fail with an unknown result before commit() returns unknown. */
constexpr int MAX_APPEND_ATTEMPTS = 4;
/** Maximum size of the document; leaves room for the envelope within the platform's limit of 1 MB per value. */
constexpr std::size_t MAX_DOCUMENT_BYTES = 900'000;

/**
 * The versioned configuration in the platform, stored as the objects config/log/<n> and config/snapshot.
 *
 * Creating config/log/<n> is the commit point of version n. Thread-safe; commits through one configuration_log are serialized, reads can run concurrently.
 */
template <object_store Store>
class configuration_log
{
public:
    /** @p store must outlive the log. */
    explicit configuration_log(Store &store)
        : m_store(store)
    {
    }

    commit_result commit(const configuration_patch &patch);
    /** Reads the snapshot and the log entries after it, and returns the newest configuration. */
    outcome<configuration_snapshot> load();
    /** Reads the patch that made @p version; fails with not_found if there is none. */
    outcome<configuration_patch> read(config_version version);
    /** Reads all patches that made versions after @p version, in ascending order. */
    outcome<std::vector<configuration_patch>> readAfter(config_version version);

private:
    using kind = commit_result::kind;

    outcome<configuration_snapshot> readSnapshot(object_version &stored);
    /** Brings the cached document and entries up to the end of the log. @return the failure, if any */
    std::optional<failure> catchUp();
    void applyToCache(const configuration_patch &patch);
    /** Returns the result if no write is needed: the patch is already in the log, or its base is not the newest version. */
    std::optional<commit_result> resultFromCache(const configuration_patch &patch);
    std::optional<commit_result> checkDocument(const configuration_patch &patch) const;
    commit_result append(const configuration_patch &patch);
    commit_result resolveVersionConflict(const configuration_patch &patch, const configuration_patch &winner);
    commit_result refusedResult(const configuration_patch &patch, const configuration_patch &winner) const;
    void writeSnapshotIfDue();

    Store &m_store;
    std::mutex m_mutex; ///< Held during a commit.
    bool m_loaded = false;
    configuration_snapshot m_state;
    std::uint64_t m_snapshotVersion = 0;
    std::deque<configuration_patch> m_recentPatches; ///< Contiguous; the newest makes m_state.version.
};

template <object_store Store>
commit_result configuration_log<Store>::commit(const configuration_patch &patch)
{
    if (auto checked = parseConfigurationPatch(toJson(patch)); !checked.value) {
        return {kind::invalid, {}, {}, std::move(checked.invalidFields), "the patch has invalid fields"};
    }
    const std::lock_guard lock(m_mutex);
    // If the cache is at the base version, the log need not be read: creating the next entry fails if the cache is stale.
    if (!m_loaded || m_state.version != patch.baseVersion) {
        if (const auto reason = catchUp()) {
            return {kind::unavailable, {}, {}, {}, "nothing was written: " + reason->message};
        }
    }
    if (auto decided = resultFromCache(patch)) {
        return std::move(*decided);
    }
    if (auto invalid = checkDocument(patch)) {
        return std::move(*invalid);
    }
    commit_result result = append(patch);
    if (result.status == kind::applied) {
        writeSnapshotIfDue();
    }
    return result;
}

template <object_store Store>
std::optional<commit_result> configuration_log<Store>::resultFromCache(const configuration_patch &patch)
{
    for (const configuration_patch &known : m_recentPatches) {
        if (known.id != patch.id) {
            continue;
        }
        if (known.merge != patch.merge) {
            invalid_field field{"/patch_id", patch.id.str(), "an id that no other patch has; this one made version " + std::to_string(known.version().value())};
            return commit_result{kind::invalid, {}, {}, {std::move(field)}, "the patch id is taken"};
        }
        return commit_result{kind::applied, known.version(), {}, {}, "applied as version " + std::to_string(known.version().value())};
    }
    if (patch.baseVersion == m_state.version) {
        return std::nullopt;
    }
    if (patch.baseVersion > m_state.version) {
        return commit_result{
            kind::refused, m_state.version, {}, {}, "the base version does not exist; the newest is " + std::to_string(m_state.version.value())};
    }
    const auto winner = std::find_if(m_recentPatches.begin(), m_recentPatches.end(), [&](const auto &known) { return known.baseVersion == patch.baseVersion; });
    if (winner != m_recentPatches.end()) {
        return refusedResult(patch, *winner);
    }
    if (const auto older = read(patch.version())) {
        return refusedResult(patch, *older);
    }
    return commit_result{kind::refused, patch.version(), {}, {}, "another patch made version " + std::to_string(patch.version().value())};
}

template <object_store Store>
std::optional<commit_result> configuration_log<Store>::checkDocument(const configuration_patch &patch) const
{
    json document = m_state.document;
    document.merge_patch(patch.merge);
    auto checked = configuration_parser::parse(document, patch.version());
    if (canonicalJson(document).size() > MAX_DOCUMENT_BYTES) {
        checked.invalidFields.push_back({"", nullptr, "a document of at most " + std::to_string(MAX_DOCUMENT_BYTES) + " bytes"});
    }
    if (checked.invalidFields.empty()) {
        return std::nullopt;
    }
    return commit_result{kind::invalid, {}, {}, std::move(checked.invalidFields), "the patched document has invalid fields"};
}

template <object_store Store>
commit_result configuration_log<Store>::append(const configuration_patch &patch)
{
    const std::string key = configurationLogKey(patch.version());
    const std::string value = canonicalJson(toJson(patch));
    bool mayBeWritten = false;
    std::string message;
    for (int attempt = 0; attempt < MAX_APPEND_ATTEMPTS; ++attempt) {
        const auto written = m_store.write(call_purpose::configuration, key, value, object_version());
        if (written) {
            applyToCache(patch);
            return {kind::applied, patch.version(), {}, {}, "applied as version " + std::to_string(patch.version().value())};
        }
        message = written.reason().message;
        const error_code code = written.reason().code;
        if (code == error_code::unavailable || code == error_code::overloaded) {
            break;
        }
        mayBeWritten = true;
        const auto found = read(patch.version());
        if (found && found->id == patch.id) {
            applyToCache(*found);
            return {kind::applied, patch.version(), {}, {}, "applied as version " + std::to_string(patch.version().value())};
        }
        if (found) {
            return resolveVersionConflict(patch, *found);
        }
        message = found.reason().message;
        // If the entry is absent, the earlier write may still take effect; creating it again is safe, because only one of the two writes can succeed.
    }
    if (!mayBeWritten) {
        return {kind::unavailable, {}, {}, {}, "nothing was written: " + message};
    }
    return {kind::unknown, {}, {}, {}, "the patch may or may not be applied; submit the same patch again: " + message};
}

template <object_store Store>
commit_result configuration_log<Store>::resolveVersionConflict(const configuration_patch &patch, const configuration_patch &winner)
{
    // The same patch may have been applied in a later version, on another base; only the newer log entries show it.
    if (!catchUp()) {
        if (auto decided = resultFromCache(patch)) {
            return std::move(*decided);
        }
    }
    return refusedResult(patch, winner);
}

template <object_store Store>
commit_result configuration_log<Store>::refusedResult(const configuration_patch &patch, const configuration_patch &winner) const
{
    return {kind::refused,
            patch.version(),
            winner,
            {},
            "version " + std::to_string(patch.version().value()) + " was made by " + winner.author + " with patch " + winner.id.str()};
}

template <object_store Store>
void configuration_log<Store>::applyToCache(const configuration_patch &patch)
{
    m_state.apply(patch);
    m_recentPatches.push_back(patch);
    if (m_recentPatches.size() > MAX_RECENT_LOG_ENTRIES) {
        m_recentPatches.pop_front();
    }
}

template <object_store Store>
std::optional<failure> configuration_log<Store>::catchUp()
{
    config_version readFrom = m_state.version;
    if (!m_loaded) {
        object_version stored;
        auto snapshot = readSnapshot(stored);
        if (!snapshot) {
            return snapshot.reason();
        }
        m_state = std::move(*snapshot);
        m_snapshotVersion = m_state.version.value();
        m_recentPatches.clear();
        readFrom = config_version(m_snapshotVersion - std::min<std::uint64_t>(m_snapshotVersion, MAX_RECENT_LOG_ENTRIES));
    }
    const auto patches = readAfter(readFrom);
    if (!patches) {
        return patches.reason();
    }
    for (const configuration_patch &patch : *patches) {
        if (patch.version() <= m_state.version) {
            m_recentPatches.push_back(patch);
            continue;
        }
        applyToCache(patch);
    }
    m_loaded = true;
    return std::nullopt;
}

template <object_store Store>
outcome<configuration_snapshot> configuration_log<Store>::readSnapshot(object_version &stored)
{
    const auto found = m_store.read(call_purpose::configuration, CONFIGURATION_SNAPSHOT_KEY);
    if (!found && found.reason().code == error_code::not_found) {
        return configuration_snapshot();
    }
    if (!found) {
        return found.reason();
    }
    stored = found->version;
    const auto value = parseJson(found->value);
    return value ? parseConfigurationSnapshot(*value) : outcome<configuration_snapshot>(value.reason());
}

template <object_store Store>
outcome<configuration_snapshot> configuration_log<Store>::load()
{
    object_version stored;
    auto state = readSnapshot(stored);
    if (!state) {
        return state;
    }
    const auto patches = readAfter(state->version);
    if (!patches) {
        return patches.reason();
    }
    for (const configuration_patch &patch : *patches) {
        state.value().apply(patch);
    }
    return state;
}

template <object_store Store>
outcome<configuration_patch> configuration_log<Store>::read(config_version version)
{
    const auto found = m_store.read(call_purpose::configuration, configurationLogKey(version));
    return found ? parseConfigurationLogEntry(*found) : outcome<configuration_patch>(found.reason());
}

template <object_store Store>
outcome<std::vector<configuration_patch>> configuration_log<Store>::readAfter(config_version version)
{
    std::vector<configuration_patch> patches;
    config_version next = version.next();
    while (true) {
        // Usually there is no new entry, and a single read costs less than listing the block.
        const auto first = read(next);
        if (!first && first.reason().code == error_code::not_found) {
            return patches;
        }
        if (!first) {
            return first.reason();
        }
        patches.push_back(*first);
        next = next.next();
        const auto block = m_store.list(call_purpose::configuration, configurationLogBlockPrefix(first->version()));
        if (!block) {
            return block.reason();
        }
        for (const object &entry : *block) {
            if (entry.key != configurationLogKey(next)) {
                continue;
            }
            const auto patch = parseConfigurationLogEntry(entry);
            if (!patch) {
                return patch.reason();
            }
            patches.push_back(*patch);
            next = next.next();
        }
    }
}

template <object_store Store>
void configuration_log<Store>::writeSnapshotIfDue()
{
    if (m_state.version.value() < m_snapshotVersion + SNAPSHOT_INTERVAL) {
        return;
    }
    object_version stored;
    const auto existing = readSnapshot(stored);
    if (existing && existing->version >= m_state.version) {
        m_snapshotVersion = existing->version.value();
        return;
    }
    const auto written = existing ? m_store.write(call_purpose::configuration, CONFIGURATION_SNAPSHOT_KEY, canonicalJson(toJson(m_state)), stored)
                                  : outcome<object_version>(existing.reason());
    if (written) {
        m_snapshotVersion = m_state.version.value();
        return;
    }
    // Not an error: the snapshot only shortens start-up, and the next commit tries again.
    logInfo("configuration.snapshot_not_written", {{"version", std::to_string(m_state.version.value())}, {"reason", written.reason().message}});
}

} // namespace snipefall
