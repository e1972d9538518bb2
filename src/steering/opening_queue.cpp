#include <bergamotglade/detail/steering/opening_queue.hpp>

#include <algorithm>

namespace bergamotglade {

OpeningQueue::OpeningQueue(std::size_t capacity)
    : m_capacity(capacity)
{ }

bool OpeningQueue::comesBefore(const QueuedOpening &a, const QueuedOpening &b, Instant now)
{
    const bool aInTime = now < a.dispatchDeadline;
    const bool bInTime = now < b.dispatchDeadline;
    if (aInTime != bInTime) {
        return aInTime;
    }
    if (a.priority != b.priority) {
        return a.priority < b.priority;
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
    const auto first =
        std::min_element(m_entries.begin(), m_entries.end(),
                         [&](const auto &a, const auto &b) { return comesBefore(a, b, now); });
    if (first == m_entries.end()) {
        return std::nullopt;
    }
    QueuedOpening next = std::move(*first);
    m_entries.erase(first);
    return next;
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
