// A started or cold upstream receives no more than it can bear; a caller gets the whole answer to
// its own request; retries end with their cause.

#include "fleet_fixture.hpp"
#include "property.hpp"

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

/// Sends `perRound` requests every 20 ms.
void load(TestFleet &fleet, const std::vector<TestCaller *> &callers, int perRound, Millis time)
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

TEST(ColdStart, StartedUpstreamDoesNotCollapse)
{
    TestFleet fleet({});
    fleet.run(Millis(3000));
    const auto callers = fleet.addCallers(30);
    load(fleet, callers, 8, Millis(6000));
    // A new process: six times slower, and it falls over above six requests at once.
    FakeUpstream &cold = fleet.upstream("kits-2");
    fleet.kill("agent-kits-2");
    fleet.run(Millis(500));
    cold.serviceTime = Millis(120);
    cold.collapseAt = 6;
    cold.mostAtOnce = 0;
    fleet.start("agent-kits-2");
    // New flows reach the new process; those of before live elsewhere.
    load(fleet, fleet.addCallers(60), 14, Millis(4000));
    EXPECT_EQ(cold.collapses, 0U) << cold.mostAtOnce;
    EXPECT_GT(fleet.host("agent-kits-2").agent->counters().runs, 0U);
}

TEST(ColdStart, UpstreamThatTurnsColdDoesNotCollapse)
{
    TestFleet fleet({});
    fleet.run(Millis(3000));
    const auto callers = fleet.addCallers(30);
    load(fleet, callers, 10, Millis(8000));
    FakeUpstream &cold = fleet.upstream("kits-3");
    cold.serviceTime = Millis(120);
    cold.collapseAt = 8;
    load(fleet, callers, 26, Millis(4000));
    EXPECT_EQ(cold.collapses, 0U) << cold.mostAtOnce;
}

TEST(WholeAnswer, PartsLostLateAndCrossed)
{
    check("answers arrive whole, each at its own request", [] {
        FleetOptions options;
        options.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        options.data = {0.1, 0.2, Millis(1), Millis(250)};
        TestFleet fleet(options);
        fleet.answersVary = true;
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
        const auto breaches = fleet.breaches();
        RC_ASSERT(breaches.empty());
        std::size_t answered = 0;
        for (const auto &told : fleet.told()) {
            answered += told->result.outcome == Outcome::Answered ? 1 : 0;
        }
        // A tenth of all datagrams is lost both ways; most still come through.
        RC_ASSERT(answered * 10 >= fleet.told().size() * 9);
    });
}

TEST(WholeAnswer, PartsOfTwoRunsNeverMix)
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

TEST(Overload, RefusesEarlyAndEndsWithItsCause)
{
    FleetOptions options;
    options.slots = 3;
    options.upstreams = 3;
    TestFleet fleet(options);
    fleet.run(Millis(3000));
    const auto callers = fleet.addCallers(30);
    // 9 slots of 20 ms bear 450 a second.
    load(fleet, callers, 4, Millis(8000));
    const std::size_t first = fleet.told().size();
    load(fleet, callers, 11, Millis(6000));
    const std::size_t last = fleet.told().size();
    fleet.run(Millis(3000));
    double answered = 0;
    for (std::size_t i = first; i < last; ++i) {
        const CallResult &result = fleet.told()[i]->result;
        answered += result.outcome == Outcome::Answered ? 1 : 0;
    }
    // 90 % of capacity, over the six seconds of the burst.
    EXPECT_GE(answered, 0.9 * 450 * 6);
    for (const std::string &breach : fleet.breaches()) {
        ADD_FAILURE() << breach;
    }
    // After the burst no storm of retries goes on.
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

TEST(RetryBudget, IsASmallShareOfRequests)
{
    RetryBudget budget(0.2, 10);
    int spent = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onRequest();
        spent += budget.spend() ? 1 : 0;
    }
    EXPECT_LE(spent, 211);
    EXPECT_GE(spent, 200);
}

TEST(ConcurrencyLimit, FindsTheSlotsOfAnUpstream)
{
    check("the limit settles between the slots and twice the slots", [] {
        const auto slots = *rc::gen::inRange<std::size_t>(3, 20);
        const auto service = *rc::gen::inRange(10, 80);
        const Random random = seededRandom(*rc::gen::inRange<std::uint64_t>(1, 100'000));
        ConcurrencyLimit limit;
        Instant now(Millis(1000));
        // A probe halves the limit for a moment, so the mean over the end counts.
        double sum = 0;
        constexpr int Answers = 20'000;
        constexpr int Counted = 5000;
        for (int i = 0; i < Answers; ++i) {
            const auto running = static_cast<std::size_t>(limit.value(now));
            const double queueing =
                std::max(1.0, static_cast<double>(running) / static_cast<double>(slots));
            const auto jitter = 0.6 + static_cast<double>(below(random, 800)) / 1000.0;
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
