#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "core/configuration_replica.h"
#include "tests/parser_properties.h"

using namespace snipefall;

namespace {

constexpr std::uint64_t MAX_VERSION = 12;

configuration_patch patchOf(std::uint64_t version)
{
    configuration_patch patch;
    patch.id = patch_id("patch-" + std::to_string(version));
    patch.baseVersion = config_version(version - 1);
    patch.author = "test";
    patch.reason = "test";
    patch.merge = {{"entry_ttl_ms", 1000 + version}};
    return patch;
}

/** The reference model: a replica is at the highest version up to which it was offered every patch, or a snapshot. */
struct replica_model
{
    std::uint64_t version = 0;
};

using replica_command = rc::state::Command<replica_model, configuration_replica>;

/** Offers the patches of a range of versions, in reverse order and with a repeat, as a peer's delta may arrive over the network. */
struct offer_patch_range : public replica_command
{
    std::uint64_t first = *rc::gen::inRange<std::uint64_t>(1, MAX_VERSION + 1);
    std::uint64_t last = *rc::gen::inRange<std::uint64_t>(first, MAX_VERSION + 1);

    void apply(replica_model &model) const override
    {
        if (first <= model.version + 1) {
            model.version = std::max(model.version, last);
        }
    }

    void run(const replica_model &before, configuration_replica &replica) const override
    {
        std::vector<configuration_patch> patches{patchOf(first)};
        for (std::uint64_t version = last; version >= first; --version) {
            patches.push_back(patchOf(version));
        }
        replica.offer(patches);
        const replica_model after = nextState(before);
        RC_ASSERT(replica.position().version.value() == after.version);
        RC_ASSERT(after.version == 0 || replica.current()->entryTtlMs == 1000 + after.version);
    }

    void show(std::ostream &out) const override { out << "offer " << first << " to " << last; }
};

/** Offers a snapshot that is older or newer than the replica, as a lagging or a leading peer does. */
struct offer_snapshot : public replica_command
{
    std::uint64_t version = *rc::gen::inRange<std::uint64_t>(0, MAX_VERSION + 1);

    void apply(replica_model &model) const override { model.version = std::max(model.version, version); }

    void run(const replica_model &before, configuration_replica &replica) const override
    {
        configuration_snapshot snapshot;
        for (std::uint64_t next = 1; next <= version; ++next) {
            snapshot.apply(patchOf(next));
        }
        replica.offerSnapshot(snapshot);
        RC_ASSERT(replica.position().version.value() == nextState(before).version);
    }

    void show(std::ostream &out) const override { out << "snapshot " << version; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_replica_state_tests)

// Guards against a replica that reverts to an older version or skips one when deltas arrive reordered and repeated, with stale snapshots in between.
BOOST_AUTO_TEST_CASE(matchesReferenceModel)
{
    useFixedSeed();
    const bool holds = rc::check("a replica follows the oracle", [] {
        const replica_model start;
        configuration_replica replica;
        rc::state::check(start, replica, rc::state::gen::execOneOfWithArgs<offer_patch_range, offer_snapshot>());
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
