// Two-phase hand-over of flows. In the first phase the successor stores the flows without running
// their requests. After its acknowledgement the sender gives up ownership and sends the commit. If
// a request reaches the sender before the acknowledgement, the sender takes the flow back, so at
// most one agent may run the requests of a flow at any time.

#include <bergamotglade/detail/node/agent_node.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Interval at which an unacknowledged commit is sent again.
constexpr Millis CommitResendInterval {300};
/// Time without an acknowledgement after which an offer is withdrawn.
constexpr Millis OfferTimeout {1500};
constexpr std::size_t FlowsPerMessage = 64;

/// Idempotent requests may run again, so their entries are not handed over.
bool mustBeHandedOver(const LedgerEntry &entry)
{
    return !entry.idempotent;
}

} // namespace

void AgentNode::offerFlows(Instant now)
{
    if (!m_settings.mechanisms.handover) {
        return;
    }
    std::unordered_map<Endpoint, HandoverMessage> messages;
    for (const FlowNonce nonce : m_flows.owned()) {
        Flow &flow = *m_flows.find(nonce);
        if (flow.ownership != Ownership::Owned || flow.ledger.isBusy()) {
            continue;
        }
        const auto successor = successorOf(flow, now);
        if (!successor) {
            continue;
        }
        HandoverMessage &message = messages[*successor];
        if (message.flows.size() >= FlowsPerMessage) {
            continue;
        }
        if (message.id == 0) {
            message.id = m_nextOffer++;
            message.sender = m_dissemination.settings().self;
            message.successor = *m_peerLoads.incarnationOf(*successor);
        }
        message.flows.push_back(exportFlow(flow, now));
        flow.ownership = Ownership::Offered;
        flow.offer = message.id;
        flow.successor = *successor;
    }
    for (auto &[successor, message] : messages) {
        m_hooks.sendHandover(successor, message);
        const std::uint64_t id = message.id;
        m_offers[id] = {successor, std::move(message), now};
    }
}

std::optional<Endpoint> AgentNode::successorOf(const Flow &flow, Instant now)
{
    const ServiceTable *table = serviceTable();
    if (table == nullptr) {
        return std::nullopt;
    }
    for (const Endpoint &agent : table->candidates(bucketOf(flow.key))) {
        const bool self = agent == m_dissemination.settings().self;
        const bool hasReported = m_peerLoads.incarnationOf(agent).has_value();
        if (!self && hasReported && isReachable(agent, now) && !m_peerLoads.isDraining(agent)) {
            return agent;
        }
    }
    return std::nullopt;
}

HandoverFlow AgentNode::exportFlow(const Flow &flow, Instant now) const
{
    HandoverFlow exported {flow.nonce, flow.key, flow.ledger.watermark(), {}};
    for (const auto &[sequence, entry] : flow.ledger.entries()) {
        if (!mustBeHandedOver(entry) || !m_settings.mechanisms.ledgerTravels) {
            continue;
        }
        HandoverEntry record;
        record.sequence = sequence;
        record.state = entry.state;
        record.remaining = std::max(Millis(1), entry.expires - now);
        record.hasAnswer = entry.answer != nullptr;
        if (record.hasAnswer) {
            record.answer = *entry.answer;
        }
        exported.entries.push_back(std::move(record));
    }
    return exported;
}

bool AgentNode::onHandover(const HandoverMessage &message, Instant now)
{
    const bool unavailable = m_draining || m_exclusion != Exclusion::None;
    if (message.successor != m_dissemination.settings().incarnation) {
        return false;
    }
    if (message.commit) {
        for (const FlowNonce nonce : message.committed) {
            commitFlow(nonce);
        }
        return true;
    }
    if (unavailable || !m_dissemination.mayAct(now)) {
        return false;
    }
    for (const HandoverFlow &exported : message.flows) {
        storeOffered(exported, message.id, now);
    }
    return true;
}

void AgentNode::storeOffered(const HandoverFlow &exported, std::uint64_t offer, Instant now)
{
    Flow *existing = m_flows.find(exported.nonce);
    if (existing != nullptr && existing->ownership != Ownership::Prepared
        && existing->ownership != Ownership::HandedOver) {
        // Duplicate of the first phase after the commit; the local state is newer.
        return;
    }
    const bool outdated = existing != nullptr && existing->ownership == Ownership::Prepared
        && offer < existing->offer;
    if (outdated && m_settings.mechanisms.offerOrder) {
        // Messages may be reordered, and an earlier offer may lack requests that have run since.
        return;
    }
    Flow *flow = m_flows.open(exported.nonce, exported.key, now);
    if (flow == nullptr) {
        return;
    }
    std::map<RequestSequence, LedgerEntry> entries;
    for (const HandoverEntry &record : exported.entries) {
        LedgerEntry entry;
        entry.state = record.state;
        entry.expires = now + record.remaining;
        if (record.hasAnswer) {
            entry.answer = std::make_shared<const Answer>(record.answer);
            m_answerBytes += record.answer.body.size();
        }
        entries.emplace(record.sequence, std::move(entry));
    }
    flow->ownership = m_settings.mechanisms.twoPhases ? Ownership::Prepared : Ownership::Owned;
    flow->offer = offer;
    flow->ledger.restore(exported.watermark, std::move(entries));
}

void AgentNode::commitFlow(FlowNonce nonce)
{
    Flow *flow = m_flows.find(nonce);
    if (flow != nullptr && flow->ownership == Ownership::Prepared) {
        flow->ownership = Ownership::Owned;
        ++m_counters.adopted;
    }
}

void AgentNode::onHandoverAck(const Endpoint &successor, std::uint64_t id, Instant now)
{
    const auto found = m_offers.find(id);
    if (found == m_offers.end() || found->second.successor != successor) {
        return;
    }
    if (found->second.message.commit) {
        m_offers.erase(found);
        return;
    }
    HandoverMessage commit;
    commit.sender = m_dissemination.settings().self;
    commit.id = id;
    commit.successor = found->second.message.successor;
    commit.commit = true;
    for (const HandoverFlow &exported : found->second.message.flows) {
        Flow *flow = m_flows.find(exported.nonce);
        if (flow == nullptr || flow->ownership != Ownership::Offered || flow->offer != id) {
            continue;
        }
        flow->ownership = Ownership::HandedOver;
        ++m_counters.handedOver;
        commit.committed.push_back(exported.nonce);
    }
    if (commit.committed.empty()) {
        m_offers.erase(found);
        return;
    }
    found->second.message = commit;
    found->second.sent = now;
    m_hooks.sendHandover(successor, commit);
}

void AgentNode::checkOfferTimeouts(Instant now)
{
    std::vector<std::uint64_t> timedOut;
    for (auto &[id, offer] : m_offers) {
        if (!offer.message.commit && now - offer.sent > OfferTimeout) {
            timedOut.push_back(id);
        } else if (offer.message.commit && now - offer.sent > CommitResendInterval) {
            offer.sent = now;
            m_hooks.sendHandover(offer.successor, offer.message);
        }
    }
    for (const std::uint64_t id : timedOut) {
        // Without an acknowledgement no commit was sent, so the successor may not run requests and
        // this agent can take the flows back.
        for (const HandoverFlow &exported : m_offers.at(id).message.flows) {
            Flow *flow = m_flows.find(exported.nonce);
            if (flow != nullptr && flow->offer == id && flow->ownership == Ownership::Offered) {
                flow->ownership = Ownership::Owned;
                flow->offer = 0;
            }
        }
        m_offers.erase(id);
    }
}

} // namespace bergamotglade
