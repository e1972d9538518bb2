#include <bergamotglade/detail/node/balancer_node.hpp>

#include <bergamotglade/detail/request/message.hpp>

#include <algorithm>

namespace bergamotglade {

bool DataPacket::hasVisited(const Endpoint &agent) const noexcept
{
    return std::find(visited.begin(), visited.end(), agent) != visited.end();
}

BalancerNode::BalancerNode(Dissemination &dissemination, BalancerHooks hooks, ScoreFunction score)
    : m_dissemination(dissemination)
    , m_hooks(std::move(hooks))
    , m_router(std::move(score))
{ }

void BalancerNode::onCallerPacket(const Endpoint &caller, const Endpoint &service,
                                  std::string payload, Instant now)
{
    if (payload.size() > RequestBytesMax) {
        ++m_counters.oversized;
        return;
    }
    if (!m_dissemination.mayAct(now)) {
        ++m_counters.notReady;
        return;
    }
    const ServiceTable *table = m_router.at(m_dissemination.view(), service);
    if (table == nullptr) {
        ++m_counters.unknownService;
        return;
    }
    DataPacket packet;
    packet.version = m_dissemination.revision();
    packet.flow = {caller, service};
    packet.service = table->service().name;
    packet.candidates = demoteSuspects(table->candidates(bucketOf(packet.flow)));
    packet.payload = std::move(payload);
    if (packet.candidates.empty()) {
        ++m_counters.noCandidates;
        return;
    }
    ++m_counters.forwarded;
    m_hooks.forward(packet.candidates.front(), packet);
}

CandidateList BalancerNode::demoteSuspects(const CandidateList &list)
{
    const RumorTable &rumors = m_dissemination.rumors();
    if (rumors.size() == 0) {
        return list;
    }
    CandidateList ordered;
    for (const Endpoint &agent : list) {
        if (!rumors.isSuspect(agent)) {
            ordered.push(agent);
        }
    }
    m_counters.aroundSuspect += ordered.empty() || ordered.front() == list.front() ? 0 : 1;
    for (const Endpoint &agent : list) {
        if (rumors.isSuspect(agent)) {
            ordered.push(agent);
        }
    }
    return ordered;
}

} // namespace bergamotglade
