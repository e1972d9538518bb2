// Claims of entries to agents: several entries may name the same one.

#include <bergamotglade/detail/steering/directory.hpp>

namespace bergamotglade {

bool Directory::claimAgent(KnownUpstream upstream, Instant now)
{
    const UpstreamId id = upstream.entry.id;
    const Endpoint agent = upstream.entry.agent;
    m_displaced.erase(id);
    const auto known = m_upstreams.find(id);
    if (known != m_upstreams.end()) {
        const UpstreamEntry &previous = known->second.entry;
        if (previous.agent != agent) {
            eraseUpstream(id, now);
        } else if (previous.service != upstream.entry.service
                   || previous.address != upstream.entry.address) {
            removeUpstream(id, now);
        }
    }
    const auto holder = m_byAgent.find(agent);
    if (holder != m_byAgent.end() && holder->second != id) {
        const KnownUpstream &other = m_upstreams.at(holder->second);
        if (!comesBefore(upstream, other)) {
            displace(std::move(upstream));
            return false;
        }
        displace(other);
        removeUpstream(UpstreamId(holder->second), now);
    }
    insertUpstream(std::move(upstream));
    return true;
}

void Directory::displace(KnownUpstream upstream)
{
    // An announcement is repeated until the directory has settled.
    if (!upstream.announced) {
        const UpstreamId id = upstream.entry.id;
        m_displaced[id] = std::move(upstream);
    }
}

bool Directory::comesBefore(const KnownUpstream &a, const KnownUpstream &b) const
{
    // The order of application does not matter: processes apply the same entries in different
    // orders.
    const bool isNamed = isServiceNamed(a.entry.service);
    if (isNamed != isServiceNamed(b.entry.service)) {
        return isNamed;
    }
    return a.announced == b.announced ? a.revision >= b.revision : !a.announced;
}

bool Directory::isServiceNamed(const ServiceName &service) const
{
    return m_namedServices.contains(service);
}

void Directory::reviewClaims(Instant now)
{
    std::vector<KnownUpstream> better;
    for (const auto &[id, upstream] : m_displaced) {
        const KnownUpstream *holder = upstreamByAgent(upstream.entry.agent);
        if (holder == nullptr || !comesBefore(*holder, upstream)) {
            better.push_back(upstream);
        }
    }
    for (KnownUpstream &upstream : better) {
        claimAgent(std::move(upstream), now);
    }
}

void Directory::insertUpstream(KnownUpstream upstream)
{
    const UpstreamId id = upstream.entry.id;
    const ServiceName service = upstream.entry.service;
    m_byAddress[upstream.entry.address] = id;
    m_byAgent[upstream.entry.agent] = id;
    m_upstreams[id] = std::move(upstream);
    rebuildTables(service);
}

void Directory::eraseUpstream(const UpstreamId &id, Instant now)
{
    m_displaced.erase(id);
    const auto known = m_upstreams.find(id);
    if (known == m_upstreams.end()) {
        return;
    }
    const Endpoint agent = known->second.entry.agent;
    removeUpstream(id, now);
    const KnownUpstream *next = nullptr;
    for (const auto &[other, upstream] : m_displaced) {
        if (upstream.entry.agent == agent && (next == nullptr || comesBefore(upstream, *next))) {
            next = &upstream;
        }
    }
    if (next != nullptr) {
        claimAgent(KnownUpstream(*next), now);
    }
}

void Directory::removeUpstream(const UpstreamId &id, Instant now)
{
    const auto known = m_upstreams.find(id);
    const ServiceName service = known->second.entry.service;
    addDeparted(known->second.entry, now);
    m_byAddress.erase(known->second.entry.address);
    m_byAgent.erase(known->second.entry.agent);
    m_upstreams.erase(known);
    rebuildTables(service);
}

} // namespace bergamotglade
