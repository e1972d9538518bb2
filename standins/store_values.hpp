/// @file
/// Values of the platform's store as its operators and hosts write them.
#pragma once

#include <bergamotglade/detail/core/endpoint.hpp>

#include <string>
#include <vector>

namespace bergamotglade::standins {

/// One host as it registers itself.
struct HostValue
{
    std::string service;
    Endpoint address;
    std::string zone;
    std::uint32_t slots = 1;
    bool draining = false;
    std::uint64_t born = 0;
};

/// One route to one service.
struct RouteValue
{
    Endpoint address;
    std::string service;
};

[[nodiscard]] std::string hostValue(const HostValue &host);
[[nodiscard]] std::string configValue(std::uint64_t version, const std::vector<RouteValue> &routes);

} // namespace bergamotglade::standins
