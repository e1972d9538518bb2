#include <bergamotglade/detail/steering/owner_search.hpp>

#include <algorithm>

namespace bergamotglade {

OwnerSearch::OwnerSearch(OwnerSearchSettings settings, OwnerSearchHooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
{ }

void OwnerSearch::onPacket(const Segment &segment, const PacketBytes &bytes, const Endpoint &origin,
                           bool isDenied, Instant now)
{
    const auto running = m_searches.find(segment.flow);
    if (running != m_searches.end()) {
        addPacket(running->second, segment, bytes, origin, now);
        return;
    }
    const auto known = m_locations.find(segment.flow);
    if (known != m_locations.end()
        && now - known->second.confirmedAt < m_settings.locationTrustTime) {
        if (now - known->second.toldAt >= m_settings.locationInterval) {
            known->second.toldAt = now;
            m_hooks.sendLocation(origin, {segment.flow, known->second.owner});
        }
        m_hooks.sendToOwner(known->second.owner, bytes, now);
        return;
    }
    startSearch(segment, bytes, origin, isDenied, now);
}

void OwnerSearch::startSearch(const Segment &segment, const PacketBytes &bytes,
                              const Endpoint &origin, bool isDenied, Instant now)
{
    const PossibleOwners *owners = m_hooks.possibleOwners(segment.flow);
    if (owners == nullptr || m_searches.size() >= m_settings.searchesMax) {
        ++m_counters.packetsDropped;
        return;
    }
    ++m_counters.searches;
    Search &search = m_searches[segment.flow];
    search.startedAt = now;
    search.order = owners->searchOrder(segment.flow);
    search.digest = owners->digest();
    search.locatedOwner = locationOf(segment.flow);
    if (isDenied) {
        search.queries[m_settings.self] = {1, now, now, now, search.digest};
    }
    addPacket(search, segment, bytes, origin, now);
    if (advance(segment.flow, search, now)) {
        m_searches.erase(segment.flow);
    }
}

void OwnerSearch::addPacket(Search &search, const Segment &segment, const PacketBytes &bytes,
                            const Endpoint &origin, Instant now)
{
    search.lastPacketAt = now;
    search.callerAcknowledgement = segment.acknowledgement;
    if (search.packet.empty() || (segment.dataBytes > 0 && !search.packetHasData)) {
        search.packet = bytes;
        search.packetHasData = segment.dataBytes > 0;
    } else if (search.held.size() < m_settings.heldPacketsMax) {
        search.held.push_back(bytes);
    } else {
        ++m_counters.packetsDropped;
    }
    const bool isKnown =
        std::find(search.origins.begin(), search.origins.end(), origin) != search.origins.end();
    if (!isKnown && search.origins.size() < m_settings.originsMax) {
        search.origins.push_back(origin);
    }
}

bool OwnerSearch::advance(const FlowKey &flow, Search &search, Instant now)
{
    // The agent that knows the flow's location, and then the own upstream, whose agent may have
    // restarted, are the most likely owners: the others are not bothered before they have answered.
    // A located owner that does not answer is restarting, unless its upstream has departed.
    if (search.locatedOwner && waitFor(flow, search, *search.locatedOwner, now)) {
        return false;
    }
    const PossibleOwners *owners = m_hooks.possibleOwners(flow);
    if (owners == nullptr) {
        return true;
    }
    if (owners->digest() != search.digest) {
        search.order = owners->searchOrder(flow);
        search.digest = owners->digest();
    }
    const auto own = search.queries.find(m_settings.self);
    const bool ownIsAsked = own != search.queries.end();
    if (owners->find(m_settings.self) != nullptr && !ownIsAsked) {
        sendQuery(flow, search, m_settings.self, now);
    }
    if (isOutstanding(search.queries[m_settings.self], now)) {
        return false;
    }
    auto outstanding = static_cast<std::size_t>(
        std::count_if(search.queries.begin(), search.queries.end(),
                      [&](const auto &entry) { return isOutstanding(entry.second, now); }));
    bool allDenied = true;
    for (const Endpoint &agent : search.order) {
        if (hasDenied(search, agent) || isGone(*owners->find(agent), search, now)) {
            continue;
        }
        allDenied = false;
        if (outstanding < m_settings.parallelQueries && now >= search.queries[agent].retryAt) {
            sendQuery(flow, search, agent, now);
            outstanding += isOutstanding(search.queries[agent], now) ? 1 : 0;
        }
    }
    if (!allDenied || now - search.startedAt < m_settings.absenceConfirmationTime
        || !m_hooks.mayAct(now)) {
        return false;
    }
    ++m_counters.ownersAbsent;
    m_hooks.onAbsent(flow, search.callerAcknowledgement, now);
    return true;
}

bool OwnerSearch::waitFor(const FlowKey &flow, Search &search, const Endpoint &agent, Instant now)
{
    const PossibleOwners *owners = m_hooks.possibleOwners(flow);
    const PossibleOwner *owner = owners == nullptr ? nullptr : owners->find(agent);
    Query &query = search.queries[agent];
    if (owner == nullptr || query.deniedWithDigest || isGone(*owner, search, now)) {
        search.locatedOwner.reset();
        return false;
    }
    if (now >= query.retryAt) {
        sendQuery(flow, search, agent, now);
    }
    return !search.queries[agent].deniedWithDigest;
}

void OwnerSearch::sendQuery(const FlowKey &flow, Search &search, const Endpoint &agent, Instant now)
{
    Query &query = search.queries[agent];
    ++query.sent;
    if (query.sent == 1) {
        query.firstSentAt = now;
    }
    query.lastSentAt = now;
    const Millis backoff = m_settings.queryTimeout * (1U << std::min(query.sent, 8U));
    query.retryAt = now + std::min(backoff, m_settings.queryRetryMax);
    if (agent != m_settings.self) {
        ++m_counters.queriesSent;
        m_hooks.sendQuery(agent, {m_settings.self, search.digest, search.packet});
    } else if (m_hooks.askOwnUpstream(flow, search.packet, now) == OwnUpstreamState::NotHeld) {
        query.deniedWithDigest = search.digest;
    }
}

bool OwnerSearch::isOutstanding(const Query &query, Instant now) const
{
    return query.sent > 0 && !query.deniedWithDigest
        && now - query.lastSentAt < m_settings.queryTimeout;
}

bool OwnerSearch::isGone(const PossibleOwner &owner, const Search &search, Instant now) const
{
    const auto query = search.queries.find(owner.agent);
    return owner.departed && query != search.queries.end()
        && query->second.sent >= m_settings.departedQueriesMin
        && now - query->second.firstSentAt >= m_settings.departedTimeout;
}

bool OwnerSearch::hasDenied(const Search &search, const Endpoint &agent)
{
    const auto query = search.queries.find(agent);
    return query != search.queries.end() && query->second.deniedWithDigest == search.digest;
}

void OwnerSearch::onAnswer(const FlowAnswer &answer, Instant now)
{
    const auto known = m_locations.find(answer.flow);
    if (answer.owned) {
        storeLocation(answer.flow, answer.agent, true, now);
    } else if (known != m_locations.end() && known->second.owner == answer.agent) {
        m_locations.erase(known);
    }
    const auto found = m_searches.find(answer.flow);
    if (found == m_searches.end()) {
        return;
    }
    Search &search = found->second;
    if (!answer.owned) {
        m_hooks.learnOwners(answer.flow, answer.formerOwners, now);
        search.queries[answer.agent].deniedWithDigest = answer.ownersDigest;
        if (advance(answer.flow, search, now)) {
            m_searches.erase(found);
        }
        return;
    }
    ++m_counters.ownersFound;
    m_hooks.log("found owner", "an agent answered that its upstream holds the flow", answer.flow,
                answer.agent, now);
    const Search done = std::move(search);
    m_searches.erase(found);
    for (const Endpoint &origin : done.origins) {
        m_hooks.sendLocation(origin, {answer.flow, answer.agent});
    }
    for (const PacketBytes &packet : done.held) {
        m_hooks.sendToOwner(answer.agent, packet, now);
    }
}

void OwnerSearch::onLocations(const FlowLocations &locations, Instant now)
{
    for (const FlowKey &flow : locations.flows) {
        storeLocation(flow, locations.owner, false, now);
    }
}

void OwnerSearch::storeLocation(const FlowKey &flow, const Endpoint &owner, bool confirmed,
                                Instant now)
{
    if (owner == m_settings.self) {
        return;
    }
    const auto [at, isNew] = m_locations.try_emplace(flow);
    Location &location = at->second;
    if (location.owner != owner) {
        location = Location {owner, now, Instant(), Instant()};
    }
    location.storedAt = now;
    m_locationTimers.push_back({flow, now});
    if (confirmed) {
        location.confirmedAt = now;
        location.toldAt = now;
    }
}

std::optional<Endpoint> OwnerSearch::locationOf(const FlowKey &flow) const
{
    const auto found = m_locations.find(flow);
    return found == m_locations.end() ? std::nullopt : std::optional(found->second.owner);
}

void OwnerSearch::onTick(Instant now)
{
    for (auto at = m_searches.begin(); at != m_searches.end();) {
        const bool expired = now - at->second.lastPacketAt > m_settings.searchTtl;
        if (expired || advance(at->first, at->second, now)) {
            at = m_searches.erase(at);
        } else {
            ++at;
        }
    }
    while (!m_locationTimers.empty()
           && (now - m_locationTimers.front().at > m_settings.locationTtl
               || m_locations.size() > m_settings.locationsMax)) {
        const FlowTimer timer = m_locationTimers.front();
        m_locationTimers.pop_front();
        const auto found = m_locations.find(timer.flow);
        if (found != m_locations.end() && found->second.storedAt == timer.at) {
            m_locations.erase(found);
        }
    }
}

} // namespace bergamotglade
