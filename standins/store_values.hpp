/// @file
/// Values in the platform's store, as its operators and hosts write them.
#pragma once

#include <bergamotglade/detail/core/endpoint.hpp>

#include <string>
#include <vector>

namespace bergamotglade::standins {

/// Registration of a host, which is an upstream of the load balancer.
struct HostValue
{
    std::string service;
    Endpoint address;
    std::string zone; ///< failure domain
    std::uint32_t slots = 1; ///< requests processed concurrently
    bool draining = false;
    std::uint64_t born = 0; ///< a host that registers again has a higher one
};

/// Route from an address to a service.
struct RouteValue
{
    Endpoint address;
    std::string service;
};

/// @brief Value of an item `servers/ID`.
[[nodiscard]] std::string hostValue(const HostValue &host);
/// @brief Value of the item `op/config`.
/// @param version version of the configuration, increased by each change
[[nodiscard]] std::string configValue(std::uint64_t version, const std::vector<RouteValue> &routes);

} // namespace bergamotglade::standins
