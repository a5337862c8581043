#include <algorithm>
#include <functional>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "gossip_network.h"

using namespace snipefall;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

struct network_case
{
    std::size_t size;
    double loss;
};

std::ostream &operator<<(std::ostream &out, const network_case &testCase)
{
    return out << testCase.size << " nodes, loss " << testCase.loss;
}

const network_case NETWORK_CASES[] = {{7, 0.0}, {7, 0.1}, {28, 0.1}, {100, 0.0}, {100, 0.1}};

constexpr std::size_t MAX_PAYLOAD_BYTES = 1000;

struct mass_loss_case
{
    std::size_t size;
    std::size_t survivors;
    bool outsideAnswers; ///< Something other than the nodes, such as a store, answers the survivors all the time.
};

std::ostream &operator<<(std::ostream &out, const mass_loss_case &row)
{
    return out << row.survivors << " of " << row.size << " nodes are left" << (row.outsideAnswers ? ", with a store" : "");
}

const mass_loss_case MASS_LOSS_CASES[] = {
    {7, 2, false}, {7, 3, false}, {7, 4, false}, {28, 14, false}, {78, 39, false}, {7, 1, true}, {28, 1, true}, {78, 4, true}, {100, 2, true}};
/** The time after which the directory must not name lost nodes any more: the stability window of 4 s and 3 s. */
constexpr duration MAX_LOSS_NOTICE = seconds(7);

fact testFact(const std::string &key, const std::string &payload)
{
    fact item;
    item.key = key;
    item.kind = fact_kind::bad_version;
    item.payload = payload;
    item.lifetime = minutes(5);
    return item;
}

gossip_network convergedNetwork(std::size_t size, double loss, std::uint64_t seed)
{
    gossip_network network(size, seed);
    network.setLoss(loss);
    BOOST_REQUIRE(network.runUntil(seconds(30), [&] { return network.converged(); }).has_value());
    network.run(seconds(12));
    network.clearEvents();
    network.clearTraffic();
    return network;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gossip_engine_tests)

// Guards against false suspicions under packet loss, traffic per node that grows with the cluster size, and datagrams above the limit.
BOOST_DATA_TEST_CASE(idleTrafficIsIndependentOfClusterSize, NETWORK_CASES)
{
    gossip_network network = convergedNetwork(sample.size, sample.loss, 11);
    network.run(minutes(1));
    BOOST_TEST(network.events(member_event_kind::died) == 0U);
    BOOST_TEST(network.events(member_event_kind::suspected) <= sample.size);
    BOOST_TEST(network.bytes() / 60 / sample.size < 250U);
    BOOST_TEST(network.largest() <= MAX_PAYLOAD_BYTES);
}

// Guards against failures that are detected late or not at all, and against a restarted node that its peers still consider dead.
BOOST_DATA_TEST_CASE(killedNodeIsDetectedAndRejoinsWithoutState, NETWORK_CASES)
{
    gossip_network network = convergedNetwork(sample.size, sample.loss, 12);
    network.stop(3);
    BOOST_REQUIRE(network.runUntil(seconds(15), [&] { return network.converged(); }).has_value());
    BOOST_TEST(network.events(member_event_kind::died) == sample.size - 1);
    network.start(3);
    BOOST_TEST(network.runUntil(seconds(15), [&] { return network.converged(); }).has_value());
    // A restart before the failure is detected.
    network.stop(4);
    network.run(milliseconds(200));
    network.start(4);
    BOOST_TEST(network.runUntil(seconds(15), [&] { return network.converged(); }).has_value());
}

// Guards against survivors that take most of their peers for alive, and so name them to callers, long after these were lost at the same moment.
BOOST_DATA_TEST_CASE(lossOfManyNodesIsNoticedInTime, MASS_LOSS_CASES)
{
    for (std::uint64_t seed = 21; seed < 31; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            gossip_network network = convergedNetwork(sample.size, 0.0, seed);
            network.setOutsideAnswers(sample.outsideAnswers);
            for (std::size_t i = sample.survivors; i < sample.size; ++i) {
                network.stop(i);
            }
            const auto takesLostForAlive = [&] {
                for (std::size_t i = 0; i < sample.survivors; ++i) {
                    for (std::size_t k = sample.survivors; k < sample.size; ++k) {
                        const member *lost = network.engine(i).nodes().others().find(gossip_network::idOf(k));
                        if (lost && lost->state == member_state::alive) {
                            return true;
                        }
                    }
                }
                return false;
            };
            const auto noticed = network.runUntil(minutes(5), [&] { return !takesLostForAlive(); });
            BOOST_REQUIRE(noticed.has_value());
            BOOST_TEST(std::chrono::duration<double>(*noticed).count() <= std::chrono::duration<double>(MAX_LOSS_NOTICE).count());
        }
    }
}

// Guards against a node that takes its own loss of the network for the loss of its peers, and tells them so once it is back.
BOOST_DATA_TEST_CASE(cutOffNodeSuspectsFewPeers, NETWORK_CASES)
{
    constexpr std::size_t CUT_OFF_NODE = 2;
    constexpr std::size_t MAX_SUSPECTED = 10;
    constexpr std::size_t MAX_MEAN_SUSPECTED = 3;
    constexpr std::uint64_t SEEDS = 20;
    std::size_t sum = 0;
    for (std::uint64_t seed = 32; seed < 32 + SEEDS; ++seed) {
        gossip_network network = convergedNetwork(sample.size, sample.loss, seed);
        network.setOutsideAnswers(true);
        network.run(seconds(2));
        network.setPartitionSide(CUT_OFF_NODE, 1);
        network.run(seconds(10));
        const std::vector<member> known = network.engine(CUT_OFF_NODE).nodes().others().all();
        const auto suspected = std::count_if(known.begin(), known.end(), [](const member &peer) { return peer.state != member_state::alive; });
        BOOST_TEST(static_cast<std::size_t>(suspected) <= MAX_SUSPECTED);
        sum += static_cast<std::size_t>(suspected);
        network.setPartitionSide(CUT_OFF_NODE, 0);
        BOOST_TEST(network.runUntil(minutes(1), [&] { return network.converged(); }).has_value());
    }
    BOOST_TEST(sum <= MAX_MEAN_SUSPECTED * SEEDS);
}

// Guards against a node that loses only its peers, and not the store, and has them declared dead by each other once it is back.
BOOST_DATA_TEST_CASE(returningNodeHasNoPeerDeclaredDead, NETWORK_CASES)
{
    constexpr std::size_t CUT_OFF_NODE = 2;
    for (const int cutSeconds : {5, 10, 20}) {
        gossip_network network = convergedNetwork(sample.size, sample.loss, 52);
        network.setOutsideAnswers(true, 1);
        network.setPartitionSide(CUT_OFF_NODE, 1);
        network.run(seconds(cutSeconds));
        network.setPartitionSide(CUT_OFF_NODE, 0);
        const auto hasDeadPeer = [&] {
            for (std::size_t i = 0; i < sample.size; ++i) {
                for (std::size_t k = 0; k < sample.size; ++k) {
                    const bool counts = i != k && i != CUT_OFF_NODE && k != CUT_OFF_NODE;
                    if (counts && network.engine(i).nodes().others().find(gossip_network::idOf(k))->state == member_state::dead) {
                        return true;
                    }
                }
            }
            return false;
        };
        BOOST_TEST(!network.runUntil(seconds(15), hasDeadPeer).has_value());
        BOOST_TEST(network.runUntil(minutes(1), [&] { return network.converged(); }).has_value());
    }
}

// Guards against a process that is declared dead for a pause of 3 s, and against one that stays dead, or declares others dead, after a longer pause.
BOOST_DATA_TEST_CASE(resumedNodeRefutesSuspicion, NETWORK_CASES)
{
    gossip_network network = convergedNetwork(sample.size, sample.loss, 13);
    network.pause(2);
    network.run(seconds(3));
    network.resume(2);
    network.run(seconds(10));
    BOOST_TEST(network.events(member_event_kind::died) == 0U);
    BOOST_TEST(network.converged());

    network.pause(2);
    BOOST_REQUIRE(network.runUntil(seconds(20), [&] { return network.converged(); }).has_value());
    network.run(seconds(30));
    const std::size_t died = network.events(member_event_kind::died);
    network.resume(2);
    BOOST_TEST(network.runUntil(seconds(15), [&] { return network.converged(); }).has_value());
    network.run(seconds(15));
    BOOST_TEST(network.events(member_event_kind::died) == died);
    BOOST_TEST(network.converged());
}

// Guards against attributing the permits and accounts of a running node to an earlier run of it, because refutations raised its incarnation above the start
// time. A node that joins after the refutations must also learn the start time, and a restarted node must not keep the old one.
BOOST_DATA_TEST_CASE(refutationsKeepTheFirstStartTime, NETWORK_CASES)
{
    constexpr std::size_t REFUTING_NODE = 2;
    constexpr std::size_t LATE_JOINER = 5;
    gossip_network network = convergedNetwork(sample.size, sample.loss, 19);
    const auto known = [&](std::size_t at) { return *network.engine(at).nodes().others().find(gossip_network::idOf(REFUTING_NODE)); };
    const auto countOthers = [&](const std::function<bool(const member &)> &condition) {
        std::size_t count = 0;
        for (std::size_t i = 0; i < network.size(); ++i) {
            count += i != REFUTING_NODE && network.runs(i) && condition(known(i)) ? 1 : 0;
        }
        return count;
    };
    const auto &self = network.engine(REFUTING_NODE).nodes().self();
    const incarnation first = self.firstStarted();
    network.stop(LATE_JOINER);
    BOOST_REQUIRE(network.runUntil(seconds(30), [&] { return network.converged(); }).has_value());
    for (int i = 0; i < 3; ++i) {
        const incarnation before = self.started;
        network.pause(REFUTING_NODE);
        const auto suspects = [&](const member &record) { return record.state == member_state::suspect && record.started == before; };
        BOOST_REQUIRE(network.runUntil(seconds(30), [&] { return countOthers(suspects) > 0; }).has_value());
        network.resume(REFUTING_NODE);
        BOOST_REQUIRE(network.runUntil(seconds(30), [&] { return self.started > before; }).has_value());
    }
    network.start(LATE_JOINER);
    const auto isCurrent = [&](const member &record) { return record.started == self.started; };
    BOOST_REQUIRE(network.runUntil(seconds(60), [&] { return network.converged() && countOthers(isCurrent) == network.size() - 1; }).has_value());
    BOOST_TEST((self.firstStarted() == first));
    BOOST_TEST(countOthers([&](const member &record) { return record.started > first && record.firstStarted() == first; }) == network.size() - 1);
    network.stop(REFUTING_NODE);
    network.start(REFUTING_NODE);
    const incarnation restarted = network.engine(REFUTING_NODE).nodes().self().firstStarted();
    BOOST_TEST((restarted > first));
    BOOST_REQUIRE(
        network.runUntil(seconds(30), [&] { return known(0).firstStarted() == restarted && known(LATE_JOINER).firstStarted() == restarted; }).has_value());
}

// Guards against a process that suspects its peers of not having answered while it was itself paused.
BOOST_AUTO_TEST_CASE(resumedNodeSuspectsNoPeers)
{
    member self;
    self.id = node_id("self");
    self.peerAddress = "10.0.0.1:1";
    membership node(membership_settings(), self, 18);
    gossip_message hello;
    hello.updates.push_back({self, node_id()});
    hello.updates[0].subject.id = node_id("peer");
    const time_point start{std::chrono::hours(1)};
    (void)node.tick(start);
    (void)node.receive(start, node_id("peer"), "10.0.0.2:1", hello);
    time_point now = start;
    for (bool probing = false; !probing; now += milliseconds(50)) {
        const auto sent = node.tick(now);
        probing = std::any_of(sent.begin(), sent.end(), [](const outgoing_gossip &out) { return out.recipient == node_id("peer"); });
    }
    now += seconds(30);
    (void)node.tick(now);
    BOOST_TEST(toString(node.others().find(node_id("peer"))->state) == "alive");
    // Without a pause, a missing answer is a failed probe.
    for (int i = 0; i < 50; ++i) {
        (void)node.tick(now += milliseconds(50));
    }
    BOOST_TEST(toString(node.others().find(node_id("peer"))->state) == "suspect");
    // A second pause doesn't reduce the time in which the peer can refute.
    (void)node.tick(now += seconds(30));
    BOOST_TEST(toString(node.others().find(node_id("peer"))->state) == "suspect");
}

// Guards against the two sides of a network partition that never rejoin, here without the help of seeds, and against members that are declared dead after
// the partition has healed because of claims made during it.
BOOST_DATA_TEST_CASE(networkPartitionHeals, NETWORK_CASES)
{
    gossip_network network = convergedNetwork(sample.size, sample.loss, 14);
    for (std::size_t i = 0; i < network.size(); ++i) {
        network.setPartitionSide(i, i < sample.size / 3 ? 1 : 0);
        network.engine(i).nodes().setSeeds({});
    }
    network.run(minutes(3));
    const std::size_t died = network.events(member_event_kind::died);
    BOOST_TEST(died >= 2 * (sample.size / 3) * (sample.size - sample.size / 3));
    for (std::size_t i = 0; i < network.size(); ++i) {
        network.setPartitionSide(i, 0);
    }
    BOOST_TEST(network.runUntil(minutes(1), [&] { return network.converged(); }).has_value());
    network.run(seconds(20));
    BOOST_TEST(network.converged());
    BOOST_TEST(network.events(member_event_kind::died) == died);
}

// Guards against facts that are delayed or lost under packet loss.
BOOST_DATA_TEST_CASE(factsReachAllNodes, NETWORK_CASES)
{
    gossip_network network = convergedNetwork(sample.size, sample.loss, 15);
    std::size_t late = 0;
    for (std::size_t i = 0; i < 40; ++i) {
        const std::string key = "bad_version/" + std::to_string(i);
        BOOST_REQUIRE(network.engine(i % sample.size).publish(network.now(), testFact(key, "v" + std::to_string(i))));
        const auto spread = network.runUntil(seconds(10), [&] { return network.holders(key) == sample.size; });
        BOOST_REQUIRE(spread.has_value());
        late += *spread > seconds(2) ? 1 : 0;
    }
    BOOST_TEST(late <= (sample.loss > 0 ? 2U : 0U));
}

// Guards against a node that left being declared dead, or becoming live again through outdated records.
BOOST_AUTO_TEST_CASE(leavingNodeIsNotDeclaredDead)
{
    gossip_network network = convergedNetwork(14, 0.1, 16);
    network.leave(5);
    BOOST_TEST(network.runUntil(seconds(3), [&] { return network.converged(); }).has_value());
    network.run(minutes(1));
    BOOST_TEST(network.converged());
    BOOST_TEST(network.events(member_event_kind::departed) == 13U);
    BOOST_TEST(network.events(member_event_kind::died) == 0U);
}

// Guards against a configuration version that doesn't reach all peers, and against two processes with one id that keep raising their incarnations.
BOOST_AUTO_TEST_CASE(newerConfigurationReachesAllNodes)
{
    gossip_network network = convergedNetwork(28, 0.1, 17);
    network.engine(4).setConfigVersion(config_version(8));
    const auto heard = [&] {
        std::size_t count = 0;
        for (std::size_t i = 0; i < network.size(); ++i) {
            count += network.engine(i).nodes().self().configVersion.value() == 8 ? 1 : 0;
        }
        return count == network.size();
    };
    network.setNewerConfigHandler([](gossip_engine &engine, const newer_config_peer &peer) { engine.setConfigVersion(peer.version); });
    BOOST_TEST(network.runUntil(seconds(5), heard).has_value());

    gossip_message claim;
    claim.updates.push_back({network.engine(1).nodes().self(), node_id()});
    claim.updates[0].subject.started = incarnation(claim.updates[0].subject.started.value() + 1000000);
    claim.updates[0].subject.peerAddress = "10.9.9.9:1";
    const incarnation before = network.engine(1).nodes().self().started;
    (void)network.engine(1).receive(network.now(), gossip_network::idOf(2), "10.0.0.1:10002", claim);
    BOOST_TEST((network.engine(1).nodes().self().started == before));
    BOOST_REQUIRE_EQUAL(network.engine(1).takeEvents().members.size(), 1U);
}

// Randomized test with two kinds of fault at a time: a killed or paused node together with packet loss or a network partition. Guards against states from
// which the nodes' views don't converge again.
BOOST_AUTO_TEST_CASE(viewsConvergeAfterPairedFaults)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(seed);
            gossip_network network(7 + random() % 20, seed);
            network.run(seconds(10));
            for (int round = 0; round < 6; ++round) {
                const std::size_t victim = random() % network.size();
                const bool kills = random() % 2 == 0;
                kills ? network.stop(victim) : network.pause(victim);
                const bool splits = random() % 2 == 0;
                network.setLoss(splits ? 0.0 : 0.3);
                for (std::size_t i = 0; i < network.size(); ++i) {
                    network.setPartitionSide(i, splits && random() % 3 == 0 ? 1 : 0);
                }
                const std::string key = "fact/" + std::to_string(random() % 3);
                const std::size_t origin = (victim + 1) % network.size();
                BOOST_REQUIRE(network.engine(origin).publish(network.now(), testFact(key, std::to_string(round))));
                network.run(milliseconds(random() % 30000));
                kills ? network.start(victim) : network.resume(victim);
                for (std::size_t i = 0; i < network.size(); ++i) {
                    network.setPartitionSide(i, 0);
                }
                network.setLoss(0.1);
                BOOST_REQUIRE(network.runUntil(minutes(2), [&] { return network.converged(); }).has_value());
                BOOST_REQUIRE(network.runUntil(seconds(10), [&] { return network.holders(key) == network.size(); }).has_value());
            }
            BOOST_TEST(network.largest() <= MAX_PAYLOAD_BYTES);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
