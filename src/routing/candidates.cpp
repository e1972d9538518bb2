#include <bergamotglade/detail/routing/candidates.hpp>

#include <algorithm>
#include <cmath>

namespace bergamotglade {

namespace {

/// Services with at most this many upstreams are scored per packet. For larger ones each bucket is
/// ranked on first use and cached, so that a change of a large service does not stall the process.
constexpr std::size_t UncachedUpstreamsMax = 32;
/// Maximum number of upstreams per table, bounded by the 16-bit indices; further ones are ignored.
constexpr std::size_t EntriesMax = 65'535;

} // namespace

Bucket bucketOf(const FlowKey &flow) noexcept
{
    return Bucket(static_cast<std::uint32_t>(flow.hash() % BucketCount));
}

bool CandidateList::contains(const Endpoint &agent) const noexcept
{
    return std::find(begin(), end(), agent) != end();
}

double rendezvousScore(std::uint64_t upstreamHash, Bucket bucket, Weight weight)
{
    // Maps the upper 53 bits, the precision of a double, to a number between 0 and 1. Adding 0.5
    // avoids the logarithm of 0.
    constexpr double TwoPow53 = 9007199254740992.0;
    constexpr unsigned Shift = 11;
    const std::uint64_t mixed = hashPair(upstreamHash, bucket.value());
    const double uniform = (static_cast<double>(mixed >> Shift) + 0.5) / TwoPow53;
    return -static_cast<double>(weight.value()) / std::log(uniform);
}

double uniformScore(std::uint64_t upstreamHash, Bucket bucket, Weight /*weight*/)
{
    return rendezvousScore(upstreamHash, bucket, Weight(1));
}

ServiceTable::ServiceTable(std::shared_ptr<const Service> service, const ConfigView &view,
                           ScoreFunction score)
    : m_service(std::move(service))
    , m_score(std::move(score))
{
    for (const Upstream &upstream : m_service->upstreams) {
        if (view.exclusionOf(upstream) == Exclusion::None && m_entries.size() < EntriesMax) {
            m_entries.push_back({hashBytes(upstream.id.str()), upstream.weight, upstream.agent});
        }
    }
    if (m_entries.size() <= UncachedUpstreamsMax) {
        return;
    }
    m_cachedCandidates.resize(BucketCount);
    m_isCached.resize(BucketCount);
}

std::size_t ServiceTable::rank(Bucket bucket, Indices &best) const
{
    std::array<double, CandidatesMax> scores {};
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const double score = m_score(m_entries[i].hash, bucket, m_entries[i].weight);
        std::size_t position = count;
        while (position > 0 && scores[position - 1] < score) {
            --position;
        }
        if (position == CandidatesMax) {
            continue;
        }
        count = std::min(count + 1, CandidatesMax);
        for (std::size_t j = count - 1; j > position; --j) {
            scores[j] = scores[j - 1];
            best[j] = best[j - 1];
        }
        scores[position] = score;
        best[position] = static_cast<std::uint16_t>(i);
    }
    return count;
}

CandidateList ServiceTable::candidates(Bucket bucket) const
{
    Indices uncached {};
    const bool isCaching = !m_cachedCandidates.empty();
    Indices &best = isCaching ? m_cachedCandidates[bucket.value()] : uncached;
    // A cached list is full, because only tables with more upstreams than fit into it are cached.
    std::size_t count = CandidatesMax;
    if (!isCaching || !m_isCached[bucket.value()]) {
        count = rank(bucket, best);
    }
    if (isCaching) {
        m_isCached[bucket.value()] = true;
    }
    CandidateList list;
    for (std::size_t i = 0; i < count; ++i) {
        list.push(m_entries[best[i]].agent);
    }
    return list;
}

Router::Router(ScoreFunction score)
    : m_score(std::move(score))
{ }

const ServiceTable *Router::at(const ConfigView &view, const Endpoint &address)
{
    auto service = view.serviceAt(address);
    if (!service) {
        return nullptr;
    }
    if (m_epoch != view.placementEpoch()) {
        m_tables.clear();
        m_epoch = view.placementEpoch();
    }
    const auto found = m_tables.find(address);
    if (found != m_tables.end() && found->second.sharedService() == service) {
        return &found->second;
    }
    const auto inserted =
        m_tables.insert_or_assign(address, ServiceTable(std::move(service), view, m_score));
    return &inserted.first->second;
}

} // namespace bergamotglade
