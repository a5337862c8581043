#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <tuple>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "core/json.h"

namespace snipefall {

/** Sets the seed before RapidCheck reads its parameters, once per process; RC_PARAMS in the environment takes precedence. */
inline void useFixedSeed()
{
    setenv("RC_PARAMS", "seed=20261204 max_success=1000", 0);
}

/** One random mutation of an input: its position, its kind, and an operand such as the bit to flip or the index of a replacement value. */
using input_mutation = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;

/** Generates up to @p maxCount mutations. Their numbers use the full range from the first run on instead of growing with RapidCheck's size. */
inline rc::Gen<std::vector<input_mutation>> generateMutations(std::size_t maxCount)
{
    constexpr int FULL_SIZE = 100;
    const auto number = rc::gen::resize(FULL_SIZE, rc::gen::inRange<std::uint32_t>(0, 1U << 16U));
    return rc::gen::mapcat(rc::gen::inRange<std::size_t>(0, maxCount + 1), [number](std::size_t count) {
        return rc::gen::container<std::vector<input_mutation>>(count, rc::gen::tuple(number, number, number));
    });
}

/** Applies mutations that flip a bit, insert a byte, or erase or repeat some bytes. */
inline std::string mutateBytes(std::string bytes, const std::vector<input_mutation> &damages)
{
    for (const auto &[place, kind, value] : damages) {
        if (bytes.empty()) {
            break;
        }
        const std::size_t at = place % bytes.size();
        switch (kind % 4) {
        case 0:
            bytes[at] = static_cast<char>(static_cast<unsigned char>(bytes[at]) ^ (1U << (value % 8)));
            break;
        case 1:
            bytes.insert(at, 1, static_cast<char>(value % 256));
            break;
        case 2:
            bytes.erase(at, 1 + value % 8);
            break;
        default:
            bytes.insert(at, bytes.substr(at, value % 32));
            break;
        }
    }
    return bytes;
}

/** Returns pointers to @p root and all values nested in it. */
inline std::vector<json *> collectValues(json &root)
{
    std::vector<json *> values{&root};
    for (std::size_t i = 0; i < values.size(); ++i) {
        if (!values[i]->is_structured()) {
            continue;
        }
        for (json &child : *values[i]) {
            values.push_back(&child);
        }
    }
    return values;
}

/** Applies mutations that replace, copy or remove values or copy them to another key; the result stays a JSON document. */
inline json mutateDocument(json document, const std::vector<input_mutation> &damages)
{
    static const json s_replacements =
        json::parse(R"([null, true, false, 0, 1, -1, 5, 0.5, 1e308, 4294967295, 4294967296, 18446744073709551615, -9223372036854775808,
        "", "a", "01", "1\u0000", "\u00e9\ud83d\ude00", [], [0], [[[]]], {}, {"a": 1}, {"": {"": {}}}])");
    static const std::vector<std::string> s_names{"", "0", "1", "01", "+1", " 1", std::string("1\0x", 3), "-0", "68", "id", "/", "~"};
    for (const auto &[place, kind, value] : damages) {
        const std::vector<json *> values = collectValues(document);
        json &target = *values[place % values.size()];
        switch (kind % 4) {
        case 0:
            target = s_replacements[value % s_replacements.size()];
            break;
        case 1: {
            json copy = *values[value % values.size()];
            target = std::move(copy);
            break;
        }
        case 2:
            if (target.is_structured() && !target.empty()) {
                target.erase(std::next(target.begin(), value % static_cast<std::uint32_t>(target.size())));
            }
            break;
        default:
            if (target.is_object() && !target.empty()) {
                json copy = *std::next(target.begin(), value % static_cast<std::uint32_t>(target.size()));
                target[s_names[value % s_names.size()]] = std::move(copy);
            }
            break;
        }
    }
    return document;
}

/** Generates arbitrary bytes, or a valid document with mutated values or bytes. */
inline rc::Gen<std::string> generateFuzzedTexts(const json &valid)
{
    const auto documents =
        rc::gen::map(generateMutations(4), [valid](const std::vector<input_mutation> &damages) { return mutateDocument(valid, damages).dump(); });
    const auto bytes = rc::gen::map(generateMutations(4), [valid](const std::vector<input_mutation> &damages) { return mutateBytes(valid.dump(), damages); });
    return rc::gen::weightedOneOf<std::string>({{1, rc::gen::arbitrary<std::string>()}, {6, documents}, {3, bytes}});
}

/** Counts accepted and refused inputs, so that a test can check that its property did not hold vacuously. */
struct parse_counts
{
    int accepted = 0;
    int refused = 0;

    bool hasAcceptedAndRefused() const { return accepted > 0 && refused > 0; }
};

/**
 * Checks that each generated text is refused with a message or parses to a value that survives writing and parsing again, and that both occur.
 *
 * @p parse maps a text to an outcome, @p write serializes a value to text, and @p equals compares two values.
 */
template <typename Parse, typename Write, typename Equals>
void checkParser(const std::string &name, const json &valid, Parse parse, Write write, Equals equals)
{
    useFixedSeed();
    parse_counts counts;
    const bool holds = rc::check(name, [&] {
        const std::string text = *generateFuzzedTexts(valid);
        const auto value = parse(text);
        if (!value) {
            ++counts.refused;
            RC_ASSERT(!value.reason().message.empty());
            return;
        }
        ++counts.accepted;
        const std::string written = write(*value);
        const auto again = parse(written);
        RC_ASSERT(again.hasValue());
        RC_ASSERT(equals(*again, *value));
    });
    BOOST_TEST(holds);
    BOOST_TEST(counts.hasAcceptedAndRefused());
}

} // namespace snipefall
