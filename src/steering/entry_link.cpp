#include <bergamotglade/detail/steering/entry_link.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

constexpr double BytesPerMsAndMbps = 125;
/// The link of a VM carries both directions together, and a balancer sends what it has received.
constexpr double PassesPerPacket = 2;
constexpr std::size_t UdpAndIpHeaderBytes = 28;
/// Window of a flow in transfer: 16 packets of 1,200 bytes, with the headers of the packet format
/// (32 bytes), UDP and IP.
constexpr double WindowBytes = 16.0 * 1260;
/// Weight of the flows before in the share of a route: about the last 32 flows count.
constexpr double ShareDecay = 31.0 / 32;
constexpr std::size_t SentPacketsMax = 4096;
constexpr std::size_t RoutesMax = 4096;
constexpr std::size_t TransfersMax = 4096;

std::uint32_t lowMillis(Instant at)
{
    return static_cast<std::uint32_t>(at.time_since_epoch().count());
}

} // namespace

EntryLink::EntryLink(EntryLinkSettings settings)
    : m_settings(settings)
{ }

void EntryLink::setRate(double mbps, Instant now)
{
    m_backlogBytes = backlogBytes(now);
    m_countedAt = now;
    m_settings.mbps = mbps;
    if (!isEnabled()) {
        m_backlogBytes = 0;
        m_transfers.clear();
        m_routes.clear();
        m_sent.clear();
    }
}

double EntryLink::bytesPerMs() const noexcept
{
    return m_settings.mbps * BytesPerMsAndMbps * m_settings.usableShare / PassesPerPacket;
}

double EntryLink::backlogBytes(Instant now) const
{
    const auto elapsedMs = static_cast<double>((now - m_countedAt).count());
    return std::max(0.0, m_backlogBytes - elapsedMs * bytesPerMs());
}

double EntryLink::delayMs(Instant now) const
{
    return isEnabled() ? backlogBytes(now) / bytesPerMs() : 0;
}

void EntryLink::onSent(std::size_t bytes, Instant now)
{
    m_backlogBytes = backlogBytes(now) + static_cast<double>(bytes + UdpAndIpHeaderBytes);
    m_countedAt = now;
}

bool EntryLink::isRepeat(const Segment &segment, Instant now)
{
    if (m_sent.empty()) {
        m_sent.resize(SentPacketsMax);
    }
    const std::uint64_t packet =
        (static_cast<std::uint64_t>(segment.sequence) << 32U) | segment.dataBytes;
    const std::uint64_t hash = hashPair(segment.flow.hash(), packet);
    SentPacket &sent = m_sent[hash % SentPacketsMax];
    if (sent.hash == hash && now - sent.at < m_settings.repeatAgeMax
        && delayMs(now) > static_cast<double>(m_settings.repeatDelayMin.count())) {
        return true;
    }
    sent = {hash, now};
    return false;
}

EntryLink::RouteShare &EntryLink::shareOf(const Endpoint &route)
{
    if (m_routes.size() >= RoutesMax && !m_routes.contains(route)) {
        // Routes that are no longer configured stay in the table. All are learned again from their
        // next flows.
        m_routes.clear();
    }
    return m_routes[route];
}

void EntryLink::onData(const FlowKey &key, LinkFlow &flow, Instant now)
{
    if (flow.count == 0) {
        RouteShare &share = shareOf(key.service);
        share.flows = share.flows * ShareDecay + 1;
        share.transfers *= ShareDecay;
        share.known = std::min(share.known + 1, m_settings.bulkFlowsMin);
    }
    const std::uint32_t nowMs = lowMillis(now);
    const bool hasAll = flow.count == LinkFlow::RecentPackets;
    const std::uint32_t ageMs = nowMs - flow.sentAtMs[flow.next];
    flow.sentAtMs[flow.next] = nowMs;
    flow.next = static_cast<std::uint8_t>((flow.next + 1) % LinkFlow::RecentPackets);
    if (!hasAll) {
        ++flow.count;
        return;
    }
    if (ageMs >= static_cast<std::uint64_t>(m_settings.transferWindow.count())) {
        return;
    }
    if (!flow.wasTransfer) {
        flow.wasTransfer = true;
        ++shareOf(key.service).transfers;
    }
    // Without further packets the flow is in transfer until the oldest of its last nine packets
    // leaves the window.
    if (m_transfers.size() < TransfersMax || m_transfers.contains(key)) {
        m_transfers[key] = now - Millis(ageMs) + m_settings.transferWindow;
    }
}

LinkDecision EntryLink::decideOpening(const Endpoint &route, std::size_t waiting, Instant now) const
{
    if (!isEnabled() || !isBulk(route)) {
        return LinkDecision::Pass;
    }
    if (waiting == 0 && hasRoom(now)) {
        return LinkDecision::Pass;
    }
    return waiting < m_settings.waitingMax ? LinkDecision::Hold : LinkDecision::Refuse;
}

bool EntryLink::hasRoom(Instant now) const
{
    return !isEnabled()
        || (m_transfers.size() < transfersMax()
            && delayMs(now) <= static_cast<double>(m_settings.bulkDelayMax.count()));
}

void EntryLink::onBulkStarted(const FlowKey &key, Instant now)
{
    m_transfers.try_emplace(key, now + m_settings.transferWindow);
}

void EntryLink::onRequestEnd(const FlowKey &key, Instant now)
{
    const auto found = m_transfers.find(key);
    if (found != m_transfers.end()) {
        const Instant carriedAt = now + Millis(static_cast<std::int64_t>(delayMs(now)));
        found->second = std::min(found->second, carriedAt);
    }
}

void EntryLink::onTick(Instant now)
{
    std::erase_if(m_transfers, [now](const auto &entry) { return entry.second <= now; });
}

bool EntryLink::isBulk(const Endpoint &route) const
{
    const auto found = m_routes.find(route);
    return found != m_routes.end() && found->second.known >= m_settings.bulkFlowsMin
        && found->second.transfers > m_settings.bulkShareMin * found->second.flows;
}

std::size_t EntryLink::transfersMax() const noexcept
{
    const double fitting =
        static_cast<double>(m_settings.transferDelayMax.count()) * bytesPerMs() / WindowBytes;
    // One transfer is always possible, or the bulk flows of a very small link would never start.
    return std::max<std::size_t>(1, static_cast<std::size_t>(fitting));
}

} // namespace bergamotglade
