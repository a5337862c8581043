#include "core/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace snipefall {

namespace {

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
        }
    }
    return row.back();
}

} // namespace

std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string> &candidates)
{
    std::optional<std::string> best;
    std::size_t bestDistance = name.size() / 3 + 2;
    for (const std::string &candidate : candidates) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance >= bestDistance) {
            continue;
        }
        bestDistance = distance;
        best = candidate;
    }
    return best;
}

} // namespace snipefall
