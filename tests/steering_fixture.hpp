/// @file
/// Simulation of balancers, agents, upstreams and callers on a virtual clock.
#pragma once

#include <bergamotglade/detail/steering/agent_steering.hpp>
#include <bergamotglade/detail/steering/balancer_steering.hpp>

#include <packets.hpp>

#include <queue>
#include <set>

namespace bergamotglade::tests {

using standins::Ack;
using standins::Fin;
using standins::makePacket;
using standins::Returned;
using standins::Rst;
using standins::Syn;

/// State of one caller's flow.
struct CallerFlow
{
    FlowKey key;
    Instant openedAt;
    std::size_t balancer = 0; ///< receives the caller's packets
    bool open = false;
    bool answered = false;
    bool wasReset = false;
    Instant answeredAt;
    std::uint32_t upstreamInitialSequence = 0;
    bool keepOpen = false; ///< sends no request when the flow opens
};

/// Simulated upstream: answers a request after its service time and returns packets of flows that
/// it does not hold.
struct SimulatedUpstream
{
    Endpoint agent;
    Endpoint address;
    ServiceName service;
    FailureDomainId domain;
    std::uint32_t slots = 4;
    Millis serviceTime {20};
    Millis answerDelay {}; ///< delay of every packet that it sends
    bool unresponsive = false; ///< answers no packets
    bool refusesFlows = false; ///< accepts no new flows
    bool resetsRequests = false; ///< accepts flows and resets them at their first request
    std::uint32_t initialSequence = 0;
    std::set<FlowKey> flows;
    std::uint32_t running = 0;
    std::deque<FlowKey> queue;
    std::vector<Instant> openings; ///< times at which it accepted opening packets
    std::vector<FlowKey> opened; ///< flows of these packets
};

/// A simulated deployment. Every process has its own directory.
class SteeringFleet
{
public:
    explicit SteeringFleet(std::uint64_t seed = 1);

    /// @name Set-up
    /// @{
    std::size_t addBalancer(bool knowsRoutes = true);
    std::size_t addUpstream(const std::string &service, const std::string &domain,
                            bool registered = true, bool knowsRoutes = true);
    /// @brief Applies a section at all processes, or at one balancer only.
    void publish(const SectionChange &change);
    void publishAtBalancer(std::size_t balancer, const SectionChange &change);
    /// @brief Announces an upstream to one balancer, as its agent would.
    void announceAtBalancer(std::size_t balancer, std::size_t upstream);
    [[nodiscard]] SectionChange upstreamSection(std::size_t upstream, bool leaving = false,
                                                Millis coldDuration = {}) const;
    [[nodiscard]] static SectionChange
    routeSection(const std::vector<std::pair<std::string, std::uint32_t>> &services,
                 double coldPerSecond = 0);
    [[nodiscard]] static SectionChange domainSection(const std::string &domain, bool out = true);
    /// @}
    /// @name Faults and load
    /// @{
    std::size_t openFlow(std::size_t balancer, bool keepOpen = false);
    void request(std::size_t flow);
    void resendOpening(std::size_t flow) { sendOpening(flow, 0); }
    void restartAgent(std::size_t upstream);
    void restartBalancer(std::size_t balancer, bool knowsRoutes = true);
    void runFor(Millis time);
    /// @brief Stops all agents; packets sent to them are deferred.
    void pauseAgents() { m_agentsPaused = true; }
    /// @brief Resumes all agents: their timers run before the deferred packets are delivered.
    void resumeAgents();
    /// @}

    CallerFlow &flow(std::size_t index) { return m_callers[index]; }
    SimulatedUpstream &upstream(std::size_t index) { return m_upstreams[index]; }
    AgentSteering &agent(std::size_t index) { return *m_agents[index].steering; }
    BalancerSteering &balancer(std::size_t index) { return *m_balancers[index].steering; }
    [[nodiscard]] Instant now() const { return m_now; }
    [[nodiscard]] std::size_t upstreamOf(std::size_t flow) const;
    [[nodiscard]] std::size_t resetCount() const;

    /// By upstream: packets to and from their agents are lost.
    std::set<std::size_t> unreachableAgents;
    bool balancersMayAct = true;
    bool agentsMayAct = true;
    /// If set, selects the upstream of a new flow in place of balancers and agents, for baselines.
    std::function<std::size_t(std::size_t flow)> chooseUpstream;
    AgentSteeringSettings agentSettings;
    BalancerSteeringSettings balancerSettings;

    static const Endpoint RouteAddress;

private:
    struct AgentProcess
    {
        std::unique_ptr<Directory> directory;
        std::unique_ptr<AgentSteering> steering;
    };
    struct BalancerProcess
    {
        std::unique_ptr<Directory> directory;
        std::unique_ptr<BalancerSteering> steering;
    };
    struct Event
    {
        Instant at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void after(Millis delay, std::function<void()> run);
    void runAtAgent(std::function<void()> run);
    void tickAgents();
    void tick();
    void startAgent(std::size_t index, std::unique_ptr<Directory> directory);
    void startBalancer(std::size_t index, std::unique_ptr<Directory> directory);
    void toAgent(const Endpoint &agent, const PacketBytes &bytes, const Endpoint &from);
    void toUpstream(std::size_t index, const PacketBytes &bytes);
    void toCaller(const Endpoint &caller, const PacketBytes &bytes);
    void fromUpstream(std::size_t index, PacketBytes bytes);
    void fromCaller(std::size_t flow, PacketBytes bytes);
    void onPacketToCaller(std::size_t index, const Segment &segment);
    void sendOpening(std::size_t flow, std::uint32_t copy);
    void finishRequest(std::size_t upstream, const FlowKey &key);
    void startQueuedRequests(std::size_t upstream);
    [[nodiscard]] std::size_t indexOf(const Endpoint &agent) const;

    std::uint64_t m_seed;
    Instant m_now {Millis(1'000'000)};
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    PacketCodec m_codec;
    std::deque<SimulatedUpstream> m_upstreams;
    std::deque<AgentProcess> m_agents;
    std::deque<BalancerProcess> m_balancers;
    std::deque<CallerFlow> m_callers;
    std::unordered_map<FlowKey, std::size_t> m_callerOf;
    std::unordered_map<std::size_t, std::size_t> m_placed; ///< flows placed by chooseUpstream
    std::vector<SectionChange> m_published;
    std::uint64_t m_revision = 0;
    bool m_ticking = false;
    bool m_agentsPaused = false;
    std::vector<std::function<void()>> m_deferredForAgents;
};

} // namespace bergamotglade::tests
