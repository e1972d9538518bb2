// Queue of new flows at an agent: fullness by priority, order of service, early refusal, hand-off
// to less loaded peers.

#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <algorithm>
#include <map>

namespace bergamotglade {

double AgentSteering::handshakeAllowance() const
{
    return std::max(m_settings.handshakeAllowanceMin, slots() * m_settings.handshakeAllowanceShare);
}

bool AgentSteering::isUpstreamFull(std::uint32_t priority) const
{
    // Requests of a lower priority on open flows cannot be refused; they must not keep a new flow
    // of a higher priority waiting.
    return isArrivalLimitReached()
        || m_loadByPriority.upTo(priority) >= slots() + handshakeAllowance()
        || isUpstreamQueueFull();
}

bool AgentSteering::isUpstreamQueueFull() const
{
    return m_runningRequests + m_handshakes >= 2 * slots() + handshakeAllowance();
}

std::uint32_t AgentSteering::priorityOf(const FlowKey &flow) const
{
    const RouteEntry *route = m_directory.routeByAddress(flow.service);
    return route == nullptr ? 0 : route->priority;
}

std::optional<Endpoint> AgentSteering::lessLoadedPeer(const RouteEntry &route, Instant now) const
{
    const LoadEstimate own = load(now);
    return m_peerLoads.findLessLoadedPeer(own, now, [&](const Endpoint &agent) {
        const KnownUpstream *peer = m_directory.upstreamByAgent(agent);
        if (agent == m_settings.self || peer == nullptr
            || !m_directory.acceptsNewFlows(*peer, route) || m_directory.isCold(*peer, now)
            || m_peerLoads.reportAgeOf(agent, now) > m_settings.handOffReportAgeMax) {
            return false;
        }
        const LoadEstimate theirs = m_peerLoads.estimate(agent, now);
        return theirs.utilization() <= 1
            || theirs.queued + 1 <= own.queued * m_settings.handOffQueueShare;
    });
}

bool AgentSteering::usesAdmission(const FlowKey &flow) const
{
    const RouteEntry *route = m_directory.routeByAddress(flow.service);
    return (route != nullptr && route->latencyObjective > Millis(0))
        || m_directory.prioritiesDiffer();
}

std::optional<Millis> AgentSteering::expectedWait(const QueuedOpening &opening,
                                                  const QueuePosition &position, Instant now) const
{
    const auto perSecond = m_drain.perSecond();
    if (!perSecond) {
        return std::nullopt;
    }
    const bool isSustained = m_drain.isSustained();
    const double higher = isSustained ? m_drain.arrivalsBefore(opening.priority, false) : 0;
    const double same = isSustained ? m_drain.arrivalsBefore(opening.priority, true) - higher : 0;
    const bool isLate = now >= opening.dispatchDeadline;
    // Of flows that can still meet their objective, later ones come after this one; a late flow
    // comes after all of them.
    const FlowsAhead late {isLate ? position.inOrder : position.beforeLate, higher + same};
    const Millis untilLate = opening.dispatchDeadline - now;
    const Millis inOrder =
        QueueDrain::expectedWait({position.inOrder, higher}, late, untilLate, *perSecond);
    if (!m_directory.prioritiesDiffer()) {
        return inOrder;
    }
    const Millis byTurns = QueueDrain::expectedWait({position.inRoute, 0}, {position.inRoute, same},
                                                    untilLate, *perSecond * m_turns.share());
    return std::min(inOrder, byTurns);
}

void AgentSteering::enqueue(const Segment &segment, PacketBytes bytes, const RouteEntry &route,
                            Instant now)
{
    const Millis expectedServiceTime(
        static_cast<std::int64_t>(m_serviceTimeMs * m_settings.serviceTimeFactor));
    QueuedOpening opening;
    opening.flow = segment.flow;
    opening.bytes = std::move(bytes);
    opening.trail = segment.trail;
    opening.acknowledgement = segment.acknowledgement;
    opening.queuedAt = now;
    opening.openedAt = now - segment.openingAge;
    opening.dispatchDeadline = opening.openedAt + route.latencyObjective - expectedServiceTime;
    opening.priority = route.priority;
    m_drain.advance(now, !m_queue.empty());
    QueuePosition position {1, 1, 1};
    for (const QueuedOpening &other : m_queue.entries()) {
        const bool before = OpeningQueue::comesBefore(other, opening, now);
        position.inOrder += before ? 1 : 0;
        position.inRoute += before && other.flow.service == opening.flow.service ? 1 : 0;
        position.beforeLate += other.priority < opening.priority
                || (other.priority == opening.priority && now < other.dispatchDeadline)
            ? 1
            : 0;
    }
    const auto expected =
        usesAdmission(opening.flow) ? expectedWait(opening, position, now) : std::nullopt;
    if (expected && *expected > opening.openedAt + m_settings.queueTimeout - now) {
        ++m_counters.flowsRefusedOnArrival;
        resetQueued(opening, "expected turn is after the caller gives up", *expected, now);
        return;
    }
    ++m_counters.flowsQueued;
    m_drain.onArrival(opening.priority);
    logDecision("queue", "upstream is full", segment.flow, m_settings.upstream, now,
                expected.value_or(Millis(0)));
    const auto displaced = m_queue.push(std::move(opening), now);
    if (displaced) {
        resetQueued(*displaced, "queue is full", Millis(0), now);
    }
}

void AgentSteering::resetQueued(const QueuedOpening &opening, std::string_view reason,
                                Millis expected, Instant now)
{
    ++m_counters.queuedFlowsReset;
    sendReset(opening.flow, opening.acknowledgement, reason, now, expected);
}

void AgentSteering::refuseUnservableFlows(Instant now)
{
    m_queueExpected = Millis(0);
    if (m_queue.empty() || !m_drain.perSecond()) {
        return;
    }
    struct Unservable
    {
        FlowKey flow;
        Millis expected;
    };
    std::vector<Unservable> unservable;
    std::map<std::uint32_t, double> inTimeOf;
    for (const QueuedOpening &entry : m_queue.entries()) {
        inTimeOf[entry.priority] += now < entry.dispatchDeadline ? 1 : 0;
    }
    std::unordered_map<Endpoint, double> ofRoute;
    double kept = 0;
    double higher = 0;
    std::optional<std::uint32_t> priority;
    for (const QueuedOpening &entry : m_queue.sorted(now)) {
        if (priority != entry.priority) {
            priority = entry.priority;
            higher = kept;
        }
        // Flows that are refused here are not ahead of the others.
        const QueuePosition position {kept + 1, higher + std::max(1.0, inTimeOf[entry.priority]),
                                      ofRoute[entry.flow.service] + 1};
        const auto expected =
            usesAdmission(entry.flow) ? expectedWait(entry, position, now) : std::nullopt;
        if (expected && *expected > entry.openedAt + m_settings.queueTimeout - now) {
            unservable.push_back({entry.flow, *expected});
            continue;
        }
        m_queueExpected = std::max(m_queueExpected, expected.value_or(Millis(0)));
        ++kept;
        ++ofRoute[entry.flow.service];
    }
    for (const Unservable &flow : unservable) {
        const auto opening = m_queue.take(flow.flow);
        ++m_counters.flowsRefusedWaiting;
        resetQueued(*opening, "expected turn is after the caller gives up", flow.expected, now);
    }
}

std::optional<QueuedOpening> AgentSteering::takeNext(bool &isTurn, Instant now)
{
    // With equal priorities the order alone decides.
    m_turns.setWaiting(m_directory.prioritiesDiffer() ? m_queue.routes() : std::vector<Endpoint>());
    const auto due = m_turns.due();
    isTurn = due.has_value();
    return isTurn ? m_queue.popOf(*due, now) : m_queue.pop(now);
}

void AgentSteering::processQueue(Instant now)
{
    if (m_queue.empty()) {
        return;
    }
    m_drain.advance(now, true);
    for (const QueuedOpening &old : m_queue.takeOpenedBefore(now - m_settings.queueTimeout)) {
        resetQueued(old, "queue timeout expired", Millis(0), now);
    }
    while (!m_queue.empty()) {
        bool isTurn = false;
        QueuedOpening next = *takeNext(isTurn, now);
        const RouteEntry *route = m_directory.routeByAddress(next.flow.service);
        std::string_view reason =
            route == nullptr ? "no route" : rejectionReason(*route, next.trail, now);
        // A route's turn must not wait for the requests of higher priorities.
        const bool full = isTurn ? isUpstreamQueueFull() : isUpstreamFull(next.priority);
        if (reason.empty() && !full && admitsWhileCold(now)) {
            m_drain.onDeparture();
            m_turns.onDeparture(next.flow.service);
            offerToUpstream(next.flow, next.trail, next.bytes, now);
            continue;
        }
        std::optional<Endpoint> peer;
        if (reason.empty()) {
            if (next.trail.hops < m_settings.openingHopsMax) {
                peer = lessLoadedPeer(*route, now);
            }
            if (!peer) {
                m_queue.push(std::move(next), now);
                break;
            }
            reason = "upstream is full";
        }
        m_drain.onDeparture();
        next.trail.heldTime += now - next.queuedAt;
        handOffOpening(next.flow, std::move(next.bytes), next.trail, reason, next.acknowledgement,
                       now, peer);
    }
}

} // namespace bergamotglade
