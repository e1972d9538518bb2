#include <bergamotglade/detail/steering/possible_owners.hpp>

#include <algorithm>
#include <tuple>

namespace bergamotglade {

namespace {

/// Place of an agent in the search order of a flow; ties are broken by address.
using Place = std::tuple<bool, std::uint64_t, Endpoint>;

Place placeOf(const FlowKey &flow, const PossibleOwner &owner)
{
    return {owner.ofOtherService, hashPair(flow.hash(), owner.agent.packed()), owner.agent};
}

} // namespace

PossibleOwners::PossibleOwners(std::vector<PossibleOwner> owners)
    : m_owners(std::move(owners))
{
    // Elements of one agent are adjacent, the one that has not departed first.
    std::sort(m_owners.begin(), m_owners.end());
    const auto sameAgent = [](const PossibleOwner &a, const PossibleOwner &b) {
        return a.agent == b.agent;
    };
    m_owners.erase(std::unique(m_owners.begin(), m_owners.end(), sameAgent), m_owners.end());
    for (const PossibleOwner &owner : m_owners) {
        m_digest = hashPair(m_digest, owner.agent.packed());
    }
}

const PossibleOwner *PossibleOwners::find(const Endpoint &agent) const
{
    const auto found = std::lower_bound(
        m_owners.begin(), m_owners.end(), agent,
        [](const PossibleOwner &owner, const Endpoint &key) { return owner.agent < key; });
    return found == m_owners.end() || found->agent != agent ? nullptr : &*found;
}

std::vector<Endpoint> PossibleOwners::searchOrder(const FlowKey &flow) const
{
    std::vector<Place> places;
    places.reserve(m_owners.size());
    for (const PossibleOwner &owner : m_owners) {
        places.push_back(placeOf(flow, owner));
    }
    std::sort(places.begin(), places.end());
    std::vector<Endpoint> order;
    order.reserve(places.size());
    for (const Place &place : places) {
        order.push_back(std::get<Endpoint>(place));
    }
    return order;
}

FlowHomes homesOf(const PossibleOwners &owners, const FlowKey &flow)
{
    std::array<Place, FlowHomeCount> best {};
    FlowHomes homes;
    for (const PossibleOwner &owner : owners.list()) {
        if (owner.departed) {
            continue;
        }
        const Place place = placeOf(flow, owner);
        std::size_t at = homes.count;
        while (at > 0 && place < best[at - 1]) {
            --at;
        }
        if (at == FlowHomeCount) {
            continue;
        }
        homes.count = std::min(homes.count + 1, FlowHomeCount);
        std::move_backward(best.begin() + static_cast<std::ptrdiff_t>(at),
                           best.begin() + static_cast<std::ptrdiff_t>(homes.count) - 1,
                           best.begin() + static_cast<std::ptrdiff_t>(homes.count));
        best[at] = place;
    }
    for (std::size_t i = 0; i < homes.count; ++i) {
        homes.agents[i] = std::get<Endpoint>(best[i]);
    }
    return homes;
}

} // namespace bergamotglade
