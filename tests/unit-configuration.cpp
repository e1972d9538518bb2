// Changes of the document take effect in all processes within a bound and are never reverted.

#include "fleet_fixture.hpp"
#include "property.hpp"

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

/// Time within which a published change must be in effect in all processes.
constexpr Millis ChangeTimeout {11'000};

FleetOptions fleetOptions(std::uint64_t seed)
{
    FleetOptions options;
    options.seed = seed;
    options.upstreams = 20;
    options.balancers = 6;
    options.control = {0.1, 0.1, Millis(1), Millis(50)};
    return options;
}

} // namespace

TEST(Configuration, ChangeReachesAllProcessesWithinElevenSeconds)
{
    check("a change reaches every process although notices are lost", [] {
        TestFleet fleet(fleetOptions(*rc::gen::inRange<std::uint64_t>(1, 1'000'000)));
        fleet.run(Millis(8000));
        fleet.entry("kits-1").weight = Weight(50);
        fleet.publish();
        RC_ASSERT(fleet.runUntil([&] { return fleet.isUpToDateEverywhere(); }, ChangeTimeout));
    });
}

TEST(Configuration, OtherProcessesTakeOverWhenAllReadersDie)
{
    TestFleet fleet(fleetOptions(5));
    fleet.run(Millis(8000));
    // All readers of the fleet are killed at once.
    std::size_t readers = 0;
    for (const std::string &name : fleet.hostNames("")) {
        if (fleet.host(name).dissemination->isReader()) {
            fleet.kill(name);
            ++readers;
        }
    }
    ASSERT_GT(readers, 0U);
    fleet.run(Millis(1000));
    fleet.entry("kits-1").weight = Weight(50);
    fleet.publish();
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.isUpToDateEverywhere(); }, ChangeTimeout));
}

TEST(Configuration, StalePlatformDoesNotRevertChange)
{
    TestFleet fleet(fleetOptions(6));
    fleet.run(Millis(8000));
    const Revision before = fleet.platformRevision();
    fleet.setPlatform(false, true);
    fleet.run(Millis(500));
    fleet.setPlatform(false, false);
    fleet.entry("kits-1").weight = Weight(50);
    fleet.publish();
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.isUpToDateEverywhere(); }, ChangeTimeout));
    const Revision accepted = fleet.platformRevision();
    ASSERT_GT(accepted, before);
    // The platform is down for an hour and returns with the state from before the change.
    fleet.setPlatform(true, false);
    fleet.run(Millis(3'600'000));
    EXPECT_TRUE(fleet.isUpToDateEverywhere());
    fleet.rewindPlatform(before);
    fleet.setPlatform(false, false);
    // Processes that restart meanwhile must not accept the stale state either.
    for (const char *name : {"agent-kits-3", "balancer-1", "agent-kits-7"}) {
        fleet.kill(name);
        fleet.start(name);
    }
    // Small steps while the new processes start, then large ones past all time-outs of the others.
    for (int i = 0; i < 1000; ++i) {
        fleet.run(Millis(i < 800 ? 5 : 1000));
        for (const std::string &name : fleet.hostNames("")) {
            Host &host = fleet.host(name);
            const bool acts = host.dissemination->mayAct(fleet.now());
            ASSERT_TRUE(!acts || host.dissemination->revision() >= accepted) << name;
        }
    }
}

TEST(Configuration, InvalidSectionKeepsLastValidOneAndDelaysNoOther)
{
    FleetOptions options = fleetOptions(7);
    options.otherUpstreams = 2;
    TestFleet fleet(options);
    fleet.run(Millis(8000));
    const std::string broken = "services:\n  - nmae: kits\n";
    fleet.publishText("kits", broken);
    fleet.entry("lists-1").weight = Weight(70);
    fleet.publishOtherSections();
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.isUpToDateEverywhere(); }, ChangeTimeout));
    std::size_t readers = 0;
    for (const std::string &name : fleet.hostNames("")) {
        const ConfigView &view = fleet.host(name).dissemination->view();
        ASSERT_TRUE(view.service(ServiceName("kits"))) << name;
        const auto lists = view.service(ServiceName("lists"));
        ASSERT_TRUE(lists) << name;
        EXPECT_EQ(lists->upstreams[0].weight, Weight(70)) << name;
        // Peers forward valid texts only, so that only the platform readers have the findings.
        const Dissemination &dissemination = *fleet.host(name).dissemination;
        EXPECT_TRUE(!dissemination.isReader() || hasErrors(dissemination.store().findings()))
            << name;
        readers += dissemination.isReader() ? 1 : 0;
    }
    EXPECT_GE(readers, 3U);
}

TEST(Configuration, RestartedProcessGetsLastValidTextFromPeers)
{
    TestFleet fleet(fleetOptions(8));
    fleet.run(Millis(8000));
    fleet.publishText("kits", "services: [oops\n");
    fleet.run(Millis(3000));
    fleet.kill("balancer-2");
    fleet.start("balancer-2");
    fleet.run(Millis(5000));
    EXPECT_TRUE(fleet.host("balancer-2").dissemination->view().service(ServiceName("kits")));
}

TEST(Configuration, ProcessesCatchUpAfterPartition)
{
    TestFleet fleet(fleetOptions(9));
    fleet.run(Millis(8000));
    // One failure domain can reach neither the others nor the platform.
    fleet.disconnect([](const Host &a, const Host &b) {
        return (a.domain.str() == "zone-1") != (b.domain.str() == "zone-1");
    });
    fleet.disconnectPlatform("zone-1", true);
    fleet.entry("kits-2").weight = Weight(40);
    fleet.publish();
    fleet.run(Millis(120'000));
    EXPECT_FALSE(fleet.isUpToDateEverywhere());
    fleet.disconnect(nullptr);
    fleet.disconnectPlatform("zone-1", false);
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.isUpToDateEverywhere(); }, ChangeTimeout));
}

TEST(Configuration, ControlTrafficAndPlatformCallsStayWithinLimits)
{
    TestFleet fleet(fleetOptions(10));
    fleet.run(Millis(10'000));
    std::map<std::string, std::uint64_t> before;
    for (const std::string &name : fleet.hostNames("")) {
        before[name] = fleet.host(name).controlBytes;
    }
    const std::uint64_t calls = fleet.platformCalls();
    constexpr std::int64_t Seconds = 120;
    for (std::uint32_t i = 1; i <= 4; ++i) {
        fleet.entry("kits-1").weight = Weight(100 + i);
        fleet.publish();
        fleet.run(Millis(Seconds * 1000 / 4));
    }
    for (const std::string &name : fleet.hostNames("")) {
        const std::uint64_t bytes = fleet.host(name).controlBytes - before[name];
        EXPECT_LE(bytes / Seconds, 3000U) << name;
    }
    // Each of the three failure domains has two readers. Each reader makes one call per change, or
    // one per 30 s without changes.
    EXPECT_LE(fleet.platformCalls() - calls, 200U);
}

TEST(ConfigStore, BatchesInAnyOrderGiveNewestState)
{
    check("reordered, duplicated and lost batches end in the newest state", [] {
        std::vector<ChangeBatch> batches;
        const std::string root = "sections: [a, b]\n";
        const auto text = [](int n) {
            return "failure_domains:\n  - {id: z" + std::to_string(n) + "}\n";
        };
        batches.push_back({Revision(0), Revision(1), {{RootName, Revision(1), root, false}}});
        for (int i = 2; i < 10; ++i) {
            const auto revision = Revision(static_cast<std::uint64_t>(i));
            const SectionName name(i % 2 == 0 ? "a" : "b");
            batches.push_back({Revision(static_cast<std::uint64_t>(i - 1)),
                               revision,
                               {{name, revision, text(i), false}}});
        }
        ConfigStore store(mechanismsUnderTest());
        const auto order = *rc::gen::container<std::vector<std::size_t>>(
            30, rc::gen::inRange<std::size_t>(0, batches.size()));
        Revision highest;
        for (const std::size_t at : order) {
            const Revision before = store.revision();
            store.apply(batches[at]);
            RC_ASSERT(store.revision() >= before);
        }
        // Applying all batches in order once more must give the newest state.
        for (const ChangeBatch &batch : batches) {
            store.apply(batch);
        }
        RC_ASSERT(store.revision() == Revision(9));
        const ChangeBatch all = store.changesSince(Revision(0));
        RC_ASSERT(all.changes.size() == 3U);
        for (const SectionChange &change : all.changes) {
            if (change.name == SectionName("a")) {
                RC_ASSERT(change.revision == Revision(8));
            }
            if (change.name == SectionName("b")) {
                RC_ASSERT(change.revision == Revision(9));
            }
        }
    });
}

TEST(Configuration, VmListReadIsRetriedUntilItSucceeds)
{
    TestFleet fleet(fleetOptions(11));
    fleet.run(Millis(8000));
    fleet.setPlatform(true, false);
    fleet.kill("agent-kits-5");
    fleet.start("agent-kits-5");
    fleet.run(Millis(5000));
    const std::uint64_t during = fleet.vmListReads("agent-kits-5");
    EXPECT_GE(during, 2U);
    fleet.setPlatform(false, false);
    fleet.run(Millis(60'000));
    const std::uint64_t after = fleet.vmListReads("agent-kits-5");
    // The list is large: after a successful read, it is not read again for an hour.
    fleet.run(Millis(600'000));
    EXPECT_EQ(fleet.vmListReads("agent-kits-5"), after);
}
