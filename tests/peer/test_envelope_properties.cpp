#include <boost/test/unit_test.hpp>

#include "core/clock.h"
#include "peer/envelope_codec.h"
#include "peer/generated/peer_messages_types.h"
#include "peer/gossip_codec.h"
#include "tests/parser_properties.h"

using namespace snipefall;

namespace {

envelope_settings settingsOf(const std::string &self)
{
    return {node_id(self), incarnation(1000), {{"k1", "a secret of 16+ bytes"}}};
}

gossip_message sampleGossip()
{
    gossip_message message;
    message.target = node_id("n2");
    message.memberBuckets = {1, 2, 4294967295};
    member_update update;
    update.subject.id = node_id("n3");
    update.subject.peerAddress = "1.2.3.4:5";
    update.subject.callerAddress = "1.2.3.4:6";
    update.subject.started = incarnation(7);
    message.updates = {update, update};
    message.facts = {{"key", fact_kind::bad_version, "payload", node_id("n4"), incarnation(8), 9, std::chrono::seconds(10)}};
    return message;
}

/** Generates arbitrary bytes, or @p valid with random corruptions. */
rc::Gen<std::string> corruptedBytes(const std::string &valid)
{
    const auto damaged = rc::gen::map(generateMutations(4), [valid](const std::vector<input_mutation> &damages) { return mutateBytes(valid, damages); });
    return rc::gen::weightedOneOf<std::string>({{1, rc::gen::arbitrary<std::string>()}, {9, damaged}});
}

} // namespace

BOOST_AUTO_TEST_SUITE(envelope_properties)

// Guards against a datagram that crashes the node, and against an envelope that changes when it is encoded and decoded again.
BOOST_AUTO_TEST_CASE(envelopesRoundTripOrAreRefused)
{
    useFixedSeed();
    parse_counts counts;
    envelope_codec sender(settingsOf("a"));
    const envelope_codec receiver(settingsOf("b"));
    const peer_messages::envelope sealed = sender.seal(message_kind::gossip, node_id("b"), encodeGossip(sampleGossip()));
    const std::string valid = envelope_codec::encode(sealed);
    const bool holds = rc::check("an envelope reads back as written", [&] {
        peer_messages::envelope read;
        if (!envelope_codec::decode(*corruptedBytes(valid), read)) {
            ++counts.refused;
            return;
        }
        ++counts.accepted;
        peer_messages::envelope again;
        RC_ASSERT(envelope_codec::decode(envelope_codec::encode(read), again));
        RC_ASSERT(again == read);
        refusal_reason reason{};
        const auto opened = receiver.open(read, "x", wallClockMs(), nullptr, reason);
        RC_ASSERT(!opened || read == sealed);
    });
    BOOST_TEST(holds);
    BOOST_TEST(counts.hasAcceptedAndRefused());
}

// Guards against a payload that crashes the node, and against members and facts that change when they are forwarded. A valid authenticator
// does not rule this out, because a node that holds the key may be faulty.
BOOST_AUTO_TEST_CASE(gossip)
{
    useFixedSeed();
    parse_counts counts;
    const std::string valid = encodeGossip(sampleGossip());
    const bool holds = rc::check("gossip reads back as written", [&] {
        const auto read = decodeGossip(*corruptedBytes(valid));
        if (!read) {
            ++counts.refused;
            return;
        }
        ++counts.accepted;
        const std::string written = encodeGossip(*read);
        const auto again = decodeGossip(written);
        RC_ASSERT(again.has_value());
        RC_ASSERT(encodeGossip(*again) == written);
    });
    BOOST_TEST(holds);
    BOOST_TEST(counts.hasAcceptedAndRefused());
}

BOOST_AUTO_TEST_SUITE_END()
