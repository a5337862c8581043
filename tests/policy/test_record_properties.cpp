#include <boost/test/unit_test.hpp>

#include "policy/audit_chain.h"
#include "policy/move_record.h"
#include "policy/permit_record.h"
#include "tests/parser_properties.h"
#include "tests/policy/move_samples.h"

using namespace snipefall;

namespace {

const json PERMITS = json::parse(R"({"epoch": 4, "ring": [{"node": "n1", "incarnation": 9, "slots": 2, "connections": 4},
    {"node": "n2", "incarnation": 1, "slots": 0, "connections": 0}, {"node": "n3", "incarnation": 2, "slots": 4294967295, "connections": 1}]})");

outcome<move_record> readMove(const std::string &text)
{
    const outcome<json> document = parseJson(text);
    return document ? parseMoveRecord(*document) : document.reason();
}

/** Appends an entry with the next sequence number and its hash. */
void addAuditEntry(json &entries, const std::string &previousHash)
{
    json entry = {{"id", "n1-" + std::to_string(entries.size())}, {"who", "ana"}, {"what", "patch"}, {"why", "test"}, {"at_ms", 5}, {"from_version", 1}};
    entry["sequence"] = entries.size() + 1;
    entry["previous_hash"] = entries.empty() ? previousHash : entries.back()["hash"].get<std::string>();
    entry["hash"] = auditEntryHash(entry);
    entries.push_back(std::move(entry));
}

outcome<json> readAuditEntries(const std::string &text)
{
    const outcome<json> document = parseJson(text);
    if (!document) {
        return document.reason();
    }
    const std::string problem = checkAuditChain(*document, "start");
    return problem.empty() ? document : failure{error_code::invalid_argument, problem};
}

} // namespace

BOOST_AUTO_TEST_SUITE(record_properties)

// Guards against a malformed object from the platform that crashes the node, and against a permit record that changes when another node rewrites it.
BOOST_AUTO_TEST_CASE(permitRecordRoundTrip)
{
    const auto read = [](const std::string &text) { return permit_record::fromJson(text); };
    const auto write = [](const permit_record &record) { return record.toJson(); };
    checkParser("a permit record reads back as written", PERMITS, read, write, std::equal_to<>());
}

// Guards against a malformed object from the platform that crashes the node, and against a move record that changes when another node rewrites it.
BOOST_AUTO_TEST_CASE(moveRecordRoundTrip)
{
    const json valid = toJson(sampleMoveAt(move_state::growing, 20, SAMPLE_START_MS + 5000));
    const auto write = [](const move_record &record) { return toJson(record).dump(); };
    checkParser("a move record reads back as written", valid, readMove, write, std::equal_to<>());
}

// Guards against malformed audit entries that crash the node or the command line tool during verification, and against modified entries that pass it.
BOOST_AUTO_TEST_CASE(auditChainDetectsChangedEntries)
{
    json valid = json::array();
    for (int i = 0; i < 3; ++i) {
        addAuditEntry(valid, "start");
    }
    const auto write = [](const json &entries) { return entries.dump(); };
    checkParser("audit entries read back as written", valid, readAuditEntries, write, std::equal_to<>());

    int changedChains = 0;
    const bool holds = rc::check("no changed chain passes the check", [&] {
        const json changed = mutateDocument(valid, *generateMutations(3));
        // A chain truncated at its end is valid in itself; only the number of entries reveals the truncation.
        if (!changed.is_array() || changed.size() < valid.size() || changed == valid) {
            return;
        }
        ++changedChains;
        RC_ASSERT(!checkAuditChain(changed, "start").empty());
    });
    BOOST_TEST(changedChains > 0);
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
