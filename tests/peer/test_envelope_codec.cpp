#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

#include "core/clock.h"
#include "peer/allowed_peers.h"
#include "peer/envelope_codec.h"
#include "peer/generated/peer_messages_types.h"
#include "peer/gossip_codec.h"
#include "peer/replay_guard.h"

using namespace snipefall;

namespace {

const peer_key OLD_KEY{"k1", "old secret of 16+ bytes"};
const peer_key NEW_KEY{"k2", "new secret of 16+ bytes"};
const peer_key FORGED_KEY{"k1", "not the secret of the id"};

envelope_settings settingsOf(const std::string &self, std::vector<peer_key> keys)
{
    return {node_id(self), incarnation(1000), std::move(keys)};
}

struct rotation_case
{
    const char *name;
    std::vector<peer_key> sender;
    std::vector<peer_key> receiver;
    std::optional<refusal_reason> refused;
};

std::ostream &operator<<(std::ostream &out, const rotation_case &row)
{
    return out << row.name;
}

const rotation_case ROTATION_CASES[] = {
    {"same key", {OLD_KEY}, {OLD_KEY}, std::nullopt},
    {"receiver has both keys", {OLD_KEY}, {NEW_KEY, OLD_KEY}, std::nullopt},
    {"sender signs with the new key", {NEW_KEY, OLD_KEY}, {OLD_KEY, NEW_KEY}, std::nullopt},
    {"receiver doesn't have the new key yet", {NEW_KEY, OLD_KEY}, {OLD_KEY}, refusal_reason::unknown_key},
    {"receiver dropped the old key", {OLD_KEY}, {NEW_KEY}, refusal_reason::unknown_key},
    {"same key id with another secret", {FORGED_KEY}, {OLD_KEY}, refusal_reason::wrong_authenticator},
};

struct sequence_case
{
    const char *name;
    std::uint64_t started;
    std::uint64_t sequence;
    std::optional<refusal_reason> refused;
};

std::ostream &operator<<(std::ostream &out, const sequence_case &row)
{
    return out << row.name;
}

// Each case is sent after the sequences 5 and 9000 of incarnation 10 were accepted.
const sequence_case SEQUENCE_CASES[] = {
    {"repeat of the highest", 10, 9000, refusal_reason::replayed},
    {"next", 10, 9001, std::nullopt},
    {"overtaken within the window", 10, 9000 - replay_guard::SEQUENCE_WINDOW + 1, std::nullopt},
    {"before the window", 10, 9000 - replay_guard::SEQUENCE_WINDOW, refusal_reason::replayed},
    {"repeat that left the window", 10, 5, refusal_reason::replayed},
    {"zero", 10, 0, refusal_reason::replayed},
    {"older incarnation", 9, 9001, refusal_reason::stale_incarnation},
    {"newer incarnation starts again", 11, 1, std::nullopt},
};

gossip_message randomMessage(std::mt19937_64 &random)
{
    const auto text = [&](std::size_t limit) { return std::string(random() % limit, static_cast<char>('a' + random() % 26)); };
    gossip_message message;
    message.type = static_cast<gossip_type>(random() % 7);
    message.probe = random() >> 1U;
    message.target = node_id(text(20));
    message.targetAddress = text(22);
    message.configVersion = config_version(random() >> 1U);
    message.memberDigest = random();
    message.factDigest = random();
    message.memberBuckets.assign(random() % 2 * 32, static_cast<std::uint32_t>(random()));
    for (std::size_t i = random() % 5; i > 0; --i) {
        member_update update;
        update.subject.id = node_id("n" + text(30));
        update.subject.peerAddress = "1.2.3.4:5";
        update.subject.callerAddress = text(22);
        update.subject.started = incarnation(1ULL << (random() % 45));
        update.subject.refutations = random() % 2 * (random() % (update.subject.started.value() + 1));
        update.subject.configVersion = config_version(random() % 100000);
        update.subject.state = static_cast<member_state>(random() % 4);
        update.accuser = node_id(text(30));
        message.updates.push_back(update);
    }
    for (std::size_t i = random() % 4; i > 0; --i) {
        fact item;
        item.key = "k" + text(60);
        item.kind = static_cast<fact_kind>(random() % 9);
        item.payload = text(100);
        item.origin = node_id(text(30));
        item.originIncarnation = incarnation(1ULL << (random() % 45));
        item.sequence = random() % 100000;
        item.lifetime = std::chrono::seconds(random() % 86400);
        message.facts.push_back(item);
    }
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(envelope_codec_tests)

// Guards against nodes that refuse each other during a key rotation, and against forged keys.
BOOST_DATA_TEST_CASE(keyRotationAcceptsOldAndNewKey, ROTATION_CASES)
{
    envelope_codec sender(settingsOf("a", sample.sender));
    const envelope_codec receiver(settingsOf("b", sample.receiver));
    refusal_reason reason{};
    const auto opened = receiver.open(sender.seal(message_kind::gossip, node_id("b"), "payload"), "x", wallClockMs(), nullptr, reason);
    BOOST_REQUIRE_EQUAL(opened.has_value(), !sample.refused.has_value());
    if (opened) {
        BOOST_TEST(opened->payload == "payload");
    } else {
        BOOST_TEST(toString(reason) == toString(*sample.refused));
    }
}

// Guards against accepting replays, and against refusing datagrams that were merely reordered.
BOOST_DATA_TEST_CASE(sequencesAreAcceptedOnce, SEQUENCE_CASES)
{
    replay_guard guard(600000);
    BOOST_REQUIRE(!guard.accept(node_id("a"), incarnation(10), 5, 1000));
    BOOST_REQUIRE(!guard.accept(node_id("a"), incarnation(10), 9000, 1000));
    const auto refused = guard.accept(node_id("a"), incarnation(sample.started), sample.sequence, 2000);
    BOOST_REQUIRE_EQUAL(refused.has_value(), sample.refused.has_value());
    if (refused) {
        BOOST_TEST(toString(*refused) == toString(*sample.refused));
    } else {
        BOOST_TEST(guard.accept(node_id("a"), incarnation(sample.started), sample.sequence, 2000).has_value());
    }
}

// Guards against messages whose encoding exceeds the size bound used to fill datagrams, and against fields lost in encoding.
BOOST_AUTO_TEST_CASE(gossipRoundTripsWithinSizeBound)
{
    std::mt19937_64 random(5);
    for (int i = 0; i < 2000; ++i) {
        const gossip_message message = randomMessage(random);
        const std::string bytes = encodeGossip(message);
        BOOST_REQUIRE_LE(bytes.size(), encodedSizeBound(message));
        const auto decoded = decodeGossip(bytes);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_REQUIRE(encodeGossip(*decoded) == bytes);
        BOOST_REQUIRE_EQUAL(decoded->updates.size(), message.updates.size());
        for (std::size_t k = 0; k < message.updates.size(); ++k) {
            BOOST_REQUIRE(decoded->updates[k].subject.firstStarted() == message.updates[k].subject.firstStarted());
        }
    }
}

// Fuzz test that combines flipped bits with truncated or repeated bytes. Guards against accepting or crashing on corrupted datagrams.
BOOST_AUTO_TEST_CASE(corruptedDatagramsAreRefused)
{
    std::mt19937_64 random(6);
    envelope_codec sender(settingsOf("a", {OLD_KEY}));
    const envelope_codec receiver(settingsOf("b", {OLD_KEY}));
    for (int i = 0; i < 5000; ++i) {
        const std::string intact = envelope_codec::encode(sender.seal(message_kind::gossip, node_id("b"), encodeGossip(randomMessage(random))));
        std::string bytes = intact;
        for (std::size_t flips = 1 + random() % 3; flips > 0; --flips) {
            char &byte = bytes[random() % bytes.size()];
            byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << (random() % 8)));
        }
        const std::size_t at = random() % bytes.size();
        if (random() % 2 == 0) {
            bytes.resize(at);
        } else {
            bytes.insert(at, bytes.substr(at, random() % 20));
        }
        peer_messages::envelope envelope;
        if (bytes == intact || !envelope_codec::decode(bytes, envelope)) {
            continue;
        }
        refusal_reason reason{};
        const auto opened = receiver.open(envelope, "x", wallClockMs(), nullptr, reason);
        // Corruption outside of all fields may leave the decoded content unchanged.
        BOOST_REQUIRE(!opened || envelope_codec::encode(envelope) == intact);
        // The payload decoder must not crash on corrupted input either, although the authenticator normally protects it.
        (void)decodeGossip(envelope.payload);
    }
}

// Guards against an allow list that accepts addresses outside of its networks or refuses addresses within them.
BOOST_AUTO_TEST_CASE(allowedPeersMatchNetworksAndAddresses)
{
    const auto allowed = allowed_peers::parse({"10.1.0.0/16", "192.168.7.9"});
    BOOST_REQUIRE(allowed);
    for (const char *ip : {"10.1.0.1", "10.1.255.255", "192.168.7.9"}) {
        BOOST_TEST(allowed->allows(ip), ip);
    }
    for (const char *ip : {"10.2.0.1", "192.168.7.8", "", "::1", "10.1.0"}) {
        BOOST_TEST(!allowed->allows(ip), ip);
    }
    BOOST_TEST(allowed_peers().allows("1.2.3.4"));
    for (const char *entry : {"10.1.0.0/33", "10.1.0/16", "host", "10.1.0.0/", "10.1.0.0/8x"}) {
        BOOST_TEST(!allowed_peers::parse({entry}).hasValue(), entry);
    }
}

BOOST_AUTO_TEST_SUITE_END()
