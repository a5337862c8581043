#include "policy/signed_report.h"

#include "core/configuration_patch.h"
#include "core/signing_key.h"
#include "policy/audit_chain.h"
#include "policy/service_report.h"

namespace snipefall {

namespace {

report_verification rejected(std::string problem)
{
    report_verification check;
    check.problem = std::move(problem);
    return check;
}

bool isLowerHex(const std::string &text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

std::string signReport(const json &report, const signing_key &key, const std::string &signer, std::uint64_t signedMs)
{
    const json content = {{"report", report}, {"public_key", key.publicKey()}, {"signer", signer}, {"signed_ms", signedMs}};
    return canonicalJson({{"signed", content}, {"signature", key.sign(canonicalJson(content))}});
}

report_verification verifyReport(const std::string &text, const std::string &publicKey)
{
    const std::string body = text.ends_with('\n') ? text.substr(0, text.size() - 1) : text;
    const outcome<json> document = parseJson(body);
    if (!document || !document->is_object() || canonicalJson(*document) != body) {
        return rejected("the text is not a canonical JSON object");
    }
    const json content = document->value("signed", json());
    const std::string signature = jsonValue<std::string>(*document, "signature", "");
    const std::string key = jsonValue<std::string>(content, "public_key", "");
    if (document->size() != 2 || !isLowerHex(signature) || !verifySignature(key, canonicalJson(content), signature)) {
        return rejected("the signature does not hold");
    }
    if (!publicKey.empty() && key != publicKey) {
        return rejected("the report is signed by another key: " + keyFingerprint(key));
    }
    report_verification check;
    check.report = content.value("report", json());
    check.publicKey = key;
    check.signer = jsonValue<std::string>(content, "signer", "");
    check.signedMs = jsonValue<std::uint64_t>(content, "signed_ms", 0);
    if (jsonValue<std::string>(check.report, "format", "") != REPORT_FORMAT) {
        return rejected("the report has an unknown format");
    }
    const json audit = check.report.value("audit", json());
    if (audit.is_object()) {
        check.problem = checkAuditChain(audit.value("entries", json::array()), jsonValue<std::string>(audit, "previous_hash", ""));
        const json entries = audit.value("entries", json::array());
        if (check.problem.empty() && !entries.empty() && jsonValue<std::string>(entries.back(), "hash", "") != jsonValue<std::string>(audit, "head_hash", "")) {
            check.problem = "the last audit entry does not have the head hash";
        }
    }
    return check;
}

} // namespace snipefall
