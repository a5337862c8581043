#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "core/configuration_patch.h"
#include "core/signing_key.h"
#include "policy/audit_chain.h"
#include "policy/service_report.h"
#include "policy/signed_report.h"

using namespace snipefall;

namespace {

answer_record makeRecord(std::mt19937_64 &random, const std::string &service)
{
    answer_record record;
    record.service = service_id(service);
    record.version = version_id("v" + std::to_string(random() % 2));
    record.snapshot = snapshot_id("s" + std::to_string(random() % 2));
    record.request = request_id("r" + std::to_string(random()));
    record.outcome = static_cast<answer_outcome>(random() % 6);
    record.itemsTotal = 100;
    record.itemsSeen = random() % 101;
    record.firstSubRequests = 3;
    record.latency = std::chrono::milliseconds(random() % 900);
    return record;
}

std::uint64_t answersOf(const json &report, const std::string &outcomeName)
{
    return jsonValue<std::uint64_t>(report["outcomes"].value(outcomeName, json::object()), "answers", 0);
}

json exampleReport()
{
    std::mt19937_64 random(7);
    node_account account(node_id("n1"), incarnation(1000), 1000);
    for (int i = 0; i < 20; ++i) {
        account.add(makeRecord(random, "svc"));
    }
    account.prepareSave(2000);
    report_input input;
    input.service = service_id("svc");
    input.accounts = {account};
    input.collectedMs = 5000;
    json entries = json::array();
    for (int i = 1; i <= 3; ++i) {
        json entry = {{"sequence", i}, {"who", "ana"}, {"previous_hash", entries.empty() ? "" : entries.back()["hash"].get<std::string>()}};
        entry["hash"] = auditEntryHash(entry);
        entries.push_back(entry);
    }
    input.audit = {{"entries", entries}, {"previous_hash", ""}, {"head_hash", entries.back()["hash"]}};
    return buildServiceReport(input);
}

} // namespace

BOOST_AUTO_TEST_SUITE(service_report_tests)

// Guards against answers that are counted twice or missing without a reported gap, when copies of accounts arrive out of order, nodes restart and some crash
// before their last save.
BOOST_AUTO_TEST_CASE(reportCountsMatchOutsideGaps)
{
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 60; ++round) {
        report_input input;
        input.service = service_id("svc");
        input.collectedMs = 1'000'000;
        input.closing = {{"configuration_version", 4U}};
        std::map<std::string, std::uint64_t> saved;
        std::map<std::pair<std::string, std::uint64_t>, bool> expectGap;
        for (int node = 0; node < 3; ++node) {
            for (std::uint64_t start = 10'000; start < 40'000; start += 10'000) {
                const node_id name("n" + std::to_string(node));
                node_account account(name, incarnation(start), start);
                std::vector<node_account> copies;
                std::vector<std::string> unsaved;
                for (int i = 0; i < 30; ++i) {
                    const answer_record record = makeRecord(random, random() % 3 == 0 ? "other" : "svc");
                    account.add(record);
                    if (record.service == input.service) {
                        unsaved.emplace_back(toString(record.outcome));
                    }
                    if (random() % 5 == 0) {
                        account.prepareSave(start + 100 + static_cast<std::uint64_t>(i));
                        copies.push_back(account);
                        for (const std::string &kind : std::exchange(unsaved, {})) {
                            ++saved[kind];
                        }
                    }
                }
                const bool final = random() % 2 == 0;
                if (!final && random() % 2 == 0 && !copies.empty()) {
                    // An older configuration closed the service, which was opened again afterwards.
                    copies.back().closeService(input.service, config_version(3));
                }
                if (final) {
                    random() % 2 == 0 ? account.close() : account.closeService(input.service, config_version(4));
                    account.prepareSave(start + 5000);
                    copies.push_back(account);
                    for (const std::string &kind : unsaved) {
                        ++saved[kind];
                    }
                }
                expectGap[{name.str(), start}] = !final;
                input.members[name].started = incarnation(start + 3);
                input.members[name].refutations = 3;
                std::shuffle(copies.begin(), copies.end(), random);
                input.accounts.insert(input.accounts.end(), copies.begin(), copies.end());
            }
        }
        const json report = buildServiceReport(input);
        for (const auto &[kind, count] : saved) {
            BOOST_TEST(answersOf(report, kind) == count);
        }
        std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> gaps;
        for (const json &gap : report["gaps"]) {
            BOOST_TEST(gap["until_ms"].get<std::uint64_t>() >= gap["saved_to_ms"].get<std::uint64_t>());
            gaps[{gap["node"], gap["incarnation"].get<std::uint64_t>() / 10'000 * 10'000}] = gap["until_ms"];
        }
        for (const auto &[key, missing] : expectGap) {
            BOOST_TEST(gaps.count(key) == (missing ? 1U : 0U));
        }
        const auto unknown = answersOf(report, "unknown");
        BOOST_TEST(report["unknown_requests"].size() == unknown);
    }
}

// Guards against a changed or removed byte at any position of the signed text, including the audit chain, that verification doesn't detect.
BOOST_AUTO_TEST_CASE(verificationDetectsAnyChangedByte)
{
    const signing_key key = *signing_key::generate();
    const std::string text = signReport(exampleReport(), key, "ana", 6000) + "\n";
    BOOST_TEST(verifyReport(text, key.publicKey()).problem == "");
    BOOST_TEST(!verifyReport(text, signing_key::generate()->publicKey()).problem.empty());
    std::mt19937_64 random(11);
    std::size_t undetectedChanges = 0;
    for (std::size_t position = 0; position < text.size(); ++position) {
        for (const char change : {static_cast<char>(1), static_cast<char>(' '), static_cast<char>(1 + random() % 255)}) {
            std::string changed = text;
            changed[position] = static_cast<char>(changed[position] ^ change);
            undetectedChanges += verifyReport(changed, "").problem.empty() ? 1 : 0;
            changed.erase(position, 1 + random() % 3);
            // The text without its final line feed is still valid.
            undetectedChanges += changed != text.substr(0, text.size() - 1) && verifyReport(changed, "").problem.empty() ? 1 : 0;
        }
    }
    BOOST_TEST(undetectedChanges == 0U);
}

// Guards against acceptance of a correctly signed report whose audit chain has a changed, removed or reordered entry.
BOOST_AUTO_TEST_CASE(verificationDetectsBrokenAuditChain)
{
    const signing_key key = *signing_key::generate();
    for (int fault = 0; fault < 5; ++fault) {
        json report = exampleReport();
        json &entries = report["audit"]["entries"];
        switch (fault) {
        case 0:
            entries[1]["who"] = "eve";
            break;
        case 1:
            entries.erase(1);
            break;
        case 2:
            std::swap(entries[0], entries[1]);
            break;
        case 3:
            entries.erase(2);
            break;
        default:
            report["audit"]["head_hash"] = "00";
        }
        BOOST_TEST_CONTEXT(fault)
        {
            BOOST_TEST(!verifyReport(signReport(report, key, "ana", 1), "").problem.empty());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
