#include <filesystem>
#include <fstream>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include "core/crypto.h"
#include "node/peer_keys.h"
#include "node/token_table.h"

using namespace snipefall;

namespace {

struct temporary_file
{
    temporary_file(const std::string &content, unsigned mode)
        : path((std::filesystem::temp_directory_path() / ("snipefall-file-" + std::to_string(getpid()))).string())
    {
        std::ofstream(path) << content;
        std::filesystem::permissions(path, static_cast<std::filesystem::perms>(mode));
    }
    ~temporary_file() { std::filesystem::remove(path); }

    std::string path;
};

const std::string SECRET(32, 'a');
const std::string KEY_LINE = "k1:" + SECRET + "\n";

struct key_file_case
{
    const char *name;
    std::string content;
    unsigned mode;
    std::vector<std::string> ids; ///< Empty if the file is rejected.
    std::string problem;
};

std::ostream &operator<<(std::ostream &out, const key_file_case &row)
{
    return out << row.name;
}

const key_file_case KEY_FILE_CASES[] = {
    {"one key", KEY_LINE, 0600, {"k1"}, ""},
    {"two keys during a change", "# new\nk2:" + SECRET + "\n\n" + KEY_LINE, 0600, {"k2", "k1"}, ""},
    {"no line end", "k1:" + SECRET, 0400, {"k1"}, ""},
    {"three keys", KEY_LINE + KEY_LINE + KEY_LINE, 0600, {}, "must hold one or two keys"},
    {"no key", "# none\n", 0600, {}, "must hold one or two keys"},
    {"empty", "", 0600, {}, "must hold one or two keys"},
    {"group can read", KEY_LINE, 0640, {}, "must have mode 0600"},
    {"others can read", KEY_LINE, 0604, {}, "must have mode 0600"},
    {"short secret", "k1:" + SECRET.substr(2) + "\n", 0600, {}, "at least 32 digits"},
    {"odd digits", "k1:" + SECRET + "a\n", 0600, {}, "a line must be"},
    {"no hexadecimal", "k1:" + std::string(32, 'z') + "\n", 0600, {}, "a line must be"},
    {"no id", ":" + SECRET + "\n", 0600, {}, "a line must be"},
    {"no colon", SECRET + "\n", 0600, {}, "a line must be"},
    {"second line malformed", KEY_LINE + "k2\n", 0600, {}, "a line must be"},
};

struct token_case
{
    const char *name;
    std::string content;
    std::string authorization;
    std::string expectedOperator; ///< Role and name; empty if the token identifies nobody.
    std::string problem; ///< Part of the error message if the file is rejected.
};

std::ostream &operator<<(std::ostream &out, const token_case &row)
{
    return out << row.name;
}

const std::string TOKENS = "# tokens\n\nread:clerk:" + sha256Hex("one") + "\nwrite:lead:operator:" + sha256Hex("two") + "\n";

const token_case TOKEN_CASES[] = {
    {"reader", TOKENS, "Bearer one", "read clerk", ""},
    {"writer, name with a colon", TOKENS, "Bearer two", "write lead:operator", ""},
    {"unknown token", TOKENS, "Bearer three", "", ""},
    {"no token", TOKENS, "", "", ""},
    {"empty token", TOKENS, "Bearer ", "", ""},
    {"other scheme", TOKENS, "Basic one", "", ""},
    {"digest as the token", TOKENS, "Bearer " + sha256Hex("one"), "", ""},
    {"trailing space", TOKENS, "Bearer one ", "", ""},
    {"file without tokens lets nobody in", "# none\n", "Bearer one", "", ""},
    {"unknown role", "admin:a:" + sha256Hex("one"), "", "", ":1: a line must be"},
    {"short digest", TOKENS + "read:b:abc", "", "", ":5: a line must be"},
    {"no name", "read:" + sha256Hex("one"), "", "", ":1: a line must be"},
    {"no colon", "read", "", "", ":1: a line must be"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(key_file_tests)

// Guards against a node that starts with keys that other users can read or that are too short to be secure.
BOOST_DATA_TEST_CASE(loadsPeerKeys, KEY_FILE_CASES)
{
    const temporary_file file(sample.content, sample.mode);
    const outcome<std::vector<peer_key>> keys = loadPeerKeys(file.path);
    BOOST_REQUIRE(keys.hasValue() == sample.problem.empty());
    if (!keys) {
        BOOST_TEST(keys.reason().message.find(sample.problem) != std::string::npos, keys.reason().message);
        BOOST_TEST(keys.reason().message.find(SECRET.substr(2)) == std::string::npos, "a secret is in the message");
        return;
    }
    std::vector<std::string> ids;
    for (const peer_key &key : *keys) {
        ids.push_back(key.id);
        BOOST_TEST(key.secret.size() == SECRET.size() / 2);
    }
    BOOST_TEST(ids == sample.ids, boost::test_tools::per_element());
}

// Guards against access without a valid token, as another operator, or with a role that the token file doesn't assign.
BOOST_DATA_TEST_CASE(identifiesOperators, TOKEN_CASES)
{
    const temporary_file file(sample.content, 0600);
    const outcome<token_table> table = token_table::load(file.path);
    BOOST_REQUIRE(table.hasValue() == sample.problem.empty());
    if (!table) {
        BOOST_TEST(table.reason().message.find(sample.problem) != std::string::npos, table.reason().message);
        return;
    }
    const std::optional<token_table::identity> who = table->identify(sample.authorization);
    BOOST_TEST((who ? (who->role == operator_role::write ? "write " : "read ") + who->name : "") == sample.expectedOperator);
}

// Guards against a missing token file that is treated like a table without tokens, which authorizes everybody.
BOOST_AUTO_TEST_CASE(rejectsMissingKeyFiles)
{
    BOOST_TEST((token_table::load("/nonexistent").reason().code == error_code::not_found));
    BOOST_TEST((loadPeerKeys("/nonexistent").reason().code == error_code::not_found));
    BOOST_TEST(token_table().identify("")->name == "anonymous");
}

BOOST_AUTO_TEST_SUITE_END()
