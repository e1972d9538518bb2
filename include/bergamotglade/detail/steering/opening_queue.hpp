/// @file
/// New flows that wait for a slot of their upstream, those that can still be in time first.
#pragma once

#include <bergamotglade/detail/steering/segment.hpp>

#include <optional>
#include <vector>

namespace bergamotglade {

/// One opening packet that waits.
struct QueuedOpening
{
    FlowKey flow;
    PacketBytes bytes;
    Trail trail;
    std::uint32_t acknowledgement = 0;
    Instant queuedAt;
    Instant openedAt; ///< when the caller sent the first copy
    Instant inTimeUntil; ///< an upstream that gets it by then answers within the objective
    std::uint32_t priority = 0; ///< 0 is the highest
};

/// A bounded queue. Flows that can still be in time come before late ones, by priority and
/// deadline; of the late ones the newest comes first, as the oldest callers give up soonest.
class OpeningQueue
{
public:
    /// @param capacity most flows that wait; a further one displaces the one that would come last
    explicit OpeningQueue(std::size_t capacity);

    /// @brief Adds a flow.
    /// @return the flow that has no room any more, if any
    /// @complexity linear in the queue
    std::optional<QueuedOpening> push(QueuedOpening opening, Instant now);
    /// @brief Takes the flow that comes next.
    /// @complexity linear in the queue
    std::optional<QueuedOpening> pop(Instant now);
    /// @brief Takes the flows that have waited since before `limit`.
    std::vector<QueuedOpening> takeOlderThan(Instant limit);
    /// @brief Forgets a flow.
    void erase(const FlowKey &flow);
    [[nodiscard]] bool contains(const FlowKey &flow) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }

private:
    [[nodiscard]] static bool comesBefore(const QueuedOpening &a, const QueuedOpening &b,
                                          Instant now);

    std::size_t m_capacity;
    std::vector<QueuedOpening> m_entries;
};

} // namespace bergamotglade
