/// @file
/// Configuration sections of a steered deployment: routes, upstreams and failure domains.
#pragma once

#include <bergamotglade/detail/config/store.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bergamotglade {

/// Prefixes of the section names of upstreams and failure domains; the routes are the root section.
inline constexpr std::string_view UpstreamPrefix = "upstream/";
inline constexpr std::string_view DomainPrefix = "domain/";

/// A service of a route and its share of new flows.
struct WeightedService
{
    ServiceName name;
    Weight weight;

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

/// The services that receive the new flows to one address.
struct RouteEntry
{
    Endpoint address;
    std::vector<WeightedService> services;
    Millis latencyObjective {}; ///< latency objective of requests; 0 if there is none
    std::uint32_t priority = 0; ///< 0 is the highest
};

struct ServicePolicy
{
    ServiceName name;
    /// New flows per second that a cold upstream accepts; 0 means no limit.
    double coldFlowsPerSecond = 0;
};

/// All routes of one version.
struct RouteDocument
{
    std::uint64_t version = 0;
    std::vector<RouteEntry> routes;
    std::vector<ServicePolicy> services;
    /// A flow that has been idle for longer may be forgotten; absent if none is configured.
    std::optional<Millis> flowIdleTimeout;
    /// Problems found while the document was translated that do not make it invalid.
    std::vector<std::string> remarks;
};

/// Begins the text of a section whose source could not be translated; the reason follows.
inline constexpr std::string_view UntranslatedPrefix = "unreadable item: ";

/// Longest duration that an entry may state.
inline constexpr Millis EntryDurationMax = std::chrono::hours(24);

/// An upstream's registration.
struct UpstreamEntry
{
    UpstreamId id;
    ServiceName service;
    FailureDomainId domain;
    Endpoint agent; ///< address at which its agent receives packets
    Endpoint address; ///< address at which the upstream receives packets
    std::uint32_t slots = 1; ///< number of requests that it can process concurrently
    bool leaving = false; ///< accepts no new flows, but keeps its open ones
    Millis coldDuration {}; ///< remaining cold time, counted from when the entry was read
    /// Wall time of its start in milliseconds since 1970; identifies the incarnation.
    std::uint64_t startedAt = 0;
};

/// @name JSON encoding of the sections
/// @{

[[nodiscard]] std::string encode(const RouteDocument &document);
[[nodiscard]] std::string encode(const UpstreamEntry &entry);
/// @brief Parses the output of encode().
/// @return the document, or ErrorCode::BadJson with a message that names the fault
[[nodiscard]] Result<RouteDocument> decodeRoutes(std::string_view text);
[[nodiscard]] Result<UpstreamEntry> decodeUpstream(std::string_view text);

/// @}

} // namespace bergamotglade
