/// @file
/// Steering at an agent: owns the flows of its upstream and decides which new flows the upstream
/// receives.
#pragma once

#include <bergamotglade/detail/admission/peer_load_table.hpp>
#include <bergamotglade/detail/admission/priority_load.hpp>
#include <bergamotglade/detail/admission/queue_drain.hpp>
#include <bergamotglade/detail/admission/rate_limit.hpp>
#include <bergamotglade/detail/admission/route_turns.hpp>
#include <bergamotglade/detail/steering/directory.hpp>
#include <bergamotglade/detail/steering/flow_explanation.hpp>
#include <bergamotglade/detail/steering/opening_queue.hpp>
#include <bergamotglade/detail/steering/outcome_tracker.hpp>
#include <bergamotglade/detail/steering/owned_flow.hpp>
#include <bergamotglade/detail/steering/owner_search.hpp>
#include <bergamotglade/detail/steering/steering_event.hpp>
#include <bergamotglade/detail/steering/unrouted_flows.hpp>

#include <deque>

namespace bergamotglade {

/// Addresses, timeouts and limits of an agent.
struct AgentSteeringSettings
{
    Endpoint self; ///< address at which other processes reach this agent
    Endpoint upstream; ///< address at which the upstream receives packets
    ServiceName service;
    FailureDomainId domain;
    Incarnation incarnation;
    /// An upstream answers an opening packet within a millisecond; one that takes longer than this
    /// is considered silent.
    Millis offerTimeout {40};
    /// Interval between probes of a silent upstream; each probe is one new flow.
    Millis probeInterval {300};
    /// A caller that has not acknowledged the upstream's answer within this multiple of the average
    /// acknowledgement time, limited to callerAckTimeoutMin and callerAckTimeoutMax, is taken to
    /// have given up and its flow no longer counts against the slots.
    double callerAckTimeoutFactor = 4;
    Millis callerAckTimeoutMin {25};
    Millis callerAckTimeoutMax {150};
    /// A request is no longer counted as running or arriving after this long without a packet from
    /// either end.
    Millis requestIdleTimeout {3000};
    /// Maximum number of requests per slot that are still arriving; beyond it the upstream counts
    /// as full for new flows.
    std::uint32_t arrivingPerSlotMax = 16;
    /// An upstream that leaves at least crashUnansweredMin consecutive packets unanswered for this
    /// long is suspect: it gets one new flow per probeInterval as a probe even if it appears to be
    /// full.
    Millis suspectTimeout {100};
    /// A silent upstream that leaves at least this many consecutive packets unanswered for at least
    /// crashTimeout is connected to. It has crashed if it refuses the connection.
    std::uint32_t crashUnansweredMin = 3;
    Millis crashTimeout {400};
    /// Minimum interval between two connections to a silent upstream.
    Millis connectionInterval {1000};
    /// Maximum number of times that agents hand off one opening packet; the next agent accepts the
    /// flow or resets it.
    std::uint8_t openingHopsMax = 4;
    /// Maximum number of hops of a packet that is redirected to the agent that its flow was handed
    /// off to: two agents may redirect a flow to each other.
    std::uint8_t redirectHopsMax = 8;
    /// After the upstream refused a flow, the agent reports itself as full and, if another agent
    /// accepts flows, hands off opening packets for this long, or until the upstream accepts a flow
    /// or answers a request. The next flow after that time is a probe.
    Millis refusalBackoff {300};
    /// Maximum number of flows given to the upstream in excess of its slots, as a share of the
    /// slots: a flow needs a round trip to its caller before it occupies a slot.
    double handshakeAllowanceShare = 0.25;
    /// Lower limit of that number: after an outage some callers have given up, and their flows
    /// count until the acknowledgement timeout, at least callerAckTimeoutMin, has passed.
    double handshakeAllowanceMin = 2;
    std::size_t queueMax = 256; ///< maximum number of flows that wait for a slot
    /// A queued flow is reset this long after the caller's first opening packet: callers give up
    /// after 1.4 s.
    Millis queueTimeout {1300};
    /// Without this much observation, which takes about half a second of waiting, nothing is
    /// refused early: the rate of upstreams that have just started predicts nothing.
    Millis drainObservationMin {400};
    /// Expected arrivals count only once flows have waited for this long: the backlog after an
    /// outage is served within seconds, and callers that are refused meanwhile use up their tries.
    Millis sustainedOverload {3000};
    /// Share of the flows that leave the queue that each waiting route gets at least.
    double routeFloorShare = 0.1;
    /// A full agent hands a flow off only on a load report that is at most this old.
    Millis handOffReportAgeMax {500};
    /// A peer has clearly less waiting if it has at most this share of the own queue.
    double handOffQueueShare = 0.5;
    /// The dispatch deadline of a queued flow leaves this multiple of the average service time for
    /// the request, because service times vary.
    double serviceTimeFactor = 1.5;
    /// Upper limit of a flow's lifetime: an agent that has run for longer knows all flows of its
    /// upstream.
    Millis flowLifetimeMax {60'000};
    /// The whole system has started for the first time, together with this agent: no flow is older.
    bool isFirstStart = false;
    /// A flow that has been open for this long is reported to its homes. Most flows end before.
    Millis locationReportAge {300};
    std::size_t locationsPerMessage = 50;
    std::size_t ownersPerMessage = 100; ///< agents in one part of a list of possible owners
    /// A question to the upstream and its result are forgotten after this.
    Millis upstreamQueryTtl {10'000};
    /// Minimum interval between two packets with which the upstream is asked for one flow.
    Millis upstreamQueryInterval {200};
    std::size_t upstreamQueriesMax = 4096;
    /// A flow without packets is kept for at least this long, even if a shorter idle timeout is
    /// configured: no packet is seen while the upstream works on a long request.
    Millis idleTimeoutMin {15'000};
    /// A stopping agent waits for flows that had a packet within this time, which covers one
    /// retransmission by either end.
    Millis drainIdleTimeout {1700};
    Millis closedFlowTtl {2000}; ///< a closed flow is kept for this long, for late packets
    /// A restarted upstream is asked for at most this many flows per interval: it is slower after
    /// its start, and new flows go to it at the same time.
    std::size_t restartQueriesPerInterval = 50;
    Millis restartQueryInterval {20};
    /// Minimum interval, per flow, between two resets of a flow of which the upstream returns
    /// packets: callers send up to 16 packets at once and retransmit after 200 ms.
    Millis returnedResetInterval {100};
    /// Interval between load reports.
    Millis reportInterval {150};
    /// Interval between load reports while the load is below lowLoadUtilization, the upstream is
    /// neither silent nor failing, and the agent is not draining.
    Millis lowLoadReportInterval {450};
    double lowLoadUtilization = 0.6; ///< a utilization below this is low load
    /// Processes that sent a new flow within this time receive load reports.
    Millis senderTtl {2000};
    /// Maximum number of recipients of one load report.
    std::size_t reportTargetsMax = 48;
    /// Minimum interval, per sender, between the load reports that tell it at once that its flow
    /// arrived and was queued or handed off.
    Millis arrivalReportInterval {20};
    /// Minimum interval, per flow, between the messages that tell a sender of its packets the agent
    /// that it was handed to.
    Millis locationInterval {200};
    /// New flows are handed off while the flow table holds at least this many flows.
    std::size_t flowsMax = 50'000;
    /// Slots assumed for an upstream whose entry is not known yet.
    std::uint32_t defaultSlots = 8;
    /// A longer interval between two ticks means that the process was paused: timeouts that passed
    /// meanwhile are not taken as failures.
    Millis pauseThreshold {200};
    UnroutedFlowsSettings unrouted;
};

/// Totals since the start of the process, exported as metrics.
struct AgentSteeringCounters
{
    std::uint64_t packetsDelivered = 0;
    /// Packets that the upstream returned: it refused the flow or does not hold it.
    std::uint64_t packetsReturned = 0;
    std::uint64_t flowsOffered = 0;
    std::uint64_t flowsQueued = 0; ///< new flows that had to wait for a slot
    /// New flows reset because the queue was full or they waited too long.
    std::uint64_t queuedFlowsReset = 0;
    /// New flows reset on arrival: their turn is expected after their callers give up.
    std::uint64_t flowsRefusedOnArrival = 0;
    /// Queued flows reset for the same reason before the queue timeout.
    std::uint64_t flowsRefusedWaiting = 0;
    std::uint64_t flowsHandedOff = 0;
    /// Packets of flows that this agent does not own, redirected or taken into a search.
    std::uint64_t packetsPassedOn = 0;
    std::uint64_t resetsWithoutOwner = 0;
    std::uint64_t resetsNotAccepted = 0; ///< new flows reset because no agent accepted them
    std::uint64_t resetsAfterCrash = 0;
    /// Flows that were open here, reset because the upstream returned a packet of them.
    std::uint64_t resetsOfReturnedFlows = 0;
    /// The same after a question to the restarted upstream, with flows that it reset in answer.
    std::uint64_t resetsAfterRestart = 0;
    std::uint64_t upstreamConnections = 0; ///< connections made to silent upstreams
    std::uint64_t packetsDropped = 0; ///< packets of callers dropped without a reset
    std::uint64_t packetsToCallers = 0;
    std::uint64_t upstreamSilences = 0; ///< times that the upstream became silent
    std::uint64_t requestsUnanswered = 0; ///< requests that the upstream ended without an answer
};

/// Output and queries of an agent, supplied by the process.
struct AgentSteeringHooks
{
    std::function<void(const PacketBytes &)> sendToUpstream;
    /// Connects to the port of the upstream and reports whether the connection was refused, which
    /// proves that no process listens there.
    std::function<void(std::function<void(bool refused, Instant)> done)> connectToUpstream;
    std::function<void(const Endpoint &agent, const PacketBytes &)> sendToAgent;
    std::function<void(const Endpoint &caller, const PacketBytes &)> sendToCaller;
    std::function<void(const Endpoint &process, const LoadReport &)> sendLoadReport;
    std::function<void(const Endpoint &process, const FlowLocated &)> sendFlowLocation;
    std::function<void(const Endpoint &agent, const FlowQuery &)> sendFlowQuery;
    std::function<void(const Endpoint &agent, const FlowAnswer &)> sendFlowAnswer;
    std::function<void(const Endpoint &agent, const FlowLocations &)> sendFlowLocations;
    std::function<void(const Endpoint &agent, const OwnersQuery &)> sendOwnersQuery;
    std::function<void(const Endpoint &agent, const OwnersList &)> sendOwnersList;
    /// All known processes; they receive the load reports until the directory has settled.
    std::function<std::vector<Endpoint>()> knownProcesses;
    /// Whether the configuration view is recent enough to act on.
    std::function<bool(Instant)> mayAct;
    /// See UnroutedFlowsHooks.
    std::function<void(Instant now)> requestConfirmation;
    std::function<bool(Instant since, Instant now)> isConfirmedSince;
    SteeringLog log;
};

/// State machine without I/O.
class AgentSteering
{
public:
    /// @param directory must outlive the agent
    AgentSteering(AgentSteeringSettings settings, Directory &directory, PacketCodec codec,
                  AgentSteeringHooks hooks, Random random, Instant now);

    /// @brief Handles a packet of a caller, received from a balancer or another agent.
    void onCallerPacket(const Segment &segment, PacketBytes bytes, const Endpoint &from,
                        Instant now);
    /// @brief Handles a packet that the upstream wrote or returned.
    void onUpstreamPacket(const Segment &segment, PacketBytes bytes, Instant now);
    void onLoadReport(const LoadReport &report, Instant now);
    /// @brief Answers whether the upstream holds the flow of a packet, and delivers it if so.
    /// @param segment the decoded packet
    void onFlowQuery(const FlowQuery &query, const Segment &segment, Instant now);
    void onFlowAnswer(const FlowAnswer &answer, Instant now) { m_search.onAnswer(answer, now); }
    void onOwnersQuery(const OwnersQuery &query);
    void onOwnersList(const OwnersList &list, Instant now) { m_search.onOwnersList(list, now); }
    void onFlowLocations(const FlowLocations &locations, Instant now)
    {
        m_search.onLocations(locations, now);
    }
    /// @brief Must be called at least every 20 ms.
    void onTick(Instant now);
    /// @brief Call after a change or a confirmation of the configuration view.
    void onViewChange(Instant now)
    {
        m_search.onViewChange(now);
        m_unrouted.resolve(now);
    }
    /// @brief Stops accepting new flows.
    void startDraining(Instant now);
    /// @brief Changes AgentSteeringSettings::flowLifetimeMax. The directory has its own, see
    /// Directory::setFlowLifetimeMax().
    /// @param lifetime positive
    void setFlowLifetimeMax(Millis lifetime);

    /// @brief Number of queued and active flows that would be cut if the process ended now.
    [[nodiscard]] std::size_t activeFlowCount(Instant now) const;
    [[nodiscard]] std::size_t flowCount() const noexcept { return m_flows.size(); }
    /// @brief Load of the upstream; one that refused a flow within refusalBackoff appears full.
    [[nodiscard]] LoadEstimate load(Instant now) const;
    [[nodiscard]] bool isUpstreamSilent() const noexcept { return m_upstreamSilent; }
    /// @brief Number of requests that have arrived completely and are not answered.
    [[nodiscard]] std::uint32_t runningRequests() const noexcept { return m_runningRequests; }
    /// @brief Number of requests of which a part has not arrived.
    [[nodiscard]] std::uint32_t arrivingRequests() const noexcept { return m_arrivingRequests; }
    /// @brief What this process knows of a flow; changes no state.
    [[nodiscard]] FlowExplanation explain(const FlowKey &flow, Instant now) const;
    [[nodiscard]] const AgentSteeringCounters &counters() const noexcept { return m_counters; }
    /// @brief Longest expected wait of a queued flow that is kept.
    [[nodiscard]] Millis queueExpected() const noexcept { return m_queueExpected; }
    [[nodiscard]] const OwnerSearch &ownerSearch() const noexcept { return m_search; }
    [[nodiscard]] const UnroutedFlows &unroutedFlows() const noexcept { return m_unrouted; }

private:
    /// Queued flows that go before a flow, itself included.
    struct QueuePosition
    {
        double inOrder = 0;
        double beforeLate = 0; ///< those that go before it once it is late
        double inRoute = 0; ///< those of its route
    };
    struct Sender
    {
        Instant lastSeen;
        Instant lastReported;
        bool confirmationDue = false; ///< a report waits for arrivalReportInterval
    };
    /// The upstream was asked for a flow that this agent does not know.
    struct UpstreamQuery
    {
        std::vector<Endpoint> askers; ///< agents that wait for the answer
        /// The upstream does not hold the flow. It would only if this agent offered it.
        bool denied = false;
        Instant firstAskedAt;
        Instant lastAskedAt;
    };

    void onOpening(const Segment &segment, PacketBytes bytes, const Endpoint &from, Instant now);
    void onContinuation(const Segment &segment, PacketBytes bytes, const Endpoint &from,
                        Instant now);
    /// @brief Delivers a packet of a flow that this agent owns.
    void deliver(const Segment &segment, OwnedFlow &flow, const PacketBytes &bytes, Instant now);
    void handleUpstreamPacket(const Segment &segment, PacketBytes bytes, Instant now);
    void onReturned(const Segment &segment, PacketBytes bytes, Instant now);
    /// @brief Resets a flow that was open here and that the upstream does not hold any more.
    /// @param segment the packet that the upstream returned
    void resetReturnedFlow(const Segment &segment, OwnedFlow &flow, Instant now);
    /// @brief Why this agent does not accept a new flow; empty if it does. Accepting a flow as a
    /// probe delays the next probe.
    [[nodiscard]] std::string_view rejectionReason(const RouteEntry &route, const Trail &trail,
                                                   Instant now);
    [[nodiscard]] bool admitsWhileCold(Instant now);
    [[nodiscard]] std::vector<Endpoint> otherAcceptingAgents(const RouteEntry &route) const;
    void onRequestOutcome(bool answered, Instant now);
    [[nodiscard]] bool isUpstreamRefusing(Instant now) const;
    /// @brief Whether the upstream gets no further flow of a priority.
    [[nodiscard]] bool isUpstreamFull(std::uint32_t priority) const;
    /// @brief Whether its running requests and handshakes of all priorities exceed what it queues.
    [[nodiscard]] bool isUpstreamQueueFull() const;
    [[nodiscard]] double handshakeAllowance() const;
    [[nodiscard]] std::uint32_t priorityOf(const FlowKey &flow) const;
    [[nodiscard]] bool isUpstreamSuspect(Instant now) const;
    /// @brief Whether the upstream is suspect and may get a new flow now, as a probe. Returning
    /// true delays the next probe.
    [[nodiscard]] bool claimProbe(Instant now);
    [[nodiscard]] std::optional<Endpoint> lessLoadedPeer(const RouteEntry &route,
                                                         Instant now) const;
    void enqueue(const Segment &segment, PacketBytes bytes, const RouteEntry &route, Instant now);
    void resetQueued(const QueuedOpening &opening, std::string_view reason, Millis expected,
                     Instant now);
    void processQueue(Instant now);
    /// @brief Resets the queued flows whose turn is expected after their callers give up.
    void refuseUnservableFlows(Instant now);
    /// @brief Whether early refusal applies: the route has an objective, or priorities differ.
    [[nodiscard]] bool usesAdmission(const FlowKey &flow) const;
    /// @brief Expected time until the turn of a flow; nullopt without enough observation.
    [[nodiscard]] std::optional<Millis>
    expectedWait(const QueuedOpening &opening, const QueuePosition &position, Instant now) const;
    /// @brief The next flow that the upstream gets, if there is room for it.
    /// @param isTurn set if the flow is due for the least share of its route
    std::optional<QueuedOpening> takeNext(bool &isTurn, Instant now);
    void offerToUpstream(const FlowKey &key, const Trail &trail, const PacketBytes &bytes,
                         Instant now);
    /// @brief Sends an opening packet to another agent of the route, or resets the flow if there is
    /// none.
    void handOffOpening(const FlowKey &key, PacketBytes bytes, Trail trail, std::string_view reason,
                        std::uint32_t acknowledgement, Instant now,
                        std::optional<Endpoint> target = std::nullopt);
    /// @brief Searches for the owner of a flow with one of its packets.
    /// @param isDenied the upstream is known not to hold the flow
    void searchOwner(const Segment &segment, const PacketBytes &bytes, const Endpoint &origin,
                     bool isDenied, std::string_view reason, Instant now);
    /// @brief Redirects a packet to the agent that its flow was handed off to.
    void followRedirect(const Endpoint &agent, const Segment &segment, PacketBytes bytes,
                        const Endpoint &from, Instant now);
    /// @brief Tells a process that sent a packet of a flow which agent owns it.
    void sendFlowLocation(const Endpoint &process, const Endpoint &owner, const FlowKey &key,
                          OwnedFlow &flow, Instant now);
    [[nodiscard]] OwnerSearchHooks searchHooks();
    /// @brief Holds a packet of a flow that cannot be handled without its route.
    void holdUnrouted(const Segment &segment, PacketBytes bytes, const Endpoint &from, Instant now);
    [[nodiscard]] UnroutedFlowsHooks unroutedHooks();
    [[nodiscard]] OwnUpstreamState askUpstream(const FlowKey &flow, const PacketBytes &bytes,
                                               std::optional<Endpoint> asker, Instant now);
    /// @brief Ends the questions for a flow, with the upstream's packet as the proof.
    void answerUpstreamQuery(const FlowKey &flow, bool owned, Instant now);
    [[nodiscard]] FlowAnswer makeAnswer(const FlowKey &flow, bool owned) const;
    /// @brief Possible owners of the flows of a route; null if there is no route.
    [[nodiscard]] const PossibleOwners *possibleOwnersOf(const Endpoint &route) const;
    [[nodiscard]] std::uint64_t listedDigestOf(const Endpoint &route) const;
    /// @brief Tells the homes of the flows that have become long their owner.
    void reportLocations(Instant now);
    /// @param needsAnswer whether a running upstream answers the packet, or a retransmission of it
    void sendToUpstream(const PacketBytes &bytes, bool needsAnswer, Instant now);
    void sendReset(const FlowKey &key, std::uint32_t acknowledgement, std::string_view reason,
                   Instant now, Millis expectedWait = {});
    void updateRequestCounts(const OwnedFlow &flow, RequestStage before);
    /// @brief Follows the arrival of a request with a packet of the caller.
    void onRequestData(const Segment &segment, OwnedFlow &flow, Instant now);
    void onUpstreamAcknowledgement(const Segment &segment, OwnedFlow &flow, Instant now);
    /// @brief Ends the request of a flow and adds its duration to the average service time.
    void finishRequest(OwnedFlow &flow, Instant now);
    /// @brief Forgets a running or arriving request whose end was not observed; its duration is not
    /// added to the average service time.
    void clearRequestRunning(OwnedFlow &flow);
    void checkArrivingRequests(Instant now);
    [[nodiscard]] bool isArrivalLimitReached() const;
    void onUpstreamResponse(Instant now);
    void onProcessPause(Instant now);
    void checkOfferTimeouts(Instant now);
    void checkUpstreamCrash(Instant now);
    void onUpstreamCrash(Instant now);
    void checkCallerAckTimeouts(Instant now);
    [[nodiscard]] Millis callerAckTimeout() const;
    void setHandshaking(OwnedFlow &flow, bool handshaking);
    void checkUpstreamRestart(Instant now);
    /// @brief Remembers the open flows that the restarted upstream is to be asked for.
    void collectRestartQueries();
    /// @brief Asks the restarted upstream for some of these flows.
    void sendRestartQueries(Instant now);
    /// @brief Handles a packet of a flow that the restarted upstream was asked for.
    void recordRestartAnswer(const Segment &segment, OwnedFlow &flow, Instant now);
    [[nodiscard]] std::vector<Endpoint> loadReportTargets(Instant now);
    void expireFlows(Instant now);
    void sendLoadReports(Instant now, bool force);
    /// @brief Sends a load report at once to the sender of a flow that was queued or handed off.
    void confirmArrival(const Endpoint &sender, Instant now);
    /// @brief Sends the reports that arrivalReportInterval has delayed.
    void sendDueConfirmations(Instant now);
    [[nodiscard]] LoadReport makeLoadReport(Instant now) const;
    void eraseFlow(const FlowKey &key);
    /// @brief Whether the upstream may hold flows from before this agent's start.
    [[nodiscard]] bool mayHoldUnknownFlows(Instant now) const;
    [[nodiscard]] std::uint32_t slots() const;
    void logDecision(std::string_view decision, std::string_view reason, const FlowKey &flow,
                     const Endpoint &target, Instant now, Millis expectedWait = {});

    AgentSteeringSettings m_settings;
    Directory &m_directory;
    PacketCodec m_codec;
    AgentSteeringHooks m_hooks;
    Random m_random;
    PeerLoadTable m_peerLoads;
    RateLimit m_coldLimit; ///< limits new flows while the upstream is cold
    OpeningQueue m_queue;
    QueueDrain m_drain;
    RouteTurns m_turns;
    PriorityLoad m_loadByPriority;
    Millis m_queueExpected {}; ///< longest expected wait of a queued flow
    OutcomeTracker m_outcomes;
    std::unordered_map<FlowKey, OwnedFlow> m_flows;
    std::deque<FlowKey> m_expiryQueue; ///< order in which flows are checked for expiry
    std::deque<FlowTimer> m_offerTimers; ///< flows given to the upstream, oldest first
    /// Flows that wait for the caller's acknowledgement, oldest first.
    std::deque<FlowTimer> m_callerAckTimers;
    std::deque<FlowTimer> m_locationTimers; ///< open flows not yet reported to their homes
    std::unordered_map<FlowKey, UpstreamQuery> m_upstreamQueries;
    std::deque<FlowKey> m_restartQueries; ///< flows that the restarted upstream is asked for
    Instant m_nextRestartQueriesAt;
    OwnerSearch m_search;
    UnroutedFlows m_unrouted;
    /// Processes that recently sent new flows.
    std::unordered_map<Endpoint, Sender> m_recentSenders;
    std::uint32_t m_runningRequests = 0;
    std::uint32_t m_arrivingRequests = 0;
    /// Flows whose requests are still arriving, and some whose requests have arrived since the last
    /// tick.
    std::vector<FlowKey> m_arrivingFlows;
    bool m_wasArrivalLimitReached = false;
    std::uint32_t m_handshakes = 0; ///< number of flows with `handshaking` set
    double m_serviceTimeMs = 0; ///< average time that a request runs; 0 if not known yet
    /// Average time from the upstream's answer to the caller's acknowledgement; 0 if not known yet.
    double m_callerAckMs = 0;
    bool m_draining = false;
    bool m_upstreamSilent = false; ///< the upstream does not answer packets
    /// The upstream refused a connection while it was silent, and has sent no packet since.
    bool m_upstreamCrashed = false;
    /// Packets that need an answer, sent to the upstream since its last packet.
    std::uint32_t m_unansweredPackets = 0;
    Instant m_unansweredSince; ///< when the first of these packets was sent
    Instant m_nextConnectionAt; ///< a silent upstream is not connected to before this
    Instant m_nextProbeAt; ///< a silent or suspect upstream gets no probe before this
    /// Time of the upstream's last refusal; cleared when it accepts or answers a flow.
    std::optional<Instant> m_lastRefusal;
    Instant m_startedAt;
    Instant m_nextReportAt;
    Instant m_lastTick;
    std::optional<std::uint64_t> m_upstreamStartedAt;
    AgentSteeringCounters m_counters;
};

} // namespace bergamotglade
