#include <bergamotglade/detail/membership/balancer_group.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// Maximum number of members kept. A heartbeat lists only a few balancers, so that this is reached
/// only in large fleets.
constexpr std::size_t MembersMax = 256;

} // namespace

BalancerGroup::BalancerGroup(BalancerGroupSettings settings, BalancerGroupHooks hooks,
                             Random random)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_random(std::move(random))
{ }

void BalancerGroup::onHeartbeat(const BalancerHeartbeat &heartbeat, Instant now)
{
    if (heartbeat.sender == m_settings.self) {
        return;
    }
    const bool known = m_members.contains(heartbeat.sender);
    if (!known && m_members.size() >= MembersMax) {
        return;
    }
    Member &member = m_members[heartbeat.sender];
    const bool firstHeartbeat = member.lastHeard == Instant();
    member = {heartbeat.domain,     now,
              heartbeat.able,       heartbeat.inRotation,
              heartbeat.neighbours, heartbeat.neighboursInRotation};
    for (const auto &[endpoint, domain] : heartbeat.knownBalancers) {
        if (endpoint != m_settings.self && m_members.size() < MembersMax) {
            m_members.try_emplace(endpoint, Member {domain, Instant(), false, false, 0, 0});
        }
    }
    if (firstHeartbeat) {
        sendTo(heartbeat.sender, now);
    }
}

void BalancerGroup::onTick(bool able, Instant now)
{
    m_able = able;
    if (m_lastTick != Instant() && now - m_lastTick > m_settings.interval) {
        // This process was paused: heartbeats received meanwhile have not been read yet.
        for (auto &[endpoint, member] : m_members) {
            if (member.lastHeard != Instant()) {
                member.lastHeard += now - m_lastTick;
            }
        }
    }
    m_lastTick = now;
    std::erase_if(m_members, [&](const auto &m) {
        return m.second.lastHeard != Instant()
            && now - m.second.lastHeard > m_settings.downRetention;
    });
    m_steppedDown = able && isMinority(now) && hasAvailableDomain(now);
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + m_settings.interval;
        sendHeartbeats(now);
    }
}

bool BalancerGroup::isUp(const Member &member, Instant now) const
{
    return member.lastHeard != Instant() && now - member.lastHeard <= m_settings.silenceTimeout;
}

bool BalancerGroup::isCountedNeighbour(const Member &member) const
{
    return member.domain == m_settings.domain && member.lastHeard != Instant();
}

std::size_t BalancerGroup::neighbourCount() const
{
    return 1
        + static_cast<std::size_t>(
               std::count_if(m_members.begin(), m_members.end(),
                             [&](const auto &m) { return isCountedNeighbour(m.second); }));
}

std::size_t BalancerGroup::ableCount(Instant now) const
{
    const auto isAble = [&](const auto &m) {
        return isCountedNeighbour(m.second) && isUp(m.second, now) && m.second.able;
    };
    return (m_able ? 1 : 0)
        + static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), isAble));
}

bool BalancerGroup::isMinority(Instant now) const
{
    return ableCount(now) * 2 < neighbourCount();
}

bool BalancerGroup::hasAvailableDomain(Instant now) const
{
    // A failure domain whose balancers are mostly down or out of rotation is no alternative.
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto &m) {
        const Member &member = m.second;
        return member.domain != m_settings.domain && member.lastHeard != Instant()
            && now - member.lastHeard <= m_settings.remoteHeartbeatAgeMax && member.inRotation
            && member.neighboursInRotation * 2 >= member.neighbours;
    });
}

std::vector<Endpoint> BalancerGroup::neighbours() const
{
    std::vector<Endpoint> matching;
    for (const auto &[endpoint, member] : m_members) {
        if (member.domain == m_settings.domain) {
            matching.push_back(endpoint);
        }
    }
    return matching;
}

std::vector<Endpoint> BalancerGroup::remoteBalancers() const
{
    std::vector<Endpoint> matching;
    for (const auto &[endpoint, member] : m_members) {
        if (member.domain != m_settings.domain) {
            matching.push_back(endpoint);
        }
    }
    return matching;
}

std::vector<Endpoint> BalancerGroup::randomSample(std::vector<Endpoint> matching,
                                                  std::size_t count) const
{
    while (matching.size() > count) {
        matching.erase(matching.begin()
                       + static_cast<std::ptrdiff_t>(randomBelow(m_random, matching.size())));
    }
    return matching;
}

void BalancerGroup::sendHeartbeats(Instant now)
{
    std::vector<Endpoint> targets = randomSample(neighbours(), m_settings.neighboursMax);
    for (const Endpoint &balancer : randomSample(remoteBalancers(), m_settings.remoteMax)) {
        targets.push_back(balancer);
    }
    for (const Endpoint &seed : m_settings.seeds) {
        if (seed != m_settings.self && !m_members.contains(seed)) {
            targets.push_back(seed);
        }
    }
    for (const Endpoint &target : targets) {
        sendTo(target, now);
    }
}

void BalancerGroup::sendTo(const Endpoint &balancer, Instant now)
{
    BalancerHeartbeat heartbeat = makeHeartbeat(now);
    std::vector<std::pair<Endpoint, FailureDomainId>> up;
    for (const auto &[endpoint, member] : m_members) {
        if (endpoint != balancer && isUp(member, now)) {
            up.emplace_back(endpoint, member.domain);
        }
    }
    for (std::size_t i = 0; i < m_settings.knownBalancersMax && !up.empty(); ++i) {
        const auto at = static_cast<std::ptrdiff_t>(randomBelow(m_random, up.size()));
        heartbeat.knownBalancers.push_back(up[static_cast<std::size_t>(at)]);
        up.erase(up.begin() + at);
    }
    m_hooks.send(balancer, heartbeat);
}

BalancerHeartbeat BalancerGroup::makeHeartbeat(Instant now) const
{
    BalancerHeartbeat heartbeat;
    heartbeat.sender = m_settings.self;
    heartbeat.domain = m_settings.domain;
    heartbeat.able = m_able;
    heartbeat.inRotation = m_able && !m_steppedDown;
    heartbeat.neighbours = static_cast<std::uint32_t>(neighbourCount());
    const auto inRotation = [&](const auto &m) {
        return isCountedNeighbour(m.second) && isUp(m.second, now) && m.second.inRotation;
    };
    heartbeat.neighboursInRotation = (heartbeat.inRotation ? 1U : 0U)
        + static_cast<std::uint32_t>(std::count_if(m_members.begin(), m_members.end(), inRotation));
    return heartbeat;
}

} // namespace bergamotglade
