/// @file
/// Decisions of steering, for logs.
#pragma once

#include <bergamotglade/detail/core/endpoint.hpp>
#include <bergamotglade/detail/flow/flow_key.hpp>

#include <functional>
#include <string_view>

namespace bergamotglade {

/// One decision that touched a flow, with what decided it.
struct SteeringEvent
{
    std::string_view decision; ///< what was done
    std::string_view reason; ///< why
    FlowKey flow;
    Endpoint target; ///< where the packet went; zero where it went nowhere
    std::uint64_t version = 0; ///< of the routes
    double use = 0; ///< load of the target or of the own upstream, relative to its slots
    Millis inputAge {}; ///< age of the load report that decided
};

using SteeringLog = std::function<void(const SteeringEvent &)>;

} // namespace bergamotglade
