#include "small_fleet.hpp"

#include "property.hpp"

#include <packet_codec.hpp>
#include <store_items.hpp>

#include <bergamotglade/detail/core/json_guard.hpp>

#include <boost/beast/core/detail/base64.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace bergamotglade;
using namespace bergamotglade::tests;

namespace {

constexpr std::uint16_t AgentPort = 8172;

std::string base64(const std::string &text)
{
    namespace codec = boost::beast::detail::base64;
    std::string out(codec::encoded_size(text.size()), '\0');
    out.resize(codec::encode(out.data(), text.data(), text.size()));
    return out;
}

std::string storeItem(const std::string &key, const std::string &value, int revision)
{
    return R"({"key":")" + key + R"(","value":")" + base64(value) + R"(","revision":)"
        + std::to_string(revision) + R"(,"created_at":1,"lease":0})";
}

/// Reply of the store; `listName` is "items", or "events" for the reply to a watch.
std::string storeReply(const std::string &items, const std::string &listName = "items")
{
    return R"({")" + listName + R"(":[)" + items + R"(],"has_more":false,"as_of":530})";
}

const std::string ServerValue =
    R"({"service":"s1","address":"10.128.0.9:8080","zone":"z1","version":"v1","slots":9,)"
    R"("state":"ready","cold_remaining_ms":700,"sequence":4,"born":1769499681676})";

const std::string ConfigValue =
    R"({"version":7,"routes":[{"name":"r","hostname":"198.18.0.1","prefix":"/8443/",)"
    R"("kind":"idempotent","traffic_split":[{"service":"s1","weight":90},)"
    R"({"service":"s2","weight":10}]},{"name":"q","hostname":"198.18.0.2","prefix":"/80/",)"
    R"("service":"s2"}],"services":[{"name":"s1","cold_per_s":12.5},{"name":"s2"}],)"
    R"("limits":{"idle_timeout_ms":15000}})";

Result<Segment> decodeCallerPacket(const std::string &hex)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
        bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
    }
    return platform::packetCodec().fromCaller(bytes);
}

} // namespace

// Guards against flows being reset that were idle for less than the configured idle timeout: their
// agent had forgotten them after a time of its own, and then denied that its upstream held them.
TEST(ConfiguredIdleTimeout, FlowsThatAreIdleForLessAreNotReset)
{
    SmallFleet fleet;
    const auto configure = [&](int version, int idleMs) {
        const std::string configuration = R"({"version":)" + std::to_string(version)
            + R"(,"routes":[{"name":"r","hostname":"198.18.0.1","prefix":"/443/",)"
            + R"("kind":"idempotent","service":"kits"}],"services":[{"name":"kits"}],)"
            + R"("limits":{"idle_timeout_ms":)" + std::to_string(idleMs) + "}}";
        const auto page = platform::readStorePage(
            storeReply(storeItem("op/config", configuration, version)), AgentPort);
        fleet.publish(page.value().changes.at(0));
    };
    configure(2, 15'000);
    // Agents that have run for the lifetime of a flow do not ask their upstreams for unknown flows.
    fleet.runFor(Millis(61'000));
    configure(3, 40'000);
    std::vector<std::size_t> flows;
    for (int i = 0; i < 12; ++i) {
        flows.push_back(fleet.openFlow(0));
    }
    fleet.runFor(Millis(20'000));
    for (const std::size_t flow : flows) {
        fleet.sendRequest(flow);
    }
    fleet.runFor(Millis(1000));
    EXPECT_EQ(fleet.resetCount(), 0U);
    EXPECT_EQ(countAnswered(fleet, flows.size()), flows.size());
}

// Packets

TEST(PacketCodec, ReadsDocumentedPacket)
{
    const auto segment = decodeCallerPacket("a1b2c3d500000000000080000"
                                            "1bb9c4164400007c6120001"
                                            "1122334400000000");
    ASSERT_TRUE(segment);
    EXPECT_EQ(segment.value().flow.caller.str(), "100.64.0.7:40001");
    EXPECT_EQ(segment.value().flow.service.str(), "198.18.0.1:443");
    EXPECT_TRUE(segment.value().opens);
    EXPECT_FALSE(segment.value().acknowledges);
    EXPECT_EQ(segment.value().sequence, 0x11223344U);
}

TEST(PacketCodec, WritesDocumentedReset)
{
    const FlowKey flow {Endpoint::parse("100.64.0.7:40001").value(),
                        Endpoint::parse("198.18.0.1:443").value()};
    const PacketBytes reset = platform::packetCodec().makeReset(flow, 0);
    const std::string expected = "0000000000000000000040009c4101bbc6120001644000070000000000000000";
    std::string hex;
    for (const char c : reset) {
        constexpr std::string_view Digits = "0123456789abcdef";
        hex += Digits[static_cast<unsigned char>(c) >> 4U];
        hex += Digits[static_cast<unsigned char>(c) & 0xfU];
    }
    EXPECT_EQ(hex, expected);
}

TEST(PacketCodec, RejectsInvalidPacketsFromCallers)
{
    const PacketCodec codec = platform::packetCodec();
    const FlowKey flow {{1, 2}, {3, 4}};
    const PacketBytes good = makePacket(flow, true, Ack, 1, 2, std::string(100, 'd'));
    EXPECT_TRUE(codec.fromCaller(good));
    EXPECT_FALSE(codec.fromCaller(good.substr(0, 31)));
    EXPECT_FALSE(codec.fromCaller(good.substr(0, 131)));
    EXPECT_FALSE(codec.fromCaller(good + 'x'));
    EXPECT_FALSE(codec.fromCaller(makePacket(flow, true, Ack, 1, 2, std::string(1201, 'd'))));
    EXPECT_FALSE(codec.fromCaller(makePacket(flow, true, Ack | Returned, 1, 2)));
    EXPECT_FALSE(codec.fromCaller(""));
}

TEST(PacketCodec, PacketsFromUpstreamsHaveTheFlowOfTheirCaller)
{
    const PacketCodec codec = platform::packetCodec();
    const FlowKey flow {{1, 2}, {3, 4}};
    EXPECT_EQ(codec.fromUpstream(makePacket(flow, true, Syn | Returned, 1, 0)).value().flow, flow);
    EXPECT_EQ(codec.fromUpstream(makePacket(flow, false, Syn | Ack, 1, 2)).value().flow, flow);
}

RC_GTEST_PROP(PacketCodecProperty, ArbitraryBytesDoNotCrash, (const std::string &bytes))
{
    const PacketCodec codec = platform::packetCodec();
    (void)codec.fromCaller(bytes);
    (void)codec.fromUpstream(bytes);
}

TEST(PacketCodec, IgnoresTheTrailOfAnotherFlow)
{
    const PacketCodec codec = platform::packetCodec();
    PacketBytes own = makePacket({{7, 1}, {3, 4}}, true, Ack, 9, 10);
    codec.setTrail(own, {{7, 1}, {3, 4}}, {3, Millis()});
    PacketBytes other = makePacket({{8, 1}, {3, 4}}, true, Ack, 9, 10);
    std::copy(own.begin() + 6, own.begin() + 10, other.begin() + 6);
    EXPECT_EQ(codec.fromCaller(own).value().trail.hops, 3);
    EXPECT_EQ(codec.fromCaller(other).value().trail, Trail {});
}

RC_GTEST_PROP(PacketCodecProperty, TrailRoundTripsThroughAnUpstreamAndChangesNoOtherByte,
              (std::uint8_t hops, std::uint8_t heldUnits, std::uint8_t flags, std::uint16_t port))
{
    const PacketCodec codec = platform::packetCodec();
    const FlowKey flow {{7, port}, {3, 4}};
    const auto plain = static_cast<std::uint8_t>(flags & ~Returned);
    Trail trail;
    trail.hops = hops;
    if ((plain & Syn) != 0) {
        trail.heldTime = Millis(10) * heldUnits;
    }
    const PacketBytes before = makePacket(flow, true, plain, 9, 10, std::string(50, 'd'));
    PacketBytes after = before;
    codec.setTrail(after, flow, trail);
    RC_ASSERT(codec.fromCaller(after).value().trail == trail);
    PacketBytes returned = after;
    returned[10] = static_cast<char>(returned[10] | Returned);
    RC_ASSERT(codec.fromUpstream(returned).value().trail == trail);
    for (std::size_t i = 0; i < before.size(); ++i) {
        const bool isTrailByte = i >= 6 && i < 10;
        RC_ASSERT(isTrailByte || before[i] == after[i]);
    }
    // The zeros that callers and upstreams write are not a trail.
    RC_ASSERT(codec.fromCaller(before).value().trail == Trail {});
}

// Store

TEST(StorePage, ReadsRoutesUpstreamsAndFailureDomains)
{
    const auto read = platform::readStorePage(
        storeReply(
            storeItem("op/config", ConfigValue, 3) + ',' + storeItem("op/evacuate/z1", "{}", 4)
            + ',' + storeItem("servers/i-1", ServerValue, 5) + ',' + storeItem("my/other", "x", 6)),
        AgentPort);
    ASSERT_TRUE(read);
    ASSERT_EQ(read.value().changes.size(), 3U);
    EXPECT_EQ(read.value().revision, Revision(530));
    const RouteDocument routes = decodeRoutes(read.value().changes[0].text).value();
    EXPECT_EQ(routes.version, 7U);
    EXPECT_EQ(routes.routes[0].address.str(), "198.18.0.1:8443");
    EXPECT_EQ(routes.routes[0].services.size(), 2U);
    EXPECT_EQ(routes.routes[1].services.size(), 1U);
    EXPECT_EQ(routes.services[0].coldFlowsPerSecond, 12.5);
    EXPECT_EQ(read.value().changes[1].name.str(), "domain/z1");
    const UpstreamEntry entry = decodeUpstream(read.value().changes[2].text).value();
    EXPECT_EQ(entry.id.str(), "i-1");
    EXPECT_EQ(entry.agent.str(), "10.128.0.9:8172");
    EXPECT_EQ(entry.coldDuration, Millis(700));
    EXPECT_EQ(entry.startedAt, 1769499681676U);
}

TEST(StorePage, ReadsTheIdleTimeoutOfFlows)
{
    const auto read = [](const std::string &limits) {
        const std::string value = R"({"version":7,"routes":[],"services":[])" + limits + "}";
        const auto page =
            platform::readStorePage(storeReply(storeItem("op/config", value, 5)), AgentPort);
        return decodeRoutes(page.value().changes.at(0).text);
    };
    EXPECT_EQ(read(R"(,"limits":{"idle_timeout_ms":40000})").value().flowIdleTimeout,
              Millis(40'000));
    EXPECT_EQ(read(R"(,"limits":{"idle_timeout_ms":1500.5})").value().flowIdleTimeout,
              Millis(1501));
    // Rounded down it would be none at all, or forget flows that are not yet idle for long enough.
    EXPECT_EQ(read(R"(,"limits":{"idle_timeout_ms":0.25})").value().flowIdleTimeout, Millis(1));
    EXPECT_EQ(read(R"(,"limits":{"idle_timeout_ms":1e300})").value().flowIdleTimeout,
              EntryDurationMax);
    EXPECT_EQ(read(R"(,"limits":{"max_body_bytes":1})").value().flowIdleTimeout, std::nullopt);
    EXPECT_EQ(read("").value().flowIdleTimeout, std::nullopt);
    EXPECT_EQ(read(R"(,"limits":{"idle_timeout_ms":0})").value().flowIdleTimeout, std::nullopt);
}

// Guards against a figure without sense that keeps the routes of all customers from taking effect.
TEST(StorePage, InvalidFigureIsOneWarningAndTheRoutesTakeEffect)
{
    const std::string route = R"("hostname":"198.18.0.1","prefix":"/443/","service":"kits")";
    for (const std::string bad : {"-1", "-0.5", "true", "null", "\"long\"", "[60]", "{}"}) {
        for (const std::string key :
             {"idle_timeout_ms", "cold_per_s", "priority", "target_latency_ms"}) {
            const std::string figure = ",\"" + key + "\":" + bad;
            const bool isOfRoute = key == "priority" || key == "target_latency_ms";
            const std::string value = R"({"version":7,"routes":[{)" + route
                + (isOfRoute ? figure : "") + R"(}],"services":[{"name":"kits")"
                + (key == "cold_per_s" ? figure : "") + R"(}],"limits":{"other":1)"
                + (key == "idle_timeout_ms" ? figure : "") + "}}";
            const auto page =
                platform::readStorePage(storeReply(storeItem("op/config", value, 5)), AgentPort);
            Directory directory;
            const Findings findings = directory.applySection(page.value().changes.at(0), Instant());
            EXPECT_EQ(directory.routeCount(), 1U) << value;
            ASSERT_EQ(findings.size(), 1U) << value;
            EXPECT_FALSE(hasErrors(findings)) << value;
            EXPECT_NE(findings[0].message.find(key), std::string::npos) << findings[0].message;
            EXPECT_EQ(directory.flowIdleTimeout(), DirectorySettings().flowLifetimeMax);
            EXPECT_EQ(directory.coldFlowRate(ServiceName("kits")), 0);
        }
    }
}

TEST(StorePage, ReadsFiguresThatAreFractions)
{
    const std::string value =
        R"({"version":1e3,"routes":[{"hostname":"198.18.0.1","prefix":"/443/",)"
        R"("target_latency_ms":62.5,"priority":1.5,"traffic_split":[)"
        R"({"service":"a","weight":62.5},{"service":"b","weight":37.5},)"
        R"({"service":"c","weight":0},{"service":"d","weight":1e-9}]}],)"
        R"("services":[{"name":"a","cold_per_s":0.5}]})";
    const auto page =
        platform::readStorePage(storeReply(storeItem("op/config", value, 5)), AgentPort);
    const RouteDocument routes = decodeRoutes(page.value().changes.at(0).text).value();
    EXPECT_EQ(routes.version, 1000U);
    EXPECT_EQ(routes.routes[0].latencyObjective, Millis(63));
    EXPECT_EQ(routes.routes[0].priority, 1U);
    std::vector<std::uint32_t> weights;
    for (const WeightedService &service : routes.routes[0].services) {
        weights.push_back(service.weight.value());
    }
    EXPECT_EQ(weights, (std::vector<std::uint32_t> {1'000'000, 600'000, 0, 1}));
    EXPECT_EQ(routes.services[0].coldFlowsPerSecond, 0.5);
    EXPECT_TRUE(routes.remarks.empty());
}

// A weight without sense says nothing of where flows should go: the routes in force remain.
TEST(StorePage, InvalidWeightRejectsTheRoutesWithOneFinding)
{
    for (const std::string bad : {"-1", "true", "null", "\"10\""}) {
        const std::string value =
            R"({"version":7,"routes":[{"hostname":"198.18.0.1","prefix":"/443/",)"
            R"("traffic_split":[{"service":"kits","weight":)"
            + bad + R"(}]}],"services":[]})";
        const auto page =
            platform::readStorePage(storeReply(storeItem("op/config", value, 5)), AgentPort);
        Directory directory;
        const Findings findings = directory.applySection(page.value().changes.at(0), Instant());
        ASSERT_EQ(findings.size(), 1U);
        EXPECT_TRUE(hasErrors(findings));
        EXPECT_NE(findings[0].message.find("weight of service 'kits'"), std::string::npos)
            << findings[0].message;
        EXPECT_EQ(directory.routeCount(), 0U);
    }
}

TEST(StorePage, ReadsRemovals)
{
    const auto read = platform::readStorePage(
        storeReply(R"({"key":"servers/i-1","revision":413,"deleted":true})", "events"), AgentPort);
    ASSERT_TRUE(read);
    EXPECT_TRUE(read.value().changes.at(0).removed);
}

TEST(StorePage, InvalidItemIsRejectedAndTheOthersApply)
{
    const std::vector<std::string> invalidValues = {
        "",
        "[]",
        "{",
        "\xff\xfe",
        R"({"service":"s1"})",
        R"({"service":1,"address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready","cold_remaining_ms":0})",
        R"({"service":"s","address":"10.0.0.1","zone":"z","slots":1,"state":"ready","cold_remaining_ms":0})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":-1,"state":"ready","cold_remaining_ms":0})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1,"state":"odd","cold_remaining_ms":0})",
        R"({"service":"s","address":"10.0.0.1:70000","zone":"z","slots":1,"state":"ready","cold_remaining_ms":0})",
        R"({"service":"s","address":"10.0.0.1:0","zone":"z","slots":1,"state":"ready","cold_remaining_ms":0})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1e31,"state":"ready","cold_remaining_ms":0})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1.5,"state":"ready","cold_remaining_ms":0})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1e999,"state":"ready","cold_remaining_ms":0})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready","cold_remaining_ms":9e18})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready","cold_remaining_ms":9223372036854775807})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready","cold_remaining_ms":-1})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready","cold_remaining_ms":0,"born":-5})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready","cold_remaining_ms":0,"born":1e31})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready","cold_remaining_ms":0,"x":)"
            + std::string(100, '[') + std::string(100, ']') + '}',
    };
    for (const std::string &value : invalidValues) {
        const auto read =
            platform::readStorePage(storeReply(storeItem("servers/bad", value, 1) + ','
                                               + storeItem("servers/i-1", ServerValue, 5)),
                                    AgentPort);
        ASSERT_TRUE(read);
        ASSERT_EQ(read.value().changes.size(), 2U);
        Directory directory;
        EXPECT_TRUE(hasErrors(directory.applySection(read.value().changes[0], Instant())));
        EXPECT_FALSE(hasErrors(directory.applySection(read.value().changes[1], Instant())));
        EXPECT_EQ(directory.upstreams().size(), 1U);
    }
}

TEST(StorePage, DeeplyNestedItemTakesNoMemory)
{
    // Without a limit, each bracket would allocate an array of its own: 40 bytes and more for each
    // byte of the item, of which a page may hold a megabyte.
    const std::string value(700'000, '[');
    const auto read = platform::readStorePage(
        storeReply(storeItem("servers/bad", value, 1) + ',' + storeItem("op/config", value, 2) + ','
                   + storeItem("servers/i-1", ServerValue, 5)),
        AgentPort);
    ASSERT_TRUE(read);
    ASSERT_EQ(read.value().changes.size(), 3U);
    EXPECT_NE(read.value().changes[0].text.find("bytes"), std::string::npos);
    EXPECT_NE(read.value().changes[1].text.find("nested"), std::string::npos);
    Directory directory;
    EXPECT_FALSE(hasErrors(directory.applySection(read.value().changes[2], Instant())));
}

TEST(StorePage, RevisionOutOfRangeIsAnError)
{
    for (const std::string revision : {"1.1e31", "-1", "1.5", "\"7\"", "18446744073709551616"}) {
        const std::string reply = R"({"items":[],"has_more":false,"as_of":)" + revision + '}';
        EXPECT_FALSE(platform::readStorePage(reply, AgentPort)) << revision;
    }
}

TEST(JsonDepth, IgnoresBracketsInStrings)
{
    EXPECT_EQ(jsonDepth(R"([{"a":"[[[\"[["}])"), 2U);
    EXPECT_EQ(jsonDepth("]]]"), 0U);
    EXPECT_EQ(jsonDepth("[[[["), 4U);
}

TEST(StorePage, InvalidBase64ValueIsRejected)
{
    const std::string good = storeItem("servers/i-1", ServerValue, 5);
    const std::string start = R"({"key":"servers/bad","value":")";
    // "e30" without padding decodes to two bytes, while decoded_size() returns zero.
    for (const std::string value : {"e30", "e", "e30=e", "*", "===="}) {
        const std::string bad = start + value + R"(","revision":4,"created_at":1,"lease":0})";
        const auto read = platform::readStorePage(storeReply(bad + ',' + good), AgentPort);
        ASSERT_TRUE(read);
        ASSERT_EQ(read.value().changes.size(), 2U);
        Directory directory;
        EXPECT_TRUE(hasErrors(directory.applySection(read.value().changes[0], Instant()))) << value;
        EXPECT_FALSE(hasErrors(directory.applySection(read.value().changes[1], Instant())));
    }
}

TEST(StorePage, TruncatedReplyIsAnError)
{
    const std::string whole = storeReply(storeItem("servers/i-1", ServerValue, 5));
    for (std::size_t size = 0; size < whole.size(); size += 7) {
        EXPECT_FALSE(platform::readStorePage(whole.substr(0, size), AgentPort));
    }
}

RC_GTEST_PROP(StorePageProperty, ArbitraryValuesDoNotCrash, (const std::string &value))
{
    const auto read = platform::readStorePage(
        storeReply(storeItem("servers/x", value, 1) + ',' + storeItem("op/config", value, 2)),
        AgentPort);
    RC_ASSERT(read.has_value());
    Directory directory;
    for (const SectionChange &change : read.value().changes) {
        (void)directory.applySection(change, Instant());
    }
}
