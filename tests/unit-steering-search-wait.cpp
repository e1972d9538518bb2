// Searches that nothing contradicts end without a wait; those of lists that differ or have changed
// wait.

#include "small_fleet.hpp"

#include <gtest/gtest.h>

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

/// Longer than the questions and answers of a search, and well below its wait (150 ms).
constexpr Millis BeforeWait {100};
/// After the wait of a search, with the ticks around it.
constexpr Millis AfterWait {120};

/// Open flows that neither the upstreams nor the agents know any more, as after a power loss. The
/// lists of possible owners have been the same for longer than a change takes to be in force.
struct ForgottenFlows : SmallFleet
{
    explicit ForgottenFlows(std::size_t upstreams = 4)
        : SmallFleet(0, upstreams)
        , count(upstreams)
    {
        addBalancer();
        for (std::size_t i = 0; i < 20; ++i) {
            flows.push_back(openFlow(0, true));
        }
        runFor(Millis(100));
        for (std::size_t i = 0; i < upstreams; ++i) {
            upstream(i).flows.clear();
            restartAgent(i);
        }
        runFor(Millis(3500));
    }

    void sendRequests()
    {
        for (const std::size_t index : flows) {
            flow(index).balancer = 1;
            sendRequest(index);
        }
    }

    std::uint64_t searchesWithoutWait()
    {
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < count; ++i) {
            sum += agent(i).ownerSearch().counters().searchesWithoutWait;
        }
        return sum;
    }

    /// Checks that no flow is reset before the wait is over, and each soon after it.
    void expectWait()
    {
        sendRequests();
        runFor(BeforeWait);
        EXPECT_EQ(resetCount(), 0U);
        runFor(AfterWait);
        EXPECT_EQ(resetCount(), flows.size());
        EXPECT_EQ(searchesWithoutWait(), 0U);
    }

    std::vector<std::size_t> flows;
    std::size_t count;
};

SectionChange removalOf(const SectionChange &entry)
{
    SectionChange removal = entry;
    removal.removed = true;
    return removal;
}

} // namespace

// Guards against callers of dead flows waiting for lists to agree that have agreed all along.
TEST(SearchWait, LeftOutWhileNothingChanges)
{
    ForgottenFlows fleet;
    fleet.sendRequests();
    fleet.runFor(Millis(30));
    EXPECT_EQ(fleet.resetCount(), fleet.flows.size());
    EXPECT_EQ(fleet.searchesWithoutWait(), fleet.flows.size());
}

// Guards against entries that are written again, as hosts do, or that only lapse, counting as
// changes of the list.
TEST(SearchWait, LeftOutAfterSectionsThatChangeNothing)
{
    ForgottenFlows fleet;
    // An agent knows since when a list has been the same only if it has used it before.
    fleet.sendRequests();
    fleet.runFor(Millis(3500));
    for (const std::size_t index : fleet.flows) {
        fleet.flow(index).wasReset = false;
    }
    fleet.publish(fleet.upstreamSection(1));
    fleet.publish(removalOf(fleet.upstreamSection(2)));
    fleet.publish(SteeringFleet::domainSection("a"));
    fleet.runFor(Millis(100));
    fleet.sendRequests();
    fleet.runFor(Millis(30));
    EXPECT_EQ(fleet.resetCount(), fleet.flows.size());
}

// Guards against a reset while another process may know an owner that this one does not know yet.
TEST(SearchWait, KeptAfterAChangeOfTheList)
{
    ForgottenFlows fleet;
    fleet.addUpstream("kits", "b");
    fleet.runFor(Millis(100));
    fleet.expectWait();
}

// Guards against a wait that never ends after a change.
TEST(SearchWait, LeftOutOnceAChangeIsInForceEverywhere)
{
    ForgottenFlows fleet;
    fleet.addUpstream("kits", "b");
    fleet.runFor(Millis(3200));
    fleet.sendRequests();
    fleet.runFor(Millis(30));
    EXPECT_EQ(fleet.resetCount(), fleet.flows.size());
}

// Guards against a reset without a wait while one of the asked agents has another list, even if all
// agents of both lists have denied the flow.
TEST(SearchWait, KeptWhileTheListOfAnAskedAgentDiffers)
{
    ForgottenFlows fleet;
    // Agent 2 starts after the entry is gone, and does not know the upstream.
    fleet.publish(removalOf(fleet.upstreamSection(3)));
    fleet.restartAgent(2, true);
    fleet.runFor(Millis(3500));
    fleet.expectWait();
}

// Guards against a reset that lacks the answer of one agent: silence proves nothing.
TEST(SearchWait, KeptWhileAnAnswerIsMissing)
{
    ForgottenFlows fleet;
    fleet.unreachableAgents.insert(2);
    for (int i = 0; i < 5; ++i) {
        fleet.sendRequests();
        fleet.runFor(Millis(300));
        EXPECT_EQ(fleet.searchesWithoutWait(), 0U);
    }
    EXPECT_EQ(fleet.resetCount(), 0U);
}

// Guards against a search that concludes from an outdated view.
TEST(SearchWait, NothingIsResetWithAnOutdatedView)
{
    ForgottenFlows fleet;
    fleet.agentsMayAct = false;
    fleet.sendRequests();
    fleet.runFor(Millis(300));
    EXPECT_EQ(fleet.resetCount(), 0U);
}

namespace {

/// A flow at an upstream that the home of the flow does not know yet: only the agent beside it and
/// the first balancer know the change. The flow has moved to the second balancer.
struct FlowOfUnknownOwner : SmallFleet
{
    explicit FlowOfUnknownOwner(SectionChange newest)
        : SmallFleet(0, 2)
        , change(std::move(newest))
    {
        addBalancer();
        owner = addUpstream("documents", "a");
        // Longer than the time after a start in which the agents of all services are asked.
        runFor(agentSettings.flowLifetimeMax + Millis(1000));
    }

    void moveFlow()
    {
        publishAtBalancer(0, change);
        publishAtAgent(owner, change);
        flow = openFlow(0);
        runFor(Millis(100));
        ASSERT_TRUE(this->SteeringFleet::flow(flow).answered);
        ASSERT_EQ(upstreamOf(flow), owner);
        this->SteeringFleet::flow(flow).balancer = 1;
        sendRequest(flow);
    }

    [[nodiscard]] bool isAnswered() { return SteeringFleet::flow(flow).answered; }

    SectionChange change;
    std::size_t owner = 0;
    std::size_t flow = 0;
};

SectionChange movedRoute()
{
    RouteDocument document =
        decodeRoutes(SteeringFleet::routeSection({{"documents", 1}}).text).value();
    document.version = 2;
    return {RootName, Revision(2), encode(document)};
}

} // namespace

// Guards against a reset of an open flow whose route has just moved to a service that no asked
// agent knows as the route's.
TEST(SearchWait, KeptUntilAllAcknowledgedVersionsAreKnown)
{
    FlowOfUnknownOwner fleet(movedRoute());
    fleet.platformConfirms = false;
    fleet.moveFlow();
    fleet.runFor(Millis(400));
    EXPECT_EQ(fleet.resetCount(), 0U);
    fleet.publish(fleet.change);
    fleet.runFor(Millis(300));
    EXPECT_TRUE(fleet.isAnswered());
    EXPECT_EQ(fleet.resetCount(), 0U);
}

// Guards against a wait for the spread of a version that the platform can deliver at once.
TEST(SearchWait, OwnerOfAMovedRouteIsFoundWithThePlatformsAnswer)
{
    FlowOfUnknownOwner fleet(movedRoute());
    fleet.platformNews = fleet.change;
    fleet.moveFlow();
    fleet.runFor(Millis(60));
    EXPECT_TRUE(fleet.isAnswered());
    EXPECT_EQ(fleet.resetCount(), 0U);
}
