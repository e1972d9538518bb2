#include <bergamotglade/detail/dissemination/dissemination.hpp>

#include <gtest/gtest.h>

using namespace bergamotglade;

namespace {

const Instant Start {Millis(1'000'000)};
const Endpoint Self {1, 7720};
const Endpoint Peer {2, 7720};
const Endpoint Balancer {3, 7720};

/// One process that records what it sends; a peer may answer its questions.
struct Process
{
    Process()
        : spread(settings(), hooks(), seededRandom(1))
    { }

    static DisseminationSettings settings()
    {
        DisseminationSettings settings;
        settings.self = Self;
        settings.seeds = {Peer, Balancer};
        settings.gossipInterval = Millis(400);
        settings.asksReaders = true;
        return settings;
    }

    DisseminationHooks hooks()
    {
        DisseminationHooks hooks;
        hooks.sendNotice = [this](const Endpoint &peer, const Notice &notice) {
            if (peer == Peer && notice.wantsReply && answers) {
                Notice reply;
                reply.sender = Peer;
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
            ++reads;
            lastSince = since;
        };
        hooks.readVmList = [] {
        };
        hooks.takeSection = [this](const SectionChange &change) {
            taken.push_back(change);
            return Findings {};
        };
        hooks.agents = [] {
            return std::vector<Endpoint> {Peer};
        };
        return hooks;
    }

    void runUntil(Instant end)
    {
        for (; now < end; now += Millis(20)) {
            spread.onTick(now);
            std::vector<Notice> due;
            due.swap(replies);
            for (const Notice &reply : due) {
                spread.onNotice(reply, now);
            }
        }
    }

    bool answers = true;
    bool balancerAnswers = false;
    Instant now = Start;
    std::size_t reads = 0;
    Revision lastSince;
    std::vector<Notice> replies;
    std::vector<SectionChange> taken;
    Dissemination spread;
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

TEST(Isolation, AProcessWhosePeersStopAnsweringKnowsThatItIsCutOff)
{
    Process process;
    process.spread.start(Start);
    process.spread.onPlatformBatch(batch(0, 5, {{RootName, Revision(5), "r"}}), Start);
    process.runUntil(Start + Millis(5000));
    EXPECT_TRUE(process.spread.isConnected(process.now));
    process.answers = false;
    process.runUntil(Start + Millis(7500));
    EXPECT_FALSE(process.spread.isConnected(process.now));
    process.answers = true;
    process.runUntil(Start + Millis(8500));
    EXPECT_TRUE(process.spread.isConnected(process.now));
}

TEST(Isolation, AnotherBalancerThatIsCutOffWithItProvesNothing)
{
    Process process;
    process.balancerAnswers = true;
    process.spread.start(Start);
    process.spread.onPlatformBatch(batch(0, 5, {{RootName, Revision(5), "r"}}), Start);
    process.runUntil(Start + Millis(5000));
    EXPECT_TRUE(process.spread.isConnected(process.now));
    process.answers = false;
    process.runUntil(Start + Millis(7500));
    EXPECT_FALSE(process.spread.isConnected(process.now));
}

TEST(Lapses, RemovalsRightAfterAnOutageAreMarked)
{
    Process process;
    process.spread.start(Start);
    process.spread.onPlatformBatch(batch(0, 5, {{SectionName("upstream/x"), Revision(5), "x"}}),
                                   Start);
    process.spread.onPlatformFailed(Start + Millis(1000));
    process.spread.onPlatformBatch(
        batch(5, 6, {{SectionName("upstream/x"), Revision(6), "", true}}), Start + Millis(3000));
    ASSERT_EQ(process.taken.size(), 2U);
    EXPECT_TRUE(process.taken.back().lapsed);
}

TEST(Lapses, RemovalsOfACalmDayAreNot)
{
    Process process;
    process.spread.start(Start);
    process.spread.onPlatformBatch(batch(0, 5, {{SectionName("upstream/x"), Revision(5), "x"}}),
                                   Start);
    process.spread.onPlatformBatch(
        batch(5, 6, {{SectionName("upstream/x"), Revision(6), "", true}}), Start + Millis(9000));
    EXPECT_FALSE(process.taken.back().lapsed);
}

TEST(Freshness, AProcessReadsThePlatformItselfWhenNobodyConfirms)
{
    Process process;
    process.spread.start(Start);
    process.spread.onPlatformBatch(batch(0, 5, {{RootName, Revision(5), "r"}}), Start);
    process.answers = false;
    const std::size_t before = process.reads;
    process.runUntil(Start + Millis(60'000));
    EXPECT_GT(process.reads, before);
}
