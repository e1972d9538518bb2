/// @file
/// Queue of new flows that wait for a slot of the upstream.
#pragma once

#include <bergamotglade/detail/steering/segment.hpp>

#include <optional>
#include <vector>

namespace bergamotglade {

/// An opening packet in the queue.
struct QueuedOpening
{
    FlowKey flow;
    PacketBytes bytes;
    Trail trail;
    std::uint32_t acknowledgement = 0;
    Instant queuedAt;
    Instant openedAt; ///< when the caller sent the first opening packet
    /// Latest time at which the upstream must get the flow to meet the latency objective.
    Instant dispatchDeadline;
    std::uint32_t priority = 0; ///< 0 is the highest
};

/// Bounded queue. Flows are ordered by priority; within one, flows that can still meet their
/// objective come first, by deadline, and then late ones, newest first, because the oldest callers
/// give up soonest.
class OpeningQueue
{
public:
    /// @param capacity maximum number of flows; a further one displaces the last in order
    explicit OpeningQueue(std::size_t capacity);

    /// @brief Whether `a` is served before `b`.
    [[nodiscard]] static bool comesBefore(const QueuedOpening &a, const QueuedOpening &b,
                                          Instant now);

    /// @brief Adds a flow.
    /// @return the displaced flow, if the queue was full
    /// @complexity linear in the queue
    std::optional<QueuedOpening> push(QueuedOpening opening, Instant now);
    /// @brief Removes and returns the first flow.
    /// @complexity linear in the queue
    std::optional<QueuedOpening> pop(Instant now);
    /// @brief Removes and returns the first flow of a route.
    /// @complexity linear in the queue
    std::optional<QueuedOpening> popOf(const Endpoint &route, Instant now);
    /// @brief Removes and returns a flow.
    std::optional<QueuedOpening> take(const FlowKey &flow);
    /// @brief The flows, in no particular order.
    [[nodiscard]] const std::vector<QueuedOpening> &entries() const noexcept { return m_entries; }
    /// @brief Sorts the flows and returns them in order.
    [[nodiscard]] const std::vector<QueuedOpening> &sorted(Instant now);
    /// @brief Whether a flow of this or a higher priority waits.
    [[nodiscard]] bool hasUpTo(std::uint32_t priority) const;
    /// @brief Routes with waiting flows.
    [[nodiscard]] std::vector<Endpoint> routes() const;
    /// @brief Removes and returns the flows whose first opening packet was sent before `limit`.
    std::vector<QueuedOpening> takeOpenedBefore(Instant limit);
    /// @brief Removes a flow.
    void erase(const FlowKey &flow);
    [[nodiscard]] bool contains(const FlowKey &flow) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }

private:
    std::optional<QueuedOpening> takeAt(std::vector<QueuedOpening>::iterator at);

    std::size_t m_capacity;
    std::vector<QueuedOpening> m_entries;
};

} // namespace bergamotglade
