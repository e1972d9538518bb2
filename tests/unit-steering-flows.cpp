// Open flows: search for their owner, loops between agents, draining, explanations.

#include "small_fleet.hpp"

#include <gtest/gtest.h>

#include <map>

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

/// Two agents that hand off copies of the same flows to each other, one after the other, so that
/// each keeps a redirect to the other.
struct CrossedRedirects : SmallFleet
{
    CrossedRedirects()
        : SmallFleet(0, 2)
    {
        // The first agent hands off flows to the second, because its own upstream leaves. The
        // balancer does not know that and still sends flows to it.
        publish(upstreamSection(0, true));
        publishAtBalancer(0, upstreamSection(0));
        for (int i = 0; i < 4; ++i) {
            flows.push_back(openFlow(0, true));
        }
        runFor(Millis(700));
        // Later the second agent, which has restarted, hands off copies of them to the first.
        publish(upstreamSection(0));
        publish(upstreamSection(1, true));
        publishAtBalancer(0, upstreamSection(1));
        upstream(1).flows.clear();
        restartAgent(1);
        for (const std::size_t index : flows) {
            flow(index).open = false;
            resendOpening(index);
        }
    }

    [[nodiscard]] std::uint64_t packetsPassedOn()
    {
        return agent(0).counters().packetsPassedOn + agent(1).counters().packetsPassedOn;
    }

    /// Packets that agents pass on within a second of one request on each flow. A packet in a loop
    /// would be passed on once per millisecond.
    std::uint64_t packetsPassedOnByRequests()
    {
        const std::uint64_t before = packetsPassedOn();
        for (const std::size_t index : flows) {
            flow(index).open = true;
            sendRequest(index);
        }
        runFor(Millis(1000));
        return packetsPassedOn() - before;
    }

    std::vector<std::size_t> flows;
};

} // namespace

// Guards against an agent forgetting a flow that its upstream has finished and its caller has not:
// the caller's next packet would be answered by a reset.
TEST(SteeringFlows, AreKeptUntilBothEndsHaveFinished)
{
    SmallFleet fleet;
    // Agents that have run for the lifetime of a flow do not ask their upstreams for unknown flows.
    fleet.runFor(Millis(61'000));
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(100));
    const std::size_t owner = fleet.upstreamOf(flow);
    fleet.finishFlow(flow, 400);
    fleet.runFor(Millis(10'000));
    EXPECT_EQ(fleet.agent(owner).flowCount(), 1U);
    fleet.acknowledge(flow, 400);
    fleet.runFor(Millis(1000));
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    fleet.finishFromCaller(flow);
    fleet.runFor(Millis(2500));
    EXPECT_EQ(fleet.agent(owner).flowCount(), 0U);
}

TEST(SteeringFlows, SurviveAChangeOfBalancer)
{
    SmallFleet fleet(0, 6);
    fleet.addBalancer();
    std::vector<std::size_t> flows;
    for (int i = 0; i < 40; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    for (const std::size_t flow : flows) {
        fleet.flow(flow).balancer = 1;
        fleet.sendRequest(flow);
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(countAnswered(fleet, 40), 40U);
    EXPECT_EQ(fleet.resetCount(), 0U);
}

TEST(SteeringFlows, SurviveARestartOfTheirAgentAndBalancer)
{
    SmallFleet fleet(0, 6);
    std::vector<std::size_t> flows;
    for (int i = 0; i < 40; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.restartAgent(i);
    }
    fleet.restartBalancer(0);
    for (const std::size_t flow : flows) {
        fleet.sendRequest(flow);
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(countAnswered(fleet, 40), 40U);
    EXPECT_EQ(fleet.resetCount(), 0U);
}

TEST(SteeringFlows, OfAnUpstreamUnknownToTheSearchingBalancerAreNotReset)
{
    SmallFleet fleet(0, 2);
    const std::size_t late = fleet.addUpstream("kits", "b");
    fleet.runFor(Millis(100));
    std::vector<std::size_t> flows;
    for (int i = 0; i < 20; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    // The other balancer and the agents lack the new upstream for a moment.
    const SectionChange entry = fleet.upstreamSection(late);
    SectionChange missing = entry;
    missing.removed = true;
    fleet.publish(missing);
    fleet.addBalancer();
    for (const std::size_t flow : flows) {
        fleet.flow(flow).balancer = 1;
        fleet.sendRequest(flow);
    }
    fleet.runFor(Millis(100));
    fleet.publish(entry);
    for (const std::size_t flow : flows) {
        fleet.sendRequest(flow);
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(fleet.resetCount(), 0U);
    EXPECT_EQ(countAnswered(fleet, 20), 20U);
}

TEST(SteeringFlows, AreFoundByABalancerThatKnowsTheUpstreamFromAnAnnouncementOnly)
{
    SmallFleet fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 20; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    // A balancer that has just started knows the first upstream from an announcement only and so
    // ranks the upstreams differently from the agents.
    fleet.addBalancer(false);
    fleet.publishAtBalancer(1, SteeringFleet::routeSection({{"kits", 1}}));
    fleet.publishAtBalancer(1, fleet.upstreamSection(1));
    fleet.publishAtBalancer(1, fleet.upstreamSection(2));
    fleet.announceAtBalancer(1, 0);
    for (const std::size_t flow : flows) {
        fleet.flow(flow).balancer = 1;
        fleet.sendRequest(flow);
    }
    fleet.runFor(Millis(200));
    for (const std::size_t flow : flows) {
        fleet.sendRequest(flow);
    }
    fleet.runFor(Millis(200));
    EXPECT_EQ(fleet.resetCount(), 0U);
    EXPECT_EQ(countAnswered(fleet, 20), 20U);
}

TEST(SteeringFlows, WithoutAnOwnerAreResetAtTheSecondSearch)
{
    // No agent saw the flow open, and the list of possible owners has just changed: the lists of
    // two processes may differ, so that the search has to wait.
    SmallFleet fleet;
    const std::size_t flow = fleet.openFlow(0, true);
    fleet.runFor(Millis(50));
    fleet.addUpstream("kits", "b");
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.upstream(i).flows.clear();
        fleet.restartAgent(i);
    }
    fleet.sendRequest(flow);
    fleet.runFor(Millis(100));
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    fleet.runFor(Millis(100));
    fleet.sendRequest(flow);
    fleet.runFor(Millis(100));
    EXPECT_TRUE(fleet.flow(flow).wasReset);
}

TEST(SteeringFlows, AreNotResetWhileAPossibleOwnerIsUnreachable)
{
    SmallFleet fleet;
    const std::size_t flow = fleet.openFlow(0, true);
    fleet.runFor(Millis(50));
    const std::size_t owner = fleet.upstreamOf(flow);
    fleet.unreachableAgents.insert(owner);
    fleet.restartBalancer(0);
    for (int i = 0; i < 5; ++i) {
        fleet.sendRequest(flow);
        fleet.runFor(Millis(200));
    }
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    fleet.unreachableAgents.clear();
    fleet.sendRequest(flow);
    fleet.runFor(Millis(200));
    EXPECT_TRUE(fleet.flow(flow).answered);
}

TEST(SteeringFlows, OfASlowUpstreamAreNotReset)
{
    SmallFleet fleet(0, 1);
    fleet.upstream(0).serviceTime = Millis(3000);
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(3500));
    EXPECT_TRUE(fleet.flow(flow).answered);
    EXPECT_FALSE(fleet.flow(flow).wasReset);
}

TEST(SteeringFlows, PacketsDoNotLoopBetweenAgentsThatHandedOffAFlowToEachOther)
{
    CrossedRedirects fleet;
    // The second agent hands off the copies to the first, whose older redirect sends them back. The
    // second hands them off again, now with more hops, and the first accepts them.
    fleet.runFor(Millis(100));
    EXPECT_LE(fleet.packetsPassedOnByRequests(), fleet.flows.size() * 20);
}

TEST(SteeringFlows, PacketsDoNotLoopBetweenRedirectsToEachOther)
{
    CrossedRedirects fleet;
    // The second agent hands off the copies to the first, whose older redirect sends them back.
    // They are lost on the way back, so that both redirects remain.
    fleet.runFor(Millis(3));
    fleet.unreachableAgents.insert(1);
    fleet.runFor(Millis(3));
    fleet.unreachableAgents.erase(1);
    EXPECT_LE(fleet.packetsPassedOnByRequests(), fleet.flows.size() * 20);
}

TEST(SteeringFlows, AreForwardedToTheirOwnerDirectlyAfterASearch)
{
    SmallFleet fleet(0, 6);
    std::vector<std::size_t> flows;
    for (int i = 0; i < 40; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    fleet.restartBalancer(0);
    for (const std::size_t flow : flows) {
        fleet.sendRequest(flow);
    }
    fleet.runFor(Millis(300));
    const std::uint64_t searched = fleet.balancer(0).counters().packetsSearched;
    EXPECT_GT(searched, 0U);
    for (const std::size_t flow : flows) {
        fleet.sendRequest(flow);
    }
    fleet.runFor(Millis(300));
    EXPECT_EQ(fleet.balancer(0).counters().packetsSearched, searched);
    EXPECT_EQ(countAnswered(fleet, 40), 40U);
}

TEST(SteeringDrain, DoesNotWaitForIdleFlows)
{
    SmallFleet fleet;
    for (int i = 0; i < 12; ++i) {
        fleet.openFlow(0, true);
    }
    fleet.runFor(Millis(50));
    fleet.agent(0).startDraining(fleet.now());
    EXPECT_GT(fleet.agent(0).activeFlowCount(fleet.now()), 0U);
    fleet.runFor(Millis(2000));
    EXPECT_EQ(fleet.agent(0).activeFlowCount(fleet.now()), 0U);
}

TEST(SteeringExplain, BalancerAndAgentReportTheOwnerOfAFlow)
{
    SmallFleet fleet;
    const std::size_t flow = fleet.openFlow(0, true);
    fleet.runFor(Millis(50));
    const FlowKey key = fleet.flow(flow).key;
    const std::size_t owner = fleet.upstreamOf(flow);
    const FlowExplanation balancer = fleet.balancer(0).explain(key, fleet.now());
    EXPECT_EQ(balancer.stage, "open");
    EXPECT_EQ(balancer.target, fleet.upstream(owner).agent);
    EXPECT_EQ(balancer.tried, std::vector<Endpoint> {fleet.upstream(owner).agent});
    EXPECT_EQ(balancer.candidates.size(), 3U);
    EXPECT_EQ(fleet.agent(owner).explain(key, fleet.now()).stage, "open");
    const FlowExplanation other = fleet.agent((owner + 1) % 3).explain(key, fleet.now());
    EXPECT_EQ(other.stage, "not known here");
    EXPECT_FALSE(other.known);
}

TEST(SteeringExplain, AgentReportsFlowsThatWaitForASlot)
{
    SmallFleet fleet(0, 1);
    fleet.upstream(0).serviceTime = Millis(400);
    std::vector<std::size_t> flows;
    for (int i = 0; i < 12; ++i) {
        flows.push_back(fleet.openFlow(0));
        fleet.runFor(Millis(5));
    }
    const FlowExplanation last = fleet.agent(0).explain(fleet.flow(flows.back()).key, fleet.now());
    EXPECT_EQ(last.stage, "waits for a slot");
    EXPECT_TRUE(last.known);
    EXPECT_TRUE(fleet.balancer(0).explain(fleet.flow(flows.back()).key, fleet.now()).known);
}

TEST(SteeringExplain, CandidatesStateWhyTheyGetNoFlows)
{
    SmallFleet fleet;
    fleet.publish(fleet.upstreamSection(2, true));
    fleet.publish(SteeringFleet::domainSection("a"));
    const FlowKey key {Endpoint {1, 1}, SteeringFleet::RouteAddress};
    const auto stateOf = [&](std::size_t upstream) {
        std::map<Endpoint, std::string_view> states;
        for (const FlowCandidate &c : fleet.balancer(0).explain(key, fleet.now()).candidates) {
            states[c.agent] = c.state;
        }
        return states[fleet.upstream(upstream).agent];
    };
    EXPECT_EQ(stateOf(0), "failure domain is out");
    EXPECT_EQ(stateOf(1), "takes flows");
    EXPECT_EQ(stateOf(2), "upstream is leaving");
    fleet.publish(SteeringFleet::routeSection({{"kits", 0}, {"documents", 1}}));
    EXPECT_EQ(stateOf(1), "route sends no new flows to the service");
    const FlowKey nowhere {key.caller, Endpoint {2, 2}};
    EXPECT_EQ(fleet.balancer(0).explain(nowhere, fleet.now()).stage, "no route");
}
