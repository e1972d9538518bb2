// Where a packet goes: to the flow's owner, to a new owner, along the candidates, or nowhere.

#include <bergamotglade/detail/node/agent_node.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

constexpr Millis RetryAfterOut {1000};
/// Attempts of a request that are sent to an owner believed dead.
constexpr std::uint32_t AttemptsToOwner = 2;

} // namespace

void AgentNode::onPacket(const Endpoint &sender, DataPacket packet, const Request &request,
                         Instant now)
{
    ++m_counters.packets;
    // Packets that waited while this process was paused may be of any age: callers send again.
    if (!m_dissemination.mayAct(now)) {
        ++m_counters.notReady;
        return;
    }
    m_dissemination.onVersionSeen(sender, packet.version, now);
    updateOwnView();
    if (!accepts(packet, request, now)) {
        return;
    }
    packet.visited.push_back(m_dissemination.settings().self);
    if (packet.lent) {
        serveLent(packet, request, now);
    } else if (request.owner) {
        onTokenPacket(std::move(packet), request, now);
    } else {
        onOpening(std::move(packet), request, now);
    }
}

bool AgentNode::accepts(const DataPacket &packet, const Request &request, Instant now)
{
    // The balancer's view, the caller's intent and our own must name one service.
    const bool named =
        packet.service == m_settings.service && request.service == m_settings.service;
    const auto holder = m_dissemination.view().serviceAt(packet.flow.service);
    const bool held = holder && holder->name == m_settings.service;
    if ((!named || !held) && m_settings.mechanisms.serviceCheck) {
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
        // Only the holder of the right to run may say that nothing ran.
        const Outcome outcome = request.idempotent() ? Outcome::Refused : Outcome::Unknown;
        reply(packet.flow.caller, request, std::nullopt, outcome, "domain out", RetryAfterOut);
        return;
    }
    Work work = makeWork(packet.flow.caller, request, now);
    const auto verdict =
        flow->ledger.begin(request.sequence, false, work.deadline + m_settings.ledgerGrace, now);
    if (verdict == Ledger::Verdict::Run) {
        work.flow = flow->nonce;
        refuse(work, "domain out", now);
    } else {
        answerVerdict(*flow, packet.flow.caller, request, verdict);
    }
}

void AgentNode::onTokenPacket(DataPacket packet, const Request &request, Instant now)
{
    Flow *flow = m_flows.find(request.owner->nonce);
    if (flow == nullptr) {
        onForeignPacket(std::move(packet), request, now);
        return;
    }
    if (flow->ownership == Ownership::Prepared && packet.committed) {
        commitFlow(flow->nonce);
    }
    switch (flow->ownership) {
    case Ownership::Offered:
        // The successor may not run anything yet, so the offer can be taken back.
        flow->ownership = Ownership::Owned;
        flow->offer = 0;
        [[fallthrough]];
    case Ownership::Owned:
        onOwnedPacket(*flow, packet, request, now);
        return;
    case Ownership::HandedOver:
        packet.committed = true;
        if (!packet.hasVisited(flow->successor)) {
            ++m_counters.forwardedToOwner;
            passOn(flow->successor, packet);
        }
        return;
    case Ownership::Prepared:
        onForeignPacket(std::move(packet), request, now);
        return;
    }
}

void AgentNode::onOwnedPacket(Flow &flow, const DataPacket &packet, const Request &request,
                              Instant now)
{
    m_flows.touch(flow, now);
    // The caller may have moved to another port; answers follow it.
    flow.key = packet.flow;
    serve(flow, packet, request, now);
}

void AgentNode::onForeignPacket(DataPacket packet, const Request &request, Instant now)
{
    const Endpoint &owner = request.owner->agent;
    const bool self = owner == m_dissemination.settings().self;
    const bool reachable = mayReach(owner, now) && m_settings.mechanisms.ownerRoute;
    if (!self && !packet.hasVisited(owner) && reachable) {
        ++m_counters.forwardedToOwner;
        passOn(owner, packet);
        return;
    }
    // The owner is gone: a successor may hold the flow, and stands early among the candidates.
    if (walk(packet)) {
        return;
    }
    // A suspicion may be false: the first attempts still try the owner before it is given up. One
    // that leaves still answers for what it runs.
    const bool early = request.attempt <= AttemptsToOwner && m_settings.mechanisms.ownerRoute;
    const bool leaving = m_dissemination.rumors().isLeaving(owner);
    if ((early || leaving) && !self && !packet.hasVisited(owner) && mayTry(owner)) {
        ++m_counters.forwardedToOwner;
        passOn(owner, packet);
        return;
    }
    ++m_counters.unclaimed;
    if (!m_settings.mechanisms.ownerCheck) {
        runUnowned(packet, request, now);
        return;
    }
    if (request.idempotent()) {
        onOpening(std::move(packet), request, now);
        return;
    }
    ++m_counters.unknown;
    reply(packet.flow.caller, request, std::nullopt, Outcome::Unknown, "owner's history is gone");
}

void AgentNode::runUnowned(const DataPacket &packet, const Request &request, Instant now)
{
    Flow *flow = m_flows.open(request.owner->nonce, packet.flow, now);
    if (flow != nullptr) {
        serve(*flow, packet, request, now);
    }
}

void AgentNode::onOpening(DataPacket packet, const Request &request, Instant now)
{
    const bool leaving = m_draining || m_exclusion != Exclusion::None;
    if (leaving && walk(packet)) {
        return;
    }
    if (leaving) {
        ++m_counters.refused;
        reply(packet.flow.caller, request, std::nullopt, Outcome::Refused,
              "no upstream takes flows", RetryAfterOut);
        return;
    }
    if (m_settings.handOn && !packet.placed) {
        const auto better = m_board.clearlyBetter(
            ownLoad(now), now, [&](const Endpoint &peer) { return mayTake(peer, packet, now); });
        if (better) {
            ++m_counters.flowsPlaced;
            packet.placed = true;
            m_board.onSent(*better, now);
            passOn(*better, packet);
            return;
        }
    }
    admit(packet, request, now);
}

void AgentNode::admit(const DataPacket &packet, const Request &request, Instant now)
{
    Flow *flow = m_flows.open(FlowNonce(m_random()), packet.flow, now);
    if (flow == nullptr) {
        ++m_counters.refused;
        reply(packet.flow.caller, request, std::nullopt, Outcome::Refused, "flow table is full",
              RetryAfterOut);
        return;
    }
    ++m_counters.flowsOpened;
    if (request.opensOnly || !request.idempotent()) {
        reply(packet.flow.caller, request, flow->nonce, Outcome::Opened, "send it with the token");
        return;
    }
    serve(*flow, packet, request, now);
}

bool AgentNode::passOn(const Endpoint &agent, DataPacket &packet)
{
    if (packet.visited.size() >= HopsMax) {
        ++m_counters.hopLimit;
        return false;
    }
    packet.version = std::max(packet.version, m_dissemination.revision());
    m_hooks.sendToAgent(agent, packet);
    return true;
}

bool AgentNode::walk(DataPacket &packet)
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
    if (agent == nullptr && ownTable() != nullptr) {
        own = ownTable()->candidates(bucketOf(packet.flow));
        agent = next(own);
    }
    if (agent == nullptr) {
        return false;
    }
    ++m_counters.walked;
    return passOn(Endpoint(*agent), packet);
}

bool AgentNode::mayReach(const Endpoint &agent, Instant now) const
{
    const auto domain = m_peerDomains.find(agent);
    if (domain == m_peerDomains.end()) {
        // Not in the document: it leaves, but may still answer for its flows if it was just heard.
        return m_board.isFresh(agent, now);
    }
    return !m_dissemination.view().isOut(domain->second) && !m_board.isSilent(agent, now)
        && !m_dissemination.rumors().isSuspect(agent);
}

bool AgentNode::mayTry(const Endpoint &agent) const
{
    const auto domain = m_peerDomains.find(agent);
    if (domain == m_peerDomains.end()) {
        // Taken from the document, but it may still be there.
        return m_dissemination.rumors().isLeaving(agent);
    }
    return !m_dissemination.view().isOut(domain->second);
}

bool AgentNode::mayTake(const Endpoint &agent, const DataPacket &packet, Instant now) const
{
    return m_peerDomains.contains(agent) && !packet.hasVisited(agent) && mayReach(agent, now);
}

const ServiceTable *AgentNode::ownTable()
{
    if (!m_service) {
        return nullptr;
    }
    return m_router.at(m_dissemination.view(), m_service->address);
}

} // namespace bergamotglade
