#include <bergamotglade/detail/flow/flow_table.hpp>

#include <algorithm>

namespace bergamotglade {

FlowTable::FlowTable(Millis idle, std::size_t capacity)
    : m_idle(idle)
    , m_capacity(capacity)
{ }

Flow *FlowTable::open(FlowNonce nonce, const FlowKey &key, Instant now)
{
    if (m_flows.size() >= m_capacity) {
        return nullptr;
    }
    const auto [at, isNew] = m_flows.try_emplace(nonce);
    Flow &flow = at->second;
    if (isNew) {
        m_expiryOrder.push_back(nonce);
        flow.nonce = nonce;
        flow.key = key;
    }
    flow.lastSeen = now;
    return &flow;
}

Flow *FlowTable::find(FlowNonce nonce)
{
    const auto found = m_flows.find(nonce);
    return found == m_flows.end() ? nullptr : &found->second;
}

void FlowTable::erase(FlowNonce nonce)
{
    m_flows.erase(nonce);
}

std::size_t FlowTable::expire(Instant now, std::size_t budget)
{
    std::size_t bytes = 0;
    for (std::size_t i = std::min(budget, m_expiryOrder.size()); i > 0; --i) {
        const FlowNonce nonce = m_expiryOrder.front();
        m_expiryOrder.pop_front();
        Flow *flow = find(nonce);
        if (flow == nullptr) {
            continue;
        }
        bytes += flow->ledger.expire(now);
        const bool idle = now - flow->lastSeen > m_idle;
        if (idle && flow->ledger.empty()) {
            m_flows.erase(nonce);
            continue;
        }
        m_expiryOrder.push_back(nonce);
    }
    return bytes;
}

std::vector<FlowNonce> FlowTable::owned() const
{
    std::vector<FlowNonce> nonces;
    for (const auto &[nonce, flow] : m_flows) {
        if (flow.ownership == Ownership::Owned || flow.ownership == Ownership::Offered) {
            nonces.push_back(nonce);
        }
    }
    std::sort(nonces.begin(), nonces.end());
    return nonces;
}

std::size_t FlowTable::busy() const
{
    return static_cast<std::size_t>(std::count_if(
        m_flows.begin(), m_flows.end(), [](const auto &f) { return f.second.ledger.isBusy(); }));
}

} // namespace bergamotglade
