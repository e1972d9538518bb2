// Planned changes break no established flow, a draining upstream gets no new requests, and planned
// stops abort no request.

#include "fleet_fixture.hpp"
#include "property.hpp"

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

/// Callers with open flows that each send a request every 100 ms during a change.
class Traffic
{
public:
    Traffic(TestFleet &fleet, int callers)
        : m_fleet(fleet)
    {
        for (int i = 0; i < callers; ++i) {
            m_callers.push_back(&fleet.addCaller());
        }
        submitRound();
        fleet.run(Millis(1000));
    }

    void submitRound()
    {
        for (TestCaller *caller : m_callers) {
            const bool post = ++m_number % 3 == 0;
            m_fleet.submit(*caller, post ? "POST" : "GET", "/r/" + std::to_string(m_number));
        }
    }

    void runFor(Millis time)
    {
        const Instant until = m_fleet.now() + time;
        while (m_fleet.now() < until) {
            submitRound();
            m_fleet.run(Millis(100));
        }
    }

    void expectNoFailures()
    {
        m_fleet.run(Millis(4000));
        EXPECT_EQ(m_fleet.brokenFlows(), 0U);
        for (const auto &call : m_fleet.calls()) {
            EXPECT_EQ(call->result.outcome, Outcome::Answered)
                << call->method << ' ' << call->target << ' ' << call->result.reason;
        }
        for (const std::string &violation : m_fleet.violations()) {
            ADD_FAILURE() << violation;
        }
    }

private:
    TestFleet &m_fleet;
    std::vector<TestCaller *> m_callers;
    int m_number = 0;
};

} // namespace

TEST(FlowsSurvive, UpstreamTakenOutAndBack)
{
    TestFleet fleet({});
    fleet.run(Millis(3000));
    Traffic traffic(fleet, 20);
    fleet.entry("kits-1").state = AdminState::Out;
    fleet.publish();
    traffic.runFor(Millis(4000));
    EXPECT_GT(fleet.movedFlows(), 0U);
    fleet.entry("kits-1").state = AdminState::In;
    fleet.publish();
    traffic.runFor(Millis(3000));
    traffic.expectNoFailures();
}

TEST(FlowsSurvive, UpstreamRemovedFromTheDocument)
{
    TestFleet fleet({});
    fleet.run(Millis(3000));
    Traffic traffic(fleet, 20);
    fleet.removeEntry("kits-2");
    fleet.publish();
    traffic.runFor(Millis(4000));
    EXPECT_EQ(fleet.host("agent-kits-2").agent->ownedCount(), 0U);
    fleet.kill("agent-kits-2");
    traffic.runFor(Millis(3000));
    traffic.expectNoFailures();
}

TEST(FlowsSurvive, WeightsChange)
{
    TestFleet fleet({});
    fleet.run(Millis(3000));
    Traffic traffic(fleet, 20);
    for (const std::uint32_t weight : {10U, 1000U, 100U}) {
        fleet.entry("kits-3").weight = Weight(weight);
        fleet.publish();
        traffic.runFor(Millis(1000));
    }
    traffic.expectNoFailures();
}

TEST(FlowsSurvive, AllBalancersReplacedAtOnce)
{
    TestFleet fleet({});
    fleet.run(Millis(3000));
    Traffic traffic(fleet, 10);
    for (const std::string &name : fleet.hostNames("balancer-")) {
        fleet.kill(name);
        fleet.start(name);
    }
    traffic.runFor(Millis(2000));
    traffic.expectNoFailures();
}

TEST(FlowsSurvive, RollingReplacementOfAllAgents)
{
    TestFleet fleet({});
    fleet.run(Millis(3000));
    Traffic traffic(fleet, 20);
    for (const std::string &name : fleet.hostNames("agent-")) {
        fleet.host(name).agent->stop(fleet.now());
        traffic.runFor(Millis(2000));
        ASSERT_TRUE(fleet.host(name).agent->isDrained(fleet.now())) << name;
        fleet.kill(name);
        traffic.runFor(Millis(500));
        fleet.start(name);
        traffic.runFor(Millis(3500));
    }
    traffic.expectNoFailures();
}

TEST(FlowsSurvive, BalancerSeveralRevisionsBehind)
{
    TestFleet fleet({});
    fleet.run(Millis(3000));
    Traffic traffic(fleet, 20);
    // One balancer gets no updates while the document changes.
    fleet.blockUpdates("balancer-1");
    for (std::uint32_t i = 1; i <= 5; ++i) {
        fleet.entry("kits-" + std::to_string(i)).weight = Weight(100 * i);
        fleet.publish();
        traffic.runFor(Millis(300));
    }
    const Host &outdated = fleet.host("balancer-1");
    EXPECT_LT(outdated.dissemination->revision(), fleet.platformRevision());
    traffic.expectNoFailures();
}

TEST(FlowsSurvive, TwoConcurrentChanges)
{
    check("two concurrent planned changes break no flow", [] {
        FleetOptions options;
        options.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        TestFleet fleet(options);
        fleet.run(Millis(3000));
        TestCaller &caller = fleet.addCaller();
        TestCaller &other = fleet.addCaller();
        fleet.submit(caller, "GET", "/open");
        fleet.submit(other, "GET", "/open-too");
        fleet.run(Millis(500));
        const auto first = "kits-" + std::to_string(*rc::gen::inRange(1, 4));
        const auto second = "kits-" + std::to_string(*rc::gen::inRange(4, 6));
        fleet.entry(first).state = AdminState::Out;
        if (*rc::gen::arbitrary<bool>()) {
            fleet.removeEntry(second);
        } else {
            fleet.entry(second).weight = Weight(700);
        }
        fleet.publish();
        fleet.kill("balancer-2");
        fleet.start("balancer-2");
        for (int i = 0; i < 20; ++i) {
            fleet.submit(caller, i % 2 == 0 ? "POST" : "GET", "/a/" + std::to_string(i));
            fleet.submit(other, "POST", "/b/" + std::to_string(i));
            fleet.run(Millis(150));
        }
        fleet.run(Millis(3000));
        RC_ASSERT(fleet.brokenFlows() == 0U);
        RC_ASSERT(fleet.violations().empty());
        for (const auto &call : fleet.calls()) {
            RC_ASSERT(call->result.outcome == Outcome::Answered);
        }
    });
}

TEST(Draining, UpstreamGetsNoNewRequestsAfterThreeSeconds)
{
    TestFleet fleet({});
    fleet.run(Millis(3000));
    Traffic traffic(fleet, 20);
    fleet.entry("kits-4").state = AdminState::Out;
    fleet.publish();
    traffic.runFor(Millis(3000));
    const std::uint64_t runs = fleet.host("agent-kits-4").agent->counters().runs;
    traffic.runFor(Millis(5000));
    EXPECT_EQ(fleet.host("agent-kits-4").agent->counters().runs, runs);
    traffic.expectNoFailures();
}

TEST(Draining, StopCompletesRunningRequests)
{
    check("long requests are answered while all agents but one stop", [] {
        FleetOptions options;
        options.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        options.serviceTime = Millis(800);
        TestFleet fleet(options);
        fleet.run(Millis(3000));
        int number = 0;
        for (TestCaller *caller : fleet.addCallers(8)) {
            fleet.submit(*caller, "POST", "/long/" + std::to_string(++number) + "?size=9000",
                         Millis(6000));
        }
        fleet.run(Millis(400));
        const bool removed = *rc::gen::arbitrary<bool>();
        for (int i = 1; i <= 4; ++i) {
            const std::string upstream = "kits-" + std::to_string(i);
            if (removed) {
                fleet.removeEntry(upstream);
            } else {
                fleet.host("agent-" + upstream).agent->stop(fleet.now());
            }
        }
        fleet.publish();
        fleet.run(Millis(6000));
        for (const auto &call : fleet.calls()) {
            RC_LOG() << call->target << ' ' << call->result.reason << '\n';
            RC_ASSERT(call->result.outcome == Outcome::Answered);
            RC_ASSERT(call->result.answer.body.size() >= 9000U);
        }
        RC_ASSERT(fleet.violations().empty());
    });
}
