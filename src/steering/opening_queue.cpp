#include <bergamotglade/detail/steering/opening_queue.hpp>

#include <algorithm>

namespace bergamotglade {

OpeningQueue::OpeningQueue(std::size_t capacity)
    : m_capacity(capacity)
{ }

bool OpeningQueue::comesBefore(const QueuedOpening &a, const QueuedOpening &b, Instant now)
{
    if (a.priority != b.priority) {
        return a.priority < b.priority;
    }
    const bool aInTime = now < a.dispatchDeadline;
    const bool bInTime = now < b.dispatchDeadline;
    if (aInTime != bInTime) {
        return aInTime;
    }
    return aInTime ? a.dispatchDeadline < b.dispatchDeadline : b.openedAt < a.openedAt;
}

std::optional<QueuedOpening> OpeningQueue::push(QueuedOpening opening, Instant now)
{
    m_entries.push_back(std::move(opening));
    if (m_entries.size() <= m_capacity) {
        return std::nullopt;
    }
    const auto last =
        std::max_element(m_entries.begin(), m_entries.end(),
                         [&](const auto &a, const auto &b) { return comesBefore(a, b, now); });
    QueuedOpening displaced = std::move(*last);
    m_entries.erase(last);
    return displaced;
}

std::optional<QueuedOpening> OpeningQueue::pop(Instant now)
{
    return takeAt(
        std::min_element(m_entries.begin(), m_entries.end(),
                         [&](const auto &a, const auto &b) { return comesBefore(a, b, now); }));
}

std::optional<QueuedOpening> OpeningQueue::popOf(const Endpoint &route, Instant now)
{
    auto first = m_entries.end();
    for (auto at = m_entries.begin(); at != m_entries.end(); ++at) {
        if (at->flow.service == route
            && (first == m_entries.end() || comesBefore(*at, *first, now))) {
            first = at;
        }
    }
    return takeAt(first);
}

std::optional<QueuedOpening> OpeningQueue::takeAt(std::vector<QueuedOpening>::iterator at)
{
    if (at == m_entries.end()) {
        return std::nullopt;
    }
    QueuedOpening next = std::move(*at);
    m_entries.erase(at);
    return next;
}

std::optional<QueuedOpening> OpeningQueue::take(const FlowKey &flow)
{
    return takeAt(std::find_if(m_entries.begin(), m_entries.end(),
                               [&](const auto &e) { return e.flow == flow; }));
}

const std::vector<QueuedOpening> &OpeningQueue::sorted(Instant now)
{
    std::stable_sort(m_entries.begin(), m_entries.end(),
                     [&](const auto &a, const auto &b) { return comesBefore(a, b, now); });
    return m_entries;
}

bool OpeningQueue::hasUpTo(std::uint32_t priority) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [&](const auto &e) { return e.priority <= priority; });
}

std::vector<Endpoint> OpeningQueue::routes() const
{
    std::vector<Endpoint> routes;
    for (const QueuedOpening &entry : m_entries) {
        if (std::find(routes.begin(), routes.end(), entry.flow.service) == routes.end()) {
            routes.push_back(entry.flow.service);
        }
    }
    return routes;
}

std::vector<QueuedOpening> OpeningQueue::takeOpenedBefore(Instant limit)
{
    const auto old = std::stable_partition(m_entries.begin(), m_entries.end(),
                                           [&](const auto &e) { return e.openedAt >= limit; });
    std::vector<QueuedOpening> taken(std::make_move_iterator(old),
                                     std::make_move_iterator(m_entries.end()));
    m_entries.erase(old, m_entries.end());
    return taken;
}

void OpeningQueue::erase(const FlowKey &flow)
{
    std::erase_if(m_entries, [&](const auto &e) { return e.flow == flow; });
}

bool OpeningQueue::contains(const FlowKey &flow) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [&](const auto &e) { return e.flow == flow; });
}

} // namespace bergamotglade
