// Flows that an agent does not know: questions to its upstream, answers to other agents, locations.

#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <algorithm>

namespace bergamotglade {

bool AgentSteering::mayHoldUnknownFlows(Instant now) const
{
    return !m_settings.isFirstStart && now - m_startedAt < m_settings.flowLifetimeMax;
}

const PossibleOwners *AgentSteering::possibleOwnersOf(const FlowKey &flow) const
{
    const RouteEntry *route = m_directory.routeByAddress(flow.service);
    return route == nullptr ? nullptr : &m_directory.possibleOwners(*route);
}

OwnerSearchHooks AgentSteering::searchHooks()
{
    OwnerSearchHooks hooks;
    hooks.possibleOwners = [this](const FlowKey &flow) {
        return possibleOwnersOf(flow);
    };
    hooks.askOwnUpstream = [this](const FlowKey &flow, const PacketBytes &bytes, Instant now) {
        return askUpstream(flow, bytes, nullptr, now);
    };
    hooks.sendQuery = m_hooks.sendFlowQuery;
    hooks.learnOwners = [this](const FlowKey &flow, const std::vector<FormerOwner> &owners,
                               Instant now) {
        if (const RouteEntry *route = m_directory.routeByAddress(flow.service)) {
            m_directory.learnFormerOwners(*route, owners, now);
        }
    };
    hooks.sendToOwner = [this](const Endpoint &agent, const PacketBytes &bytes, Instant now) {
        if (agent == m_settings.self) {
            sendToUpstream(bytes, now);
        } else {
            m_hooks.sendToAgent(agent, bytes);
        }
    };
    hooks.sendLocation = [this](const Endpoint &process, const FlowLocated &located) {
        m_hooks.sendFlowLocation(process, located);
    };
    hooks.onAbsent = [this](const FlowKey &flow, std::uint32_t acknowledgement, Instant now) {
        ++m_counters.resetsWithoutOwner;
        sendReset(flow, acknowledgement, "no possible owner holds the flow", now);
    };
    hooks.mayAct = m_hooks.mayAct;
    hooks.log = [this](std::string_view decision, std::string_view reason, const FlowKey &flow,
                       const Endpoint &target, Instant now) {
        logDecision(decision, reason, flow, target, now);
    };
    return hooks;
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
    ++m_counters.packetsPassedOn;
    if (!m_search.isSearching(segment.flow)) {
        logDecision("search", reason, segment.flow, origin, now);
    }
    m_search.onPacket(segment, bytes, origin, isDenied, now);
}

OwnUpstreamState AgentSteering::askUpstream(const FlowKey &flow, const PacketBytes &bytes,
                                            const FlowQuery *asker, Instant now)
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
    const auto isSameAsker = [&](const FlowQuery &other) {
        return other.sender == asker->sender;
    };
    if (asker != nullptr && std::none_of(query.askers.begin(), query.askers.end(), isSameAsker)) {
        query.askers.push_back({asker->sender, asker->ownersDigest, {}});
    }
    if (!isKnown || now - query.lastAskedAt >= m_settings.upstreamQueryInterval) {
        query.firstAskedAt = isKnown ? query.firstAskedAt : now;
        query.lastAskedAt = now;
        sendToUpstream(bytes, now);
    }
    return OwnUpstreamState::Asked;
}

void AgentSteering::answerUpstreamQuery(const FlowKey &flow, bool owned, Instant now)
{
    const auto found = m_upstreamQueries.find(flow);
    if (found == m_upstreamQueries.end()) {
        return;
    }
    const std::vector<FlowQuery> askers = std::move(found->second.askers);
    if (owned) {
        m_upstreamQueries.erase(found);
    } else {
        found->second.askers.clear();
        found->second.denied = true;
    }
    for (const FlowQuery &asker : askers) {
        m_hooks.sendFlowAnswer(asker.sender, makeAnswer(flow, owned, asker.ownersDigest, now));
    }
    m_search.onAnswer({flow, m_settings.self, owned, possibleOwnersDigest(flow), {}}, now);
}

std::uint64_t AgentSteering::possibleOwnersDigest(const FlowKey &flow) const
{
    const PossibleOwners *owners = possibleOwnersOf(flow);
    return owners == nullptr ? 0 : owners->digest();
}

FlowAnswer AgentSteering::makeAnswer(const FlowKey &flow, bool owned, std::uint64_t digest,
                                     Instant now) const
{
    FlowAnswer answer {flow, m_settings.self, owned, possibleOwnersDigest(flow), {}};
    const RouteEntry *route = m_directory.routeByAddress(flow.service);
    if (!owned && route != nullptr && answer.ownersDigest != digest) {
        answer.formerOwners = m_directory.formerOwners(*route, now);
    }
    return answer;
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
        m_hooks.sendFlowAnswer(query.sender,
                               makeAnswer(segment.flow, true, query.ownersDigest, now));
        deliver(segment, found->second, query.packet, now);
        return;
    }
    // An outdated view of the possible owners must not prove that there is no owner.
    if (!m_hooks.mayAct(now)) {
        return;
    }
    const OwnUpstreamState state = found != m_flows.end()
        ? OwnUpstreamState::NotHeld
        : askUpstream(segment.flow, query.packet, &query, now);
    if (state == OwnUpstreamState::NotHeld) {
        m_hooks.sendFlowAnswer(query.sender,
                               makeAnswer(segment.flow, false, query.ownersDigest, now));
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
        const PossibleOwners *owners = possibleOwnersOf(key);
        if (found == m_flows.end() || found->second.stage != FlowStage::Open || owners == nullptr) {
            continue;
        }
        for (const Endpoint &home : homesOf(*owners, key)) {
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
        if (!message.flows.empty() && home != m_settings.self) {
            m_hooks.sendFlowLocations(home, message);
        }
    }
}

} // namespace bergamotglade
