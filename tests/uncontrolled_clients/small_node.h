#pragma once

#include "tests/stand_ins/memory_watch.h"
#include "tests/tier/running_site.h"

namespace snipefall {

/** A site whose only node has little memory and few descriptors. */
struct small_node : running_site
{
    static constexpr unsigned MEMORY_MB = 64;

    /** @p options are of the site; their nodeDescriptors is the bound on open ones. */
    explicit small_node(const site_emulator::options &options)
        : running_site(1, options)
        , memory(site.node("node-0").pid())
    {
    }

    std::string callerAddress() const { return site.addresses("node-0").callers; }

    bool answersOrdinaryRequest()
    {
        return site_emulator::waitFor([&] { return (ordinaryIsOrder ? site.order("node-0") : site.query("node-0")).status == 200; });
    }

    void checkNode()
    {
        BOOST_REQUIRE(site.node("node-0").running());
        BOOST_TEST(memory.peakMb() <= MEMORY_MB);
        BOOST_TEST(memory.openDescriptors() <= site.settings().nodeDescriptors);
        BOOST_TEST(answersOrdinaryRequest());
        BOOST_TEST(site.node("node-0").running());
    }

    memory_watch memory;
    bool ordinaryIsOrder = false; ///< Whether an order shows that ordinary callers are served, in place of a query.
};

} // namespace snipefall
