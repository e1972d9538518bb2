#include <bergamotglade/detail/steering/balancer_steering.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Flows looked at for expiry in one tick.
constexpr std::size_t SweepBudget = 256;

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
    , m_board({}, std::move(random))
{ }

void BalancerSteering::onPacket(const Segment &segment, PacketBytes bytes, Instant now)
{
    if (!m_directory.hasRoutes()) {
        if (segment.opens) {
            hold(segment, std::move(bytes), now);
        } else {
            ++m_counters.silent;
        }
        return;
    }
    const RouteEntry *route = m_directory.routeAt(segment.flow.service);
    if (route == nullptr) {
        refuse(segment, "no route", now);
        return;
    }
    if (segment.opens) {
        open(segment, std::move(bytes), now);
        return;
    }
    const auto found = m_flows.find(segment.flow);
    if (found == m_flows.end() || found->second.searching) {
        search(segment, *route, std::move(bytes), now);
        return;
    }
    Placed &flow = found->second;
    flow.seen = now;
    flow.confirmed = true;
    flow.opening.clear();
    ++m_counters.forwarded;
    m_hooks.forward(flow.agent, bytes);
}

void BalancerSteering::open(const Segment &segment, PacketBytes bytes, Instant now)
{
    // A view that a pause has made old must not place anything.
    if (!m_hooks.mayAct(now)) {
        hold(segment, std::move(bytes), now);
        return;
    }
    const RouteEntry &route = *m_directory.routeAt(segment.flow.service);
    const auto [at, isNew] = m_flows.try_emplace(segment.flow);
    Placed &flow = at->second;
    flow.seen = now;
    if (isNew) {
        m_sweep.push_back(segment.flow);
    } else if (flow.searching) {
        flow = Placed {};
        flow.seen = now;
    } else if (flow.confirmed || now - flow.offeredAt < m_settings.offerTimeout
               || hasArrived(flow)) {
        // A copy of the opening packet that crossed the answer, or of a flow that waits there.
        ++m_counters.forwarded;
        m_hooks.forward(flow.agent, bytes);
        return;
    } else if (flow.tried.size() >= m_settings.offersMax) {
        flow.tried.clear();
    }
    flow.opening = bytes;
    offer(segment.flow, route, flow, isNew ? "new flow" : "copy of the opening packet", now);
    if (flow.tried.empty()) {
        m_flows.erase(segment.flow);
        if (!m_directory.isSettled(now)) {
            hold(segment, std::move(bytes), now);
            return;
        }
        refuse(segment, "no upstream takes flows", now);
    }
}

void BalancerSteering::hold(const Segment &segment, PacketBytes bytes, Instant now)
{
    const auto known = m_held.find(segment.flow);
    if (known != m_held.end()) {
        // The newest copy tells the age of the flow best.
        known->second.segment = segment;
        known->second.bytes = std::move(bytes);
        known->second.newestAt = now;
        return;
    }
    if (m_held.size() >= m_settings.heldMax) {
        ++m_counters.silent;
        return;
    }
    ++m_counters.held;
    m_held.emplace(segment.flow, Held {segment, std::move(bytes), now, now});
}

void BalancerSteering::placeHeld(Instant now)
{
    if (m_held.empty() || !m_directory.hasRoutes() || !m_hooks.mayAct(now)) {
        return;
    }
    std::unordered_map<FlowKey, Held> waiting;
    waiting.swap(m_held);
    for (auto &[key, held] : waiting) {
        if (now - held.since > m_settings.heldMaxAge) {
            continue;
        }
        const RouteEntry *route = m_directory.routeAt(key.service);
        if (route == nullptr) {
            refuse(held.segment, "no route", now);
        } else if (m_directory.table(Directory::serviceFor(*route, key)) != nullptr
                   || m_directory.isSettled(now)) {
            Trail trail;
            trail.kept = now - held.newestAt;
            m_codec.setTrail(held.bytes, key, trail);
            open(held.segment, std::move(held.bytes), now);
        } else {
            m_held.emplace(key, std::move(held));
        }
    }
}

void BalancerSteering::offer(const FlowKey &key, const RouteEntry &route, Placed &flow,
                             std::string_view reason, Instant now)
{
    const auto agent = choose(key, route, flow.tried, now);
    if (!agent) {
        return;
    }
    flow.agent = *agent;
    flow.tried.push_back(*agent);
    flow.offeredAt = now;
    m_offered.push_back({key, now});
    ++m_counters.placed;
    m_board.onSent(*agent, now);
    note("offer", reason, key, *agent, now);
    m_hooks.forward(*agent, flow.opening);
}

std::optional<Endpoint> BalancerSteering::choose(const FlowKey &key, const RouteEntry &route,
                                                 const std::vector<Endpoint> &tried, Instant now)
{
    const ServiceTable *table = m_directory.table(Directory::serviceFor(route, key));
    if (table == nullptr) {
        return std::nullopt;
    }
    const ServiceTable *home = m_directory.homeTable(table->service().name);
    if (home != nullptr) {
        const auto near = bestCandidate(*home, key, tried, now);
        if (near && m_board.estimate(*near, now).use() <= m_settings.homeUse) {
            return near;
        }
    }
    const auto best = bestCandidate(*table, key, tried, now);
    if (best && m_board.estimate(*best, now).use() <= 1) {
        return best;
    }
    // Flows stay among the first candidates, where a search finds them soon, until those are full.
    std::vector<Endpoint> all;
    std::vector<Endpoint> doubted;
    for (const Upstream &upstream : table->service().upstreams) {
        const KnownUpstream *known = m_directory.upstreamOf(upstream.agent);
        if (known != nullptr && m_directory.takesFlows(*known)
            && !contains(tried, upstream.agent)) {
            (isDoubted(upstream.agent, now) ? doubted : all).push_back(upstream.agent);
        }
    }
    const auto other = leastLoaded(all, now);
    return other ? other : leastLoaded(doubted, now);
}

std::optional<Endpoint> BalancerSteering::bestCandidate(const ServiceTable &table,
                                                        const FlowKey &key,
                                                        const std::vector<Endpoint> &tried,
                                                        Instant now) const
{
    std::vector<Endpoint> candidates;
    for (const Endpoint &agent : table.candidates(bucketOf(key))) {
        if (!contains(tried, agent) && !isDoubted(agent, now)) {
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
        const double ms = m_board.estimate(agent, now).expectedMs();
        if (best == nullptr || ms < bestMs) {
            best = &agent;
            bestMs = ms;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

void BalancerSteering::search(const Segment &segment, const RouteEntry &route, PacketBytes bytes,
                              Instant now)
{
    // A reset or a lone end of a flow that nothing is known of is not worth a search.
    if (segment.resets) {
        ++m_counters.silent;
        return;
    }
    const auto holders = m_directory.holders(route, segment.flow);
    if (holders.empty()) {
        ++m_counters.silent;
        return;
    }
    ++m_counters.searched;
    const auto [known, isNew] = m_flows.try_emplace(segment.flow);
    if (isNew) {
        m_sweep.push_back(segment.flow);
        known->second.searching = true;
        known->second.confirmed = true;
    }
    known->second.seen = now;
    Trail trail;
    // Where the agents' order may be another, they start with the first of theirs.
    trail.position = m_directory.hasAnnounced() ? 0 : 1;
    m_codec.setTrail(bytes, segment.flow, trail);
    note("search", "owner unknown", segment.flow, holders.front(), now);
    m_hooks.forward(holders.front(), bytes);
}

void BalancerSteering::refuse(const Segment &segment, std::string_view reason, Instant now)
{
    if (segment.resets) {
        return;
    }
    // What is not confirmed may be older than the caller's packet.
    if (!m_hooks.mayAct(now)) {
        ++m_counters.silent;
        return;
    }
    ++(reason == "no route" ? m_counters.resetNoRoute : m_counters.resetNoUpstream);
    note("reset", reason, segment.flow, segment.flow.caller, now);
    m_hooks.reset(segment.flow.caller, m_codec.makeReset(segment.flow, segment.acknowledgement));
}

void BalancerSteering::onLoadReport(const LoadReport &report, Instant now)
{
    m_board.onReport(report, now);
    if (report.draining) {
        m_doubtedUntil[report.sender] = now + m_settings.doubt;
    } else if (report.failingUpstream) {
        // A doubt that goes on ends now and then, so that the agent gets flows to probe with.
        if (!isDoubted(report.sender, now)) {
            m_doubtedUntil[report.sender] = now + m_settings.doubt;
        }
    } else {
        m_doubtedUntil.erase(report.sender);
    }
}

void BalancerSteering::onFlowLocated(const FlowLocated &located, Instant now)
{
    const auto found = m_flows.find(located.flow);
    if (found == m_flows.end()) {
        return;
    }
    note("learn owner", "owner named itself", located.flow, located.agent, now);
    found->second.agent = located.agent;
    found->second.searching = false;
    found->second.confirmed = true;
}

bool BalancerSteering::hasArrived(const Placed &flow) const
{
    // An agent that has reported since the offer lives: the flow waits for a slot there.
    return m_board.heardAt(flow.agent) > flow.offeredAt;
}

bool BalancerSteering::isDoubted(const Endpoint &agent, Instant now) const
{
    const auto found = m_doubtedUntil.find(agent);
    return found != m_doubtedUntil.end() && now < found->second;
}

void BalancerSteering::onTick(Instant now)
{
    if (now - m_lastTick > m_settings.pause) {
        onPause(now);
    }
    m_lastTick = now;
    checkOffers(now);
    placeHeld(now);
    forgetIdle(now);
}

void BalancerSteering::onPause(Instant now)
{
    // Callers' next packets wait in the socket.
    restartOffers(m_offered, m_flows, now);
}

void BalancerSteering::checkOffers(Instant now)
{
    while (!m_offered.empty()) {
        const FlowKey key = m_offered.front().flow;
        const auto found = m_flows.find(key);
        const bool waits = found != m_flows.end() && !found->second.confirmed
            && found->second.offeredAt == m_offered.front().at;
        if (waits && now - found->second.offeredAt < m_settings.offerTimeout) {
            break;
        }
        m_offered.pop_front();
        if (!waits || hasArrived(found->second)) {
            continue;
        }
        Placed &flow = found->second;
        m_doubtedUntil[flow.agent] = now + m_settings.doubt;
        const RouteEntry *route = m_directory.routeAt(key.service);
        if (route != nullptr && flow.tried.size() < m_settings.offersMax && m_hooks.mayAct(now)) {
            ++m_counters.reoffered;
            offer(key, *route, flow, "no answer to the offer", now);
        }
    }
}

void BalancerSteering::forgetIdle(Instant now)
{
    for (std::size_t i = std::min(SweepBudget, m_sweep.size()); i > 0; --i) {
        const FlowKey key = m_sweep.front();
        m_sweep.pop_front();
        const auto found = m_flows.find(key);
        if (found == m_flows.end()) {
            continue;
        }
        const bool idle = now - found->second.seen > m_settings.idle;
        if (idle || m_flows.size() > m_settings.flowsMax) {
            m_flows.erase(found);
        } else {
            m_sweep.push_back(key);
        }
    }
}

void BalancerSteering::note(std::string_view decision, std::string_view reason, const FlowKey &flow,
                            const Endpoint &target, Instant now)
{
    if (m_hooks.log) {
        m_hooks.log({decision, reason, flow, target, m_directory.version(),
                     m_board.estimate(target, now).use(), m_board.ageOf(target, now)});
    }
}

FlowExplanation BalancerSteering::explain(const FlowKey &flow, Instant now) const
{
    FlowExplanation out;
    out.version = m_directory.version();
    out.candidates = candidatesOf(m_directory, flow);
    for (FlowCandidate &candidate : out.candidates) {
        candidate.use = m_board.estimate(candidate.agent, now).use();
        candidate.loadAge = m_board.ageOf(candidate.agent, now);
        if (isDoubted(candidate.agent, now)) {
            candidate.state = "in doubt: silent, failing or stopping";
        }
    }
    const auto known = m_flows.find(flow);
    const auto held = m_held.find(flow);
    out.known = known != m_flows.end() || held != m_held.end();
    if (known != m_flows.end()) {
        const Placed &placed = known->second;
        out.stage =
            placed.searching ? "owner is searched for" : (placed.confirmed ? "open" : "offered");
        out.target = placed.agent;
        out.tried = placed.tried;
        out.idle = now - placed.seen;
    } else if (held != m_held.end()) {
        out.stage = "waits for routes or upstreams";
        out.idle = now - held->second.newestAt;
    } else {
        out.stage = m_directory.routeAt(flow.service) == nullptr ? "no route" : "not known here";
    }
    return out;
}

} // namespace bergamotglade
