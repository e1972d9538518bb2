// New flows at an agent: admission, queueing, hand-off.

#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

OwnerSearchSettings searchSettings(const AgentSteeringSettings &agent)
{
    OwnerSearchSettings settings;
    settings.self = agent.self;
    settings.locationTtl = agent.flowLifetimeMax;
    return settings;
}

} // namespace

AgentSteering::AgentSteering(AgentSteeringSettings settings, Directory &directory,
                             PacketCodec codec, AgentSteeringHooks hooks, Random random,
                             Instant now)
    : m_settings(std::move(settings))
    , m_directory(directory)
    , m_codec(std::move(codec))
    , m_hooks(std::move(hooks))
    , m_random(random)
    , m_peerLoads({}, std::move(random))
    , m_queue(m_settings.queueMax)
    , m_drain(m_settings.drainObservationMin, m_settings.pauseThreshold,
              m_settings.sustainedOverload)
    , m_turns(m_settings.routeFloorShare)
    , m_search(searchSettings(m_settings), searchHooks())
    , m_unrouted(m_settings.unrouted, unroutedHooks())
    , m_startedAt(now)
{ }

void AgentSteering::onCallerPacket(const Segment &segment, PacketBytes bytes, const Endpoint &from,
                                   Instant now)
{
    if (segment.opens) {
        const auto [sender, isNew] = m_recentSenders.try_emplace(from);
        sender->second.lastSeen = now;
        if (isNew) {
            m_nextReportAt = now;
        }
        onOpening(segment, std::move(bytes), from, now);
    } else {
        onContinuation(segment, std::move(bytes), from, now);
    }
}

void AgentSteering::onOpening(const Segment &segment, PacketBytes bytes, const Endpoint &from,
                              Instant now)
{
    const auto known = m_flows.find(segment.flow);
    // A flow that the upstream has answered stays here, even if the upstream is silent now: the
    // caller may have chosen that answer.
    const bool isAnswered = known != m_flows.end()
        && (known->second.stage == FlowStage::Accepted || known->second.stage == FlowStage::Open);
    const bool isOffered = known != m_flows.end() && known->second.stage == FlowStage::Offered;
    if (isAnswered || (isOffered && !m_upstreamSilent)) {
        // A retransmission: the upstream answers it again.
        known->second.lastSeen = now;
        sendToUpstream(bytes, true, now);
        return;
    }
    bool handedOff = known != m_flows.end() && known->second.stage == FlowStage::HandedOff;
    if (handedOff && segment.trail.hops > known->second.trail.hops) {
        // Not a retransmission: the other agent has handed the flow back.
        eraseFlow(segment.flow);
        handedOff = false;
    }
    if (handedOff
        && m_peerLoads.lastReportAt(known->second.handedOffTo) > known->second.offeredAt) {
        // A retransmission for a flow that is queued at the other agent.
        followRedirect(known->second.handedOffTo, segment, std::move(bytes), from, now);
        return;
    }
    if (!m_hooks.mayAct(now)) {
        // The caller retransmits the packet soon.
        ++m_counters.packetsDropped;
        return;
    }
    const RouteEntry *route = m_directory.routeByAddress(segment.flow.service);
    if (route == nullptr) {
        // The sender knows a newer version, or an older one; it must not consider this agent dead.
        confirmArrival(from, now);
        holdUnrouted(segment, std::move(bytes), from, now);
        return;
    }
    if (m_queue.contains(segment.flow)) {
        confirmArrival(from, now);
        return;
    }
    const std::string_view reason = rejectionReason(*route, segment.trail, now);
    if (!reason.empty()) {
        handOffOpening(segment.flow, std::move(bytes), segment.trail, reason,
                       segment.acknowledgement, now);
        return;
    }
    const bool full =
        (isUpstreamFull(route->priority) || m_queue.hasUpTo(route->priority)) && !claimProbe(now);
    if (!full && admitsWhileCold(now)) {
        if (!m_queue.empty()) {
            // It goes before the flows that wait.
            m_drain.advance(now, true);
            m_drain.onArrival(route->priority);
            m_drain.onDeparture();
            m_turns.onDeparture(segment.flow.service);
        }
        offerToUpstream(segment.flow, segment.trail, bytes, now);
        return;
    }
    // The upstream's answer will be late or come through another agent; without the report, the
    // sender would consider this agent dead.
    confirmArrival(from, now);
    if (!full) {
        handOffOpening(segment.flow, std::move(bytes), segment.trail,
                       "rate limit of the cold upstream reached", segment.acknowledgement, now);
        return;
    }
    const auto peer =
        segment.trail.hops < m_settings.openingHopsMax ? lessLoadedPeer(*route, now) : std::nullopt;
    if (peer) {
        handOffOpening(segment.flow, std::move(bytes), segment.trail, "upstream is full",
                       segment.acknowledgement, now, peer);
        return;
    }
    enqueue(segment, std::move(bytes), *route, now);
}

std::string_view AgentSteering::rejectionReason(const RouteEntry &route, const Trail &trail,
                                                Instant now)
{
    if (!Directory::sendsNewFlowsTo(route, m_settings.service)) {
        return Directory::namesService(route, m_settings.service)
            ? "service of the agent has the weight 0"
            : "service of the agent is not in the route";
    }
    if (m_directory.isOut(m_settings.domain)) {
        return "failure domain is out";
    }
    if (m_draining) {
        return "agent is stopping";
    }
    const KnownUpstream *self = m_directory.upstreamByAddress(m_settings.upstream);
    if (self != nullptr && self->entry.leaving) {
        return "upstream is leaving";
    }
    if (self == nullptr && m_directory.isSettled(now)) {
        return "upstream is not registered";
    }
    if (m_flows.size() >= m_settings.flowsMax) {
        return "flow limit reached";
    }
    if (m_upstreamSilent) {
        if (now < m_nextProbeAt) {
            return "upstream is silent";
        }
        m_nextProbeAt = now + m_settings.probeInterval;
        return {};
    }
    // If no other agent accepts flows, a refusing or failing upstream remains in use.
    const bool refusingOrFailing = m_lastRefusal.has_value() || m_outcomes.isFailing();
    if (!refusingOrFailing || trail.hops >= m_settings.openingHopsMax
        || otherAcceptingAgents(route).empty()) {
        return {};
    }
    if (isUpstreamRefusing(now)) {
        return "upstream refused a flow recently";
    }
    if (m_lastRefusal) {
        // This flow is the probe: the next one waits for its outcome or for refusalBackoff.
        m_lastRefusal = now;
    }
    return m_outcomes.isFailing() && !m_outcomes.claimProbe(now)
        ? "upstream ends requests without an answer"
        : "";
}

bool AgentSteering::admitsWhileCold(Instant now)
{
    const KnownUpstream *self = m_directory.upstreamByAddress(m_settings.upstream);
    const double rate = m_directory.coldFlowRate(m_settings.service);
    const bool cold = self == nullptr || now < self->coldUntil;
    return !cold || rate <= 0 || m_coldLimit.admit(rate, now);
}

bool AgentSteering::isUpstreamRefusing(Instant now) const
{
    return m_lastRefusal && now - *m_lastRefusal < m_settings.refusalBackoff;
}

bool AgentSteering::isUpstreamSuspect(Instant now) const
{
    return m_unansweredPackets >= m_settings.crashUnansweredMin
        && now - m_unansweredSince >= m_settings.suspectTimeout && now >= m_nextProbeAt;
}

bool AgentSteering::claimProbe(Instant now)
{
    if (!isUpstreamSuspect(now)) {
        return false;
    }
    m_nextProbeAt = now + m_settings.probeInterval;
    return true;
}

void AgentSteering::offerToUpstream(const FlowKey &key, const Trail &trail,
                                    const PacketBytes &bytes, Instant now)
{
    eraseFlow(key);
    m_upstreamQueries.erase(key);
    OwnedFlow &flow = m_flows[key];
    m_expiryQueue.push_back(key);
    flow.lastSeen = now;
    flow.offeredAt = now;
    flow.trail = trail;
    flow.openingPacket = bytes;
    flow.priority = priorityOf(key);
    setHandshaking(flow, true);
    ++m_counters.flowsOffered;
    m_offerTimers.push_back({key, now});
    logDecision("take", "upstream is not full, or due for a probe", key, m_settings.upstream, now);
    sendToUpstream(bytes, true, now);
}

std::vector<Endpoint> AgentSteering::otherAcceptingAgents(const RouteEntry &route) const
{
    std::vector<Endpoint> agents;
    for (const auto &[id, known] : m_directory.upstreams()) {
        if (known.entry.agent != m_settings.self && m_directory.acceptsNewFlows(known, route)
            && !m_peerLoads.isDraining(known.entry.agent)) {
            agents.push_back(known.entry.agent);
        }
    }
    return agents;
}

void AgentSteering::handOffOpening(const FlowKey &key, PacketBytes bytes, Trail trail,
                                   std::string_view reason, std::uint32_t acknowledgement,
                                   Instant now, std::optional<Endpoint> target)
{
    const RouteEntry *route = m_directory.routeByAddress(key.service);
    std::vector<Endpoint> others;
    if (target) {
        others = {*target};
    } else if (route != nullptr && trail.hops < m_settings.openingHopsMax) {
        others = otherAcceptingAgents(*route);
    }
    const auto prefer = [&](const std::function<bool(const Endpoint &)> &isPreferred) {
        const auto rest = std::stable_partition(others.begin(), others.end(), isPreferred);
        if (rest != others.begin()) {
            others.erase(rest, others.end());
        }
    };
    // An agent whose upstream is cold as well would hand most flows off again, up to the hop limit.
    prefer([&](const Endpoint &agent) {
        const KnownUpstream *upstream = m_directory.upstreamByAgent(agent);
        return upstream != nullptr && !m_directory.isCold(*upstream, now);
    });
    // Agents with free slots; if there are none, any agent may be chosen.
    prefer(
        [&](const Endpoint &agent) { return m_peerLoads.estimate(agent, now).utilization() <= 1; });
    // The less loaded of two random agents: if all agents chose the least loaded one, it would get
    // every flow that is handed off.
    const Endpoint *best = nullptr;
    double bestMs = 0;
    for (std::size_t i = 0; i < 2 && !others.empty(); ++i) {
        const Endpoint &agent = others[randomBelow(m_random, others.size())];
        const double ms = m_peerLoads.estimate(agent, now).expectedMs();
        if (best == nullptr || ms < bestMs) {
            best = &agent;
            bestMs = ms;
        }
    }
    if (best == nullptr) {
        ++m_counters.resetsNotAccepted;
        sendReset(key, acknowledgement, reason, now);
        return;
    }
    ++trail.hops;
    ++m_counters.flowsHandedOff;
    m_peerLoads.onSent(*best, now);
    eraseFlow(key);
    OwnedFlow &handedOff = m_flows[key];
    m_expiryQueue.push_back(key);
    handedOff.stage = FlowStage::HandedOff;
    handedOff.priority = priorityOf(key);
    handedOff.handedOffTo = *best;
    handedOff.trail = trail;
    handedOff.offeredAt = now;
    handedOff.lastSeen = now;
    m_codec.setTrail(bytes, key, trail);
    logDecision("hand on", reason, key, *best, now);
    m_hooks.sendToAgent(*best, bytes);
}

} // namespace bergamotglade
