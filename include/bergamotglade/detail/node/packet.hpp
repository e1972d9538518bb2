/// @file
/// Datagrams exchanged between balancers and agents.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>
#include <bergamotglade/detail/routing/candidates.hpp>

#include <string>
#include <vector>

namespace bergamotglade {

/// Number of agents a packet may visit before it is dropped.
inline constexpr std::uint8_t HopsMax = 8;

/// A caller's datagram in transit to an agent.
struct DataPacket
{
    /// Highest revision of the configuration document among the processes that sent the packet.
    Revision version;
    FlowKey flow;
    ServiceName service;
    CandidateList candidates;
    /// Agents that have handled this packet, in order; their number is the hop count.
    std::vector<Endpoint> visited;
    /// The sender of a hand-over has given up the flow, so this packet implies the commit.
    bool committed = false;
    /// The receiver runs this idempotent request for the flow's owner and answers the caller.
    bool lent = false;
    /// The sender has chosen the receiver for this new flow by load; it is not placed again.
    bool placed = false;
    std::string payload;

    [[nodiscard]] bool hasVisited(const Endpoint &agent) const noexcept;
};

/// Load of an agent, sent to its peers.
struct LoadReport
{
    Endpoint sender;
    Incarnation incarnation;
    ServiceName service;
    FailureDomainId domain;
    /// Address at which the upstream receives packets under connection steering; zero if the agent
    /// runs requests.
    Endpoint upstream;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    double limit = 0; ///< concurrency limit of the upstream, in requests
    std::uint32_t serviceTimeMs = 0; ///< smoothed; 0 if unknown
    bool draining = false;
    /// The upstream does not answer packets, resets its flows or has recently refused one.
    bool failingUpstream = false;
};

/// Names the agent that owns a steered flow, for a process that sent a packet of it elsewhere.
struct FlowLocated
{
    FlowKey flow;
    Endpoint agent;
};

/// Asks an agent whether its upstream holds the flow of a packet. If it does, the packet is
/// delivered.
struct FlowQuery
{
    Endpoint sender;
    std::string packet; ///< as its caller wrote it
};

/// Reply to a FlowQuery.
struct FlowAnswer
{
    FlowKey flow;
    Endpoint agent; ///< agent that answers
    bool owned = false;
    /// Digest of the agents that may own flows of the route in the view of the answering agent. It
    /// may list more than the asking agent, which then asks for the list.
    std::uint64_t ownersDigest = 0;
};

/// Asks an agent for the possible owners of the flows of one route.
struct OwnersQuery
{
    Endpoint sender;
    Endpoint route; ///< address of the route
};

/// Reply to an OwnersQuery, or a part of it: a long list takes several datagrams.
struct OwnersList
{
    Endpoint route;
    std::uint64_t digest = 0; ///< of the whole list
    std::uint64_t total = 0; ///< number of agents in the whole list
    std::vector<Endpoint> agents;
};

/// Asks a reader of the platform for the platform's revision at a time after the question.
struct ConfirmationQuery
{
    Endpoint sender;
    std::uint64_t number = 0; ///< the answer returns it
};

/// Reply to a ConfirmationQuery.
struct ConfirmationAnswer
{
    Endpoint sender;
    std::uint64_t number = 0;
    Revision revision; ///< of the platform, read after the query had arrived
};

/// Tells the homes of long flows who owns them.
struct FlowLocations
{
    Endpoint owner;
    std::vector<FlowKey> flows;
};

/// Liveness information about one process, spread by gossip. The rumor with the higher counter
/// replaces the other.
struct Rumor
{
    Endpoint subject;
    std::uint64_t counter = 0;
    /// New flows avoid the process because it is silent or leaving.
    bool suspect = false;
    /// The process announced that it is leaving: it takes no new flows but serves existing ones.
    bool leaving = false;

    friend bool operator==(const Rumor &, const Rumor &) = default;
};

/// State of a balancer and its failure domain, sent to other balancers.
struct BalancerHeartbeat
{
    Endpoint sender;
    FailureDomainId domain;
    bool able = false; ///< the sender could serve traffic
    bool inRotation = false; ///< the sender reports itself ready to the fabric
    std::uint32_t neighbours = 0; ///< balancers of the sender's failure domain, including it
    std::uint32_t neighboursInRotation = 0;
    std::vector<std::pair<Endpoint, FailureDomainId>> knownBalancers; ///< balancers heard recently
};

/// Gossip message about the sender's document revision.
struct Notice
{
    Endpoint sender;
    Incarnation incarnation;
    Revision revision;
    /// Time since the platform last confirmed this revision to any process, as far as known.
    Millis platformAge {};
    /// The sender's view is confirmed: the sender has not just been started or paused.
    bool confirmed = true;
    bool wantsReply = false;
    /// The sender accepts packets: it is ready and not leaving.
    bool serving = true;
    /// Sequence number of the probe; a reply returns it in `echo`.
    std::uint64_t probe = 0;
    std::uint64_t echo = 0;
    std::vector<Rumor> rumors;
    /// Peers recently heard by the sender, for a receiver that has just started.
    std::vector<Endpoint> introductions;
};

} // namespace bergamotglade
