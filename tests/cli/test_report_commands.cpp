#include <filesystem>
#include <fstream>

#include <boost/test/unit_test.hpp>
#include <sys/stat.h>
#include <unistd.h>

#include "cli/command_table.h"
#include "cli/commands.h"
#include "cli/report_renderer.h"
#include "core/signing_key.h"
#include "policy/service_report.h"
#include "policy/signed_report.h"

using namespace snipefall;

namespace {

int runCommandLine(std::vector<std::string> words)
{
    words.insert(words.begin(), "snipefall");
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    char *environment[] = {nullptr};
    return static_cast<int>(command_table(allCommands()).run(static_cast<int>(words.size()), arguments.data(), environment));
}

std::string signedExample(const signing_key &key)
{
    report_input input;
    input.service = service_id("svc");
    input.closing = {{"author", "<script>alert(1)</script>"}, {"reason", "a & b"}};
    return signReport(buildServiceReport(input), key, "ana", 1000);
}

} // namespace

BOOST_AUTO_TEST_SUITE(report_command_tests)

// Guards against accepting a modified report, a report signed with another key, or a key file that other users can read.
BOOST_AUTO_TEST_CASE(exitCodesOfVerifyAndKeys)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "snipefall-cli-XXXXXX").string();
    const std::filesystem::path directory = mkdtemp(pattern.data());
    const std::string keyFile = (directory / "operator.key").string();
    const std::string file = (directory / "report.json").string();
    BOOST_TEST(runCommandLine({"keys", "generate", keyFile}) == 0);
    BOOST_TEST(runCommandLine({"keys", "generate", keyFile}) != 0);
    BOOST_TEST(runCommandLine({"keys", "show", keyFile}) == 0);
    const signing_key key = *signing_key::load(keyFile);
    const std::string text = signedExample(key);
    std::ofstream(file) << text << '\n';
    BOOST_TEST(runCommandLine({"verify", file}) == 0);
    BOOST_TEST(runCommandLine({"verify", file, "--public-key", key.publicKey()}) == 0);
    BOOST_TEST(runCommandLine({"verify", file, "--public-key", signing_key::generate()->publicKey()}) == 6);
    std::string changed = text;
    changed[changed.find("\"svc\"") + 1] = 'S';
    std::ofstream(file) << changed;
    BOOST_TEST(runCommandLine({"verify", file}) == 6);
    chmod(keyFile.c_str(), S_IRUSR | S_IWUSR | S_IRGRP);
    BOOST_TEST(runCommandLine({"keys", "show", keyFile}) != 0);
    std::filesystem::remove_all(directory);
}

// Guards against HTML injection through operators' texts, and against references to external resources.
BOOST_AUTO_TEST_CASE(htmlReportIsSelfContainedAndEscaped)
{
    const std::string page = renderReportHtml(verifyReport(signedExample(*signing_key::generate()), ""));
    BOOST_TEST(page.find("<script") == std::string::npos);
    BOOST_TEST(page.find("&lt;script&gt;") != std::string::npos);
    BOOST_TEST(page.find("a &amp; b") != std::string::npos);
    BOOST_TEST(page.find("<svg") != std::string::npos);
    BOOST_TEST(page.find("http") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
