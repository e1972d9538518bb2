/// @file
/// Routes and upstreams of a steered deployment, as known to one process.
#pragma once

#include <bergamotglade/detail/routing/candidates.hpp>
#include <bergamotglade/detail/steering/entries.hpp>
#include <bergamotglade/detail/steering/possible_owners.hpp>

#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace bergamotglade {

/// An upstream's entry and the state derived from it.
struct KnownUpstream
{
    UpstreamEntry entry;
    /// The upstream is cold until then: it gets new flows at a limited rate, see
    /// Directory::coldFlowRate().
    Instant coldUntil;
    /// Set when the entry lapsed, that is, expired around an outage of the platform: the upstream
    /// is removed at this time unless its entry returns. Instant() if the entry has not lapsed.
    Instant removeAt;
    /// The upstream is not registered; `entry` was filled from its agent's announcement.
    bool announced = false;
    Revision revision; ///< revision of the entry; zero if announced
};

struct DirectorySettings
{
    /// Failure domain whose upstreams are preferred; empty for no preference.
    FailureDomainId homeDomain;
    /// A lapsed entry remains in use for this long; upstreams register again within about two
    /// seconds of the platform's return.
    Millis lapsedEntryGrace {2200};
    /// Maximum lifetime of a flow. The agents of an upstream that has departed, and those of a
    /// service that was removed from a route, may own flows for this long.
    Millis flowLifetimeMax {60'000};
    /// The whole system has started for the first time, together with this process: no flow was
    /// opened under earlier routes.
    bool isFirstStart = false;
    /// The directory has settled this long after the first routes arrived. Until then upstreams are
    /// also used if they are only announced: their entries may have expired, and upstreams register
    /// again within about two seconds of the platform's return.
    Millis settlingTime {2500};
    /// A failure domain that is out stays out for this long if the first snapshot of a restored
    /// platform lacks it: its operator writes it again, at no stated time. New flows into a domain
    /// that is out break a rule, while these seconds without the domain only cost capacity.
    Millis evacuationRewriteGrace {10'000};
    /// An incarnation that was removed while it was leaving is remembered for this long.
    Millis leftIncarnationMemory {60'000};
};

/// An agent's description of its upstream.
struct Announcement
{
    ServiceName service;
    FailureDomainId domain;
    Endpoint agent;
    Endpoint address;
    std::uint32_t slots = 1;
};

/// Applies configuration sections and answers look-ups; performs no I/O. ConfigView and
/// ServiceTable are the same classes that balancers and agents use without steering.
class Directory
{
public:
    explicit Directory(DirectorySettings settings = {});

    /// @brief Applies one section.
    /// @return findings; an error means that the section contains nothing usable
    Findings applySection(const SectionChange &change, Instant now);
    /// @brief Whether the change holds routes of a lower version than the routes in force. Versions
    /// only rise, so such routes come from an old copy of the platform's contents.
    [[nodiscard]] static bool isOlderRoutes(const SectionChange &offered,
                                            const std::string &inForce);
    /// @brief Adds an upstream that its agent announces, unless its address is known already.
    /// Ignored once the directory has settled, because no entries are missing from then on.
    /// @return whether the directory changed
    bool announce(const Announcement &announcement, Instant now);
    /// @brief Changes DirectorySettings::flowLifetimeMax; also counts for what is remembered by
    /// now.
    /// @param lifetime positive
    void setFlowLifetimeMax(Millis lifetime, Instant now);
    /// @brief Whether the entries are complete, so that an upstream without an entry is gone.
    [[nodiscard]] bool isSettled(Instant now) const;
    /// @brief Removes announced upstreams once settled, and lapsed entries, former services and
    /// departed upstreams whose time has passed; takes failure domains in that were missing.
    /// @return whether an upstream was removed or a failure domain taken in
    bool expire(Instant now);

    /// @brief Returns the route of an address, or null.
    [[nodiscard]] const RouteEntry *routeByAddress(const Endpoint &address) const;
    /// @brief Whether a version known here has dropped the route of an address within the lifetime
    /// of a flow and no later one has added it again.
    [[nodiscard]] bool wasRouteDropped(const Endpoint &address) const
    {
        return m_droppedRoutes.contains(address);
    }
    /// @brief Selects the service of a new flow according to the weights of the route.
    /// @return nullopt if all weights are 0
    [[nodiscard]] static std::optional<ServiceName> serviceFor(const RouteEntry &route,
                                                               const FlowKey &flow);
    /// @brief Returns the candidates for new flows of a service; null if none of its upstreams
    /// accepts new flows.
    [[nodiscard]] const ServiceTable *serviceTable(const ServiceName &service) const;
    /// @brief Like serviceTable(), limited to the upstreams of the home failure domain.
    [[nodiscard]] const ServiceTable *homeServiceTable(const ServiceName &service) const;
    /// @brief Agents that may own flows of a route: those of its upstreams and former services, of
    /// departed upstreams, and those that other agents listed. For the lifetime of a flow after the
    /// first routes, unless at the first start, those of all other services as well: the route may
    /// have had one of them.
    /// @return valid until the directory changes
    /// @complexity constant; n log n in the upstreams at the first call after a change
    [[nodiscard]] const PossibleOwners &possibleOwners(const RouteEntry &route) const;
    /// @brief The same without those that only other agents listed and those of other services.
    [[nodiscard]] const PossibleOwners &listedOwners(const RouteEntry &route) const;
    /// @brief Time since which possibleOwners() and listedOwners() have contained the same agents.
    /// It may be later than the last change, never earlier.
    [[nodiscard]] Instant ownersUnchangedSince(const RouteEntry &route) const;
    /// @brief Adds possible owners that another agent lists. This process cannot know them if it
    /// has started after the change that removed them from the configuration.
    void addPossibleOwners(const Endpoint &route, const std::vector<Endpoint> &agents, Instant now);
    /// @brief Whether the route names the service, whatever its weight, so that upstreams of the
    /// service may own open flows of the route.
    [[nodiscard]] static bool namesService(const RouteEntry &route, const ServiceName &service);
    /// @brief Whether new flows of the route go to the service: its weight is above 0.
    [[nodiscard]] static bool sendsNewFlowsTo(const RouteEntry &route, const ServiceName &service);

    /// @brief Returns the upstream at an address, or null.
    [[nodiscard]] const KnownUpstream *upstreamByAddress(const Endpoint &address) const;
    /// @brief Returns the upstream of an agent, or null.
    [[nodiscard]] const KnownUpstream *upstreamByAgent(const Endpoint &agent) const;
    /// @brief Whether the upstream accepts new flows: it is not leaving, and its failure domain is
    /// not out.
    [[nodiscard]] bool acceptsNewFlows(const KnownUpstream &upstream) const;
    /// @brief Whether the upstream accepts new flows of the route: it accepts new flows, and the
    /// route sends them to its service.
    [[nodiscard]] bool acceptsNewFlows(const KnownUpstream &upstream,
                                       const RouteEntry &route) const;
    /// @brief New flows per second that a cold upstream of the service accepts; 0 means no limit.
    [[nodiscard]] double coldFlowRate(const ServiceName &service) const;
    /// @brief Whether the upstream is cold, so that coldFlowRate() limits its new flows.
    [[nodiscard]] bool isCold(const KnownUpstream &upstream, Instant now) const;
    /// @brief Idle time after which the owner of a flow may forget it: the longest that was
    /// configured within the lifetime of a flow, so that two changes in quick succession end no
    /// flow. At most the lifetime of a flow, as long as that is not lowered.
    [[nodiscard]] Millis flowIdleTimeout() const;
    [[nodiscard]] bool isOut(const FailureDomainId &domain) const { return m_view.isOut(domain); }
    [[nodiscard]] bool hasRoutes() const noexcept { return m_version.has_value(); }
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version.value_or(0); }
    /// @brief Whether routes state different priorities.
    [[nodiscard]] bool prioritiesDiffer() const noexcept { return m_prioritiesDiffer; }
    [[nodiscard]] std::size_t routeCount() const noexcept { return m_routes.size(); }
    [[nodiscard]] const std::map<UpstreamId, KnownUpstream> &upstreams() const noexcept
    {
        return m_upstreams;
    }

private:
    struct FormerService
    {
        ServiceName service;
        Instant until;
    };

    struct FormerIdleTimeout
    {
        Millis timeout;
        Instant until;
    };
    struct OwnersOfRoute
    {
        PossibleOwners listed;
        PossibleOwners all;
    };
    /// Digests of the possible owners of a route, and the time since which they have been the same.
    struct OwnersHistory
    {
        std::uint64_t listed = 0;
        std::uint64_t all = 0;
        Instant unchangedSince;
    };
    struct DepartedUpstream
    {
        ServiceName service;
        Endpoint agent;
        Instant until;
    };

    Findings applyRoutes(const SectionChange &change, Instant now);
    /// @brief One warning for each remark of the document and for each route whose weights are all
    /// 0.
    [[nodiscard]] Findings routeFindings(const RouteDocument &document,
                                         const SectionName &section) const;
    void applyFlowIdleTimeout(Instant now);
    Findings applyUpstream(const SectionChange &change, Instant now);
    void applyDomain(const SectionChange &change, Instant now);
    /// @brief Whether the incarnation of an entry is known to be leaving or to have left.
    [[nodiscard]] bool isKnownLeaving(const UpstreamEntry &entry) const;
    /// @brief Remembers the known incarnation of an upstream if it is leaving.
    void rememberLeft(const UpstreamId &id, Instant now);
    /// @return whether a failure domain was taken in
    bool expireMissingDomains(Instant now);
    /// @brief Adds or replaces an upstream, unless another one has the better claim to its agent.
    /// @return whether the upstream is in use
    bool claimAgent(KnownUpstream upstream, Instant now);
    /// @brief Keeps an entry whose agent another upstream uses.
    void displace(KnownUpstream upstream);
    /// @brief Whether a claim to an agent is at least as good as another one.
    [[nodiscard]] bool comesBefore(const KnownUpstream &a, const KnownUpstream &b) const;
    /// @brief Lets upstreams whose claims have become the better ones take their agents.
    void reviewClaims(Instant now);
    /// @brief Whether the configuration names the service.
    [[nodiscard]] bool isServiceNamed(const ServiceName &service) const;
    void insertUpstream(KnownUpstream upstream);
    void removeUpstream(const UpstreamId &id, Instant now);
    /// @brief Removes an upstream, and its claim to an agent that another upstream uses. The next
    /// claim to its agent takes effect.
    void eraseUpstream(const UpstreamId &id, Instant now);
    void addDeparted(const UpstreamEntry &entry, Instant now);
    /// @brief Discards the results of possibleOwners(), which may change now.
    void discardOwners(Instant now);
    [[nodiscard]] const OwnersOfRoute &ownersOf(const RouteEntry &route) const;
    [[nodiscard]] OwnersOfRoute collectOwners(const RouteEntry &route) const;
    void rebuildTables(const ServiceName &service);
    void rebuildAllTables();
    void buildTable(std::map<ServiceName, ServiceTable> &tables,
                    const std::shared_ptr<const Service> &service);

    DirectorySettings m_settings;
    std::optional<std::uint64_t> m_version;
    Instant m_firstRoutesAt;
    /// Services that a route had before this process started may still own flows.
    bool m_mayLackFormerServices = false;
    std::unordered_map<Endpoint, RouteEntry> m_routes;
    /// Addresses whose routes were dropped, with the time until which this is remembered.
    std::unordered_map<Endpoint, Instant> m_droppedRoutes;
    bool m_prioritiesDiffer = false;
    std::unordered_map<Endpoint, std::vector<FormerService>> m_formerServices;
    std::unordered_map<ServiceName, double> m_coldFlowRates;
    std::unordered_set<ServiceName> m_namedServices; ///< services of the configuration
    std::optional<Millis> m_configuredIdleTimeout;
    Millis m_flowIdleTimeout; ///< in force now
    std::vector<FormerIdleTimeout> m_formerIdleTimeouts; ///< longer ones
    std::map<UpstreamId, KnownUpstream> m_upstreams;
    /// Entries whose agents are used by upstreams with better claims. Entries of other writers may
    /// name addresses of upstreams.
    std::map<UpstreamId, KnownUpstream> m_displaced;
    std::unordered_map<Endpoint, UpstreamId> m_byAddress;
    std::unordered_map<Endpoint, UpstreamId> m_byAgent;
    std::vector<DepartedUpstream> m_departed;
    /// Agents that other agents listed, by route, with the time until which they may own flows.
    std::unordered_map<Endpoint, std::map<Endpoint, Instant>> m_ownersOfOthers;
    /// Results of possibleOwners(), by route; cleared at every change.
    mutable std::unordered_map<Endpoint, OwnersOfRoute> m_possibleOwners;
    /// Failure domains that are out until then, although the restored platform lacks them.
    std::map<SectionName, Instant> m_missingDomains;
    /// Incarnations that were removed while they were leaving, by id and start time.
    std::map<std::pair<UpstreamId, std::uint64_t>, Instant> m_leftIncarnations;
    Instant m_ownersDiscardedAt;
    /// By route; compared whenever possibleOwners() is computed anew.
    mutable std::unordered_map<Endpoint, OwnersHistory> m_ownersHistory;
    /// Each service and each failure domain is a section of its own in the view. No two define the
    /// same name, so all can have the same order.
    static constexpr std::size_t SectionOrder = 1;
    ConfigView m_view;
    std::map<ServiceName, ServiceTable> m_tables;
    std::map<ServiceName, ServiceTable> m_homeTables;
};

} // namespace bergamotglade
