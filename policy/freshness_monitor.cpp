#include "policy/freshness_monitor.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace snipefall {

namespace {

constexpr duration DEFAULT_BOUND = std::chrono::seconds(3);
/** A change reaches the watch of a node some 0.3 s after that of a peer. After this time the answer to the watch counts as late. */
constexpr duration WATCH_DELAY = std::chrono::milliseconds(400);
/** Messages about a read travel for less than this time. */
constexpr duration RUN_RETENTION = std::chrono::minutes(1);
/** The ages at which the first nodes by id read all kinds, in twelfths of the bound; the second one only if the first one has failed, and so on. */
constexpr std::array<int, 3> READ_AGES{3, 5, 6};
/** The same for all other nodes. It lets two reads of peers pass unheard and leaves a quarter of the bound for the calls. */
constexpr int LAST_READ_AGE = 8;
constexpr int AGE_UNITS_IN_BOUND = 12;
/** A round that isn't complete after this time is begun anew, also in twelfths of the bound. */
constexpr int ROUND_TIMEOUT = 2;

} // namespace

freshness_monitor::freshness_monitor(time_point start, std::uint64_t seed)
    : m_bound(DEFAULT_BOUND)
{
    std::mt19937_64 random(seed);
    m_jitter = std::uniform_real_distribution<double>(0.0, 1.0)(random);
    m_currentAt.fill(start);
    m_readBegun.fill(time_point());
    m_readable.fill(true);
}

void freshness_monitor::setBound(duration bound)
{
    m_bound = bound > duration::zero() ? bound : DEFAULT_BOUND;
}

void freshness_monitor::noteRead(store_kind kind, time_point begun, store_position storeRevision)
{
    m_currentAt[index(kind)] = std::max(m_currentAt[index(kind)], begun);
    m_readBegun[index(kind)] = std::max(m_readBegun[index(kind)], begun);
    m_readRevision[index(kind)] = storeRevision;
}

bool freshness_monitor::wasReadAt(store_kind kind, store_position storeRevision) const
{
    return storeRevision.revision() != 0 && m_readRevision[index(kind)] == storeRevision;
}

bool freshness_monitor::applyPeerRead(const fresh_read &read, time_point now)
{
    std::erase_if(m_lastReads, [now](const auto &item) { return now - item.second.receivedAt > RUN_RETENTION; });
    last_read &last = m_lastReads[read.origin];
    if (last.sequence >= read.sequence) {
        return false;
    }
    last = {read.sequence, now};
    const time_point asOf = now - read.age;
    for (const store_kind kind : STORE_KINDS) {
        std::optional<peer_claim> &claim = m_claims[index(kind)];
        if (read.kinds[index(kind)].completeTo == store_position() || (claim && claim->asOf >= asOf)) {
            continue;
        }
        if (!claim) {
            claim.emplace();
        }
        claim->version = read.kinds[index(kind)];
        claim->asOf = asOf;
    }
    return true;
}

catch_up freshness_monitor::compare(store_kind kind, const known_objects &known, time_point now)
{
    std::optional<peer_claim> &claim = m_claims[index(kind)];
    if (!claim) {
        return catch_up::none;
    }
    const bool covered = known.covers(claim->version);
    if (covered) {
        m_currentAt[index(kind)] = std::max(m_currentAt[index(kind)], claim->asOf);
    }
    // A list that began after the peer's read is newer than it.
    if (covered || m_readBegun[index(kind)] >= claim->asOf) {
        claim->lastStepAt.reset();
        claim->lastStep = catch_up::none;
        return catch_up::none;
    }
    if (!claim->lastStepAt) {
        claim->lastStepAt = now;
    }
    if (now - *claim->lastStepAt < WATCH_DELAY) {
        return catch_up::none;
    }
    claim->lastStepAt = now;
    claim->lastStep = claim->lastStep == catch_up::none ? catch_up::watch_newest : catch_up::list;
    return claim->lastStep;
}

bool freshness_monitor::roundDue(std::optional<std::size_t> rank, time_point now) const
{
    const duration unit = m_bound / AGE_UNITS_IN_BOUND;
    if (m_roundBegun && now - *m_roundBegun < ROUND_TIMEOUT * unit) {
        return false;
    }
    const bool inOrder = rank && *rank < READ_AGES.size();
    const duration dueAge = inOrder ? READ_AGES[*rank] * unit : LAST_READ_AGE * unit + std::chrono::duration_cast<duration>(m_jitter * unit);
    return oldestAge(now) >= dueAge;
}

bool freshness_monitor::isLate(time_point now) const
{
    return oldestAge(now) >= LAST_READ_AGE * (m_bound / AGE_UNITS_IN_BOUND);
}

std::optional<time_point> freshness_monitor::endRoundIfComplete()
{
    if (!m_roundBegun) {
        return std::nullopt;
    }
    for (const store_kind kind : STORE_KINDS) {
        if (m_readable[index(kind)] && !readSince(kind, *m_roundBegun)) {
            return std::nullopt;
        }
    }
    return std::exchange(m_roundBegun, std::nullopt);
}

duration freshness_monitor::oldestAge(time_point now) const
{
    duration oldest{};
    for (const store_kind kind : STORE_KINDS) {
        if (m_readable[index(kind)]) {
            oldest = std::max(oldest, age(kind, now));
        }
    }
    return oldest;
}

} // namespace snipefall
