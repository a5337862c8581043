#include "tests/stand_ins/backend_switches.h"

#include <limits>
#include <set>

namespace snipefall {

namespace {

// Reads typed members of a JSON object and keeps the first validation error.
class member_reader
{
public:
    explicit member_reader(const json &object)
        : m_object(object)
    {
    }

    void read(const char *key, bool &target)
    {
        if (const json *value = find(key); value != nullptr && expect(value->is_boolean(), key, "a boolean")) {
            target = value->get<bool>();
        }
    }

    void read(const char *key, std::string &target)
    {
        if (const json *value = find(key); value != nullptr && expect(value->is_string(), key, "a string")) {
            target = value->get<std::string>();
        }
    }

    void readFraction(const char *key, double &target)
    {
        const json *value = find(key);
        if (value != nullptr && expect(value->is_number() && value->get<double>() >= 0 && value->get<double>() <= 1, key, "a number from 0 to 1")) {
            target = value->get<double>();
        }
    }

    template <typename Number>
    void readCount(const char *key, Number &target)
    {
        const json *value = find(key);
        const bool valid = value != nullptr && value->is_number_integer() && value->get<std::int64_t>() >= 0
            && value->get<std::int64_t>() <= std::numeric_limits<std::int32_t>::max();
        if (value != nullptr && expect(valid, key, "a number from 0 to 2^31-1")) {
            target = value->get<Number>();
        }
    }

    const json *find(const char *key) const
    {
        const auto found = m_object.find(key);
        return found == m_object.end() ? nullptr : &*found;
    }

    const json *findObject(const char *key)
    {
        const json *value = find(key);
        return value != nullptr && expect(value->is_object(), key, "an object") ? value : nullptr;
    }

    bool expect(bool valid, const std::string &key, const std::string &allowed)
    {
        if (!valid && m_problem.empty()) {
            m_problem = key + " must be " + allowed;
        }
        return valid;
    }

    const std::string &problem() const { return m_problem; }

private:
    const json &m_object;
    std::string m_problem;
};

std::string readStraggle(const json &object, backend_switches &target)
{
    member_reader reader(object);
    reader.readFraction("probability", target.straggleProbability);
    reader.readCount("ms", target.straggleMs);
    return reader.problem();
}

std::string readBad(const json &object, backend_switches &target)
{
    static const std::set<std::string> s_modes{"off", "now", "after_ms", "route", "load"};
    member_reader reader(object);
    reader.read("mode", target.badMode);
    reader.expect(s_modes.contains(target.badMode), "bad.mode", "off, now, after_ms, route or load");
    reader.readCount("after_ms", target.badAfterMs);
    reader.read("route", target.badRoute);
    reader.readCount("load", target.badLoad);
    reader.readFraction("error_rate", target.badErrorRate);
    reader.readCount("extra_ms", target.badExtraMs);
    return reader.problem();
}

} // namespace

std::string backend_switches::apply(const json &switches)
{
    if (!switches.is_object()) {
        return "the switches must be a JSON object";
    }
    static const std::set<std::string> s_knownSwitches{"straggle",
                                                       "crash_on",
                                                       "freeze",
                                                       "silent",
                                                       "bad",
                                                       "cold",
                                                       "drain",
                                                       "shed_rate",
                                                       "drop_snapshot",
                                                       "add_snapshot",
                                                       "crossed_answers",
                                                       "lose_execute_answers",
                                                       "health",
                                                       "misleading_health",
                                                       "new_start_time"};
    for (const auto &[name, value] : switches.items()) {
        if (!s_knownSwitches.contains(name)) {
            return "unknown switch: " + name;
        }
    }
    backend_switches next = *this;
    member_reader reader(switches);
    reader.read("crash_on", next.crashOn);
    reader.read("freeze", next.freeze);
    reader.read("drain", next.drain);
    reader.readFraction("shed_rate", next.shedRate);
    reader.readFraction("crossed_answers", next.wrongSubIdRate);
    reader.readCount("lose_execute_answers", next.executeResponsesToLose);
    reader.read("health", next.health);
    reader.read("misleading_health", next.falseServingStatus);
    std::string problem;
    if (const json *straggle = reader.findObject("straggle")) {
        problem = readStraggle(*straggle, next);
    }
    if (const json *bad = reader.findObject("bad"); bad != nullptr && problem.empty()) {
        problem = readBad(*bad, next);
    }
    if (problem.empty()) {
        problem = reader.problem();
    }
    if (problem.empty()) {
        *this = next;
    }
    return problem;
}

json backend_switches::toJson() const
{
    return {
        {"straggle", {{"probability", straggleProbability}, {"ms", straggleMs}}},
        {"crash_on", crashOn},
        {"freeze", freeze},
        {"bad", {{"mode", badMode}, {"after_ms", badAfterMs}, {"route", badRoute}, {"load", badLoad}, {"error_rate", badErrorRate}, {"extra_ms", badExtraMs}}},
        {"drain", drain},
        {"shed_rate", shedRate},
        {"crossed_answers", wrongSubIdRate},
        {"lose_execute_answers", executeResponsesToLose},
        {"health", health},
        {"misleading_health", falseServingStatus}};
}

} // namespace snipefall
