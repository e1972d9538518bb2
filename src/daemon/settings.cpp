#include <bergamotglade/detail/daemon/settings.hpp>

#include <bergamotglade/detail/config/yaml_map.hpp>

#include <fstream>
#include <sstream>

namespace bergamotglade {

namespace {

using Need = YamlMap::Need;

void readCommon(YamlMap &map, CommonSettings &common, FindingSink &sink)
{
    map.id("vm", common.vm, Need::Required);
    map.id("failure_domain", common.domain, Need::Required);
    map.endpoint("listen", common.listen, Need::Required);
    map.endpoint("platform", common.platform, Need::Required);
    map.duration("stop_timeout", common.stopTimeout);
    map.boolean("faults", common.faultInjection);
    map.boolean("peers_at_own_port", common.peersAtOwnPort);
    map.list("peers", [&](const YAML::Node &node) {
        const auto peer = Endpoint::parse(node.IsScalar() ? node.Scalar() : std::string());
        if (peer) {
            common.peers.push_back(peer.value());
        } else {
            sink.add(FindingCode::WrongType, node.Mark(), "peers: " + peer.error().message);
        }
    });
    if (common.peersAtOwnPort) {
        for (Endpoint &peer : common.peers) {
            peer.port = common.listen.port;
        }
    }
    map.map("log_level", [&](const YAML::Node &node) {
        const std::string level = node.IsScalar() ? node.Scalar() : std::string();
        if (level == "error") {
            common.logLevel = LogLevel::Error;
        } else if (level == "info") {
            common.logLevel = LogLevel::Info;
        } else if (level == "debug") {
            common.logLevel = LogLevel::Debug;
        } else {
            sink.add(FindingCode::WrongType, node.Mark(),
                     "log_level must be error, info or debug, got '" + level + "'");
        }
    });
}

void readSteering(YamlMap &map, std::optional<SteeringDaemonSettings> &steering, bool isAgent,
                  const SteeringDaemonSettings &inForce, FindingSink &sink)
{
    map.map("steering", [&](const YAML::Node &node) {
        steering.emplace();
        YamlMap steeringMap(node, "steering", sink);
        steeringMap.endpoint("packets", steering->packets, Need::Required);
        steeringMap.endpoint("ready", steering->ready);
        if (isAgent) {
            steeringMap.endpoint("from_upstream", steering->fromUpstream, Need::Required);
        }
        steeringMap.platformDuration("flow_max", steering->flowMax, inForce.flowMax);
        steeringMap.duration("watch_time", steering->watchTime);
        steeringMap.boolean("first_start", steering->isFirstStart);
        // Settings of agents are rendered from the same template, so they contain the key as well.
        constexpr double LinkMbpsMax = 1'000'000;
        steeringMap.platformReal("link_mbps", steering->linkMbps, 0, LinkMbpsMax, inForce.linkMbps);
        steeringMap.finish();
    });
}

void readLimit(const YAML::Node &node, LimitSettings &limit, FindingSink &sink)
{
    constexpr double LimitMax = 100'000;
    constexpr double ColdLatencyRatioMax = 100;
    YamlMap map(node, "limit", sink);
    map.real("start", limit.start, 1, LimitMax);
    map.real("max", limit.max, 1, LimitMax);
    map.real("jump", limit.coldLatencyRatio, 1, ColdLatencyRatioMax);
    map.real("warmup_limit", limit.warmupLimit, 1, LimitMax);
    map.duration("warmup", limit.warmup);
    map.finish();
}

void readAgent(YamlMap &map, AgentDaemonSettings &settings, FindingSink &sink)
{
    constexpr std::int64_t QueueMaxLimit = 100'000;
    constexpr std::int64_t FlowsMaxLimit = 10'000'000;
    AgentSettings &agent = settings.agent;
    map.id("upstream", agent.upstream, Need::Required);
    map.id("service", agent.service, Need::Required);
    map.endpoint("upstream_address", settings.upstreamAddress, Need::Required);
    map.duration("flow_idle", agent.flowIdle);
    map.boolean("hand_on", agent.offload);
    auto queueMax = static_cast<std::int64_t>(agent.queueMax);
    map.integer("queue_max", queueMax, 0, QueueMaxLimit);
    agent.queueMax = static_cast<std::size_t>(queueMax);
    auto flowsMax = static_cast<std::int64_t>(agent.flowsMax);
    map.integer("flows_max", flowsMax, 1, FlowsMaxLimit);
    agent.flowsMax = static_cast<std::size_t>(flowsMax);
    map.map("limit", [&](const YAML::Node &node) { readLimit(node, agent.limit, sink); });
}

/// Loads a YAML file, calls `read` on its root mapping and collects all findings.
template <typename T, typename Read>
CheckResult<T> load(const std::string &path, Read read)
{
    FindingSink sink {path, "", {}};
    CheckResult<T> checked;
    T settings;
    const auto text = readFile(path);
    if (!text) {
        sink.add(FindingCode::Syntax, YAML::Mark::null_mark(), text.error().message);
    } else {
        const YAML::Node node = loadYaml(text.value(), sink);
        if (node.IsDefined()) {
            YamlMap map(node, "settings", sink);
            read(map, settings, sink);
            map.finish();
        }
    }
    if (!hasErrors(sink.findings)) {
        checked.value = std::move(settings);
    }
    checked.findings = std::move(sink.findings);
    return checked;
}

} // namespace

Result<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    if (!file) {
        return Error {ErrorCode::Io, "cannot read '" + path + "'"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

CheckResult<BalancerSettings> loadBalancerSettings(const std::string &path,
                                                   const SteeringDaemonSettings &inForce)
{
    return load<BalancerSettings>(path,
                                  [&](YamlMap &map, BalancerSettings &settings, FindingSink &sink) {
                                      readCommon(map, settings.common, sink);
                                      readSteering(map, settings.steering, false, inForce, sink);
                                      map.boolean("uniform", settings.uniform);
                                  });
}

CheckResult<AgentDaemonSettings> loadAgentSettings(const std::string &path,
                                                   const SteeringDaemonSettings &inForce)
{
    return load<AgentDaemonSettings>(
        path, [&](YamlMap &map, AgentDaemonSettings &settings, FindingSink &sink) {
            readCommon(map, settings.common, sink);
            readSteering(map, settings.steering, true, inForce, sink);
            readAgent(map, settings, sink);
            settings.agent.domain = settings.common.domain;
        });
}

} // namespace bergamotglade
