/// @file
/// Steering decisions, for the log.
#pragma once

#include <bergamotglade/detail/core/endpoint.hpp>
#include <bergamotglade/detail/flow/flow_key.hpp>

#include <functional>
#include <string_view>

namespace bergamotglade {

/// A decision about a flow and the data that it is based on.
struct SteeringEvent
{
    std::string_view decision; ///< action taken
    std::string_view reason; ///< reason for it
    FlowKey flow;
    Endpoint target; ///< destination of the packet; zero if it was not sent
    std::uint64_t version = 0; ///< version of the routes
    /// Load with one more flow, relative to the slots. A balancer logs the load of the target, an
    /// agent that of its own upstream.
    double use = 0;
    Millis loadAge {}; ///< age of the target's load report; zero if there is none
    /// Expected time until the flow's turn in a queue; zero if unknown.
    Millis expectedWait {};
};

using SteeringLog = std::function<void(const SteeringEvent &)>;

} // namespace bergamotglade
