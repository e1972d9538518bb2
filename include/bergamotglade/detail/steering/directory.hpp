/// @file
/// Routes and upstreams of a steered deployment, as one process knows them.
#pragma once

#include <bergamotglade/detail/routing/candidates.hpp>
#include <bergamotglade/detail/steering/entries.hpp>

#include <map>
#include <optional>
#include <unordered_map>

namespace bergamotglade {

/// One upstream and what the directory derives from its entry.
struct KnownUpstream
{
    UpstreamEntry entry;
    Instant coldUntil;
    /// Its entry expired around an outage of the platform; gone unless it comes back by then.
    Instant goneAt;
    /// Known from its agent only; its entry is missing.
    bool announced = false;
};

/// Times of the directory.
struct DirectorySettings
{
    /// Failure domain whose upstreams are preferred; none prefers nobody.
    FailureDomainId home;
    /// An entry that expired around an outage stays in use for this long; registrations are back
    /// about two seconds after the platform is.
    Millis lapseGrace {2200};
    /// Services that a route had within this time may still hold flows of it.
    Millis formerServices {60'000};
    /// After the first routes came, upstreams that agents announce count for this long: their
    /// entries may have expired, and are back about two seconds after the platform is.
    Millis settling {2500};
};

/// What an agent says of the upstream beside it.
struct Announcement
{
    ServiceName service;
    FailureDomainId domain;
    Endpoint agent;
    Endpoint address;
    std::uint32_t slots = 1;
};

/// Applies sections and answers look-ups; no I/O. View and ServiceTable are shared with the
/// message interface.
class Directory
{
public:
    explicit Directory(DirectorySettings settings = {});

    /// @brief Applies one section.
    /// @return findings; an error means that the section names nothing usable
    Findings take(const SectionChange &change, Instant now);
    /// @brief Takes an agent's word for an upstream that is not registered, while the directory
    /// of a process that has just started may lack entries.
    /// @return whether anything changed
    bool announce(const Announcement &announcement, Instant now);
    /// @brief Whether missing entries are to be taken as gone.
    [[nodiscard]] bool isSettled(Instant now) const;
    /// @brief Whether an upstream is known from its agent only: holders() then ranks it by another
    /// name than processes that have its entry.
    [[nodiscard]] bool hasAnnounced() const;
    /// @brief Removes entries whose grace has passed.
    /// @return whether anything changed
    bool expire(Instant now);

    /// @brief The route of an address, or null.
    [[nodiscard]] const RouteEntry *routeAt(const Endpoint &address) const;
    /// @brief The service that a new flow of a route goes to, by the weights of its split.
    [[nodiscard]] static ServiceName serviceFor(const RouteEntry &route, const FlowKey &flow);
    /// @brief Candidates of a service's new flows; null where no upstream of it takes any.
    [[nodiscard]] const ServiceTable *table(const ServiceName &service) const;
    /// @brief As table(), of the upstreams in the home failure domain only.
    [[nodiscard]] const ServiceTable *homeTable(const ServiceName &service) const;
    /// @brief Agents that may hold a flow of a route, in the order in which they are asked.
    /// @complexity n log n in the upstreams of the route's services
    [[nodiscard]] std::vector<Endpoint> holders(const RouteEntry &route, const FlowKey &flow) const;
    /// @brief Whether a flow of the route may be opened at the service.
    [[nodiscard]] static bool allows(const RouteEntry &route, const ServiceName &service);

    /// @brief The upstream at an address, or null.
    [[nodiscard]] const KnownUpstream *upstreamAt(const Endpoint &address) const;
    /// @brief The upstream beside an agent, or null.
    [[nodiscard]] const KnownUpstream *upstreamOf(const Endpoint &agent) const;
    /// @brief Whether new flows may be sent to an upstream.
    [[nodiscard]] bool takesFlows(const KnownUpstream &upstream) const;
    /// @brief Flows a second that a cold upstream of the service bears; 0 states no limit.
    [[nodiscard]] double coldPerSecond(const ServiceName &service) const;
    [[nodiscard]] bool isOut(const FailureDomainId &domain) const { return m_view.isOut(domain); }
    [[nodiscard]] bool hasRoutes() const noexcept { return m_version.has_value(); }
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version.value_or(0); }
    [[nodiscard]] std::size_t routeCount() const noexcept { return m_routes.size(); }
    [[nodiscard]] const std::map<UpstreamId, KnownUpstream> &upstreams() const noexcept
    {
        return m_upstreams;
    }

private:
    struct Former
    {
        ServiceName service;
        Instant until;
    };

    Findings takeRoutes(const SectionChange &change, Instant now);
    Findings takeUpstream(const SectionChange &change, Instant now);
    void takeDomain(const SectionChange &change);
    void erase(const UpstreamId &id);
    void rebuild(const ServiceName &service);
    void rebuildAll();
    void rebuildTable(std::map<ServiceName, ServiceTable> &tables,
                      const std::shared_ptr<const Service> &service);

    DirectorySettings m_settings;
    std::optional<std::uint64_t> m_version;
    Instant m_routesSince;
    std::unordered_map<Endpoint, RouteEntry> m_routes;
    std::unordered_map<Endpoint, std::vector<Former>> m_former;
    std::unordered_map<ServiceName, double> m_coldPerSecond;
    std::map<UpstreamId, KnownUpstream> m_upstreams;
    std::unordered_map<Endpoint, UpstreamId> m_byAddress;
    std::unordered_map<Endpoint, UpstreamId> m_byAgent;
    View m_view;
    std::map<ServiceName, ServiceTable> m_tables;
    std::map<ServiceName, ServiceTable> m_homeTables;
};

} // namespace bergamotglade
