#include <bergamotglade/detail/steering/owner_search.hpp>

#include <algorithm>

namespace bergamotglade {

OwnerSearch::OwnerSearch(const OwnerSearchSettings &settings, OwnerSearchHooks hooks)
    : m_settings(settings)
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
    const PossibleOwners *owners = m_hooks.possibleOwners(segment.flow.service);
    if (owners == nullptr || m_searches.size() >= m_settings.searchesMax) {
        ++m_counters.packetsDropped;
        return;
    }
    ++m_counters.searches;
    Search &search = m_searches[segment.flow];
    search.startedAt = now;
    search.order = owners->searchOrder(segment.flow);
    search.ownersDigest = owners->digest();
    search.locatedOwner = locationOf(segment.flow);
    if (isDenied) {
        search.ownUpstreamAsked = true;
        search.asked.insert(m_settings.self);
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
    const PossibleOwners *owners = m_hooks.possibleOwners(flow.service);
    if (owners == nullptr) {
        return true;
    }
    if (askLikelyOwners(flow, search, *owners, now)) {
        setDueTime(search, now);
        return false;
    }
    askOthers(flow, search, *owners, now);
    const bool hasWaited = now - search.startedAt >= m_settings.absenceConfirmationTime;
    search.awaitsConfirmation = isDeniedByAll(flow, search, *owners, now)
        && (hasWaited || isWaitNeedless(flow, search, now)) && m_hooks.mayAct(now);
    if (search.awaitsConfirmation && m_hooks.isConfirmedSince(search.startedAt, now)) {
        ++m_counters.ownersAbsent;
        m_counters.searchesWithoutWait += hasWaited ? 0 : 1;
        m_hooks.onAbsent(flow, search.callerAcknowledgement, now);
        return true;
    }
    if (search.awaitsConfirmation) {
        m_hooks.requestConfirmation(now);
    }
    setDueTime(search, now);
    return false;
}

bool OwnerSearch::askLikelyOwners(const FlowKey &flow, Search &search, const PossibleOwners &owners,
                                  Instant now)
{
    if (search.locatedOwner) {
        const Endpoint owner = *search.locatedOwner;
        const auto query = std::find_if(search.unanswered.begin(), search.unanswered.end(),
                                        [&](const Query &q) { return q.agent == owner; });
        const bool isPending = query != search.unanswered.end();
        const bool hasDenied = search.asked.contains(owner) && !isPending;
        if (owners.find(owner) == nullptr || hasDenied
            || (isPending && isGone(owners, *query, now))) {
            search.locatedOwner.reset();
        } else if (!isPending) {
            ask(flow, search, owner, now);
        } else if (now >= query->retryAt) {
            sendQuery(flow, search, *query, now);
        }
        // A located owner that does not answer is restarting, unless its upstream has departed: the
        // others are not asked meanwhile.
        if (search.locatedOwner) {
            return true;
        }
    }
    // The agent that balancers send the packets to has probably restarted.
    if (!search.ownUpstreamAsked) {
        search.ownUpstreamAsked = true;
        if (owners.find(m_settings.self) != nullptr) {
            ask(flow, search, m_settings.self, now);
        }
    }
    return std::any_of(search.unanswered.begin(), search.unanswered.end(), [&](const Query &query) {
        return query.agent == m_settings.self && query.sent == 1 && isWaiting(query, now);
    });
}

void OwnerSearch::askOthers(const FlowKey &flow, Search &search, const PossibleOwners &owners,
                            Instant now)
{
    std::size_t waiting = 0;
    for (const Query &query : search.unanswered) {
        waiting += isWaiting(query, now) ? 1 : 0;
    }
    if (search.next == search.order.size() && owners.digest() != search.ownersDigest) {
        addNewOwners(flow, search, owners);
    }
    while (search.next < search.order.size() && waiting < m_settings.parallelQueries) {
        const Endpoint agent = search.order[search.next++];
        if (!search.asked.contains(agent)) {
            ask(flow, search, agent, now);
            ++waiting;
        }
    }
    bool ownUpstreamDenies = false;
    for (Query &query : search.unanswered) {
        if (waiting < m_settings.parallelQueries && now >= query.retryAt) {
            ownUpstreamDenies |= !sendQuery(flow, search, query, now);
            ++waiting;
        }
    }
    if (ownUpstreamDenies) {
        std::erase_if(search.unanswered,
                      [&](const Query &query) { return query.agent == m_settings.self; });
    }
}

void OwnerSearch::addNewOwners(const FlowKey &flow, Search &search, const PossibleOwners &owners)
{
    const std::unordered_set<Endpoint> known(search.order.begin(), search.order.end());
    for (const Endpoint &agent : owners.searchOrder(flow)) {
        if (!known.contains(agent)) {
            search.order.push_back(agent);
        }
    }
    search.ownersDigest = owners.digest();
}

bool OwnerSearch::isDeniedByAll(const FlowKey &flow, const Search &search,
                                const PossibleOwners &owners, Instant now)
{
    if (search.next < search.order.size() || owners.digest() != search.ownersDigest) {
        return false;
    }
    bool areListsKnown = true;
    for (const ListOfAgent &list : search.denials) {
        areListsKnown = isListKnown(flow.service, list, now) && areListsKnown;
    }
    return areListsKnown
        && std::all_of(search.unanswered.begin(), search.unanswered.end(),
                       [&](const Query &query) { return isGone(owners, query, now); });
}

bool OwnerSearch::isWaitNeedless(const FlowKey &flow, const Search &search, Instant now) const
{
    const Endpoint &route = flow.service;
    if (!search.unanswered.empty()
        || now - m_hooks.ownersUnchangedSince(route) < m_settings.listSettlingTime) {
        return false;
    }
    const std::uint64_t digest = m_hooks.listedDigest(route);
    return std::all_of(search.denials.begin(), search.denials.end(),
                       [&](const ListOfAgent &list) { return list.digest == digest; });
}

bool OwnerSearch::isListKnown(const Endpoint &route, const ListOfAgent &list, Instant now)
{
    if (list.digest == m_hooks.listedDigest(route)) {
        return true;
    }
    const auto known = m_knownLists.find({route, list.digest});
    if (known != m_knownLists.end() && now - known->second < m_settings.listTtl) {
        return true;
    }
    Instant &queriedAt = m_listQueriedAt[{list.agent, route}];
    if (now - queriedAt >= m_settings.listQueryInterval) {
        queriedAt = now;
        m_hooks.sendOwnersQuery(list.agent, {m_settings.self, route});
    }
    return false;
}

void OwnerSearch::onOwnersList(const OwnersList &list, Instant now)
{
    m_hooks.addPossibleOwners(list.route, list.agents, now);
    const ListId id {list.route, list.digest};
    std::unordered_set<Endpoint> &received = m_partialLists[id];
    received.insert(list.agents.begin(), list.agents.end());
    if (received.size() < list.total) {
        return;
    }
    m_partialLists.erase(id);
    m_knownLists[id] = now;
    for (auto &[flow, search] : m_searches) {
        search.dueAt = now;
    }
}

void OwnerSearch::ask(const FlowKey &flow, Search &search, const Endpoint &agent, Instant now)
{
    search.asked.insert(agent);
    Query query;
    query.agent = agent;
    query.firstSentAt = now;
    if (sendQuery(flow, search, query, now)) {
        search.unanswered.push_back(query);
    }
}

bool OwnerSearch::sendQuery(const FlowKey &flow, const Search &search, Query &query, Instant now)
{
    ++query.sent;
    query.lastSentAt = now;
    const Millis backoff = m_settings.queryTimeout * (1U << std::min(query.sent, 8U));
    query.retryAt = now + std::min(backoff, m_settings.queryRetryMax);
    if (query.agent == m_settings.self) {
        return m_hooks.askOwnUpstream(flow, search.packet, now) != OwnUpstreamState::NotHeld;
    }
    ++m_counters.queriesSent;
    m_hooks.sendQuery(query.agent, {m_settings.self, search.packet});
    return true;
}

bool OwnerSearch::isWaiting(const Query &query, Instant now) const
{
    return now - query.lastSentAt < m_settings.queryTimeout;
}

void OwnerSearch::setDueTime(Search &search, Instant now) const
{
    const Instant confirmedAt = search.startedAt + m_settings.absenceConfirmationTime;
    search.dueAt = confirmedAt > now ? confirmedAt : now + m_settings.listQueryInterval;
    for (const Query &query : search.unanswered) {
        const Instant next =
            isWaiting(query, now) ? query.lastSentAt + m_settings.queryTimeout : query.retryAt;
        search.dueAt = std::min(search.dueAt, std::max(next, now));
    }
}

bool OwnerSearch::isGone(const PossibleOwners &owners, const Query &query, Instant now) const
{
    const PossibleOwner *owner = owners.find(query.agent);
    const bool departed = owner == nullptr || owner->departed;
    return departed && query.sent >= m_settings.departedQueriesMin
        && now - query.firstSentAt >= m_settings.departedTimeout;
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
        std::erase_if(search.unanswered,
                      [&](const Query &query) { return query.agent == answer.agent; });
        const auto isSameList = [&](const ListOfAgent &list) {
            return list.digest == answer.ownersDigest;
        };
        if (std::none_of(search.denials.begin(), search.denials.end(), isSameList)) {
            search.denials.push_back({answer.ownersDigest, answer.agent});
        }
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

void OwnerSearch::onViewChange(Instant now)
{
    for (auto &[flow, search] : m_searches) {
        search.dueAt = search.awaitsConfirmation ? now : search.dueAt;
    }
    advanceDueSearches(now);
}

void OwnerSearch::advanceDueSearches(Instant now)
{
    for (auto at = m_searches.begin(); at != m_searches.end();) {
        const bool expired = now - at->second.lastPacketAt > m_settings.searchTtl;
        const bool isDue = now >= at->second.dueAt;
        if (expired || (isDue && advance(at->first, at->second, now))) {
            at = m_searches.erase(at);
        } else {
            ++at;
        }
    }
}

void OwnerSearch::onTick(Instant now)
{
    advanceDueSearches(now);
    std::erase_if(m_knownLists,
                  [&](const auto &list) { return now - list.second >= m_settings.listTtl; });
    if (m_searches.empty()) {
        m_partialLists.clear();
    }
    std::erase_if(m_listQueriedAt, [&](const auto &query) {
        return now - query.second >= m_settings.listQueryInterval;
    });
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
