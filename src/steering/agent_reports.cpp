// Load of an agent, and what it tells others.

#include <bergamotglade/detail/steering/agent_steering.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Peers of the own service that get each load report, beside those that send flows here.
constexpr std::size_t ReportedPeers = 3;

} // namespace

void AgentSteering::sendReports(Instant now, bool atOnce)
{
    if (now < m_nextReport && !atOnce) {
        return;
    }
    const bool calm =
        load(now).use() < m_settings.calmUse && !m_silent && !m_outcomes.isFailing() && !m_stopping;
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
    report.failingUpstream = m_silent || m_outcomes.isFailing() || isRefusing(now);
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
        known.draining |= report.failingUpstream;
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
    if (isRefusing(now)) {
        own.running = std::max(own.running, own.limit);
    }
    return own;
}

std::uint32_t AgentSteering::slots() const
{
    const KnownUpstream *self = m_directory.upstreamAt(m_settings.upstream);
    return self == nullptr ? m_settings.slotsUnknown : std::max(1U, self->entry.slots);
}

FlowExplanation AgentSteering::explain(const FlowKey &flow, Instant now) const
{
    FlowExplanation out;
    out.version = m_directory.version();
    out.candidates = candidatesOf(m_directory, flow);
    for (FlowCandidate &candidate : out.candidates) {
        const bool own = candidate.agent == m_settings.self;
        candidate.use = (own ? load(now) : m_board.estimate(candidate.agent, now)).use();
        candidate.loadAge = own ? Millis(0) : m_board.ageOf(candidate.agent, now);
        if (own && (m_silent || isRefusing(now) || m_outcomes.isFailing())) {
            candidate.state = "in doubt: silent, failing or refusing";
        }
    }
    const auto known = m_flows.find(flow);
    const bool queued = m_queue.contains(flow);
    out.known = queued || known != m_flows.end();
    if (queued) {
        out.stage = "waits for a slot";
    } else if (known == m_flows.end()) {
        out.stage = "not known here";
    } else {
        out.stage = nameOf(known->second.stage);
        out.target =
            known->second.stage == FlowStage::Moved ? known->second.movedTo : m_settings.self;
        out.idle = now - known->second.seen;
    }
    return out;
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
