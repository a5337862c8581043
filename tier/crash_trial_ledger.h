#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "policy/crash_trial.h"
#include "policy/recovery/store_position.h"
#include "policy/request_fingerprint.h"

namespace snipefall {

class store_client;
struct stored_object;

/**
 * Grants the trials of quarantined requests by conditional writes to the platform's store, which bounds their number for all nodes together.
 *
 * Without an answer of the store no trial is granted. A write whose result is unknown counts as a trial.
 */
class crash_trial_ledger
{
public:
    /** Called with zero if a trial was granted, otherwise with the time after which to ask again. */
    using handler = std::function<void(duration wait)>;

    explicit crash_trial_ledger(store_client &store)
        : m_store(store)
    {
    }

    void take(request_fingerprint request, handler onDecided);
    /**
     * Writes the records of this node's trials again after the store came back from a copy that may lack them.
     *
     * For the time between two trials none is granted: another node may not have written its record again yet.
     */
    void restore(time_point now);
    /** Returns a granted trial that proved nothing. */
    void giveBack(request_fingerprint request);
    /** Ends a granted trial that counts. */
    void spend(request_fingerprint request) { m_granted.erase(request); }
    /** Removes the record of a request that was proved harmless in a granted trial. */
    void remove(request_fingerprint request);

private:
    struct granted_trial
    {
        crash_trial_record record;
        store_position revision;
    };

    void decide(request_fingerprint request, const outcome<stored_object> &stored, const handler &onDecided);
    void restoreRecord(request_fingerprint request, const outcome<stored_object> &stored);

    store_client &m_store;
    std::map<request_fingerprint, granted_trial> m_granted;
    std::optional<time_point> m_restoredAt; ///< When the store was last found to have come back from an older copy.
};

} // namespace snipefall
