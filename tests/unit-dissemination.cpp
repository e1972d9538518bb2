// Dissemination in one process with simulated peers: isolation, removals after a platform outage,
// and platform reads that no peer confirms.

#include <bergamotglade/detail/dissemination/dissemination.hpp>

#include <gtest/gtest.h>

using namespace bergamotglade;

namespace {

const Instant Start {Millis(1'000'000)};
const Endpoint Self {1, 7720};
const Endpoint Agent {2, 7720};
const Endpoint Balancer {3, 7720};

/// A process with a simulated agent and balancer, which may reply to its notices.
struct Process
{
    Process()
        : dissemination(settings(), hooks(), seededRandom(1))
    { }

    static DisseminationSettings settings()
    {
        DisseminationSettings settings;
        settings.self = Self;
        settings.seeds = {Agent, Balancer};
        settings.gossipInterval = Millis(400);
        settings.asksReaders = true;
        return settings;
    }

    DisseminationHooks hooks()
    {
        DisseminationHooks hooks;
        hooks.sendNotice = [this](const Endpoint &peer, const Notice &notice) {
            if (peer == Agent && notice.wantsReply && agentAnswers) {
                Notice reply;
                reply.sender = Agent;
                reply.echo = notice.probe;
                replies.push_back(reply);
            }
            if (peer == Balancer && notice.wantsReply && balancerAnswers) {
                Notice reply;
                reply.sender = Balancer;
                reply.echo = notice.probe;
                replies.push_back(reply);
            }
        };
        hooks.fetchFromPeer = [](const Endpoint &, Revision) {
        };
        hooks.readPlatform = [this](Revision since, bool) {
            ++platformReads;
            lastSince = since;
        };
        hooks.readVmList = [] {
        };
        hooks.applySection = [this](const SectionChange &change) {
            appliedChanges.push_back(change);
            return Findings {};
        };
        hooks.agents = [] {
            return std::vector<Endpoint> {Agent};
        };
        return hooks;
    }

    void runUntil(Instant end)
    {
        for (; now < end; now += Millis(20)) {
            dissemination.onTick(now);
            std::vector<Notice> due;
            due.swap(replies);
            for (const Notice &reply : due) {
                dissemination.onNotice(reply, now);
            }
        }
    }

    bool agentAnswers = true;
    bool balancerAnswers = false;
    Instant now = Start;
    std::size_t platformReads = 0;
    Revision lastSince;
    std::vector<Notice> replies;
    std::vector<SectionChange> appliedChanges;
    Dissemination dissemination;
};

ChangeBatch batch(std::uint64_t since, std::uint64_t upTo, std::vector<SectionChange> changes)
{
    ChangeBatch batch;
    batch.since = Revision(since);
    batch.upTo = Revision(upTo);
    batch.changes = std::move(changes);
    return batch;
}

} // namespace

TEST(Isolation, DetectedWhenAgentsStopAnswering)
{
    Process process;
    process.dissemination.start(Start);
    process.dissemination.onPlatformBatch(batch(0, 5, {{RootName, Revision(5), "r"}}), Start);
    process.runUntil(Start + Millis(5000));
    EXPECT_TRUE(process.dissemination.isConnected(process.now));
    process.agentAnswers = false;
    process.runUntil(Start + Millis(7500));
    EXPECT_FALSE(process.dissemination.isConnected(process.now));
    process.agentAnswers = true;
    process.runUntil(Start + Millis(8500));
    EXPECT_TRUE(process.dissemination.isConnected(process.now));
}

TEST(Isolation, RepliesOfBalancersDoNotCount)
{
    Process process;
    process.balancerAnswers = true;
    process.dissemination.start(Start);
    process.dissemination.onPlatformBatch(batch(0, 5, {{RootName, Revision(5), "r"}}), Start);
    process.runUntil(Start + Millis(5000));
    EXPECT_TRUE(process.dissemination.isConnected(process.now));
    process.agentAnswers = false;
    process.runUntil(Start + Millis(7500));
    EXPECT_FALSE(process.dissemination.isConnected(process.now));
}

TEST(LapsedRemovals, MarkedRightAfterOutage)
{
    // Leases expire during an outage, so the platform reports upstreams as removed that still run.
    Process process;
    process.dissemination.start(Start);
    process.dissemination.onPlatformBatch(
        batch(0, 5, {{SectionName("upstream/x"), Revision(5), "x"}}), Start);
    process.dissemination.onPlatformFailed(Start + Millis(1000));
    process.dissemination.onPlatformBatch(
        batch(5, 6, {{SectionName("upstream/x"), Revision(6), "", true}}), Start + Millis(3000));
    ASSERT_EQ(process.appliedChanges.size(), 2U);
    EXPECT_TRUE(process.appliedChanges.back().lapsed);
}

TEST(LapsedRemovals, NotMarkedWithoutOutage)
{
    Process process;
    process.dissemination.start(Start);
    process.dissemination.onPlatformBatch(
        batch(0, 5, {{SectionName("upstream/x"), Revision(5), "x"}}), Start);
    process.dissemination.onPlatformBatch(
        batch(5, 6, {{SectionName("upstream/x"), Revision(6), "", true}}), Start + Millis(9000));
    EXPECT_FALSE(process.appliedChanges.back().lapsed);
}

TEST(Freshness, ReadsPlatformWithoutPeerConfirmation)
{
    // If no peer replies, the first platform answer is not confirmed. The process must keep
    // reading.
    Process process;
    process.dissemination.start(Start);
    process.dissemination.onPlatformBatch(batch(0, 5, {{RootName, Revision(5), "r"}}), Start);
    process.agentAnswers = false;
    const std::size_t before = process.platformReads;
    process.runUntil(Start + Millis(60'000));
    EXPECT_GT(process.platformReads, before);
}
