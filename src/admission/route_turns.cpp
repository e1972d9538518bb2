#include <bergamotglade/detail/admission/route_turns.hpp>

namespace bergamotglade {

void RouteTurns::setWaiting(const std::vector<Endpoint> &routes)
{
    std::unordered_map<Endpoint, std::uint32_t> waiting;
    for (const Endpoint &route : routes) {
        const auto known = m_sinceTurn.find(route);
        waiting[route] = known == m_sinceTurn.end() ? 0 : known->second;
    }
    m_sinceTurn = std::move(waiting);
}

void RouteTurns::onDeparture(const Endpoint &route)
{
    for (auto &[waiting, since] : m_sinceTurn) {
        since = waiting == route ? 0 : since + 1;
    }
}

double RouteTurns::share() const noexcept
{
    const double routes = static_cast<double>(std::max<std::size_t>(1, m_sinceTurn.size()));
    return std::min(m_floorShare, 1 / routes);
}

std::optional<Endpoint> RouteTurns::due() const
{
    // The departure after this many others keeps the share.
    const double others = 1 / share() - 1;
    std::optional<Endpoint> first;
    std::uint32_t most = 0;
    for (const auto &[route, since] : m_sinceTurn) {
        // The address decides between equals: the order of a hash map differs between builds.
        const bool before = !first || since > most || (since == most && route < *first);
        if (since + 0.5 >= others && before) {
            first = route;
            most = since;
        }
    }
    return first;
}

} // namespace bergamotglade
