// Routes, entries and announcements in a directory; snapshots in the configuration store.

#include "steering_fixture.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

const Instant Start {Millis(1'000'000)};

UpstreamEntry entry(const std::string &id, const std::string &service, std::uint32_t host)
{
    UpstreamEntry entry;
    entry.id = UpstreamId(id);
    entry.service = ServiceName(service);
    entry.domain = FailureDomainId("a");
    entry.address = {0x0a010000 + host, 8165};
    entry.agent = {0x0a010000 + host, 8172};
    entry.slots = 4;
    return entry;
}

SectionChange change(const UpstreamEntry &entry, std::uint64_t revision = 1)
{
    return {SectionName("upstream/" + entry.id.str()), Revision(revision), encode(entry)};
}

SectionChange removal(const std::string &id, bool lapsed, std::uint64_t revision = 2)
{
    return {SectionName("upstream/" + id), Revision(revision), {}, true, lapsed};
}

} // namespace

TEST(DirectoryOwners, AgentsOfAllServicesAreListedForTheLifetimeOfAFlowAfterARestart)
{
    for (const bool isFirstStart : {true, false}) {
        DirectorySettings settings;
        settings.isFirstStart = isFirstStart;
        Directory directory(settings);
        directory.applySection(SteeringFleet::routeSection({{"kits", 1}}), Start);
        directory.applySection(change(entry("x", "kits", 1)), Start);
        directory.applySection(change(entry("y", "documents", 2)), Start);
        const RouteEntry &route = *directory.routeByAddress(SteeringFleet::RouteAddress);
        EXPECT_EQ(directory.listedOwners(route).list().size(), 1U);
        EXPECT_EQ(directory.possibleOwners(route).list().size(), isFirstStart ? 1U : 2U);
        // The agent of the other service is neither asked first nor the first home.
        for (std::uint16_t port = 1; port < 50; ++port) {
            const FlowKey flow {{1, port}, SteeringFleet::RouteAddress};
            const PossibleOwners &owners = directory.possibleOwners(route);
            EXPECT_EQ(owners.searchOrder(flow).front(), entry("x", "kits", 1).agent);
            EXPECT_EQ(*homesOf(owners, flow).begin(), entry("x", "kits", 1).agent);
        }
        directory.expire(Start + Millis(59'999));
        EXPECT_EQ(directory.possibleOwners(route).list().size(), isFirstStart ? 1U : 2U);
        directory.expire(Start + Millis(60'000));
        EXPECT_EQ(directory.possibleOwners(route).list().size(), 1U);
    }
}

// Guards against a search that counts on a list that has just changed, and against entries that are
// written again counting as changes.
TEST(DirectoryOwners, AreUnchangedSinceTheirLastChangeOnly)
{
    DirectorySettings settings;
    settings.isFirstStart = true;
    Directory directory(settings);
    directory.applySection(SteeringFleet::routeSection({{"kits", 1}}), Start);
    directory.applySection(change(entry("x", "kits", 1)), Start + Millis(10));
    const RouteEntry &route = *directory.routeByAddress(SteeringFleet::RouteAddress);
    EXPECT_EQ(directory.ownersUnchangedSince(route), Start + Millis(10));
    directory.applySection(change(entry("x", "kits", 1), 2), Start + Millis(20));
    directory.applySection(change(entry("y", "documents", 2)), Start + Millis(30));
    directory.applySection(removal("x", false), Start + Millis(40));
    EXPECT_EQ(directory.ownersUnchangedSince(route), Start + Millis(10));
    directory.applySection(change(entry("z", "kits", 3)), Start + Millis(50));
    EXPECT_EQ(directory.ownersUnchangedSince(route), Start + Millis(50));
    // Lists of other agents, first without and then with an agent that is not known here.
    directory.addPossibleOwners(route.address, {entry("z", "kits", 3).agent}, Start + Millis(60));
    EXPECT_EQ(directory.ownersUnchangedSince(route), Start + Millis(50));
    directory.addPossibleOwners(route.address, {entry("v", "kits", 9).agent}, Start + Millis(70));
    EXPECT_EQ(directory.ownersUnchangedSince(route), Start + Millis(70));
    // The departed agent is forgotten.
    directory.expire(Start + Millis(60'040));
    EXPECT_EQ(directory.ownersUnchangedSince(route), Start + Millis(60'040));
}

TEST(FlowIdleTimeout, IsTheLongestConfiguredWithinTheLifetimeOfAFlow)
{
    Directory directory;
    const auto configure = [&](std::optional<Millis> timeout, Instant now) {
        RouteDocument document;
        document.version = 1;
        document.flowIdleTimeout = timeout;
        EXPECT_TRUE(directory.applySection({RootName, Revision(1), encode(document)}, now).empty());
        directory.expire(now);
    };
    // The lifetime of a flow is 60 s.
    EXPECT_EQ(directory.flowIdleTimeout(), Millis(60'000));
    configure(Millis(15'000), Start);
    EXPECT_EQ(directory.flowIdleTimeout(), Millis(15'000));
    configure(Millis(40'000), Start + Millis(1000));
    EXPECT_EQ(directory.flowIdleTimeout(), Millis(40'000));
    // A flow that is idle when the timeout is shortened and lengthened again is kept.
    configure(Millis(5000), Start + Millis(2000));
    configure(Millis(30'000), Start + Millis(3000));
    EXPECT_EQ(directory.flowIdleTimeout(), Millis(40'000));
    directory.expire(Start + Millis(61'999));
    EXPECT_EQ(directory.flowIdleTimeout(), Millis(40'000));
    directory.expire(Start + Millis(62'000));
    EXPECT_EQ(directory.flowIdleTimeout(), Millis(30'000));
    configure(EntryDurationMax, Start + Millis(70'000));
    EXPECT_EQ(directory.flowIdleTimeout(), Millis(60'000));
    configure(Millis(0), Start + Millis(71'000));
    directory.expire(Start + Millis(140'000));
    EXPECT_EQ(directory.flowIdleTimeout(), Millis(0));
    configure(std::nullopt, Start + Millis(141'000));
    EXPECT_EQ(directory.flowIdleTimeout(), Millis(60'000));
}

TEST(Directory, KeepsAnEntryThatLapsedAroundAnOutageForTheGracePeriod)
{
    Directory directory;
    directory.applySection(change(entry("x", "kits", 1)), Start);
    directory.applySection(removal("x", true), Start + Millis(10));
    // The grace period is 2200 ms.
    directory.expire(Start + Millis(2000));
    EXPECT_EQ(directory.upstreams().size(), 1U);
    directory.expire(Start + Millis(2300));
    EXPECT_TRUE(directory.upstreams().empty());
}

TEST(Directory, KeepsAnEntryThatReturnsWithinTheGracePeriod)
{
    Directory directory;
    directory.applySection(change(entry("x", "kits", 1)), Start);
    directory.applySection(removal("x", true), Start + Millis(10));
    directory.applySection(change(entry("x", "kits", 1), 3), Start + Millis(1500));
    directory.expire(Start + Millis(9000));
    EXPECT_EQ(directory.upstreams().size(), 1U);
}

TEST(Directory, ErasesAnEntryRemovedWithoutAnOutageAtOnce)
{
    Directory directory;
    directory.applySection(change(entry("x", "kits", 1)), Start);
    directory.applySection(removal("x", false), Start + Millis(10));
    EXPECT_TRUE(directory.upstreams().empty());
    EXPECT_EQ(directory.serviceTable(ServiceName("kits")), nullptr);
}

TEST(Directory, ErasesALapsedEntryOfALeavingUpstreamAtOnce)
{
    Directory directory;
    UpstreamEntry leaving = entry("x", "kits", 1);
    leaving.leaving = true;
    directory.applySection(change(leaving), Start);
    directory.applySection(removal("x", true), Start + Millis(10));
    EXPECT_TRUE(directory.upstreams().empty());
}

TEST(Directory, AssignsAnAddressToItsLatestRegistration)
{
    Directory directory;
    directory.applySection(change(entry("old", "kits", 1)), Start);
    directory.applySection(change(entry("new", "documents", 1)), Start);
    EXPECT_EQ(directory.upstreamByAddress({0x0a010001, 8165})->entry.service,
              ServiceName("documents"));
    EXPECT_EQ(directory.serviceTable(ServiceName("kits")), nullptr);
    // The late removal of the previous holder's entry has no effect.
    directory.applySection(removal("old", false), Start);
    EXPECT_NE(directory.upstreamByAddress({0x0a010001, 8165}), nullptr);
}

// Guards against the entry of another writer taking an upstream's address, which left nobody served
// once all processes had restarted and applied the entries in the order of their keys.
TEST(Directory, EntryOfAServiceThatIsNotConfiguredTakesNoAddress)
{
    const std::vector<SectionChange> changes = {
        SteeringFleet::routeSection({{"kits", 1}}),
        change(entry("host", "kits", 1), 7),
        change(entry("older", "printing", 1), 3),
        change(entry("newer", "printing", 1), 9),
    };
    std::vector<std::size_t> order = {0, 1, 2, 3};
    do {
        Directory directory;
        for (const std::size_t at : order) {
            directory.applySection(changes[at], Start);
        }
        const KnownUpstream *holder = directory.upstreamByAddress({0x0a010001, 8165});
        ASSERT_NE(holder, nullptr);
        EXPECT_EQ(holder->entry.id, UpstreamId("host"));
        EXPECT_EQ(directory.upstreamByAgent({0x0a010001, 8172}), holder);
        EXPECT_EQ(directory.upstreams().size(), 1U);
        EXPECT_NE(directory.serviceTable(ServiceName("kits")), nullptr);
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST(Directory, AddressBelongsToTheNewestRegistrationInAnyOrder)
{
    const std::vector<SectionChange> changes = {
        SteeringFleet::routeSection({{"kits", 1}, {"documents", 1}}),
        change(entry("a", "kits", 1), 7),
        change(entry("b", "documents", 1), 9),
        change(entry("c", "kits", 1), 3),
    };
    std::vector<std::size_t> order = {0, 1, 2, 3};
    do {
        Directory directory;
        for (const std::size_t at : order) {
            directory.applySection(changes[at], Start);
        }
        EXPECT_EQ(directory.upstreamByAgent({0x0a010001, 8172})->entry.id, UpstreamId("b"));
        directory.applySection(removal("c", false, 10), Start);
        EXPECT_EQ(directory.upstreamByAgent({0x0a010001, 8172})->entry.id, UpstreamId("b"));
        directory.applySection(removal("b", false, 11), Start);
        EXPECT_EQ(directory.upstreamByAgent({0x0a010001, 8172})->entry.id, UpstreamId("a"));
        directory.applySection(removal("a", false, 12), Start);
        EXPECT_TRUE(directory.upstreams().empty());
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST(Directory, AddressPassesOnWhenTheNamedServicesChange)
{
    Directory directory;
    directory.applySection(SteeringFleet::routeSection({{"kits", 1}}), Start);
    directory.applySection(change(entry("a", "kits", 1), 7), Start);
    directory.applySection(change(entry("b", "documents", 1), 9), Start);
    EXPECT_EQ(directory.upstreamByAgent({0x0a010001, 8172})->entry.id, UpstreamId("a"));
    directory.applySection(SteeringFleet::routeSection({{"kits", 1}, {"documents", 1}}), Start);
    EXPECT_EQ(directory.upstreamByAgent({0x0a010001, 8172})->entry.id, UpstreamId("b"));
    // An announcement does not take the address of a registered upstream, but that of an entry
    // whose service is not configured.
    const Announcement announcement {
        ServiceName("kits"), FailureDomainId("a"), {0x0a010001, 8172}, {0x0a010001, 8165}, 4};
    EXPECT_FALSE(directory.announce(announcement, Start));
    directory.applySection(SteeringFleet::routeSection({{"kits", 1}}), Start);
    directory.applySection(removal("a", false, 10), Start);
    EXPECT_TRUE(directory.announce(announcement, Start));
    EXPECT_EQ(directory.upstreamByAgent({0x0a010001, 8172})->entry.service, ServiceName("kits"));
}

// Processes that saw different sequences of changes agree on who uses an address: a process that
// saw them all and one that starts with the result, in any order.
RC_GTEST_PROP(DirectoryProperty, UseOfAddressesDependsOnTheEntriesOnly, (std::uint64_t seed))
{
    Random random = seededRandom(seed);
    const std::vector<std::string> services = {"kits", "documents", "printing"};
    Directory directory;
    std::map<SectionName, SectionChange> newest;
    std::uint64_t revision = 1;
    const auto apply = [&](SectionChange section) {
        section.revision = Revision(++revision);
        directory.applySection(section, Start);
        newest[section.name] = section;
    };
    for (int step = 0; step < 30; ++step) {
        const std::string id = "u" + std::to_string(randomBelow(random, 6));
        switch (randomBelow(random, 4)) {
        case 0:
            apply(SteeringFleet::routeSection({{services[randomBelow(random, 3)], 1}}));
            break;
        case 1:
            apply(removal(id, false));
            break;
        default:
            apply(change(entry(id, services[randomBelow(random, 3)],
                               1 + static_cast<std::uint32_t>(randomBelow(random, 3)))));
        }
    }
    std::vector<SectionChange> sections;
    for (const auto &[name, section] : newest) {
        sections.insert(sections.begin()
                            + static_cast<std::ptrdiff_t>(randomBelow(random, sections.size() + 1)),
                        section);
    }
    Directory fresh;
    for (const SectionChange &section : sections) {
        fresh.applySection(section, Start);
    }
    RC_ASSERT(fresh.upstreams().size() == directory.upstreams().size());
    for (std::uint32_t host = 1; host <= 3; ++host) {
        const Endpoint agent = entry("", "", host).agent;
        const KnownUpstream *used = directory.upstreamByAgent(agent);
        const KnownUpstream *other = fresh.upstreamByAgent(agent);
        RC_ASSERT((used == nullptr) == (other == nullptr));
        if (used != nullptr) {
            RC_ASSERT(used->entry.id == other->entry.id);
            RC_ASSERT(directory.upstreamByAddress(used->entry.address) == used);
        }
    }
    for (const std::string &service : services) {
        RC_ASSERT((directory.serviceTable(ServiceName(service)) == nullptr)
                  == (fresh.serviceTable(ServiceName(service)) == nullptr));
    }
}

TEST(Directory, MalformedEntryRemovesOnlyItsOwnUpstream)
{
    Directory directory;
    directory.applySection(change(entry("x", "kits", 1)), Start);
    const Findings findings = directory.applySection(
        {SectionName("upstream/y"), Revision(2), "unreadable item: ["}, Start);
    EXPECT_TRUE(hasErrors(findings));
    EXPECT_EQ(directory.upstreams().size(), 1U);
    const Findings own =
        directory.applySection({SectionName("upstream/x"), Revision(3), R"({"id":"x"})"}, Start);
    EXPECT_TRUE(hasErrors(own));
    EXPECT_TRUE(directory.upstreams().empty());
}

TEST(Directory, KeepsTheLastValidRoutesWhenNewOnesAreInvalid)
{
    Directory directory;
    directory.applySection(SteeringFleet::routeSection({{"kits", 1}}), Start);
    EXPECT_TRUE(hasErrors(directory.applySection({RootName, Revision(2), "{"}, Start)));
    EXPECT_NE(directory.routeByAddress(SteeringFleet::RouteAddress), nullptr);
}

TEST(Directory, FormerServiceOfARouteIsSearchedButGetsNoNewFlows)
{
    Directory directory;
    directory.applySection(change(entry("x", "kits", 1)), Start);
    directory.applySection(change(entry("y", "documents", 2)), Start);
    directory.applySection(SteeringFleet::routeSection({{"kits", 1}}), Start);
    directory.applySection(SteeringFleet::routeSection({{"documents", 1}}), Start);
    const RouteEntry &route = *directory.routeByAddress(SteeringFleet::RouteAddress);
    const FlowKey flow {{1, 1}, SteeringFleet::RouteAddress};
    EXPECT_EQ(directory.possibleOwners(route).list().size(), 2U);
    EXPECT_EQ(Directory::serviceFor(route, flow), ServiceName("documents"));
    // Former services are searched for 60 s.
    directory.expire(Start + Millis(61'000));
    EXPECT_EQ(directory.possibleOwners(route).list().size(), 1U);
}

namespace {

/// Settings with which only the agents of a route's own services, and of its former ones, count as
/// possible owners; else those of all services do for the lifetime of a flow.
DirectorySettings firstStart()
{
    DirectorySettings settings;
    settings.isFirstStart = true;
    return settings;
}

} // namespace

// Guards against processes that go on with the flow lifetime of their start after it was changed:
// they forgot flows, and where else to search for them, too early.
TEST(Directory, ChangedFlowLifetimeCountsForWhatIsRemembered)
{
    Directory directory(firstStart());
    directory.applySection(change(entry("x", "kits", 1)), Start);
    directory.applySection(change(entry("y", "documents", 2)), Start);
    RouteDocument routes = decodeRoutes(SteeringFleet::routeSection({{"kits", 1}}).text).value();
    routes.flowIdleTimeout = Millis(100'000);
    directory.applySection({RootName, Revision(1), encode(routes)}, Start);
    routes.routes[0].services = {{ServiceName("documents"), Weight(1)}};
    directory.applySection({RootName, Revision(2), encode(routes)}, Start);
    EXPECT_EQ(directory.flowIdleTimeout(), Millis(60'000));
    directory.setFlowLifetimeMax(Millis(120'000), Start + Millis(1000));
    EXPECT_EQ(directory.flowIdleTimeout(), Millis(100'000));
    const auto owners = [&](std::int64_t second) {
        directory.expire(Start + Millis(second * 1000));
        return directory.possibleOwners(*directory.routeByAddress(SteeringFleet::RouteAddress))
            .list()
            .size();
    };
    EXPECT_EQ(owners(119), 2U);
    EXPECT_EQ(owners(121), 1U);
    // Flows that are idle at the change keep the longer timeout, as after a change of the limit.
    directory.setFlowLifetimeMax(Millis(30'000), Start + Millis(121'000));
    EXPECT_EQ(directory.flowIdleTimeout(), Millis(100'000));
    (void)owners(152);
    EXPECT_EQ(directory.flowIdleTimeout(), Millis(30'000));
}

TEST(Directory, ServiceOfWeightZeroIsSearchedButGetsNoNewFlows)
{
    Directory directory(firstStart());
    directory.applySection(change(entry("x", "kits", 1)), Start);
    directory.applySection(change(entry("y", "documents", 2)), Start);
    const FlowKey flow {{1, 1}, SteeringFleet::RouteAddress};
    for (const std::uint32_t weightOfKits : {100U, 0U}) {
        const Findings findings = directory.applySection(
            SteeringFleet::routeSection({{"kits", weightOfKits}, {"documents", 0}}), Start);
        const RouteEntry &route = *directory.routeByAddress(SteeringFleet::RouteAddress);
        // Also long after the change: the service is no former one.
        directory.expire(Start + Millis(61'000));
        EXPECT_EQ(directory.possibleOwners(route).list().size(), 2U);
        const auto service = Directory::serviceFor(route, flow);
        EXPECT_EQ(service.has_value(), weightOfKits > 0);
        EXPECT_EQ(service.value_or(ServiceName("kits")), ServiceName("kits"));
        EXPECT_EQ(findings.size(), weightOfKits > 0 ? 0U : 1U);
        EXPECT_FALSE(hasErrors(findings));
    }
}

TEST(Directory, SplitsNewFlowsByWeight)
{
    Directory directory;
    directory.applySection(SteeringFleet::routeSection({{"kits", 90}, {"documents", 10}}), Start);
    const RouteEntry &route = *directory.routeByAddress(SteeringFleet::RouteAddress);
    constexpr std::uint32_t Flows = 10'000;
    std::uint32_t second = 0;
    for (std::uint32_t i = 0; i < Flows; ++i) {
        const FlowKey flow {{i + 1, 1}, SteeringFleet::RouteAddress};
        second += Directory::serviceFor(route, flow) == ServiceName("documents") ? 1 : 0;
    }
    EXPECT_NEAR(second, Flows / 10, Flows / 50);
}

TEST(Directory, AcceptsAnnouncementsOnlyUntilItHasSettled)
{
    Directory directory;
    const Announcement announced {ServiceName("kits"), FailureDomainId("a"), {2, 2}, {2, 1}, 4};
    EXPECT_TRUE(directory.announce(announced, Start));
    EXPECT_NE(directory.serviceTable(ServiceName("kits")), nullptr);
    directory.applySection(SteeringFleet::routeSection({{"kits", 1}}), Start);
    // The settling time is 2500 ms.
    directory.expire(Start + Millis(2600));
    EXPECT_TRUE(directory.upstreams().empty());
    EXPECT_FALSE(directory.announce(announced, Start + Millis(2600)));
}

TEST(ConfigStoreSnapshot, RemovesSectionsThatItLacks)
{
    std::vector<std::string> removed;
    ConfigStore store({}, [&](const SectionChange &c) {
        if (c.removed) {
            removed.push_back(c.name.str());
        }
        return Findings {};
    });
    ChangeBatch first;
    first.upTo = Revision(5);
    first.snapshot = true;
    first.changes = {{RootName, Revision(1), "r"}, {SectionName("upstream/x"), Revision(2), "x"}};
    store.apply(first);
    ChangeBatch second = first;
    second.upTo = Revision(9);
    second.changes.pop_back();
    store.apply(second);
    EXPECT_EQ(removed, std::vector<std::string> {"upstream/x"});
    EXPECT_EQ(store.revision(), Revision(9));
    // An older snapshot has no effect.
    store.apply(first);
    EXPECT_EQ(store.changesSince(Revision(0)).changes.back().removed, true);
}

TEST(ConfigStoreSnapshot, KeepsSectionsNewerThanItself)
{
    std::size_t removals = 0;
    ConfigStore store({}, [&](const SectionChange &c) {
        removals += c.removed ? 1 : 0;
        return Findings {};
    });
    ChangeBatch event;
    event.since = Revision(0);
    event.upTo = Revision(20);
    event.changes = {{SectionName("upstream/x"), Revision(20), "x"}};
    store.apply(event);
    ChangeBatch list;
    list.upTo = Revision(10);
    list.snapshot = true;
    store.apply(list);
    EXPECT_EQ(removals, 0U);
}
