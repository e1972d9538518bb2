// Load of an agent, its reports to other processes, draining, and the explanation of a flow.

#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Randomly chosen peers of the same service that get each load report, in addition to the
/// processes that send flows here.
constexpr std::size_t RandomReportTargets = 3;

} // namespace

void AgentSteering::sendLoadReports(Instant now, bool force)
{
    if (now < m_nextReportAt && !force) {
        return;
    }
    const bool lowLoad = load(now).utilization() < m_settings.lowLoadUtilization
        && !m_upstreamSilent && !m_outcomes.isFailing() && !m_draining;
    m_nextReportAt = now + (lowLoad ? m_settings.lowLoadReportInterval : m_settings.reportInterval);
    std::erase_if(m_recentSenders,
                  [&](const auto &s) { return now - s.second.lastSeen > m_settings.senderTtl; });
    const LoadReport report = makeLoadReport(now);
    for (const Endpoint &process : loadReportTargets(now)) {
        m_hooks.sendLoadReport(process, report);
    }
}

void AgentSteering::confirmArrival(const Endpoint &sender, Instant now)
{
    const auto known = m_recentSenders.find(sender);
    if (known == m_recentSenders.end()) {
        return;
    }
    known->second.confirmationDue = true;
    if (now - known->second.lastReported >= m_settings.arrivalReportInterval) {
        known->second.lastReported = now;
        known->second.confirmationDue = false;
        m_hooks.sendLoadReport(sender, makeLoadReport(now));
    }
}

void AgentSteering::sendDueConfirmations(Instant now)
{
    // Without a report after the last of several arrivals, the sender would offer a flow that was
    // refused here to another agent.
    for (auto &[process, sender] : m_recentSenders) {
        if (sender.confirmationDue) {
            confirmArrival(process, now);
        }
    }
}

LoadReport AgentSteering::makeLoadReport(Instant now) const
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
    if (isUpstreamSuspect(now)) {
        // Reported as idle, to attract a new flow as a probe.
        report.running = 0;
        report.queued = 0;
    }
    report.limit = own.limit;
    report.serviceTimeMs = static_cast<std::uint32_t>(own.serviceTimeMs);
    // The upstream has left: its entry is missing although the directory has settled.
    const bool unregistered =
        m_directory.isSettled(now) && m_directory.upstreamByAddress(m_settings.upstream) == nullptr;
    report.draining = m_draining || unregistered;
    report.failingUpstream = m_upstreamSilent || m_outcomes.isFailing() || isUpstreamRefusing(now);
    return report;
}

std::vector<Endpoint> AgentSteering::loadReportTargets(Instant now)
{
    std::vector<Endpoint> targets;
    for (const auto &[process, sender] : m_recentSenders) {
        targets.push_back(process);
    }
    if (!m_directory.isSettled(now)) {
        // Other processes may not know this upstream yet.
        for (const Endpoint &peer : m_hooks.knownProcesses()) {
            targets.push_back(peer);
        }
    }
    std::vector<Endpoint> peers;
    for (const auto &[id, known] : m_directory.upstreams()) {
        const Endpoint &agent = known.entry.agent;
        if (known.entry.service == m_settings.service && agent != m_settings.self
            && !m_recentSenders.contains(agent)) {
            peers.push_back(agent);
        }
    }
    for (std::size_t i = 0; i < RandomReportTargets && !peers.empty(); ++i) {
        const std::size_t at = randomBelow(m_random, peers.size());
        targets.push_back(peers[at]);
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(at));
    }
    targets.resize(std::min(targets.size(), m_settings.reportTargetsMax));
    return targets;
}

void AgentSteering::setFlowLifetimeMax(Millis lifetime)
{
    m_settings.flowLifetimeMax = lifetime;
    m_search.setLocationTtl(lifetime);
}

void AgentSteering::startDraining(Instant now)
{
    m_draining = true;
    sendLoadReports(now, true);
}

void AgentSteering::onLoadReport(const LoadReport &report, Instant now)
{
    if (report.service == m_settings.service) {
        // An agent whose upstream is failing gets no flows handed off, like one that is draining.
        LoadReport known = report;
        known.draining |= report.failingUpstream;
        m_peerLoads.onReport(known, now);
    }
}

std::size_t AgentSteering::activeFlowCount(Instant now) const
{
    const auto inUse = [&](const auto &entry) {
        return isActive(entry.second.stage)
            && now - entry.second.lastSeen <= m_settings.drainIdleTimeout;
    };
    return m_queue.size()
        + static_cast<std::size_t>(std::count_if(m_flows.begin(), m_flows.end(), inUse));
}

LoadEstimate AgentSteering::load(Instant now) const
{
    LoadEstimate own {static_cast<double>(m_runningRequests),
                      static_cast<double>(m_handshakes + m_queue.size()),
                      static_cast<double>(slots()), m_serviceTimeMs};
    if (isUpstreamRefusing(now)) {
        own.running = std::max(own.running, own.limit);
    }
    return own;
}

std::uint32_t AgentSteering::slots() const
{
    const KnownUpstream *self = m_directory.upstreamByAddress(m_settings.upstream);
    return self == nullptr ? m_settings.defaultSlots : std::max(1U, self->entry.slots);
}

FlowExplanation AgentSteering::explain(const FlowKey &flow, Instant now) const
{
    FlowExplanation out;
    out.version = m_directory.version();
    out.candidates = candidatesOf(m_directory, flow);
    for (FlowCandidate &candidate : out.candidates) {
        const bool own = candidate.agent == m_settings.self;
        candidate.use =
            (own ? load(now) : m_peerLoads.estimate(candidate.agent, now)).utilization();
        candidate.loadAge = own ? Millis(0) : m_peerLoads.reportAgeOf(candidate.agent, now);
        if (own && (m_upstreamSilent || isUpstreamRefusing(now) || m_outcomes.isFailing())) {
            candidate.state = "in doubt: silent, failing or refusing";
        }
    }
    const auto known = m_flows.find(flow);
    const bool queued = m_queue.contains(flow);
    out.known = queued || known != m_flows.end();
    if (queued) {
        out.stage = "waits for a slot";
    } else if (known == m_flows.end()) {
        const auto location = m_search.locationOf(flow);
        out.stage = m_search.isSearching(flow) ? "owner is searched for"
            : m_unrouted.contains(flow)        ? "route is not known here"
            : location                         ? "owned by another agent"
                                               : "not known here";
        out.target = location.value_or(Endpoint());
    } else {
        out.stage = nameOf(known->second.stage);
        out.target = known->second.stage == FlowStage::HandedOff ? known->second.handedOffTo
                                                                 : m_settings.self;
        out.idle = now - known->second.lastSeen;
    }
    return out;
}

void AgentSteering::logDecision(std::string_view decision, std::string_view reason,
                                const FlowKey &flow, const Endpoint &target, Instant now,
                                Millis expectedWait)
{
    if (m_hooks.log) {
        m_hooks.log({decision, reason, flow, target, m_directory.version(), load(now).utilization(),
                     m_peerLoads.reportAgeOf(target, now), expectedWait});
    }
}

} // namespace bergamotglade
