/// @file
/// What a steered deployment publishes: routes, upstreams and failure domains, one section each.
#pragma once

#include <bergamotglade/detail/config/store.hpp>

#include <string>
#include <vector>

namespace bergamotglade {

/// Section names of upstreams and failure domains begin so; the routes are the root.
inline constexpr std::string_view UpstreamPrefix = "upstream/";
inline constexpr std::string_view DomainPrefix = "domain/";

/// One service of a route and its share of new flows.
struct WeightedService
{
    ServiceName name;
    Weight weight;

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

/// Where new flows to one address go.
struct RouteEntry
{
    Endpoint address;
    std::vector<WeightedService> services;
    Millis target {}; ///< latency objective of the requests inside; 0 states none
    std::uint32_t priority = 0; ///< 0 is the highest
};

/// Limits of one service.
struct ServicePolicy
{
    ServiceName name;
    /// Flows a second that a cold upstream bears; 0 states no limit.
    double coldPerSecond = 0;
};

/// All routes of one version.
struct RouteDocument
{
    std::uint64_t version = 0;
    std::vector<RouteEntry> routes;
    std::vector<ServicePolicy> services;
};

/// One upstream as it registered itself.
struct UpstreamEntry
{
    UpstreamId id;
    ServiceName service;
    FailureDomainId domain;
    Endpoint agent; ///< where its agent takes packets
    Endpoint address; ///< where it takes packets itself
    std::uint32_t slots = 1; ///< requests at once
    bool leaving = false;
    Millis coldFor {}; ///< time that it stays cold, counted from when the entry was read
    std::uint64_t startedAt = 0; ///< wall time of its start, tells one life from the next
};

/// @name Text form (JSON) of the sections
/// @{

[[nodiscard]] std::string encode(const RouteDocument &document);
[[nodiscard]] std::string encode(const UpstreamEntry &entry);
/// @brief Reads what encode() wrote.
/// @return the document; ErrorCode::BadJson names what is wrong
[[nodiscard]] Result<RouteDocument> decodeRoutes(std::string_view text);
[[nodiscard]] Result<UpstreamEntry> decodeUpstream(std::string_view text);

/// @}

} // namespace bergamotglade
