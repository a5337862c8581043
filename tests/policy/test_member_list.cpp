#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/member_list.h"

using namespace snipefall;
using std::chrono::seconds;

namespace {

const time_point START{std::chrono::hours(1)};

member_update claim(std::uint64_t started, member_state state, const std::string &accuser = "")
{
    member_update update;
    update.subject.id = node_id("m");
    update.subject.peerAddress = "10.0.0.1:1";
    update.subject.started = incarnation(started);
    update.subject.state = state;
    update.accuser = node_id(accuser);
    return update;
}

struct claim_case
{
    member_update held;
    member_update next;
    member_list::claim_source source;
    member_state state;
    std::uint64_t started;
};

std::ostream &operator<<(std::ostream &out, const claim_case &testCase)
{
    return out << toString(testCase.held.subject.state) << " " << testCase.held.subject.started.value() << " then " << toString(testCase.next.subject.state)
               << " " << testCase.next.subject.started.value();
}

constexpr auto ALIVE = member_state::alive;
constexpr auto SUSPECT = member_state::suspect;
constexpr auto DEAD = member_state::dead;
constexpr auto LEFT = member_state::left;
constexpr auto FROM_BROADCAST = member_list::claim_source::broadcasts;
constexpr auto FROM_SYNC = member_list::claim_source::sync;

const claim_case CLAIM_CASES[] = {
    {claim(5, ALIVE), claim(4, DEAD), FROM_BROADCAST, ALIVE, 5},
    {claim(5, ALIVE), claim(4, SUSPECT, "a"), FROM_BROADCAST, ALIVE, 5},
    {claim(5, ALIVE), claim(5, SUSPECT, "a"), FROM_BROADCAST, SUSPECT, 5},
    {claim(5, ALIVE), claim(6, SUSPECT, "a"), FROM_BROADCAST, SUSPECT, 6},
    {claim(5, ALIVE), claim(5, DEAD), FROM_BROADCAST, DEAD, 5},
    {claim(5, ALIVE), claim(5, DEAD), FROM_SYNC, SUSPECT, 5},
    {claim(5, ALIVE), claim(5, LEFT), FROM_SYNC, LEFT, 5},
    {claim(5, SUSPECT, "a"), claim(5, ALIVE), FROM_BROADCAST, SUSPECT, 5},
    {claim(5, SUSPECT, "a"), claim(6, ALIVE), FROM_BROADCAST, ALIVE, 6},
    {claim(5, DEAD), claim(5, ALIVE), FROM_BROADCAST, DEAD, 5},
    {claim(5, DEAD), claim(5, SUSPECT, "a"), FROM_BROADCAST, DEAD, 5},
    {claim(5, DEAD), claim(6, SUSPECT, "a"), FROM_BROADCAST, SUSPECT, 6},
    {claim(5, DEAD), claim(6, ALIVE), FROM_SYNC, ALIVE, 6},
    {claim(5, LEFT), claim(5, DEAD), FROM_BROADCAST, LEFT, 5},
    {claim(5, LEFT), claim(6, ALIVE), FROM_BROADCAST, ALIVE, 6},
};

} // namespace

BOOST_AUTO_TEST_SUITE(member_list_tests)

// Guards against a delayed claim that overrides a newer one, and against a live list or digest that is inconsistent with the records.
BOOST_DATA_TEST_CASE(newerClaimsWin, CLAIM_CASES)
{
    member_list list(membership_settings(), node_id("self"));
    list.apply(START, claim(sample.held.subject.started.value(), ALIVE), FROM_BROADCAST, node_id("a"));
    list.apply(START, sample.held, FROM_BROADCAST, node_id("a"));
    list.apply(START, sample.next, sample.source, node_id("b"));
    const member *known = list.find(node_id("m"));
    BOOST_REQUIRE(known != nullptr);
    BOOST_TEST(toString(known->state) == toString(sample.state));
    BOOST_TEST(known->started.value() == sample.started);
    BOOST_TEST(list.live().size() == (isLive(sample.state) ? 1U : 0U));
    BOOST_TEST((list.digest().total() != 0) == isLive(sample.state));
}

// Guards against cached placements that stay valid although the live members changed, and against placements that are recomputed for every suspicion.
BOOST_DATA_TEST_CASE(liveVersionChangesOnlyWithLiveMembers, CLAIM_CASES)
{
    member_list list(membership_settings(), node_id("self"));
    list.apply(START, claim(sample.held.subject.started.value(), ALIVE), FROM_BROADCAST, node_id("a"));
    list.apply(START, sample.held, FROM_BROADCAST, node_id("a"));
    const member before = *list.find(node_id("m"));
    const std::uint64_t version = list.liveVersion();
    list.apply(START, sample.next, sample.source, node_id("b"));
    const bool sameLive = isLive(before.state) == isLive(sample.state) && (!isLive(sample.state) || before.started.value() == sample.started);
    BOOST_TEST((list.liveVersion() == version) == sameLive);
}

// Guards against suspicions that never time out, time out before a process that was paused for 3 s can refute, or restart with each accuser.
BOOST_AUTO_TEST_CASE(suspicionsTimeOut)
{
    member_list list(membership_settings(), node_id("self"));
    list.apply(START, claim(5, ALIVE), FROM_BROADCAST, node_id("a"));
    list.apply(START, claim(5, SUSPECT, "a"), FROM_BROADCAST, node_id("a"));
    list.tick(START + seconds(3));
    BOOST_TEST(toString(list.find(node_id("m"))->state) == "suspect");
    list.apply(START + seconds(3), claim(5, SUSPECT, "b"), FROM_BROADCAST, node_id("b"));
    list.extendSuspicions(seconds(10));
    list.tick(START + seconds(12));
    BOOST_TEST(toString(list.find(node_id("m"))->state) == "suspect");
    list.tick(START + seconds(20));
    BOOST_TEST(toString(list.find(node_id("m"))->state) == "dead");
    list.tick(START + std::chrono::hours(2));
    BOOST_TEST(list.find(node_id("m")) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
