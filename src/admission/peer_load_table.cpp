#include <bergamotglade/detail/admission/peer_load_table.hpp>

#include <algorithm>
#include <cmath>

namespace bergamotglade {

double LoadEstimate::expectedMs() const noexcept
{
    // Requests delay each other even below full utilization; above it the queue dominates.
    return serviceTimeMs
        * (utilization() <= 1 ? 1 + utilization() * utilization() : 2 * utilization());
}

PeerLoadTable::PeerLoadTable(PlacementSettings settings, Random random)
    : m_settings(settings)
    , m_random(std::move(random))
{ }

void PeerLoadTable::onReport(const LoadReport &report, Instant now)
{
    Peer &peer = m_peers[report.sender];
    peer = Peer {report, now, 0, now};
    const auto watched = m_watched.find(report.sender);
    if (watched != m_watched.end()) {
        watched->second = {now, Instant()};
    }
}

void PeerLoadTable::onSent(const Endpoint &peer, Instant now)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return;
    }
    Peer &known = found->second;
    known.sentSinceReport = outstandingSent(known, now) + 1;
    known.sentAt = now;
}

double PeerLoadTable::outstandingSent(const Peer &peer, Instant now) const
{
    // Without a known service time nothing is taken as completed.
    if (peer.report.serviceTimeMs == 0) {
        return peer.sentSinceReport;
    }
    const auto passed = static_cast<double>((now - peer.sentAt).count());
    return peer.sentSinceReport
        * std::exp(-passed / (peer.report.serviceTimeMs * m_settings.sentDecay));
}

LoadEstimate PeerLoadTable::estimateOf(const Peer &peer, double meanServiceTimeMs,
                                       Instant now) const
{
    const double time =
        peer.report.serviceTimeMs == 0 ? meanServiceTimeMs : peer.report.serviceTimeMs;
    return {static_cast<double>(peer.report.running),
            peer.report.queued + outstandingSent(peer, now), peer.report.limit, time};
}

std::optional<Endpoint>
PeerLoadTable::findLessLoadedPeer(const LoadEstimate &own, Instant now,
                                  const std::function<bool(const Endpoint &)> &eligible) const
{
    std::vector<const Peer *> peers;
    for (const auto &[endpoint, peer] : m_peers) {
        if (now - peer.lastHeard <= m_settings.reportAgeMax && !peer.report.draining
            && eligible(endpoint)) {
            peers.push_back(&peer);
        }
    }
    // The iteration order of a hash map differs between builds; the choice must not.
    std::sort(peers.begin(), peers.end(),
              [](const Peer *a, const Peer *b) { return a->report.sender < b->report.sender; });
    // Compare a few random peers: if each agent chose the best of all, all would choose
    // the same one.
    const Peer *best = nullptr;
    double bestMs = own.expectedMs() * m_settings.placementRatio;
    for (std::size_t i = 0; i < m_settings.sampledPeers && !peers.empty(); ++i) {
        const std::size_t at = randomBelow(m_random, peers.size());
        const double ms = estimateOf(*peers[at], own.serviceTimeMs, now).expectedMs();
        if (ms < bestMs) {
            best = peers[at];
            bestMs = ms;
        }
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(at));
    }
    return best == nullptr ? std::nullopt : std::optional(best->report.sender);
}

double PeerLoadTable::meanServiceTimeMs(Instant now) const
{
    double sum = 0;
    double count = 0;
    for (const auto &[endpoint, peer] : m_peers) {
        if (peer.report.serviceTimeMs != 0 && now - peer.lastHeard <= m_settings.reportAgeMax) {
            sum += peer.report.serviceTimeMs;
            count += 1;
        }
    }
    return count == 0 ? 1 : sum / count;
}

LoadEstimate PeerLoadTable::estimate(const Endpoint &peer, Instant now) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || now - found->second.lastHeard > m_settings.reportAgeMax) {
        LoadEstimate unknown;
        unknown.queued = found == m_peers.end() ? 0 : found->second.sentSinceReport;
        unknown.limit = found == m_peers.end() ? 1 : found->second.report.limit;
        unknown.serviceTimeMs = meanServiceTimeMs(now);
        return unknown;
    }
    // The mean of the others, a pass over all peers, is computed only for a peer that has not yet
    // measured its own service time.
    const bool hasServiceTime = found->second.report.serviceTimeMs != 0;
    return estimateOf(found->second, hasServiceTime ? 0 : meanServiceTimeMs(now), now);
}

Instant PeerLoadTable::lastReportAt(const Endpoint &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? Instant() : found->second.lastHeard;
}

Millis PeerLoadTable::reportAgeOf(const Endpoint &peer, Instant now) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? Millis() : now - found->second.lastHeard;
}

bool PeerLoadTable::isFresh(const Endpoint &peer, Instant now) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && now - found->second.lastHeard <= m_settings.reportAgeMax;
}

void PeerLoadTable::setWatched(const std::vector<Endpoint> &peers, Instant now)
{
    std::unordered_map<Endpoint, Watched> watched;
    for (const Endpoint &peer : peers) {
        const auto known = m_watched.find(peer);
        watched[peer] = known == m_watched.end() ? Watched {now, Instant()} : known->second;
    }
    m_watched = std::move(watched);
}

bool PeerLoadTable::isSilent(const Endpoint &peer, Instant now) const
{
    const auto found = m_watched.find(peer);
    return found != m_watched.end() && now - found->second.lastHeard > m_settings.silenceTimeout;
}

std::vector<Endpoint> PeerLoadTable::takeSilent(Instant now)
{
    std::vector<Endpoint> silent;
    for (auto &[endpoint, watched] : m_watched) {
        const bool due = watched.lastReturned == Instant()
            || now - watched.lastReturned > m_settings.silenceRepeat;
        if (due && now - watched.lastHeard > m_settings.silenceTimeout) {
            watched.lastReturned = now;
            silent.push_back(endpoint);
        }
    }
    std::sort(silent.begin(), silent.end());
    return silent;
}

std::optional<Incarnation> PeerLoadTable::incarnationOf(const Endpoint &peer) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return std::nullopt;
    }
    return found->second.report.incarnation;
}

bool PeerLoadTable::isDraining(const Endpoint &peer) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && found->second.report.draining;
}

} // namespace bergamotglade
