/// @file
/// What one process knows of a flow, for operators.
#pragma once

#include <bergamotglade/detail/steering/directory.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace bergamotglade {

/// One upstream from a flow's point of view.
struct FlowCandidate
{
    UpstreamId upstream;
    FailureDomainId domain;
    Endpoint agent;
    double use = 0; ///< load with one more flow, relative to its slots, as this process sees it
    Millis loadAge {}; ///< age of the load report; zero where there is none
    std::string_view state; ///< whether new flows are sent there, and why not
};

struct FlowExplanation
{
    bool known = false; ///< whether this process holds anything of the flow
    std::string_view stage; ///< what became of the flow here
    Endpoint target; ///< agent that its packets go to; zero where there is none
    std::vector<Endpoint> tried; ///< agents that it was offered to, in their order
    std::optional<Millis> idle; ///< time since its last packet, where that is kept
    std::uint64_t version = 0; ///< of the routes
    /// In the order in which the flow's owner is searched; none without a route.
    std::vector<FlowCandidate> candidates;
};

/// @brief The candidates of a flow, without their loads.
/// @param directory routes and upstreams of the process
/// @param flow caller and service address
/// @return a line per upstream of the route's services; none where there is no route
/// @complexity n log n in the upstreams of the route's services
/// @code
/// for (const FlowCandidate &candidate : candidatesOf(directory, flow)) { ... }
/// @endcode
[[nodiscard]] std::vector<FlowCandidate> candidatesOf(const Directory &directory,
                                                      const FlowKey &flow);

} // namespace bergamotglade
