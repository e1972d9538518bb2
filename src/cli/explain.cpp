#include <bergamotglade/detail/cli/explain.hpp>

#include <bergamotglade/detail/routing/candidates.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

std::string reasonOf(Exclusion exclusion, std::size_t rank)
{
    switch (exclusion) {
    case Exclusion::DomainOut:
        return "failure domain is out";
    case Exclusion::VmOut:
        return "vm is out";
    case Exclusion::UpstreamOut:
        return "upstream is out";
    case Exclusion::None:
        break;
    }
    if (rank == 1) {
        return "first candidate; hands on when a peer is clearly less loaded";
    }
    return rank == 0 ? "ranked below the candidates of this bucket" : "candidate in turn";
}

} // namespace

Result<std::vector<ExplainLine>> explainFlow(const ConfigView &view, const ServiceName &name,
                                             const Endpoint &caller)
{
    const auto service = view.service(name);
    if (!service) {
        return Error {ErrorCode::BadDocument, "no service '" + name.str() + "' in the document"};
    }
    if (view.serviceAt(service->address) != service) {
        return Error {ErrorCode::BadDocument,
                      "the address " + service->address.str()
                          + " belongs to a service of another section"};
    }
    const ServiceTable table(service, view, rendezvousScore);
    const CandidateList candidates = table.candidates(bucketOf({caller, service->address}));
    std::vector<ExplainLine> lines;
    for (const Upstream &upstream : service->upstreams) {
        ExplainLine line {upstream.id, upstream.domain, upstream.agent, upstream.weight, 0, {}};
        const auto at = std::find(candidates.begin(), candidates.end(), upstream.agent);
        if (at != candidates.end()) {
            line.rank = static_cast<std::size_t>(at - candidates.begin()) + 1;
        }
        line.reason = reasonOf(view.exclusionOf(upstream), line.rank);
        lines.push_back(std::move(line));
    }
    std::stable_sort(lines.begin(), lines.end(), [](const ExplainLine &a, const ExplainLine &b) {
        const std::size_t last = CandidatesMax + 1;
        return (a.rank == 0 ? last : a.rank) < (b.rank == 0 ? last : b.rank);
    });
    return lines;
}

} // namespace bergamotglade
