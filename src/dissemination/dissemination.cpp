#include <bergamotglade/detail/dissemination/dissemination.hpp>

#include <algorithm>
#include <map>

namespace bergamotglade {

namespace {

constexpr std::size_t RecentPeersMax = 64;
constexpr std::size_t RumorsPerNotice = 6;
/// Random peers queried at once while the view is not confirmed.
constexpr std::size_t PeersQueriedUnconfirmed = 3;
/// Peers named to a process whose view is not confirmed; makes a datagram of about 300 bytes.
constexpr std::size_t IntroductionsMax = 32;
constexpr std::size_t IntroducedPeersMax = 128;
constexpr Millis FetchTimeout {2000};
constexpr Millis VmListRetryMin {2000};
constexpr Millis RumorTtl {60'000};
/// Platform age before the platform has confirmed the revision for the first time.
constexpr Millis AgeIfNeverConfirmed {std::chrono::hours(24)};
/// Agents queried at once while a reply is overdue.
constexpr std::size_t AgentsPerQuery = 3;
/// Rounds of these queries in each gossip interval.
constexpr std::int64_t AgentQueriesPerInterval = 4;
/// Seed of the hash that ranks failure domains as readers of the platform.
constexpr std::uint64_t ReadingDomainSeed = 0x9ead;
/// With asksReaders, one gossip round in this many also contacts a random peer.
constexpr std::uint64_t RoundsPerRandomPeer = 4;

/// Marks the removals of a batch read soon after a platform outage: the sections may reappear.
ChangeBatch markRemovalsLapsed(ChangeBatch batch)
{
    batch.afterOutage = true;
    for (SectionChange &change : batch.changes) {
        change.lapsed = change.removed;
    }
    return batch;
}

ViewConfirmationSettings confirmationSettings(const DisseminationSettings &dissemination)
{
    ViewConfirmationSettings settings;
    settings.self = dissemination.self;
    settings.firstNumber = dissemination.incarnation.value();
    return settings;
}

} // namespace

Dissemination::Dissemination(DisseminationSettings settings, DisseminationHooks hooks,
                             Random random)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_random(std::move(random))
    , m_store(m_settings.mechanisms, m_hooks.applySection, m_hooks.contentOrder)
    , m_pauseDetector(m_settings.pauseThreshold, m_settings.confirmationTimeout)
    , m_confirmation(confirmationSettings(m_settings), confirmationHooks())
    , m_rumors(m_settings.self, RumorTtl)
    , m_platformRetry(m_settings.retryMin)
    , m_vmListRetry(VmListRetryMin)
{ }

void Dissemination::start(Instant now)
{
    m_startedAt = now;
    m_lastReplyAt = now;
    m_probeStartedAt = now;
    m_pauseDetector.observe(now);
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
    // Retried with exponential backoff and jitter until the platform answers.
    m_nextVmList =
        now + m_vmListRetry + Millis(static_cast<std::int64_t>(randomBelow(m_random, 1000)));
    m_vmListRetry = std::min(m_vmListRetry * 2, m_settings.retryMax);
    m_hooks.readVmList();
}

bool Dissemination::mayAct(Instant now)
{
    if (m_pauseDetector.observe(now)) {
        ++m_counters.pauses;
        ++m_probe;
        m_probeStartedAt = now;
        // A datagram to our own address is queued behind everything that arrived during the pause.
        // When it is received, that backlog has been read.
        sendNotice(m_settings.self, false, 0, now);
        notifyRandomPeers(PeersQueriedUnconfirmed, true, now);
        if (!m_platformReadPending) {
            readPlatform(now);
        }
    }
    const bool suspect = m_pauseDetector.isSuspect(now) && m_settings.mechanisms.pauseCheck;
    return !suspect && isReady(now);
}

bool Dissemination::isReplyOverdue(Instant now) const
{
    return now - m_lastReplyAt > m_settings.gossipInterval * 3 / 2;
}

bool Dissemination::isConnected(Instant now) const
{
    const Instant since = std::max(m_lastReplyAt, m_startedAt);
    return now - since <= m_settings.isolationTimeout || m_agents.empty();
}

bool Dissemination::isReady(Instant now) const
{
    // A section without any valid text must not delay the others beyond the time-out.
    const bool timedOut = now - m_startedAt >= m_settings.confirmationTimeout;
    return m_store.hasRoot() && (timedOut || (m_confirmedOnce && m_store.isComplete()));
}

void Dissemination::onTick(Instant now)
{
    mayAct(now);
    m_rumors.expire(now);
    if (now >= m_nextGossip) {
        m_nextGossip = now + m_settings.gossipInterval;
        const bool unconfirmed = !isReady(now) || m_pauseDetector.isSuspect(now);
        if (m_settings.asksReaders) {
            askReaders(now);
        }
        const bool isRandomPeerDue = !m_settings.asksReaders || isReplyOverdue(now)
            || ++m_gossipRounds % RoundsPerRandomPeer == 0;
        notifyRandomPeers(unconfirmed ? PeersQueriedUnconfirmed : (isRandomPeerDue ? 1 : 0), true,
                          now);
        if (m_pauseDetector.isSuspect(now)) {
            sendNotice(m_settings.self, false, 0, now);
        }
    }
    if (isReplyOverdue(now) && now >= m_nextAgentQuery) {
        m_nextAgentQuery = now + m_settings.gossipInterval / AgentQueriesPerInterval;
        notifyRandom(m_agents, AgentsPerQuery, true, now);
    }
    if (m_fetchPeer != Endpoint() && now - m_fetchStartedAt > FetchTimeout) {
        m_fetchPeer = Endpoint();
    }
    m_isReader = shouldReadPlatform(now);
    const bool needsPlatform = m_isReader || !m_store.isComplete();
    if (needsPlatform && !m_platformReadPending && now >= m_nextPlatformRead) {
        readPlatform(now);
    }
    if (now >= m_nextVmList) {
        readVmList(now);
    }
    m_confirmation.onTick(now);
}

ViewConfirmationHooks Dissemination::confirmationHooks()
{
    ViewConfirmationHooks hooks;
    hooks.sendQuery = m_hooks.sendConfirmationQuery;
    hooks.sendAnswer = m_hooks.sendConfirmationAnswer;
    hooks.readPlatform = [this] {
        m_hooks.confirmView(m_store.revision());
    };
    hooks.readers = [this] {
        return readers();
    };
    hooks.isReader = [this] {
        return m_isReader;
    };
    hooks.revision = [this] {
        return m_store.revision();
    };
    hooks.onConfirmed = [this] {
        if (m_hooks.onConfirmed) {
            m_hooks.onConfirmed();
        }
    };
    return hooks;
}

std::vector<Endpoint> Dissemination::readers() const
{
    std::vector<Endpoint> readers;
    if (m_isDomainPassive) {
        readers = m_remoteReaders;
    }
    constexpr std::size_t OwnDomainReaders = 2;
    for (std::size_t i = 0; i < std::min(OwnDomainReaders, m_vmsByRank.size()); ++i) {
        readers.push_back(m_vmsByRank[i]);
    }
    std::erase(readers, m_settings.self);
    return readers;
}

void Dissemination::requestConfirmation(Instant now)
{
    // Without a view the platform is being read anyway.
    if (m_store.hasRoot()) {
        m_confirmation.request(now);
    }
}

void Dissemination::onConfirmationQuery(const ConfirmationQuery &query, Instant now)
{
    if (m_store.hasRoot()) {
        m_confirmation.onQuery(query, now);
    }
}

void Dissemination::onConfirmationBatch(const ChangeBatch &batch, Instant now)
{
    mayAct(now);
    if (batch.upTo >= m_store.revision()) {
        applyPlatformBatch(batch, now);
    }
    m_confirmation.onRead(batch.upTo, now);
}

void Dissemination::onConfirmationAnswer(const ConfirmationAnswer &answer, Instant now)
{
    m_confirmation.onAnswer(answer);
    if (answer.revision > m_store.revision()) {
        fetch(answer.sender, now);
    }
}

bool Dissemination::isConfirmedSince(Instant since, Instant now) const
{
    // The answer of another process may have been on the way for a while.
    if (m_confirmation.confirmedSince() >= since
        || m_platformConfirmedAt >= since + m_settings.spreadTimeMax) {
        return true;
    }
    const Instant failedReadStartedAt =
        std::max(m_failedReadStartedAt, m_confirmation.failedReadStartedAt());
    const bool isPlatformAway =
        failedReadStartedAt >= since && now - m_platformReachedAt > m_settings.spreadTimeMax;
    const bool hasHeardOthers =
        now - m_viewChangedAt > m_settings.spreadTimeMax && isConnected(now);
    return isReady(now) && isPlatformAway && hasHeardOthers;
}

bool Dissemination::shouldReadPlatform(Instant now) const
{
    if (m_readerRank < m_settings.readersPerDomain && !m_isDomainPassive) {
        return true;
    }
    // The first rank after the readers waits two time-outs, each further rank one more, so that
    // VMs take over one at a time.
    const auto position = static_cast<std::int64_t>(m_readerRank)
        - static_cast<std::int64_t>(m_settings.readersPerDomain) + 1;
    return platformAge(now) > m_settings.readerTimeout * position + staleAge();
}

Millis Dissemination::staleAge() const
{
    return m_settings.readerTimeout
        + (m_isDomainPassive ? m_settings.passiveDomainDelay : Millis(0));
}

Millis Dissemination::platformAge(Instant now) const
{
    return m_platformConfirmedAt == Instant() ? AgeIfNeverConfirmed : now - m_platformConfirmedAt;
}

void Dissemination::readPlatform(Instant now)
{
    // The first read and a read after a pause must return at once, not wait for a change.
    const bool watch = m_platformAnswered && !m_pauseDetector.isSuspect(now);
    m_platformReadPending = true;
    m_readStartedAt = now;
    ++m_counters.platformReads;
    m_hooks.readPlatform(m_store.revision(), watch);
}

void Dissemination::onPlatformBatch(const ChangeBatch &batch, Instant now)
{
    mayAct(now);
    m_platformReadPending = false;
    m_platformRetry = m_settings.retryMin;
    const bool hasChanges = batch.upTo > m_store.revision() && m_store.hasRoot();
    m_nextPlatformRead = now + (hasChanges ? m_settings.changeCoalescingTime : Millis(0));
    if (batch.upTo < m_store.revision() && m_settings.mechanisms.neverRevert) {
        // The platform serves an older state. Keep ours and back off, as it may stay stale.
        ++m_counters.platformStale;
        scheduleRetry(now);
        return;
    }
    const bool hasNoPeers = peers().empty() || !m_settings.mechanisms.askPeers;
    const bool holdsRoot = m_store.hasRoot() || !m_settings.mechanisms.askPeers;
    applyPlatformBatch(batch, now);
    // An answer received before any root is held may be stale and confirms nothing. A later one
    // does if the view was confirmed before or there is no peer to ask.
    if (holdsRoot && (m_confirmedOnce || hasNoPeers)) {
        confirm(m_readStartedAt);
    }
    if (batch.upTo == m_store.revision()) {
        m_confirmation.confirm(m_readStartedAt);
    }
}

void Dissemination::applyPlatformBatch(const ChangeBatch &batch, Instant now)
{
    m_platformAnswered = true;
    m_platformConfirmedAt = now;
    m_platformReachedAt = now;
    m_fullFetchDue = m_fullFetchDue || batch.upTo.era() > m_store.revision().era();
    const bool afterOutage =
        m_platformFailedAt != Instant() && now - m_platformFailedAt <= m_settings.postOutageWindow;
    applyBatch(afterOutage ? markRemovalsLapsed(batch) : batch, now);
}

void Dissemination::onPlatformFailed(Instant now)
{
    m_platformReadPending = false;
    m_platformFailedAt = now;
    m_failedReadStartedAt = m_readStartedAt;
    ++m_counters.platformFailures;
    scheduleRetry(now);
}

void Dissemination::scheduleRetry(Instant now)
{
    const auto jitter = static_cast<std::int64_t>(
        randomBelow(m_random, static_cast<std::uint64_t>(m_platformRetry.count()) + 1));
    m_nextPlatformRead = now + m_platformRetry / 2 + Millis(jitter);
    m_platformRetry = std::min(m_platformRetry * 2, m_settings.retryMax);
}

void Dissemination::applyBatch(const ChangeBatch &batch, Instant now)
{
    const Revision before = m_store.revision();
    if (!m_store.apply(batch)) {
        return;
    }
    updateAgents();
    // A process that starts enters the current era without a change of eras.
    if (before != Revision() && m_store.revision().era() > before.era()) {
        ++m_counters.eraChanges;
        if (m_hooks.onEraChange) {
            m_hooks.onEraChange(before, m_store.revision());
        }
    }
    if (m_hooks.onChange) {
        m_hooks.onChange();
    }
    if (m_store.revision() > before) {
        m_viewChangedAt = now;
        m_confirmation.onRevisionChange();
        notifyRandomPeers(m_settings.fanOut, false, now);
    }
}

void Dissemination::updateAgents()
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
    // The first reader is enough while it replies; if it fails, the second is asked as well,
    // usually after one lost round.
    const bool stale = platformAge(now) > staleAge() || isReplyOverdue(now);
    if (m_isDomainPassive && !m_remoteReaders.empty()
        && m_readerRank < m_settings.readersPerDomain) {
        const std::size_t count = stale ? m_remoteReaders.size() : 1;
        for (std::size_t i = 0; i < count; ++i) {
            sendNotice(m_remoteReaders[(m_gossipRounds + i) % m_remoteReaders.size()], true, 0,
                       now);
        }
    }
    const std::size_t asked = std::min<std::size_t>(stale ? 2 : 1, m_vmsByRank.size());
    for (std::size_t i = 0; i < asked; ++i) {
        if (m_vmsByRank[i] != m_settings.self) {
            sendNotice(m_vmsByRank[i], true, 0, now);
        }
    }
}

void Dissemination::confirm(Instant since)
{
    m_confirmedOnce = true;
    m_pauseDetector.confirm(since);
}

void Dissemination::setLeaving(bool leaving, Instant now)
{
    if (m_rumors.setLeaving(leaving, now)) {
        notifyRandomPeers(m_settings.fanOut, false, now);
    }
}

void Dissemination::onSelfNotice(const Notice &notice)
{
    if (notice.probe == m_probe) {
        m_pauseDetector.onBacklogRead();
    }
}

void Dissemination::onNotice(const Notice &notice, Instant now)
{
    mayAct(now);
    if (notice.sender == m_settings.self) {
        onSelfNotice(notice);
        return;
    }
    ++m_counters.noticesReceived;
    m_platformReachedAt = std::max(m_platformReachedAt, now - notice.platformAge);
    if (notice.echo != 0 && isAgent(notice.sender)) {
        m_lastReplyAt = now;
    }
    addRecentPeer(notice.sender);
    if (notice.serving) {
        m_rumors.markAlive(notice.sender, now);
    }
    for (const Endpoint &peer : notice.introductions) {
        addIntroducedPeer(peer);
    }
    for (const Rumor &rumor : notice.rumors) {
        m_rumors.onRumor(rumor, now);
    }
    if (notice.revision > m_store.revision()) {
        fetch(notice.sender, now);
    } else {
        if (notice.revision == m_store.revision()) {
            m_platformConfirmedAt = std::max(m_platformConfirmedAt, now - notice.platformAge);
        }
        // Replies to a probe from before the last pause may be out of date.
        if (notice.confirmed && notice.echo == m_probe && m_store.hasRoot()) {
            confirm(m_probeStartedAt);
        }
        if ((!m_store.isComplete() || m_fullFetchDue) && notice.revision == m_store.revision()) {
            fetch(notice.sender, now);
        }
    }
    if (notice.wantsReply || notice.revision < m_store.revision()) {
        sendNotice(notice.sender, false, notice.probe, now, !notice.confirmed);
    }
}

void Dissemination::onRevisionSeen(const Endpoint &peer, Revision peerRevision, Instant now)
{
    if (peerRevision > m_store.revision()) {
        fetch(peer, now);
    } else if (peerRevision < m_store.revision()) {
        sendNotice(peer, false, 0, now);
    }
}

void Dissemination::fetch(const Endpoint &peer, Instant now)
{
    if (m_fetchPeer != Endpoint()) {
        return;
    }
    m_fetchPeer = peer;
    m_fetchStartedAt = now;
    ++m_counters.peerFetches;
    // If a section has no valid text here, the peer may hold an earlier, valid revision of it.
    const Revision since =
        m_store.isComplete() && !m_fullFetchDue ? m_store.revision() : Revision();
    m_hooks.fetchFromPeer(peer, since);
}

void Dissemination::onPeerBatch(const ChangeBatch &batch, Instant now)
{
    mayAct(now);
    m_fetchPeer = Endpoint();
    applyBatch(batch, now);
    m_fullFetchDue = m_fullFetchDue && (!batch.snapshot || batch.upTo < m_store.revision());
    if (m_store.hasRoot() && batch.upTo <= m_store.revision()) {
        confirm(m_fetchStartedAt);
    }
}

void Dissemination::onPeerFailed(Instant /*now*/)
{
    m_fetchPeer = Endpoint();
}

void Dissemination::onVmList(const std::vector<Vm> &vms, Instant now)
{
    m_vms = vms;
    updateReaders(vms);
    if (!vms.empty()) {
        m_nextVmList = now + m_settings.vmListInterval;
        m_vmListRetry = VmListRetryMin;
    }
    if (!m_confirmedOnce) {
        notifyRandomPeers(PeersQueriedUnconfirmed, true, now);
    }
}

void Dissemination::updateReadingDomains(const std::vector<Vm> &vms)
{
    // By rendezvous hashing as in updateReaders(): the same domains, and in each the same VM, in
    // all processes with the same list.
    struct Domain
    {
        std::uint64_t score = 0;
        FailureDomainId id;
        std::uint64_t readerScore = std::numeric_limits<std::uint64_t>::max();
        Endpoint reader;
    };
    std::map<FailureDomainId, Domain> domains;
    domains[m_settings.domain].id = m_settings.domain;
    for (const Vm &vm : vms) {
        if (vm.leaving) {
            continue;
        }
        Domain &domain = domains[vm.domain];
        domain.id = vm.domain;
        const std::uint64_t score = hashPair(hashBytes(vm.domain.str()), hashBytes(vm.id.str()));
        if (score < domain.readerScore) {
            domain.readerScore = score;
            domain.reader = vm.endpoint;
        }
    }
    std::vector<Domain> ranked;
    for (auto &[id, domain] : domains) {
        domain.score = hashBytes(id.str(), ReadingDomainSeed);
        ranked.push_back(domain);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const Domain &a, const Domain &b) { return a.score < b.score; });
    m_isDomainPassive = ranked.size() > m_settings.readingDomains;
    m_remoteReaders.clear();
    for (std::size_t i = 0; i < std::min(ranked.size(), m_settings.readingDomains); ++i) {
        m_isDomainPassive = m_isDomainPassive && ranked[i].id != m_settings.domain;
        if (ranked[i].id != m_settings.domain && ranked[i].reader != Endpoint()) {
            m_remoteReaders.push_back(ranked[i].reader);
        }
    }
}

void Dissemination::updateReaders(const std::vector<Vm> &vms)
{
    updateReadingDomains(vms);
    // Rendezvous hashing, so that all processes with the same list compute the same ranks.
    const std::uint64_t domainHash = hashBytes(m_settings.domain.str());
    const auto score = [&](const VmId &vm) {
        return hashPair(domainHash, hashBytes(vm.str()));
    };
    m_readerRank = m_settings.unlistedRank;
    std::size_t lowerScores = 0;
    std::vector<std::pair<std::uint64_t, Endpoint>> ranked;
    for (const Vm &vm : vms) {
        if (vm.domain == m_settings.domain && !vm.leaving) {
            ranked.emplace_back(score(vm.id), vm.endpoint);
        }
        if (vm.id == m_settings.vm) {
            m_readerRank = 0;
        } else if (vm.domain == m_settings.domain && !vm.leaving
                   && score(vm.id) < score(m_settings.vm)) {
            ++lowerScores;
        }
    }
    m_readerRank += lowerScores;
    std::sort(ranked.begin(), ranked.end());
    m_vmsByRank.clear();
    for (const auto &[vmScore, endpoint] : ranked) {
        m_vmsByRank.push_back(endpoint);
    }
}

std::vector<Endpoint> Dissemination::peers() const
{
    std::vector<Endpoint> all = m_agents;
    all.insert(all.end(), m_recentPeers.begin(), m_recentPeers.end());
    all.insert(all.end(), m_introducedPeers.begin(), m_introducedPeers.end());
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

void Dissemination::addRecentPeer(const Endpoint &peer)
{
    std::erase(m_recentPeers, peer);
    m_recentPeers.push_back(peer);
    if (m_recentPeers.size() > RecentPeersMax) {
        m_recentPeers.pop_front();
    }
}

void Dissemination::addIntroducedPeer(const Endpoint &peer)
{
    const bool known = std::find(m_introducedPeers.begin(), m_introducedPeers.end(), peer)
        != m_introducedPeers.end();
    if (known || peer == m_settings.self) {
        return;
    }
    m_introducedPeers.push_back(peer);
    if (m_introducedPeers.size() > IntroducedPeersMax) {
        m_introducedPeers.pop_front();
    }
}

bool Dissemination::isAgent(const Endpoint &peer) const
{
    return std::find(m_agents.begin(), m_agents.end(), peer) != m_agents.end();
}

void Dissemination::notifyRandomPeers(std::size_t count, bool wantsReply, Instant now)
{
    notifyRandom(peers(), count, wantsReply, now);
}

void Dissemination::notifyRandom(std::vector<Endpoint> candidates, std::size_t count,
                                 bool wantsReply, Instant now)
{
    for (std::size_t i = 0; i < count && !candidates.empty(); ++i) {
        const auto at = static_cast<std::ptrdiff_t>(randomBelow(m_random, candidates.size()));
        sendNotice(candidates[static_cast<std::size_t>(at)], wantsReply, 0, now);
        candidates.erase(candidates.begin() + at);
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
    notice.confirmed = isReady(now) && !m_pauseDetector.isSuspect(now);
    notice.wantsReply = wantsReply;
    notice.serving = notice.confirmed && !m_rumors.isSelfLeaving();
    notice.probe = m_probe;
    notice.echo = echo;
    notice.rumors = m_rumors.takePending(RumorsPerNotice);
    if (introduces) {
        const std::size_t count = std::min(IntroductionsMax, m_recentPeers.size());
        notice.introductions.assign(m_recentPeers.end() - static_cast<std::ptrdiff_t>(count),
                                    m_recentPeers.end());
    }
    m_hooks.sendNotice(peer, notice);
}

} // namespace bergamotglade
