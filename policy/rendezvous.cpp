#include "policy/rendezvous.h"

#include <cmath>
#include <string>

#include "core/crypto.h"

namespace snipefall {

double rendezvousScore(std::string_view key, const node_id &node, double weight)
{
    const std::uint64_t hash = stableHash(std::string(key) + '\n' + node.str());
    // The upper 53 bits of the hash as a number between 0 and 1; never 0 or 1, for which the score is undefined.
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) / 9007199254740992.0;
    return -weight / std::log(uniform);
}

} // namespace snipefall
