#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Flows looked at for expiry in one tick.
constexpr std::size_t SweepBudget = 256;
/// Peers of the own service that get each load report, beside those that send flows here.
constexpr std::size_t ReportedPeers = 3;
/// Share of a new sample in the smoothed service time.
constexpr double SampleShare = 0.1;

bool isOpen(FlowStage stage)
{
    return stage == FlowStage::Offered || stage == FlowStage::Accepted || stage == FlowStage::Open;
}

void smooth(double &valueMs, Millis sample)
{
    const auto ms = static_cast<double>(sample.count());
    valueMs = valueMs == 0 ? ms : valueMs + SampleShare * (ms - valueMs);
}

} // namespace

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

// Packets of callers.

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
    const bool moved = known != m_flows.end() && known->second.stage == FlowStage::Moved;
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
    const std::string_view reason = whyNotHere(*route, now);
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

std::string_view AgentSteering::whyNotHere(const RouteEntry &route, Instant now)
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
    return {};
}

bool AgentSteering::coldAdmits(Instant now)
{
    const KnownUpstream *self = m_directory.upstreamAt(m_settings.upstream);
    const double rate = m_directory.coldPerSecond(m_settings.service);
    const bool cold = self == nullptr || now < self->coldUntil;
    return !cold || rate <= 0 || m_coldLimit.admit(rate, now);
}

bool AgentSteering::isFull() const
{
    const double beyond = std::max(1.0, slots() * m_settings.handshakeShare);
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
        std::string_view reason = route == nullptr ? "no route" : whyNotHere(*route, now);
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

void AgentSteering::handOn(const FlowKey &key, PacketBytes bytes, Trail trail,
                           std::string_view reason, std::uint32_t acknowledgement, Instant now)
{
    const RouteEntry *route = m_directory.routeAt(key.service);
    std::vector<Endpoint> others;
    if (route != nullptr && trail.hops < m_settings.hopsMax) {
        for (const auto &[id, known] : m_directory.upstreams()) {
            if (known.entry.agent != m_settings.self && m_directory.takesFlows(known)
                && Directory::allows(*route, known.entry.service)
                && !m_board.isDraining(known.entry.agent)) {
                others.push_back(known.entry.agent);
            }
        }
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
    moved.offeredAt = now;
    moved.seen = now;
    m_codec.setTrail(bytes, key, trail);
    note("hand on", reason, key, *best, now);
    m_hooks.toAgent(*best, bytes);
}

void AgentSteering::onContinuation(const Segment &segment, PacketBytes bytes, Instant now)
{
    // A caller that is past its opening has been taken elsewhere.
    m_queue.erase(segment.flow);
    const auto found = m_flows.find(segment.flow);
    if (found == m_flows.end()) {
        if (mayHoldUnknown(now)) {
            // The upstream returns what it does not hold, and the search goes on.
            deliver(bytes, now);
        } else {
            passOn(segment, std::move(bytes), "not owned here", now);
        }
        return;
    }
    OwnedFlow &flow = found->second;
    flow.seen = now;
    if (flow.stage == FlowStage::Moved) {
        follow(flow.movedTo, segment, std::move(bytes), now);
        return;
    }
    if (!flow.continues(segment)) {
        drop(segment.flow);
        passOn(segment, std::move(bytes), "another upstream was acknowledged", now);
        return;
    }
    flow.callerAcknowledgement = segment.acknowledgement;
    if (flow.stage == FlowStage::Offered || flow.stage == FlowStage::Accepted) {
        if (flow.waiting && flow.stage == FlowStage::Accepted) {
            smooth(m_callerAnswerMs, now - flow.acceptedAt);
        }
        setWaiting(flow, false);
        flow.stage = FlowStage::Open;
        flow.opening.clear();
    }
    if (m_crashed && segment.dataBytes > 0) {
        drop(segment.flow);
        ++m_counters.resetCrashed;
        reset(segment.flow, segment.acknowledgement, "upstream has crashed", now);
        return;
    }
    if (segment.trail.hops > 0 || segment.trail.position > 0) {
        tellLocation(segment.flow, flow, now);
    }
    if (segment.dataBytes > 0 && flow.stage == FlowStage::Open) {
        setBusy(flow, true, now);
    }
    if (segment.resets) {
        drop(segment.flow);
    }
    deliver(bytes, now);
}

void AgentSteering::follow(const Endpoint &agent, const Segment &segment, PacketBytes bytes,
                           Instant now)
{
    Trail trail = segment.trail;
    if (trail.hops >= m_settings.noteHopsMax) {
        if (segment.opens) {
            // The caller sends a copy, or gives up.
            ++m_counters.silent;
            return;
        }
        passOn(segment, std::move(bytes), "note leads nowhere", now);
        return;
    }
    ++trail.hops;
    ++m_counters.passedOn;
    m_codec.setTrail(bytes, segment.flow, trail);
    m_hooks.toAgent(agent, bytes);
}

bool AgentSteering::mayHoldUnknown(Instant now) const
{
    return now - m_startedAt < m_settings.flowMax && !m_silent;
}

void AgentSteering::passOn(const Segment &segment, PacketBytes bytes, std::string_view reason,
                           Instant now)
{
    const RouteEntry *route = m_directory.routeAt(segment.flow.service);
    if (route == nullptr || segment.resets) {
        ++m_counters.silent;
        return;
    }
    const auto holders = m_directory.holders(*route, segment.flow);
    Trail trail = segment.trail;
    trail.incomplete |= m_silent && !m_crashed;
    while (trail.position < holders.size() && holders[trail.position] == m_settings.self) {
        ++trail.position;
    }
    if (trail.position >= holders.size()) {
        onUnclaimed(segment, trail, now);
        return;
    }
    const Endpoint next = holders[trail.position];
    ++trail.position;
    ++trail.hops;
    ++m_counters.passedOn;
    m_codec.setTrail(bytes, segment.flow, trail);
    note("pass on", reason, segment.flow, next, now);
    m_hooks.toAgent(next, bytes);
}

void AgentSteering::onUnclaimed(const Segment &segment, const Trail &trail, Instant now)
{
    const auto [at, isNew] = m_failedSearches.try_emplace(segment.flow, FailedSearch {now, now});
    at->second.last = now;
    const bool again = !isNew && now - at->second.first >= m_settings.searchAgain;
    if (!again || trail.incomplete || !m_hooks.mayAct(now)) {
        ++m_counters.silent;
        note("drop", "no upstream holds the flow, asked once", segment.flow, {}, now);
        return;
    }
    m_failedSearches.erase(at);
    ++m_counters.resetUnclaimed;
    reset(segment.flow, segment.acknowledgement, "no upstream holds the flow", now);
}

void AgentSteering::deliver(const PacketBytes &bytes, Instant now)
{
    ++m_counters.delivered;
    if (m_unanswered++ == 0) {
        m_unansweredSince = now;
    }
    m_hooks.toUpstream(bytes);
}

void AgentSteering::reset(const FlowKey &key, std::uint32_t acknowledgement,
                          std::string_view reason, Instant now)
{
    note("reset", reason, key, key.caller, now);
    m_hooks.toCaller(key.caller, m_codec.makeReset(key, acknowledgement));
}

// Packets of the upstream.

void AgentSteering::onUpstreamPacket(const Segment &segment, PacketBytes bytes, Instant now)
{
    onUpstreamHeard(now);
    handleUpstreamPacket(segment, std::move(bytes), now);
    serveQueue(now);
}

void AgentSteering::handleUpstreamPacket(const Segment &segment, PacketBytes bytes, Instant now)
{
    if (segment.returned) {
        onReturned(segment, std::move(bytes), now);
        return;
    }
    ++m_counters.toCallers;
    const auto [at, isNew] = m_flows.try_emplace(segment.flow);
    OwnedFlow &flow = at->second;
    if (isNew) {
        // The upstream speaks for a flow that a former life of this agent knew.
        flow.stage = FlowStage::Open;
        m_sweep.push_back(segment.flow);
    }
    flow.seen = now;
    if (segment.opens) {
        flow.upstreamSequence = segment.sequence;
        if (flow.stage == FlowStage::Offered) {
            flow.stage = FlowStage::Accepted;
            flow.acceptedAt = now;
            m_accepted.push_back({segment.flow, now});
        }
    }
    if (segment.dataBytes > 0) {
        setBusy(flow, false, now);
    }
    if (segment.finishes || segment.resets) {
        setBusy(flow, false, now);
        setWaiting(flow, false);
        flow.stage = FlowStage::Ended;
    }
    m_hooks.toCaller(segment.flow.caller, bytes);
}

void AgentSteering::onReturned(const Segment &segment, PacketBytes bytes, Instant now)
{
    ++m_counters.returned;
    const auto found = m_flows.find(segment.flow);
    // What was handed on meanwhile comes back late; the other agent has it.
    const bool moved = found != m_flows.end() && found->second.stage == FlowStage::Moved;
    if (moved) {
        return;
    }
    if (!segment.opens) {
        drop(segment.flow);
        passOn(segment, std::move(bytes), "upstream does not hold the flow", now);
        return;
    }
    drop(segment.flow);
    m_refusedAt = now;
    handOn(segment.flow, std::move(bytes), segment.trail, "upstream would not take the flow",
           segment.acknowledgement, now);
    m_nextReport = now;
}

void AgentSteering::onUpstreamHeard(Instant now)
{
    m_unanswered = 0;
    if (m_silent) {
        m_silent = false;
        m_crashed = false;
        m_nextReport = now;
        note("upstream answers", "heard again", {}, m_settings.upstream, now);
    }
}

void AgentSteering::setBusy(OwnedFlow &flow, bool busy, Instant now)
{
    if (flow.busy == busy) {
        return;
    }
    flow.busy = busy;
    if (busy) {
        flow.busySince = now;
        ++m_busy;
        return;
    }
    --m_busy;
    smooth(m_serviceTimeMs, now - flow.busySince);
}

void AgentSteering::setWaiting(OwnedFlow &flow, bool waiting)
{
    if (flow.waiting != waiting) {
        flow.waiting = waiting;
        waiting ? ++m_waiting : --m_waiting;
    }
}

void AgentSteering::drop(const FlowKey &key)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        return;
    }
    if (found->second.busy) {
        --m_busy;
    }
    setWaiting(found->second, false);
    m_flows.erase(found);
}

// Time.

void AgentSteering::onTick(Instant now)
{
    if (now - m_lastTick > m_settings.pause) {
        onPause(now);
    }
    m_lastTick = now;
    checkIncarnation(now);
    checkOffers(now);
    checkAccepted(now);
    checkCrash(now);
    serveQueue(now);
    forgetOld(now);
    sendReports(now, false);
}

void AgentSteering::onPause(Instant now)
{
    // The upstream's answers wait in the socket.
    m_unanswered = 0;
    for (TimedFlow &entry : m_offered) {
        const auto found = m_flows.find(entry.flow);
        if (found != m_flows.end() && found->second.offeredAt == entry.at) {
            found->second.offeredAt = now;
            entry.at = now;
        }
    }
}

void AgentSteering::checkOffers(Instant now)
{
    while (!m_offered.empty()) {
        const FlowKey key = m_offered.front().flow;
        const auto found = m_flows.find(key);
        const bool waits = found != m_flows.end() && found->second.stage == FlowStage::Offered
            && found->second.offeredAt == m_offered.front().at;
        if (waits && now - found->second.offeredAt < m_settings.offerTimeout) {
            break;
        }
        m_offered.pop_front();
        if (!waits) {
            continue;
        }
        if (!m_silent) {
            m_silent = true;
            ++m_counters.upstreamSilences;
            m_nextReport = now;
            m_probeAt = now + m_settings.probeInterval;
            note("upstream is silent", "no answer to an opening packet", key, m_settings.upstream,
                 now);
        }
        const PacketBytes opening = found->second.opening;
        const Trail trail = found->second.trail;
        handOn(key, opening, trail, "upstream is silent", 0, now);
    }
}

void AgentSteering::checkAccepted(Instant now)
{
    while (!m_accepted.empty()) {
        const auto found = m_flows.find(m_accepted.front().flow);
        const bool waits = found != m_flows.end() && found->second.waiting
            && found->second.acceptedAt == m_accepted.front().at;
        if (waits && now - found->second.acceptedAt < callerAnswerTime()) {
            return;
        }
        m_accepted.pop_front();
        if (waits) {
            // The caller is gone or late: its flow holds no slot.
            setWaiting(found->second, false);
        }
    }
}

Millis AgentSteering::callerAnswerTime() const
{
    if (m_callerAnswerMs == 0) {
        return m_settings.callerAnswerMax;
    }
    const Millis usual(static_cast<std::int64_t>(m_callerAnswerMs * m_settings.callerAnswerFactor));
    return std::clamp(usual, m_settings.callerAnswerMin, m_settings.callerAnswerMax);
}

void AgentSteering::checkCrash(Instant now)
{
    const bool crashed = m_silent && m_unanswered >= m_settings.crashPackets
        && now - m_unansweredSince >= m_settings.crashTime;
    if (!crashed || m_crashed) {
        return;
    }
    m_crashed = true;
    std::vector<std::pair<FlowKey, std::uint32_t>> lost;
    for (const auto &[key, flow] : m_flows) {
        if (flow.stage == FlowStage::Open
            && flow.seen <= m_unansweredSince + m_settings.crashTime) {
            lost.emplace_back(key, flow.callerAcknowledgement);
        }
    }
    for (const auto &[key, acknowledgement] : lost) {
        drop(key);
        ++m_counters.resetCrashed;
        reset(key, acknowledgement, "upstream has crashed", now);
    }
}

void AgentSteering::checkIncarnation(Instant now)
{
    const KnownUpstream *self = m_directory.upstreamAt(m_settings.upstream);
    if (self == nullptr || m_upstreamStart == self->entry.startedAt) {
        return;
    }
    const bool restarted = m_upstreamStart.has_value();
    m_upstreamStart = self->entry.startedAt;
    if (restarted) {
        // The upstream starts with nothing: flows of its former life hold no slot of this one.
        note("upstream restarted", "its entry names a new life", {}, m_settings.upstream, now);
        for (auto &[key, flow] : m_flows) {
            setWaiting(flow, false);
            if (flow.busy) {
                flow.busy = false;
                --m_busy;
            }
        }
    }
}

void AgentSteering::forgetOld(Instant now)
{
    for (std::size_t i = std::min(SweepBudget, m_sweep.size()); i > 0; --i) {
        const FlowKey key = m_sweep.front();
        m_sweep.pop_front();
        const auto found = m_flows.find(key);
        if (found == m_flows.end()) {
            continue;
        }
        OwnedFlow &flow = found->second;
        const bool ended = flow.stage == FlowStage::Ended;
        if (flow.busy && now - flow.seen > m_settings.busyTimeout) {
            flow.busy = false;
            --m_busy;
        }
        if (now - flow.seen > (ended ? m_settings.endedLinger : m_settings.idle)) {
            drop(key);
        } else {
            m_sweep.push_back(key);
        }
    }
    std::erase_if(m_failedSearches,
                  [&](const auto &s) { return now - s.second.last > m_settings.searchMemory; });
}

void AgentSteering::sendReports(Instant now, bool atOnce)
{
    if (now < m_nextReport && !atOnce) {
        return;
    }
    const bool calm = load(now).use() < m_settings.calmUse && !m_silent && !m_stopping;
    m_nextReport = now + (calm ? m_settings.calmReportInterval : m_settings.reportInterval);
    std::erase_if(m_senders,
                  [&](const auto &s) { return now - s.second.seen > m_settings.reportMemory; });
    const LoadReport report = makeReport(now);
    for (const Endpoint &process : reportTargets(now)) {
        m_hooks.report(process, report);
    }
}

void AgentSteering::reportTo(const Endpoint &sender, Instant now)
{
    const auto known = m_senders.find(sender);
    if (known != m_senders.end() && now - known->second.reported >= m_settings.arrivalReport) {
        known->second.reported = now;
        m_hooks.report(sender, makeReport(now));
    }
}

void AgentSteering::tellLocation(const FlowKey &key, OwnedFlow &flow, Instant now)
{
    if (now - flow.locatedAt < m_settings.locationInterval) {
        return;
    }
    flow.locatedAt = now;
    std::size_t told = 0;
    for (const auto &[process, sender] : m_senders) {
        if (told++ < m_settings.reportTargetsMax) {
            m_hooks.tellLocation(process, {key, m_settings.self});
        }
    }
}

LoadReport AgentSteering::makeReport(Instant now) const
{
    const LoadEstimate own = load(now);
    LoadReport report;
    report.sender = m_settings.self;
    report.incarnation = m_settings.incarnation;
    report.service = m_settings.service;
    report.domain = m_settings.domain;
    report.upstream = m_settings.upstream;
    report.running = static_cast<std::uint32_t>(own.running);
    report.queued = static_cast<std::uint32_t>(own.queued);
    if (isSuspect(now)) {
        // Asks for a new flow as a probe.
        report.running = 0;
        report.queued = 0;
    }
    report.limit = own.limit;
    report.serviceTimeMs = static_cast<std::uint32_t>(own.serviceTimeMs);
    // An upstream whose entry is missing for good has left.
    const bool gone =
        m_directory.isSettled(now) && m_directory.upstreamAt(m_settings.upstream) == nullptr;
    report.draining = m_stopping || gone;
    report.silentUpstream = m_silent;
    return report;
}

std::vector<Endpoint> AgentSteering::reportTargets(Instant now)
{
    std::vector<Endpoint> targets;
    for (const auto &[process, seen] : m_senders) {
        targets.push_back(process);
    }
    if (!m_directory.isSettled(now)) {
        // Nobody may know this upstream yet.
        for (const Endpoint &peer : m_hooks.peers()) {
            targets.push_back(peer);
        }
    }
    std::vector<Endpoint> peers;
    for (const auto &[id, known] : m_directory.upstreams()) {
        const Endpoint &agent = known.entry.agent;
        if (known.entry.service == m_settings.service && agent != m_settings.self
            && !m_senders.contains(agent)) {
            peers.push_back(agent);
        }
    }
    for (std::size_t i = 0; i < ReportedPeers && !peers.empty(); ++i) {
        const std::size_t at = below(m_random, peers.size());
        targets.push_back(peers[at]);
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(at));
    }
    targets.resize(std::min(targets.size(), m_settings.reportTargetsMax));
    return targets;
}

void AgentSteering::stop(Instant now)
{
    m_stopping = true;
    sendReports(now, true);
}

void AgentSteering::onLoadReport(const LoadReport &report, Instant now)
{
    if (report.service == m_settings.service) {
        LoadReport known = report;
        known.draining |= report.silentUpstream;
        m_board.onReport(known, now);
    }
}

// State.

std::size_t AgentSteering::openCount(Instant now) const
{
    const auto inUse = [&](const auto &entry) {
        return isOpen(entry.second.stage) && now - entry.second.seen <= m_settings.stopQuiet;
    };
    return m_queue.size()
        + static_cast<std::size_t>(std::count_if(m_flows.begin(), m_flows.end(), inUse));
}

LoadEstimate AgentSteering::load(Instant now) const
{
    LoadEstimate own {static_cast<double>(m_busy), static_cast<double>(m_waiting + m_queue.size()),
                      static_cast<double>(slots()), m_serviceTimeMs};
    if (now - m_refusedAt < m_settings.refusing) {
        own.running = std::max(own.running, own.limit);
    }
    return own;
}

std::uint32_t AgentSteering::slots() const
{
    const KnownUpstream *self = m_directory.upstreamAt(m_settings.upstream);
    return self == nullptr ? m_settings.slotsUnknown : std::max(1U, self->entry.slots);
}

void AgentSteering::note(std::string_view decision, std::string_view reason, const FlowKey &flow,
                         const Endpoint &target, Instant now)
{
    if (m_hooks.log) {
        m_hooks.log({decision, reason, flow, target, m_directory.version(), load(now).use(),
                     m_board.ageOf(target, now)});
    }
}

} // namespace bergamotglade
