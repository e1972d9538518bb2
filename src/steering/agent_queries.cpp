// Flows that an agent does not know: questions to its upstream, answers to other agents, locations.

#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <algorithm>

namespace bergamotglade {

bool AgentSteering::mayHoldUnknownFlows(Instant now) const
{
    return !m_settings.isFirstStart && now - m_startedAt < m_settings.flowLifetimeMax;
}

const PossibleOwners *AgentSteering::possibleOwnersOf(const Endpoint &route) const
{
    const RouteEntry *entry = m_directory.routeByAddress(route);
    return entry == nullptr ? nullptr : &m_directory.possibleOwners(*entry);
}

std::uint64_t AgentSteering::listedDigestOf(const Endpoint &route) const
{
    const RouteEntry *entry = m_directory.routeByAddress(route);
    return entry == nullptr ? 0 : m_directory.listedOwners(*entry).digest();
}

OwnerSearchHooks AgentSteering::searchHooks()
{
    OwnerSearchHooks hooks;
    hooks.possibleOwners = [this](const Endpoint &route) {
        return possibleOwnersOf(route);
    };
    hooks.listedDigest = [this](const Endpoint &route) {
        return listedDigestOf(route);
    };
    hooks.ownersUnchangedSince = [this](const Endpoint &route) {
        const RouteEntry *entry = m_directory.routeByAddress(route);
        return entry == nullptr ? Instant::max() : m_directory.ownersUnchangedSince(*entry);
    };
    hooks.addPossibleOwners = [this](const Endpoint &route, const std::vector<Endpoint> &agents,
                                     Instant now) {
        m_directory.addPossibleOwners(route, agents, now);
    };
    hooks.askOwnUpstream = [this](const FlowKey &flow, const PacketBytes &bytes, Instant now) {
        return askUpstream(flow, bytes, std::nullopt, now);
    };
    hooks.sendQuery = m_hooks.sendFlowQuery;
    hooks.sendOwnersQuery = m_hooks.sendOwnersQuery;
    hooks.sendToOwner = [this](const Endpoint &agent, const PacketBytes &bytes, Instant now) {
        if (agent == m_settings.self) {
            sendToUpstream(bytes, false, now);
        } else {
            m_hooks.sendToAgent(agent, bytes);
        }
    };
    hooks.sendLocation = m_hooks.sendFlowLocation;
    hooks.onAbsent = [this](const FlowKey &flow, std::uint32_t acknowledgement, Instant now) {
        ++m_counters.resetsWithoutOwner;
        sendReset(flow, acknowledgement, "no possible owner holds the flow", now);
    };
    hooks.mayAct = m_hooks.mayAct;
    hooks.requestConfirmation = m_hooks.requestConfirmation;
    hooks.isConfirmedSince = m_hooks.isConfirmedSince;
    hooks.log = [this](std::string_view decision, std::string_view reason, const FlowKey &flow,
                       const Endpoint &target, Instant now) {
        logDecision(decision, reason, flow, target, now);
    };
    return hooks;
}

UnroutedFlowsHooks AgentSteering::unroutedHooks()
{
    UnroutedFlowsHooks hooks;
    hooks.isRouteKnown = [this](const Endpoint &route) {
        return m_directory.routeByAddress(route) != nullptr;
    };
    hooks.requestConfirmation = m_hooks.requestConfirmation;
    hooks.isConfirmedSince = m_hooks.isConfirmedSince;
    hooks.release = [this](UnroutedPacket packet, Instant now) {
        if (packet.segment.opens) {
            packet.segment.trail.heldTime += now - packet.receivedAt;
            m_codec.setTrail(packet.bytes, packet.segment.flow, packet.segment.trail);
        }
        onCallerPacket(packet.segment, std::move(packet.bytes), packet.from, now);
    };
    hooks.reject = [this](const Segment &segment, Instant now) {
        if (!segment.opens) {
            // The balancers tell the callers of open flows that their route was dropped.
            ++m_counters.packetsDropped;
            return;
        }
        ++m_counters.resetsNotAccepted;
        sendReset(segment.flow, segment.acknowledgement, "no route", now);
    };
    return hooks;
}

void AgentSteering::holdUnrouted(const Segment &segment, PacketBytes bytes, const Endpoint &from,
                                 Instant now)
{
    if (!m_unrouted.contains(segment.flow)) {
        logDecision("hold", "route is not known here", segment.flow, from, now);
    }
    m_unrouted.hold({segment, std::move(bytes), from, now}, now);
}

void AgentSteering::searchOwner(const Segment &segment, const PacketBytes &bytes,
                                const Endpoint &origin, bool isDenied, std::string_view reason,
                                Instant now)
{
    // A reset of an unknown flow is not worth a search.
    if (segment.resets) {
        ++m_counters.packetsDropped;
        return;
    }
    if (m_directory.routeByAddress(segment.flow.service) == nullptr) {
        // The possible owners are not known either.
        holdUnrouted(segment, bytes, origin, now);
        return;
    }
    ++m_counters.packetsPassedOn;
    if (!m_search.isSearching(segment.flow)) {
        logDecision("search", reason, segment.flow, origin, now);
    }
    m_search.onPacket(segment, bytes, origin, isDenied, now);
}

OwnUpstreamState AgentSteering::askUpstream(const FlowKey &flow, const PacketBytes &bytes,
                                            std::optional<Endpoint> asker, Instant now)
{
    const auto known = m_upstreamQueries.find(flow);
    const bool isKnown = known != m_upstreamQueries.end();
    if (m_upstreamCrashed || !mayHoldUnknownFlows(now) || (isKnown && known->second.denied)) {
        return OwnUpstreamState::NotHeld;
    }
    if (m_upstreamSilent
        || (!isKnown && m_upstreamQueries.size() >= m_settings.upstreamQueriesMax)) {
        return OwnUpstreamState::Unreachable;
    }
    UpstreamQuery &query = m_upstreamQueries[flow];
    if (asker
        && std::find(query.askers.begin(), query.askers.end(), *asker) == query.askers.end()) {
        query.askers.push_back(*asker);
    }
    if (!isKnown || now - query.lastAskedAt >= m_settings.upstreamQueryInterval) {
        query.firstAskedAt = isKnown ? query.firstAskedAt : now;
        query.lastAskedAt = now;
        // An upstream that holds the flow need not answer.
        sendToUpstream(bytes, false, now);
    }
    return OwnUpstreamState::Asked;
}

void AgentSteering::answerUpstreamQuery(const FlowKey &flow, bool owned, Instant now)
{
    const auto found = m_upstreamQueries.find(flow);
    if (found == m_upstreamQueries.end()) {
        return;
    }
    const std::vector<Endpoint> askers = std::move(found->second.askers);
    if (owned) {
        m_upstreamQueries.erase(found);
    } else {
        found->second.askers.clear();
        found->second.denied = true;
    }
    const FlowAnswer answer = makeAnswer(flow, owned);
    for (const Endpoint &asker : askers) {
        m_hooks.sendFlowAnswer(asker, answer);
    }
    m_search.onAnswer(answer, now);
}

FlowAnswer AgentSteering::makeAnswer(const FlowKey &flow, bool owned) const
{
    return {flow, m_settings.self, owned, listedDigestOf(flow.service)};
}

void AgentSteering::onFlowQuery(const FlowQuery &query, const Segment &segment, Instant now)
{
    const auto found = m_flows.find(segment.flow);
    const bool isOwned = found != m_flows.end()
        && (found->second.stage == FlowStage::HandedOff ? found->second.confirmsUpstream(segment)
                                                        : found->second.matchesUpstream(segment));
    if (isOwned) {
        found->second.lastSeen = now;
        if (found->second.stage == FlowStage::HandedOff) {
            found->second.stage = FlowStage::Accepted;
        }
        m_hooks.sendFlowAnswer(query.sender, makeAnswer(segment.flow, true));
        deliver(segment, found->second, query.packet, now);
        return;
    }
    // An outdated view of the possible owners must not prove that there is no owner.
    if (!m_hooks.mayAct(now)) {
        return;
    }
    const OwnUpstreamState state = found != m_flows.end()
        ? OwnUpstreamState::NotHeld
        : askUpstream(segment.flow, query.packet, query.sender, now);
    if (state == OwnUpstreamState::NotHeld) {
        m_hooks.sendFlowAnswer(query.sender, makeAnswer(segment.flow, false));
    }
}

void AgentSteering::onOwnersQuery(const OwnersQuery &query)
{
    const RouteEntry *route = m_directory.routeByAddress(query.route);
    if (route == nullptr) {
        return;
    }
    const PossibleOwners &owners = m_directory.listedOwners(*route);
    OwnersList part {query.route, owners.digest(), owners.list().size(), {}};
    for (const PossibleOwner &owner : owners.list()) {
        part.agents.push_back(owner.agent);
        if (part.agents.size() == m_settings.ownersPerMessage) {
            m_hooks.sendOwnersList(query.sender, part);
            part.agents.clear();
        }
    }
    if (!part.agents.empty()) {
        m_hooks.sendOwnersList(query.sender, part);
    }
}

void AgentSteering::reportLocations(Instant now)
{
    std::unordered_map<Endpoint, FlowLocations> messages;
    while (!m_locationTimers.empty()
           && now - m_locationTimers.front().at >= m_settings.locationReportAge) {
        const FlowKey key = m_locationTimers.front().flow;
        m_locationTimers.pop_front();
        const auto found = m_flows.find(key);
        const PossibleOwners *owners = possibleOwnersOf(key.service);
        if (found == m_flows.end() || found->second.stage != FlowStage::Open || owners == nullptr) {
            continue;
        }
        for (const Endpoint &home : homesOf(*owners, key)) {
            if (home == m_settings.self) {
                continue;
            }
            FlowLocations &message = messages[home];
            message.owner = m_settings.self;
            message.flows.push_back(key);
            if (message.flows.size() >= m_settings.locationsPerMessage) {
                m_hooks.sendFlowLocations(home, message);
                message.flows.clear();
            }
        }
    }
    for (const auto &[home, message] : messages) {
        if (!message.flows.empty()) {
            m_hooks.sendFlowLocations(home, message);
        }
    }
}

} // namespace bergamotglade
