/// @file
/// State of one flow in one process, for operators.
#pragma once

#include <bergamotglade/detail/steering/directory.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace bergamotglade {

/// An upstream as a candidate for one flow.
struct FlowCandidate
{
    UpstreamId upstream;
    FailureDomainId domain;
    Endpoint agent;
    double use = 0; ///< load with one more flow relative to its slots, as estimated by this process
    Millis loadAge {}; ///< age of the load report; zero if there is none
    std::string_view state; ///< whether new flows are sent there, and if not, why
};

struct FlowExplanation
{
    bool known = false; ///< whether this process has any state of the flow
    std::string_view stage; ///< state of the flow in this process
    Endpoint target; ///< agent that its packets are sent to; zero if there is none
    std::vector<Endpoint> tried; ///< agents that the flow was offered to, in order
    std::optional<Millis> idle; ///< time since its last packet, if known
    std::uint64_t version = 0; ///< version of the routes
    /// In the order in which they are searched for the flow's owner; empty if there is no route.
    std::vector<FlowCandidate> candidates;
};

/// @brief Lists the candidates of a flow, without their loads.
/// @param directory routes and upstreams of the process
/// @param flow caller and service address
/// @return one element per upstream of the route's services; empty if there is no route
/// @complexity n log n in the upstreams of the route's services
/// @code
/// for (const FlowCandidate &candidate : candidatesOf(directory, flow)) { ... }
/// @endcode
[[nodiscard]] std::vector<FlowCandidate> candidatesOf(const Directory &directory,
                                                      const FlowKey &flow);

} // namespace bergamotglade
