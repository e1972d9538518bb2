#include "fleet_spec.hpp"

#include <algorithm>

namespace bergamotglade::scenario {

namespace {

using Need = YamlMap::Need;

constexpr std::int64_t CountMax = 200;
constexpr double ServiceMsMax = 100'000;

ServiceSpec readService(const YAML::Node &node, const std::vector<FailureDomain> &domains,
                        FindingSink &sink)
{
    ServiceSpec service;
    std::int64_t upstreamCount = 1;
    std::int64_t slots = 9;
    std::vector<double> serviceTimes;
    YamlMap map(node, "service", sink);
    map.id("name", service.name, Need::Required);
    map.endpoint("address", service.address, Need::Required);
    map.duration("deadline", service.deadline);
    map.real("objective_share", service.objective.share, 0, 1);
    map.duration("objective_latency", service.objective.latency);
    map.integer("upstreams", upstreamCount, 1, CountMax);
    map.integer("slots", slots, 1, CountMax);
    map.list("service_ms", [&](const YAML::Node &n) {
        double milliseconds = 0;
        if (YAML::convert<double>::decode(n, milliseconds) && milliseconds > 0
            && milliseconds < ServiceMsMax) {
            serviceTimes.push_back(milliseconds);
        } else {
            sink.add(FindingCode::WrongType, n.Mark(),
                     "service_ms must be a list of times in ms, each above 0 and below 100000");
        }
    });
    map.finish();
    for (std::int64_t i = 0; i < upstreamCount; ++i) {
        const auto index = static_cast<std::size_t>(i);
        UpstreamSpec upstream;
        const std::string id = service.name.str() + '-' + std::to_string(i + 1);
        upstream.entry.id = UpstreamId(id);
        upstream.entry.vm = VmId("vm-" + id);
        upstream.entry.domain =
            domains.empty() ? FailureDomainId() : domains[index % domains.size()].id;
        upstream.slots = static_cast<std::size_t>(slots);
        upstream.serviceMs =
            serviceTimes.empty() ? upstream.serviceMs : serviceTimes[index % serviceTimes.size()];
        service.upstreams.push_back(std::move(upstream));
    }
    return service;
}

const char *stateName(AdminState state)
{
    return state == AdminState::In ? "in" : "out";
}

} // namespace

UpstreamSpec *FleetSpec::find(const std::string &upstream)
{
    for (ServiceSpec &service : services) {
        for (UpstreamSpec &candidate : service.upstreams) {
            if (candidate.entry.id.str() == upstream) {
                return &candidate;
            }
        }
    }
    return nullptr;
}

ServiceSpec *FleetSpec::serviceOf(const std::string &upstream)
{
    for (ServiceSpec &service : services) {
        for (const UpstreamSpec &candidate : service.upstreams) {
            if (candidate.entry.id.str() == upstream) {
                return &service;
            }
        }
    }
    return nullptr;
}

FleetSpec readFleetSpec(const YAML::Node &node, FindingSink &sink)
{
    FleetSpec spec;
    YamlMap map(node, "shape", sink);
    map.list(
        "domains",
        [&](const YAML::Node &n) {
            spec.domains.push_back({FailureDomainId(n.as<std::string>("")), AdminState::In, {}});
        },
        Need::Required);
    auto balancers = static_cast<std::int64_t>(spec.balancers);
    map.integer("balancers", balancers, 1, CountMax);
    spec.balancers = static_cast<std::size_t>(balancers);
    map.list(
        "services",
        [&](const YAML::Node &n) { spec.services.push_back(readService(n, spec.domains, sink)); },
        Need::Required);
    map.finish();
    return spec;
}

std::string failureDomainsYaml(const FleetSpec &spec)
{
    std::string text = "failure_domains:\n";
    for (const FailureDomain &domain : spec.domains) {
        text += "  - {id: " + domain.id.str() + ", state: " + stateName(domain.state) + "}\n";
    }
    return text;
}

std::string serviceYaml(const ServiceSpec &service)
{
    std::string text = "services:\n  - name: " + service.name.str() + "\n    address: "
        + service.address.str() + "\n    deadline: " + std::to_string(service.deadline.count())
        + "ms\n    objective: {share: " + std::to_string(service.objective.share) + ", latency: "
        + std::to_string(service.objective.latency.count()) + "ms, window: 30d}\n    upstreams:\n";
    for (const UpstreamSpec &upstream : service.upstreams) {
        if (!upstream.published) {
            continue;
        }
        const Upstream &entry = upstream.entry;
        text += "      - {id: " + entry.id.str() + ", vm: " + entry.vm.str()
            + ", domain: " + entry.domain.str() + ", agent: \"" + entry.agent.str() + "\", weight: "
            + std::to_string(entry.weight.value()) + ", state: " + stateName(entry.state) + "}\n";
    }
    return text;
}

std::string rootYaml(const FleetSpec &spec)
{
    std::string text = "sections:\n  - failure-domains\n";
    for (const ServiceSpec &service : spec.services) {
        text += "  - " + service.name.str() + '\n';
    }
    return text;
}

} // namespace bergamotglade::scenario
