#include <bergamotglade/detail/steering/directory.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Prefix of the ids of announced upstreams; ids of registered upstreams contain no slash.
constexpr std::string_view AnnouncedPrefix = "announced/";
/// Departed upstreams that are remembered; at the target size three leave per minute.
constexpr std::size_t DepartedMax = 1024;

Finding sectionFinding(const SectionChange &change, const Error &error)
{
    // The reason of a failed translation says more than that its text cannot be decoded.
    return {FindingCode::WrongType, Severity::Error,
            SourceLocation {change.name.str(), change.name.str(), 0, 0},
            change.text.starts_with(UntranslatedPrefix) ? change.text : describe(error)};
}

} // namespace

Directory::Directory(DirectorySettings settings)
    : m_settings(std::move(settings))
    , m_flowIdleTimeout(m_settings.flowLifetimeMax)
{ }

Findings Directory::applySection(const SectionChange &change, Instant now)
{
    discardOwners(now);
    const std::string &name = change.name.str();
    if (change.name == RootName) {
        return applyRoutes(change, now);
    }
    if (name.starts_with(UpstreamPrefix)) {
        return applyUpstream(change, now);
    }
    if (name.starts_with(DomainPrefix)) {
        applyDomain(change, now);
        return {};
    }
    return {sectionFinding(change,
                           {ErrorCode::BadDocument,
                            "section is neither the root nor an upstream nor a failure domain"})};
}

Findings Directory::applyRoutes(const SectionChange &change, Instant now)
{
    // The last valid routes remain in force: without routes all traffic would stop.
    auto document = decodeRoutes(change.text);
    if (change.removed || !document) {
        const Error error = document ? Error {ErrorCode::BadDocument, "routes section was removed"}
                                     : document.error();
        return {sectionFinding(change, error)};
    }
    std::unordered_map<Endpoint, RouteEntry> routes;
    for (RouteEntry &route : document.value().routes) {
        const Endpoint address = route.address;
        routes.insert_or_assign(address, std::move(route));
    }
    for (const auto &[address, before] : m_routes) {
        const auto after = routes.find(address);
        if (after == routes.end()) {
            m_formerServices.erase(address);
            m_ownersHistory.erase(address);
            m_droppedRoutes[address] = now + m_settings.flowLifetimeMax;
            continue;
        }
        for (const WeightedService &service : before.services) {
            if (!namesService(after->second, service.name)) {
                m_formerServices[address].push_back(
                    {service.name, now + m_settings.flowLifetimeMax});
            }
        }
    }
    m_routes = std::move(routes);
    std::erase_if(m_droppedRoutes,
                  [&](const auto &dropped) { return m_routes.contains(dropped.first); });
    m_prioritiesDiffer = std::any_of(m_routes.begin(), m_routes.end(), [&](const auto &route) {
        return route.second.priority != m_routes.begin()->second.priority;
    });
    m_coldFlowRates.clear();
    m_namedServices.clear();
    for (const ServicePolicy &service : document.value().services) {
        m_coldFlowRates[service.name] = service.coldFlowsPerSecond;
        m_namedServices.insert(service.name);
    }
    for (const auto &[address, route] : m_routes) {
        for (const WeightedService &service : route.services) {
            m_namedServices.insert(service.name);
        }
    }
    reviewClaims(now);
    m_configuredIdleTimeout = document.value().flowIdleTimeout;
    applyFlowIdleTimeout(now);
    if (!m_version) {
        m_firstRoutesAt = now;
        m_mayLackFormerServices = !m_settings.isFirstStart;
    }
    m_version = document.value().version;
    return routeFindings(document.value(), change.name);
}

Findings Directory::applyUpstream(const SectionChange &change, Instant now)
{
    const UpstreamId id(change.name.str().substr(UpstreamPrefix.size()));
    const auto known = m_upstreams.find(id);
    // The entry may be removed, or replaced by that of another incarnation.
    rememberLeft(id, now);
    if (change.removed) {
        m_displaced.erase(id);
        if (known == m_upstreams.end()) {
            return {};
        }
        if (change.lapsed && !known->second.entry.leaving) {
            known->second.removeAt = now + m_settings.lapsedEntryGrace;
        } else {
            eraseUpstream(id, now);
        }
        return {};
    }
    auto entry = decodeUpstream(change.text);
    if (!entry || entry.value().id != id) {
        eraseUpstream(id, now);
        return {sectionFinding(
            change,
            entry ? Error {ErrorCode::BadDocument, "id in the entry differs from the section name"}
                  : entry.error())};
    }
    KnownUpstream upstream;
    upstream.entry = std::move(entry.value());
    upstream.coldUntil = now + upstream.entry.coldDuration;
    upstream.revision = change.revision;
    // A platform that was restored from a copy may list an entry as it was before it was leaving.
    const bool isOlder =
        change.revision.era() != 0 && !upstream.entry.leaving && isKnownLeaving(upstream.entry);
    upstream.entry.leaving = upstream.entry.leaving || isOlder;
    claimAgent(std::move(upstream), now);
    reviewClaims(now);
    if (isOlder) {
        return {{FindingCode::OlderContent, Severity::Warning,
                 SourceLocation {change.name.str(), change.name.str(), 0, 0},
                 "entry says ready, but its incarnation is known to be leaving"}};
    }
    if (m_displaced.contains(id)) {
        return {{FindingCode::AddressConflict, Severity::Warning,
                 SourceLocation {change.name.str(), change.name.str(), 0, 0},
                 "another upstream has the better claim to its address"}};
    }
    return {};
}

void Directory::addDeparted(const UpstreamEntry &entry, Instant now)
{
    // An entry that is gone proves nothing about open flows: entries lapse while the platform is
    // away, and an upstream keeps its flows while it drains.
    discardOwners(now);
    std::erase_if(m_departed, [&](const DepartedUpstream &departed) {
        return departed.agent == entry.agent && departed.service == entry.service;
    });
    if (m_departed.size() < DepartedMax) {
        m_departed.push_back({entry.service, entry.agent, now + m_settings.flowLifetimeMax});
    }
}

void Directory::addPossibleOwners(const Endpoint &route, const std::vector<Endpoint> &agents,
                                  Instant now)
{
    const RouteEntry *entry = routeByAddress(route);
    if (entry == nullptr) {
        return;
    }
    std::map<Endpoint, Instant> &ofOthers = m_ownersOfOthers[route];
    for (const Endpoint &agent : agents) {
        if (listedOwners(*entry).find(agent) == nullptr && ofOthers.size() < DepartedMax) {
            ofOthers[agent] = now + m_settings.flowLifetimeMax;
        }
    }
    m_possibleOwners.erase(route);
    m_ownersDiscardedAt = now;
}

bool Directory::isSettled(Instant now) const
{
    return hasRoutes() && now - m_firstRoutesAt >= m_settings.settlingTime;
}

bool Directory::announce(const Announcement &announcement, Instant now)
{
    const KnownUpstream *holder = upstreamByAgent(announcement.agent);
    if (isSettled(now) || (holder != nullptr && holder->announced)) {
        return false;
    }
    KnownUpstream upstream;
    upstream.entry.id = UpstreamId(std::string(AnnouncedPrefix) + announcement.address.str());
    upstream.entry.service = announcement.service;
    upstream.entry.domain = announcement.domain;
    upstream.entry.agent = announcement.agent;
    upstream.entry.address = announcement.address;
    upstream.entry.slots = announcement.slots;
    upstream.announced = true;
    discardOwners(now);
    return claimAgent(std::move(upstream), now);
}

bool Directory::expire(Instant now)
{
    std::vector<UpstreamId> expired;
    const bool settled = isSettled(now);
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.announced && settled) {
            expired.push_back(id);
        }
        if (upstream.removeAt != Instant() && now >= upstream.removeAt) {
            expired.push_back(id);
        }
    }
    for (const UpstreamId &id : expired) {
        eraseUpstream(id, now);
    }
    std::erase_if(m_formerIdleTimeouts,
                  [&](const FormerIdleTimeout &former) { return now >= former.until; });
    std::size_t forgotten = 0;
    for (auto &[address, former] : m_formerServices) {
        forgotten += std::erase_if(former, [&](const FormerService &f) { return now >= f.until; });
    }
    std::erase_if(m_formerServices, [](const auto &f) { return f.second.empty(); });
    forgotten +=
        std::erase_if(m_departed, [&](const DepartedUpstream &d) { return now >= d.until; });
    for (auto &[route, agents] : m_ownersOfOthers) {
        forgotten += std::erase_if(agents, [&](const auto &entry) { return now >= entry.second; });
    }
    if (m_mayLackFormerServices && now - m_firstRoutesAt >= m_settings.flowLifetimeMax) {
        m_mayLackFormerServices = false;
        ++forgotten;
    }
    if (forgotten > 0) {
        discardOwners(now);
    }
    std::erase_if(m_droppedRoutes, [&](const auto &dropped) { return now >= dropped.second; });
    std::erase_if(m_leftIncarnations, [&](const auto &left) { return now >= left.second; });
    const bool takenIn = expireMissingDomains(now);
    return takenIn || !expired.empty();
}

void Directory::rebuildTables(const ServiceName &service)
{
    Section section;
    section.name = SectionName("service/" + service.str());
    Service rebuilt;
    rebuilt.name = service;
    for (const auto &[id, known] : m_upstreams) {
        if (known.entry.service == service) {
            Upstream upstream;
            upstream.id = id;
            upstream.domain = known.entry.domain;
            upstream.agent = known.entry.agent;
            upstream.state = known.entry.leaving ? AdminState::Out : AdminState::In;
            rebuilt.upstreams.push_back(std::move(upstream));
        }
    }
    m_tables.erase(service);
    m_homeTables.erase(service);
    if (rebuilt.upstreams.empty()) {
        m_view.remove(section.name);
        return;
    }
    auto home = std::make_shared<Service>(rebuilt);
    std::erase_if(home->upstreams, [&](const Upstream &upstream) {
        return upstream.domain != m_settings.homeDomain;
    });
    section.services.push_back(std::move(rebuilt));
    m_view.put(section, SectionOrder);
    buildTable(m_tables, m_view.service(service));
    buildTable(m_homeTables, home);
}

void Directory::buildTable(std::map<ServiceName, ServiceTable> &tables,
                           const std::shared_ptr<const Service> &service)
{
    const ServiceTable table(service, m_view, rendezvousScore);
    if (table.upstreamCount() > 0) {
        tables.emplace(service->name, table);
    }
}

void Directory::rebuildAllTables()
{
    for (const auto &service : m_view.services()) {
        rebuildTables(ServiceName(service->name));
    }
}

const ServiceTable *Directory::serviceTable(const ServiceName &service) const
{
    const auto found = m_tables.find(service);
    return found == m_tables.end() ? nullptr : &found->second;
}

const ServiceTable *Directory::homeServiceTable(const ServiceName &service) const
{
    const auto found = m_homeTables.find(service);
    return found == m_homeTables.end() ? nullptr : &found->second;
}

const PossibleOwners &Directory::possibleOwners(const RouteEntry &route) const
{
    return ownersOf(route).all;
}

const PossibleOwners &Directory::listedOwners(const RouteEntry &route) const
{
    return ownersOf(route).listed;
}

const Directory::OwnersOfRoute &Directory::ownersOf(const RouteEntry &route) const
{
    const auto known = m_possibleOwners.find(route.address);
    if (known != m_possibleOwners.end()) {
        return known->second;
    }
    const OwnersOfRoute &owners =
        m_possibleOwners.emplace(route.address, collectOwners(route)).first->second;
    // Most sections that arrive change nothing of the lists, so the digests decide. The change was
    // not later than the last discarding.
    const auto [history, isNew] = m_ownersHistory.try_emplace(route.address);
    const OwnersHistory current {owners.listed.digest(), owners.all.digest(), m_ownersDiscardedAt};
    if (isNew || history->second.listed != current.listed || history->second.all != current.all) {
        history->second = current;
    }
    return owners;
}

Instant Directory::ownersUnchangedSince(const RouteEntry &route) const
{
    (void)ownersOf(route);
    return m_ownersHistory.at(route.address).unchangedSince;
}

void Directory::discardOwners(Instant now)
{
    m_possibleOwners.clear();
    m_ownersDiscardedAt = now;
}

Directory::OwnersOfRoute Directory::collectOwners(const RouteEntry &route) const
{
    std::vector<ServiceName> services;
    for (const WeightedService &service : route.services) {
        services.push_back(service.name);
    }
    const auto former = m_formerServices.find(route.address);
    if (former != m_formerServices.end()) {
        for (const FormerService &f : former->second) {
            services.push_back(f.service);
        }
    }
    std::vector<PossibleOwner> listed;
    std::vector<PossibleOwner> others;
    const auto add = [&](const ServiceName &service, const Endpoint &agent, bool departed) {
        const bool isListed =
            std::find(services.begin(), services.end(), service) != services.end();
        if (isListed) {
            listed.push_back({agent, departed, false});
        } else if (m_mayLackFormerServices) {
            others.push_back({agent, departed, true});
        }
    };
    for (const auto &[id, upstream] : m_upstreams) {
        add(upstream.entry.service, upstream.entry.agent, false);
    }
    for (const DepartedUpstream &departed : m_departed) {
        add(departed.service, departed.agent, true);
    }
    const auto ofOthers = m_ownersOfOthers.find(route.address);
    if (ofOthers != m_ownersOfOthers.end()) {
        for (const auto &[agent, until] : ofOthers->second) {
            others.push_back({agent, !m_byAgent.contains(agent), false});
        }
    }
    others.insert(others.end(), listed.begin(), listed.end());
    return {PossibleOwners(std::move(listed)), PossibleOwners(std::move(others))};
}

const KnownUpstream *Directory::upstreamByAddress(const Endpoint &address) const
{
    const auto found = m_byAddress.find(address);
    return found == m_byAddress.end() ? nullptr : &m_upstreams.at(found->second);
}

const KnownUpstream *Directory::upstreamByAgent(const Endpoint &agent) const
{
    const auto found = m_byAgent.find(agent);
    return found == m_byAgent.end() ? nullptr : &m_upstreams.at(found->second);
}

bool Directory::acceptsNewFlows(const KnownUpstream &upstream) const
{
    return !upstream.entry.leaving && !m_view.isOut(upstream.entry.domain);
}

bool Directory::isCold(const KnownUpstream &upstream, Instant now) const
{
    return now < upstream.coldUntil && coldFlowRate(upstream.entry.service) > 0;
}

double Directory::coldFlowRate(const ServiceName &service) const
{
    const auto found = m_coldFlowRates.find(service);
    return found == m_coldFlowRates.end() ? 0 : found->second;
}

} // namespace bergamotglade
