// Packets of established flows at an agent: ownership, search for owners, packets of the upstream.

#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Weight of a new sample in the moving averages.
constexpr double SmoothingFactor = 0.1;

void updateAverage(double &valueMs, Millis sample)
{
    const auto ms = static_cast<double>(sample.count());
    valueMs = valueMs == 0 ? ms : valueMs + SmoothingFactor * (ms - valueMs);
}

} // namespace

void AgentSteering::onContinuation(const Segment &segment, PacketBytes bytes, const Endpoint &from,
                                   Instant now)
{
    // If the opening packet of the flow is still queued here, it is obsolete: the upstream of
    // another agent has answered the caller, or the caller has reset the flow.
    m_queue.erase(segment.flow);
    const auto found = m_flows.find(segment.flow);
    if (found == m_flows.end()) {
        searchOwner(segment, bytes, from, false, "flow is not owned by this agent", now);
        return;
    }
    OwnedFlow &flow = found->second;
    flow.lastSeen = now;
    flow.lastSender = from;
    if (flow.stage == FlowStage::HandedOff) {
        if (!flow.confirmsUpstream(segment)) {
            followRedirect(flow.handedOffTo, segment, std::move(bytes), from, now);
            return;
        }
        // The upstream answered the opening packet after the flow had been handed off, and the
        // caller chose its answer.
        flow.stage = FlowStage::Accepted;
    }
    if (!flow.matchesUpstream(segment)) {
        eraseFlow(segment.flow);
        searchOwner(segment, bytes, from, true, "acknowledgement number is not of this upstream",
                    now);
        return;
    }
    if (segment.trail.hops > 0) {
        // The sender did not know the owner, or sent the packet to an agent that redirected it.
        sendFlowLocation(from, m_settings.self, segment.flow, flow, now);
    }
    deliver(segment, flow, bytes, now);
}

void AgentSteering::sendFlowLocation(const Endpoint &process, const Endpoint &owner,
                                     const FlowKey &key, OwnedFlow &flow, Instant now)
{
    if (now - flow.locationSentAt >= m_settings.locationInterval) {
        flow.locationSentAt = now;
        m_hooks.sendFlowLocation(process, {key, owner});
    }
}

void AgentSteering::deliver(const Segment &segment, OwnedFlow &flow, const PacketBytes &bytes,
                            Instant now)
{
    flow.callerAcknowledgement = segment.acknowledgement;
    flow.recordCallerPacket(segment, bytes);
    if (flow.stage == FlowStage::Offered || flow.stage == FlowStage::Accepted) {
        if (flow.handshaking && flow.stage == FlowStage::Accepted) {
            updateAverage(m_callerAckMs, now - flow.acceptedAt);
        }
        setHandshaking(flow, false);
        flow.stage = FlowStage::Open;
        flow.openingPacket.clear();
        m_locationTimers.push_back({segment.flow, now});
    }
    if (m_upstreamCrashed && segment.dataBytes > 0) {
        eraseFlow(segment.flow);
        ++m_counters.resetsAfterCrash;
        sendReset(segment.flow, segment.acknowledgement, "upstream has crashed", now);
        return;
    }
    if (flow.stage == FlowStage::Open) {
        onRequestData(segment, flow, now);
    }
    if (segment.finishes) {
        flow.callerFinished = true;
    }
    if (segment.resets) {
        eraseFlow(segment.flow);
    }
    // Nobody answers a plain acknowledgement.
    sendToUpstream(bytes, segment.dataBytes > 0, now);
}

void AgentSteering::followRedirect(const Endpoint &agent, const Segment &segment, PacketBytes bytes,
                                   const Endpoint &from, Instant now)
{
    Trail trail = segment.trail;
    if (trail.hops >= m_settings.redirectHopsMax) {
        if (segment.opens) {
            // The caller retransmits the packet, or gives up.
            ++m_counters.packetsDropped;
            return;
        }
        searchOwner(segment, bytes, from, false, "redirect hop limit reached", now);
        return;
    }
    ++trail.hops;
    ++m_counters.packetsPassedOn;
    m_codec.setTrail(bytes, segment.flow, trail);
    m_hooks.sendToAgent(agent, bytes);
    if (!segment.opens) {
        sendFlowLocation(from, agent, segment.flow, m_flows.at(segment.flow), now);
    }
}

void AgentSteering::sendToUpstream(const PacketBytes &bytes, bool needsAnswer, Instant now)
{
    ++m_counters.packetsDelivered;
    if (needsAnswer && m_unansweredPackets++ == 0) {
        m_unansweredSince = now;
    }
    m_hooks.sendToUpstream(bytes);
}

void AgentSteering::sendReset(const FlowKey &key, std::uint32_t acknowledgement,
                              std::string_view reason, Instant now, Millis expectedWait)
{
    logDecision("reset", reason, key, key.caller, now, expectedWait);
    m_hooks.sendToCaller(key.caller, m_codec.makeReset(key, acknowledgement));
}

// Packets of the upstream.

void AgentSteering::onUpstreamPacket(const Segment &segment, PacketBytes bytes, Instant now)
{
    onUpstreamResponse(now);
    handleUpstreamPacket(segment, std::move(bytes), now);
    processQueue(now);
}

void AgentSteering::handleUpstreamPacket(const Segment &segment, PacketBytes bytes, Instant now)
{
    if (segment.returned) {
        onReturned(segment, std::move(bytes), now);
        return;
    }
    if (segment.resets && !m_flows.contains(segment.flow)
        && m_upstreamQueries.contains(segment.flow)) {
        // The upstream was only asked for the flow, which may be open elsewhere: an upstream that
        // has just started, or that had an earlier flow of these addresses, resets it.
        answerUpstreamQuery(segment.flow, false, now);
        return;
    }
    if (m_lastRefusal && (segment.opens || segment.dataBytes > 0)) {
        // The upstream has accepted a flow, or answered a request and thereby freed a slot.
        m_lastRefusal.reset();
        m_nextReportAt = now;
    }
    ++m_counters.packetsToCallers;
    const auto [at, isNew] = m_flows.try_emplace(segment.flow);
    OwnedFlow &flow = at->second;
    if (isNew) {
        // The flow was opened before this agent restarted.
        flow.priority = priorityOf(segment.flow);
        flow.stage = FlowStage::Open;
        m_expiryQueue.push_back(segment.flow);
        m_locationTimers.push_back({segment.flow, now});
        answerUpstreamQuery(segment.flow, true, now);
    }
    flow.lastSeen = now;
    if (segment.opens) {
        flow.recordUpstreamOpening(segment.sequence);
        if (flow.stage == FlowStage::Offered) {
            flow.stage = FlowStage::Accepted;
            flow.acceptedAt = now;
            m_callerAckTimers.push_back({segment.flow, now});
        }
    }
    onUpstreamAcknowledgement(segment, flow, now);
    if (flow.request.stage() != RequestStage::None && (segment.dataBytes > 0 || segment.resets)) {
        onRequestOutcome(segment.dataBytes > 0, now);
    }
    if (segment.dataBytes > 0) {
        finishRequest(flow, now);
    }
    if (flow.askedAfterRestart) {
        recordRestartAnswer(segment, flow, now);
    }
    if (segment.finishes || segment.resets) {
        flow.request.stage() == RequestStage::Running ? finishRequest(flow, now)
                                                      : clearRequestRunning(flow);
        setHandshaking(flow, false);
        flow.stage = FlowStage::Ended;
        flow.wasReset = flow.wasReset || segment.resets;
    }
    m_hooks.sendToCaller(segment.flow.caller, bytes);
}

void AgentSteering::onReturned(const Segment &segment, PacketBytes bytes, Instant now)
{
    ++m_counters.packetsReturned;
    const auto found = m_flows.find(segment.flow);
    // The flow was handed off before the upstream returned the packet: the other agent already has
    // the opening packet.
    const bool handedOff = found != m_flows.end() && found->second.stage == FlowStage::HandedOff;
    if (handedOff) {
        return;
    }
    if (!segment.opens && found != m_flows.end() && found->second.isOpenHere(segment)) {
        resetReturnedFlow(segment, found->second, now);
        return;
    }
    if (!segment.opens && m_upstreamQueries.contains(segment.flow)) {
        answerUpstreamQuery(segment.flow, false, now);
        return;
    }
    if (!segment.opens && found != m_flows.end()) {
        const Endpoint sender = found->second.lastSender;
        eraseFlow(segment.flow);
        m_codec.setTrail(bytes, segment.flow, {});
        searchOwner(segment, bytes, sender, true, "upstream does not hold the flow", now);
        return;
    }
    if (!segment.opens) {
        // Asked for before this agent restarted.
        ++m_counters.packetsDropped;
        return;
    }
    eraseFlow(segment.flow);
    m_lastRefusal = now;
    handOffOpening(segment.flow, std::move(bytes), segment.trail, "upstream refused the flow",
                   segment.acknowledgement, now);
    m_nextReportAt = now;
}

void AgentSteering::onRequestOutcome(bool answered, Instant now)
{
    m_counters.requestsUnanswered += answered ? 0 : 1;
    if (m_outcomes.recordOutcome(answered, now)) {
        m_nextReportAt = now;
        logDecision(m_outcomes.isFailing() ? "upstream is failing" : "upstream works again",
                    m_outcomes.isFailing() ? "too many requests ended without an answer"
                                           : "few requests end without an answer",
                    {}, m_settings.upstream, now);
    }
}

void AgentSteering::onUpstreamResponse(Instant now)
{
    m_unansweredPackets = 0;
    if (m_upstreamSilent) {
        m_upstreamSilent = false;
        m_upstreamCrashed = false;
        m_nextReportAt = now;
        logDecision("upstream answers", "received a packet after silence", {}, m_settings.upstream,
                    now);
    }
}

void AgentSteering::finishRequest(OwnedFlow &flow, Instant now)
{
    const RequestStage before = flow.request.stage();
    const std::optional<Millis> serviceTime = flow.request.onAnswer(now);
    updateRequestCounts(flow, before);
    if (serviceTime) {
        updateAverage(m_serviceTimeMs, *serviceTime);
    }
}

void AgentSteering::setHandshaking(OwnedFlow &flow, bool handshaking)
{
    if (flow.handshaking != handshaking) {
        flow.handshaking = handshaking;
        handshaking ? ++m_handshakes : --m_handshakes;
        handshaking ? m_loadByPriority.add(flow.priority) : m_loadByPriority.remove(flow.priority);
    }
}

void AgentSteering::eraseFlow(const FlowKey &key)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        return;
    }
    clearRequestRunning(found->second);
    setHandshaking(found->second, false);
    m_flows.erase(found);
}

} // namespace bergamotglade
