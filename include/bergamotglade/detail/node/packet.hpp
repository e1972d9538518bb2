/// @file
/// Datagrams between the system's own processes.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>
#include <bergamotglade/detail/routing/candidates.hpp>

#include <string>
#include <vector>

namespace bergamotglade {

/// Agents that one packet may visit before it is dropped.
inline constexpr std::uint8_t HopsMax = 8;

/// A caller's datagram on its way to an agent.
struct DataPacket
{
    /// Version of the document at the process that sent this.
    Revision version;
    FlowKey flow;
    ServiceName service;
    CandidateList candidates;
    /// Agents that already had this packet, in order; their number is the hop count.
    std::vector<Endpoint> visited;
    /// The sender of a hand-over lets go of the flow with this packet at the latest.
    bool committed = false;
    /// The receiver runs an idempotent request for the flow's owner, without owning the flow.
    bool lent = false;
    /// The sender has chosen the receiver for this new flow by its load.
    bool placed = false;
    std::string payload;

    [[nodiscard]] bool hasVisited(const Endpoint &agent) const noexcept;
};

/// How loaded an agent is, for the other agents of its service.
struct LoadReport
{
    Endpoint sender;
    Incarnation incarnation;
    ServiceName service;
    FailureDomainId domain;
    Endpoint upstream; ///< where the upstream takes packets; zero for message agents
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    double limit = 0; ///< requests that the upstream bears at once
    std::uint32_t serviceTimeMs = 0; ///< smoothed; 0 where unknown
    bool draining = false;
    /// The upstream leaves packets unanswered, breaks off its flows or has just refused one.
    bool failingUpstream = false;
};

/// The owner of a steered flow names itself after packets reached it by a detour.
struct FlowLocated
{
    FlowKey flow;
    Endpoint agent;
};

/// News about one process, spread by gossip. A higher counter wins.
struct Rumor
{
    Endpoint subject;
    std::uint64_t counter = 0;
    bool suspect = false;
    /// It said itself that it leaves: no new flows, but it still answers for its own.
    bool leaving = false;

    friend bool operator==(const Rumor &, const Rumor &) = default;
};

/// What a balancer tells other balancers of itself and of its failure domain.
struct BalancerHeartbeat
{
    Endpoint sender;
    FailureDomainId domain;
    bool able = false; ///< it could serve
    bool inRotation = false; ///< it tells the fabric that it serves
    std::uint32_t neighbours = 0; ///< balancers of its failure domain, itself included
    std::uint32_t neighboursInRotation = 0;
    std::vector<std::pair<Endpoint, FailureDomainId>> named; ///< balancers that it heard lately
};

/// What a process tells a peer about its version of the document.
struct Notice
{
    Endpoint sender;
    Incarnation incarnation;
    Revision revision;
    /// Time since the platform last confirmed this revision to anyone, as far as known.
    Millis platformAge {};
    /// The sender vouches for its view: it was not just paused or started.
    bool confirmed = true;
    bool wantsReply = false;
    /// The sender takes packets: it is ready and does not leave.
    bool serving = true;
    /// Number of the sender's question; a reply repeats it in `echo`.
    std::uint64_t probe = 0;
    std::uint64_t echo = 0;
    std::vector<Rumor> rumors;
    /// Processes that the sender heard lately, for a receiver that has just started.
    std::vector<Endpoint> introductions;
};

} // namespace bergamotglade
