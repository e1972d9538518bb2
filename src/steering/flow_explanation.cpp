#include <bergamotglade/detail/steering/flow_explanation.hpp>

namespace bergamotglade {

namespace {

std::string_view stateOf(const Directory &directory, const RouteEntry &route,
                         const KnownUpstream &upstream)
{
    if (directory.isOut(upstream.entry.domain)) {
        return "failure domain is out";
    }
    if (upstream.entry.leaving) {
        return "upstream is leaving";
    }
    if (!Directory::sendsNewFlowsTo(route, upstream.entry.service)) {
        return "route sends no new flows to the service";
    }
    return directory.acceptsNewFlows(upstream, route) ? "takes flows" : "takes no new flows";
}

} // namespace

std::vector<FlowCandidate> candidatesOf(const Directory &directory, const FlowKey &flow)
{
    const RouteEntry *route = directory.routeByAddress(flow.service);
    if (route == nullptr) {
        return {};
    }
    std::vector<FlowCandidate> candidates;
    for (const Endpoint &agent : directory.possibleOwners(*route).searchOrder(flow)) {
        FlowCandidate candidate;
        candidate.agent = agent;
        candidate.state = "upstream has departed";
        if (const KnownUpstream *known = directory.upstreamByAgent(agent)) {
            candidate.upstream = known->entry.id;
            candidate.domain = known->entry.domain;
            candidate.state = stateOf(directory, *route, *known);
        }
        candidates.push_back(candidate);
    }
    return candidates;
}

} // namespace bergamotglade
