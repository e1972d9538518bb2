// Routes: where their new flows go, how long their flows live.

#include <bergamotglade/detail/steering/directory.hpp>

#include <algorithm>
#include <numeric>

namespace bergamotglade {

namespace {

/// Seed of the hash that selects a service; differs from the one that ranks upstreams, so that the
/// two choices are independent.
constexpr std::uint64_t SplitSeed = 0x5e41ce;

std::uint64_t totalWeight(const RouteEntry &route)
{
    return std::accumulate(
        route.services.begin(), route.services.end(), std::uint64_t(0),
        [](std::uint64_t sum, const WeightedService &s) { return sum + s.weight.value(); });
}

} // namespace

const RouteEntry *Directory::routeByAddress(const Endpoint &address) const
{
    const auto found = m_routes.find(address);
    return found == m_routes.end() ? nullptr : &found->second;
}

std::optional<ServiceName> Directory::serviceFor(const RouteEntry &route, const FlowKey &flow)
{
    const std::uint64_t total = totalWeight(route);
    if (total == 0) {
        return std::nullopt;
    }
    std::uint64_t pick = hashPair(flow.hash(), SplitSeed) % total;
    for (const WeightedService &service : route.services) {
        if (pick < service.weight.value()) {
            return service.name;
        }
        pick -= service.weight.value();
    }
    return route.services.back().name;
}

bool Directory::namesService(const RouteEntry &route, const ServiceName &service)
{
    return std::any_of(route.services.begin(), route.services.end(),
                       [&](const WeightedService &s) { return s.name == service; });
}

bool Directory::sendsNewFlowsTo(const RouteEntry &route, const ServiceName &service)
{
    return std::any_of(route.services.begin(), route.services.end(), [&](const WeightedService &s) {
        return s.name == service && s.weight.value() > 0;
    });
}

bool Directory::acceptsNewFlows(const KnownUpstream &upstream, const RouteEntry &route) const
{
    return acceptsNewFlows(upstream) && sendsNewFlowsTo(route, upstream.entry.service);
}

Findings Directory::routeFindings(const RouteDocument &document, const SectionName &section) const
{
    const auto warning = [&](FindingCode code, std::string text) {
        return Finding {code, Severity::Warning,
                        SourceLocation {section.str(), section.str(), 0, 0}, std::move(text)};
    };
    Findings findings;
    for (const std::string &remark : document.remarks) {
        findings.push_back(warning(FindingCode::WrongType, remark));
    }
    for (const auto &[address, route] : m_routes) {
        if (totalWeight(route) == 0) {
            findings.push_back(
                warning(FindingCode::ZeroWeight,
                        "route " + address.str() + " gets no new flows: all its weights are 0"));
        }
    }
    return findings;
}

void Directory::setFlowLifetimeMax(Millis lifetime, Instant now)
{
    const Millis difference = lifetime - m_settings.flowLifetimeMax;
    if (difference == Millis(0)) {
        return;
    }
    m_settings.flowLifetimeMax = lifetime;
    // What has been forgotten already stays so: its flows were older than the former maximum.
    for (auto &[address, until] : m_droppedRoutes) {
        until += difference;
    }
    for (auto &[address, former] : m_formerServices) {
        for (FormerService &service : former) {
            service.until += difference;
        }
    }
    for (DepartedUpstream &departed : m_departed) {
        departed.until += difference;
    }
    for (auto &[route, agents] : m_ownersOfOthers) {
        for (auto &[agent, until] : agents) {
            until += difference;
        }
    }
    for (FormerIdleTimeout &former : m_formerIdleTimeouts) {
        former.until += difference;
    }
    applyFlowIdleTimeout(now);
}

void Directory::applyFlowIdleTimeout(Instant now)
{
    // Without a configured timeout, flows are kept for their whole lifetime.
    const Millis timeout = std::min(m_configuredIdleTimeout.value_or(m_settings.flowLifetimeMax),
                                    m_settings.flowLifetimeMax);
    if (m_version && timeout < m_flowIdleTimeout) {
        m_formerIdleTimeouts.push_back({m_flowIdleTimeout, now + m_settings.flowLifetimeMax});
    }
    m_flowIdleTimeout = timeout;
}

Millis Directory::flowIdleTimeout() const
{
    Millis longest = m_flowIdleTimeout;
    for (const FormerIdleTimeout &former : m_formerIdleTimeouts) {
        longest = std::max(longest, former.timeout);
    }
    return longest;
}

} // namespace bergamotglade
