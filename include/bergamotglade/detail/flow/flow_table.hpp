/// @file
/// Flows that an agent owns, has received in a hand-over or has handed over.
#pragma once

#include <bergamotglade/detail/request/ledger.hpp>

#include <deque>
#include <unordered_map>

namespace bergamotglade {

/// Which agent may run a flow's requests.
enum class Ownership : std::uint8_t {
    Owned, ///< this agent
    Offered, ///< this agent, until the successor acknowledges the hand-over
    Prepared, ///< the sender of the hand-over, until it commits
    HandedOver, ///< the successor
};

/// One flow.
struct Flow
{
    FlowNonce nonce;
    FlowKey key;
    Ownership ownership = Ownership::Owned;
    Endpoint successor; ///< receiver of the hand-over; valid in states Offered and HandedOver
    /// Id of the last hand-over message that offered the flow; 0 if none.
    std::uint64_t offer = 0;
    Instant lastSeen;
    Ledger ledger;
};

/// Flows by nonce. Idle flows expire.
class FlowTable
{
public:
    /// @param idle time without packets after which a flow is removed, once its ledger is empty
    /// @param capacity maximum number of flows; further ones are rejected
    FlowTable(Millis idle, std::size_t capacity);

    /// @brief Returns the flow with this nonce, adding it if necessary.
    /// @return null if the table is full, even if it holds the flow
    /// @complexity constant
    Flow *open(FlowNonce nonce, const FlowKey &key, Instant now);
    [[nodiscard]] Flow *find(FlowNonce nonce);
    /// @brief Updates the time of last use.
    void touch(Flow &flow, Instant now) { flow.lastSeen = now; }
    void erase(FlowNonce nonce);
    /// @brief Incrementally removes idle flows and expired ledger entries.
    /// @param budget maximum number of flows checked
    /// @return size of the removed answers in bytes
    /// @complexity linear in the flows checked and their ledger entries
    std::size_t expire(Instant now, std::size_t budget);

    [[nodiscard]] std::size_t size() const noexcept { return m_flows.size(); }
    /// @brief Nonces of the flows owned by this agent, including offered ones, in order.
    [[nodiscard]] std::vector<FlowNonce> owned() const;
    /// @brief Number of flows with queued or running requests.
    [[nodiscard]] std::size_t busy() const;

private:
    Millis m_idle;
    std::size_t m_capacity;
    std::unordered_map<FlowNonce, Flow> m_flows;
    /// Order in which flows are checked for expiry.
    std::deque<FlowNonce> m_expiryOrder;
};

} // namespace bergamotglade
