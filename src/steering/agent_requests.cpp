// Requests at an agent: which are arriving, and which the upstream is processing.

#include <bergamotglade/detail/steering/agent_steering.hpp>

namespace bergamotglade {

void AgentSteering::updateRequestCounts(const OwnedFlow &flow, RequestStage before)
{
    const RequestStage after = flow.request.stage();
    if (before == after) {
        return;
    }
    m_arrivingRequests -= before == RequestStage::Arriving ? 1 : 0;
    m_arrivingRequests += after == RequestStage::Arriving ? 1 : 0;
    if (before == RequestStage::Running) {
        --m_runningRequests;
        m_loadByPriority.remove(flow.priority);
    }
    if (after == RequestStage::Running) {
        ++m_runningRequests;
        m_loadByPriority.add(flow.priority);
    }
}

void AgentSteering::onRequestData(const Segment &segment, OwnedFlow &flow, Instant now)
{
    const RequestStage before = flow.request.stage();
    flow.request.onCallerPacket(segment, m_codec.dataBytesMax, now);
    updateRequestCounts(flow, before);
    if (flow.request.stage() == RequestStage::Arriving && !flow.listedAsArriving) {
        flow.listedAsArriving = true;
        m_arrivingFlows.push_back(segment.flow);
    }
}

void AgentSteering::onUpstreamAcknowledgement(const Segment &segment, OwnedFlow &flow, Instant now)
{
    if (!segment.acknowledges) {
        return;
    }
    if (segment.opens) {
        flow.request.start(segment.acknowledgement);
        return;
    }
    const RequestStage before = flow.request.stage();
    flow.request.onAcknowledged(segment.acknowledgement, m_codec.dataBytesMax, now);
    updateRequestCounts(flow, before);
}

void AgentSteering::clearRequestRunning(OwnedFlow &flow)
{
    const RequestStage before = flow.request.stage();
    flow.request.clear();
    updateRequestCounts(flow, before);
}

void AgentSteering::checkArrivingRequests(Instant now)
{
    std::erase_if(m_arrivingFlows, [&](const FlowKey &key) {
        const auto found = m_flows.find(key);
        if (found == m_flows.end()) {
            return true;
        }
        OwnedFlow &flow = found->second;
        if (now - flow.lastSeen > m_settings.requestIdleTimeout) {
            clearRequestRunning(flow);
        }
        const RequestStage before = flow.request.stage();
        flow.request.checkQuiet(now);
        updateRequestCounts(flow, before);
        flow.listedAsArriving = flow.request.stage() == RequestStage::Arriving;
        return !flow.listedAsArriving;
    });
    if (isArrivalLimitReached() != m_wasArrivalLimitReached) {
        m_wasArrivalLimitReached = !m_wasArrivalLimitReached;
        logDecision(m_wasArrivalLimitReached ? "arrival limit reached" : "below the arrival limit",
                    "number of requests that are still arriving", {}, m_settings.upstream, now);
    }
}

bool AgentSteering::isArrivalLimitReached() const
{
    return m_arrivingRequests >= slots() * m_settings.arrivingPerSlotMax;
}

} // namespace bergamotglade
