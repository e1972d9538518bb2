/// @file
/// Description of the fleet that a scenario starts (its key `shape`), and the configuration
/// document made from it.
#pragma once

#include <bergamotglade/detail/config/document.hpp>
#include <bergamotglade/detail/config/yaml_map.hpp>

#include <string>
#include <vector>

namespace bergamotglade::scenario {

/// One upstream: its entry in the document and the parameters of its stand-in.
struct UpstreamSpec
{
    Upstream entry;
    std::size_t slots = 9; ///< requests processed concurrently
    double serviceMs = 20; ///< mean service time
    bool published = true; ///< whether the published document has the entry
};

/// One service; it has its own section in the document.
struct ServiceSpec
{
    ServiceName name;
    Endpoint address;
    Millis deadline {2000};
    Objective objective;
    std::vector<UpstreamSpec> upstreams;
};

/// The fleet of a scenario. The balancers, and the upstreams of each service, are assigned to the
/// failure domains in turn.
struct FleetSpec
{
    std::vector<FailureDomain> domains;
    std::size_t balancers = 3;
    std::vector<ServiceSpec> services;
    std::uint64_t coldMs = 0; ///< cold time of restarted upstreams; not used

    /// @return nullptr if no upstream has this id
    [[nodiscard]] UpstreamSpec *find(const std::string &upstream);
    /// @return the service of an upstream, nullptr if no upstream has this id
    [[nodiscard]] ServiceSpec *serviceOf(const std::string &upstream);
};

/// @brief Reads the value of the key `shape`.
/// @param sink receives findings about keys and values that are not valid
[[nodiscard]] FleetSpec readFleetSpec(const YAML::Node &node, FindingSink &sink);

/// @brief Text of the section `failure-domains`.
[[nodiscard]] std::string failureDomainsYaml(const FleetSpec &spec);
/// @brief Text of the section of a service.
[[nodiscard]] std::string serviceYaml(const ServiceSpec &service);
/// @brief Text of the root section, which lists the others.
[[nodiscard]] std::string rootYaml(const FleetSpec &spec);

} // namespace bergamotglade::scenario
