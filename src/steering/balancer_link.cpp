#include <bergamotglade/detail/steering/balancer_steering.hpp>

namespace bergamotglade {

namespace {

/// A flow is not refused once its opening packet has been held for longer, as after a pause of the
/// process: the caller's second copy, sent after 200 ms, may have been placed by another balancer.
constexpr Millis RefusalAgeMax {190};

} // namespace

void BalancerSteering::transmit(const Endpoint &agent, const PacketBytes &bytes, Instant now)
{
    if (m_link.isEnabled()) {
        m_link.onSent(bytes.size(), now);
    }
    m_hooks.sendToAgent(agent, bytes);
}

void BalancerSteering::sendReset(const Segment &segment, Instant now)
{
    const PacketBytes reset = m_codec.makeReset(segment.flow, segment.acknowledgement);
    if (m_link.isEnabled()) {
        m_link.onSent(reset.size(), now);
    }
    m_hooks.sendReset(segment.flow.caller, reset);
}

bool BalancerSteering::waitsForLink(const Segment &segment, PacketBytes &bytes, Instant now,
                                    Millis heldTime)
{
    if (!m_link.isEnabled()) {
        return false;
    }
    const auto waiting = m_linkOpenings.find(segment.flow);
    if (waiting != m_linkOpenings.end()) {
        waiting->second.segment = segment;
        waiting->second.bytes = std::move(bytes);
        waiting->second.lastCopyAt = now - heldTime;
        return true;
    }
    // Only the first copy of an unknown flow is held or refused: a later one may have been placed
    // by another balancer or before a restart, so that an upstream may have the flow already.
    const bool isFirstCopy = segment.openingAge + heldTime < m_link.settings().waitMax;
    const bool isNewFlow = isFirstCopy && !m_flows.contains(segment.flow);
    if (!isNewFlow || !m_link.isBulk(segment.flow.service)) {
        return false;
    }
    switch (m_link.decideOpening(segment.flow.service, m_linkOpenings.size(), now)) {
    case LinkDecision::Pass:
        m_link.onBulkStarted(segment.flow, now);
        return false;
    case LinkDecision::Refuse:
        refuseForLink(segment, "too many flows wait for the link of the balancer", now);
        return true;
    case LinkDecision::Hold:
        break;
    }
    if (m_linkOpenings.empty()) {
        logDecision("hold bulk flows", "link of the balancer is full", segment.flow, {}, now);
    }
    ++m_counters.openingsHeldForLink;
    m_linkOpenings.emplace(segment.flow,
                           HeldOpening {segment, std::move(bytes), now - heldTime, now - heldTime});
    m_linkQueue.push_back(segment.flow);
    return true;
}

void BalancerSteering::placeOpeningsWaitingForLink(Instant now)
{
    m_link.onTick(now);
    while (!m_linkQueue.empty()) {
        const FlowKey key = m_linkQueue.front();
        const auto found = m_linkOpenings.find(key);
        const bool isLate = now - found->second.heldSince >= m_link.settings().waitMax;
        const bool mayAct = m_hooks.mayAct(now);
        if (mayAct && !isLate && !m_link.hasRoom(now)) {
            return;
        }
        HeldOpening held = std::move(found->second);
        m_linkOpenings.erase(found);
        m_linkQueue.pop_front();
        if (m_linkQueue.empty()) {
            logDecision("stop holding bulk flows", "no flow waits for the link of the balancer",
                        key, {}, now);
        }
        if (!mayAct) {
            holdOpening(held.segment, std::move(held.bytes), now);
        } else if (m_directory.routeByAddress(key.service) == nullptr) {
            onUnrouted(held.segment, std::move(held.bytes), held.lastCopyAt, now);
        } else if (!m_link.hasRoom(now) && now - held.heldSince > RefusalAgeMax) {
            ++m_counters.packetsDropped;
        } else if (!m_link.hasRoom(now)) {
            refuseForLink(held.segment, "waited too long for the link of the balancer", now);
        } else {
            Trail trail;
            trail.heldTime = now - held.lastCopyAt;
            m_codec.setTrail(held.bytes, key, trail);
            if (m_link.isEnabled()) {
                m_link.onBulkStarted(key, now);
            }
            placeOpening(held.segment, std::move(held.bytes), now);
        }
    }
}

void BalancerSteering::refuseForLink(const Segment &segment, std::string_view reason, Instant now)
{
    ++m_counters.openingsRefusedForLink;
    logDecision("reset", reason, segment.flow, segment.flow.caller, now);
    sendReset(segment, now);
}

} // namespace bergamotglade
