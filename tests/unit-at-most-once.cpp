// A non-idempotent request runs at most once, and one reported as not run has never run.

#include "fleet_fixture.hpp"
#include "property.hpp"

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string all;
    for (const std::string &line : lines) {
        all += line + '\n';
    }
    return all;
}

/// Injects one random fault, or undoes an earlier one. Each kind is frequent enough to hit requests
/// in progress.
void injectRandomFault(TestFleet &fleet, const Random &random)
{
    const auto agents = fleet.hostNames("agent-");
    const std::string agent = agents[randomBelow(random, agents.size())];
    const std::string upstream = agent.substr(std::string("agent-").size());
    switch (randomBelow(random, 8)) {
    case 0:
        fleet.kill(agent);
        break;
    case 1:
        fleet.kill(agent);
        fleet.start(agent);
        break;
    case 2:
        fleet.freeze(agent);
        break;
    case 3:
        fleet.wake(agent);
        break;
    case 4:
    case 5:
        if (fleet.host(agent).alive) {
            fleet.host(agent).agent->stop(fleet.now());
        }
        break;
    case 6: {
        const bool out = randomBelow(random, 2) == 0;
        fleet.entry(upstream).state = out ? AdminState::Out : AdminState::In;
        fleet.publish();
        break;
    }
    default:
        if (!fleet.host(agent).alive) {
            fleet.start(agent);
        }
        break;
    }
}

FleetOptions faultyNetworkOptions(std::uint64_t seed)
{
    FleetOptions options;
    options.seed = seed;
    options.upstreams = 4;
    options.data = {0.03, 0.2, Millis(1), Millis(200)};
    options.control = {0.05, 0.2, Millis(1), Millis(300)};
    return options;
}

/// Runs traffic under random faults; returns the violated invariants.
std::vector<std::string> runUnderRandomFaults(std::uint64_t seed)
{
    TestFleet fleet(faultyNetworkOptions(seed));
    const Random random = seededRandom(seed ^ 0x5eedU);
    fleet.run(Millis(4000));
    std::vector<TestCaller *> callers;
    for (int i = 0; i < 6; ++i) {
        callers.push_back(&fleet.addCaller());
    }
    int number = 0;
    for (int step = 0; step < 60; ++step) {
        for (TestCaller *caller : callers) {
            const bool post = randomBelow(random, 3) != 0;
            fleet.submit(*caller, post ? "POST" : "GET", "/orders/" + std::to_string(++number));
        }
        if (randomBelow(random, 3) == 0) {
            injectRandomFault(fleet, random);
        }
        fleet.run(Millis(static_cast<std::int64_t>(20 + randomBelow(random, 150))));
    }
    for (const std::string &agent : fleet.hostNames("agent-")) {
        fleet.wake(agent);
    }
    fleet.run(Millis(15'000));
    return fleet.violations();
}

} // namespace

TEST(AtMostOnce, HoldsUnderRandomFaults)
{
    check("no request runs twice and none reported as not run has run", [] {
        const auto seed = *rc::gen::resize(1000, rc::gen::arbitrary<std::uint64_t>());
        const auto violations = runUnderRandomFaults(seed);
        RC_LOG() << joinLines(violations);
        RC_ASSERT(violations.empty());
    });
}

TEST(AtMostOnce, CopiesThatArriveAfterAHandOverDoNotRunAgain)
{
    // Each packet is doubled, and copies arrive up to two seconds late, when the agent that ran the
    // request has handed its flows over.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        FleetOptions options;
        options.seed = seed;
        options.upstreams = 4;
        options.data.duplicate = 1;
        options.data.delayMax = Millis(2000);
        TestFleet fleet(options);
        fleet.run(Millis(4000));
        std::vector<TestCaller *> callers;
        for (int i = 0; i < 6; ++i) {
            callers.push_back(&fleet.addCaller());
        }
        int number = 0;
        for (const std::string &agent : fleet.hostNames("agent-")) {
            for (TestCaller *caller : callers) {
                fleet.submit(*caller, "POST", "/orders/" + std::to_string(++number), Millis(6000));
            }
            fleet.run(Millis(1000));
            fleet.host(agent).agent->stop(fleet.now());
            fleet.run(Millis(2500));
            fleet.kill(agent);
            fleet.start(agent);
            fleet.run(Millis(2500));
        }
        EXPECT_EQ(joinLines(fleet.violations()), "") << seed;
    }
}

TEST(AtMostOnce, AllRequestsAreAnsweredWithoutFaults)
{
    FleetOptions options;
    options.seed = 3;
    TestFleet fleet(options);
    fleet.run(Millis(3000));
    TestCaller &caller = fleet.addCaller();
    for (int i = 0; i < 100; ++i) {
        fleet.submit(caller, i % 2 == 0 ? "POST" : "GET", "/orders/" + std::to_string(i));
        fleet.run(Millis(30));
    }
    fleet.run(Millis(3000));
    for (const auto &call : fleet.calls()) {
        EXPECT_EQ(call->result.outcome, Outcome::Answered) << call->target;
    }
    EXPECT_EQ(joinLines(fleet.violations()), "");
    EXPECT_EQ(fleet.brokenFlows(), 0U);
}

TEST(AtMostOnce, DuplicatesReceiveTheStoredAnswer)
{
    FleetOptions options;
    options.data.duplicate = 1;
    options.data.delayMax = Millis(400);
    TestFleet fleet(options);
    fleet.run(Millis(3000));
    TestCaller &caller = fleet.addCaller();
    for (int i = 0; i < 50; ++i) {
        fleet.submit(caller, "POST", "/orders/" + std::to_string(i), Millis(4000));
        fleet.run(Millis(50));
    }
    fleet.run(Millis(6000));
    EXPECT_EQ(joinLines(fleet.violations()), "");
    for (const auto &call : fleet.calls()) {
        EXPECT_EQ(call->result.outcome, Outcome::Answered) << call->target;
        EXPECT_EQ(fleet.runsOf(call->target), 1U);
    }
}

TEST(AtMostOnce, RestartedOwnerDoesNotRepeatTheRequest)
{
    FleetOptions options;
    options.upstreams = 1;
    options.serviceTime = Millis(300);
    TestFleet fleet(options);
    fleet.run(Millis(3000));
    TestCaller &caller = fleet.addCaller();
    fleet.submit(caller, "POST", "/orders/1", Millis(5000));
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.runsOf("/orders/1") == 1; }, Millis(2000)));
    // The owner restarts while the request runs, before the caller retries.
    fleet.kill("agent-kits-1");
    fleet.start("agent-kits-1");
    fleet.run(Millis(8000));
    EXPECT_EQ(fleet.runsOf("/orders/1"), 1U);
    EXPECT_EQ(fleet.calls()[0]->result.outcome, Outcome::Unknown);
}

TEST(AtMostOnce, FrozenOwnerDoesNotRunExpiredRequests)
{
    FleetOptions options;
    options.upstreams = 2;
    TestFleet fleet(options);
    fleet.run(Millis(3000));
    TestCaller &caller = fleet.addCaller();
    fleet.submit(caller, "GET", "/warm");
    fleet.run(Millis(500));
    ASSERT_TRUE(caller.node->owner());
    std::string owner;
    for (const std::string &name : fleet.hostNames("agent-")) {
        if (fleet.host(name).endpoint == caller.node->owner()->agent) {
            owner = name;
        }
    }
    fleet.freeze(owner);
    fleet.submit(caller, "POST", "/orders/late", Millis(1000));
    fleet.run(Millis(60'000));
    EXPECT_TRUE(fleet.calls()[1]->done);
    EXPECT_NE(fleet.calls()[1]->result.outcome, Outcome::Answered);
    fleet.wake(owner);
    fleet.run(Millis(10'000));
    EXPECT_EQ(fleet.runsOf("/orders/late"), 0U);
}

TEST(AtMostOnce, OlderOfferDoesNotReplaceNewerOffer)
{
    // The second offer contains a request that the first lacks; the first offer arrives last.
    FleetOptions options;
    options.upstreams = 2;
    TestFleet fleet(options);
    fleet.run(Millis(3000));
    Host &successor = fleet.host("agent-kits-2");
    HandoverMessage first;
    first.sender = fleet.host("agent-kits-1").endpoint;
    first.id = 1;
    first.successor = successor.dissemination->settings().incarnation;
    const FlowKey key {{0x7f000001, 30'000}, fleet.kitsAddress};
    first.flows.push_back({FlowNonce(77), key, RequestSequence(0), {}});
    HandoverMessage second = first;
    second.id = 2;
    HandoverEntry ran;
    ran.sequence = RequestSequence(5);
    ran.state = LedgerState::Answered;
    ran.remaining = Millis(60'000);
    ran.answer = {200, "text/plain", "done"};
    ran.hasAnswer = true;
    second.flows[0].entries.push_back(ran);
    EXPECT_TRUE(successor.agent->onHandover(second, fleet.now()));
    EXPECT_TRUE(successor.agent->onHandover(first, fleet.now()));
    HandoverMessage commit = second;
    commit.commit = true;
    commit.flows.clear();
    commit.committed.push_back(FlowNonce(77));
    EXPECT_TRUE(successor.agent->onHandover(commit, fleet.now()));
    Request request;
    request.caller = CallerId("c0");
    request.sequence = RequestSequence(5);
    request.owner = OwnerToken {first.sender, Incarnation(1), FlowNonce(77)};
    request.service = ServiceName("kits");
    request.method = "POST";
    request.target = "/orders/5";
    DataPacket packet;
    packet.version = successor.dissemination->revision();
    packet.flow = key;
    packet.service = ServiceName("kits");
    successor.agent->onPacket(first.sender, packet, request, fleet.now());
    fleet.run(Millis(500));
    EXPECT_EQ(fleet.runsOf("/orders/5"), 0U);
}

TEST(AtMostOnce, RestartedSuccessorRejectsEarlierOffers)
{
    FleetOptions options;
    options.upstreams = 2;
    TestFleet fleet(options);
    fleet.run(Millis(3000));
    Host &successor = fleet.host("agent-kits-2");
    // The new process does not have the flows that the old one stored, so it must not accept either
    // phase of a hand-over to the old one.
    HandoverMessage message;
    message.id = 1;
    message.successor = successor.dissemination->settings().incarnation;
    fleet.kill("agent-kits-2");
    fleet.start("agent-kits-2");
    fleet.run(Millis(3000));
    EXPECT_FALSE(successor.agent->onHandover(message, fleet.now()));
}

TEST(Ledger, ExpiredRequestsNeverRunAgain)
{
    check("the state of a removed request is unknown", [] {
        Ledger ledger;
        const auto count = *rc::gen::inRange<std::uint64_t>(1, 20);
        Instant now(Millis(1000));
        for (std::uint64_t i = 1; i <= count; ++i) {
            const auto verdict = ledger.begin(RequestSequence(i), false, now + Millis(100), now);
            RC_ASSERT(verdict == Ledger::Verdict::Run);
            ledger.finish(RequestSequence(i), LedgerState::Unknown);
        }
        now += Millis(*rc::gen::inRange(101, 100'000));
        ledger.expire(now);
        RC_ASSERT(ledger.empty());
        for (std::uint64_t i = 1; i <= count; ++i) {
            const auto verdict = ledger.begin(RequestSequence(i), false, now + Millis(100), now);
            RC_ASSERT(verdict == Ledger::Verdict::Unknown);
        }
    });
}
