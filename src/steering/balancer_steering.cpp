#include <bergamotglade/detail/steering/balancer_steering.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Flows checked for expiry in one tick.
constexpr std::size_t ExpiryChecksPerTick = 256;

bool contains(const std::vector<Endpoint> &list, const Endpoint &agent)
{
    return std::find(list.begin(), list.end(), agent) != list.end();
}

} // namespace

BalancerSteering::BalancerSteering(BalancerSteeringSettings settings, Directory &directory,
                                   PacketCodec codec, BalancerSteeringHooks hooks, Random random)
    : m_settings(settings)
    , m_directory(directory)
    , m_codec(std::move(codec))
    , m_hooks(std::move(hooks))
    , m_peerLoads({}, std::move(random))
    , m_unrouted(settings.unrouted, unroutedHooks())
    , m_link(settings.link)
{ }

void BalancerSteering::onPacket(const Segment &segment, PacketBytes bytes, Instant now)
{
    if (!m_directory.hasRoutes() && segment.opens) {
        holdOpening(segment, std::move(bytes), now);
        return;
    }
    const RouteEntry *route = m_directory.routeByAddress(segment.flow.service);
    if (route == nullptr) {
        onUnrouted(segment, std::move(bytes), now, now);
        return;
    }
    if (segment.opens) {
        onOpening(segment, std::move(bytes), now);
        return;
    }
    const auto found = m_flows.find(segment.flow);
    if (found == m_flows.end() || found->second.ownerUnknown || mayHaveEnded(found->second, now)) {
        sendToHome(segment, *route, std::move(bytes), now);
        return;
    }
    PlacedFlow &flow = found->second;
    flow.lastSeen = now;
    flow.established = true;
    flow.openingPacket.clear();
    if (m_link.isEnabled() && segment.dataBytes > 0) {
        if (m_link.isRepeat(segment, now)) {
            ++m_counters.repeatsDropped;
            return;
        }
        m_link.onData(segment.flow, flow.link, now);
        if (segment.dataBytes < m_codec.dataBytesMax) {
            m_link.onRequestEnd(segment.flow, now);
        }
    }
    ++m_counters.packetsForwarded;
    transmit(flow.agent, bytes, now);
}

void BalancerSteering::onOpening(const Segment &segment, PacketBytes bytes, Instant now,
                                 Millis heldTime)
{
    // The configuration view may be outdated after a pause of the process: no flow is placed
    // according to it.
    if (!m_hooks.mayAct(now)) {
        holdOpening(segment, std::move(bytes), now);
        return;
    }
    if (!waitsForLink(segment, bytes, now, heldTime)) {
        placeOpening(segment, std::move(bytes), now);
    }
}

void BalancerSteering::placeOpening(const Segment &segment, PacketBytes bytes, Instant now)
{
    const RouteEntry &route = *m_directory.routeByAddress(segment.flow.service);
    const auto [at, isNew] = m_flows.try_emplace(segment.flow);
    PlacedFlow &flow = at->second;
    flow.lastSeen = now;
    if (isNew) {
        m_expiryQueue.push_back(segment.flow);
    } else if (flow.ownerUnknown) {
        // The entry is of an earlier flow with the same addresses, whose owner was searched for.
        flow = PlacedFlow {};
        flow.lastSeen = now;
    } else if (flow.established || now - flow.offeredAt < m_settings.offerTimeout
               || hasReportedSinceOffer(flow)) {
        // A retransmission that crossed the upstream's answer, or for a flow that is queued at the
        // agent.
        ++m_counters.packetsForwarded;
        transmit(flow.agent, bytes, now);
        return;
    } else if (flow.tried.size() >= m_settings.offersMax) {
        flow.tried.clear();
    }
    flow.openingPacket = bytes;
    offerToAgent(segment.flow, route, flow, isNew ? "new flow" : "retransmitted opening packet",
                 now);
    if (flow.tried.empty()) {
        m_flows.erase(segment.flow);
        const bool hasService = Directory::serviceFor(route, segment.flow).has_value();
        if (hasService && !m_directory.isSettled(now)) {
            holdOpening(segment, std::move(bytes), now);
            return;
        }
        rejectFlow(segment,
                   hasService ? "no upstream takes flows" : "all weights of the route are 0", now);
    }
}

void BalancerSteering::holdOpening(const Segment &segment, PacketBytes bytes, Instant now)
{
    const auto known = m_heldOpenings.find(segment.flow);
    if (known != m_heldOpenings.end()) {
        // The latest copy gives the best estimate of the flow's age.
        known->second.segment = segment;
        known->second.bytes = std::move(bytes);
        known->second.lastCopyAt = now;
        return;
    }
    if (m_heldOpenings.size() >= m_settings.heldOpeningsMax) {
        ++m_counters.packetsDropped;
        return;
    }
    ++m_counters.openingsHeld;
    m_heldOpenings.emplace(segment.flow, HeldOpening {segment, std::move(bytes), now, now});
}

void BalancerSteering::placeHeldOpenings(Instant now)
{
    if (m_heldOpenings.empty() || !m_directory.hasRoutes() || !m_hooks.mayAct(now)) {
        return;
    }
    std::unordered_map<FlowKey, HeldOpening> waiting;
    waiting.swap(m_heldOpenings);
    for (auto &[key, held] : waiting) {
        if (now - held.heldSince > m_settings.heldOpeningAgeMax) {
            continue;
        }
        const RouteEntry *route = m_directory.routeByAddress(key.service);
        if (route == nullptr) {
            onUnrouted(held.segment, std::move(held.bytes), held.lastCopyAt, now);
            continue;
        }
        const auto service = Directory::serviceFor(*route, key);
        if (!service || m_directory.serviceTable(*service) != nullptr
            || m_directory.isSettled(now)) {
            resumeOpening(held.segment, std::move(held.bytes), held.lastCopyAt, now);
        } else {
            m_heldOpenings.emplace(key, std::move(held));
        }
    }
}

void BalancerSteering::resumeOpening(const Segment &segment, PacketBytes bytes, Instant lastCopyAt,
                                     Instant now)
{
    Trail trail;
    trail.heldTime = now - lastCopyAt;
    m_codec.setTrail(bytes, segment.flow, trail);
    onOpening(segment, std::move(bytes), now, trail.heldTime);
}

UnroutedFlowsHooks BalancerSteering::unroutedHooks()
{
    UnroutedFlowsHooks hooks;
    hooks.isRouteKnown = [this](const Endpoint &route) {
        return m_directory.routeByAddress(route) != nullptr;
    };
    hooks.requestConfirmation = m_hooks.requestConfirmation;
    hooks.isConfirmedSince = m_hooks.isConfirmedSince;
    hooks.release = [this](UnroutedPacket packet, Instant now) {
        if (packet.segment.opens) {
            resumeOpening(packet.segment, std::move(packet.bytes), packet.receivedAt, now);
        } else {
            onPacket(packet.segment, std::move(packet.bytes), now);
        }
    };
    hooks.reject = [this](const Segment &segment, Instant now) {
        rejectFlow(segment, "no route", now);
    };
    return hooks;
}

void BalancerSteering::onUnrouted(const Segment &segment, PacketBytes bytes, Instant receivedAt,
                                  Instant now)
{
    // The route of a flow that is known here has been dropped since. A new flow may be rejected
    // although a version unknown here may have added its route again: nothing is lost with it.
    const bool isDropped = m_flows.contains(segment.flow)
        || (segment.opens && m_directory.wasRouteDropped(segment.flow.service));
    if (isDropped || segment.resets) {
        rejectFlow(segment, "no route", now);
        return;
    }
    if (!m_unrouted.contains(segment.flow)) {
        logDecision("hold", "route is not known here", segment.flow, {}, now);
    }
    m_unrouted.hold({segment, std::move(bytes), {}, receivedAt}, now);
}

void BalancerSteering::offerToAgent(const FlowKey &key, const RouteEntry &route, PlacedFlow &flow,
                                    std::string_view reason, Instant now)
{
    const auto agent = chooseAgent(key, route, flow.tried, now);
    if (!agent) {
        return;
    }
    flow.agent = *agent;
    flow.tried.push_back(*agent);
    flow.offeredAt = now;
    m_offerTimers.push_back({key, now});
    ++m_counters.flowsOffered;
    m_peerLoads.onSent(*agent, now);
    logDecision("offer", reason, key, *agent, now);
    transmit(*agent, flow.openingPacket, now);
}

std::optional<Endpoint> BalancerSteering::chooseAgent(const FlowKey &key, const RouteEntry &route,
                                                      const std::vector<Endpoint> &tried,
                                                      Instant now)
{
    const auto service = Directory::serviceFor(route, key);
    const ServiceTable *table = service ? m_directory.serviceTable(*service) : nullptr;
    if (table == nullptr) {
        return std::nullopt;
    }
    const ServiceTable *home = m_directory.homeServiceTable(table->service().name);
    if (home != nullptr) {
        const auto homeAgent = leastLoadedCandidate(*home, key, tried, now);
        if (homeAgent
            && m_peerLoads.estimate(*homeAgent, now).utilization()
                <= m_settings.homeUtilizationMax) {
            return homeAgent;
        }
    }
    const auto best = leastLoadedCandidate(*table, key, tried, now);
    if (best && m_peerLoads.estimate(*best, now).utilization() <= 1) {
        return best;
    }
    // The candidates of the flow's bucket are preferred because a search for the owner starts with
    // them and so finds it soon. If they are full, suspect or already tried, all upstreams of the
    // service are considered.
    std::vector<Endpoint> healthy;
    std::vector<Endpoint> suspect;
    for (const Upstream &upstream : table->service().upstreams) {
        const KnownUpstream *known = m_directory.upstreamByAgent(upstream.agent);
        if (known != nullptr && m_directory.acceptsNewFlows(*known, route)
            && !contains(tried, upstream.agent)) {
            (isSuspect(upstream.agent, now) ? suspect : healthy).push_back(upstream.agent);
        }
    }
    const auto other = leastLoaded(healthy, now);
    return other ? other : leastLoaded(suspect, now);
}

std::optional<Endpoint> BalancerSteering::leastLoadedCandidate(const ServiceTable &table,
                                                               const FlowKey &key,
                                                               const std::vector<Endpoint> &tried,
                                                               Instant now) const
{
    std::vector<Endpoint> candidates;
    for (const Endpoint &agent : table.candidates(bucketOf(key))) {
        if (!contains(tried, agent) && !isSuspect(agent, now)) {
            candidates.push_back(agent);
        }
    }
    return leastLoaded(candidates, now);
}

std::optional<Endpoint> BalancerSteering::leastLoaded(const std::vector<Endpoint> &agents,
                                                      Instant now) const
{
    const Endpoint *best = nullptr;
    double bestMs = 0;
    for (const Endpoint &agent : agents) {
        const double ms = m_peerLoads.estimate(agent, now).expectedMs();
        if (best == nullptr || ms < bestMs) {
            best = &agent;
            bestMs = ms;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

bool BalancerSteering::mayHaveEnded(const PlacedFlow &flow, Instant now) const
{
    return m_directory.upstreamByAgent(flow.agent) == nullptr
        && now - flow.locatedAt > m_settings.departedRecheckInterval;
}

void BalancerSteering::sendToHome(const Segment &segment, const RouteEntry &route,
                                  PacketBytes bytes, Instant now)
{
    const FlowHomes homes = homesOf(m_directory.possibleOwners(route), segment.flow);
    // A reset of an unknown flow is not worth a search.
    if (segment.resets || homes.count == 0) {
        ++m_counters.packetsDropped;
        return;
    }
    ++m_counters.packetsSearched;
    const auto [known, isNew] = m_flows.try_emplace(segment.flow);
    PlacedFlow &flow = known->second;
    if (isNew) {
        m_expiryQueue.push_back(segment.flow);
    }
    if (!flow.ownerUnknown) {
        flow.ownerUnknown = true;
        flow.established = true;
        flow.openingPacket.clear();
        flow.searchedSince = now;
        flow.agent = Endpoint();
    }
    flow.lastSeen = now;
    const Endpoint home = chooseHome(homes, flow, now);
    if (home != flow.agent) {
        flow.agent = home;
        logDecision("search", "owner is not known", segment.flow, home, now);
    }
    // The hop tells the home, if it is the owner itself, to report that.
    Trail trail;
    trail.hops = 1;
    m_codec.setTrail(bytes, segment.flow, trail);
    if (m_link.isEnabled() && segment.dataBytes > 0) {
        m_link.onData(segment.flow, flow.link, now);
    }
    transmit(home, bytes, now);
}

Endpoint BalancerSteering::chooseHome(const FlowHomes &homes, const PlacedFlow &flow,
                                      Instant now) const
{
    const auto attempt = static_cast<std::size_t>((now - flow.searchedSince)
                                                  / std::max(m_settings.homeTimeout, Millis(1)));
    for (const Endpoint &home : homes) {
        const bool isHeard = now - m_peerLoads.lastReportAt(home) <= m_settings.homeReportAgeMax;
        if (!isSuspect(home, now) && (attempt == 0 || isHeard)) {
            return home;
        }
    }
    return homes.agents[attempt % homes.count];
}

void BalancerSteering::rejectFlow(const Segment &segment, std::string_view reason, Instant now)
{
    if (segment.resets) {
        return;
    }
    // An outdated configuration view may lack the route or the upstreams that the flow uses.
    if (!m_hooks.mayAct(now)) {
        ++m_counters.packetsDropped;
        return;
    }
    ++(reason == "no route" ? m_counters.resetsWithoutRoute : m_counters.resetsWithoutUpstream);
    logDecision("reset", reason, segment.flow, segment.flow.caller, now);
    sendReset(segment, now);
}

void BalancerSteering::onLoadReport(const LoadReport &report, Instant now)
{
    m_peerLoads.onReport(report, now);
    if (report.draining) {
        m_suspectUntil[report.sender] = now + m_settings.suspectDuration;
    } else if (report.failingUpstream) {
        // The suspicion is not extended while it lasts, so that it ends from time to time and the
        // agent gets flows to probe its upstream with.
        if (!isSuspect(report.sender, now)) {
            m_suspectUntil[report.sender] = now + m_settings.suspectDuration;
        }
    } else {
        m_suspectUntil.erase(report.sender);
    }
}

void BalancerSteering::onFlowLocated(const FlowLocated &located, Instant now)
{
    const auto found = m_flows.find(located.flow);
    if (found == m_flows.end()) {
        return;
    }
    logDecision("learn owner", "owner reported its location", located.flow, located.agent, now);
    found->second.agent = located.agent;
    found->second.ownerUnknown = false;
    found->second.established = true;
    found->second.locatedAt = now;
}

bool BalancerSteering::hasReportedSinceOffer(const PlacedFlow &flow) const
{
    // An agent that has reported since the offer is alive: the flow is queued there or was handed
    // off.
    return m_peerLoads.lastReportAt(flow.agent) > flow.offeredAt;
}

bool BalancerSteering::isSuspect(const Endpoint &agent, Instant now) const
{
    const auto found = m_suspectUntil.find(agent);
    return found != m_suspectUntil.end() && now < found->second;
}

void BalancerSteering::onTick(Instant now)
{
    if (now - m_lastTick > m_settings.pauseThreshold) {
        onProcessPause(now);
    }
    m_lastTick = now;
    checkOfferTimeouts(now);
    placeHeldOpenings(now);
    m_unrouted.resolve(now);
    placeOpeningsWaitingForLink(now);
    expireFlows(now);
}

void BalancerSteering::onProcessPause(Instant now)
{
    // The callers' next packets may still be in the socket's receive buffer.
    restartOfferTimers(m_offerTimers, m_flows, now);
}

void BalancerSteering::checkOfferTimeouts(Instant now)
{
    while (!m_offerTimers.empty()) {
        const FlowKey key = m_offerTimers.front().flow;
        const auto found = m_flows.find(key);
        const bool pending = found != m_flows.end() && !found->second.established
            && found->second.offeredAt == m_offerTimers.front().at;
        if (pending && now - found->second.offeredAt < m_settings.offerTimeout) {
            break;
        }
        m_offerTimers.pop_front();
        if (!pending || hasReportedSinceOffer(found->second)) {
            continue;
        }
        PlacedFlow &flow = found->second;
        m_suspectUntil[flow.agent] = now + m_settings.suspectDuration;
        const RouteEntry *route = m_directory.routeByAddress(key.service);
        if (route != nullptr && flow.tried.size() < m_settings.offersMax && m_hooks.mayAct(now)) {
            ++m_counters.flowsReoffered;
            offerToAgent(key, *route, flow, "offer was not answered in time", now);
        }
    }
}

void BalancerSteering::expireFlows(Instant now)
{
    for (std::size_t i = std::min(ExpiryChecksPerTick, m_expiryQueue.size()); i > 0; --i) {
        const FlowKey key = m_expiryQueue.front();
        m_expiryQueue.pop_front();
        const auto found = m_flows.find(key);
        if (found == m_flows.end()) {
            continue;
        }
        const bool idle = now - found->second.lastSeen > m_settings.idleTimeout;
        if (idle || m_flows.size() > m_settings.flowsMax) {
            m_flows.erase(found);
        } else {
            m_expiryQueue.push_back(key);
        }
    }
}

void BalancerSteering::logDecision(std::string_view decision, std::string_view reason,
                                   const FlowKey &flow, const Endpoint &target, Instant now)
{
    if (m_hooks.log) {
        m_hooks.log({decision, reason, flow, target, m_directory.version(),
                     m_peerLoads.estimate(target, now).utilization(),
                     m_peerLoads.reportAgeOf(target, now)});
    }
}

FlowExplanation BalancerSteering::explain(const FlowKey &flow, Instant now) const
{
    FlowExplanation out;
    out.version = m_directory.version();
    out.candidates = candidatesOf(m_directory, flow);
    for (FlowCandidate &candidate : out.candidates) {
        candidate.use = m_peerLoads.estimate(candidate.agent, now).utilization();
        candidate.loadAge = m_peerLoads.reportAgeOf(candidate.agent, now);
        if (isSuspect(candidate.agent, now)) {
            candidate.state = "in doubt: silent, failing or stopping";
        }
    }
    const auto known = m_flows.find(flow);
    const auto held = m_heldOpenings.find(flow);
    const auto waiting = m_linkOpenings.find(flow);
    out.known =
        known != m_flows.end() || held != m_heldOpenings.end() || waiting != m_linkOpenings.end();
    if (known != m_flows.end()) {
        const PlacedFlow &placed = known->second;
        out.stage = placed.ownerUnknown ? "owner is searched for"
                                        : (placed.established ? "open" : "offered");
        out.target = placed.agent;
        out.tried = placed.tried;
        out.idle = now - placed.lastSeen;
    } else if (held != m_heldOpenings.end()) {
        out.stage = "waits for routes or upstreams";
        out.idle = now - held->second.lastCopyAt;
    } else if (waiting != m_linkOpenings.end()) {
        out.stage = "waits for the link of the balancer";
        out.idle = now - waiting->second.lastCopyAt;
    } else if (m_unrouted.contains(flow)) {
        out.known = true;
        out.stage = "route is not known here";
    } else {
        out.stage =
            m_directory.routeByAddress(flow.service) == nullptr ? "no route" : "not known here";
    }
    return out;
}

} // namespace bergamotglade
