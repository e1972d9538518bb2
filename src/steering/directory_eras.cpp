// Contents of a platform that was restored from a copy: the copy may be older than what is known.

#include <bergamotglade/detail/steering/directory.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Incarnations that are remembered; at the target size three upstreams leave per minute.
constexpr std::size_t LeftIncarnationsMax = 1024;

} // namespace

bool Directory::isOlderRoutes(const SectionChange &offered, const std::string &inForce)
{
    if (offered.name != RootName) {
        return false;
    }
    const auto offeredRoutes = decodeRoutes(offered.text);
    const auto known = decodeRoutes(inForce);
    return offeredRoutes && known && offeredRoutes.value().version < known.value().version;
}

bool Directory::isKnownLeaving(const UpstreamEntry &entry) const
{
    if (entry.startedAt == 0) {
        return false;
    }
    const auto isLeaving = [&](const std::map<UpstreamId, KnownUpstream> &upstreams) {
        const auto known = upstreams.find(entry.id);
        return known != upstreams.end() && known->second.entry.leaving
            && known->second.entry.startedAt == entry.startedAt;
    };
    return isLeaving(m_upstreams) || isLeaving(m_displaced)
        || m_leftIncarnations.contains({entry.id, entry.startedAt});
}

void Directory::rememberLeft(const UpstreamId &id, Instant now)
{
    for (const auto *upstreams : {&m_upstreams, &m_displaced}) {
        const auto known = upstreams->find(id);
        if (known == upstreams->end() || !known->second.entry.leaving
            || known->second.entry.startedAt == 0) {
            continue;
        }
        m_leftIncarnations[{id, known->second.entry.startedAt}] =
            now + m_settings.leftIncarnationMemory;
    }
    if (m_leftIncarnations.size() > LeftIncarnationsMax) {
        m_leftIncarnations.erase(
            std::min_element(m_leftIncarnations.begin(), m_leftIncarnations.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
}

void Directory::applyDomain(const SectionChange &change, Instant now)
{
    const FailureDomainId domain(change.name.str().substr(DomainPrefix.size()));
    if (change.removed && change.missing) {
        if (m_view.isOut(domain)) {
            m_missingDomains.emplace(change.name, now + m_settings.evacuationRewriteGrace);
        }
        return;
    }
    m_missingDomains.erase(change.name);
    if (change.removed) {
        m_view.remove(change.name);
    } else {
        Section section;
        section.name = change.name;
        section.domains.push_back({domain, AdminState::Out, {}});
        m_view.put(section, SectionOrder);
    }
    rebuildAllTables();
}

bool Directory::expireMissingDomains(Instant now)
{
    bool takenIn = false;
    for (auto missing = m_missingDomains.begin(); missing != m_missingDomains.end();) {
        if (now < missing->second) {
            ++missing;
            continue;
        }
        m_view.remove(missing->first);
        missing = m_missingDomains.erase(missing);
        takenIn = true;
    }
    if (takenIn) {
        rebuildAllTables();
    }
    return takenIn;
}

} // namespace bergamotglade
