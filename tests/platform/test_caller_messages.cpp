#include <ostream>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "platform/caller_messages.h"
#include "platform/directory_messages.h"
#include "platform/sub_answer_reader.h"
#include "platform/sub_request_writer.h"

using namespace snipefall;
namespace http = boost::beast::http;

namespace {

http_request_message requestOf(const std::vector<std::pair<std::string, std::string>> &headers, const std::string &body = "")
{
    http_request_message request(body.empty() ? http::verb::get : http::verb::post, "/a/b?c=d", 11);
    for (const auto &[name, value] : headers) {
        request.insert(name, value);
    }
    request.body() = body;
    return request;
}

struct request_case
{
    const char *name;
    std::vector<std::pair<std::string, std::string>> headers;
    bool accepted;
};

std::ostream &operator<<(std::ostream &out, const request_case &row)
{
    return out << row.name;
}

const request_case REQUEST_CASES[] = {
    {"all there", {{"Host", "h"}, {"Request-Id", "r1"}, {"Deadline-Ms", "500"}}, true},
    {"no time left stated", {{"Host", "h"}, {"Request-Id", "r1"}}, true},
    {"no id", {{"Host", "h"}, {"Deadline-Ms", "500"}}, false},
    {"two ids", {{"Host", "h"}, {"Request-Id", "r1"}, {"Request-Id", "r2"}}, false},
    {"no host", {{"Request-Id", "r1"}}, false},
    {"two hosts", {{"Host", "h"}, {"Host", "g"}, {"Request-Id", "r1"}}, false},
    {"time left that is no number", {{"Host", "h"}, {"Request-Id", "r1"}, {"Deadline-Ms", "5s"}}, false},
    {"negative time left", {{"Host", "h"}, {"Request-Id", "r1"}, {"Deadline-Ms", "-5"}}, false},
};

struct answer_case
{
    const char *name;
    client_result::kind kind;
    unsigned status;
    std::vector<std::pair<std::string, std::string>> headers;
    attempt_outcome outcome;
};

std::ostream &operator<<(std::ostream &out, const answer_case &row)
{
    return out << row.name;
}

const answer_case ANSWER_CASES[] = {
    {"a signed success", client_result::kind::answered, 200, {{"Server-Stamp", "s"}}, attempt_outcome::answered},
    {"an unsigned success", client_result::kind::answered, 200, {}, attempt_outcome::malformed},
    {"a signed refusal of the caller", client_result::kind::answered, 404, {{"Server-Stamp", "s"}}, attempt_outcome::answered},
    {"a failure", client_result::kind::answered, 500, {{"Server-Stamp", "s"}}, attempt_outcome::server_error},
    {"a deadline that passed", client_result::kind::answered, 504, {{"Server-Stamp", "s"}}, attempt_outcome::server_error},
    {"a full server", client_result::kind::answered, 503, {{"Not-Executed", "1"}}, attempt_outcome::not_run},
    {"503 that does not say that nothing ran", client_result::kind::answered, 503, {{"Server-Stamp", "s"}}, attempt_outcome::malformed},
    {"429 that does not say that nothing ran", client_result::kind::answered, 429, {{"Server-Stamp", "s"}}, attempt_outcome::malformed},
    {"408 that does not say that nothing ran", client_result::kind::answered, 408, {{"Server-Stamp", "s"}}, attempt_outcome::malformed},
    {"429 that says that nothing ran", client_result::kind::answered, 429, {{"Not-Executed", "1"}}, attempt_outcome::not_run},
    {"another server", client_result::kind::answered, 421, {{"Instance-Id", "i"}}, attempt_outcome::wrong_server},
    {"no connection", client_result::kind::not_sent, 0, {}, attempt_outcome::unreachable},
    {"a lost answer", client_result::kind::lost, 0, {}, attempt_outcome::lost},
    {"other bytes", client_result::kind::malformed, 0, {}, attempt_outcome::malformed},
    {"no answer in time", client_result::kind::timed_out, 0, {}, attempt_outcome::timed_out},
};

} // namespace

BOOST_AUTO_TEST_SUITE(caller_messages_tests)

BOOST_DATA_TEST_CASE(readsRequests, boost::unit_test::data::make(REQUEST_CASES), row)
{
    const outcome<caller_request> read = readCallerRequest(requestOf(row.headers));
    BOOST_TEST(read.hasValue() == row.accepted);
    if (read) {
        BOOST_TEST(read->id.str() == "r1");
        BOOST_TEST(read->target == "/a/b?c=d");
    }
}

// Guards against a sub-request that the server may have run being classified as not run, which would allow a retry, and the reverse.
BOOST_DATA_TEST_CASE(classifiesSubRequestResults, boost::unit_test::data::make(ANSWER_CASES), row)
{
    client_result result;
    result.outcome = row.kind;
    result.response.result(row.status);
    for (const auto &[name, value] : row.headers) {
        result.response.set(name, value);
    }
    BOOST_TEST((classifySubAnswer(result) == row.outcome));
}

// Guards against requests that are altered on the way to the backend server, and against forwarding hop-by-hop headers of the caller's connection.
BOOST_AUTO_TEST_CASE(writesSubRequests)
{
    const sub_request_writer writer(requestOf({{"Host", "h"},
                                               {"Request-Id", "r1"},
                                               {"Deadline-Ms", "500"},
                                               {"Expect-Instance", "forged"},
                                               {"Connection", "keep-alive, X-Hop"},
                                               {"X-Hop", "1"},
                                               {"Transfer-Encoding", "chunked"},
                                               {"X-Kept", "2"},
                                               {"Authorization", "Token k"},
                                               {"Tenant", "t"}},
                                              "body"),
                                    {});
    const std::string bytes = writer.write(backend_server_id("i-1"), std::chrono::microseconds(123999));
    BOOST_TEST(bytes
               == "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nX-Kept: 2\r\nAuthorization: Token k\r\nTenant: t\r\nContent-Length: "
                  "4\r\nDeadline-Ms: 123\r\nExpect-Instance: i-1\r\n\r\n");
}

struct key_case
{
    const char *name;
    std::vector<std::string> authorizations; ///< Values of the Authorization headers.
    std::optional<std::string> key; ///< The key that is read; nothing if there is none.
};

std::ostream &operator<<(std::ostream &out, const key_case &row)
{
    return out << row.name;
}

const key_case KEY_CASES[] = {
    {"none", {}, std::nullopt},
    {"a key", {"Token k1"}, "k1"},
    {"a lower-case scheme", {"token k1"}, "k1"},
    {"several spaces", {"Token   k1"}, "k1"},
    {"odd bytes", {"Token \xff\x80 =;,\"k"}, "\xff\x80 =;,\"k"},
    {"another scheme", {"Bearer k1"}, std::nullopt},
    {"a scheme that begins alike", {"Tokens k1"}, std::nullopt},
    {"a scheme alone", {"Token"}, std::nullopt},
    {"an empty key", {"Token "}, std::nullopt},
    {"two headers", {"Token k1", "Token k1"}, std::nullopt},
};

// Guards against a key that is read in another way than the configuration means it, and against a choice between two keys.
BOOST_DATA_TEST_CASE(readsKeys, boost::unit_test::data::make(KEY_CASES), row)
{
    std::vector<std::pair<std::string, std::string>> headers{{"Host", "h"}, {"Request-Id", "r1"}};
    for (const std::string &value : row.authorizations) {
        headers.emplace_back("Authorization", value);
    }
    const outcome<caller_request> request = readCallerRequest(requestOf(headers));
    BOOST_REQUIRE(request.hasValue());
    BOOST_TEST((request->key == (row.key ? std::optional(key_digest::of(*row.key)) : std::nullopt)));
}

// Guards against a backend server that sees a caller's key, or an organisation that the caller made up.
BOOST_AUTO_TEST_CASE(serversSeeTheOrganisationButNoKey)
{
    const http_request_message request = requestOf({{"Host", "h"}, {"Authorization", "Token k"}, {"Tenant", "forged"}, {"tenant", "forged"}});
    const auto headOf = [&](const organisation_id &organisation) {
        return sub_request_writer(request, {true, organisation}).write(backend_server_id("i"), std::chrono::milliseconds(9));
    };
    BOOST_TEST(headOf(organisation_id("o1")) == "GET /a/b?c=d HTTP/1.1\r\nHost: h\r\nTenant: o1\r\nDeadline-Ms: 9\r\nExpect-Instance: i\r\n\r\n");
    BOOST_TEST(headOf(organisation_id()) == "GET /a/b?c=d HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 9\r\nExpect-Instance: i\r\n\r\n");
}

// Guards against taking the answer to another request for the answer to this one.
BOOST_AUTO_TEST_CASE(answersAreMatchedToTheirRequest)
{
    http_response_message answer;
    BOOST_TEST((matchAnswer(answer, request_id("r1")) == response_match::unidentified));
    answer.set("Request-Id", "r2");
    BOOST_TEST((matchAnswer(answer, request_id("r1")) == response_match::other_call));
    BOOST_TEST((matchAnswer(answer, request_id("r2")) == response_match::this_call));
}

BOOST_AUTO_TEST_CASE(queryAnswersStateMissingParts)
{
    const http_response_message answer = queryAnswer(request_id("r1"), {"s1", "s2"}, 3, "records");
    BOOST_TEST(answer.result_int() == 200U);
    BOOST_TEST(std::string(answer["Part-Stamps"]) == "s1, s2");
    BOOST_TEST(std::string(answer["Missing-Parts"]) == "3");
    BOOST_TEST(answer.body() == "records");
}

struct signature_case
{
    std::size_t parts;
    std::size_t bytes; ///< Of the signature of each part.
    std::size_t fields; ///< Header fields in the answer.
};

std::ostream &operator<<(std::ostream &out, const signature_case &row)
{
    return out << row.parts << " signatures of " << row.bytes << " bytes";
}

const signature_case SIGNATURE_CASES[] = {{2, 30, 1}, {20, 3400, 2}, {90, 3400, 5}, {2, 65500, 2}};

// Guards against a process that signatures too long for one header field end, and against an answer that fails or loses signatures because of their length.
BOOST_DATA_TEST_CASE(queryAnswersNameAllSignatures, boost::unit_test::data::make(SIGNATURE_CASES), row)
{
    std::vector<std::string> signatures;
    for (std::size_t part = 0; part < row.parts; ++part) {
        signatures.push_back(std::to_string(part) + "." + std::string(row.bytes - std::to_string(part).size() - 1, 's'));
    }
    const http_response_message answer = queryAnswer(request_id("r1"), signatures, 1, "records");
    BOOST_TEST(answer.result_int() == 200U);
    std::string joined;
    std::size_t fields = 0;
    for (const auto &field : answer) {
        if (field.name_string() == "Part-Stamps") {
            joined += (joined.empty() ? "" : ", ") + std::string(field.value());
            ++fields;
        }
    }
    BOOST_TEST(fields == row.fields);
    BOOST_TEST((joined == fmt::format("{}", fmt::join(signatures, ", "))));
}

BOOST_AUTO_TEST_CASE(refusalsCarryRetryAfter)
{
    const http_response_message answer = nodeAnswer(503, request_id("r1"), "no_server", std::chrono::milliseconds(125));
    BOOST_TEST(std::string(answer[http::field::retry_after]) == "0.125");
    BOOST_TEST(nodeAnswer(504, request_id("r1"), "late", duration::zero()).count(http::field::retry_after) == 0U);
}

BOOST_AUTO_TEST_CASE(answersDirectoryLookups)
{
    http_request_message question(http::verb::get, "/snipefall/resolve?name=h&region=r&zone=z1", 11);
    BOOST_TEST(isDirectoryLookup(question));
    question.target("/snipefall/resolved?zone=z1");
    BOOST_TEST(!isDirectoryLookup(question));
    BOOST_TEST(directoryAnswer({"10.0.0.1:80"}, std::chrono::seconds(2)).body() == R"({"addrs":["10.0.0.1:80"],"ttl_s":2.0})");
}

BOOST_AUTO_TEST_SUITE_END()
