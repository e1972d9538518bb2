#include "property.hpp"

#include <bergamotglade/detail/cli/document_files.hpp>
#include <bergamotglade/detail/cli/explain.hpp>
#include <bergamotglade/detail/config/yaml_map.hpp>
#include <bergamotglade/detail/daemon/settings.hpp>
#include <bergamotglade/detail/daemon/settings_watch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>

using namespace bergamotglade;
using bergamotglade::tests::check;

namespace {

constexpr const char *ValidSection = R"(failure_domains:
  - {id: zone-1}
  - {id: zone-2, state: out}
services:
  - name: kits
    address: 10.0.0.1:80
    deadline: 2s
    objective: {share: 0.99, latency: 300ms, window: 30d}
    upstreams:
      - {id: k1, vm: vm1, domain: zone-1, agent: "127.0.0.1:7001", weight: 100}
      - {id: k2, vm: vm2, domain: zone-2, agent: "127.0.0.1:7002"}
      - {id: k3, vm: vm3, domain: zone-1, agent: "127.0.0.1:7003", state: out}
)";

struct Expected
{
    const char *text;
    FindingCode code;
    std::uint32_t line; ///< 0 for any line
};

bool hasFinding(const Findings &findings, FindingCode code, std::uint32_t line)
{
    for (const Finding &finding : findings) {
        if (finding.code == code && (line == 0 || finding.location.line == line)) {
            return true;
        }
    }
    return false;
}

std::string describeAll(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        text += describe(finding) + '\n';
    }
    return text;
}

/// A temporary directory, removed by the destructor.
class TemporaryDirectory
{
public:
    TemporaryDirectory()
        : m_path(std::filesystem::temp_directory_path()
                 / ("glade-unit-" + std::to_string(systemRandom()())))
    {
        std::filesystem::create_directories(m_path);
    }
    ~TemporaryDirectory() { std::filesystem::remove_all(m_path); }
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    std::string write(const std::string &name, const std::string &text) const
    {
        const auto file = m_path / name;
        std::ofstream(file) << text;
        return file.string();
    }
    [[nodiscard]] std::string path() const { return m_path.string(); }

private:
    std::filesystem::path m_path;
};

} // namespace

TEST(Document, ValidSectionIsParsed)
{
    const auto checked = parseSection(SectionName("kits"), ValidSection, "kits.yaml");
    ASSERT_TRUE(checked.value) << describeAll(checked.findings);
    ASSERT_EQ(checked.value->services.size(), 1U);
    const Service &service = checked.value->services[0];
    EXPECT_EQ(service.deadline, Millis(2000));
    EXPECT_EQ(service.objective.latency, Millis(300));
    ASSERT_EQ(service.upstreams.size(), 3U);
    EXPECT_EQ(service.upstreams[0].agent.port, 7001);
    EXPECT_EQ(service.upstreams[2].state, AdminState::Out);
}

TEST(Document, EachErrorGivesFindingWithLine)
{
    const Expected cases[] = {
        {"services: [", FindingCode::Syntax, 0},
        {"servces: []\n", FindingCode::UnknownKey, 1},
        {"services:\n  - nmae: kits\n    address: 10.0.0.1:80\n", FindingCode::UnknownKey, 2},
        {"services:\n  - address: 10.0.0.1:80\n", FindingCode::MissingKey, 2},
        {"services:\n  - name: a\n    address: nowhere\n", FindingCode::WrongType, 3},
        {"services:\n  - name: a\n    address: 10.0.0.1:80\n    deadline: soon\n",
         FindingCode::WrongType, 4},
        {"services:\n  - {name: a, address: \"10.0.0.1:80\", upstreams: [{id: u, domain: z, "
         "agent: \"127.0.0.1:1\", weight: 0}]}\n",
         FindingCode::ZeroWeight, 2},
        {"services:\n  - {name: a, address: \"10.0.0.1:80\"}\n  - {name: a, address: "
         "\"10.0.0.2:80\"}\n",
         FindingCode::DuplicateId, 3},
        {"services:\n  - {name: a, address: \"10.0.0.1:80\"}\n  - {name: b, address: "
         "\"10.0.0.1:80\"}\n",
         FindingCode::AddressConflict, 3},
        {"failure_domains:\n  - {id: z, state: maybe}\n", FindingCode::WrongType, 2},
        {"failure_domains:\n  - {id: z}\n  - {id: z}\n", FindingCode::DuplicateId, 3},
        {"vms: 3\n", FindingCode::WrongType, 1},
        {"- a\n- b\n", FindingCode::WrongType, 1},
    };
    for (const Expected &expected : cases) {
        const auto checked = parseSection(SectionName("s"), expected.text, "s.yaml");
        EXPECT_FALSE(checked.value) << expected.text;
        EXPECT_TRUE(hasFinding(checked.findings, expected.code, expected.line))
            << expected.text << describeAll(checked.findings);
    }
    const auto oversized =
        parseSection(SectionName("s"), std::string(SectionBytesMax + 1, ' '), "s");
    EXPECT_TRUE(hasFinding(oversized.findings, FindingCode::TooLarge, 0));
}

TEST(Document, AllFindingsAreReportedWithSuggestions)
{
    const auto checked = parseSection(
        SectionName("s"), "services:\n  - nmae: a\n    adress: x\n    wieght: 3\n", "s.yaml");
    EXPECT_GE(checked.findings.size(), 5U) << describeAll(checked.findings);
    EXPECT_NE(describeAll(checked.findings).find("did you mean 'name'"), std::string::npos);
}

TEST(Document, ConflictsAcrossSectionsAreFound)
{
    const auto a = parseSection(SectionName("a"), ValidSection, "a.yaml");
    const auto b = parseSection(
        SectionName("b"),
        "services:\n  - {name: other, address: \"10.0.0.1:80\", upstreams: [{id: x, domain: "
        "zone-9, agent: \"127.0.0.1:9\"}]}\n",
        "b.yaml");
    ASSERT_TRUE(a.value && b.value);
    const Root root {{SectionName("a"), SectionName("b")}};
    const Findings findings = checkAcrossSections(root, {*a.value, *b.value});
    EXPECT_TRUE(hasFinding(findings, FindingCode::AddressConflict, 2)) << describeAll(findings);
    EXPECT_TRUE(hasFinding(findings, FindingCode::UnknownReference, 2)) << describeAll(findings);
}

TEST(Document, MissingFilesAreReported)
{
    const TemporaryDirectory directory;
    directory.write("root.yaml", "sections: [kits, gone]\n");
    directory.write("kits.yaml", ValidSection);
    const DocumentFiles files = readDocument(directory.path());
    EXPECT_TRUE(files.readable);
    EXPECT_TRUE(hasFinding(files.findings, FindingCode::MissingSection, 0))
        << describeAll(files.findings);
    EXPECT_FALSE(readDocument(directory.path() + "/nowhere").readable);
}

TEST(Document, ArbitraryTextDoesNotCrashParser)
{
    check("arbitrary text does not crash the parser", [] {
        const auto text = *rc::gen::container<std::string>(
            rc::gen::element('a', ':', ' ', '\n', '-', '[', ']', '{', '}', '"', '&', '*', '1'));
        static_cast<void>(parseSection(SectionName("s"), text, "s"));
        static_cast<void>(parseRoot(text, "root"));
    });
}

TEST(Explain, ListsCandidatesAndReasonsForOthers)
{
    ConfigStore store;
    store.apply({Revision(0),
                 Revision(2),
                 {{SectionName("kits"), Revision(1), ValidSection, false},
                  {RootName, Revision(2), "sections: [kits]\n", false}}});
    const auto lines = explainFlow(store.view(), ServiceName("kits"), {0x7f000001, 4000});
    ASSERT_TRUE(lines);
    ASSERT_EQ(lines.value().size(), 3U);
    EXPECT_EQ(lines.value()[0].upstream, UpstreamId("k1"));
    EXPECT_EQ(lines.value()[0].rank, 1U);
    for (const ExplainLine &line : lines.value()) {
        if (line.upstream == UpstreamId("k2")) {
            EXPECT_EQ(line.reason, "failure domain is out");
        }
        if (line.upstream == UpstreamId("k3")) {
            EXPECT_EQ(line.reason, "upstream is out");
        }
    }
    EXPECT_FALSE(explainFlow(store.view(), ServiceName("none"), {1, 2}));
}

TEST(Settings, FindingsHaveLineOfError)
{
    const TemporaryDirectory directory;
    const std::string file =
        directory.write("agent.yaml",
                        "vm: v\nfailure_domain: z\nlisten: 127.0.0.1:0\nplatfrom: 127.0.0.1:1\n"
                        "service: s\nupstream: u\nupstream_address: 127.0.0.1:x\n");
    const auto checked = loadAgentSettings(file);
    EXPECT_FALSE(checked.value);
    EXPECT_TRUE(hasFinding(checked.findings, FindingCode::UnknownKey, 4))
        << describeAll(checked.findings);
    EXPECT_TRUE(hasFinding(checked.findings, FindingCode::MissingKey, 0));
    EXPECT_TRUE(hasFinding(checked.findings, FindingCode::WrongType, 7));
    EXPECT_FALSE(loadBalancerSettings(directory.path() + "/none.yaml").value);
}

namespace {

/// Settings of both daemons as the deployment renders them, without the figures of the platform.
const std::string SteeringSettings = "vm: v\nfailure_domain: z\nlisten: 127.0.0.1:0\n"
                                     "platform: 127.0.0.1:1\nsteering:\n  packets: 127.0.0.1:2\n";
const std::string AgentSettingsEnd = "  from_upstream: 127.0.0.1:3\nservice: s\nupstream: u\n"
                                     "upstream_address: 127.0.0.1:4\n";
constexpr std::uint32_t FigureLine = 7; ///< line of a figure in the settings

CheckResult<BalancerSettings> loadBalancer(const std::string &figures,
                                           const SteeringDaemonSettings &inForce = {})
{
    const TemporaryDirectory directory;
    return loadBalancerSettings(directory.write("balancer.yaml", SteeringSettings + figures),
                                inForce);
}

CheckResult<AgentDaemonSettings> loadAgent(const std::string &figures,
                                           const SteeringDaemonSettings &inForce = {})
{
    const TemporaryDirectory directory;
    return loadAgentSettings(
        directory.write("agent.yaml", SteeringSettings + figures + AgentSettingsEnd), inForce);
}

} // namespace

// Guards against daemons that do not start again because a bound of the platform is a fraction.
TEST(Settings, FractionalFlowLifetimeDoesNotKeepDaemonsFromStarting)
{
    const std::pair<const char *, std::int64_t> figures[] = {
        {"60", 60'000}, {"62.5", 62'500}, {"60.0", 60'000}, {"1e3", 1'000'000}, {"0.0004", 1}};
    for (const auto &[figure, millis] : figures) {
        const std::string line = "  flow_max: " + std::string(figure) + "s\n";
        const auto balancer = loadBalancer(line);
        ASSERT_TRUE(balancer.value) << describeAll(balancer.findings);
        EXPECT_EQ(balancer.value->steering->flowMax, Millis(millis));
        EXPECT_TRUE(balancer.findings.empty()) << describeAll(balancer.findings);
        const auto agent = loadAgent(line);
        ASSERT_TRUE(agent.value) << describeAll(agent.findings);
        EXPECT_EQ(agent.value->steering->flowMax, Millis(millis));
    }
}

// Guards against daemons that do not start again because a figure of the platform makes no sense.
TEST(Settings, InvalidFigureOfThePlatformIsOneWarningAndLeavesTheOneInForce)
{
    SteeringDaemonSettings inForce;
    inForce.flowMax = Millis(90'000);
    inForce.linkMbps = 200;
    const std::pair<std::string, std::vector<const char *>> keys[] = {
        {"flow_max", {"0s", "-5s", "trues", "s", "nans", "infs", "1e9s", "62.5", "[60s]"}},
        {"link_mbps", {"-1", "1000001", "fast", "true", ".nan", ".inf", "[10]"}}};
    for (const auto &[key, values] : keys) {
        for (const char *value : values) {
            const std::string line = "  " + key + ": " + value + "\n";
            const auto started = loadBalancer(line);
            ASSERT_TRUE(started.value) << line;
            EXPECT_EQ(started.findings.size(), 1U) << describeAll(started.findings);
            EXPECT_TRUE(hasFinding(started.findings, FindingCode::WrongType, FigureLine)) << line;
            EXPECT_EQ(started.value->steering->flowMax, SteeringDaemonSettings().flowMax);
            EXPECT_EQ(started.value->steering->linkMbps, 0);
            const auto reloaded = loadAgent(line, inForce);
            ASSERT_TRUE(reloaded.value) << line;
            EXPECT_EQ(reloaded.findings.size(), 1U) << describeAll(reloaded.findings);
            EXPECT_EQ(reloaded.value->steering->flowMax,
                      key == "flow_max" ? inForce.flowMax : SteeringDaemonSettings().flowMax);
            EXPECT_EQ(reloaded.value->steering->linkMbps, key == "link_mbps" ? 200 : 0);
        }
    }
    // A field that the platform does not fill. The parser gives such a value no line of its own.
    const auto unfilled = loadBalancer("  link_mbps:\n");
    EXPECT_TRUE(unfilled.value);
    EXPECT_EQ(unfilled.findings.size(), 1U);
}

// Guards against running processes that go on with settings that the platform has replaced.
TEST(SettingsWatch, NoticesAChangeWithoutASignalOnce)
{
    const TemporaryDirectory directory;
    SettingsWatch watch(directory.write("a.yaml", "flow_max: 60s\n"));
    Instant now {Millis(1000)};
    const auto changesAfter = [&](Millis time) {
        now += time;
        return watch.hasChanged(now);
    };
    EXPECT_FALSE(changesAfter(Millis(0)));
    (void)directory.write("a.yaml", "flow_max: 62.5s\n");
    EXPECT_FALSE(changesAfter(SettingsWatch::Interval - Millis(1)));
    EXPECT_TRUE(changesAfter(Millis(1)));
    EXPECT_FALSE(changesAfter(SettingsWatch::Interval));
    // A signal has made the process read the file.
    (void)directory.write("a.yaml", "flow_max: 90s\n");
    watch.accept();
    EXPECT_FALSE(changesAfter(SettingsWatch::Interval));
    std::filesystem::remove(directory.path() + "/a.yaml");
    EXPECT_FALSE(changesAfter(SettingsWatch::Interval));
}

// The settings of agents are rendered from the same template as those of balancers.
TEST(Settings, RateOfTheLinkIsReadByBothDaemons)
{
    const auto fractional = loadBalancer("  link_mbps: 12.5\n");
    ASSERT_TRUE(fractional.value) << describeAll(fractional.findings);
    EXPECT_EQ(fractional.value->steering->linkMbps, 12.5);
    EXPECT_EQ(loadBalancer("").value->steering->linkMbps, 0);
    EXPECT_EQ(loadBalancer("  link_mbps: 0\n").value->steering->linkMbps, 0);
    EXPECT_TRUE(loadAgent("  link_mbps: 10\n").value);
}

TEST(Duration, ParsesUnitsAndRejectsInvalidText)
{
    EXPECT_EQ(parseDuration("200ms"), Millis(200));
    EXPECT_EQ(parseDuration("11s"), Millis(11'000));
    EXPECT_EQ(parseDuration("30d"), Millis(2'592'000'000));
    EXPECT_EQ(parseDuration("1.5s"), Millis(1500));
    EXPECT_EQ(parseDuration("1.1s"), Millis(1100));
    EXPECT_EQ(parseDuration("0.1ms"), Millis(1));
    EXPECT_EQ(parseDuration("0s"), Millis(0));
    for (const char *bad : {"", "5", "-1s", "-0.5s", "1.5.2s", "1,5s", "3 s", "9999999999s",
                            "1000000.5s", "1e400s", "0x10s", "nans", "infs", "s"}) {
        EXPECT_FALSE(parseDuration(bad)) << bad;
    }
}

TEST(EndpointText, RoundTripsAndReportsErrorPosition)
{
    check("parsing the text of an endpoint gives the endpoint", [] {
        const Endpoint endpoint {*rc::gen::arbitrary<std::uint32_t>(),
                                 *rc::gen::arbitrary<std::uint16_t>()};
        const auto read = Endpoint::parse(endpoint.str());
        RC_ASSERT(bool(read));
        RC_ASSERT(read.value() == endpoint);
    });
    const auto bad = Endpoint::parse("10.0.0.256:80");
    ASSERT_FALSE(bad);
    EXPECT_EQ(bad.error().position, 7U);
}
