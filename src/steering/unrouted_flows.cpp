#include <bergamotglade/detail/steering/unrouted_flows.hpp>

#include <algorithm>

namespace bergamotglade {

UnroutedFlows::UnroutedFlows(const UnroutedFlowsSettings &settings, UnroutedFlowsHooks hooks)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
{ }

void UnroutedFlows::hold(UnroutedPacket packet, Instant now)
{
    const FlowKey key = packet.segment.flow;
    const bool hasRoom = m_packetCount < m_settings.packetsMax
        && (m_flows.contains(key) || m_flows.size() < m_settings.flowsMax);
    if (!hasRoom) {
        // A new flow may be rejected without evidence, an open one may not.
        if (packet.segment.opens) {
            ++m_counters.flowsRejected;
            m_hooks.reject(packet.segment, now);
        } else {
            ++m_counters.packetsDropped;
        }
        return;
    }
    const auto [at, isNew] = m_flows.try_emplace(key);
    UnroutedFlow &flow = at->second;
    if (isNew) {
        ++m_counters.flowsHeld;
        flow.firstPacketAt = packet.receivedAt;
    }
    flow.lastPacketAt = now;
    flow.isNew = flow.isNew && packet.segment.opens;
    if (flow.isNew && !flow.packets.empty()) {
        // The latest copy of an opening packet gives the best estimate of the flow's age.
        flow.packets.back() = std::move(packet);
    } else {
        flow.packets.push_back(std::move(packet));
        ++m_packetCount;
    }
    if (!rejectIfDecided(flow, now)) {
        m_hooks.requestConfirmation(now);
    }
}

bool UnroutedFlows::rejectIfDecided(UnroutedFlow &flow, Instant now)
{
    if (flow.packets.empty()) {
        return true;
    }
    const bool isLateOpening = flow.isNew && now - flow.firstPacketAt >= m_settings.openingWaitMax;
    if (!isLateOpening && !m_hooks.isConfirmedSince(flow.firstPacketAt, now)) {
        return false;
    }
    const Segment segment = flow.packets.back().segment;
    m_packetCount -= flow.packets.size();
    flow.packets.clear();
    ++m_counters.flowsRejected;
    m_hooks.reject(segment, now);
    return true;
}

void UnroutedFlows::dropOldPackets(UnroutedFlow &flow, Instant now)
{
    const auto dropped = std::erase_if(flow.packets, [&](const UnroutedPacket &packet) {
        return now - packet.receivedAt > m_settings.packetAgeMax;
    });
    m_packetCount -= dropped;
    m_counters.packetsDropped += dropped;
}

bool UnroutedFlows::isObsolete(const UnroutedFlow &flow, Instant now) const
{
    return flow.packets.empty() && (flow.isNew || now - flow.lastPacketAt >= m_settings.flowTtl);
}

void UnroutedFlows::resolve(Instant now)
{
    std::vector<UnroutedPacket> released;
    bool areAllDecided = true;
    for (auto at = m_flows.begin(); at != m_flows.end();) {
        UnroutedFlow &flow = at->second;
        if (m_hooks.isRouteKnown(at->first.service)) {
            m_counters.flowsReleased += flow.packets.empty() ? 0 : 1;
            m_packetCount -= flow.packets.size();
            std::move(flow.packets.begin(), flow.packets.end(), std::back_inserter(released));
            at = m_flows.erase(at);
            continue;
        }
        dropOldPackets(flow, now);
        areAllDecided = rejectIfDecided(flow, now) && areAllDecided;
        if (isObsolete(flow, now)) {
            at = m_flows.erase(at);
        } else {
            ++at;
        }
    }
    if (!areAllDecided) {
        m_hooks.requestConfirmation(now);
    }
    for (UnroutedPacket &packet : released) {
        m_hooks.release(std::move(packet), now);
    }
}

} // namespace bergamotglade
