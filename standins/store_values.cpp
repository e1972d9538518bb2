#include "store_values.hpp"

#include <nlohmann/json.hpp>

namespace bergamotglade::standins {

namespace {

using nlohmann::json;

/// Latency objective of all routes.
constexpr int TargetLatencyMs = 300;

} // namespace

std::string hostValue(const HostValue &host)
{
    return json {{"service", host.service}, {"address", host.address.str()},
                 {"zone", host.zone},       {"version", "v1"},
                 {"slots", host.slots},     {"state", host.draining ? "draining" : "ready"},
                 {"cold_remaining_ms", 0},  {"sequence", 1},
                 {"born", host.born}}
        .dump();
}

std::string configValue(std::uint64_t version, const std::vector<RouteValue> &routes)
{
    json entries = json::array();
    json services = json::array();
    for (const RouteValue &route : routes) {
        // A route has its IP address in `hostname` and its port, between slashes, in `prefix`.
        const std::string address = route.address.str();
        entries.push_back({{"name", route.service},
                           {"hostname", address.substr(0, address.find(':'))},
                           {"prefix", "/" + std::to_string(route.address.port) + "/"},
                           {"service", route.service},
                           {"target_latency_ms", TargetLatencyMs},
                           {"priority", 1}});
        services.push_back({{"name", route.service}});
    }
    return json {{"version", version}, {"routes", entries}, {"services", services}}.dump();
}

} // namespace bergamotglade::standins
