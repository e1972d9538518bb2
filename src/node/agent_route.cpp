// Packet routing: to the flow's owner, to a new owner, to the next candidate, or drop.

#include <bergamotglade/detail/node/agent_node.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Minimum time before a retry that is sent with refusals that do not depend on the load.
constexpr Millis RetryAfterRefusal {1000};
/// Number of attempts of a request that are still forwarded to a suspect owner.
constexpr std::uint32_t AttemptsToSuspectOwner = 2;

} // namespace

void AgentNode::onPacket(const Endpoint &sender, DataPacket packet, const Request &request,
                         Instant now)
{
    ++m_counters.packets;
    // Packets that were queued while this process was paused may be arbitrarily old. Dropping them
    // is safe because callers retry.
    if (!m_dissemination.mayAct(now)) {
        ++m_counters.notReady;
        return;
    }
    m_dissemination.onRevisionSeen(sender, packet.version, now);
    refreshView();
    if (!accepts(packet, request, now)) {
        return;
    }
    packet.visited.push_back(m_dissemination.settings().self);
    if (packet.lent) {
        serveLent(packet, request, now);
    } else if (request.owner) {
        onTokenPacket(std::move(packet), request, now);
    } else {
        onNewFlow(std::move(packet), request, now);
    }
}

bool AgentNode::accepts(const DataPacket &packet, const Request &request, Instant now)
{
    // The balancer, the caller and the local document must agree on the service.
    const bool namesMatch =
        packet.service == m_settings.service && request.service == m_settings.service;
    const auto serviceAtAddress = m_dissemination.view().serviceAt(packet.flow.service);
    const bool addressMatches = serviceAtAddress && serviceAtAddress->name == m_settings.service;
    if ((!namesMatch || !addressMatches) && m_settings.mechanisms.serviceCheck) {
        ++m_counters.wrongService;
        return false;
    }
    if (packet.visited.size() >= HopsMax) {
        ++m_counters.hopLimit;
        return false;
    }
    if (m_exclusion == Exclusion::DomainOut && m_settings.mechanisms.domainRefusal) {
        ++m_counters.domainOut;
        refuseDomainOut(packet, request, now);
        return false;
    }
    return true;
}

void AgentNode::refuseDomainOut(const DataPacket &packet, const Request &request, Instant now)
{
    Flow *flow = request.owner ? m_flows.find(request.owner->nonce) : nullptr;
    const bool owned = flow != nullptr && flow->ownership == Ownership::Owned;
    if (!owned || request.idempotent()) {
        // Another attempt of an idempotent request may have run, so only this attempt is refused.
        // Only the flow's owner knows whether a non-idempotent request has run.
        const Outcome outcome = request.idempotent() ? Outcome::Refused : Outcome::Unknown;
        reply(packet.flow.caller, request, std::nullopt, outcome, "domain out", RetryAfterRefusal);
        return;
    }
    PendingRequest pending = makePending(packet.flow.caller, request, now);
    const auto verdict =
        flow->ledger.begin(request.sequence, false, pending.deadline + m_settings.ledgerGrace, now);
    if (verdict == Ledger::Verdict::Run) {
        pending.flow = flow->nonce;
        refuse(pending, "domain out", now);
    } else {
        replyWithVerdict(*flow, packet.flow.caller, request, verdict);
    }
}

void AgentNode::onTokenPacket(DataPacket packet, const Request &request, Instant now)
{
    Flow *flow = m_flows.find(request.owner->nonce);
    if (flow == nullptr) {
        onNonOwnedPacket(std::move(packet), request, now);
        return;
    }
    if (flow->ownership == Ownership::Prepared && packet.committed) {
        commitFlow(flow->nonce);
    }
    switch (flow->ownership) {
    case Ownership::Offered:
        // The successor may not run requests before the commit, so the offer can be withdrawn.
        flow->ownership = Ownership::Owned;
        flow->offer = 0;
        [[fallthrough]];
    case Ownership::Owned:
        onOwnedPacket(*flow, packet, request, now);
        return;
    case Ownership::HandedOver:
        packet.committed = true;
        // A packet that comes back from the successor is dropped; the caller retries.
        if (!packet.hasVisited(flow->successor)) {
            ++m_counters.forwardedToOwner;
            forwardTo(flow->successor, packet);
        }
        return;
    case Ownership::Prepared:
        onNonOwnedPacket(std::move(packet), request, now);
        return;
    }
}

void AgentNode::onOwnedPacket(Flow &flow, const DataPacket &packet, const Request &request,
                              Instant now)
{
    m_flows.touch(flow, now);
    // The caller's address may have changed; send answers to the current one.
    flow.key = packet.flow;
    serve(flow, packet, request, now);
}

void AgentNode::onNonOwnedPacket(DataPacket packet, const Request &request, Instant now)
{
    const Endpoint &owner = request.owner->agent;
    const bool self = owner == m_dissemination.settings().self;
    const bool reachable = isReachable(owner, now) && m_settings.mechanisms.ownerRoute;
    if (!self && !packet.hasVisited(owner) && reachable) {
        ++m_counters.forwardedToOwner;
        forwardTo(owner, packet);
        return;
    }
    // The owner is unreachable or no longer holds the flow. A successor may hold it and is among
    // the first candidates.
    if (forwardToNextCandidate(packet)) {
        return;
    }
    // The suspicion may be false, so the first attempts are still forwarded to the owner. A leaving
    // owner still answers for the requests it runs.
    const bool firstAttempts =
        request.attempt <= AttemptsToSuspectOwner && m_settings.mechanisms.ownerRoute;
    const bool leaving = m_dissemination.rumors().isLeaving(owner);
    if ((firstAttempts || leaving) && !self && !packet.hasVisited(owner) && mayStillAnswer(owner)) {
        ++m_counters.forwardedToOwner;
        forwardTo(owner, packet);
        return;
    }
    ++m_counters.unclaimed;
    if (!m_settings.mechanisms.ownerCheck) {
        runWithoutOwnerCheck(packet, request, now);
        return;
    }
    if (request.idempotent()) {
        onNewFlow(std::move(packet), request, now);
        return;
    }
    ++m_counters.unknown;
    reply(packet.flow.caller, request, std::nullopt, Outcome::Unknown, "owner's history is gone");
}

void AgentNode::runWithoutOwnerCheck(const DataPacket &packet, const Request &request, Instant now)
{
    Flow *flow = m_flows.open(request.owner->nonce, packet.flow, now);
    if (flow != nullptr) {
        serve(*flow, packet, request, now);
    }
}

void AgentNode::onNewFlow(DataPacket packet, const Request &request, Instant now)
{
    const bool unavailable = m_draining || m_exclusion != Exclusion::None;
    if (unavailable && forwardToNextCandidate(packet)) {
        return;
    }
    if (unavailable) {
        ++m_counters.refused;
        reply(packet.flow.caller, request, std::nullopt, Outcome::Refused,
              "no upstream takes flows", RetryAfterRefusal);
        return;
    }
    if (m_settings.offload && !packet.placed) {
        const auto lessLoaded =
            m_peerLoads.findLessLoadedPeer(ownLoad(now), now, [&](const Endpoint &peer) {
                return isPlacementTarget(peer, packet, now);
            });
        if (lessLoaded) {
            ++m_counters.flowsPlaced;
            packet.placed = true;
            m_peerLoads.onSent(*lessLoaded, now);
            forwardTo(*lessLoaded, packet);
            return;
        }
    }
    openFlow(packet, request, now);
}

void AgentNode::openFlow(const DataPacket &packet, const Request &request, Instant now)
{
    Flow *flow = m_flows.open(FlowNonce(m_random()), packet.flow, now);
    if (flow == nullptr) {
        ++m_counters.refused;
        reply(packet.flow.caller, request, std::nullopt, Outcome::Refused, "flow table is full",
              RetryAfterRefusal);
        return;
    }
    ++m_counters.flowsOpened;
    if (request.opensOnly || !request.idempotent()) {
        reply(packet.flow.caller, request, flow->nonce, Outcome::Opened, "send it with the token");
        return;
    }
    serve(*flow, packet, request, now);
}

bool AgentNode::forwardTo(const Endpoint &agent, DataPacket &packet)
{
    if (packet.visited.size() >= HopsMax) {
        ++m_counters.hopLimit;
        return false;
    }
    packet.version = std::max(packet.version, m_dissemination.revision());
    m_hooks.sendToAgent(agent, packet);
    return true;
}

bool AgentNode::forwardToNextCandidate(DataPacket &packet)
{
    const auto next = [&](const CandidateList &list) -> const Endpoint * {
        const auto found = std::find_if(list.begin(), list.end(), [&](const Endpoint &agent) {
            const auto domain = m_peerDomains.find(agent);
            return domain != m_peerDomains.end() && !packet.hasVisited(agent)
                && !m_dissemination.view().isOut(domain->second)
                && !m_dissemination.rumors().isSuspect(agent);
        });
        return found == list.end() ? nullptr : found;
    };
    const Endpoint *agent = next(packet.candidates);
    CandidateList own;
    if (agent == nullptr && serviceTable() != nullptr) {
        own = serviceTable()->candidates(bucketOf(packet.flow));
        agent = next(own);
    }
    if (agent == nullptr) {
        return false;
    }
    ++m_counters.walked;
    return forwardTo(Endpoint(*agent), packet);
}

bool AgentNode::isReachable(const Endpoint &agent, Instant now) const
{
    const auto domain = m_peerDomains.find(agent);
    if (domain == m_peerDomains.end()) {
        // An agent removed from the document may still serve its flows if it reported recently.
        return m_peerLoads.isFresh(agent, now);
    }
    return !m_dissemination.view().isOut(domain->second) && !m_peerLoads.isSilent(agent, now)
        && !m_dissemination.rumors().isSuspect(agent);
}

bool AgentNode::mayStillAnswer(const Endpoint &agent) const
{
    const auto domain = m_peerDomains.find(agent);
    if (domain == m_peerDomains.end()) {
        // Removed from the document, but the process may still be running.
        return m_dissemination.rumors().isLeaving(agent);
    }
    return !m_dissemination.view().isOut(domain->second);
}

bool AgentNode::isPlacementTarget(const Endpoint &agent, const DataPacket &packet,
                                  Instant now) const
{
    return m_peerDomains.contains(agent) && !packet.hasVisited(agent) && isReachable(agent, now);
}

const ServiceTable *AgentNode::serviceTable()
{
    if (!m_service) {
        return nullptr;
    }
    return m_router.at(m_dissemination.view(), m_service->address);
}

} // namespace bergamotglade
