/// @file
/// Agent state machine: owns flows and runs their requests against the local upstream.
#pragma once

#include <bergamotglade/detail/admission/concurrency_limit.hpp>
#include <bergamotglade/detail/admission/peer_load_table.hpp>
#include <bergamotglade/detail/core/mechanisms.hpp>
#include <bergamotglade/detail/dissemination/dissemination.hpp>
#include <bergamotglade/detail/flow/flow_table.hpp>
#include <bergamotglade/detail/node/handover.hpp>

#include <deque>

namespace bergamotglade {

/// Identifies one execution of a request at the upstream.
using RunId = Number<struct RunIdTag>;

/// Result of executing a request at the upstream.
enum class RunEnd : std::uint8_t {
    Answered,
    NotSent, ///< no byte of the request was sent to the upstream
    Broken, ///< the connection failed after at least part of the request was sent
};

struct AgentSettings
{
    UpstreamId upstream;
    ServiceName service;
    FailureDomainId domain;
    Millis flowIdle {300'000}; ///< an idle flow is removed after this time
    std::size_t flowsMax = 1'000'000;
    std::size_t answerBytesMax = 64U << 20U; ///< total size of the stored answers of all flows
    Millis stopLinger {1500}; ///< a stopping agent keeps forwarding packets for at least this time
    Millis ledgerGrace {10'000}; ///< ledger retention of non-idempotent requests past deadline
    Millis repeatGrace {1000}; ///< ledger retention of idempotent requests past deadline
    Millis loadInterval {400}; ///< time between two load reports
    /// Number of peers that monitor this agent's reports: its successors in the ring of the
    /// service's agents, which is ordered by address. Suspect peers are not counted.
    std::size_t reportSuccessors = 2;
    std::size_t reportRandomPeers = 1; ///< random peers that also get each load report
    std::size_t queueMax = 256; ///< requests queued for the upstream
    double maxWaitShare = 0.5; ///< share of its remaining time that a request may be queued
    LimitSettings limit;
    PlacementSettings placement;
    Mechanisms mechanisms;
    /// Whether new flows are placed at less loaded peers and idempotent requests are lent to them;
    /// false in baseline experiments.
    bool offload = true;
};

struct AgentCounters
{
    std::uint64_t packets = 0;
    std::uint64_t flowsOpened = 0;
    std::uint64_t flowsPlaced = 0; ///< new flows forwarded to a less loaded peer
    std::uint64_t requestsLent = 0; ///< idempotent requests delegated to a less loaded peer
    std::uint64_t forwardedToOwner = 0; ///< packets forwarded to the owner of their flow
    std::uint64_t walked = 0; ///< packets forwarded to the next candidate
    std::uint64_t unclaimed = 0; ///< packets whose flow no reachable agent owns
    /// Packets and load reports for other services, and lent requests that are not idempotent.
    std::uint64_t wrongService = 0;
    std::uint64_t domainOut = 0; ///< packets refused because the failure domain is out
    std::uint64_t notReady = 0; ///< dropped because the view is unconfirmed after a start or pause
    std::uint64_t hopLimit = 0; ///< packets not passed on after HopsMax agents
    std::uint64_t runs = 0; ///< requests started at the upstream
    std::uint64_t answered = 0; ///< requests answered by the upstream
    std::uint64_t inTime = 0; ///< answered within the latency objective of the service
    std::uint64_t notRun = 0; ///< non-idempotent requests refused before they ran
    std::uint64_t refused = 0; ///< other attempts refused, after which a retry may succeed
    std::uint64_t unknown = 0; ///< requests that may have run but got no complete answer
    std::uint64_t repeats = 0; ///< attempts answered from the ledger
    std::uint64_t handedOver = 0; ///< flows whose successor acknowledged the hand-over
    std::uint64_t adopted = 0; ///< flows whose ownership was received in a hand-over
    std::uint64_t expiredInQueue = 0;
    std::uint64_t busyMs = 0; ///< total time the upstream spent on answered requests
};

struct AgentHooks
{
    std::function<void(const Endpoint &agent, const DataPacket &)> sendToAgent;
    std::function<void(const Endpoint &caller, const Response &)> sendToCaller;
    /// Completed by exactly one call of onRunEnd(), unless cancelled.
    std::function<void(RunId, const Request &, Millis remaining)> run;
    std::function<void(RunId)> cancel;
    std::function<void(const Endpoint &agent, const LoadReport &)> sendLoad;
    /// Acknowledged through onHandoverAck(), possibly never.
    std::function<void(const Endpoint &agent, const HandoverMessage &)> sendHandover;
};

/// State machine without I/O, driven by events that carry the current time.
class AgentNode
{
public:
    /// @param dissemination must outlive the node
    AgentNode(AgentSettings settings, Dissemination &dissemination, AgentHooks hooks,
              Random random);

    /// @name Events
    /// @{

    void onPacket(const Endpoint &sender, DataPacket packet, const Request &request, Instant now);
    void onRunEnd(RunId run, RunEnd end, Answer answer, Instant now);
    void onLoadReport(const LoadReport &report, Instant now);
    /// @return whether the message may be acknowledged. Flows that do not fit into the flow table
    /// are dropped, and the message is acknowledged nevertheless.
    bool onHandover(const HandoverMessage &message, Instant now);
    void onHandoverAck(const Endpoint &successor, std::uint64_t id, Instant now);
    /// @brief Call at least every 100 ms.
    void onTick(Instant now);
    /// @brief Starts a graceful stop: rejects new flows, hands flows over to successors and lets
    /// running requests complete.
    void stop(Instant now);

    /// @}
    /// @name State
    /// @{

    /// @brief Whether the process can exit without losing flows or requests.
    [[nodiscard]] bool isDrained(Instant now) const;
    [[nodiscard]] bool isDraining() const noexcept { return m_draining; }
    [[nodiscard]] std::size_t flowCount() const noexcept { return m_flows.size(); }
    [[nodiscard]] std::size_t ownedCount() const { return m_flows.owned().size(); }
    [[nodiscard]] std::size_t runningCount() const noexcept { return m_running.size(); }
    [[nodiscard]] std::size_t queuedCount() const noexcept { return m_queue.size(); }
    [[nodiscard]] const ConcurrencyLimit &limit() const noexcept { return m_limit; }
    [[nodiscard]] const AgentCounters &counters() const noexcept { return m_counters; }

    /// @}

private:
    /// A request that is queued or running at this agent.
    struct PendingRequest
    {
        Request request;
        Endpoint caller;
        /// Flow whose ledger holds the request; empty for a request lent by another agent.
        std::optional<FlowNonce> flow;
        Instant arrived;
        Instant deadline;
        Instant startedAt;
    };
    /// A hand-over message that awaits acknowledgement.
    struct Offer
    {
        Endpoint successor;
        HandoverMessage message;
        Instant sent; ///< time of the last transmission
    };

    /// @name Packet routing (agent_route.cpp)
    /// @{
    bool accepts(const DataPacket &packet, const Request &request, Instant now);
    void refuseDomainOut(const DataPacket &packet, const Request &request, Instant now);
    void onTokenPacket(DataPacket packet, const Request &request, Instant now);
    void onOwnedPacket(Flow &flow, const DataPacket &packet, const Request &request, Instant now);
    void onNonOwnedPacket(DataPacket packet, const Request &request, Instant now);
    /// Used only by tests that disable the owner check.
    void runWithoutOwnerCheck(const DataPacket &packet, const Request &request, Instant now);
    void onNewFlow(DataPacket packet, const Request &request, Instant now);
    void openFlow(const DataPacket &packet, const Request &request, Instant now);
    bool forwardTo(const Endpoint &agent, DataPacket &packet);
    bool forwardToNextCandidate(DataPacket &packet);
    [[nodiscard]] bool isReachable(const Endpoint &agent, Instant now) const;
    [[nodiscard]] bool mayStillAnswer(const Endpoint &agent) const;
    [[nodiscard]] bool isPlacementTarget(const Endpoint &agent, const DataPacket &packet,
                                         Instant now) const;
    [[nodiscard]] const ServiceTable *serviceTable();
    void refreshView();
    /// @}

    /// @name Request execution (agent_run.cpp)
    /// @{
    void serve(Flow &flow, const DataPacket &packet, const Request &request, Instant now);
    void replyWithVerdict(const Flow &flow, const Endpoint &caller, const Request &request,
                          Ledger::Verdict verdict);
    void serveLent(const DataPacket &packet, const Request &request, Instant now);
    bool lend(const DataPacket &packet, Instant now);
    void enqueue(PendingRequest pending, Instant now);
    void startQueued(Instant now);
    [[nodiscard]] bool admits(Instant now) const;
    void start(PendingRequest pending, Instant now);
    void expireRunning(Instant now);
    void updateOverdue(Instant now);
    void finish(const PendingRequest &pending, LedgerState state,
                std::shared_ptr<const Answer> answer);
    void refuse(const PendingRequest &pending, std::string reason, Instant now);
    void reply(const Endpoint &caller, const Request &request, const std::optional<FlowNonce> &flow,
               Outcome outcome, std::string reason, Millis retryAfter = Millis());
    void replyAnswer(const Endpoint &caller, const Request &request,
                     const std::optional<FlowNonce> &flow, const Answer &answer);
    [[nodiscard]] Response responseHead(const Request &request,
                                        const std::optional<FlowNonce> &flow) const;
    [[nodiscard]] LoadEstimate ownLoad(Instant now) const;
    /// Expected queueing time of a request that arrives now.
    [[nodiscard]] Millis expectedWait(Instant now) const;
    [[nodiscard]] Millis lentTimeout() const;
    [[nodiscard]] PendingRequest makePending(const Endpoint &caller, const Request &request,
                                             Instant now) const;
    /// @}

    /// @name Flow hand-over (agent_handover.cpp)
    /// @{
    void offerFlows(Instant now);
    [[nodiscard]] std::optional<Endpoint> successorOf(const Flow &flow, Instant now);
    [[nodiscard]] HandoverFlow exportFlow(const Flow &flow, Instant now) const;
    void storeOffered(const HandoverFlow &exported, std::uint64_t offer, Instant now);
    void commitFlow(FlowNonce nonce);
    void checkOfferTimeouts(Instant now);
    /// @}

    void startDraining(Instant now);
    void reportLoad(Instant now);
    /// @param forward true for the successors, which monitor this agent; false for the
    /// predecessors, which it monitors
    [[nodiscard]] std::vector<Endpoint> ringNeighbours(bool forward) const;

    AgentSettings m_settings;
    Dissemination &m_dissemination;
    AgentHooks m_hooks;
    Random m_random;
    Router m_router;
    FlowTable m_flows;
    ConcurrencyLimit m_limit;
    PeerLoadTable m_peerLoads;
    AgentCounters m_counters;
    std::deque<PendingRequest> m_queue;
    std::unordered_map<RunId, PendingRequest> m_running;
    std::unordered_map<std::uint64_t, Offer> m_offers;
    std::size_t m_answerBytes = 0;
    std::uint64_t m_nextRun = 1;
    std::uint64_t m_nextOffer = 1;
    Instant m_nextLoadReport;
    bool m_draining = false;
    bool m_stopping = false;
    Instant m_stoppedAt;

    /// State derived from the configuration document; updated when its revision changes.
    Revision m_viewRevision;
    std::shared_ptr<const Service> m_service;
    std::vector<Endpoint> m_servicePeers; ///< sorted
    std::unordered_map<Endpoint, FailureDomainId> m_peerDomains;
    Exclusion m_exclusion = Exclusion::None;
};

} // namespace bergamotglade
