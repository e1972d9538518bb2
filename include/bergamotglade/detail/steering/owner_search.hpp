/// @file
/// Search for the owners of flows that an agent does not own itself.
#pragma once

#include <bergamotglade/detail/node/packet.hpp>
#include <bergamotglade/detail/steering/possible_owners.hpp>
#include <bergamotglade/detail/steering/segment.hpp>
#include <bergamotglade/detail/steering/steering_event.hpp>

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>

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
    /// processes differ for a moment after a change. Left out if nothing has changed.
    Millis absenceConfirmationTime {150};
    /// A change of the possible owners is in force at all processes within this time.
    Millis listSettlingTime {3000};
    /// An agent whose upstream has departed and that left this many queries unanswered over
    /// departedTimeout is gone together with its upstream.
    std::uint32_t departedQueriesMin = 3;
    Millis departedTimeout {600};
    /// Minimum interval between two questions to one agent for its list of possible owners.
    Millis listQueryInterval {100};
    /// A list of possible owners of another agent is remembered for this long.
    Millis listTtl {30'000};
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
    /// Those of them that ended before absenceConfirmationTime.
    std::uint64_t searchesWithoutWait = 0;
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
    /// Possible owners of the flows of a route; null if there is no route.
    std::function<const PossibleOwners *(const Endpoint &route)> possibleOwners;
    /// Digest of those of them that no other agent had to name; 0 if there is no route.
    std::function<std::uint64_t(const Endpoint &route)> listedDigest;
    /// Time since which both lists have been the same.
    std::function<Instant(const Endpoint &route)> ownersUnchangedSince;
    /// Adds possible owners that another agent lists.
    std::function<void(const Endpoint &route, const std::vector<Endpoint> &agents, Instant)>
        addPossibleOwners;
    std::function<OwnUpstreamState(const FlowKey &, const PacketBytes &, Instant)> askOwnUpstream;
    std::function<void(const Endpoint &agent, const FlowQuery &)> sendQuery;
    std::function<void(const Endpoint &agent, const OwnersQuery &)> sendOwnersQuery;
    /// Sends a packet to the owner, which may be this agent.
    std::function<void(const Endpoint &agent, const PacketBytes &, Instant)> sendToOwner;
    std::function<void(const Endpoint &process, const FlowLocated &)> sendLocation;
    /// Called when it is proved that no upstream holds a flow.
    std::function<void(const FlowKey &, std::uint32_t callerAcknowledgement, Instant)> onAbsent;
    /// Whether the configuration view is recent enough to act on.
    std::function<bool(Instant)> mayAct;
    /// Asks the platform and other processes for a newer view. Called often, must limit itself.
    std::function<void(Instant now)> requestConfirmation;
    /// Whether the view contains all versions that the platform had acknowledged at `since`.
    std::function<bool(Instant since, Instant now)> isConfirmedSince;
    std::function<void(std::string_view decision, std::string_view reason, const FlowKey &,
                       const Endpoint &target, Instant now)>
        log;
};

/// State machine without I/O. Asks the possible owners of a flow, a few at a time, with a packet of
/// the flow; its owner delivers the packet and says so. A flow has no owner if all agents that any
/// of the asked agents lists have denied it, and the view contains all that the platform had
/// acknowledged when the search began: the owner may have got the flow under a version that none of
/// the asked agents knew. Keeps the locations that owners of long flows report and that earlier
/// searches found.
class OwnerSearch
{
public:
    OwnerSearch(const OwnerSearchSettings &settings, OwnerSearchHooks hooks);

    /// @brief Changes OwnerSearchSettings::locationTtl.
    void setLocationTtl(Millis ttl) { m_settings.locationTtl = ttl; }

    /// @brief Handles a packet of a flow that this agent does not own.
    /// @param origin process that sent the packet; it is told the owner
    /// @param isDenied the own upstream is known not to hold the flow
    void onPacket(const Segment &segment, const PacketBytes &bytes, const Endpoint &origin,
                  bool isDenied, Instant now);
    /// @brief Handles the answer of an agent, or of this agent for its own upstream.
    void onAnswer(const FlowAnswer &answer, Instant now);
    /// @brief Handles the list of possible owners of another agent.
    void onOwnersList(const OwnersList &list, Instant now);
    /// @brief Stores the owner of flows, as reported by it.
    void onLocations(const FlowLocations &locations, Instant now);
    /// @brief Must be called at least every 20 ms.
    void onTick(Instant now);
    /// @brief Call after a change or a confirmation of the configuration view.
    void onViewChange(Instant now);

    /// @brief Owner of a flow as far as known.
    [[nodiscard]] std::optional<Endpoint> locationOf(const FlowKey &flow) const;
    [[nodiscard]] bool isSearching(const FlowKey &flow) const { return m_searches.contains(flow); }
    [[nodiscard]] std::size_t locationCount() const noexcept { return m_locations.size(); }
    [[nodiscard]] const OwnerSearchCounters &counters() const noexcept { return m_counters; }

private:
    /// An agent that was asked and has not answered yet.
    struct Query
    {
        Endpoint agent;
        std::uint32_t sent = 0;
        Instant firstSentAt;
        Instant lastSentAt;
        Instant retryAt;
    };
    /// Identifies a list of possible owners. Two routes of the same services have lists with the
    /// same digest, but the agents of a list are added to its route only.
    struct ListId
    {
        Endpoint route;
        std::uint64_t digest = 0;

        friend auto operator<=>(const ListId &, const ListId &) = default;
    };
    /// The list of possible owners of an agent that denied the flow.
    struct ListOfAgent
    {
        std::uint64_t digest = 0;
        Endpoint agent;
    };
    struct Search
    {
        PacketBytes packet; ///< sent with each query
        std::uint32_t callerAcknowledgement = 0;
        bool packetHasData = false;
        std::vector<PacketBytes> held; ///< for the owner, once it is found
        std::vector<Endpoint> origins;
        std::optional<Endpoint> locatedOwner; ///< asked before all others
        bool ownUpstreamAsked = false;
        std::vector<Endpoint> order;
        std::size_t next = 0; ///< next element of `order` to be asked
        std::unordered_set<Endpoint> asked;
        std::vector<Query> unanswered;
        std::vector<ListOfAgent> denials; ///< one element for each digest
        std::uint64_t ownersDigest = 0; ///< of the possible owners in `order`
        Instant startedAt;
        Instant lastPacketAt;
        Instant dueAt; ///< nothing changes before, unless an answer arrives
        /// All have denied the flow, but a newer version may name further possible owners.
        bool awaitsConfirmation = false;
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
    /// @brief Asks the located owner and the own upstream, before all others.
    /// @return whether the search has to wait for one of them
    bool askLikelyOwners(const FlowKey &flow, Search &search, const PossibleOwners &owners,
                         Instant now);
    void askOthers(const FlowKey &flow, Search &search, const PossibleOwners &owners, Instant now);
    /// @brief Adds possible owners that have become known since the search began.
    static void addNewOwners(const FlowKey &flow, Search &search, const PossibleOwners &owners);
    /// @brief Whether all agents that any of the asked agents lists have denied the flow.
    bool isDeniedByAll(const FlowKey &flow, const Search &search, const PossibleOwners &owners,
                       Instant now);
    /// @brief Whether a search that all possible owners have denied needs no wait: every asked
    /// agent has answered, with the list of this agent, which has not changed lately.
    [[nodiscard]] bool isWaitNeedless(const FlowKey &flow, const Search &search, Instant now) const;
    void ask(const FlowKey &flow, Search &search, const Endpoint &agent, Instant now);
    /// @return false if it was the own upstream, which does not hold the flow
    bool sendQuery(const FlowKey &flow, const Search &search, Query &query, Instant now);
    void setDueTime(Search &search, Instant now) const;
    /// @brief Advances the searches that are due, and ends those without packets.
    void advanceDueSearches(Instant now);
    [[nodiscard]] bool isWaiting(const Query &query, Instant now) const;
    /// @brief Whether an agent whose upstream has departed has left enough queries unanswered.
    [[nodiscard]] bool isGone(const PossibleOwners &owners, const Query &query, Instant now) const;
    /// @brief Whether possibleOwners contains a list of another agent; if not, asks for the list.
    bool isListKnown(const Endpoint &route, const ListOfAgent &list, Instant now);
    void storeLocation(const FlowKey &flow, const Endpoint &owner, bool confirmed, Instant now);

    OwnerSearchSettings m_settings;
    OwnerSearchHooks m_hooks;
    Searches m_searches;
    std::unordered_map<FlowKey, Location> m_locations;
    std::deque<FlowTimer> m_locationTimers; ///< oldest first
    /// Lists of other agents that possibleOwners contains, with the time of their arrival.
    std::map<ListId, Instant> m_knownLists;
    /// Agents of lists of which parts are missing.
    std::map<ListId, std::unordered_set<Endpoint>> m_partialLists;
    /// Last questions for a list, by agent and route.
    std::map<std::pair<Endpoint, Endpoint>, Instant> m_listQueriedAt;
    OwnerSearchCounters m_counters;
};

} // namespace bergamotglade
