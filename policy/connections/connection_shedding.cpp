#include "policy/connections/connection_shedding.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace snipefall {

namespace {

constexpr std::chrono::seconds STALLED_AFTER(1);

/** Bytes held, weighted by the time for which they have not moved. */
double costOf(const connection_load &connection)
{
    return static_cast<double>(connection.bytes) * (1.0 + std::chrono::duration<double>(connection.sinceProgress).count());
}

} // namespace

std::vector<std::size_t> connectionsToShed(const std::vector<connection_load> &connections, std::size_t limitBytes, std::size_t usedBytes)
{
    std::map<std::string, std::size_t> bytesByAddress;
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        bytesByAddress[connections[i].clientAddress] += connections[i].bytes;
        if (!connections[i].isHandling && connections[i].bytes > 0) {
            candidates.push_back(i);
        }
    }
    const auto isStalled = [&](std::size_t i) { return connections[i].sinceProgress >= STALLED_AFTER; };
    const auto exceedsShare = [&](std::size_t i) { return bytesByAddress[connections[i].clientAddress] > limitBytes / 2; };
    std::sort(candidates.begin(), candidates.end(), [&](std::size_t left, std::size_t right) {
        return std::tuple(isStalled(left), exceedsShare(left), costOf(connections[left]))
            > std::tuple(isStalled(right), exceedsShare(right), costOf(connections[right]));
    });
    std::vector<std::size_t> shed;
    for (const std::size_t candidate : candidates) {
        if (usedBytes <= (isStalled(candidate) ? limitBytes / 4 * 3 : limitBytes)) {
            break;
        }
        usedBytes -= std::min(usedBytes, connections[candidate].bytes);
        shed.push_back(candidate);
    }
    return shed;
}

std::optional<std::size_t> connectionToEvict(const std::vector<connection_load> &connections)
{
    std::map<std::string, std::size_t> countByAddress;
    for (const connection_load &connection : connections) {
        ++countByAddress[connection.clientAddress];
    }
    const auto orderOf = [&](const connection_load &connection) {
        return std::tuple(connection.isIdle, 2 * countByAddress[connection.clientAddress] > connections.size(), connection.sinceProgress);
    };
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        if (connections[i].isReading && (!chosen || orderOf(connections[i]) > orderOf(connections[*chosen]))) {
            chosen = i;
        }
    }
    return chosen;
}

} // namespace snipefall
