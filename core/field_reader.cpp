#include "core/field_reader.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace snipefall {

namespace {

/** Levenshtein distance. */
std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i + 1);
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t substitution = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substitution, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

// Longer names are truncated before the edit distance is computed, so that a hostile document can't make it expensive.
constexpr std::size_t MAX_COMPARED_BYTES = 64;

} // namespace

field_reader::field_reader(const json &object, json::json_pointer path, std::vector<invalid_field> &invalid)
    : m_object(object)
    , m_path(std::move(path))
    , m_invalid(invalid)
{
}

bool field_reader::requireObject() const
{
    if (!m_object.is_object()) {
        m_invalid.push_back({m_path.to_string(), m_object, "an object"});
        return false;
    }
    return true;
}

void field_reader::reportUnknownFields(std::initializer_list<std::string_view> known) const
{
    for (const auto &[key, value] : m_object.items()) {
        if (std::find(known.begin(), known.end(), key) != known.end()) {
            continue;
        }
        const std::string_view name = std::string_view(key).substr(0, MAX_COMPARED_BYTES);
        const auto nearest =
            std::min_element(known.begin(), known.end(), [&](std::string_view a, std::string_view b) { return editDistance(name, a) < editDistance(name, b); });
        reportInvalid(key, "no such field; the nearest known name is " + std::string(*nearest));
    }
}

void field_reader::readStringField(const char *key, presence need, std::size_t maxBytes, std::string &target) const
{
    const std::string allowed = "a string of 1 to " + std::to_string(maxBytes) + " bytes";
    const json *value = findMember(key, need, allowed);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty() || value->get_ref<const std::string &>().size() > maxBytes) {
        reportInvalid(key, allowed);
        return;
    }
    target = value->get<std::string>();
}

void field_reader::readBooleanField(const char *key, bool &target) const
{
    const json *value = findMember(key, presence::optional, {});
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        reportInvalid(key, "true or false");
        return;
    }
    target = value->get<bool>();
}

void field_reader::readFractionField(const char *key, double &target) const
{
    const json *value = findMember(key, presence::optional, {});
    if (value == nullptr) {
        return;
    }
    if (!value->is_number() || !(value->get<double>() >= 0.0 && value->get<double>() <= 1.0)) {
        reportInvalid(key, "a number from 0 to 1");
        return;
    }
    target = value->get<double>();
}

void field_reader::readUnsigned(const char *key, presence need, std::uint64_t min, std::uint64_t max, std::uint64_t &target) const
{
    const std::string allowed = "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
    const json *value = findMember(key, need, allowed);
    if (value == nullptr) {
        return;
    }
    // A JSON value that was built in code rather than parsed may hold a non-negative number as a signed integer.
    const bool nonNegative = value->is_number_unsigned() || (value->is_number_integer() && value->get<std::int64_t>() >= 0);
    if (!nonNegative || value->get<std::uint64_t>() < min || value->get<std::uint64_t>() > max) {
        reportInvalid(key, allowed);
        return;
    }
    target = value->get<std::uint64_t>();
}

void field_reader::reportInvalid(const std::string &key, std::string allowed, const json &fallback) const
{
    const auto found = m_object.find(key);
    m_invalid.push_back({(m_path / key).to_string(), found == m_object.end() ? fallback : *found, std::move(allowed)});
}

const json *field_reader::findMember(const char *key, presence need, const std::string &allowed) const
{
    const auto found = m_object.find(key);
    if (found != m_object.end()) {
        return &*found;
    }
    if (need == presence::required) {
        reportInvalid(key, allowed);
    }
    return nullptr;
}

} // namespace snipefall
