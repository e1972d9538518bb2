#include "steering_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

/// One service of three upstreams in two failure domains, one balancer.
struct Small : SteeringFleet
{
    explicit Small(double coldPerSecond = 0, std::size_t upstreams = 3)
    {
        publish(routesTo({{"kits", 1}}, coldPerSecond));
        for (std::size_t i = 0; i < upstreams; ++i) {
            addUpstream("kits", i == 0 ? "a" : "b");
        }
        addBalancer();
        runFor(Millis(3000));
    }

    void load(std::size_t flows, Millis gap = Millis(5))
    {
        for (std::size_t i = 0; i < flows; ++i) {
            openFlow(0);
            runFor(gap);
        }
        runFor(Millis(500));
    }
};

std::size_t answeredOf(SteeringFleet &fleet, std::size_t flows)
{
    std::size_t answered = 0;
    for (std::size_t i = 0; i < flows; ++i) {
        answered += fleet.flow(i).answered ? 1 : 0;
    }
    return answered;
}

} // namespace

// Calm

TEST(SteeringCalm, EveryFlowIsAnsweredAndSpread)
{
    Small fleet;
    fleet.load(300);
    EXPECT_EQ(answeredOf(fleet, 300), 300U);
    EXPECT_EQ(fleet.resets(), 0U);
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_GT(fleet.upstream(i).openings.size(), 60U);
    }
}

// Routes

TEST(SteeringRoutes, AgentOfAnotherServiceDeliversNoOpening)
{
    Small fleet;
    const std::size_t other = fleet.addUpstream("documents", "a");
    // A balancer that holds an old entry sends flows to an address that serves another service.
    SectionChange stale = fleet.entryOf(other);
    UpstreamEntry entry = decodeUpstream(stale.text).value();
    entry.service = ServiceName("kits");
    stale.text = encode(entry);
    fleet.publishAtBalancer(0, stale);
    fleet.load(100);
    EXPECT_TRUE(fleet.upstream(other).openings.empty());
    EXPECT_EQ(answeredOf(fleet, 100), 100U);
}

TEST(SteeringRoutes, UnknownRouteIsResetAtOnce)
{
    Small fleet;
    RouteDocument none;
    none.version = 2;
    fleet.publish({RootName, Revision(2), encode(none)});
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(10));
    EXPECT_TRUE(fleet.flow(flow).wasReset);
}

// Leaving upstreams, failure domains that are out

TEST(SteeringLeaving, GetsNoNewFlowsAlsoFromABalancerThatDoesNotKnow)
{
    Small fleet;
    SteeringFleet &all = fleet;
    all.publish(all.entryOf(0, true));
    // The balancer has not heard of it yet.
    all.publishAtBalancer(0, all.entryOf(0));
    fleet.load(100);
    EXPECT_TRUE(fleet.upstream(0).openings.empty());
    EXPECT_EQ(answeredOf(fleet, 100), 100U);
}

TEST(SteeringLeaving, KeepsItsOpenFlows)
{
    Small fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 12; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(50));
    fleet.publish(fleet.entryOf(0, true));
    fleet.runFor(Millis(1000));
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(answeredOf(fleet, 12), 12U);
    EXPECT_EQ(fleet.resets(), 0U);
}

TEST(SteeringDomainOut, GetsNoNewFlowsAlsoFromABalancerThatDoesNotKnow)
{
    Small fleet;
    fleet.publish(fleet.domainOut("a"));
    fleet.publishAtBalancer(0, fleet.domainOut("a", false));
    fleet.load(100);
    EXPECT_TRUE(fleet.upstream(0).openings.empty());
    EXPECT_EQ(answeredOf(fleet, 100), 100U);
}

TEST(SteeringDomainOut, TakesFlowsAgainWhenItIsBack)
{
    Small fleet;
    fleet.publish(fleet.domainOut("a"));
    fleet.load(20);
    fleet.publish(fleet.domainOut("a", false));
    fleet.load(100);
    EXPECT_FALSE(fleet.upstream(0).openings.empty());
}

// Cold upstreams

TEST(SteeringCold, GetsNoMoreThanItsRateFromAllBalancersTogether)
{
    constexpr double Rate = 10;
    Small fleet(Rate);
    fleet.addBalancer();
    fleet.addBalancer();
    fleet.publish(fleet.entryOf(0, false, Millis(4000)));
    for (std::size_t i = 0; i < 600; ++i) {
        fleet.openFlow(i % 3);
        fleet.runFor(Millis(5));
    }
    const auto &openings = fleet.upstream(0).openings;
    for (std::size_t i = 0; i < openings.size(); ++i) {
        const auto later = std::count_if(openings.begin(), openings.end(), [&](Instant at) {
            return at >= openings[i] && at < openings[i] + Millis(1000);
        });
        EXPECT_LE(static_cast<double>(later), Rate * 1.5 + 5);
    }
    EXPECT_FALSE(openings.empty());
    EXPECT_EQ(fleet.resets(), 0U);
}

// Open flows

TEST(SteeringFlows, SurviveAnotherBalancer)
{
    Small fleet(0, 6);
    fleet.addBalancer();
    std::vector<std::size_t> flows;
    for (int i = 0; i < 40; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    for (const std::size_t flow : flows) {
        fleet.flow(flow).balancer = 1;
        fleet.request(flow);
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(answeredOf(fleet, 40), 40U);
    EXPECT_EQ(fleet.resets(), 0U);
}

TEST(SteeringFlows, SurviveARestartOfTheirAgentAndBalancer)
{
    Small fleet(0, 6);
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
        fleet.request(flow);
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(answeredOf(fleet, 40), 40U);
    EXPECT_EQ(fleet.resets(), 0U);
}

TEST(SteeringFlows, OfAnUpstreamThatTheSearchingBalancerDoesNotKnowAreNotReset)
{
    Small fleet(0, 2);
    const std::size_t late = fleet.addUpstream("kits", "b");
    fleet.runFor(Millis(100));
    std::vector<std::size_t> flows;
    for (int i = 0; i < 20; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    // The other balancer and the agents lack the new upstream for a moment.
    const SectionChange entry = fleet.entryOf(late);
    SectionChange missing = entry;
    missing.removed = true;
    fleet.publish(missing);
    fleet.addBalancer();
    for (const std::size_t flow : flows) {
        fleet.flow(flow).balancer = 1;
        fleet.request(flow);
    }
    fleet.runFor(Millis(100));
    fleet.publish(entry);
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(fleet.resets(), 0U);
    EXPECT_EQ(answeredOf(fleet, 20), 20U);
}

TEST(SteeringFlows, ThatNobodyHoldsAreResetAtTheSecondSearch)
{
    Small fleet;
    const std::size_t flow = fleet.openFlow(0, true);
    fleet.runFor(Millis(50));
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.upstream(i).flows.clear();
    }
    fleet.request(flow);
    fleet.runFor(Millis(100));
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    fleet.runFor(Millis(100));
    fleet.request(flow);
    fleet.runFor(Millis(100));
    EXPECT_TRUE(fleet.flow(flow).wasReset);
}

TEST(SteeringFlows, AreNotResetWhileAHolderCannotBeAsked)
{
    Small fleet;
    const std::size_t flow = fleet.openFlow(0, true);
    fleet.runFor(Millis(50));
    const std::size_t owner = fleet.upstreamOf(flow);
    fleet.deadAgents.insert(owner);
    fleet.restartBalancer(0);
    for (int i = 0; i < 5; ++i) {
        fleet.request(flow);
        fleet.runFor(Millis(200));
    }
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    fleet.deadAgents.clear();
    fleet.request(flow);
    fleet.runFor(Millis(200));
    EXPECT_TRUE(fleet.flow(flow).answered);
}

TEST(SteeringFlows, OfASlowUpstreamAreNotReset)
{
    Small fleet(0, 1);
    fleet.upstream(0).work = Millis(3000);
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(3500));
    EXPECT_TRUE(fleet.flow(flow).answered);
    EXPECT_FALSE(fleet.flow(flow).wasReset);
}

// Failures

TEST(SteeringFailures, OpeningsOfASilentUpstreamAreOfferedElsewhereSoon)
{
    Small fleet;
    fleet.upstream(0).dead = true;
    fleet.load(100);
    EXPECT_EQ(answeredOf(fleet, 100), 100U);
    for (std::size_t i = 0; i < 100; ++i) {
        EXPECT_LE(fleet.flow(i).answeredAt - fleet.flow(i).openedAt, Millis(150));
    }
}

TEST(SteeringFailures, OpeningsToADeadAgentAreOfferedElsewhereSoon)
{
    Small fleet;
    fleet.deadAgents.insert(1);
    fleet.load(100);
    EXPECT_EQ(answeredOf(fleet, 100), 100U);
    for (std::size_t i = 0; i < 100; ++i) {
        EXPECT_LE(fleet.flow(i).answeredAt - fleet.flow(i).openedAt, Millis(190));
    }
}

TEST(SteeringFailures, FlowsOfACrashedUpstreamAreResetSoTheCallerRetries)
{
    Small fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 30; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(50));
    fleet.upstream(0).dead = true;
    std::size_t held = 0;
    for (const std::size_t flow : flows) {
        if (fleet.upstreamOf(flow) == 0) {
            ++held;
            fleet.request(flow);
        }
    }
    fleet.load(200, Millis(10));
    EXPECT_GT(held, 0U);
    EXPECT_EQ(fleet.resets(), held);
}

TEST(SteeringFailures, FullUpstreamsPassOpeningsOnAndAllFullMeansAResetAtOnce)
{
    Small fleet;
    fleet.upstream(0).full = true;
    fleet.upstream(1).full = true;
    fleet.load(60, Millis(20));
    EXPECT_EQ(answeredOf(fleet, 60), 60U);
    fleet.upstream(2).full = true;
    const std::size_t refused = fleet.openFlow(0);
    fleet.runFor(Millis(30));
    EXPECT_TRUE(fleet.flow(refused).wasReset);
}

TEST(SteeringFailures, AnUpstreamThatRefusesFlowsGetsOnlyProbesUnderOverload)
{
    Small fleet;
    fleet.upstream(0).full = true;
    // 500 flows a second for the 400 that the other two can bear.
    fleet.load(500, Millis(2));
    // One refusal in 300 ms over the second and the tail, with what is on its way at each.
    EXPECT_LE(fleet.agent(0).counters().returned, 20U);
}

TEST(SteeringFailures, AnUpstreamThatTakesFlowsAgainIsUsedAgain)
{
    Small fleet;
    fleet.upstream(0).full = true;
    fleet.load(100);
    fleet.upstream(0).full = false;
    // One probe is enough: its outcome is known before the next would be due.
    fleet.load(200);
    const std::size_t before = fleet.upstream(0).openings.size();
    fleet.load(150);
    EXPECT_GT(fleet.upstream(0).openings.size() - before, 30U);
}

TEST(SteeringFailures, AnUpstreamThatResetsItsFlowsGetsOnlyProbes)
{
    Small fleet;
    fleet.upstream(1).resetsRequests = true;
    // An upstream that fails at once always looks idle.
    fleet.load(300);
    // Three resets to notice, then one probe every 300 ms for two seconds, with some slack.
    EXPECT_LE(fleet.resets(), 16U);
    EXPECT_EQ(answeredOf(fleet, 300) + fleet.resets(), 300U);
}

TEST(SteeringFailures, AnUpstreamThatStopsResettingItsFlowsIsUsedAgain)
{
    Small fleet;
    fleet.upstream(1).resetsRequests = true;
    fleet.load(200);
    fleet.upstream(1).resetsRequests = false;
    // Doubt at balancers ends, probes come back with answers.
    fleet.load(600);
    const std::size_t before = fleet.upstream(1).openings.size();
    fleet.load(300);
    EXPECT_GT(fleet.upstream(1).openings.size() - before, 60U);
}

TEST(SteeringOverload, AFlowThatIsHandedBackIsTakenAndNotSentAroundAgain)
{
    // Two upstreams that each hand on: the second one has nobody else than the first.
    Small fleet(0, 2);
    fleet.upstream(0).full = true;
    fleet.upstream(1).full = true;
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(3));
    fleet.upstream(0).full = false;
    fleet.upstream(1).full = false;
    fleet.runFor(Millis(150));
    EXPECT_TRUE(fleet.flow(flow).answered || fleet.flow(flow).wasReset);
}

TEST(SteeringFailures, UpstreamsThatAllResetTheirFlowsStayInUse)
{
    Small fleet;
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.upstream(i).resetsRequests = true;
    }
    fleet.load(300);
    std::size_t openings = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        openings += fleet.upstream(i).openings.size();
    }
    // Doubt never takes a whole service away: every flow still reaches an upstream.
    EXPECT_GE(openings, 300U);
}

TEST(SteeringFailures, AStoppingAgentHandsOpeningsOnAndKeepsItsFlows)
{
    Small fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 12; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(50));
    const std::size_t before = fleet.upstream(0).openings.size();
    fleet.agent(0).stop(fleet.now());
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    fleet.load(100);
    EXPECT_EQ(fleet.upstream(0).openings.size(), before);
    EXPECT_EQ(answeredOf(fleet, 112), 112U);
}

TEST(SteeringPause, ABalancerThatMayNotActPlacesNothing)
{
    Small fleet;
    fleet.balancersMayAct = false;
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(500));
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_TRUE(fleet.upstream(i).openings.empty());
    }
    EXPECT_FALSE(fleet.flow(flow).wasReset);
    fleet.balancersMayAct = true;
    fleet.runFor(Millis(200));
    EXPECT_TRUE(fleet.flow(flow).answered);
}

TEST(SteeringPause, AnAgentThatMayNotActTakesNothing)
{
    Small fleet;
    fleet.agentsMayAct = false;
    const std::size_t flow = fleet.openFlow(0);
    fleet.runFor(Millis(300));
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_TRUE(fleet.upstream(i).openings.empty());
    }
    fleet.agentsMayAct = true;
    fleet.runFor(Millis(700));
    EXPECT_TRUE(fleet.flow(flow).answered);
}

TEST(SteeringPause, AnAgentThatWakesDoesNotTakeItsUpstreamForCrashed)
{
    Small fleet;
    std::vector<std::size_t> flows;
    for (int i = 0; i < 12; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.upstream(i).answerDelay = Millis(10);
    }
    // Requests and new flows are at the upstreams when the agents stop; the answers wait.
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    for (int i = 0; i < 6; ++i) {
        fleet.openFlow(0);
    }
    fleet.runFor(Millis(4));
    fleet.freezeAgents();
    fleet.runFor(Millis(4000));
    fleet.thawAgents();
    fleet.runFor(Millis(1000));
    // The callers of the six new flows have given up meanwhile; those may be refused.
    for (const std::size_t flow : flows) {
        EXPECT_FALSE(fleet.flow(flow).wasReset);
    }
    EXPECT_EQ(answeredOf(fleet, 12), 12U);
}

// Start with nothing

TEST(SteeringStart, HeldFlowsArePlacedWhenRoutesComeAndAgentsAnnounceThemselves)
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
    // The platform is back with the routes; entries of upstreams have expired.
    fleet.publish(SteeringFleet::routesTo({{"kits", 1}}));
    fleet.runFor(Millis(300));
    EXPECT_EQ(answeredOf(fleet, 20), 20U);
    EXPECT_EQ(fleet.resets(), 0U);
}

TEST(SteeringStart, AnAnnouncedUpstreamWhoseEntryStaysMissingIsGone)
{
    SteeringFleet fleet;
    fleet.publish(SteeringFleet::routesTo({{"kits", 1}}));
    fleet.addUpstream("kits", "a", false);
    fleet.addUpstream("kits", "a", true);
    fleet.addBalancer();
    fleet.runFor(Millis(3000));
    const std::size_t before = fleet.upstream(0).openings.size();
    for (int i = 0; i < 50; ++i) {
        fleet.openFlow(0);
        fleet.runFor(Millis(10));
    }
    fleet.runFor(Millis(500));
    EXPECT_EQ(fleet.upstream(0).openings.size(), before);
    EXPECT_EQ(answeredOf(fleet, 50), 50U);
}

TEST(SteeringFlows, PacketsDoNotCircleBetweenAgentsThatHandedAFlowToEachOther)
{
    Small fleet(0, 2);
    // The first agent hands flows to the second, because its upstream leaves.
    fleet.publish(fleet.entryOf(0, true));
    fleet.publishAtBalancer(0, fleet.entryOf(0));
    std::vector<std::size_t> flows;
    for (int i = 0; i < 4; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(700));
    // Later the second one, started again, hands copies of them to the first.
    fleet.publish(fleet.entryOf(0));
    fleet.publish(fleet.entryOf(1, true));
    fleet.publishAtBalancer(0, fleet.entryOf(1));
    fleet.upstream(1).flows.clear();
    fleet.restartAgent(1);
    for (const std::size_t flow : flows) {
        fleet.flow(flow).open = false;
        fleet.resendOpening(flow);
    }
    fleet.runFor(Millis(100));
    const auto passed = [&] {
        return fleet.agent(0).counters().passedOn + fleet.agent(1).counters().passedOn;
    };
    const std::uint64_t before = passed();
    for (const std::size_t flow : flows) {
        fleet.flow(flow).open = true;
        fleet.request(flow);
    }
    fleet.runFor(Millis(1000));
    EXPECT_LE(passed() - before, flows.size() * 20);
}

TEST(SteeringFlows, ThatWereSearchedGoStraightToTheirOwnerAfterwards)
{
    Small fleet(0, 6);
    std::vector<std::size_t> flows;
    for (int i = 0; i < 40; ++i) {
        flows.push_back(fleet.openFlow(0, true));
    }
    fleet.runFor(Millis(100));
    fleet.restartBalancer(0);
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    fleet.runFor(Millis(300));
    const std::uint64_t searched = fleet.balancer(0).counters().searched;
    EXPECT_GT(searched, 0U);
    for (const std::size_t flow : flows) {
        fleet.request(flow);
    }
    fleet.runFor(Millis(300));
    EXPECT_EQ(fleet.balancer(0).counters().searched, searched);
    EXPECT_EQ(answeredOf(fleet, 40), 40U);
}

// Overload

TEST(SteeringOverload, FlowsThatCanBeInTimeComeBeforeThoseThatAreLate)
{
    Small fleet(0, 2);
    fleet.upstream(0).work = Millis(40);
    fleet.upstream(1).work = Millis(40);
    // 200 a second fit; a backlog of 150 comes at once, then 150 a second for two seconds.
    constexpr std::size_t Backlog = 150;
    constexpr std::size_t Fresh = 300;
    for (std::size_t i = 0; i < Backlog; ++i) {
        fleet.openFlow(0);
    }
    fleet.runFor(Millis(300));
    for (std::size_t i = 0; i < Fresh; ++i) {
        fleet.openFlow(0);
        fleet.runFor(Millis(7));
    }
    fleet.runFor(Millis(1500));
    std::size_t inTime = 0;
    for (std::size_t i = Backlog; i < Backlog + Fresh; ++i) {
        const CallerFlow &flow = fleet.flow(i);
        inTime += flow.answered && flow.answeredAt - flow.openedAt <= Millis(250) ? 1 : 0;
    }
    EXPECT_GE(inTime, Fresh * 9 / 10);
    EXPECT_GE(answeredOf(fleet, Backlog), Backlog / 4);
}

TEST(SteeringOverload, FlowsThatWaitAreOfferedOnce)
{
    Small fleet(0, 2);
    fleet.upstream(0).work = Millis(100);
    fleet.upstream(1).work = Millis(100);
    for (int i = 0; i < 60; ++i) {
        fleet.openFlow(0);
        fleet.runFor(Millis(7));
    }
    fleet.runFor(Millis(1300));
    std::vector<FlowKey> opened = fleet.upstream(0).opened;
    opened.insert(opened.end(), fleet.upstream(1).opened.begin(), fleet.upstream(1).opened.end());
    const std::size_t all = opened.size();
    std::sort(opened.begin(), opened.end());
    opened.erase(std::unique(opened.begin(), opened.end()), opened.end());
    EXPECT_EQ(opened.size(), all);
    EXPECT_EQ(fleet.balancer(0).counters().reoffered, 0U);
}

TEST(SteeringOverload, CallersThatGaveUpHoldNoSlot)
{
    Small fleet(0, 1);
    for (int i = 0; i < 40; ++i) {
        const std::size_t flow = fleet.openFlow(0, true);
        // Looks open to the fixture: the caller is gone and answers nothing.
        fleet.flow(flow).open = true;
    }
    fleet.runFor(Millis(2000));
    for (int i = 0; i < 40; ++i) {
        fleet.openFlow(0);
        fleet.runFor(Millis(10));
    }
    fleet.runFor(Millis(500));
    std::size_t answered = 0;
    for (std::size_t i = 40; i < 80; ++i) {
        answered += fleet.flow(i).answered ? 1 : 0;
    }
    EXPECT_EQ(answered, 40U);
}

TEST(SteeringStop, DoesNotWaitForFlowsThatNoEndUsesAnyMore)
{
    Small fleet;
    for (int i = 0; i < 12; ++i) {
        fleet.openFlow(0, true);
    }
    fleet.runFor(Millis(50));
    fleet.agent(0).stop(fleet.now());
    EXPECT_GT(fleet.agent(0).openCount(fleet.now()), 0U);
    fleet.runFor(Millis(2000));
    EXPECT_EQ(fleet.agent(0).openCount(fleet.now()), 0U);
}

// Explanations

TEST(SteeringExplain, BalancerAndAgentTellWhereAFlowIs)
{
    Small fleet;
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
    EXPECT_FALSE(other.idle.has_value());
}

TEST(SteeringExplain, CandidatesSayWhyTheyGetNoFlows)
{
    Small fleet;
    fleet.publish(fleet.entryOf(2, true));
    fleet.publish(SteeringFleet::domainOut("a"));
    const FlowKey key {Endpoint {1, 1}, SteeringFleet::RouteAddress};
    std::map<Endpoint, std::string_view> states;
    for (const FlowCandidate &c : fleet.balancer(0).explain(key, fleet.now()).candidates) {
        states[c.agent] = c.state;
    }
    EXPECT_EQ(states[fleet.upstream(0).agent], "failure domain is out");
    EXPECT_EQ(states[fleet.upstream(1).agent], "takes flows");
    EXPECT_EQ(states[fleet.upstream(2).agent], "upstream is leaving");
    const FlowKey nowhere {key.caller, Endpoint {2, 2}};
    EXPECT_EQ(fleet.balancer(0).explain(nowhere, fleet.now()).stage, "no route");
}
