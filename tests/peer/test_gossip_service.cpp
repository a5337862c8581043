#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <mutex>
#include <thread>

#include <thrift/transport/TSocket.h>

#include "core/clock.h"
#include "peer/generated/peer_messages_types.h"
#include "peer/gossip_codec.h"
#include "peer/gossip_service.h"

using namespace snipefall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const peer_key KEY{"k1", "a secret for these tests"};
constexpr auto ECHO = static_cast<message_kind>(100);
constexpr auto FAILING = static_cast<message_kind>(101);
constexpr auto NOT_REGISTERED = static_cast<message_kind>(102);

/** Waits until other threads make the condition true. The limit is reached only when the test fails. */
bool eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < 3000; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
}

gossip_service_settings settingsOf(const std::string &id, std::vector<std::string> seeds = {})
{
    gossip_service_settings settings;
    settings.self.id = node_id(id);
    settings.self.peerAddress = "127.0.0.1:0";
    settings.self.callerAddress = "127.0.0.1:1";
    settings.self.domain = failure_domain_id("fd-1");
    settings.self.started = incarnation(wallClockMs());
    settings.keys = {KEY};
    settings.seeds = std::move(seeds);
    settings.exchange.maxFrameBytes = 100000;
    return settings;
}

/** A peer that sends arbitrary bytes or tampered messages. */
class faulty_peer
{
public:
    explicit faulty_peer(const std::string &id = "bad", const peer_key &key = KEY)
        : m_codec({node_id(id), incarnation(wallClockMs()), {key}})
        , m_udp(4000)
    {
        BOOST_REQUIRE(m_udp.bind({"127.0.0.1", 0}));
    }

    peer_messages::envelope sealed(message_kind kind = message_kind::gossip, const std::string &recipient = "victim")
    {
        return m_codec.seal(kind, node_id(recipient), encodeGossip(gossip_message()));
    }

    void send(const std::string &address, const std::string &bytes) { m_udp.send(*socket_address::parse(address), bytes); }

private:
    envelope_codec m_codec;
    udp_transport m_udp;
};

struct refusal_case
{
    refusal_reason reason;
    std::function<void(const std::string &victim)> attack;
};

std::ostream &operator<<(std::ostream &out, const refusal_case &row)
{
    return out << toString(row.reason);
}

void sendTampered(const std::string &victim, const std::function<void(peer_messages::envelope &)> &change)
{
    faulty_peer peer;
    peer_messages::envelope envelope = peer.sealed();
    change(envelope);
    peer.send(victim, envelope_codec::encode(envelope));
}

const refusal_case REFUSAL_CASES[] = {
    {refusal_reason::oversized, [](const std::string &victim) { faulty_peer().send(victim, std::string(1201, 'x')); }},
    {refusal_reason::malformed, [](const std::string &victim) { faulty_peer().send(victim, "not thrift"); }},
    {refusal_reason::malformed, [](const std::string &victim) { faulty_peer().send(victim, ""); }},
    {refusal_reason::malformed,
     [](const std::string &victim) {
         faulty_peer peer;
         const std::string bytes = envelope_codec::encode(peer.sealed());
         peer.send(victim, bytes.substr(0, bytes.size() / 2));
     }},
    {refusal_reason::malformed,
     [](const std::string &victim) {
         envelope_codec codec({node_id("bad"), incarnation(1), {KEY}});
         faulty_peer().send(victim, envelope_codec::encode(codec.seal(message_kind::gossip, node_id(), "no gossip")));
     }},
    {refusal_reason::unknown_version, [](const std::string &victim) { sendTampered(victim, [](auto &envelope) { envelope.protocolVersion = 2; }); }},
    {refusal_reason::unknown_key, [](const std::string &victim) { sendTampered(victim, [](auto &envelope) { envelope.keyId = "k9"; }); }},
    {refusal_reason::wrong_authenticator,
     [](const std::string &victim) {
         faulty_peer peer("bad", {"k1", "another secret of 16 bytes"});
         peer.send(victim, envelope_codec::encode(peer.sealed()));
     }},
    {refusal_reason::wrong_authenticator, [](const std::string &victim) { sendTampered(victim, [](auto &envelope) { envelope.sequence += 1; }); }},
    {refusal_reason::wrong_authenticator, [](const std::string &victim) { sendTampered(victim, [](auto &envelope) { envelope.authenticator.clear(); }); }},
    {refusal_reason::wrong_recipient,
     [](const std::string &victim) {
         faulty_peer peer;
         peer.send(victim, envelope_codec::encode(peer.sealed(message_kind::gossip, "somebody else")));
     }},
    {refusal_reason::own_message,
     [](const std::string &victim) {
         faulty_peer peer("victim");
         peer.send(victim, envelope_codec::encode(peer.sealed()));
     }},
    {refusal_reason::replayed,
     [](const std::string &victim) {
         faulty_peer peer;
         const std::string bytes = envelope_codec::encode(peer.sealed());
         peer.send(victim, bytes);
         peer.send(victim, bytes);
     }},
    {refusal_reason::unknown_kind,
     [](const std::string &victim) {
         faulty_peer peer;
         peer.send(victim, envelope_codec::encode(peer.sealed(ECHO)));
     }},
};

struct exchange_case
{
    const char *name;
    message_kind kind;
    std::size_t bytes;
    const char *code; ///< "" for success.
};

std::ostream &operator<<(std::ostream &out, const exchange_case &row)
{
    return out << row.name;
}

const exchange_case EXCHANGE_CASES[] = {
    {"answered", ECHO, 5, ""},
    {"large", ECHO, 90000, ""},
    {"failure of the handler", FAILING, 5, "conflict"},
    {"kind without handler", NOT_REGISTERED, 5, "unknown_result"},
    {"above the frame limit of the sender", ECHO, 100001, "invalid_argument"},
};

void registerHandlers(gossip_service &service)
{
    service.registerHandler(ECHO, [](const peer_message &request) -> outcome<std::string> { return request.payload; });
    service.registerHandler(FAILING, [](const peer_message &) -> outcome<std::string> { return failure{error_code::conflict, "version 3"}; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(gossip_service_tests)

// Guards against invalid datagrams from peers that are processed or make the node fail.
BOOST_DATA_TEST_CASE(invalidDatagramsAreRefusedAndCounted, REFUSAL_CASES)
{
    gossip_service victim(settingsOf("victim"), {});
    BOOST_REQUIRE(!victim.start());
    sample.attack(victim.self().peerAddress);
    BOOST_TEST(eventually([&] { return victim.refusals().count(sample.reason) == 1; }));
    BOOST_TEST(victim.refusals().total() == 1U);
    BOOST_TEST(victim.members().empty());
}

// Guards against accepting messages from outside of the allowed networks over UDP or TCP.
BOOST_AUTO_TEST_CASE(addressesOutsideAllowedNetworksAreRefused)
{
    gossip_service_settings settings = settingsOf("victim");
    settings.allowedPeers = {"10.0.0.0/8"};
    gossip_service victim(settings, {});
    registerHandlers(victim);
    BOOST_REQUIRE(!victim.start());
    gossip_service stranger(settingsOf("stranger", {victim.self().peerAddress}), {});
    BOOST_REQUIRE(!stranger.start());
    BOOST_TEST(!stranger.exchange(victim.self().peerAddress, node_id("victim"), ECHO, "x", seconds(10)).hasValue());
    BOOST_TEST(eventually([&] { return victim.refusals().count(refusal_reason::address_not_allowed) >= 2; }));
    BOOST_TEST(victim.members().empty());
}

// Guards against exchanges that lose the response or report a wrong outcome.
BOOST_DATA_TEST_CASE(exchangesReportTheirOutcome, EXCHANGE_CASES)
{
    gossip_service server(settingsOf("server"), {});
    registerHandlers(server);
    BOOST_REQUIRE(!server.start());
    gossip_service client(settingsOf("client"), {});
    BOOST_REQUIRE(!client.start());
    const std::string payload(sample.bytes, 'x');
    const auto answer = client.exchange(server.self().peerAddress, node_id("server"), sample.kind, payload, seconds(20));
    BOOST_TEST((answer ? std::string() : std::string(toString(answer.reason().code))) == sample.code);
    if (answer) {
        BOOST_TEST(answer->payload == payload);
        BOOST_TEST(answer->sender.str() == "server");
    }
}

// Guards against frames that make the server allocate memory or stop: bytes that are not Thrift, and a frame that exceeds the limit of the
// receiver but not that of the sender.
BOOST_AUTO_TEST_CASE(invalidFramesAreRefusedWithoutStoppingServer)
{
    gossip_service server(settingsOf("server"), {});
    registerHandlers(server);
    BOOST_REQUIRE(!server.start());
    const auto address = socket_address::parse(server.self().peerAddress);
    const std::pair<refusal_reason, std::string> rows[] = {
        {refusal_reason::oversized, std::string("\x7f\xff\xff\xff", 4)},
        {refusal_reason::malformed, std::string("\x00\x00\x00\x04", 4) + "junk"},
    };
    for (const auto &[reason, bytes] : rows) {
        apache::thrift::transport::TSocket socket(address->ip, address->port);
        socket.open();
        socket.write(reinterpret_cast<const std::uint8_t *>(bytes.data()), static_cast<std::uint32_t>(bytes.size()));
        BOOST_TEST(eventually([&, counted = reason] { return server.refusals().count(counted) == 1; }), toString(reason));
    }
    gossip_service_settings settings = settingsOf("client");
    settings.exchange.maxFrameBytes = 1000000;
    gossip_service client(settings, {});
    BOOST_REQUIRE(!client.start());
    const std::string large(200000, 'x');
    BOOST_TEST(toString(client.exchange(server.self().peerAddress, node_id("server"), ECHO, large, seconds(20)).reason().code) == "unknown_result");
    BOOST_TEST(client.exchange(server.self().peerAddress, node_id("server"), ECHO, "x", seconds(20)).hasValue());
}

// Guards against "unavailable", which means that nothing was sent, for a request that was sent, and against "unknown_result" for one that was not.
BOOST_AUTO_TEST_CASE(failedExchangeReportsWhetherRequestWasSent)
{
    gossip_service client(settingsOf("client"), {});
    BOOST_REQUIRE(!client.start());
    gossip_service gone(settingsOf("gone"), {});
    BOOST_REQUIRE(!gone.start());
    const std::string address = gone.self().peerAddress;
    gone.stop();
    BOOST_TEST(toString(client.exchange(address, node_id("gone"), ECHO, "x", seconds(5)).reason().code) == "unavailable");

    gossip_service other(settingsOf("other"), {});
    registerHandlers(other);
    BOOST_REQUIRE(!other.start());
    // Another node now listens at the address of the recipient.
    BOOST_TEST(toString(client.exchange(other.self().peerAddress, node_id("gone"), ECHO, "x", seconds(20)).reason().code) == "unknown_result");
    BOOST_TEST(other.refusals().count(refusal_reason::wrong_recipient) == 1U);

    gossip_service slow(settingsOf("slow"), {});
    slow.registerHandler(ECHO, [](const peer_message &) -> outcome<std::string> {
        std::this_thread::sleep_for(milliseconds(800));
        return std::string();
    });
    BOOST_REQUIRE(!slow.start());
    BOOST_TEST(toString(client.exchange(slow.self().peerAddress, node_id("slow"), ECHO, "x", milliseconds(100)).reason().code) == "unknown_result");
}

// Integration test over real sockets: joining, facts, configuration versions and leaving. Guards against faults between parts that pass their
// own tests.
BOOST_AUTO_TEST_CASE(threeNodesShareMembersFactsAndVersions)
{
    std::mutex mutex;
    std::vector<std::string> seen;
    gossip_callbacks callbacks;
    callbacks.onMemberEvent = [&](const member_event &event) {
        const std::lock_guard lock(mutex);
        seen.push_back(std::string(toString(event.kind)) + " " + event.subject.id.str());
    };
    callbacks.onFact = [&](const fact &newFact) {
        const std::lock_guard lock(mutex);
        seen.push_back("fact " + newFact.key);
    };
    callbacks.onNewerConfigPeer = [&](const std::string &address, config_version version) {
        const std::lock_guard lock(mutex);
        seen.push_back("ahead " + address + " " + std::to_string(version.value()));
    };
    const auto saw = [&](const std::string &text) {
        return eventually([&] {
            const std::lock_guard lock(mutex);
            return std::find(seen.begin(), seen.end(), text) != seen.end();
        });
    };
    gossip_service first(settingsOf("first"), callbacks);
    BOOST_REQUIRE(!first.start());
    gossip_service second(settingsOf("second", {first.self().peerAddress}), {});
    BOOST_REQUIRE(!second.start());
    gossip_service third(settingsOf("third", {first.self().peerAddress}), {});
    BOOST_REQUIRE(!third.start());
    BOOST_TEST(saw("joined second"));
    BOOST_TEST(saw("joined third"));
    BOOST_TEST(eventually([&] { return second.members().size() == 2 && third.members().size() == 2; }));

    fact item;
    item.key = "bad_version/archive/7";
    item.kind = fact_kind::bad_version;
    item.lifetime = seconds(60);
    BOOST_REQUIRE(third.publish(item));
    BOOST_TEST(saw("fact " + item.key));
    BOOST_TEST(eventually([&] { return second.facts().size() == 1; }));
    second.setConfigVersion(config_version(4));
    BOOST_TEST(saw("ahead " + second.self().peerAddress + " 4"));
    third.stop();
    BOOST_TEST(saw("departed third"));
}

BOOST_AUTO_TEST_SUITE_END()
