#include <bergamotglade/detail/steering/entries.hpp>

#include <bergamotglade/detail/core/json_guard.hpp>

namespace bergamotglade {

namespace {

using nlohmann::json;

/// Throws InvalidValue if the address is malformed; decodeJson() turns it into an error.
Endpoint endpointAt(const json &object, const char *key)
{
    const auto endpoint = Endpoint::parse(object.at(key).get_ref<const std::string &>());
    if (!endpoint) {
        throw InvalidValue(describe(endpoint.error()));
    }
    return endpoint.value();
}

/// Reads a duration in milliseconds. The limit keeps the sum of any Instant and it in range.
Millis durationAt(const json &object, const char *key)
{
    return Millis(integerAt<std::int64_t>(object, key, 0, EntryDurationMax.count()));
}

} // namespace

std::string encode(const RouteDocument &document)
{
    json routes = json::array();
    for (const RouteEntry &route : document.routes) {
        json services = json::array();
        for (const WeightedService &service : route.services) {
            services.push_back({{"name", service.name.str()}, {"weight", service.weight.value()}});
        }
        routes.push_back({{"address", route.address.str()},
                          {"services", std::move(services)},
                          {"target_ms", route.latencyObjective.count()},
                          {"priority", route.priority}});
    }
    json services = json::array();
    for (const ServicePolicy &service : document.services) {
        services.push_back(
            {{"name", service.name.str()}, {"cold_per_second", service.coldFlowsPerSecond}});
    }
    json root {{"version", document.version},
               {"routes", std::move(routes)},
               {"services", std::move(services)}};
    if (document.flowIdleTimeout) {
        root["flow_idle_ms"] = document.flowIdleTimeout->count();
    }
    if (!document.remarks.empty()) {
        root["remarks"] = document.remarks;
    }
    return root.dump();
}

std::string encode(const UpstreamEntry &entry)
{
    return json {{"id", entry.id.str()},           {"service", entry.service.str()},
                 {"domain", entry.domain.str()},   {"agent", entry.agent.str()},
                 {"address", entry.address.str()}, {"slots", entry.slots},
                 {"leaving", entry.leaving},       {"cold_ms", entry.coldDuration.count()},
                 {"started_at", entry.startedAt}}
        .dump();
}

Result<RouteDocument> decodeRoutes(std::string_view text)
{
    return decodeJson<RouteDocument>(text, [](const json &root) {
        RouteDocument document;
        document.version = integerAt<std::uint64_t>(root, "version");
        for (const json &item : root.at("routes")) {
            RouteEntry route;
            route.address = endpointAt(item, "address");
            for (const json &service : item.at("services")) {
                route.services.push_back({ServiceName(service.at("name").get<std::string>()),
                                          Weight(integerAt<std::uint32_t>(service, "weight"))});
            }
            route.latencyObjective = durationAt(item, "target_ms");
            route.priority = integerAt<std::uint32_t>(item, "priority");
            document.routes.push_back(std::move(route));
        }
        for (const json &service : root.at("services")) {
            document.services.push_back({ServiceName(service.at("name").get<std::string>()),
                                         service.at("cold_per_second").get<double>()});
        }
        if (root.contains("flow_idle_ms")) {
            document.flowIdleTimeout = durationAt(root, "flow_idle_ms");
        }
        if (root.contains("remarks")) {
            document.remarks = root.at("remarks").get<std::vector<std::string>>();
        }
        return document;
    });
}

Result<UpstreamEntry> decodeUpstream(std::string_view text)
{
    return decodeJson<UpstreamEntry>(text, [](const json &root) {
        UpstreamEntry entry;
        entry.id = UpstreamId(root.at("id").get<std::string>());
        entry.service = ServiceName(root.at("service").get<std::string>());
        entry.domain = FailureDomainId(root.at("domain").get<std::string>());
        entry.agent = endpointAt(root, "agent");
        entry.address = endpointAt(root, "address");
        entry.slots = integerAt<std::uint32_t>(root, "slots");
        entry.leaving = root.at("leaving").get<bool>();
        entry.coldDuration = durationAt(root, "cold_ms");
        entry.startedAt = integerAt<std::uint64_t>(root, "started_at");
        return entry;
    });
}

} // namespace bergamotglade
