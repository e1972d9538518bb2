#include <bergamotglade/detail/dissemination/dissemination.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

constexpr std::size_t RecentMax = 64;
constexpr std::size_t RumorsPerNotice = 6;
constexpr std::size_t PeersAskedAtStart = 3;
/// Peers named to a process that has just started; a datagram of some 300 bytes.
constexpr std::size_t IntroductionsMax = 32;
constexpr std::size_t IntroducedMax = 128;
constexpr Millis FetchTimeout {2000};
constexpr Millis ListRetryMin {2000};
constexpr Millis RumorTtl {60'000};
constexpr Millis NeverConfirmed {std::chrono::hours(24)};
/// Agents asked at once while a reply is late, and how often in a round.
constexpr std::size_t AgentsAsked = 3;
constexpr std::int64_t AsksPerRound = 4;
/// Rounds in which only the readers are asked, between two that ask a random peer too.
constexpr std::uint64_t RoundsPerRandomPeer = 4;

/// The batch of a platform that was away: what it lacks may come back at once.
ChangeBatch withLapses(ChangeBatch batch)
{
    batch.lapses = true;
    for (SectionChange &change : batch.changes) {
        change.lapsed = change.removed;
    }
    return batch;
}

} // namespace

Dissemination::Dissemination(DisseminationSettings settings, DisseminationHooks hooks,
                             Random random)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_random(std::move(random))
    , m_store(m_settings.mechanisms, m_hooks.takeSection)
    , m_pause(m_settings.lease, m_settings.confirmBound)
    , m_rumors(m_settings.self, RumorTtl)
    , m_retry(m_settings.retryMin)
    , m_listRetry(ListRetryMin)
{ }

void Dissemination::start(Instant now)
{
    m_started = now;
    m_repliedAt = now;
    m_probeAt = now;
    m_pause.observe(now);
    m_nextGossip = now;
    for (const Endpoint &seed : m_settings.seeds) {
        if (seed != m_settings.self) {
            sendNotice(seed, true, 0, now);
        }
    }
    readVmList(now);
    readPlatform(now);
}

void Dissemination::readVmList(Instant now)
{
    // Asked again soon, later each time, until there is an answer.
    m_nextVmList = now + m_listRetry + Millis(static_cast<std::int64_t>(below(m_random, 1000)));
    m_listRetry = std::min(m_listRetry * 2, m_settings.retryMax);
    m_hooks.readVmList();
}

bool Dissemination::mayAct(Instant now)
{
    if (m_pause.observe(now)) {
        ++m_counters.pauses;
        ++m_probe;
        m_probeAt = now;
        // A datagram to ourselves comes back behind all that has waited.
        sendNotice(m_settings.self, false, 0, now);
        tellSome(PeersAskedAtStart, true, now);
        if (!m_platformBusy) {
            readPlatform(now);
        }
    }
    const bool suspect = m_pause.isSuspect(now) && m_settings.mechanisms.pauseCheck;
    return !suspect && isReady(now);
}

bool Dissemination::lacksReply(Instant now) const
{
    return now - m_repliedAt > m_settings.gossipInterval * 3 / 2;
}

bool Dissemination::isConnected(Instant now) const
{
    const Instant since = std::max(m_repliedAt, m_started);
    return now - since <= m_settings.isolation || m_agents.empty();
}

bool Dissemination::isReady(Instant now) const
{
    // A section that never had a good text must not hold up the others for longer than the bound.
    const bool waited = now - m_started >= m_settings.confirmBound;
    return m_store.hasRoot() && (waited || (m_confirmedOnce && m_store.isComplete()));
}

void Dissemination::onTick(Instant now)
{
    mayAct(now);
    m_rumors.expire(now);
    if (now >= m_nextGossip) {
        m_nextGossip = now + m_settings.gossipInterval;
        const bool unsure = !isReady(now) || m_pause.isSuspect(now);
        if (m_settings.asksReaders) {
            askReaders(now);
        }
        const bool random =
            !m_settings.asksReaders || lacksReply(now) || ++m_rounds % RoundsPerRandomPeer == 0;
        tellSome(unsure ? PeersAskedAtStart : (random ? 1 : 0), true, now);
        if (m_pause.isSuspect(now)) {
            sendNotice(m_settings.self, false, 0, now);
        }
    }
    if (lacksReply(now) && now >= m_nextAsk) {
        m_nextAsk = now + m_settings.gossipInterval / AsksPerRound;
        tellSomeOf(m_agents, AgentsAsked, true, now);
    }
    if (m_fetching != Endpoint() && now - m_fetchSince > FetchTimeout) {
        m_fetching = Endpoint();
    }
    m_isReader = shouldRead(now);
    const bool wanted = m_isReader || !m_store.isComplete();
    if (wanted && !m_platformBusy && now >= m_nextRead) {
        readPlatform(now);
    }
    if (now >= m_nextVmList) {
        readVmList(now);
    }
}

bool Dissemination::shouldRead(Instant now) const
{
    if (m_rank < m_settings.readersPerDomain) {
        return true;
    }
    // Each further rank waits one lease more, so that one VM steps in at a time.
    const auto turn = static_cast<std::int64_t>(m_rank - m_settings.readersPerDomain + 1);
    return platformAge(now) > m_settings.readerLease * (turn + 1);
}

Millis Dissemination::platformAge(Instant now) const
{
    return m_platformAt == Instant() ? NeverConfirmed : now - m_platformAt;
}

void Dissemination::readPlatform(Instant now)
{
    // The first read, and one after a pause, must not wait for a change.
    const bool watch = m_platformAnswered && !m_pause.isSuspect(now);
    m_platformBusy = true;
    m_readSince = now;
    ++m_counters.platformReads;
    m_hooks.readPlatform(m_store.revision(), watch);
}

void Dissemination::onPlatformBatch(const ChangeBatch &batch, Instant now)
{
    mayAct(now);
    m_platformBusy = false;
    m_retry = m_settings.retryMin;
    m_nextRead = now;
    if (batch.upTo < m_store.revision() && m_settings.mechanisms.neverRevert) {
        // The platform serves an old state; ours stands, and asking at once would not help.
        ++m_counters.platformStale;
        scheduleRetry(now);
        return;
    }
    const bool alone = peers().empty() || !m_settings.mechanisms.askPeers;
    const bool atLeastOurs = m_store.hasRoot() || !m_settings.mechanisms.askPeers;
    m_platformAnswered = true;
    m_platformAt = now;
    const bool wasAway =
        m_platformFailedAt != Instant() && now - m_platformFailedAt <= m_settings.lapseWindow;
    take(wasAway ? withLapses(batch) : batch, now);
    // A first answer may be stale: it counts as confirmed only when there is no peer to ask.
    if (atLeastOurs && (m_confirmedOnce || alone)) {
        confirm(m_readSince);
    }
}

void Dissemination::onPlatformFailed(Instant now)
{
    m_platformBusy = false;
    m_platformFailedAt = now;
    ++m_counters.platformFailures;
    scheduleRetry(now);
}

void Dissemination::scheduleRetry(Instant now)
{
    const auto jitter =
        static_cast<std::int64_t>(below(m_random, static_cast<std::uint64_t>(m_retry.count()) + 1));
    m_nextRead = now + m_retry / 2 + Millis(jitter);
    m_retry = std::min(m_retry * 2, m_settings.retryMax);
}

void Dissemination::take(const ChangeBatch &batch, Instant now)
{
    const Revision before = m_store.revision();
    if (!m_store.take(batch)) {
        return;
    }
    findAgents();
    if (m_hooks.onChange) {
        m_hooks.onChange();
    }
    if (m_store.revision() > before) {
        tellSome(m_settings.fanOut, false, now);
    }
}

void Dissemination::findAgents()
{
    if (m_hooks.agents) {
        m_agents = m_hooks.agents();
        return;
    }
    m_agents.clear();
    for (const auto &service : m_store.view().services()) {
        for (const Upstream &upstream : service->upstreams) {
            const bool reachable =
                !m_store.view().isOut(upstream.domain) || upstream.domain == m_settings.domain;
            if (reachable && upstream.agent != m_settings.self) {
                m_agents.push_back(upstream.agent);
            }
        }
    }
}

void Dissemination::askReaders(Instant now)
{
    // The first reader is enough while it answers; a silent one costs one round.
    const bool stale = platformAge(now) > m_settings.readerLease || lacksReply(now);
    const std::size_t asked = std::min<std::size_t>(stale ? 2 : 1, m_readers.size());
    for (std::size_t i = 0; i < asked; ++i) {
        if (m_readers[i] != m_settings.self) {
            sendNotice(m_readers[i], true, 0, now);
        }
    }
}

void Dissemination::confirm(Instant since)
{
    m_confirmedOnce = true;
    m_pause.confirm(since);
}

void Dissemination::setLeaving(bool leaving, Instant now)
{
    if (m_rumors.setLeaving(leaving, now)) {
        tellSome(m_settings.fanOut, false, now);
    }
}

void Dissemination::onOwnNotice(const Notice &notice)
{
    if (notice.probe == m_probe) {
        m_pause.onDrained();
    }
}

void Dissemination::onNotice(const Notice &notice, Instant now)
{
    mayAct(now);
    if (notice.sender == m_settings.self) {
        onOwnNotice(notice);
        return;
    }
    ++m_counters.noticesReceived;
    if (notice.echo != 0 && isAgent(notice.sender)) {
        m_repliedAt = now;
    }
    remember(notice.sender);
    if (notice.serving) {
        m_rumors.alive(notice.sender, now);
    }
    for (const Endpoint &peer : notice.introductions) {
        introduce(peer);
    }
    for (const Rumor &rumor : notice.rumors) {
        m_rumors.onRumor(rumor, now);
    }
    if (notice.revision > m_store.revision()) {
        fetch(notice.sender, now);
    } else {
        if (notice.revision == m_store.revision()) {
            m_platformAt = std::max(m_platformAt, now - notice.platformAge);
        }
        // Only the reply to a question asked since the last pause says anything of today.
        if (notice.confirmed && notice.echo == m_probe && m_store.hasRoot()) {
            confirm(m_probeAt);
        }
        if (!m_store.isComplete() && notice.revision == m_store.revision()) {
            fetch(notice.sender, now);
        }
    }
    if (notice.wantsReply || notice.revision < m_store.revision()) {
        sendNotice(notice.sender, false, notice.probe, now, !notice.confirmed);
    }
}

void Dissemination::onVersionSeen(const Endpoint &peer, Revision version, Instant now)
{
    if (version > m_store.revision()) {
        fetch(peer, now);
    } else if (version < m_store.revision()) {
        sendNotice(peer, false, 0, now);
    }
}

void Dissemination::fetch(const Endpoint &peer, Instant now)
{
    if (m_fetching != Endpoint()) {
        return;
    }
    m_fetching = peer;
    m_fetchSince = now;
    ++m_counters.peerFetches;
    // What was rejected here unheld may stand at the peer in an earlier, good text.
    const Revision since = m_store.isComplete() ? m_store.revision() : Revision();
    m_hooks.fetchFromPeer(peer, since);
}

void Dissemination::onPeerBatch(const ChangeBatch &batch, Instant now)
{
    mayAct(now);
    m_fetching = Endpoint();
    take(batch, now);
    if (m_store.hasRoot() && batch.upTo <= m_store.revision()) {
        confirm(m_fetchSince);
    }
}

void Dissemination::onPeerFailed(Instant /*now*/)
{
    m_fetching = Endpoint();
}

void Dissemination::onVmList(const std::vector<Vm> &vms, Instant now)
{
    m_vms = vms;
    updateRank(vms);
    if (!vms.empty()) {
        m_nextVmList = now + m_settings.vmListInterval;
        m_listRetry = ListRetryMin;
    }
    if (!m_confirmedOnce) {
        tellSome(PeersAskedAtStart, true, now);
    }
}

void Dissemination::updateRank(const std::vector<Vm> &vms)
{
    const std::uint64_t domain = hashBytes(m_settings.domain.str());
    const auto score = [&](const VmId &vm) {
        return hashPair(domain, hashBytes(vm.str()));
    };
    m_rank = m_settings.unlistedRank;
    std::size_t ahead = 0;
    std::vector<std::pair<std::uint64_t, Endpoint>> ranked;
    for (const Vm &vm : vms) {
        if (vm.domain == m_settings.domain && !vm.leaving) {
            ranked.emplace_back(score(vm.id), vm.endpoint);
        }
        if (vm.id == m_settings.vm) {
            m_rank = 0;
        } else if (vm.domain == m_settings.domain && !vm.leaving
                   && score(vm.id) < score(m_settings.vm)) {
            ++ahead;
        }
    }
    m_rank += ahead;
    std::sort(ranked.begin(), ranked.end());
    m_readers.clear();
    for (const auto &[rank, endpoint] : ranked) {
        m_readers.push_back(endpoint);
    }
}

std::vector<Endpoint> Dissemination::peers() const
{
    std::vector<Endpoint> all = m_agents;
    all.insert(all.end(), m_recent.begin(), m_recent.end());
    all.insert(all.end(), m_introduced.begin(), m_introduced.end());
    all.insert(all.end(), m_settings.seeds.begin(), m_settings.seeds.end());
    for (const Vm &vm : m_vms) {
        const bool reachable = !view().isOut(vm.domain) || vm.domain == m_settings.domain;
        if (reachable && !vm.leaving) {
            all.push_back(vm.endpoint);
        }
    }
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    std::erase(all, m_settings.self);
    return all;
}

void Dissemination::remember(const Endpoint &peer)
{
    std::erase(m_recent, peer);
    m_recent.push_back(peer);
    if (m_recent.size() > RecentMax) {
        m_recent.pop_front();
    }
}

void Dissemination::introduce(const Endpoint &peer)
{
    const bool known =
        std::find(m_introduced.begin(), m_introduced.end(), peer) != m_introduced.end();
    if (known || peer == m_settings.self) {
        return;
    }
    m_introduced.push_back(peer);
    if (m_introduced.size() > IntroducedMax) {
        m_introduced.pop_front();
    }
}

bool Dissemination::isAgent(const Endpoint &peer) const
{
    return std::find(m_agents.begin(), m_agents.end(), peer) != m_agents.end();
}

void Dissemination::tellSome(std::size_t count, bool wantsReply, Instant now)
{
    tellSomeOf(peers(), count, wantsReply, now);
}

void Dissemination::tellSomeOf(std::vector<Endpoint> some, std::size_t count, bool wantsReply,
                               Instant now)
{
    for (std::size_t i = 0; i < count && !some.empty(); ++i) {
        const auto at = static_cast<std::ptrdiff_t>(below(m_random, some.size()));
        sendNotice(some[static_cast<std::size_t>(at)], wantsReply, 0, now);
        some.erase(some.begin() + at);
    }
}

void Dissemination::sendNotice(const Endpoint &peer, bool wantsReply, std::uint64_t echo,
                               Instant now, bool introduces)
{
    if (!m_settings.mechanisms.gossip) {
        return;
    }
    ++m_counters.noticesSent;
    Notice notice;
    notice.sender = m_settings.self;
    notice.incarnation = m_settings.incarnation;
    notice.revision = m_store.revision();
    notice.platformAge = platformAge(now);
    notice.confirmed = isReady(now) && !m_pause.isSuspect(now);
    notice.wantsReply = wantsReply;
    notice.serving = notice.confirmed && !m_rumors.isSelfLeaving();
    notice.probe = m_probe;
    notice.echo = echo;
    notice.rumors = m_rumors.take(RumorsPerNotice);
    if (introduces) {
        const std::size_t count = std::min(IntroductionsMax, m_recent.size());
        notice.introductions.assign(m_recent.end() - static_cast<std::ptrdiff_t>(count),
                                    m_recent.end());
    }
    m_hooks.sendNotice(peer, notice);
}

} // namespace bergamotglade
