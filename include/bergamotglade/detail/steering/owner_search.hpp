/// @file
/// Search for the owners of flows that an agent does not own itself.
#pragma once

#include <bergamotglade/detail/node/packet.hpp>
#include <bergamotglade/detail/steering/possible_owners.hpp>
#include <bergamotglade/detail/steering/segment.hpp>
#include <bergamotglade/detail/steering/steering_event.hpp>

#include <deque>
#include <optional>
#include <unordered_map>

namespace bergamotglade {

/// Timeouts and limits of the searches of one agent.
struct OwnerSearchSettings
{
    Endpoint self; ///< the searching agent
    /// Number of agents asked at the same time.
    std::size_t parallelQueries = 8;
    /// An agent that has not answered within this time is taken as unreachable for now; the next
    /// one is asked. It is asked again after twice the time, and so on, up to queryRetryMax.
    Millis queryTimeout {40};
    Millis queryRetryMax {400};
    /// A flow has no owner only if this has passed since its search began: the lists of two
    /// processes differ for a moment after a change.
    Millis absenceConfirmationTime {250};
    /// An agent whose upstream has departed and that left this many queries unanswered over
    /// departedTimeout is gone together with its upstream.
    std::uint32_t departedQueriesMin = 3;
    Millis departedTimeout {600};
    Millis searchTtl {3000}; ///< a search ends this long after the caller's last packet
    std::size_t searchesMax = 4096;
    /// Packets kept per search for the owner; a caller has at most 16 in flight.
    std::size_t heldPacketsMax = 16;
    std::size_t originsMax = 4; ///< processes that one search reports the owner to
    Millis locationTtl {60'000}; ///< a location is forgotten after this
    std::size_t locationsMax = 100'000;
    /// Packets are sent to a located owner without a query if it has confirmed the flow within this
    /// time.
    Millis locationTrustTime {1000};
    /// Minimum interval, per flow, between two messages about a known owner.
    Millis locationInterval {200};
};

/// Totals since the start of the process, exported as metrics.
struct OwnerSearchCounters
{
    std::uint64_t searches = 0;
    std::uint64_t queriesSent = 0;
    std::uint64_t ownersFound = 0;
    std::uint64_t ownersAbsent = 0; ///< searches that proved that nobody owns the flow
    std::uint64_t packetsDropped = 0; ///< packets for which a limit left no room
};

/// Whether the own upstream holds a flow.
enum class OwnUpstreamState : std::uint8_t {
    NotHeld,
    Asked, ///< it got the packet; onAnswer() follows if it returns the packet or sends one
    Unreachable,
};

/// Output and queries of the searches.
struct OwnerSearchHooks
{
    /// Possible owners of a flow; null if it has no route.
    std::function<const PossibleOwners *(const FlowKey &)> possibleOwners;
    std::function<OwnUpstreamState(const FlowKey &, const PacketBytes &, Instant)> askOwnUpstream;
    std::function<void(const Endpoint &agent, const FlowQuery &)> sendQuery;
    /// Adds former owners of a flow that another agent knows to possibleOwners.
    std::function<void(const FlowKey &, const std::vector<FormerOwner> &, Instant)> learnOwners;
    /// Sends a packet to the owner, which may be this agent.
    std::function<void(const Endpoint &agent, const PacketBytes &, Instant)> sendToOwner;
    std::function<void(const Endpoint &process, const FlowLocated &)> sendLocation;
    /// Called when it is proved that no upstream holds a flow.
    std::function<void(const FlowKey &, std::uint32_t callerAcknowledgement, Instant)> onAbsent;
    /// Whether the configuration view is recent enough to act on.
    std::function<bool(Instant)> mayAct;
    std::function<void(std::string_view decision, std::string_view reason, const FlowKey &,
                       const Endpoint &target, Instant now)>
        log;
};

/// State machine without I/O. Asks the possible owners of a flow, a few at a time, with a packet of
/// the flow; its owner delivers the packet and says so. Keeps the locations that owners of long
/// flows report and that earlier searches found.
class OwnerSearch
{
public:
    OwnerSearch(OwnerSearchSettings settings, OwnerSearchHooks hooks);

    /// @brief Handles a packet of a flow that this agent does not own.
    /// @param origin process that sent the packet; it is told the owner
    /// @param isDenied the own upstream is known not to hold the flow
    void onPacket(const Segment &segment, const PacketBytes &bytes, const Endpoint &origin,
                  bool isDenied, Instant now);
    /// @brief Handles the answer of an agent, or of this agent for its own upstream.
    void onAnswer(const FlowAnswer &answer, Instant now);
    /// @brief Stores the owner of flows, as reported by it.
    void onLocations(const FlowLocations &locations, Instant now);
    /// @brief Must be called at least every 20 ms.
    void onTick(Instant now);

    /// @brief Owner of a flow as far as known.
    [[nodiscard]] std::optional<Endpoint> locationOf(const FlowKey &flow) const;
    [[nodiscard]] bool isSearching(const FlowKey &flow) const { return m_searches.contains(flow); }
    [[nodiscard]] std::size_t locationCount() const noexcept { return m_locations.size(); }
    [[nodiscard]] const OwnerSearchCounters &counters() const noexcept { return m_counters; }

private:
    struct Query
    {
        std::uint32_t sent = 0;
        Instant firstSentAt;
        Instant lastSentAt;
        Instant retryAt;
        /// Digest of the possible owners at the agent that answered "not mine".
        std::optional<std::uint64_t> deniedWithDigest;
    };
    struct Search
    {
        PacketBytes packet; ///< sent with each query
        std::uint32_t callerAcknowledgement = 0;
        bool packetHasData = false;
        std::vector<PacketBytes> held; ///< for the owner, once it is found
        std::vector<Endpoint> origins;
        std::optional<Endpoint> locatedOwner; ///< asked before all others
        std::vector<Endpoint> order;
        std::uint64_t digest = 0;
        std::unordered_map<Endpoint, Query> queries;
        Instant startedAt;
        Instant lastPacketAt;
    };
    struct Location
    {
        Endpoint owner;
        Instant storedAt;
        Instant confirmedAt; ///< last answer of the owner
        Instant toldAt;
    };
    using Searches = std::unordered_map<FlowKey, Search>;

    void startSearch(const Segment &segment, const PacketBytes &bytes, const Endpoint &origin,
                     bool isDenied, Instant now);
    void addPacket(Search &search, const Segment &segment, const PacketBytes &bytes,
                   const Endpoint &origin, Instant now);
    /// @brief Asks further agents or concludes the search.
    /// @return whether the search has ended
    bool advance(const FlowKey &flow, Search &search, Instant now);
    /// @brief Asks only `agent` until it answers.
    /// @return whether the search has to wait for it
    bool waitFor(const FlowKey &flow, Search &search, const Endpoint &agent, Instant now);
    void sendQuery(const FlowKey &flow, Search &search, const Endpoint &agent, Instant now);
    [[nodiscard]] bool isOutstanding(const Query &query, Instant now) const;
    /// @brief Whether an agent whose upstream has departed has left enough queries unanswered.
    [[nodiscard]] bool isGone(const PossibleOwner &owner, const Search &search, Instant now) const;
    /// @brief Whether the agent has denied the flow and lists the same possible owners.
    [[nodiscard]] static bool hasDenied(const Search &search, const Endpoint &agent);
    void storeLocation(const FlowKey &flow, const Endpoint &owner, bool confirmed, Instant now);

    OwnerSearchSettings m_settings;
    OwnerSearchHooks m_hooks;
    Searches m_searches;
    std::unordered_map<FlowKey, Location> m_locations;
    std::deque<FlowTimer> m_locationTimers; ///< oldest first
    OwnerSearchCounters m_counters;
};

} // namespace bergamotglade
