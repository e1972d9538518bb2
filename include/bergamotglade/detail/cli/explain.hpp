/// @file
/// Lists the candidate upstreams of a flow and why the others are not among them.
#pragma once

#include <bergamotglade/detail/config/view.hpp>

namespace bergamotglade {

/// Rank of one upstream for a flow, and the reason.
struct ExplainLine
{
    UpstreamId upstream;
    FailureDomainId domain;
    Endpoint agent;
    Weight weight;
    std::size_t rank = 0; ///< 1 for the first candidate, 0 if not a candidate
    std::string reason;
};

/// @brief Explains the choice of upstreams for one flow.
/// @param view the document
/// @param name the service
/// @param caller the caller's address and port
/// @return one line per upstream, candidates first; ErrorCode::BadDocument if the service is
/// unknown or its address belongs to a service of another section
[[nodiscard]] Result<std::vector<ExplainLine>>
explainFlow(const ConfigView &view, const ServiceName &name, const Endpoint &caller);

} // namespace bergamotglade
