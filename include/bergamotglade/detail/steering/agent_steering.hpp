/// @file
/// Steering at an agent: owns the flows of its upstream and decides what the upstream gets.
#pragma once

#include <bergamotglade/detail/admission/load_board.hpp>
#include <bergamotglade/detail/admission/rate_limit.hpp>
#include <bergamotglade/detail/steering/directory.hpp>
#include <bergamotglade/detail/steering/flow_explanation.hpp>
#include <bergamotglade/detail/steering/opening_queue.hpp>
#include <bergamotglade/detail/steering/outcome_tracker.hpp>
#include <bergamotglade/detail/steering/owned_flow.hpp>
#include <bergamotglade/detail/steering/steering_event.hpp>

#include <deque>

namespace bergamotglade {

struct AgentSteeringSettings
{
    Endpoint self; ///< where other processes send packets
    Endpoint upstream; ///< where the upstream takes packets
    ServiceName service;
    FailureDomainId domain;
    Incarnation incarnation;
    /// An upstream answers an opening packet within a millisecond; later means that it is silent.
    Millis offerTimeout {40};
    /// A silent upstream is tried again with one new flow after this.
    Millis probeInterval {300};
    /// A caller that has not answered the upstream within this many usual round trips, and at
    /// least callerAnswerMin, at most callerAnswerMax, has given up and holds no slot.
    double callerAnswerFactor = 4;
    Millis callerAnswerMin {25};
    Millis callerAnswerMax {150};
    /// A request without a packet of either end for this long is not running any more.
    Millis busyTimeout {3000};
    /// Packets unanswered for this long make an upstream suspect: it gets one new flow as a probe
    /// though it seems full.
    Millis suspectTime {100};
    /// An upstream that left this many packets in a row unanswered, over crashTime, has crashed.
    std::uint32_t crashPackets = 3;
    Millis crashTime {400};
    /// Agents that one opening packet may pass before it must be taken or refused.
    std::uint8_t hopsMax = 4;
    /// Packets follow the note of a flow that was handed on only this far: two notes may point at
    /// each other.
    std::uint8_t noteHopsMax = 8;
    /// After the upstream refused a flow, the agent counts as full and hands openings on for this
    /// long, or until the upstream takes or answers a flow; then one goes to it as a probe.
    Millis refusing {300};
    /// Flows given to the upstream beyond its slots, as a share of them: a flow takes a round
    /// trip to its caller before it takes a slot.
    double handshakeShare = 0.25;
    /// And at least this many: after an outage some callers have left, their flows keep a place
    /// until callerAnswerMin has passed.
    double handshakeMin = 2;
    /// Flows that wait here for a slot, and for how long: callers give up after 1.4 s.
    std::size_t queueMax = 256;
    Millis queueTime {1300};
    /// Usual times that a request may take and still count as in time; work varies.
    double inTimeFactor = 1.5;
    /// A search that found no owner must fail twice, this far apart, before the flow is reset: the
    /// lists of two processes may differ for a moment.
    Millis searchAgain {150};
    Millis searchMemory {3000};
    /// Oldest flow that may exist: an agent that runs for longer knows all of its upstream's.
    Millis flowMax {60'000};
    Millis idle {15'000}; ///< a flow without packets is forgotten after this
    /// A stop waits for flows with a packet within this time: one retransmission of either end.
    Millis stopQuiet {1700};
    Millis endedLinger {2000}; ///< an ended flow is kept for late packets
    Millis reportInterval {150}; ///< between two load reports of a loaded upstream
    Millis calmReportInterval {450}; ///< and of one whose load is below calmUse
    double calmUse = 0.6;
    Millis reportMemory {2000}; ///< processes that sent a new flow within this get reports
    std::size_t reportTargetsMax = 48;
    /// A sender of a flow that waits or was handed on is told at once that it arrived, at most
    /// this often.
    Millis arrivalReport {20};
    /// Balancers are told where a flow is at most this often.
    Millis locationInterval {200};
    std::size_t flowsMax = 50'000;
    /// Slots of an upstream whose entry is not known yet.
    std::uint32_t slotsUnknown = 8;
    /// Ticks further apart mean that the process did not run: nothing is concluded from silence.
    Millis pause {200};
};

struct AgentSteeringCounters
{
    std::uint64_t delivered = 0;
    std::uint64_t returned = 0; ///< packets that the upstream would not take
    std::uint64_t opened = 0;
    std::uint64_t queued = 0; ///< new flows that had to wait for a slot
    std::uint64_t queueRefused = 0; ///< new flows reset because they waited for too long
    std::uint64_t handedOn = 0;
    std::uint64_t passedOn = 0; ///< packets of flows that are not owned here
    std::uint64_t resetUnclaimed = 0;
    std::uint64_t resetRefused = 0;
    std::uint64_t resetCrashed = 0;
    std::uint64_t silent = 0;
    std::uint64_t toCallers = 0;
    std::uint64_t upstreamSilences = 0;
    std::uint64_t brokenOff = 0; ///< requests that the upstream ended without an answer
};

struct AgentSteeringHooks
{
    std::function<void(const PacketBytes &)> toUpstream;
    std::function<void(const Endpoint &agent, const PacketBytes &)> toAgent;
    std::function<void(const Endpoint &caller, const PacketBytes &)> toCaller;
    std::function<void(const Endpoint &process, const LoadReport &)> report;
    std::function<void(const Endpoint &process, const FlowLocated &)> tellLocation;
    /// Every process that is known, for the announcements of the first seconds.
    std::function<std::vector<Endpoint>()> peers;
    std::function<bool(Instant)> mayAct;
    SteeringLog log;
};

/// State machine without I/O.
class AgentSteering
{
public:
    /// @param directory outlives the agent
    AgentSteering(AgentSteeringSettings settings, Directory &directory, PacketCodec codec,
                  AgentSteeringHooks hooks, Random random, Instant now);

    /// @brief A packet of a caller, from a balancer or another agent.
    void onCallerPacket(const Segment &segment, PacketBytes bytes, const Endpoint &from,
                        Instant now);
    /// @brief A packet that the upstream wrote or returned.
    void onUpstreamPacket(const Segment &segment, PacketBytes bytes, Instant now);
    void onLoadReport(const LoadReport &report, Instant now);
    /// @brief Call at least every 20 ms.
    void onTick(Instant now);
    /// @brief Takes no new flows from here on.
    void stop(Instant now);

    /// @brief Flows that a stop would cut.
    [[nodiscard]] std::size_t openCount(Instant now) const;
    [[nodiscard]] std::size_t flowCount() const noexcept { return m_flows.size(); }
    [[nodiscard]] LoadEstimate load(Instant now) const;
    [[nodiscard]] bool isUpstreamSilent() const noexcept { return m_silent; }
    /// @brief What is known of a flow; changes nothing.
    [[nodiscard]] FlowExplanation explain(const FlowKey &flow, Instant now) const;
    [[nodiscard]] const AgentSteeringCounters &counters() const noexcept { return m_counters; }

private:
    struct Sender
    {
        Instant seen;
        Instant reported;
    };
    struct FailedSearch
    {
        Instant first;
        Instant last;
    };

    void onOpening(const Segment &segment, PacketBytes bytes, const Endpoint &from, Instant now);
    void onContinuation(const Segment &segment, PacketBytes bytes, Instant now);
    void handleUpstreamPacket(const Segment &segment, PacketBytes bytes, Instant now);
    void onReturned(const Segment &segment, PacketBytes bytes, Instant now);
    [[nodiscard]] std::string_view whyNotHere(const RouteEntry &route, const Trail &trail,
                                              Instant now);
    [[nodiscard]] bool coldAdmits(Instant now);
    [[nodiscard]] std::vector<Endpoint> otherTakers(const RouteEntry &route) const;
    void onOutcome(bool answered, Instant now);
    [[nodiscard]] bool isRefusing(Instant now) const;
    [[nodiscard]] bool isFull() const;
    [[nodiscard]] bool isSuspect(Instant now) const;
    [[nodiscard]] bool takesProbe(Instant now);
    [[nodiscard]] std::optional<Endpoint> betterPeer(Instant now) const;
    void enqueue(const Segment &segment, PacketBytes bytes, const RouteEntry &route, Instant now);
    void refuseQueued(const QueuedOpening &opening, std::string_view reason, Instant now);
    void serveQueue(Instant now);
    void take(const FlowKey &key, const Trail &trail, const PacketBytes &bytes, Instant now);
    void handOn(const FlowKey &key, PacketBytes bytes, Trail trail, std::string_view reason,
                std::uint32_t acknowledgement, Instant now);
    void passOn(const Segment &segment, PacketBytes bytes, std::string_view reason, Instant now);
    void follow(const Endpoint &agent, const Segment &segment, PacketBytes bytes, Instant now);
    void onUnclaimed(const Segment &segment, const Trail &trail, Instant now);
    void deliver(const PacketBytes &bytes, Instant now);
    void reset(const FlowKey &key, std::uint32_t acknowledgement, std::string_view reason,
               Instant now);
    void setBusy(OwnedFlow &flow, bool busy, Instant now);
    /// @brief Frees the slot of a request whose end nobody saw: its time says nothing.
    void clearBusy(OwnedFlow &flow);
    void onUpstreamHeard(Instant now);
    void onPause(Instant now);
    void checkOffers(Instant now);
    void checkCrash(Instant now);
    void checkAccepted(Instant now);
    [[nodiscard]] Millis callerAnswerTime() const;
    void setWaiting(OwnedFlow &flow, bool waiting);
    void checkIncarnation(Instant now);
    [[nodiscard]] std::vector<Endpoint> reportTargets(Instant now);
    void forgetOld(Instant now);
    void sendReports(Instant now, bool atOnce);
    void reportTo(const Endpoint &sender, Instant now);
    [[nodiscard]] LoadReport makeReport(Instant now) const;
    void tellLocation(const FlowKey &key, OwnedFlow &flow, Instant now);
    void drop(const FlowKey &key);
    [[nodiscard]] bool mayHoldUnknown(Instant now) const;
    [[nodiscard]] std::uint32_t slots() const;
    void note(std::string_view decision, std::string_view reason, const FlowKey &flow,
              const Endpoint &target, Instant now);

    AgentSteeringSettings m_settings;
    Directory &m_directory;
    PacketCodec m_codec;
    AgentSteeringHooks m_hooks;
    Random m_random;
    LoadBoard m_board;
    RateLimit m_coldLimit;
    OpeningQueue m_queue;
    OutcomeTracker m_outcomes;
    std::unordered_map<FlowKey, OwnedFlow> m_flows;
    std::deque<FlowKey> m_sweep;
    std::deque<TimedFlow> m_offered; ///< flows given to the upstream, oldest first
    std::deque<TimedFlow> m_accepted; ///< flows that wait for the caller's answer, oldest first
    std::unordered_map<FlowKey, FailedSearch> m_failedSearches;
    std::unordered_map<Endpoint, Sender> m_senders; ///< processes that sent new flows lately
    std::uint32_t m_busy = 0;
    std::uint32_t m_waiting = 0; ///< flows given to the upstream that are not open yet
    double m_serviceTimeMs = 0;
    double m_callerAnswerMs = 0; ///< smoothed time from the upstream's answer to the caller's
    bool m_stopping = false;
    bool m_silent = false; ///< the upstream leaves packets unanswered
    bool m_crashed = false;
    std::uint32_t m_unanswered = 0;
    Instant m_unansweredSince;
    Instant m_probeAt;
    /// When the upstream last refused a flow, until it takes or answers one.
    std::optional<Instant> m_refusedAt;
    Instant m_startedAt;
    Instant m_nextReport;
    Instant m_lastTick;
    std::optional<std::uint64_t> m_upstreamStart;
    AgentSteeringCounters m_counters;
};

} // namespace bergamotglade
