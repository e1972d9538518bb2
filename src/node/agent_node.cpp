#include <bergamotglade/detail/node/agent_node.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Maximum number of flows checked for expiry per tick.
constexpr std::size_t ExpiryBudget = 2000;

} // namespace

AgentNode::AgentNode(AgentSettings settings, Dissemination &dissemination, AgentHooks hooks,
                     Random random)
    : m_settings(std::move(settings))
    , m_dissemination(dissemination)
    , m_hooks(std::move(hooks))
    , m_random(random)
    , m_flows(m_settings.flowIdle, m_settings.flowsMax)
    , m_limit(m_settings.limit)
    , m_peerLoads(m_settings.placement, std::move(random))
{ }

void AgentNode::onTick(Instant now)
{
    // Called for its check for a pause; the result matters only to packets.
    m_dissemination.mayAct(now);
    refreshView();
    if (m_exclusion == Exclusion::VmOut || m_exclusion == Exclusion::UpstreamOut) {
        startDraining(now);
    } else if (m_draining && m_exclusion == Exclusion::None && !m_stopping) {
        m_draining = false;
        m_dissemination.setLeaving(false, now);
    }
    expireRunning(now);
    updateOverdue(now);
    startQueued(now);
    m_answerBytes -= std::min(m_answerBytes, m_flows.expire(now, ExpiryBudget));
    if (m_draining) {
        offerFlows(now);
    }
    checkOfferTimeouts(now);
    reportLoad(now);
    for (const Endpoint &silent : m_peerLoads.takeSilent(now)) {
        m_dissemination.rumors().markSuspect(silent, now);
    }
}

void AgentNode::startDraining(Instant now)
{
    m_draining = true;
    m_dissemination.setLeaving(true, now);
}

void AgentNode::stop(Instant now)
{
    m_stopping = true;
    m_stoppedAt = now;
    startDraining(now);
}

bool AgentNode::isDrained(Instant now) const
{
    // Peers and balancers need time to learn of the stop and send elsewhere.
    if (m_stopping && now - m_stoppedAt < m_settings.stopLinger) {
        return false;
    }
    const bool idle = m_queue.empty() && m_running.empty() && m_offers.empty();
    // In a failure domain that is out, flows are abandoned instead of handed over.
    return idle && (m_exclusion == Exclusion::DomainOut || m_flows.owned().empty());
}

void AgentNode::onLoadReport(const LoadReport &report, Instant now)
{
    if (report.service != m_settings.service) {
        ++m_counters.wrongService;
        return;
    }
    m_peerLoads.onReport(report, now);
    if (!report.draining) {
        m_dissemination.rumors().markAlive(report.sender, now);
    }
}

void AgentNode::reportLoad(Instant now)
{
    if (now < m_nextLoadReport) {
        return;
    }
    m_nextLoadReport = now + m_settings.loadInterval;
    LoadReport report;
    report.sender = m_dissemination.settings().self;
    report.incarnation = m_dissemination.settings().incarnation;
    report.service = m_settings.service;
    report.running = static_cast<std::uint32_t>(m_running.size());
    report.queued = static_cast<std::uint32_t>(m_queue.size());
    report.limit = m_limit.value(now);
    report.serviceTimeMs = static_cast<std::uint32_t>(m_limit.serviceTime().count());
    report.draining = m_draining || m_exclusion != Exclusion::None;
    std::vector<Endpoint> recipients = ringNeighbours(true);
    for (std::size_t i = 0; i < m_settings.reportRandomPeers && !m_servicePeers.empty(); ++i) {
        recipients.push_back(m_servicePeers[randomBelow(m_random, m_servicePeers.size())]);
    }
    for (const Endpoint &peer : recipients) {
        m_hooks.sendLoad(peer, report);
    }
    // An agent that is missing from the document or whose failure domain is out is in no peer's
    // ring and gets no reports, so it must not suspect anyone. Other excluded agents do not watch
    // their peers either.
    const bool watchesPeers = m_exclusion == Exclusion::None;
    m_peerLoads.setWatched(watchesPeers ? ringNeighbours(false) : std::vector<Endpoint>(), now);
}

std::vector<Endpoint> AgentNode::ringNeighbours(bool forward) const
{
    // The agents of a service form a ring ordered by address; each is monitored by its successors.
    // Suspect neighbours are included but not counted, so that enough others monitor the agent.
    // This agent is not in m_servicePeers, so lower_bound() yields its first successor.
    const std::size_t size = m_servicePeers.size();
    const auto self = std::lower_bound(m_servicePeers.begin(), m_servicePeers.end(),
                                       m_dissemination.settings().self);
    std::size_t position = static_cast<std::size_t>(self - m_servicePeers.begin());
    std::vector<Endpoint> neighbours;
    std::size_t healthy = 0;
    for (std::size_t i = 0; i < size && healthy < m_settings.reportSuccessors; ++i) {
        position = forward ? (position + (i == 0 ? 0 : 1)) % size : (position + size - 1) % size;
        neighbours.push_back(m_servicePeers[position]);
        healthy += m_dissemination.rumors().isSuspect(m_servicePeers[position]) ? 0 : 1;
    }
    return neighbours;
}

void AgentNode::refreshView()
{
    if (m_viewRevision == m_dissemination.revision()) {
        return;
    }
    m_viewRevision = m_dissemination.revision();
    const ConfigView &view = m_dissemination.view();
    m_service = view.service(m_settings.service);
    m_servicePeers.clear();
    m_peerDomains.clear();
    // An upstream that is missing from the document is being removed.
    m_exclusion = view.isOut(m_settings.domain) ? Exclusion::DomainOut : Exclusion::UpstreamOut;
    if (!m_service) {
        return;
    }
    for (const Upstream &upstream : m_service->upstreams) {
        if (upstream.id == m_settings.upstream) {
            m_exclusion = view.exclusionOf(upstream);
            continue;
        }
        m_peerDomains[upstream.agent] = upstream.domain;
        if (!view.isOut(upstream.domain)) {
            m_servicePeers.push_back(upstream.agent);
        }
    }
    std::sort(m_servicePeers.begin(), m_servicePeers.end());
}

} // namespace bergamotglade
