/// @file
/// The configuration document: one section per team, and a root that lists the sections.
#pragma once

#include <bergamotglade/detail/core/clock.hpp>
#include <bergamotglade/detail/core/endpoint.hpp>
#include <bergamotglade/detail/core/ids.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace bergamotglade {

/// Largest value that the platform stores, in bytes.
inline constexpr std::size_t SectionBytesMax = 1'000'000;

/// Whether operators have put something into or out of service.
enum class AdminState : std::uint8_t { In, Out };

struct FailureDomain
{
    FailureDomainId id;
    AdminState state = AdminState::In;
    SourceLocation location;
};

/// A VM that a section puts into or out of service.
struct VmEntry
{
    VmId id;
    AdminState state = AdminState::In;
    SourceLocation location;
};

/// One back end of a service, reached through the agent on its VM.
struct Upstream
{
    UpstreamId id;
    VmId vm;
    FailureDomainId domain;
    Endpoint agent;
    Weight weight {100};
    AdminState state = AdminState::In;
    SourceLocation location;
};

/// Service-level objective: the share of requests to be answered within `latency`, measured over
/// `window`.
struct Objective
{
    double share = 0.999;
    Millis latency {500};
    Millis window {std::chrono::hours(24 * 30)};
};

struct Service
{
    ServiceName name;
    /// Destination address of the callers' requests.
    Endpoint address;
    /// Deadline of requests that carry none.
    Millis deadline {2000};
    Objective objective;
    std::vector<Upstream> upstreams;
    SourceLocation location;
};

/// One team's part of the document.
struct Section
{
    SectionName name;
    std::vector<FailureDomain> domains;
    std::vector<VmEntry> vms;
    std::vector<Service> services;
};

/// The list of sections; of two conflicting sections, the one listed first takes precedence.
struct Root
{
    std::vector<SectionName> sections;
};

/// A parsed value, absent if any finding is an error, and all findings.
template <typename T>
struct CheckResult
{
    std::optional<T> value;
    Findings findings;
};

/// @brief Parses and validates one section.
/// @param name the section's name
/// @param text YAML, at most SectionBytesMax bytes
/// @param file the file name that findings report
/// @return the section, unless a finding is an error, and all findings in either case
/// @errors none thrown; invalid text becomes findings 101 to 105, 201, 203 and 204
/// @complexity linear in the text
/// @example `parseSection(SectionName("kits"), "services: []", "kits.yaml").value`
[[nodiscard]] CheckResult<Section> parseSection(const SectionName &name, std::string_view text,
                                                std::string_view file);

/// @brief Parses and validates the root value. Parameters and errors as for parseSection().
[[nodiscard]] CheckResult<Root> parseRoot(std::string_view text, std::string_view file);

/// @brief Validates the sections against each other: conflicts, unknown failure domains and
/// services without upstreams.
/// @param root the list of sections
/// @param sections the sections that are valid on their own
/// @return findings 201, 202, 203 and 206
/// @complexity n log n in the services and upstreams, quadratic in the number of sections
[[nodiscard]] Findings checkAcrossSections(const Root &root, const std::vector<Section> &sections);

} // namespace bergamotglade
