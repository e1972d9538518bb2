/// @file
/// Ranked candidate upstreams of a flow; every process computes the same ranking.
#pragma once

#include <bergamotglade/detail/config/view.hpp>
#include <bergamotglade/detail/flow/flow_key.hpp>

#include <array>
#include <functional>
#include <span>
#include <unordered_map>

namespace bergamotglade {

/// Number of buckets that flows are hashed into.
inline constexpr std::uint32_t BucketCount = 4096;
/// Maximum number of candidates in a packet.
inline constexpr std::size_t CandidatesMax = 4;

/// Bucket that a flow is hashed to.
[[nodiscard]] Bucket bucketOf(const FlowKey &flow) noexcept;

/// Agents in order of preference; fixed capacity, no allocation.
class CandidateList
{
public:
    /// @brief Appends an agent; has no effect if the list is full.
    void push(const Endpoint &agent)
    {
        if (m_size < CandidatesMax) {
            m_agents[m_size++] = agent;
        }
    }
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    [[nodiscard]] bool empty() const noexcept { return m_size == 0; }
    [[nodiscard]] const Endpoint *begin() const noexcept { return m_agents.data(); }
    [[nodiscard]] const Endpoint *end() const noexcept { return m_agents.data() + m_size; }
    [[nodiscard]] const Endpoint &front() const noexcept { return m_agents[0]; }
    [[nodiscard]] bool contains(const Endpoint &agent) const noexcept;

private:
    std::array<Endpoint, CandidatesMax> m_agents {};
    std::size_t m_size = 0;
};

/// Scores an upstream for a bucket; replaceable so that experiments can run baselines.
using ScoreFunction = std::function<double(std::uint64_t upstreamHash, Bucket bucket, Weight)>;

/// @brief Weighted rendezvous hashing: adding or removing an upstream affects only its buckets.
[[nodiscard]] double rendezvousScore(std::uint64_t upstreamHash, Bucket bucket, Weight weight);
/// @brief Baseline for experiments: rendezvous hashing without weights.
[[nodiscard]] double uniformScore(std::uint64_t upstreamHash, Bucket bucket, Weight weight);

/// Upstreams of one service that accept new flows, with their ranking per bucket.
class ServiceTable
{
public:
    /// @brief Builds the table.
    /// @param service service whose upstreams are ranked
    /// @param view determines the excluded upstreams
    /// @param score scoring function
    /// @complexity linear in the upstreams
    ServiceTable(std::shared_ptr<const Service> service, const ConfigView &view,
                 ScoreFunction score);

    /// @brief Candidates of a bucket, best first.
    /// @complexity scores all upstreams if there are at most 32; otherwise constant, after one pass
    /// over the upstreams on the first request for a bucket
    [[nodiscard]] CandidateList candidates(Bucket bucket) const;

    [[nodiscard]] const Service &service() const noexcept { return *m_service; }
    [[nodiscard]] const std::shared_ptr<const Service> &sharedService() const noexcept
    {
        return m_service;
    }
    [[nodiscard]] std::size_t upstreamCount() const noexcept { return m_entries.size(); }

private:
    struct Entry
    {
        std::uint64_t hash = 0;
        Weight weight;
        Endpoint agent;
    };
    using Indices = std::array<std::uint16_t, CandidatesMax>;

    [[nodiscard]] std::size_t rank(Bucket bucket, Indices &best) const;

    std::shared_ptr<const Service> m_service;
    std::vector<Entry> m_entries;
    ScoreFunction m_score;
    /// Cached candidates per bucket; empty for services small enough to be scored per packet.
    mutable std::vector<Indices> m_cachedCandidates;
    mutable std::vector<bool> m_isCached;
};

/// Tables of all services, built on first use and after configuration changes.
class Router
{
public:
    explicit Router(ScoreFunction score = rendezvousScore);

    /// @brief Table of the service at an address.
    /// @return null if no service has the address
    /// @complexity constant in the number of services; rebuilds the table after a change
    const ServiceTable *at(const ConfigView &view, const Endpoint &address);

private:
    ScoreFunction m_score;
    std::uint64_t m_epoch = 0;
    std::unordered_map<Endpoint, ServiceTable> m_tables;
};

} // namespace bergamotglade
