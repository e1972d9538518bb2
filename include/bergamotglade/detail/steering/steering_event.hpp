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
    std::uint64_t version = 0; ///< of the routes
    double use = 0; ///< load of the target, or of the agent's own upstream, relative to its slots
    Millis loadAge {}; ///< age of the target's load report
};

using SteeringLog = std::function<void(const SteeringEvent &)>;

} // namespace bergamotglade
