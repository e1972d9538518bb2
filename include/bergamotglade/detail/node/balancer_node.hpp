/// @file
/// Balancer state machine: selects the agents for a caller's datagram.
#pragma once

#include <bergamotglade/detail/dissemination/dissemination.hpp>
#include <bergamotglade/detail/node/packet.hpp>

namespace bergamotglade {

struct BalancerCounters
{
    std::uint64_t forwarded = 0;
    std::uint64_t unknownService = 0;
    std::uint64_t noCandidates = 0;
    std::uint64_t oversized = 0;
    std::uint64_t notReady = 0; ///< dropped because the view is unconfirmed after a start or pause
    std::uint64_t aroundSuspect = 0; ///< forwarded past a suspect first candidate
};

struct BalancerHooks
{
    std::function<void(const Endpoint &agent, const DataPacket &)> forward;
};

/// Holds no per-flow state: balancers with the same document make the same decisions.
class BalancerNode
{
public:
    /// @param dissemination must outlive the node
    BalancerNode(Dissemination &dissemination, BalancerHooks hooks,
                 ScoreFunction score = rendezvousScore);

    /// @brief Forwards a caller's datagram, or drops it and increments a counter.
    /// @param caller source address of the datagram
    /// @param service destination address of the datagram
    /// @param payload forwarded unchanged
    /// @complexity constant in services and flows; see ServiceTable::candidates()
    void onCallerPacket(const Endpoint &caller, const Endpoint &service, std::string payload,
                        Instant now);

    [[nodiscard]] const BalancerCounters &counters() const noexcept { return m_counters; }

private:
    [[nodiscard]] CandidateList demoteSuspects(const CandidateList &list);

    Dissemination &m_dissemination;
    BalancerHooks m_hooks;
    Router m_router;
    BalancerCounters m_counters;
};

} // namespace bergamotglade
