#include "ends.hpp"

#include <packet_codec.hpp>

#include <store_values.hpp>

namespace bergamotglade::soak {

namespace {

constexpr Millis ServiceTime {20};
// An opening packet is retransmitted after these delays, counted from its first copy; a request on
// an open flow each time the first delay has passed.
constexpr Millis FirstRetransmitDelay {200};
constexpr Millis SecondRetransmitDelay {600};
constexpr Millis OpenTimeout {1400}; ///< from the first copy of the opening packet
/// Time after its last request within which an open flow is reused. A draining upstream does not
/// close idle flows and is removed after 6 s, so a flow that was idle for more than 6 s may be
/// lost.
constexpr Millis ReuseTime {3000};
constexpr Millis AnswerTimeout {3000};
constexpr std::uint32_t AnnouncedSlots = 8;
constexpr std::uint32_t RequestsPerFlowMax = 20;

const PacketCodec &codec()
{
    static const PacketCodec Instance = platform::packetCodec();
    return Instance;
}

/// Start of the text of a request: service and caller port. The number of the request follows.
std::string requestPrefix(const FlowKey &flow)
{
    constexpr std::uint16_t KitsPort = 443;
    const std::string service = flow.service.port == KitsPort ? "kits" : "docs";
    return service + " " + std::to_string(flow.caller.port) + " ";
}

} // namespace

SoakUpstream::SoakUpstream(boost::asio::io_context &io, const Machine &machine, std::string service,
                           const Ports &ports, ViolationHandler reportViolation)
    : m_io(io)
    , m_local {machine.address(), ports.upstream}
    , m_agent {machine.address(), ports.fromUpstream}
    , m_service(std::move(service))
    , m_domain(machine.domain())
    , m_reportViolation(std::move(reportViolation))
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
    ++m_incarnation;
    m_id = "i-" + std::to_string(m_local.address) + "-" + std::to_string(m_incarnation);
    m_initialSequence = static_cast<std::uint32_t>(hashBytes(m_id));
    m_flows.clear();
    m_lastRequests.clear();
    m_lastAnswers.clear();
    m_open.clear();
    m_pendingAnswers.clear();
    draining = false;
    m_noNewFlowsSince.reset();
}

std::string SoakUpstream::storeEntry() const
{
    return standins::hostValue(
        {m_service, m_local, m_domain, AnnouncedSlots, draining, m_incarnation});
}

void SoakUpstream::send(const PacketBytes &bytes)
{
    m_socket->send(m_agent, bytes);
}

void SoakUpstream::onPacket(const Endpoint & /*from*/, std::string_view bytes)
{
    if (down) {
        return;
    }
    const auto read = codec().fromCaller(bytes);
    if (!read) {
        m_reportViolation("upstream received a packet that cannot be decoded");
        return;
    }
    const Segment &segment = read.value();
    const bool known = m_flows.contains(segment.flow);
    if (segment.opens) {
        if (!known && m_noNewFlowsSince && Clock::now() - segment.openingAge > *m_noNewFlowsSince) {
            m_reportViolation("new flow reached upstream " + m_id
                              + " after it was taken out of rotation");
        }
        m_flows.insert(segment.flow);
        openedFlows += known ? 0 : 1;
        send(standins::makePacket(segment.flow, false, standins::Syn | standins::Ack,
                                  m_initialSequence, segment.sequence + 1));
        return;
    }
    if (!known) {
        send(standins::markReturned(PacketBytes(bytes)));
        return;
    }
    if (segment.acknowledgement != m_initialSequence + 1) {
        // The caller completed the handshake that another upstream answered.
        send(standins::markReturned(PacketBytes(bytes)));
        return;
    }
    m_open.insert(segment.flow);
    if (segment.dataBytes == 0) {
        return;
    }
    const std::string request(standins::dataOf(bytes));
    if (!request.starts_with(m_service + " ")) {
        m_reportViolation("request for another service reached upstream " + m_id + ": " + request);
        return;
    }
    std::string &lastRequest = m_lastRequests[segment.flow];
    if (lastRequest != request) {
        lastRequest = request;
        m_lastAnswers.erase(segment.flow);
        m_pendingAnswers.push_back({Clock::now() + ServiceTime, segment.flow,
                                    "answer to " + request, segment.sequence + segment.dataBytes});
    } else if (const auto answer = m_lastAnswers.find(segment.flow);
               answer != m_lastAnswers.end()) {
        // The answer was lost. An upstream sends it again until it is acknowledged.
        send(answer->second);
    }
}

void SoakUpstream::onTick(Instant now)
{
    while (!m_pendingAnswers.empty() && m_pendingAnswers.front().due <= now) {
        const PendingAnswer pending = m_pendingAnswers.front();
        m_pendingAnswers.pop_front();
        if (!down && m_flows.contains(pending.flow)) {
            // A draining upstream closes each flow with the next answer on it.
            const auto flags =
                static_cast<std::uint8_t>(standins::Ack | (draining ? standins::Fin : 0));
            PacketBytes &answer = m_lastAnswers[pending.flow];
            answer = standins::makePacket(pending.flow, false, flags, m_initialSequence + 1,
                                          pending.acknowledgement, pending.answer);
            send(answer);
        }
    }
    updateHealthServer();
}

void SoakUpstream::updateHealthServer()
{
    if (down) {
        m_healthServer.reset();
    } else if (!m_healthServer) {
        auto server = HttpServer::listen(
            m_io, m_local,
            [](const HttpRequest &, const HttpResponder &respond,
               const std::function<bool()> & /*isDisconnected*/) { respond(HttpReply {}); });
        if (!server) {
            m_reportViolation("upstream cannot listen: " + describe(server.error()));
            return;
        }
        m_healthServer = std::move(server.value());
    }
}

SoakCaller::SoakCaller(boost::asio::io_context &io, const Endpoint &local,
                       BalancersInRotation balancersInRotation, IsHeld isHeld, Random random,
                       ViolationHandler reportViolation)
    : m_io(io)
    , m_local(local)
    , m_balancersInRotation(std::move(balancersInRotation))
    , m_isHeld(std::move(isHeld))
    , m_random(std::move(random))
    , m_reportViolation(std::move(reportViolation))
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
    ++m_counts.requested;
    Flow *flow = nullptr;
    for (auto &[port, candidate] : m_flows) {
        const bool reusable = candidate.open && !candidate.closed && !candidate.awaitsAnswer
            && candidate.requests < RequestsPerFlowMax && candidate.key.service == service
            && now - candidate.requestedAt < ReuseTime;
        if (reusable && randomBelow(m_random, 2) == 0) {
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
    flow->requestedAt = now;
    flow->retransmissions = 0;
    flow->awaitsAnswer = true;
    ++flow->requests;
    flow->sequence = flow->nextSequence;
    transmit(*flow, now);
}

void SoakCaller::transmit(Flow &flow, Instant now)
{
    const auto balancers = m_balancersInRotation();
    flow.sentAt = now;
    if (balancers.empty()) {
        return;
    }
    // The fabric selects the balancer by the hash modulo the size of the rotation, so nearly all
    // flows move to another balancer when the rotation changes.
    const Endpoint &balancer = balancers[flow.key.hash() % balancers.size()];
    if (!flow.open) {
        // The acknowledgement field of an opening packet counts the copies sent before it.
        m_socket->send(
            balancer, standins::makePacket(flow.key, true, standins::Syn, 1, flow.retransmissions));
        return;
    }
    const std::string request = requestPrefix(flow.key) + std::to_string(flow.requests);
    m_socket->send(balancer,
                   standins::makePacket(flow.key, true, standins::Ack, flow.sequence,
                                        flow.upstreamSequence + 1, request));
    flow.nextSequence = flow.sequence + static_cast<std::uint32_t>(request.size());
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
            m_reportViolation("flow was reset although its upstream holds it: "
                              + flow.key.caller.str());
        }
        finish(flow, false);
        m_flows.erase(found);
    } else if (segment.opens) {
        if (!flow.open) {
            flow.open = true;
            flow.upstreamSequence = segment.sequence;
            transmit(flow, Clock::now());
        }
    } else if (segment.dataBytes > 0 && flow.awaitsAnswer) {
        const std::string answer(standins::dataOf(bytes));
        const std::string prefix = "answer to " + requestPrefix(flow.key);
        if (answer == prefix + std::to_string(flow.requests)) {
            finish(flow, true);
            flow.closed = segment.finishes;
        } else if (!answer.starts_with(prefix)) {
            m_reportViolation("caller received an answer that belongs to another flow: " + answer);
        }
    }
}

void SoakCaller::finish(Flow &flow, bool answered)
{
    if (flow.awaitsAnswer) {
        flow.awaitsAnswer = false;
        ++(answered ? m_counts.answered : m_counts.failed);
    }
}

void SoakCaller::onTick(Instant now)
{
    for (auto entry = m_flows.begin(); entry != m_flows.end();) {
        Flow &flow = entry->second;
        const Millis age = now - flow.requestedAt;
        if (!flow.awaitsAnswer) {
            ++entry;
            continue;
        }
        if (age > (flow.open ? AnswerTimeout : OpenTimeout)) {
            finish(flow, false);
            entry = m_flows.erase(entry);
            continue;
        }
        const Millis delay = flow.open || flow.retransmissions == 0
            ? FirstRetransmitDelay
            : SecondRetransmitDelay - FirstRetransmitDelay;
        if (now - flow.sentAt >= delay && (flow.open || flow.retransmissions < 2)) {
            ++flow.retransmissions;
            transmit(flow, now);
        }
        ++entry;
    }
}

} // namespace bergamotglade::soak
