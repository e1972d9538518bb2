// Flows that died with their upstream: resets of returned flows, questions to a restarted upstream.

#include <bergamotglade/detail/steering/agent_steering.hpp>

namespace bergamotglade {

bool OwnedFlow::continuesOpenFlow(const Segment &segment) const noexcept
{
    const std::uint32_t lowest = confirmedAcknowledgement - ReorderedBytesMax;
    return wasSeenOpen && segment.acknowledges
        && segment.acknowledgement - lowest <= ReorderedBytesMax + AdvanceBytesMax;
}

bool OwnedFlow::isOpenHere(const Segment &segment) const noexcept
{
    return (stage == FlowStage::Open || resetAsReturnedAt) && continuesOpenFlow(segment);
}

void OwnedFlow::recordCallerPacket(const Segment &segment, const PacketBytes &bytes)
{
    if (!wasSeenOpen && upstreamInitialSequence && segment.acknowledges) {
        // The upstream's opening packet takes one sequence number: a lower number does not
        // acknowledge it.
        const std::uint32_t firstAcknowledgement = *upstreamInitialSequence + 1;
        if (segment.acknowledgement - firstAcknowledgement < InitialWindowBytes) {
            wasSeenOpen = true;
            confirmedAcknowledgement = segment.acknowledgement;
        }
    }
    if (!continuesOpenFlow(segment)) {
        return;
    }
    if (segment.acknowledgement - confirmedAcknowledgement <= AdvanceBytesMax) {
        confirmedAcknowledgement = segment.acknowledgement;
    }
    if (segment.dataBytes == 0 && !segment.opens && !segment.finishes && !segment.resets) {
        plainAcknowledgement = bytes;
    }
}

void OwnedFlow::recordUpstreamOpening(std::uint32_t sequence)
{
    if (upstreamInitialSequence && *upstreamInitialSequence == sequence) {
        return;
    }
    upstreamInitialSequence = sequence;
    wasSeenOpen = false;
    plainAcknowledgement.clear();
    askedAfterRestart = false;
    resetAsReturnedAt.reset();
}

void AgentSteering::resetReturnedFlow(const Segment &segment, OwnedFlow &flow, Instant now)
{
    const bool isFirst = !flow.resetAsReturnedAt.has_value();
    if (!isFirst && now - *flow.resetAsReturnedAt < m_settings.returnedResetInterval) {
        return;
    }
    const std::string_view reason = flow.askedAfterRestart
        ? "restarted upstream does not hold the flow"
        : "upstream returned a packet of the open flow";
    if (isFirst) {
        ++(flow.askedAfterRestart ? m_counters.resetsAfterRestart
                                  : m_counters.resetsOfReturnedFlows);
    }
    // The flow is kept for a while: packets that are on the way would start a search each, and the
    // reset may be lost.
    clearRequestRunning(flow);
    setHandshaking(flow, false);
    flow.stage = FlowStage::Ended;
    flow.wasReset = true;
    flow.lastSeen = now;
    flow.resetAsReturnedAt = now;
    sendReset(segment.flow, segment.acknowledgement, reason, now);
    answerUpstreamQuery(segment.flow, false, now);
}

void AgentSteering::collectRestartQueries()
{
    m_restartQueries.clear();
    for (const auto &[key, flow] : m_flows) {
        if (flow.stage == FlowStage::Open && !flow.plainAcknowledgement.empty()) {
            m_restartQueries.push_back(key);
        }
    }
}

void AgentSteering::sendRestartQueries(Instant now)
{
    if (m_restartQueries.empty() || now < m_nextRestartQueriesAt) {
        return;
    }
    m_nextRestartQueriesAt = now + m_settings.restartQueryInterval;
    std::size_t sent = 0;
    while (!m_restartQueries.empty() && sent < m_settings.restartQueriesPerInterval) {
        const auto found = m_flows.find(m_restartQueries.front());
        m_restartQueries.pop_front();
        if (found == m_flows.end() || found->second.stage != FlowStage::Open
            || found->second.plainAcknowledgement.empty()) {
            continue;
        }
        found->second.askedAfterRestart = true;
        ++sent;
        // An upstream that holds the flow need not answer: no answer changes nothing.
        sendToUpstream(found->second.plainAcknowledgement, false, now);
    }
}

void AgentSteering::recordRestartAnswer(const Segment &segment, OwnedFlow &flow, Instant now)
{
    flow.askedAfterRestart = false;
    if (segment.resets && flow.stage == FlowStage::Open) {
        ++m_counters.resetsAfterRestart;
        logDecision("reset", "restarted upstream has reset the flow", segment.flow,
                    segment.flow.caller, now);
    }
}

} // namespace bergamotglade
