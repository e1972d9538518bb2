/// @file
/// Simulation of balancers, agents, upstreams and callers on a virtual clock.
#pragma once

#include <bergamotglade/detail/steering/agent_steering.hpp>
#include <bergamotglade/detail/steering/balancer_steering.hpp>

#include <packets.hpp>

#include <map>
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
    bool open = false; ///< the caller has received the upstream's answer to the opening packet
    bool answered = false; ///< the latest request was answered
    bool wasReset = false;
    Instant answeredAt;
    std::uint32_t upstreamInitialSequence = 0;
    bool withoutRequest = false; ///< sends no request when the flow opens
    std::size_t requestPackets = 1; ///< full packets and a last one that is not full
    Millis transferTime {}; ///< time from the first packet of a request to its last
    std::uint32_t nextSequence = 2; ///< sequence number of the next data
    bool abandoned = false; ///< the caller sends nothing more and ignores all packets
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
    bool listens = true; ///< accepts TCP connections; a crashed process does not
    std::size_t openingsToLose = 0; ///< opening packets that are lost on the way to it
    bool answersEarly = false; ///< answers a request at its first packet
    bool refusesFlows = false; ///< returns the opening packets of new flows
    bool resetsRequests = false; ///< accepts flows and resets them at their first request
    bool resetsUnknownFlows = false; ///< resets flows that it does not hold, in place of a return
    std::uint32_t initialSequence = 0;
    std::set<FlowKey> flows; ///< flows that it holds
    std::uint32_t running = 0; ///< number of requests that it is processing
    std::deque<FlowKey> queue; ///< flows whose requests wait for a slot
    /// Acknowledgement numbers of its packets, by flow.
    std::map<FlowKey, std::uint32_t> acknowledgements;
    /// Times at which it accepted opening packets, retransmissions included.
    std::vector<Instant> openingTimes;
    std::vector<FlowKey> openedFlows; ///< flows of these packets
};

/// A simulated deployment. Every process has its own directory.
class SteeringFleet
{
public:
    explicit SteeringFleet(std::uint64_t seed = 1);

    /// @name Set-up
    /// @{
    /// @param knowsRoutes whether the balancer starts with all sections published so far
    /// @return index of the balancer
    std::size_t addBalancer(bool knowsRoutes = true);
    /// @brief Adds an upstream and its agent.
    /// @param registered whether the upstream's entry is published
    /// @param knowsRoutes whether the agent starts with all sections published so far
    /// @return index of the upstream and of its agent
    std::size_t addUpstream(const std::string &service, const std::string &domain,
                            bool registered = true, bool knowsRoutes = true);
    /// @brief Applies a section at all processes.
    void publish(const SectionChange &change);
    /// @brief Applies a section at one balancer only, which then differs from all other processes.
    void publishAtBalancer(std::size_t balancer, const SectionChange &change);
    /// @brief Applies a section at one agent only.
    void publishAtAgent(std::size_t agent, const SectionChange &change);
    /// @brief Announces an upstream to one balancer, as its agent would.
    void announceAtBalancer(std::size_t balancer, std::size_t upstream);
    [[nodiscard]] SectionChange upstreamSection(std::size_t upstream, bool leaving = false,
                                                Millis coldDuration = {}) const;
    /// @brief Entry of an upstream of the service "kits" that is not part of the fleet.
    [[nodiscard]] static SectionChange upstreamSectionAt(std::uint32_t host);
    [[nodiscard]] static SectionChange
    routeSection(const std::vector<std::pair<std::string, std::uint32_t>> &services,
                 double coldPerSecond = 0, std::size_t routes = 1);
    /// @brief Section that takes a failure domain out, or its removal.
    [[nodiscard]] static SectionChange domainSection(const std::string &domain, bool out = true);
    /// @}
    /// @name Load and faults
    /// @{
    /// @brief Opens a flow of a new caller, which sends one request once the flow is open, unless
    /// `withoutRequest` is set.
    /// @param route index of the route, see routeAddress()
    /// @return index of the flow
    std::size_t openFlow(std::size_t balancer, bool withoutRequest = false, std::size_t route = 0);
    /// @brief Opens a flow whose request is several packets, sent evenly over `transferTime`.
    /// @return index of the flow
    std::size_t openUpload(std::size_t balancer, std::size_t packets, Millis transferTime);
    /// @brief Sends one packet with data on an open flow; its request goes on if the packet is
    /// full.
    void sendData(std::size_t flow, std::size_t bytes);
    /// @brief Sends a request on an open flow and clears its `answered`.
    void sendRequest(std::size_t flow);
    /// @brief Lets the upstream of a flow send its last packet, after `bytes` of data.
    void finishFlow(std::size_t flow, std::uint32_t bytes);
    /// @brief Lets the caller of a flow send its last packet.
    void finishFromCaller(std::size_t flow);
    /// @brief Lets the caller of a flow reset it.
    void resetFromCaller(std::size_t flow);
    /// @brief Sends an acknowledgement of `bytes` received on a flow, without data.
    void acknowledge(std::size_t flow, std::uint32_t bytes);
    void resendOpening(std::size_t flow) { sendOpening(flow, 0); }
    /// @brief Replaces an agent by one that knows no flows.
    /// @param newDirectory whether its directory starts with the newest section of each name; else
    /// the directory is kept
    void restartAgent(std::size_t upstream, bool newDirectory = false);
    /// @brief Replaces a balancer by one that knows no flows.
    /// @param knowsRoutes whether it starts with all sections published so far
    void restartBalancer(std::size_t balancer, bool knowsRoutes = true);
    /// @brief Advances the virtual clock and runs the events that fall due.
    void runFor(Millis time);
    /// @brief Runs a function on the virtual clock after a delay.
    void schedule(Millis delay, std::function<void()> run);
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
    /// @brief Index of the upstream that a flow is open at; the number of upstreams if it is not
    /// open.
    [[nodiscard]] std::size_t upstreamOf(std::size_t flow) const;
    /// @brief Number of flows that were reset.
    [[nodiscard]] std::size_t resetCount() const;

    /// Number of queries, answers and locations that agents have sent to each other.
    std::uint64_t controlMessagesBetweenAgents = 0;
    /// Indices of agents that send and receive no packets and whose timers do not run.
    std::set<std::size_t> unreachableAgents;
    /// Callers ignore a reset of an open flow whose sequence number is far from the expected one.
    bool callersCheckResets = false;
    /// Lists of possible owners that agents send are lost.
    bool ownersListsLost = false;
    /// False simulates an outdated configuration view at all balancers.
    bool balancersMayAct = true;
    /// False simulates an outdated configuration view at all agents.
    bool agentsMayAct = true;
    /// Whether the platform answers a process that asks it whether its view is the newest one.
    bool platformConfirms = true;
    /// Section that comes with the platform's answer to that question.
    std::optional<SectionChange> platformNews;
    /// If set, selects the upstream of a new flow in place of balancers and agents, for baselines.
    std::function<std::size_t(std::size_t flow)> chooseUpstream;
    /// If set, called after a caller has handled a packet of one of its flows.
    std::function<void(std::size_t flow)> onCallerFlowChanged;
    AgentSteeringSettings agentSettings;
    BalancerSteeringSettings balancerSettings;

    static const Endpoint RouteAddress; ///< address of the first route
    [[nodiscard]] static Endpoint routeAddress(std::size_t route);

private:
    struct AgentProcess
    {
        Instant confirmedSince;
        std::unique_ptr<Directory> directory;
        std::unique_ptr<AgentSteering> steering;
    };
    struct BalancerProcess
    {
        Instant confirmedSince;
        std::unique_ptr<Directory> directory;
        std::unique_ptr<BalancerSteering> steering;
    };
    struct Event
    {
        Instant at;
        std::uint64_t order = 0; ///< events of the same time run in this order
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    /// @brief Lets the platform answer a process that has asked whether its view is the newest one.
    template <typename Process>
    void confirmView(std::deque<Process> &processes, std::size_t index);
    void runAtAgent(std::function<void()> run);
    void tickAgents();
    void tick();
    void startAgent(std::size_t index, std::unique_ptr<Directory> directory);
    void startBalancer(std::size_t index, std::unique_ptr<Directory> directory);
    void transmitToAgent(const Endpoint &agent, const PacketBytes &bytes, const Endpoint &from);
    void controlToAgent(std::size_t from, const Endpoint &to,
                        std::function<void(AgentSteering &)> deliver);
    void onPacketToUpstream(std::size_t index, const PacketBytes &bytes);
    void transmitToCaller(const Endpoint &caller, const PacketBytes &bytes);
    void transmitFromUpstream(std::size_t index, PacketBytes bytes);
    void transmitFromCaller(std::size_t flow, PacketBytes bytes);
    void onPacketToCaller(std::size_t index, const Segment &segment);
    /// @param copy number of copies sent before, which the packet carries
    void sendOpening(std::size_t flow, std::uint32_t copy);
    void finishRequest(std::size_t upstream, const FlowKey &key);
    void startQueuedRequests(std::size_t upstream);
    /// @brief Index of an agent; the number of upstreams if there is none at the address.
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
    /// Upstreams selected by chooseUpstream, by flow.
    std::unordered_map<std::size_t, std::size_t> m_placed;
    /// Directory that knows the newest published section of each name.
    [[nodiscard]] std::unique_ptr<Directory> makeDirectory() const;

    std::vector<SectionChange> m_published;
    std::uint64_t m_revision = 0;
    bool m_ticking = false;
    bool m_agentsPaused = false;
    std::vector<std::function<void()>> m_deferredForAgents;
};

} // namespace bergamotglade::tests
