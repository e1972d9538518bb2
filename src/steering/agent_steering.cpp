// New flows at an agent: room, queue, hand-on.

#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <algorithm>

namespace bergamotglade {

AgentSteering::AgentSteering(AgentSteeringSettings settings, Directory &directory,
                             PacketCodec codec, AgentSteeringHooks hooks, Random random,
                             Instant now)
    : m_settings(std::move(settings))
    , m_directory(directory)
    , m_codec(std::move(codec))
    , m_hooks(std::move(hooks))
    , m_random(random)
    , m_board({}, std::move(random))
    , m_queue(m_settings.queueMax)
    , m_startedAt(now)
{ }

void AgentSteering::onCallerPacket(const Segment &segment, PacketBytes bytes, const Endpoint &from,
                                   Instant now)
{
    if (segment.opens) {
        const auto [sender, isNew] = m_senders.try_emplace(from);
        sender->second.seen = now;
        if (isNew) {
            m_nextReport = now;
        }
        onOpening(segment, std::move(bytes), from, now);
    } else {
        onContinuation(segment, std::move(bytes), now);
    }
}

void AgentSteering::onOpening(const Segment &segment, PacketBytes bytes, const Endpoint &from,
                              Instant now)
{
    const auto known = m_flows.find(segment.flow);
    if (known != m_flows.end() && isOpen(known->second.stage) && !m_silent) {
        // A copy: the upstream answers it again.
        known->second.seen = now;
        deliver(bytes, now);
        return;
    }
    bool moved = known != m_flows.end() && known->second.stage == FlowStage::Moved;
    if (moved && segment.trail.hops > known->second.trail.hops) {
        // Not a copy: the other agent has handed the flow back.
        drop(segment.flow);
        moved = false;
    }
    if (moved && m_board.heardAt(known->second.movedTo) > known->second.offeredAt) {
        // A copy of a flow that waits at the other agent.
        follow(known->second.movedTo, segment, std::move(bytes), now);
        return;
    }
    const RouteEntry *route = m_directory.routeAt(segment.flow.service);
    if (route == nullptr || !m_hooks.mayAct(now)) {
        // The sender may know a newer route; the caller sends a copy soon.
        ++m_counters.silent;
        return;
    }
    if (m_queue.contains(segment.flow)) {
        reportTo(from, now);
        return;
    }
    const std::string_view reason = whyNotHere(*route, segment.trail, now);
    if (!reason.empty()) {
        handOn(segment.flow, std::move(bytes), segment.trail, reason, segment.acknowledgement, now);
        return;
    }
    const bool full = (isFull() || !m_queue.empty()) && !takesProbe(now);
    if (!full && coldAdmits(now)) {
        take(segment.flow, segment.trail, bytes, now);
        return;
    }
    // The upstream's answer will be late or come from elsewhere: the sender must not take the
    // agent for dead.
    reportTo(from, now);
    if (!full) {
        handOn(segment.flow, std::move(bytes), segment.trail, "upstream is cold",
               segment.acknowledgement, now);
        return;
    }
    if (segment.trail.hops < m_settings.hopsMax && betterPeer(now)) {
        handOn(segment.flow, std::move(bytes), segment.trail, "upstream is full",
               segment.acknowledgement, now);
        return;
    }
    enqueue(segment, std::move(bytes), *route, now);
}

std::string_view AgentSteering::whyNotHere(const RouteEntry &route, const Trail &trail, Instant now)
{
    if (!Directory::allows(route, m_settings.service)) {
        return "service is not of the route";
    }
    if (m_directory.isOut(m_settings.domain)) {
        return "failure domain is out";
    }
    if (m_stopping) {
        return "agent is stopping";
    }
    const KnownUpstream *self = m_directory.upstreamAt(m_settings.upstream);
    if (self != nullptr && self->entry.leaving) {
        return "upstream is leaving";
    }
    if (self == nullptr && m_directory.isSettled(now)) {
        return "upstream is not registered";
    }
    if (m_flows.size() >= m_settings.flowsMax) {
        return "too many flows";
    }
    if (m_silent) {
        if (now < m_probeAt) {
            return "upstream is silent";
        }
        m_probeAt = now + m_settings.probeInterval;
        return {};
    }
    // Where every upstream is in doubt, none is.
    const bool doubted = m_refusedAt.has_value() || m_outcomes.isFailing();
    if (!doubted || trail.hops >= m_settings.hopsMax || otherTakers(route).empty()) {
        return {};
    }
    if (isRefusing(now)) {
        return "upstream has just refused a flow";
    }
    if (m_refusedAt) {
        // This flow is the probe; the next one waits for its outcome.
        m_refusedAt = now;
    }
    return m_outcomes.isFailing() && !m_outcomes.takeProbe(now) ? "upstream breaks off its flows"
                                                                : "";
}

bool AgentSteering::coldAdmits(Instant now)
{
    const KnownUpstream *self = m_directory.upstreamAt(m_settings.upstream);
    const double rate = m_directory.coldPerSecond(m_settings.service);
    const bool cold = self == nullptr || now < self->coldUntil;
    return !cold || rate <= 0 || m_coldLimit.admit(rate, now);
}

bool AgentSteering::isRefusing(Instant now) const
{
    return m_refusedAt && now - *m_refusedAt < m_settings.refusing;
}

bool AgentSteering::isFull() const
{
    const double beyond = std::max(m_settings.handshakeMin, slots() * m_settings.handshakeShare);
    return m_busy + m_waiting >= slots() + beyond;
}

bool AgentSteering::isSuspect(Instant now) const
{
    return m_unanswered >= m_settings.crashPackets
        && now - m_unansweredSince >= m_settings.suspectTime && now >= m_probeAt;
}

bool AgentSteering::takesProbe(Instant now)
{
    if (!isSuspect(now)) {
        return false;
    }
    m_probeAt = now + m_settings.probeInterval;
    return true;
}

std::optional<Endpoint> AgentSteering::betterPeer(Instant now) const
{
    return m_board.clearlyBetter(load(now), now, [&](const Endpoint &agent) {
        const KnownUpstream *peer = m_directory.upstreamOf(agent);
        return agent != m_settings.self && peer != nullptr && m_directory.takesFlows(*peer);
    });
}

void AgentSteering::enqueue(const Segment &segment, PacketBytes bytes, const RouteEntry &route,
                            Instant now)
{
    const Millis usual(static_cast<std::int64_t>(m_serviceTimeMs * m_settings.inTimeFactor));
    QueuedOpening opening;
    opening.flow = segment.flow;
    opening.bytes = std::move(bytes);
    opening.trail = segment.trail;
    opening.acknowledgement = segment.acknowledgement;
    opening.queuedAt = now;
    opening.openedAt = now - segment.openedAgo;
    opening.inTimeUntil = opening.openedAt + route.target - usual;
    opening.priority = route.priority;
    ++m_counters.queued;
    note("queue", "upstream is full", segment.flow, m_settings.upstream, now);
    const auto displaced = m_queue.push(std::move(opening), now);
    if (displaced) {
        refuseQueued(*displaced, "queue is full", now);
    }
}

void AgentSteering::refuseQueued(const QueuedOpening &opening, std::string_view reason, Instant now)
{
    ++m_counters.queueRefused;
    reset(opening.flow, opening.acknowledgement, reason, now);
}

void AgentSteering::serveQueue(Instant now)
{
    if (m_queue.empty()) {
        return;
    }
    for (const QueuedOpening &old : m_queue.takeOlderThan(now - m_settings.queueTime)) {
        refuseQueued(old, "waited for too long", now);
    }
    std::vector<QueuedOpening> stays;
    while (!m_queue.empty()) {
        QueuedOpening next = *m_queue.pop(now);
        const RouteEntry *route = m_directory.routeAt(next.flow.service);
        std::string_view reason =
            route == nullptr ? "no route" : whyNotHere(*route, next.trail, now);
        if (reason.empty() && !isFull() && coldAdmits(now)) {
            take(next.flow, next.trail, next.bytes, now);
            continue;
        }
        if (reason.empty()) {
            if (next.trail.hops >= m_settings.hopsMax || !betterPeer(now)) {
                stays.push_back(std::move(next));
                break;
            }
            reason = "upstream is full";
        }
        next.trail.kept += now - next.queuedAt;
        handOn(next.flow, std::move(next.bytes), next.trail, reason, next.acknowledgement, now);
    }
    for (QueuedOpening &opening : stays) {
        m_queue.push(std::move(opening), now);
    }
}

void AgentSteering::take(const FlowKey &key, const Trail &trail, const PacketBytes &bytes,
                         Instant now)
{
    drop(key);
    OwnedFlow &flow = m_flows[key];
    m_sweep.push_back(key);
    flow.seen = now;
    flow.offeredAt = now;
    flow.trail = trail;
    flow.opening = bytes;
    setWaiting(flow, true);
    ++m_counters.opened;
    m_offered.push_back({key, now});
    note("take", "room here", key, m_settings.upstream, now);
    deliver(bytes, now);
}

std::vector<Endpoint> AgentSteering::otherTakers(const RouteEntry &route) const
{
    std::vector<Endpoint> agents;
    for (const auto &[id, known] : m_directory.upstreams()) {
        if (known.entry.agent != m_settings.self && m_directory.takesFlows(known)
            && Directory::allows(route, known.entry.service)
            && !m_board.isDraining(known.entry.agent)) {
            agents.push_back(known.entry.agent);
        }
    }
    return agents;
}

void AgentSteering::handOn(const FlowKey &key, PacketBytes bytes, Trail trail,
                           std::string_view reason, std::uint32_t acknowledgement, Instant now)
{
    const RouteEntry *route = m_directory.routeAt(key.service);
    std::vector<Endpoint> others;
    if (route != nullptr && trail.hops < m_settings.hopsMax) {
        others = otherTakers(*route);
    }
    // Upstreams with room come first; where there is none, any will do.
    const auto full =
        std::stable_partition(others.begin(), others.end(), [&](const Endpoint &agent) {
            return m_board.estimate(agent, now).use() <= 1;
        });
    if (full != others.begin()) {
        others.erase(full, others.end());
    }
    // Two random ones, the less loaded of both: a sure best would get all that others hand on.
    const Endpoint *best = nullptr;
    double bestMs = 0;
    for (std::size_t i = 0; i < 2 && !others.empty(); ++i) {
        const Endpoint &agent = others[below(m_random, others.size())];
        const double ms = m_board.estimate(agent, now).expectedMs();
        if (best == nullptr || ms < bestMs) {
            best = &agent;
            bestMs = ms;
        }
    }
    if (best == nullptr) {
        ++m_counters.resetRefused;
        reset(key, acknowledgement, reason, now);
        return;
    }
    ++trail.hops;
    ++m_counters.handedOn;
    m_board.onSent(*best, now);
    drop(key);
    OwnedFlow &moved = m_flows[key];
    m_sweep.push_back(key);
    moved.stage = FlowStage::Moved;
    moved.movedTo = *best;
    moved.trail = trail;
    moved.offeredAt = now;
    moved.seen = now;
    m_codec.setTrail(bytes, key, trail);
    note("hand on", reason, key, *best, now);
    m_hooks.toAgent(*best, bytes);
}

} // namespace bergamotglade
