#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/json.h"

using namespace snipefall;

namespace {

struct depth_case
{
    const char *open;
    const char *close;
    std::size_t levels; ///< Nesting levels around one empty array.
    bool valid;
};

std::ostream &operator<<(std::ostream &out, const depth_case &row)
{
    return out << row.levels << " times " << row.open;
}

const depth_case DEPTH_CASES[] = {
    {"[", "]", MAX_JSON_DEPTH - 1, true},
    {"[", "]", MAX_JSON_DEPTH, false},
    {R"({"a":)", "}", MAX_JSON_DEPTH - 1, true},
    {R"({"a":)", "}", MAX_JSON_DEPTH, false},
    {"[", "]", 500'000, false},
    {R"([{"a":)", "}]", 150'000, false},
    {"[", "", 500'000, false},
};

std::string repeated(const char *text, std::size_t times)
{
    std::string result;
    for (std::size_t i = 0; i < times; ++i) {
        result += text;
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(json_tests)

// Guards against a request body of nested brackets that overflows the stack of the thread that copies, compares or serializes it.
BOOST_DATA_TEST_CASE(rejectsExcessiveNesting, DEPTH_CASES)
{
    const outcome<json> document = parseJson(repeated(sample.open, sample.levels) + "[]" + repeated(sample.close, sample.levels));
    BOOST_REQUIRE_EQUAL(document.hasValue(), sample.valid);
    if (document) {
        BOOST_TEST(*parseJson(document->dump()) == *document);
    } else {
        BOOST_TEST((document.reason().code == error_code::invalid_argument));
    }
}

// Guards against a depth check that drops or reorders values of documents within the limit.
BOOST_AUTO_TEST_CASE(preservesValuesWithinDepthLimit)
{
    const std::string text = R"({"a":[1,{"b":[]},"[[{"],"c":{"d":null,"e":{"f":[[[]]]}},"g":-1.5})";
    BOOST_REQUIRE(parseJson(text));
    BOOST_TEST(parseJson(text)->dump() == text);
    BOOST_TEST(!parseJson("[1").hasValue());
    BOOST_TEST(!parseJson("").hasValue());
}

BOOST_AUTO_TEST_SUITE_END()
