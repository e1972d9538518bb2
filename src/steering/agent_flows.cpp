// Packets of flows at an agent: ownership, search, what the upstream says.

#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Share of a new sample in the smoothed service time.
constexpr double SampleShare = 0.1;

void smooth(double &valueMs, Millis sample)
{
    const auto ms = static_cast<double>(sample.count());
    valueMs = valueMs == 0 ? ms : valueMs + SampleShare * (ms - valueMs);
}

} // namespace

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
    if (m_refusedAt && (segment.opens || segment.dataBytes > 0)) {
        // A place is free again, or will be soon.
        m_refusedAt.reset();
        m_nextReport = now;
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
    if (flow.busy && (segment.dataBytes > 0 || segment.resets)) {
        onOutcome(segment.dataBytes > 0, now);
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

void AgentSteering::onOutcome(bool answered, Instant now)
{
    m_counters.brokenOff += answered ? 0 : 1;
    if (m_outcomes.onOutcome(answered, now)) {
        m_nextReport = now;
        note(m_outcomes.isFailing() ? "upstream is failing" : "upstream works again",
             m_outcomes.isFailing() ? "it broke off its last flows" : "it answers again", {},
             m_settings.upstream, now);
    }
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
    if (busy) {
        flow.busy = true;
        flow.busySince = now;
        ++m_busy;
        return;
    }
    smooth(m_serviceTimeMs, now - flow.busySince);
    clearBusy(flow);
}

void AgentSteering::clearBusy(OwnedFlow &flow)
{
    if (flow.busy) {
        flow.busy = false;
        --m_busy;
    }
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
    clearBusy(found->second);
    setWaiting(found->second, false);
    m_flows.erase(found);
}

} // namespace bergamotglade
