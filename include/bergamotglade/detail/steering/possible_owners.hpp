/// @file
/// Agents that may own a flow, and the order in which they are asked.
#pragma once

#include <bergamotglade/detail/flow/flow_key.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace bergamotglade {

/// An agent that may own flows of a route. Agents are identified by their address: the id of an
/// upstream's entry differs between processes while one of them knows it from an announcement only.
struct PossibleOwner
{
    Endpoint agent;
    /// Its upstream has no entry any more, but may still hold flows that were opened before.
    bool departed = false;
    /// Its upstream is of a service that the route is not known to have had. It is asked after all
    /// others.
    bool ofOtherService = false;

    friend auto operator<=>(const PossibleOwner &, const PossibleOwner &) = default;
};

/// The possible owners of the flows of one route, sorted by address.
class PossibleOwners
{
public:
    PossibleOwners() = default;
    /// @param owners in any order; an agent may be listed several times and has departed only if
    /// all its elements say so
    explicit PossibleOwners(std::vector<PossibleOwner> owners);

    [[nodiscard]] const std::vector<PossibleOwner> &list() const noexcept { return m_owners; }
    [[nodiscard]] bool empty() const noexcept { return m_owners.empty(); }
    /// @brief The element of an agent, or null.
    /// @complexity logarithmic
    [[nodiscard]] const PossibleOwner *find(const Endpoint &agent) const;
    /// @brief Hash of the agents; differs between processes whose lists differ.
    [[nodiscard]] std::uint64_t digest() const noexcept { return m_digest; }
    /// @brief Agents in the order in which they are asked for a flow, those of other services last.
    /// An agent that only one of two processes lists does not change the order of the others.
    /// @complexity n log n
    [[nodiscard]] std::vector<Endpoint> searchOrder(const FlowKey &flow) const;

private:
    std::vector<PossibleOwner> m_owners;
    std::uint64_t m_digest = 0;
};

/// Number of agents that are told the owner of a long flow.
inline constexpr std::size_t FlowHomeCount = 2;

/// The first agents in the search order of a flow, without departed ones. They keep the owner's
/// location, and balancers that do not know the owner send packets of the flow to them.
struct FlowHomes
{
    std::array<Endpoint, FlowHomeCount> agents {};
    std::size_t count = 0;

    [[nodiscard]] const Endpoint *begin() const noexcept { return agents.data(); }
    [[nodiscard]] const Endpoint *end() const noexcept { return agents.data() + count; }
};

/// @complexity linear in the owners
[[nodiscard]] FlowHomes homesOf(const PossibleOwners &owners, const FlowKey &flow);

} // namespace bergamotglade
