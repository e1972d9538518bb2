/// @file
/// Steering at a balancer: places new flows and sends packets to the agents that own theirs.
#pragma once

#include <bergamotglade/detail/admission/load_board.hpp>
#include <bergamotglade/detail/steering/directory.hpp>
#include <bergamotglade/detail/steering/flow_explanation.hpp>
#include <bergamotglade/detail/steering/segment.hpp>
#include <bergamotglade/detail/steering/steering_event.hpp>

#include <deque>

namespace bergamotglade {

struct BalancerSteeringSettings
{
    /// An opening packet without an answer is offered elsewhere after this; round trips to
    /// callers take a few milliseconds.
    Millis offerTimeout {80};
    /// Agents that one flow is offered to, copies of the caller included.
    std::uint8_t offersMax = 3;
    /// Upstreams of the own failure domain are preferred while their load, with the new flow, is at
    /// most this share of their slots: bytes between failure domains are dear.
    double homeUse = 0.7;
    /// An agent that left an offer unanswered gets no new flows for this long, unless it reports.
    Millis doubt {1500};
    /// Flows remembered; the oldest are forgotten first.
    std::size_t flowsMax = 100'000;
    /// A flow without packets is forgotten after this.
    Millis idle {15'000};
    /// Opening packets kept while no routes or no upstreams are known, and for how long: callers
    /// give up after 1.4 s.
    std::size_t heldMax = 4096;
    Millis heldMaxAge {1300};
    /// Ticks further apart mean that the process did not run: nothing is concluded from silence.
    Millis pause {200};
};

struct BalancerSteeringCounters
{
    std::uint64_t forwarded = 0;
    std::uint64_t placed = 0;
    std::uint64_t reoffered = 0;
    std::uint64_t searched = 0;
    std::uint64_t resetNoRoute = 0;
    std::uint64_t resetNoUpstream = 0;
    std::uint64_t held = 0; ///< opening packets kept until something is known
    std::uint64_t silent = 0; ///< dropped without an answer: nothing certain is known
};

struct BalancerSteeringHooks
{
    std::function<void(const Endpoint &agent, const PacketBytes &)> forward;
    std::function<void(const Endpoint &caller, const PacketBytes &)> reset;
    /// Whether the view of the configuration may be acted on.
    std::function<bool(Instant)> mayAct;
    SteeringLog log;
};

/// State machine without I/O. The table of flows is soft: whatever it lacks is searched for.
class BalancerSteering
{
public:
    /// @param directory outlives the balancer
    BalancerSteering(BalancerSteeringSettings settings, Directory &directory, PacketCodec codec,
                     BalancerSteeringHooks hooks, Random random);

    void onPacket(const Segment &segment, PacketBytes bytes, Instant now);
    void onLoadReport(const LoadReport &report, Instant now);
    /// @brief The owner of a flow has named itself.
    void onFlowLocated(const FlowLocated &located, Instant now);
    /// @brief Call at least every 20 ms.
    void onTick(Instant now);

    /// @brief What is known of a flow; changes nothing.
    [[nodiscard]] FlowExplanation explain(const FlowKey &flow, Instant now) const;
    [[nodiscard]] const BalancerSteeringCounters &counters() const noexcept { return m_counters; }
    [[nodiscard]] std::size_t flowCount() const noexcept { return m_flows.size(); }

private:
    struct Placed
    {
        Endpoint agent;
        std::vector<Endpoint> tried;
        Instant seen;
        Instant offeredAt;
        bool confirmed = false; ///< the caller has answered the upstream
        bool searching = false; ///< the owner is not known
        PacketBytes opening;
    };

    void open(const Segment &segment, PacketBytes bytes, Instant now);
    void hold(const Segment &segment, PacketBytes bytes, Instant now);
    void placeHeld(Instant now);
    void offer(const FlowKey &key, const RouteEntry &route, Placed &flow, std::string_view reason,
               Instant now);
    void search(const Segment &segment, const RouteEntry &route, PacketBytes bytes, Instant now);
    void refuse(const Segment &segment, std::string_view reason, Instant now);
    [[nodiscard]] std::optional<Endpoint> choose(const FlowKey &key, const RouteEntry &route,
                                                 const std::vector<Endpoint> &tried, Instant now);
    [[nodiscard]] std::optional<Endpoint> bestCandidate(const ServiceTable &table,
                                                        const FlowKey &key,
                                                        const std::vector<Endpoint> &tried,
                                                        Instant now) const;
    [[nodiscard]] std::optional<Endpoint> leastLoaded(const std::vector<Endpoint> &agents,
                                                      Instant now) const;
    [[nodiscard]] bool hasArrived(const Placed &flow) const;
    [[nodiscard]] bool isDoubted(const Endpoint &agent, Instant now) const;
    void note(std::string_view decision, std::string_view reason, const FlowKey &flow,
              const Endpoint &target, Instant now);
    void checkOffers(Instant now);
    void onPause(Instant now);
    void forgetIdle(Instant now);

    BalancerSteeringSettings m_settings;
    Directory &m_directory;
    PacketCodec m_codec;
    BalancerSteeringHooks m_hooks;
    LoadBoard m_board;
    std::unordered_map<FlowKey, Placed> m_flows;
    std::deque<TimedFlow> m_offered; ///< flows that wait for the caller's next packet
    struct Held
    {
        Segment segment;
        PacketBytes bytes;
        Instant since;
        Instant newestAt; ///< when the newest copy came
    };
    std::unordered_map<FlowKey, Held> m_held;
    std::deque<FlowKey> m_sweep; ///< order in which flows are looked at for expiry
    std::unordered_map<Endpoint, Instant> m_doubtedUntil;
    Instant m_lastTick;
    BalancerSteeringCounters m_counters;
};

} // namespace bergamotglade
