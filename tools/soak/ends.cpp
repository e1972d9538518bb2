#include "ends.hpp"

#include <packet_codec.hpp>

#include <store_values.hpp>

namespace bergamotglade::soak {

namespace {

constexpr Millis WorkTime {20};
constexpr Millis RetransmitAfter {200};
constexpr Millis SecondCopyAfter {600};
constexpr Millis OpenTimeout {1400};
/// A caller opens a new flow after this: an upstream that leaves is gone after some seconds.
constexpr Millis IdleTime {3000};
constexpr Millis Deadline {3000};
constexpr std::uint32_t SlotsShown = 8;
/// Requests that one connection carries at most.
constexpr std::uint32_t RequestsPerFlow = 20;

const PacketCodec &codec()
{
    static const PacketCodec Instance = platform::packetCodec();
    return Instance;
}

/// Service and connection that a request names; its number follows.
std::string requestPrefix(const FlowKey &flow)
{
    constexpr std::uint16_t KitsPort = 443;
    const std::string service = flow.service.port == KitsPort ? "kits" : "docs";
    return service + " " + std::to_string(flow.caller.port) + " ";
}

} // namespace

SoakUpstream::SoakUpstream(boost::asio::io_context &io, const Machine &machine, std::string service,
                           const Ports &ports, Breach breach)
    : m_io(io)
    , m_local {machine.address(), ports.upstream}
    , m_agent {machine.address(), ports.fromUpstream}
    , m_service(std::move(service))
    , m_domain(machine.domain())
    , m_breach(std::move(breach))
{
    restart();
}

Result<void> SoakUpstream::open()
{
    auto socket =
        UdpSocket::open(m_io, m_local, [this](const Endpoint &from, std::string_view bytes) {
            onPacket(from, bytes);
        });
    if (!socket) {
        return socket.error();
    }
    m_socket = std::move(socket.value());
    return boost::outcome_v2::success();
}

void SoakUpstream::restart()
{
    ++m_life;
    m_id = "i-" + std::to_string(m_local.address) + "-" + std::to_string(m_life);
    m_startSequence = static_cast<std::uint32_t>(hashBytes(m_id));
    m_flows.clear();
    m_answered.clear();
    m_open.clear();
    m_work.clear();
    draining = false;
    m_refuseFrom.reset();
}

std::string SoakUpstream::entry() const
{
    return standins::hostValue({m_service, m_local, m_domain, SlotsShown, draining, m_life});
}

void SoakUpstream::send(const PacketBytes &bytes)
{
    m_socket->send(m_agent, bytes);
}

void SoakUpstream::onPacket(const Endpoint & /*from*/, std::string_view bytes)
{
    if (dead) {
        return;
    }
    const auto read = codec().fromCaller(bytes);
    if (!read) {
        m_breach("an upstream got a packet that nobody wrote");
        return;
    }
    const Segment &segment = read.value();
    const bool known = m_flows.contains(segment.flow);
    if (segment.opens) {
        if (!known && m_refuseFrom && Clock::now() - segment.openedAgo > *m_refuseFrom) {
            m_breach("a new flow reached " + m_id + " after it was taken out");
        }
        m_flows.insert(segment.flow);
        opened += known ? 0 : 1;
        send(standins::makePacket(segment.flow, false, standins::Syn | standins::Ack,
                                  m_startSequence, segment.sequence + 1));
        return;
    }
    if (!known) {
        send(standins::returned(PacketBytes(bytes)));
        return;
    }
    if (segment.acknowledgement != m_startSequence + 1) {
        // The caller has taken another upstream's answer to its opening packet.
        send(standins::returned(PacketBytes(bytes)));
        return;
    }
    m_open.insert(segment.flow);
    if (segment.dataBytes == 0) {
        return;
    }
    const std::string request(standins::dataOf(bytes));
    if (!request.starts_with(m_service + " ")) {
        m_breach("a request for another service reached " + m_id + ": " + request);
        return;
    }
    std::string &last = m_answered[segment.flow];
    if (last != request) {
        last = request;
        m_work.push_back({Clock::now() + WorkTime, segment.flow, "answer to " + request});
    }
}

void SoakUpstream::onTick(Instant now)
{
    while (!m_work.empty() && m_work.front().at <= now) {
        const Work work = m_work.front();
        m_work.pop_front();
        if (!dead && m_flows.contains(work.flow)) {
            // An upstream that leaves closes each flow with its next answer.
            const auto flags =
                static_cast<std::uint8_t>(standins::Ack | (draining ? standins::Fin : 0));
            send(
                standins::makePacket(work.flow, false, flags, m_startSequence + 1, 2, work.answer));
        }
    }
}

SoakCaller::SoakCaller(boost::asio::io_context &io, const Endpoint &local, Rotation rotation,
                       IsHeld isHeld, Random random, Breach breach)
    : m_io(io)
    , m_local(local)
    , m_rotation(std::move(rotation))
    , m_isHeld(std::move(isHeld))
    , m_random(std::move(random))
    , m_breach(std::move(breach))
{ }

Result<void> SoakCaller::open()
{
    auto socket =
        UdpSocket::open(m_io, m_local, [this](const Endpoint & /*from*/, std::string_view bytes) {
            onPacket(bytes);
        });
    if (!socket) {
        return socket.error();
    }
    m_socket = std::move(socket.value());
    return boost::outcome_v2::success();
}

void SoakCaller::request(const Endpoint &service, Instant now)
{
    ++m_counts.asked;
    Flow *flow = nullptr;
    for (auto &[port, candidate] : m_flows) {
        const bool fits = candidate.open && !candidate.closed && !candidate.waits
            && candidate.requests < RequestsPerFlow && candidate.key.service == service
            && now - candidate.startedAt < IdleTime;
        if (fits && below(m_random, 2) == 0) {
            flow = &candidate;
            break;
        }
    }
    if (flow == nullptr) {
        const std::uint16_t port = m_nextPort++;
        flow = &m_flows[port];
        *flow = Flow {};
        flow->key = {{m_local.address, port}, service};
    }
    flow->startedAt = now;
    flow->copies = 0;
    flow->waits = true;
    ++flow->requests;
    transmit(*flow, now);
}

void SoakCaller::transmit(Flow &flow, Instant now)
{
    const auto balancers = m_rotation();
    flow.sentAt = now;
    if (balancers.empty()) {
        return;
    }
    // The fabric hashes over the rotation: nearly all flows move when it changes.
    const Endpoint &balancer = balancers[flow.key.hash() % balancers.size()];
    if (!flow.open) {
        m_socket->send(balancer,
                       standins::makePacket(flow.key, true, standins::Syn, 1, flow.copies));
        return;
    }
    m_socket->send(balancer,
                   standins::makePacket(flow.key, true, standins::Ack, 2, flow.upstreamSequence + 1,
                                        requestPrefix(flow.key) + std::to_string(flow.requests)));
}

void SoakCaller::onPacket(std::string_view bytes)
{
    const auto read = codec().fromUpstream(bytes);
    const auto found = read ? m_flows.find(read.value().flow.caller.port) : m_flows.end();
    if (found == m_flows.end() || found->second.key != read.value().flow) {
        return;
    }
    Flow &flow = found->second;
    const Segment &segment = read.value();
    if (segment.resets) {
        ++m_counts.resets;
        if (flow.open && m_isHeld(flow.key)) {
            m_breach("a flow was reset while its upstream holds it: " + flow.key.caller.str());
        }
        finish(flow, false);
        m_flows.erase(found);
    } else if (segment.opens) {
        if (!flow.open) {
            flow.open = true;
            flow.upstreamSequence = segment.sequence;
            transmit(flow, Clock::now());
        }
    } else if (segment.dataBytes > 0 && flow.waits) {
        const std::string answer(standins::dataOf(bytes));
        const std::string prefix = "answer to " + requestPrefix(flow.key);
        if (answer == prefix + std::to_string(flow.requests)) {
            finish(flow, true);
            flow.closed = segment.finishes;
        } else if (!answer.starts_with(prefix)) {
            m_breach("an answer belongs to another request: " + answer);
        }
    }
}

void SoakCaller::finish(Flow &flow, bool answered)
{
    if (flow.waits) {
        flow.waits = false;
        ++(answered ? m_counts.answered : m_counts.failed);
    }
}

void SoakCaller::onTick(Instant now)
{
    for (auto at = m_flows.begin(); at != m_flows.end();) {
        Flow &flow = at->second;
        const Millis age = now - flow.startedAt;
        if (!flow.waits) {
            ++at;
            continue;
        }
        if (age > (flow.open ? Deadline : OpenTimeout)) {
            finish(flow, false);
            at = m_flows.erase(at);
            continue;
        }
        const Millis next =
            flow.open || flow.copies == 0 ? RetransmitAfter : SecondCopyAfter - RetransmitAfter;
        if (now - flow.sentAt >= next && (flow.open || flow.copies < 2)) {
            ++flow.copies;
            transmit(flow, now);
        }
        ++at;
    }
}

} // namespace bergamotglade::soak
