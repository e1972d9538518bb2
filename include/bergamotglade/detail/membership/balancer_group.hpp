/// @file
/// What the balancers know of each other, and whether one should leave the fabric's rotation.
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
    /// Asked as long as they have not answered; some may be stale or no balancers.
    std::vector<Endpoint> seeds;
    /// Between two heartbeats: the fabric asks twice a second, a balancer must notice before it.
    Millis interval {250};
    /// Without a heartbeat for this long a balancer is down: two may be lost.
    Millis silence {700};
    /// Another failure domain is judged by heartbeats up to this old: each balancer tells only a
    /// few random ones elsewhere at a time.
    Millis refugeAge {1500};
    /// A balancer that is down still counts as one of its failure domain for this long: a restart
    /// takes seconds, a replaced one has left the fabric's list by then.
    Millis memory {20'000};
    /// Balancers of the own failure domain that get each heartbeat, and that are counted; with
    /// more of them this many are a sample.
    std::size_t neighboursMax = 8;
    /// Balancers of other failure domains that get each heartbeat, by chance.
    std::size_t elsewhereMax = 2;
    /// Other balancers named in a heartbeat.
    std::size_t namedMax = 3;
};

struct BalancerGroupHooks
{
    std::function<void(const Endpoint &balancer, const BalancerHeartbeat &)> send;
};

/// State machine without I/O.
///
/// A fabric that finds fewer than half of a failure domain's balancers in rotation uses all of
/// them, also those that are down; where none is in rotation it uses other failure domains. A
/// balancer that sees itself in such a minority therefore steps down while another failure domain
/// has a majority in rotation, and forwards what still reaches it.
class BalancerGroup
{
public:
    BalancerGroup(BalancerGroupSettings settings, BalancerGroupHooks hooks, Random random);

    void onHeartbeat(const BalancerHeartbeat &heartbeat, Instant now);
    /// @brief Call at least every 200 ms; calls further apart mean a pause, after which silence
    /// proves nothing.
    /// @param able whether this process would be ready if it were alone
    void onTick(bool able, Instant now);
    /// @brief Whether this process should not be ready though it is able.
    [[nodiscard]] bool shouldStepDown() const noexcept { return m_steppedDown; }
    /// @brief Balancers of the own failure domain that count, this one included.
    [[nodiscard]] std::size_t neighbourCount() const;
    /// @brief Those of them that could serve.
    [[nodiscard]] std::size_t ableCount(Instant now) const;

private:
    struct Member
    {
        FailureDomainId domain;
        Instant heard; ///< zero: named by others only
        bool able = false;
        bool inRotation = false;
        std::uint32_t neighbours = 0; ///< as the member counts its own failure domain
        std::uint32_t neighboursInRotation = 0;
    };

    [[nodiscard]] bool isUp(const Member &member, Instant now) const;
    [[nodiscard]] bool counts(const Member &member) const;
    [[nodiscard]] bool isMinority(Instant now) const;
    [[nodiscard]] bool hasRefuge(Instant now) const;
    void sendTo(const Endpoint &balancer, Instant now);
    void sendRound(Instant now);
    [[nodiscard]] std::vector<Endpoint> neighbours() const;
    [[nodiscard]] std::vector<Endpoint> others() const;
    [[nodiscard]] std::vector<Endpoint> someOf(std::vector<Endpoint> all, std::size_t most) const;
    [[nodiscard]] BalancerHeartbeat makeHeartbeat(Instant now) const;

    BalancerGroupSettings m_settings;
    BalancerGroupHooks m_hooks;
    Random m_random;
    std::map<Endpoint, Member> m_members;
    bool m_able = false;
    bool m_steppedDown = false;
    Instant m_lastTick;
    Instant m_next;
};

} // namespace bergamotglade
