// Supervisor, burn rates, rumors, metrics, HTTP front end and commands.

#include "property.hpp"

#include <bergamotglade/detail/burn/burn.hpp>
#include <bergamotglade/detail/cli/commands.hpp>
#include <bergamotglade/detail/cli/front.hpp>
#include <bergamotglade/detail/daemon/metrics.hpp>
#include <bergamotglade/detail/daemon/supervisor.hpp>
#include <bergamotglade/detail/membership/rumors.hpp>

using namespace bergamotglade;

namespace {

/// Child that appends its starts and stops to `calls`.
Child makeChild(const std::string &name, std::vector<std::string> &calls, bool startSucceeds = true)
{
    return {name,
            [name, &calls, startSucceeds]() -> Result<void> {
                calls.push_back("start " + name);
                if (!startSucceeds) {
                    return Error {ErrorCode::Io, "start fails as requested by the test"};
                }
                return boost::outcome_v2::success();
            },
            [name, &calls] {
                calls.push_back("stop " + name);
            }};
}

} // namespace

TEST(Supervisor, StartsInOrderAndStopsInReverse)
{
    std::vector<std::string> calls;
    Supervisor supervisor("root", {}, [](const std::string &) {});
    Supervisor inner("inner", {}, [](const std::string &) {});
    inner.add(makeChild("b", calls));
    supervisor.add(makeChild("a", calls));
    supervisor.add(inner.asChild());
    ASSERT_TRUE(supervisor.start());
    supervisor.stop();
    const std::vector<std::string> expected {"start a", "start b", "stop b", "stop a"};
    EXPECT_EQ(calls, expected);
}

TEST(Supervisor, FailedStartStopsTheChildrenStartedBefore)
{
    std::vector<std::string> calls;
    Supervisor supervisor("root", {}, [](const std::string &) {});
    supervisor.add(makeChild("a", calls));
    supervisor.add(makeChild("b", calls, false));
    const auto started = supervisor.start();
    ASSERT_FALSE(started);
    EXPECT_NE(started.error().message.find("root/b"), std::string::npos);
    EXPECT_EQ(calls.back(), "stop a");
}

TEST(Supervisor, GivesUpBeyondTheRestartLimit)
{
    std::vector<std::string> calls;
    std::string reason;
    Supervisor supervisor("root", {2, Millis(1000)},
                          [&](const std::string &message) { reason = message; });
    supervisor.add(makeChild("a", calls));
    ASSERT_TRUE(supervisor.start());
    Instant now(Millis(1));
    supervisor.onChildFailed("a", "x", now);
    supervisor.onChildFailed("a", "x", now + Millis(10));
    EXPECT_EQ(supervisor.restarts(), 2U);
    EXPECT_TRUE(reason.empty());
    // Failures outside the window do not count.
    supervisor.onChildFailed("a", "x", now + Millis(5000));
    EXPECT_EQ(supervisor.restarts(), 3U);
    supervisor.onChildFailed("a", "x", now + Millis(5010));
    supervisor.onChildFailed("a", "boom", now + Millis(5020));
    EXPECT_NE(reason.find("boom"), std::string::npos);
}

TEST(Burn, ReportsRateBudgetAndLevel)
{
    Service service;
    service.name = ServiceName("kits");
    service.objective = {0.99, Millis(300), Millis(std::chrono::hours(24 * 30))};
    BurnSample good {service.name, UpstreamId("k1"), FailureDomainId("z1"),
                     {99, 100},    {990, 1000},      {990, 1000}};
    auto lines = burnReport({service}, {good});
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NEAR(lines[0].longBurn, 1.0, 1e-9);
    EXPECT_NEAR(lines[0].budgetLeft, 0.0, 1e-9);
    EXPECT_EQ(lines[0].level, BurnLevel::Ok);
    BurnSample bad = good;
    bad.upstream = UpstreamId("k2");
    bad.domain = FailureDomainId("z2");
    bad.shortWindow = {50, 100};
    bad.longWindow = {500, 1000};
    bad.sinceStart = {500, 1000};
    lines = burnReport({service}, {good, bad});
    EXPECT_EQ(lines[0].level, BurnLevel::Fast);
    EXPECT_EQ(lines[0].worstUpstream, UpstreamId("k2"));
    EXPECT_EQ(lines[0].worstDomain, FailureDomainId("z2"));
    EXPECT_LT(lines[0].budgetLeft, 0);
    EXPECT_EQ(burnRate({0, 0}, service.objective), 0);
}

TEST(Burn, WindowCounterDropsOldCounts)
{
    WindowCounter window;
    const Instant start(Millis(100'000'000));
    window.add({1, 2}, start);
    window.add({3, 3}, start + Millis(200'000));
    EXPECT_EQ(window.sum(Millis(300'000), start + Millis(200'000)).all, 5U);
    EXPECT_EQ(window.sum(Millis(60'000), start + Millis(200'000)).all, 3U);
    EXPECT_EQ(window.sum(Millis(3'600'000), start + Millis(3'700'000)).all, 3U);
}

TEST(Rumors, SubjectRefutesSuspicionUnlessLeaving)
{
    const Endpoint subject {1, 1};
    const Endpoint observer {2, 2};
    const Instant now(Millis(1000));
    RumorTable subjectTable(subject, Millis(60'000));
    subjectTable.onRumor({subject, 3, true}, now);
    EXPECT_FALSE(subjectTable.isSuspect(subject));
    const auto refutation = subjectTable.takePending(5);
    ASSERT_EQ(refutation.size(), 1U);
    EXPECT_EQ(refutation[0].counter, 4U);
    EXPECT_FALSE(refutation[0].suspect);
    RumorTable observerTable(observer, Millis(60'000));
    observerTable.markSuspect(subject, now);
    EXPECT_TRUE(observerTable.isSuspect(subject));
    observerTable.onRumor(refutation[0], now);
    EXPECT_FALSE(observerTable.isSuspect(subject));
    subjectTable.setLeaving(true, now);
    subjectTable.onRumor({subject, 99, true}, now);
    EXPECT_TRUE(subjectTable.isSuspect(subject));
    EXPECT_TRUE(subjectTable.isLeaving(subject));
    subjectTable.setLeaving(false, now);
    EXPECT_FALSE(subjectTable.isSuspect(subject));
    observerTable.expire(now + Millis(60'001));
    EXPECT_EQ(observerTable.size(), 0U);
}

TEST(Metrics, SerializesCountersAndGauges)
{
    Metrics metrics;
    metrics.addCounter("runs", "Requests started", [] { return 3.0; });
    metrics.addGauge("flows", "Flows held", [] { return 2.0; });
    const std::string text = metrics.serialize();
    EXPECT_NE(text.find("bergamotglade_runs_total 3"), std::string::npos) << text;
    EXPECT_NE(text.find("# TYPE bergamotglade_flows gauge"), std::string::npos) << text;
}

TEST(Front, OutcomesMapToStatusCodes)
{
    CallResult result;
    result.outcome = Outcome::NotRun;
    result.retryAfter = Millis(1200);
    HttpReply reply = toHttpReply(result);
    EXPECT_EQ(reply.status, 503);
    EXPECT_EQ(reply.header("retry-after"), "2");
    EXPECT_NE(reply.body.find("not-run"), std::string::npos);
    result.outcome = Outcome::Unknown;
    reply = toHttpReply(result);
    EXPECT_EQ(reply.status, 504);
    EXPECT_NE(reply.body.find("unknown"), std::string::npos);
    result.outcome = Outcome::Answered;
    result.answer = {404, "text/plain", "none"};
    EXPECT_EQ(toHttpReply(result).status, 404);
}

TEST(Commands, ExplainFlowRequiresBothAddressesAndAProcess)
{
    CliOptions options;
    options.processes = {Endpoint {0x7f000001, 1}};
    std::ostringstream out;
    std::ostringstream err;
    for (const char *bad : {"", "10.0.0.1:80", "10.0.0.1:80>", ">10.0.0.1:80", "a>b"}) {
        EXPECT_EQ(explainFlowCommand(options, bad, out, err), CliUsage) << bad;
    }
    options.processes.clear();
    EXPECT_EQ(explainFlowCommand(options, "10.0.0.1:80>10.0.0.2:81", out, err), CliUsage);
    EXPECT_EQ(out.str(), "");
}

TEST(Commands, ExplainFlowNamesAnUnreachableProcess)
{
    CliOptions options;
    // Nothing listens on this port.
    options.processes = {Endpoint {0x7f000001, 1}};
    std::ostringstream out;
    std::ostringstream err;
    EXPECT_EQ(explainFlowCommand(options, "10.0.0.1:80>10.0.0.2:81", out, err), CliUsage);
    EXPECT_NE(err.str().find("127.0.0.1:1"), std::string::npos);
}
