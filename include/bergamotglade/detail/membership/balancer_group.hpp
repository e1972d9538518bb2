/// @file
/// Heartbeats between balancers, and the decision to leave the rotation of the fabric, the network
/// that distributes datagrams over the balancers that report themselves ready.
#pragma once

#include <bergamotglade/detail/core/random.hpp>
#include <bergamotglade/detail/node/packet.hpp>

#include <functional>
#include <map>
#include <optional>

namespace bergamotglade {

struct BalancerGroupSettings
{
    Endpoint self;
    FailureDomainId domain;
    /// Contacted until they answer; may contain stale addresses or processes of other kinds.
    std::vector<Endpoint> seeds;
    /// Heartbeat interval. The fabric probes twice per second, and balancers must detect a failure
    /// before it does.
    Millis interval {250};
    /// Time without a heartbeat after which a balancer is down; tolerates one lost heartbeat.
    Millis silenceTimeout {700};
    /// Maximum age of heartbeats used to judge another failure domain. It exceeds `silenceTimeout`
    /// because each round reaches only a few random balancers of other failure domains.
    Millis remoteHeartbeatAgeMax {1500};
    /// Time for which a balancer that is down still counts as a member of its failure domain. A
    /// restart takes seconds, and the fabric has removed a replaced balancer by then.
    Millis downRetention {20'000};
    /// Maximum number of balancers of the own failure domain that get each heartbeat; a random
    /// sample in each round if there are more.
    std::size_t neighboursMax = 8;
    /// Number of random balancers of other failure domains that get each heartbeat.
    std::size_t remoteMax = 2;
    /// Maximum number of other balancers listed in a heartbeat.
    std::size_t knownBalancersMax = 3;
};

struct BalancerGroupHooks
{
    std::function<void(const Endpoint &balancer, const BalancerHeartbeat &)> send;
};

/// State machine without I/O.
///
/// If fewer than half of a failure domain's balancers are in rotation, the fabric sends to all of
/// them, including those that are down; if none is in rotation, it uses other failure domains. A
/// balancer in such a minority therefore leaves the rotation while another failure domain has at
/// least half of its balancers in rotation. It still forwards the packets that reach it.
class BalancerGroup
{
public:
    BalancerGroup(BalancerGroupSettings settings, BalancerGroupHooks hooks, Random random);

    void onHeartbeat(const BalancerHeartbeat &heartbeat, Instant now);
    /// @brief Call at least every 200 ms. A gap longer than the heartbeat interval counts as a
    /// pause of this process and not as silence of the others.
    /// @param able whether this process could serve traffic, regardless of the state of the group
    void onTick(bool able, Instant now);
    /// @brief Whether this process should report itself as not ready although it could serve.
    [[nodiscard]] bool shouldStepDown() const noexcept { return m_steppedDown; }
    /// @brief Number of known balancers of the own failure domain, including this one.
    [[nodiscard]] std::size_t neighbourCount() const;
    /// @brief Number of those that are up and could serve.
    [[nodiscard]] std::size_t ableCount(Instant now) const;

private:
    struct Member
    {
        FailureDomainId domain;
        Instant lastHeard; ///< zero if only listed in heartbeats of others
        bool able = false;
        bool inRotation = false;
        std::uint32_t neighbours = 0; ///< size of its failure domain, as reported by the member
        std::uint32_t neighboursInRotation = 0;
    };

    [[nodiscard]] bool isUp(const Member &member, Instant now) const;
    [[nodiscard]] bool isCountedNeighbour(const Member &member) const;
    [[nodiscard]] bool isMinority(Instant now) const;
    [[nodiscard]] bool hasAvailableDomain(Instant now) const;
    void sendTo(const Endpoint &balancer, Instant now);
    void sendHeartbeats(Instant now);
    [[nodiscard]] std::vector<Endpoint> neighbours() const;
    [[nodiscard]] std::vector<Endpoint> remoteBalancers() const;
    [[nodiscard]] std::vector<Endpoint> randomSample(std::vector<Endpoint> matching,
                                                     std::size_t count) const;
    [[nodiscard]] BalancerHeartbeat makeHeartbeat(Instant now) const;

    BalancerGroupSettings m_settings;
    BalancerGroupHooks m_hooks;
    Random m_random;
    std::map<Endpoint, Member> m_members;
    bool m_able = false;
    bool m_steppedDown = false;
    Instant m_lastTick;
    Instant m_nextHeartbeat;
};

} // namespace bergamotglade
