#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <thread>

#include <fmt/format.h>

#include "cli/command_context.h"
#include "cli/command_results.h"
#include "cli/commands.h"
#include "cli/node_client.h"
#include "cli/report_renderer.h"
#include "core/clock.h"
#include "core/configuration_patch.h"
#include "core/signing_key.h"
#include "policy/audit_chain.h"
#include "policy/signed_report.h"

namespace snipefall {

namespace {

constexpr std::chrono::milliseconds CLOSE_RETRY_INTERVAL{300};

std::string userName()
{
    const char *user = std::getenv("USER");
    return user != nullptr ? user : "operator";
}

exit_code showKey(const signing_key &key, const command_context &context)
{
    if (context.asJson) {
        output_writer::document({{"public_key", key.publicKey()}, {"fingerprint", key.fingerprint()}});
    } else {
        output_writer::table({{"FIELD", "VALUE"}, {"public_key", key.publicKey()}, {"fingerprint", key.fingerprint()}});
    }
    return exit_code::success;
}

exit_code generateKey(const command_context &context)
{
    const outcome<signing_key> key = signing_key::generate();
    const outcome<bool> saved = key ? key->save(context.values.arguments[0]) : outcome<bool>(key.reason());
    return saved ? showKey(*key, context) : printFailure(saved.reason());
}

exit_code showKeyFile(const command_context &context)
{
    const outcome<signing_key> key = signing_key::load(context.values.arguments[0]);
    return key ? showKey(*key, context) : printFailure(key.reason());
}

// Verifies a signed report and prints it in the requested output format.
exit_code writeReport(const std::string &text, const std::string &output, const std::string &publicKey)
{
    const report_verification check = verifyReport(text, publicKey);
    if (!check.problem.empty()) {
        output_writer::problem(check.problem);
        return exit_code::not_verified;
    }
    if (output == "json") {
        output_writer::line(text.substr(0, text.find_last_not_of('\n') + 1));
    } else {
        output_writer::line(output == "html" ? renderReportHtml(check) : renderReportText(check));
    }
    return exit_code::success;
}

exit_code finishClosing(const command_context &context, const json &published)
{
    const std::string text = canonicalJson(published);
    if (context.asJson) {
        return writeReport(text, "json", "");
    }
    const report_verification check = verifyReport(text, "");
    if (!check.problem.empty()) {
        output_writer::problem(check.problem);
        return exit_code::not_verified;
    }
    output_writer::line(fmt::format(
        "service {} is closed; the report is signed by {} with key {}", context.values.arguments[0], check.signer, keyFingerprint(check.publicKey)));
    return exit_code::success;
}

void printClosingProgress(const json &body, std::string &lastProgress)
{
    std::string text = "state " + jsonValue<std::string>(body, "state", "");
    for (const json &node : body.value("waiting_for", json::array())) {
        text += fmt::format("; {}: {}", jsonValue<std::string>(node, "node", ""), jsonValue<std::string>(node, "reason", ""));
    }
    if (text != lastProgress) {
        output_writer::problem(text);
    }
    lastProgress = text;
}

exit_code closeService(const command_context &context)
{
    const outcome<signing_key> key = signing_key::load(context.values.text("key-file"));
    if (!key) {
        return printFailure(key.reason());
    }
    const std::string author = context.values.text("author").empty() ? userName() : context.values.text("author");
    const std::string path = "/v1/services/" + context.values.arguments[0];
    const time_point end = system_clock().now() + std::chrono::milliseconds(context.values.integer("wait-ms"));
    std::string lastProgress;
    do {
        outcome<node_response> response = context.node.post(path + "/close", {{"author", author}, {"reason", context.values.text("reason")}});
        if (response && response->status == 200 && response->body.contains("collected")) {
            const std::string text = signReport(response->body["collected"], *key, author, wallClockMs());
            response = context.node.post(path + "/report", json::parse(text));
        }
        if (response && response->status != 200 && response->status != 503) {
            return printErrorResponse(*response);
        }
        if (!response && response.reason().code == error_code::unavailable) {
            return printFailure(response.reason());
        }
        // Retries after a lost response or status 503 (platform unavailable), because every step of the closing is idempotent.
        if (response && response->status == 200) {
            if (response->body.contains("published")) {
                return finishClosing(context, response->body["published"]);
            }
            printClosingProgress(response->body, lastProgress);
        }
        std::this_thread::sleep_for(CLOSE_RETRY_INTERVAL);
    } while (system_clock().now() < end);
    output_writer::problem("the closing is not finished; repeat the command to continue it");
    return exit_code::unknown;
}

exit_code showReport(const command_context &context)
{
    const outcome<node_response> response = context.node.get("/v1/services/" + context.values.arguments[0] + "/report");
    if (!response || response->status != 200) {
        return response ? printErrorResponse(*response) : printFailure(response.reason());
    }
    const std::string text = canonicalJson(response->body);
    if (const std::string &path = context.values.text("file"); !path.empty()) {
        std::ofstream file(path, std::ios::binary);
        if (!(file << text << '\n')) {
            output_writer::problem("can't write " + path);
            return exit_code::failed;
        }
    }
    return writeReport(text, context.values.text("output"), "");
}

exit_code verifyFile(const command_context &context)
{
    std::ifstream file(context.values.arguments[0], std::ios::binary);
    if (!file) {
        output_writer::problem("can't read " + context.values.arguments[0]);
        return exit_code::usage;
    }
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const std::string &expected = context.values.text("public-key");
    const report_verification check = verifyReport(text, expected);
    const json result = {{"holds", check.problem.empty()},
                         {"problem", check.problem},
                         {"key_checked", !expected.empty()},
                         {"fingerprint", check.publicKey.empty() ? "" : keyFingerprint(check.publicKey)},
                         {"signer", check.signer},
                         {"covers", "all bytes: totals, outcomes, groups, nodes, gaps, moves, unknown requests, closing and audit entries"}};
    if (context.asJson) {
        output_writer::document(result);
    } else if (check.problem.empty()) {
        output_writer::line(fmt::format("holds: signed by {} with key {}{}",
                                        check.signer,
                                        keyFingerprint(check.publicKey),
                                        expected.empty() ? "; give --public-key to check that it is the right key" : ", the key given"));
        output_writer::line("the signature covers " + result["covers"].get<std::string>());
    } else {
        output_writer::problem("does not hold: " + check.problem);
    }
    return check.problem.empty() ? exit_code::success : exit_code::not_verified;
}

outcome<json> readAudit(const command_context &context, std::uint64_t after)
{
    json entries = json::array();
    for (;;) {
        const outcome<node_response> response = context.node.get("/v1/audit?after=" + std::to_string(after));
        if (!response) {
            return response.reason();
        }
        if (response->status != 200) {
            return failure{error_code::internal, fmt::format("status {}: {}", response->status, response->body.dump())};
        }
        const json page = response->body.value("entries", json::array());
        if (page.empty()) {
            return entries;
        }
        const std::uint64_t next = jsonValue<std::uint64_t>(page.back(), "sequence", 0);
        if (next <= after) {
            return failure{error_code::internal, "the entries are not in order"};
        }
        after = next;
        entries.insert(entries.end(), page.begin(), page.end());
    }
}

exit_code verifyAudit(const json &entries)
{
    const bool startsAtFirst = entries.empty() || jsonValue<std::uint64_t>(entries.front(), "sequence", 0) == 1;
    const std::string problem = startsAtFirst ? checkAuditChain(entries, "") : "the first entry is missing";
    if (!problem.empty()) {
        output_writer::problem("does not hold: " + problem);
        return exit_code::not_verified;
    }
    const std::string head = entries.empty() ? "none" : jsonValue<std::string>(entries.back(), "hash", "");
    output_writer::line(fmt::format("holds: {} entries, head hash {}", entries.size(), head));
    return exit_code::success;
}

exit_code showAudit(const command_context &context)
{
    const bool verify = context.values.flag("verify");
    const outcome<json> entries = readAudit(context, verify ? 0 : static_cast<std::uint64_t>(context.values.integer("after")));
    if (!entries) {
        return printFailure(entries.reason());
    }
    if (verify) {
        return verifyAudit(*entries);
    }
    const std::string &who = context.values.text("who");
    json shown = json::array();
    std::vector<std::vector<std::string>> rows{{"SEQUENCE", "AT_MS", "WHO", "WHAT", "FROM_VERSION", "WHY"}};
    for (const json &entry : *entries) {
        if (!who.empty() && jsonValue<std::string>(entry, "who", "") != who) {
            continue;
        }
        shown.push_back(entry);
        rows.push_back({std::to_string(jsonValue<std::uint64_t>(entry, "sequence", 0)),
                        std::to_string(jsonValue<std::uint64_t>(entry, "at_ms", 0)),
                        jsonValue<std::string>(entry, "who", ""),
                        jsonValue<std::string>(entry, "what", ""),
                        std::to_string(jsonValue<std::uint64_t>(entry, "from_version", 0)),
                        jsonValue<std::string>(entry, "why", "")});
    }
    context.asJson ? output_writer::document(shown) : output_writer::table(rows);
    return exit_code::success;
}

} // namespace

std::vector<command> reportCommands()
{
    const std::vector<setting_definition> closeSettings = {
        {"key-file", setting_kind::file, "", true, 0, 0, "The operator's Ed25519 key (mode 0600); it never leaves this machine."},
        {"reason", setting_kind::text, "", true, 0, 0, "Why the service is closed; part of the report."},
        {"author", setting_kind::text, "", false, 0, 0, "Who closes the service; a token's name goes before it."},
        {"wait-ms", setting_kind::integer, "120000", false, 1, 3600000, "Time to wait for the closing."},
    };
    const std::vector<setting_definition> auditSettings = {
        {"after", setting_kind::integer, "0", false, 0, 1L << 60, "Show only entries with a higher number."},
        {"who", setting_kind::text, "", false, 0, 0, "Show only entries of this operator or \"node NAME\"."},
        {"verify", setting_kind::flag, "false", false, 0, 0, "Check the hash chain from the first entry."},
    };
    return {
        {"keys generate", "FILE", 1, "Make a signing key; an existing file is never replaced.", "snipefall keys generate operator.key", {}, generateKey},
        {"keys show", "FILE", 1, "Show the public key and fingerprint of a signing key.", "snipefall keys show operator.key", {}, showKeyFile},
        {"close",
         "SERVICE",
         1,
         "Close a service and publish its signed report; repeat the command to continue a closing.",
         "snipefall close counter-desk --key-file operator.key --reason \"end of season\" --node 10.0.0.1:7002",
         closeSettings,
         closeService},
        {"report",
         "SERVICE",
         1,
         "Show the signed report of a closed service.",
         "snipefall report counter-desk --output html --node 10.0.0.1:7002",
         {{"file", setting_kind::text, "", false, 0, 0, "Also write the signed report to this file, for snipefall verify."}},
         showReport,
         {"text", "json", "html"}},
        {"verify",
         "FILE",
         1,
         "Check a signed report without a node.",
         "snipefall verify report.json --public-key 0f1e...",
         {{"public-key", setting_kind::text, "", false, 0, 0, "The signer's public key in hexadecimal, as snipefall keys show tells it."}},
         verifyFile},
        {"audit", "", 0, "List the audit trail, or check its hash chain.", "snipefall audit --after 120 --node 10.0.0.1:7002", auditSettings, showAudit},
    };
}

} // namespace snipefall
