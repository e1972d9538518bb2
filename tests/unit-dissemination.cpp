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

TEST(PlatformReads, ChangesInSeriesAreReadTogether)
{
    // Upstreams register one after the other, as after a power loss: each watch returns at once.
    DisseminationSettings settings = Process::settings();
    settings.vm = VmId("self");
    settings.domain = FailureDomainId("a");
    settings.changeCoalescingTime = Millis(150);
    std::size_t reads = 0;
    bool pending = false;
    DisseminationHooks hooks = Process().hooks();
    hooks.sendNotice = [](const Endpoint &, const Notice &) {
    };
    hooks.readPlatform = [&](Revision, bool) {
        ++reads;
        pending = true;
    };
    hooks.applySection = [](const SectionChange &) {
        return Findings {};
    };
    Dissemination dissemination(settings, hooks, seededRandom(1));
    dissemination.start(Start);
    dissemination.onVmList({{settings.vm, settings.domain, Self}}, Start);
    std::uint64_t revision = 5;
    for (Instant now = Start; now < Start + Millis(3000); now += Millis(20)) {
        dissemination.onTick(now);
        if (pending) {
            pending = false;
            const std::uint64_t before = revision++;
            dissemination.onPlatformBatch(
                batch(before, revision, {{RootName, Revision(revision), "r"}}), now);
        }
    }
    EXPECT_LE(reads, 25U);
    EXPECT_GE(reads, 15U);
}

namespace {

/// One process in each of several failure domains with the same VM list; notices arrive at once and
/// a watch of the platform ends after 500 ms.
struct Domains
{
    explicit Domains(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const Endpoint self {10 + static_cast<std::uint32_t>(i), 7720};
            DisseminationSettings settings = Process::settings();
            settings.self = self;
            settings.vm = VmId(self.str());
            settings.domain = FailureDomainId("domain-" + std::to_string(i));
            settings.readerTimeout = Millis(600);
            settings.readersPerDomain = 1;
            settings.readingDomains = 2;
            settings.seeds.clear();
            vms.push_back({settings.vm, settings.domain, self});
            DisseminationHooks hooks;
            hooks.sendNotice = [this](const Endpoint &peer, const Notice &notice) {
                notices.emplace_back(peer, notice);
            };
            hooks.fetchFromPeer = [](const Endpoint &, Revision) {
            };
            hooks.readPlatform = [this, i](Revision, bool) {
                ++reads[i];
                answerAt[i] = now + Millis(500);
            };
            hooks.readVmList = [] {
            };
            hooks.applySection = [](const SectionChange &) {
                return Findings {};
            };
            processes.push_back(
                std::make_unique<Dissemination>(settings, std::move(hooks), seededRandom(i)));
        }
        reads.resize(count);
        answerAt.resize(count);
        silent.resize(count);
        for (const auto &process : processes) {
            process->start(now);
            process->onPlatformBatch(batch(0, 5, {{RootName, Revision(5), "r"}}), now);
            process->onVmList(vms, now);
        }
    }

    void runFor(Millis time)
    {
        for (const Instant end = now + time; now < end; now += Millis(20)) {
            for (std::size_t i = 0; i < processes.size(); ++i) {
                if (answerAt[i] != Instant() && now >= answerAt[i]) {
                    answerAt[i] = Instant();
                    processes[i]->onPlatformBatch(batch(5, 5, {}), now);
                }
                processes[i]->onTick(now);
            }
            std::vector<std::pair<Endpoint, Notice>> due;
            due.swap(notices);
            for (const auto &[peer, notice] : due) {
                const std::size_t to = peer.address - 10;
                const std::size_t from = notice.sender.address - 10;
                if (!silent[to] && !silent[from]) {
                    processes[to]->onNotice(notice, now);
                }
            }
        }
    }

    /// Processes that read the platform within the next two seconds.
    std::size_t countReaders()
    {
        const std::vector<std::size_t> before = reads;
        runFor(Millis(2000));
        std::size_t readers = 0;
        for (std::size_t i = 0; i < reads.size(); ++i) {
            readers += reads[i] > before[i] ? 1 : 0;
        }
        return readers;
    }

    Instant now = Start;
    std::vector<Vm> vms;
    std::vector<std::unique_ptr<Dissemination>> processes;
    std::vector<std::size_t> reads;
    std::vector<Instant> answerAt;
    std::vector<bool> silent; ///< sends and receives no notices
    std::vector<std::pair<Endpoint, Notice>> notices;
};

} // namespace

TEST(ReadingDomains, TwoReadForAll)
{
    Domains domains(5);
    domains.runFor(Millis(1000));
    EXPECT_EQ(domains.countReaders(), 2U);
    for (const auto &process : domains.processes) {
        EXPECT_LE(process->platformAge(domains.now), Millis(1500));
    }
    Domains few(2);
    few.runFor(Millis(1000));
    EXPECT_EQ(few.countReaders(), 2U);
}

TEST(ReadingDomains, OthersTakeOverWithinTwoSecondsWhenTheirReadersAreSilent)
{
    Domains domains(5);
    domains.runFor(Millis(1000));
    const std::vector<std::size_t> before = domains.reads;
    domains.runFor(Millis(1200));
    for (std::size_t i = 0; i < 5; ++i) {
        domains.silent[i] = domains.reads[i] > before[i];
    }
    const std::vector<std::size_t> atSilence = domains.reads;
    domains.runFor(Millis(2000));
    for (std::size_t i = 0; i < 5; ++i) {
        EXPECT_GT(domains.reads[i], atSilence[i]) << i;
    }
}

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
