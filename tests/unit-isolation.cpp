// Packets of one service never reach another, and a failure domain that is out gets no packets.

#include "fleet_fixture.hpp"
#include "property.hpp"

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

FleetOptions twoServices(std::uint64_t seed)
{
    FleetOptions options;
    options.seed = seed;
    options.otherUpstreams = 3;
    return options;
}

/// Number of data packets delivered to the agents of a failure domain so far.
std::uint64_t packetsInto(TestFleet &fleet, const std::string &domain)
{
    std::uint64_t packets = 0;
    for (const std::string &name : fleet.hostNames("agent-")) {
        if (fleet.host(name).domain.str() == domain) {
            packets += fleet.host(name).packets;
        }
    }
    return packets;
}

/// Sends one request per caller every 100 ms.
void generateTraffic(TestFleet &fleet, const std::vector<TestCaller *> &callers, Millis time)
{
    static int number = 0;
    const Instant until = fleet.now() + time;
    while (fleet.now() < until) {
        for (TestCaller *caller : callers) {
            fleet.submit(*caller, "GET", "/i/" + std::to_string(++number));
        }
        fleet.run(Millis(100));
    }
}

} // namespace

TEST(ServiceIsolation, AddressesSwappedBetweenServices)
{
    check("with swapped addresses and a stale balancer, no request reaches another service", [] {
        TestFleet fleet(twoServices(*rc::gen::inRange<std::uint64_t>(1, 1'000'000)));
        fleet.run(Millis(4000));
        TestCaller &kits = fleet.addCaller("kits");
        TestCaller &lists = fleet.addCaller("lists");
        fleet.freeze("balancer-2");
        std::swap(fleet.kitsAddress, fleet.listsAddress);
        fleet.publish();
        for (int i = 0; i < 20; ++i) {
            fleet.submit(kits, "GET", "/kits/" + std::to_string(i));
            fleet.submit(lists, "POST", "/lists/" + std::to_string(i));
            if (i == 10) {
                fleet.wake("balancer-2");
            }
            fleet.run(Millis(200));
        }
        fleet.run(Millis(4000));
        RC_ASSERT(fleet.violations().empty());
    });
}

TEST(ServiceIsolation, PacketsForAnotherServiceAreDropped)
{
    TestFleet fleet(twoServices(2));
    fleet.run(Millis(4000));
    Host &agent = fleet.host("agent-kits-1");
    Request request;
    request.caller = CallerId("c9");
    request.sequence = RequestSequence(1);
    request.method = "GET";
    request.target = "/forged";
    DataPacket packet;
    packet.flow = {{0x7f000001, 39'000}, fleet.listsAddress};
    // All combinations of names are dropped, also the matching one, as the address of the flow
    // belongs to the other service.
    for (const char *named : {"kits", "lists"}) {
        for (const char *requested : {"kits", "lists"}) {
            packet.service = ServiceName(named);
            request.service = ServiceName(requested);
            agent.agent->onPacket(agent.endpoint, packet, request, fleet.now());
        }
    }
    fleet.run(Millis(1000));
    EXPECT_EQ(fleet.runsOf("/forged"), 0U);
    EXPECT_EQ(agent.agent->counters().wrongService, 4U);
}

TEST(ServiceIsolation, AddressConflictsResolveIndependentlyOfOrder)
{
    check("the section that the root lists first gets the address, in any order of arrival", [] {
        const std::string a = "services:\n  - {name: a, address: \"10.0.0.1:80\"}\n";
        const std::string b = "services:\n  - {name: b, address: \"10.0.0.1:80\"}\n";
        std::vector<SectionChange> changes = {
            {SectionName("a"), Revision(1), a, false},
            {SectionName("b"), Revision(2), b, false},
            {RootName, Revision(3), "sections: [b, a]\n", false},
        };
        ConfigStore store;
        const auto order = *rc::gen::container<std::vector<std::size_t>>(
            12, rc::gen::inRange<std::size_t>(0, changes.size()));
        for (const std::size_t at : order) {
            store.apply({Revision(0), Revision(1), {changes[at]}});
        }
        for (const SectionChange &change : changes) {
            store.apply({Revision(0), Revision(3), {change}});
        }
        const auto holder = store.view().serviceAt({0x0a000001, 80});
        RC_ASSERT(holder != nullptr);
        RC_ASSERT(holder->name == ServiceName("b"));
    });
}

TEST(DomainOut, NoPacketsAfterThreeSeconds)
{
    TestFleet fleet({});
    fleet.run(Millis(4000));
    const auto callers = fleet.addCallers(12);
    generateTraffic(fleet, callers, Millis(1000));
    fleet.domain(0).state = AdminState::Out;
    fleet.publish();
    generateTraffic(fleet, callers, Millis(3000));
    const std::uint64_t before = packetsInto(fleet, "zone-1");
    generateTraffic(fleet, callers, Millis(10'000));
    EXPECT_EQ(packetsInto(fleet, "zone-1"), before);
}

TEST(DomainOut, BalancerFrozenForAMinuteSendsNoPackets)
{
    TestFleet fleet({});
    fleet.run(Millis(4000));
    const auto callers = fleet.addCallers(12);
    generateTraffic(fleet, callers, Millis(1000));
    fleet.freeze("balancer-2");
    fleet.domain(0).state = AdminState::Out;
    fleet.publish();
    generateTraffic(fleet, callers, Millis(60'000));
    const std::uint64_t before = packetsInto(fleet, "zone-1");
    // The balancer's socket has queued the callers' datagrams of that time.
    fleet.wake("balancer-2");
    generateTraffic(fleet, callers, Millis(5000));
    EXPECT_EQ(packetsInto(fleet, "zone-1"), before);
}

TEST(DomainOut, TakesEffectThoughThePlatformFailsRightAfterTheChange)
{
    TestFleet fleet({});
    fleet.run(Millis(4000));
    const auto callers = fleet.addCallers(12);
    generateTraffic(fleet, callers, Millis(1000));
    fleet.domain(1).state = AdminState::Out;
    fleet.publish();
    // Long enough for one reader to see the change.
    fleet.run(Millis(60));
    fleet.setPlatform(true, false);
    generateTraffic(fleet, callers, Millis(3000));
    const std::uint64_t before = packetsInto(fleet, "zone-2");
    generateTraffic(fleet, callers, Millis(5000));
    EXPECT_EQ(packetsInto(fleet, "zone-2"), before);
}

TEST(DomainOut, AgentRefusesPacketsThatStillArrive)
{
    TestFleet fleet({});
    fleet.run(Millis(4000));
    fleet.domain(0).state = AdminState::Out;
    fleet.publish();
    fleet.run(Millis(3000));
    Host &agent = fleet.host("agent-kits-1");
    Request request;
    request.caller = CallerId("c9");
    request.sequence = RequestSequence(1);
    request.service = ServiceName("kits");
    request.method = "GET";
    request.target = "/stray";
    DataPacket packet;
    packet.flow = {{0x7f000001, 39'000}, fleet.kitsAddress};
    packet.service = ServiceName("kits");
    agent.agent->onPacket(agent.endpoint, packet, request, fleet.now());
    fleet.run(Millis(1000));
    EXPECT_EQ(fleet.runsOf("/stray"), 0U);
    EXPECT_EQ(agent.agent->counters().domainOut, 1U);
}

TEST(DomainOut, LastOfRapidStateChangesTakesEffect)
{
    TestFleet fleet({});
    fleet.run(Millis(4000));
    const auto callers = fleet.addCallers(12);
    generateTraffic(fleet, callers, Millis(500));
    for (const AdminState state : {AdminState::Out, AdminState::In, AdminState::Out}) {
        fleet.domain(2).state = state;
        fleet.publish();
        generateTraffic(fleet, callers, Millis(300));
    }
    generateTraffic(fleet, callers, Millis(3000));
    const std::uint64_t before = packetsInto(fleet, "zone-3");
    generateTraffic(fleet, callers, Millis(5000));
    EXPECT_EQ(packetsInto(fleet, "zone-3"), before);
    fleet.domain(2).state = AdminState::In;
    fleet.publish();
    generateTraffic(fleet, callers, Millis(5000));
    EXPECT_GT(packetsInto(fleet, "zone-3"), before);
}

TEST(DomainOut, ServiceContinuesInOtherDomains)
{
    TestFleet fleet({});
    fleet.run(Millis(4000));
    const auto callers = fleet.addCallers(12);
    generateTraffic(fleet, callers, Millis(1000));
    fleet.domain(0).state = AdminState::Out;
    fleet.publish();
    const std::size_t first = fleet.calls().size();
    generateTraffic(fleet, callers, Millis(6000));
    fleet.run(Millis(3000));
    std::size_t answered = 0;
    for (std::size_t i = first; i < fleet.calls().size(); ++i) {
        answered += fleet.calls()[i]->result.outcome == Outcome::Answered ? 1 : 0;
    }
    EXPECT_EQ(answered, fleet.calls().size() - first);
}
