// A restarted or slowed upstream is not overloaded, callers get the complete answers to their own
// requests, and retries end when the overload ends.

#include "fleet_fixture.hpp"
#include "property.hpp"

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

/// Sends `perRound` requests every 20 ms.
void generateLoad(TestFleet &fleet, const std::vector<TestCaller *> &callers, int perRound,
                  Millis time)
{
    static int number = 0;
    const Instant until = fleet.now() + time;
    while (fleet.now() < until) {
        for (int i = 0; i < perRound; ++i) {
            ++number;
            TestCaller &caller = *callers[static_cast<std::size_t>(number) % callers.size()];
            fleet.submit(caller, number % 5 == 0 ? "POST" : "GET", "/l/" + std::to_string(number));
        }
        fleet.run(Millis(20));
    }
}

} // namespace

TEST(ColdStart, RestartedUpstreamDoesNotCollapse)
{
    TestFleet fleet({});
    fleet.run(Millis(3000));
    const auto callers = fleet.addCallers(30);
    generateLoad(fleet, callers, 8, Millis(6000));
    // The restarted process is six times slower and collapses above six concurrent requests.
    FakeUpstream &cold = fleet.upstream("kits-2");
    fleet.kill("agent-kits-2");
    fleet.run(Millis(500));
    cold.serviceTime = Millis(120);
    cold.collapseAbove = 6;
    cold.maxConcurrent = 0;
    fleet.start("agent-kits-2");
    // Only new flows reach the restarted process; existing flows belong to other agents.
    generateLoad(fleet, fleet.addCallers(60), 14, Millis(4000));
    EXPECT_EQ(cold.collapses, 0U) << cold.maxConcurrent;
    EXPECT_GT(fleet.host("agent-kits-2").agent->counters().runs, 0U);
}

TEST(ColdStart, SlowedUpstreamDoesNotCollapse)
{
    TestFleet fleet({});
    fleet.run(Millis(3000));
    const auto callers = fleet.addCallers(30);
    generateLoad(fleet, callers, 10, Millis(8000));
    FakeUpstream &cold = fleet.upstream("kits-3");
    cold.serviceTime = Millis(120);
    cold.collapseAbove = 8;
    generateLoad(fleet, callers, 26, Millis(4000));
    EXPECT_EQ(cold.collapses, 0U) << cold.maxConcurrent;
}

TEST(AnswerReassembly, LostDelayedAndReorderedParts)
{
    check("callers get complete answers to their own requests", [] {
        FleetOptions options;
        options.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        options.data = {0.1, 0.2, Millis(1), Millis(250)};
        TestFleet fleet(options);
        fleet.bodiesVary = true;
        fleet.run(Millis(4000));
        TestCaller &one = fleet.addCaller();
        TestCaller &two = fleet.addCaller();
        for (int i = 0; i < 15; ++i) {
            const std::string size = "?size=" + std::to_string(500 * i);
            fleet.submit(one, "GET", "/one/" + std::to_string(i) + size, Millis(6000));
            fleet.submit(two, "GET", "/two/" + std::to_string(i) + size, Millis(6000));
            fleet.run(Millis(60));
        }
        fleet.run(Millis(8000));
        const auto violations = fleet.violations();
        RC_ASSERT(violations.empty());
        std::size_t answered = 0;
        for (const auto &call : fleet.calls()) {
            answered += call->result.outcome == Outcome::Answered ? 1 : 0;
        }
        // A tenth of the datagrams is lost in each direction; retries must still get 90 % answered.
        RC_ASSERT(answered * 10 >= fleet.calls().size() * 9);
    });
}

TEST(AnswerReassembly, PartsOfTwoRunsAreNotCombined)
{
    CallerSettings settings;
    settings.id = CallerId("c1");
    settings.service = ServiceName("kits");
    settings.mechanisms = mechanismsUnderTest();
    CallerNode caller(settings, [](const Request &) {});
    const Instant now(Millis(1000));
    std::optional<CallResult> result;
    caller.submit(
        {"GET", "/", "", "", Millis(5000)}, [&](const CallResult &r) { result = r; }, now);
    Response head;
    head.caller = settings.id;
    head.sequence = RequestSequence(1);
    const std::string first(PartBytes * 2, 'a');
    const std::string second(PartBytes * 2, 'b');
    const auto one = splitAnswer(head, {200, "", first}, {});
    const auto two = splitAnswer(head, {200, "", second}, {});
    caller.onResponse(one[0], now);
    caller.onResponse(two[1], now);
    EXPECT_FALSE(result.has_value());
    caller.onResponse(two[0], now);
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result->answer.body, second);
}

TEST(Overload, AnswersUpToCapacityAndRetriesEnd)
{
    FleetOptions options;
    options.slots = 3;
    options.upstreams = 3;
    TestFleet fleet(options);
    fleet.run(Millis(3000));
    const auto callers = fleet.addCallers(30);
    // The capacity is 9 slots with a service time of 20 ms: 450 requests per second.
    generateLoad(fleet, callers, 4, Millis(8000));
    const std::size_t first = fleet.calls().size();
    generateLoad(fleet, callers, 11, Millis(6000));
    const std::size_t last = fleet.calls().size();
    fleet.run(Millis(3000));
    double answered = 0;
    for (std::size_t i = first; i < last; ++i) {
        const CallResult &result = fleet.calls()[i]->result;
        answered += result.outcome == Outcome::Answered ? 1 : 0;
    }
    // 90 % of capacity, over the six seconds of the burst.
    EXPECT_GE(answered, 0.9 * 450 * 6);
    for (const std::string &violation : fleet.violations()) {
        ADD_FAILURE() << violation;
    }
    // Retries must not continue after the burst.
    std::uint64_t sent = 0;
    for (const TestCaller *caller : callers) {
        sent += caller->node->counters().sent;
    }
    fleet.run(Millis(5000));
    std::uint64_t later = 0;
    for (const TestCaller *caller : callers) {
        later += caller->node->counters().sent;
    }
    EXPECT_EQ(later, sent);
}

TEST(RetryBudget, LimitsRetriesToAShareOfRequests)
{
    RetryBudget budget(0.2, 10);
    int spent = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onRequest();
        spent += budget.spend() ? 1 : 0;
    }
    // The initial 10 tokens and 0.2 per request allow about 210 retries.
    EXPECT_LE(spent, 211);
    EXPECT_GE(spent, 200);
}

TEST(ConcurrencyLimit, ConvergesToTheSlotsOfAnUpstream)
{
    check("the limit settles between the slots and twice the slots", [] {
        const auto slots = *rc::gen::inRange<std::size_t>(3, 20);
        const auto service = *rc::gen::inRange(10, 80);
        const Random random = seededRandom(*rc::gen::inRange<std::uint64_t>(1, 100'000));
        ConcurrencyLimit limit;
        Instant now(Millis(1000));
        // Probing halves the limit for one window, so the mean of the last answers is checked.
        double sum = 0;
        constexpr int Answers = 20'000;
        constexpr int Counted = 5000;
        for (int i = 0; i < Answers; ++i) {
            const auto running = static_cast<std::size_t>(limit.value(now));
            const double queueing =
                std::max(1.0, static_cast<double>(running) / static_cast<double>(slots));
            const auto jitter = 0.6 + static_cast<double>(randomBelow(random, 800)) / 1000.0;
            const auto latency = static_cast<std::int64_t>(service * queueing * jitter);
            now += Millis(1 + latency / static_cast<std::int64_t>(running));
            limit.onSuccess(Millis(latency), running, now);
            sum += i >= Answers - Counted ? limit.value(now) : 0;
        }
        const double mean = sum / Counted;
        RC_LOG() << "mean limit " << mean << " slots " << slots;
        RC_ASSERT(mean >= static_cast<double>(slots) * 0.9);
        RC_ASSERT(mean <= static_cast<double>(slots) * 2);
    });
}
