#include <bergamotglade/detail/steering/request_progress.hpp>

#include <algorithm>

namespace bergamotglade {

namespace {

/// A packet this far behind is no retransmission but belongs to other sequence numbers: a caller
/// has at most WindowPackets in flight.
constexpr std::int32_t BehindMax = 1'048'576;

/// Distance from `from` to `to`, which may wrap around.
std::int32_t distance(std::uint32_t from, std::uint32_t to)
{
    return static_cast<std::int32_t>(to - from);
}

} // namespace

RequestStage RequestProgress::stage() const noexcept
{
    switch (m_state) {
    case State::Arriving:
        return RequestStage::Arriving;
    case State::Running:
    case State::AssumedRunning:
        return RequestStage::Running;
    case State::Idle:
    case State::Discarding:
        break;
    }
    return RequestStage::None;
}

void RequestProgress::onCallerPacket(const Segment &segment, std::uint32_t dataBytesMax,
                                     Instant now)
{
    // A last packet without data can only complete a request that has begun.
    const bool inRequest = m_state == State::Arriving || m_state == State::Discarding;
    if (segment.dataBytes == 0 && !(segment.finishes && inRequest)) {
        return;
    }
    const Part part {segment.sequence, segment.sequence + segment.dataBytes,
                     segment.finishes || segment.dataBytes < dataBytesMax};
    const auto windowBytes = static_cast<std::int32_t>(WindowPackets * dataBytesMax);
    const std::int32_t ahead = m_isNextKnown ? distance(m_next, part.begin) : 0;
    if (!m_isNextKnown || ahead >= windowBytes || ahead < -BehindMax) {
        // Packets before this one were delivered through another process, or before this agent
        // started: the caller has at most one window in flight.
        m_stored.reset();
        m_next = part.begin;
        m_isNextKnown = true;
    } else if (distance(m_next, part.end) < 0 || (part.end == m_next && segment.dataBytes > 0)) {
        return; // a retransmission
    }
    const bool wasPacketMissing = isPacketMissing();
    if (distance(m_next, part.begin) > 0) {
        store(part);
    } else {
        advance(part.end, part.endsRequest);
    }
    onNewData(wasPacketMissing, now);
}

void RequestProgress::start(std::uint32_t sequence)
{
    if (!m_isNextKnown) {
        m_next = sequence;
        m_isNextKnown = true;
    }
}

void RequestProgress::onAcknowledged(std::uint32_t sequence, std::uint32_t dataBytesMax,
                                     Instant now)
{
    const std::int32_t ahead = m_isNextKnown ? distance(m_next, sequence) : 0;
    if (ahead <= 0 || ahead > static_cast<std::int32_t>(WindowPackets * dataBytesMax)) {
        return;
    }
    // Packets reached the upstream without being seen as caller packets here.
    const bool wasPacketMissing = isPacketMissing();
    advance(sequence, false);
    if (m_state == State::Arriving || m_state == State::Discarding) {
        onNewData(wasPacketMissing, now);
    }
}

void RequestProgress::store(const Part &part)
{
    if (m_stored == nullptr) {
        m_stored = std::make_unique<std::vector<Part>>();
    }
    const auto at = std::lower_bound(
        m_stored->begin(), m_stored->end(), part,
        [](const Part &a, const Part &b) { return distance(a.begin, b.begin) > 0; });
    if (at != m_stored->end() && at->begin == part.begin) {
        return;
    }
    m_stored->insert(at, part);
    if (m_stored->size() > WindowPackets) {
        // More packets than a window holds: the missing ones were delivered another way.
        m_next = m_stored->front().begin;
        appendStored();
    }
}

void RequestProgress::advance(std::uint32_t end, bool endsRequest)
{
    m_next = end;
    m_endsRequest = endsRequest;
    appendStored();
}

void RequestProgress::appendStored()
{
    if (m_stored == nullptr) {
        return;
    }
    auto at = m_stored->begin();
    for (; at != m_stored->end() && distance(m_next, at->begin) <= 0; ++at) {
        if (distance(m_next, at->end) >= 0) {
            m_next = at->end;
            m_endsRequest = at->endsRequest;
        }
    }
    m_stored->erase(m_stored->begin(), at);
    if (m_stored->empty()) {
        m_stored.reset();
    }
}

void RequestProgress::onNewData(bool wasPacketMissing, Instant now)
{
    if (m_state == State::Running) {
        return; // the caller sends its next request early
    }
    const bool complete = !isPacketMissing() && m_endsRequest;
    if (m_state == State::Discarding && (wasPacketMissing || now - m_lastDataAt < QuietTimeout)) {
        m_lastDataAt = now;
        m_state = complete ? State::Idle : State::Discarding;
        return;
    }
    m_lastDataAt = now;
    m_state = complete ? State::Running : State::Arriving;
}

std::optional<Millis> RequestProgress::onAnswer(Instant now)
{
    const State former = m_state;
    if (former == State::Idle || former == State::Discarding) {
        return std::nullopt;
    }
    m_state = former == State::Arriving ? State::Discarding : State::Idle;
    // A request that ends with a full packet may be answered before QuietTimeout has passed.
    return isPacketMissing() && former == State::Arriving ? std::nullopt
                                                          : std::optional(now - m_lastDataAt);
}

void RequestProgress::checkQuiet(Instant now)
{
    if (m_state == State::Arriving && !isPacketMissing() && now - m_lastDataAt >= QuietTimeout) {
        m_state = State::AssumedRunning;
    }
}

void RequestProgress::clear()
{
    m_stored.reset();
    m_isNextKnown = false;
    m_endsRequest = false;
    m_state = State::Idle;
}

} // namespace bergamotglade
