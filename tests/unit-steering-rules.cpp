// Routes, leaving upstreams, failure domains that are out, cold upstreams, start-up.

#include "small_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace bergamotglade;
using namespace bergamotglade::tests;

TEST(SteeringNormalLoad, EveryFlowIsAnsweredAndFlowsAreSpread)
{
    SmallFleet fleet;
    fleet.openFlows(300);
    EXPECT_EQ(countAnswered(fleet, 300), 300U);
    EXPECT_EQ(fleet.resetCount(), 0U);
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_GT(fleet.upstream(i).openingTimes.size(), 60U);
    }
}

TEST(SteeringRoutes, AgentOfAnotherServiceAcceptsNoFlows)
{
    SmallFleet fleet;
    const std::size_t other = fleet.addUpstream("documents", "a");
    // The balancer has an outdated entry and sends flows to an address that now serves another
    // service.
    SectionChange stale = fleet.upstreamSection(other);
    UpstreamEntry entry = decodeUpstream(stale.text).value();
    entry.service = ServiceName("kits");
    stale.text = encode(entry);
    fleet.publishAtBalancer(0, stale);
    fleet.openFlows(100);
    EXPECT_TRUE(fleet.upstream(other).openingTimes.empty());
    EXPECT_EQ(countAnswered(fleet, 100), 100U);
}

TEST(SteeringRoutes, FlowWithoutARouteIsResetAtOnce)
{
    SmallFleet fleet;
    RouteDocument none;
    none.version = 2;
    fleet.publish({RootName, Revision(2), encode(none)});
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(10));
    EXPECT_TRUE(fleet.flow(flow).wasReset);
}

TEST(SteeringLeaving, UpstreamGetsNoNewFlowsFromABalancerWithAnOutdatedEntry)
{
    SmallFleet fleet;
    SteeringFleet &all = fleet;
    all.publish(all.upstreamSection(0, true));
    // The balancer still has the previous entry, in which the upstream is not leaving.
    all.publishAtBalancer(0, all.upstreamSection(0));
    fleet.openFlows(100);
    EXPECT_TRUE(fleet.upstream(0).openingTimes.empty());
    EXPECT_EQ(countAnswered(fleet, 100), 100U);
}

TEST(SteeringLeaving, UpstreamKeepsItsOpenFlows)
{
    SmallFleet fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 12; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(50));
    fleet.publish(fleet.upstreamSection(0, true));
    fleet.runFor(Millis(1000));
    for (const std::size_t flow : flows) {
        fleet.sendRequest(flow);
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(countAnswered(fleet, 12), 12U);
    EXPECT_EQ(fleet.resetCount(), 0U);
}

TEST(SteeringDomainOut, UpstreamGetsNoNewFlowsFromABalancerWithOutdatedSections)
{
    SmallFleet fleet;
    fleet.publish(fleet.domainSection("a"));
    fleet.publishAtBalancer(0, fleet.domainSection("a", false));
    fleet.openFlows(100);
    EXPECT_TRUE(fleet.upstream(0).openingTimes.empty());
    EXPECT_EQ(countAnswered(fleet, 100), 100U);
}

TEST(SteeringDomainOut, UpstreamGetsNewFlowsAgainWhenTheDomainIsBack)
{
    SmallFleet fleet;
    fleet.publish(fleet.domainSection("a"));
    fleet.openFlows(20);
    fleet.publish(fleet.domainSection("a", false));
    fleet.openFlows(100);
    EXPECT_FALSE(fleet.upstream(0).openingTimes.empty());
}

TEST(SteeringCold, UpstreamGetsNoMoreThanItsRateFromAllBalancersTogether)
{
    constexpr double Rate = 10;
    SmallFleet fleet(Rate);
    fleet.addBalancer();
    fleet.addBalancer();
    fleet.publish(fleet.upstreamSection(0, false, Millis(4000)));
    for (std::size_t i = 0; i < 600; ++i) {
        fleet.openFlow(i % 3);
        fleet.runFor(Millis(5));
    }
    const auto &openings = fleet.upstream(0).openingTimes;
    for (std::size_t i = 0; i < openings.size(); ++i) {
        const auto withinSecond = std::count_if(openings.begin(), openings.end(), [&](Instant at) {
            return at >= openings[i] && at < openings[i] + Millis(1000);
        });
        EXPECT_LE(static_cast<double>(withinSecond), Rate * 1.5 + 5);
    }
    EXPECT_FALSE(openings.empty());
    EXPECT_EQ(fleet.resetCount(), 0U);
}

// Guards against flows that agents of cold upstreams hand to each other until they are reset,
// although another upstream has room.
TEST(SteeringCold, FlowsBeyondTheRateGoToWarmUpstreams)
{
    constexpr double Rate = 5;
    SmallFleet fleet(Rate, 6);
    for (std::size_t i = 0; i < 4; ++i) {
        fleet.publish(fleet.upstreamSection(i, false, Millis(4000)));
    }
    fleet.openFlows(400);
    EXPECT_EQ(fleet.resetCount(), 0U);
    EXPECT_EQ(countAnswered(fleet, 400), 400U);
}

// The same fault, from an agent whose upstream is full.
TEST(SteeringCold, FlowsOfAFullUpstreamWaitThereIfTheOthersAreCold)
{
    SmallFleet fleet(1, 3);
    fleet.publish(fleet.upstreamSection(1, false, Millis(4000)));
    fleet.publish(fleet.upstreamSection(2, false, Millis(4000)));
    for (int burst = 0; burst < 10; ++burst) {
        for (int i = 0; i < 12; ++i) {
            fleet.openFlow(0);
        }
        fleet.runFor(Millis(200));
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(fleet.resetCount(), 0U);
    EXPECT_EQ(countAnswered(fleet, 120), 120U);
}

TEST(SteeringStart, HeldFlowsArePlacedOnceRoutesAndAnnouncementsArrive)
{
    SteeringFleet fleet;
    for (int i = 0; i < 3; ++i) {
        fleet.addUpstream("kits", "a", false, false);
    }
    fleet.addBalancer(false);
    std::vector<std::size_t> flows;
    for (int i = 0; i < 20; ++i) {
        flows.push_back(fleet.openFlow(0));
    }
    fleet.runFor(Millis(1000));
    // The platform is back with the routes; the upstreams' entries have expired.
    fleet.publish(SteeringFleet::routeSection({{"kits", 1}}));
    fleet.runFor(Millis(300));
    EXPECT_EQ(countAnswered(fleet, 20), 20U);
    EXPECT_EQ(fleet.resetCount(), 0U);
}

TEST(SteeringStart, AnnouncedUpstreamWithoutAnEntryIsRemoved)
{
    SteeringFleet fleet;
    fleet.publish(SteeringFleet::routeSection({{"kits", 1}}));
    fleet.addUpstream("kits", "a", false);
    fleet.addUpstream("kits", "a", true);
    fleet.addBalancer();
    fleet.runFor(Millis(3000));
    const std::size_t before = fleet.upstream(0).openingTimes.size();
    for (int i = 0; i < 50; ++i) {
        fleet.openFlow(0);
        fleet.runFor(Millis(10));
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(fleet.upstream(0).openingTimes.size(), before);
    EXPECT_EQ(countAnswered(fleet, 50), 50U);
}

namespace {

constexpr double ColdRate = 5;

/// Upstreams 0 to 2 of the service "kits" and, last, one of "documents", which the split of the
/// route gives every tenth flow.
struct SplitFleet : SmallFleet
{
    SplitFleet()
        : SmallFleet(ColdRate)
        , documents(addUpstream("documents", "b"))
    {
        setWeights(90, 10);
        runFor(Millis(3000));
    }

    void setWeights(std::uint32_t kits, std::uint32_t ofDocuments)
    {
        publish(routeSection({{"kits", kits}, {"documents", ofDocuments}}, ColdRate));
    }
    /// @brief Opens flows that send no request yet until some of them are open at `documents`.
    std::vector<std::size_t> openAtDocuments()
    {
        std::vector<std::size_t> open;
        for (int i = 0; i < 100; ++i) {
            const std::size_t flow = openFlow(0, true);
            runFor(Millis(5));
            if (upstreamOf(flow) == documents) {
                open.push_back(flow);
            }
        }
        return open;
    }
    std::size_t openingsAtDocuments() { return upstream(documents).openingTimes.size(); }

    std::size_t documents;
};

} // namespace

// Guards against agents that hand new flows off to a service whose weight in the route is 0.
TEST(SteeringWeights, ServiceOfWeightZeroGetsNoFlowsFromAgentsOfColdUpstreams)
{
    SplitFleet fleet;
    fleet.setWeights(100, 0);
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.publish(fleet.upstreamSection(i, false, Millis(4000)));
    }
    fleet.openFlows(300);
    EXPECT_EQ(fleet.openingsAtDocuments(), 0U);
}

// The same fault, with each other reason for which an agent hands a flow off.
TEST(SteeringWeights, ServiceOfWeightZeroGetsNoFlowsForAnyReason)
{
    using Trouble = std::function<void(SplitFleet &, std::size_t upstream)>;
    const std::pair<const char *, Trouble> troubles[] = {
        {"silent",
         [](SplitFleet &f, std::size_t i) {
             f.upstream(i).unresponsive = true;
         }},
        {"refuses",
         [](SplitFleet &f, std::size_t i) {
             f.upstream(i).refusesFlows = true;
         }},
        {"resets requests",
         [](SplitFleet &f, std::size_t i) {
             f.upstream(i).resetsRequests = true;
         }},
        {"leaves",
         [](SplitFleet &f, std::size_t i) {
             f.publish(f.upstreamSection(i, true));
         }},
        {"is full",
         [](SplitFleet &f, std::size_t i) {
             f.upstream(i).serviceTime = Millis(2000);
         }},
        {"agent stops",
         [](SplitFleet &f, std::size_t i) {
             f.agent(i).startDraining(f.now());
         }},
    };
    for (const auto &[name, trouble] : troubles) {
        SplitFleet fleet;
        fleet.setWeights(100, 0);
        for (std::size_t i = 0; i < 3; ++i) {
            trouble(fleet, i);
        }
        fleet.openFlows(200);
        EXPECT_EQ(fleet.openingsAtDocuments(), 0U) << name;
    }
}

TEST(SteeringWeights, ServiceOfWeightZeroGetsNoFlowsFromABalancerWithOutdatedRoutes)
{
    SplitFleet fleet;
    fleet.setWeights(100, 0);
    fleet.publishAtBalancer(
        0, SteeringFleet::routeSection({{"kits", 1}, {"documents", 99}}, ColdRate));
    fleet.openFlows(100);
    EXPECT_EQ(fleet.openingsAtDocuments(), 0U);
    EXPECT_EQ(countAnswered(fleet, 100), 100U);
}

// Flows that wait for a slot are new: they leave the service with its weight.
TEST(SteeringWeights, QueuedFlowsLeaveAServiceThatGetsTheWeightZero)
{
    SplitFleet fleet;
    fleet.setWeights(0, 1);
    fleet.upstream(fleet.documents).serviceTime = Millis(1000);
    for (std::size_t i = 0; i < 12; ++i) {
        fleet.openFlow(0);
    }
    fleet.runFor(Millis(100));
    const std::size_t before = fleet.openingsAtDocuments();
    EXPECT_LT(before, 12U);
    fleet.setWeights(1, 0);
    fleet.runFor(Millis(3000));
    EXPECT_EQ(fleet.openingsAtDocuments(), before);
    EXPECT_EQ(countAnswered(fleet, 12), 12U);
}

TEST(SteeringWeights, OpenFlowsOfAServiceThatGetsTheWeightZeroLiveOn)
{
    for (const std::uint32_t weightOfKits : {100U, 0U}) {
        SplitFleet fleet;
        const std::vector<std::size_t> open = fleet.openAtDocuments();
        ASSERT_FALSE(open.empty());
        fleet.setWeights(weightOfKits, 0);
        fleet.runFor(Millis(5000));
        // Processes that know the flows no more find their owner.
        fleet.restartBalancer(0);
        fleet.restartAgent(fleet.documents, true);
        fleet.runFor(Millis(3000));
        for (const std::size_t flow : open) {
            fleet.sendRequest(flow);
        }
        fleet.runFor(Millis(1000));
        for (const std::size_t flow : open) {
            EXPECT_TRUE(fleet.flow(flow).answered);
            EXPECT_FALSE(fleet.flow(flow).wasReset);
        }
    }
}

// Guards against flows that wait for a service although none is to get them.
TEST(SteeringWeights, NewFlowsAreRejectedAtOnceIfAllWeightsAreZero)
{
    SplitFleet fleet;
    fleet.setWeights(0, 0);
    // A balancer that has not settled yet holds flows whose service may still announce upstreams.
    fleet.restartBalancer(0);
    const std::size_t rejected = fleet.openFlow(0);
    fleet.runFor(Millis(10));
    EXPECT_TRUE(fleet.flow(rejected).wasReset);
    EXPECT_EQ(fleet.openingsAtDocuments(), 0U);
    fleet.setWeights(0, 1);
    fleet.runFor(Millis(3000));
    fleet.openFlows(20);
    EXPECT_EQ(countAnswered(fleet, 21), 20U);
    EXPECT_EQ(fleet.openingsAtDocuments(), 20U);
}
