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

void AgentSteering::onContinuation(const Segment &segment, PacketBytes bytes, Instant now)
{
    // If the opening packet of the flow is still queued here, it is obsolete: the upstream of
    // another agent has answered the caller, or the caller has reset the flow.
    m_queue.erase(segment.flow);
    const auto found = m_flows.find(segment.flow);
    if (found == m_flows.end()) {
        if (mayHoldUnknownFlows(now)) {
            // The upstream returns packets of flows that it does not hold; the search then
            // continues.
            sendToUpstream(bytes, now);
        } else {
            continueSearch(segment, std::move(bytes), "flow is not owned by this agent", now);
        }
        return;
    }
    OwnedFlow &flow = found->second;
    flow.lastSeen = now;
    if (flow.stage == FlowStage::HandedOff) {
        followRedirect(flow.handedOffTo, segment, std::move(bytes), now);
        return;
    }
    if (!flow.matchesUpstream(segment)) {
        eraseFlow(segment.flow);
        continueSearch(segment, std::move(bytes), "acknowledgement number is not of this upstream",
                       now);
        return;
    }
    flow.callerAcknowledgement = segment.acknowledgement;
    if (flow.stage == FlowStage::Offered || flow.stage == FlowStage::Accepted) {
        if (flow.handshaking && flow.stage == FlowStage::Accepted) {
            updateAverage(m_callerAckMs, now - flow.acceptedAt);
        }
        setHandshaking(flow, false);
        flow.stage = FlowStage::Open;
        flow.openingPacket.clear();
    }
    if (m_upstreamCrashed && segment.dataBytes > 0) {
        eraseFlow(segment.flow);
        ++m_counters.resetsAfterCrash;
        sendReset(segment.flow, segment.acknowledgement, "upstream has crashed", now);
        return;
    }
    if (segment.trail.hops > 0 || segment.trail.searchPosition > 0) {
        sendFlowLocation(segment.flow, flow, now);
    }
    if (segment.dataBytes > 0 && flow.stage == FlowStage::Open) {
        setRequestRunning(flow, true, now);
    }
    if (segment.resets) {
        eraseFlow(segment.flow);
    }
    sendToUpstream(bytes, now);
}

void AgentSteering::followRedirect(const Endpoint &agent, const Segment &segment, PacketBytes bytes,
                                   Instant now)
{
    Trail trail = segment.trail;
    if (trail.hops >= m_settings.redirectHopsMax) {
        if (segment.opens) {
            // The caller retransmits the packet, or gives up.
            ++m_counters.packetsDropped;
            return;
        }
        continueSearch(segment, std::move(bytes), "redirect hop limit reached", now);
        return;
    }
    ++trail.hops;
    ++m_counters.packetsPassedOn;
    m_codec.setTrail(bytes, segment.flow, trail);
    m_hooks.sendToAgent(agent, bytes);
}

bool AgentSteering::mayHoldUnknownFlows(Instant now) const
{
    return now - m_startedAt < m_settings.flowLifetimeMax && !m_upstreamSilent;
}

void AgentSteering::continueSearch(const Segment &segment, PacketBytes bytes,
                                   std::string_view reason, Instant now)
{
    const RouteEntry *route = m_directory.routeByAddress(segment.flow.service);
    if (route == nullptr || segment.resets) {
        ++m_counters.packetsDropped;
        return;
    }
    const auto possibleOwners = m_directory.possibleOwners(*route, segment.flow);
    Trail trail = segment.trail;
    // A silent upstream does not return the packet, so it may hold the flow.
    trail.searchIncomplete |= m_upstreamSilent && !m_upstreamCrashed;
    while (trail.searchPosition < possibleOwners.size()
           && possibleOwners[trail.searchPosition] == m_settings.self) {
        ++trail.searchPosition;
    }
    if (trail.searchPosition >= possibleOwners.size()) {
        onOwnerNotFound(segment, trail, now);
        return;
    }
    const Endpoint next = possibleOwners[trail.searchPosition];
    ++trail.searchPosition;
    ++trail.hops;
    ++m_counters.packetsPassedOn;
    m_codec.setTrail(bytes, segment.flow, trail);
    logDecision("pass on", reason, segment.flow, next, now);
    m_hooks.sendToAgent(next, bytes);
}

void AgentSteering::onOwnerNotFound(const Segment &segment, const Trail &trail, Instant now)
{
    const auto [at, isNew] = m_failedSearches.try_emplace(segment.flow, FailedSearch {now, now});
    at->second.last = now;
    const bool isRetry = !isNew && now - at->second.first >= m_settings.searchRetryDelay;
    if (!isRetry || trail.searchIncomplete || !m_hooks.mayAct(now)) {
        ++m_counters.packetsDropped;
        logDecision("drop",
                    "no owner found; reset needs a second complete search and recent configuration",
                    segment.flow, {}, now);
        return;
    }
    m_failedSearches.erase(at);
    ++m_counters.resetsWithoutOwner;
    sendReset(segment.flow, segment.acknowledgement, "no owner found in two searches", now);
}

void AgentSteering::sendToUpstream(const PacketBytes &bytes, Instant now)
{
    ++m_counters.packetsDelivered;
    if (m_unansweredPackets++ == 0) {
        m_unansweredSince = now;
    }
    m_hooks.sendToUpstream(bytes);
}

void AgentSteering::sendReset(const FlowKey &key, std::uint32_t acknowledgement,
                              std::string_view reason, Instant now)
{
    logDecision("reset", reason, key, key.caller, now);
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
        flow.stage = FlowStage::Open;
        m_expiryQueue.push_back(segment.flow);
    }
    flow.lastSeen = now;
    if (segment.opens) {
        flow.upstreamInitialSequence = segment.sequence;
        if (flow.stage == FlowStage::Offered) {
            flow.stage = FlowStage::Accepted;
            flow.acceptedAt = now;
            m_callerAckTimers.push_back({segment.flow, now});
        }
    }
    if (flow.requestRunning && (segment.dataBytes > 0 || segment.resets)) {
        onRequestOutcome(segment.dataBytes > 0, now);
    }
    if (segment.dataBytes > 0) {
        setRequestRunning(flow, false, now);
    }
    if (segment.finishes || segment.resets) {
        setRequestRunning(flow, false, now);
        setHandshaking(flow, false);
        flow.stage = FlowStage::Ended;
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
    if (!segment.opens) {
        eraseFlow(segment.flow);
        continueSearch(segment, std::move(bytes), "upstream does not hold the flow", now);
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

void AgentSteering::setRequestRunning(OwnedFlow &flow, bool requestRunning, Instant now)
{
    if (flow.requestRunning == requestRunning) {
        return;
    }
    if (requestRunning) {
        flow.requestRunning = true;
        flow.requestStartedAt = now;
        ++m_runningRequests;
        return;
    }
    updateAverage(m_serviceTimeMs, now - flow.requestStartedAt);
    clearRequestRunning(flow);
}

void AgentSteering::clearRequestRunning(OwnedFlow &flow)
{
    if (flow.requestRunning) {
        flow.requestRunning = false;
        --m_runningRequests;
    }
}

void AgentSteering::setHandshaking(OwnedFlow &flow, bool handshaking)
{
    if (flow.handshaking != handshaking) {
        flow.handshaking = handshaking;
        handshaking ? ++m_handshakes : --m_handshakes;
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
