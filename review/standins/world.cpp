#include "world.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <random>

namespace review {

namespace {

constexpr std::size_t HeaderBytes = 32;
constexpr std::size_t PayloadBytesMax = 1200;
constexpr std::size_t PacketsInFlightMax = 16;
constexpr std::uint32_t ResetWindow = 76'800;
constexpr std::uint32_t SumKey = 0x5bd1e995;
constexpr Ms RetransmitMin = 200;
constexpr Ms RetransmitMax = 1600;
constexpr int HostRetransmissionsMax = 8;
constexpr Ms OpenTimeout = 1400;
constexpr Ms ProbeInterval = 500;
constexpr Ms ProbeTimeout = 450;
constexpr std::size_t PageItems = 500;

std::atomic<bool> interrupted {false};

std::mt19937_64 &random()
{
    static std::mt19937_64 engine(std::random_device {}());
    return engine;
}

void put16(std::string &bytes, std::size_t at, std::uint32_t value)
{
    bytes[at] = static_cast<char>(value >> 8U);
    bytes[at + 1] = static_cast<char>(value);
}

void put32(std::string &bytes, std::size_t at, std::uint32_t value)
{
    put16(bytes, at, value >> 16U);
    put16(bytes, at + 2, value);
}

std::uint32_t get16(const std::string &bytes, std::size_t at)
{
    return (static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[at])) << 8U)
        | static_cast<unsigned char>(bytes[at + 1]);
}

std::uint32_t get32(const std::string &bytes, std::size_t at)
{
    return (get16(bytes, at) << 16U) | get16(bytes, at + 2);
}

std::string base64(const std::string &text)
{
    static const char *Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = (group << 8U)
                | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k > text.size() ? '=' : Digits[(group >> (18 - 6 * k)) & 63U];
        }
    }
    return out;
}

std::string queryText(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string part = target.substr(at + 1, end - at - 1);
        if (part.rfind(name + "=", 0) == 0) {
            std::string value;
            for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    value += part[i];
                }
            }
            return value;
        }
        at = end;
    }
    return {};
}

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(address.ip);
    out.sin_port = htons(address.port);
    return out;
}

std::uint64_t hashOf(const Address &a, const Address &b)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const std::uint64_t part : {std::uint64_t {a.ip}, std::uint64_t {a.port},
                                     std::uint64_t {b.ip}, std::uint64_t {b.port}}) {
        hash = (hash ^ part) * 1099511628211ULL;
        hash ^= hash >> 29U;
    }
    return hash;
}

void setNonBlocking(int fd)
{
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL, 0) | O_NONBLOCK);
    fcntl(fd, F_SETFD, FD_CLOEXEC);
}

void onInterrupt(int)
{
    interrupted = true;
}

std::string prefixOfKey(const std::string &target)
{
    return queryText(target, "prefix");
}

} // namespace

Ms now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - start)
        .count();
}

bool isTroubleOn()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string Address::str() const
{
    const in_addr address {htonl(ip)};
    return std::string(inet_ntoa(address)) + ':' + std::to_string(port);
}

// Packets.

std::uint32_t Packet::keyedSum() const
{
    std::uint32_t sum = SumKey;
    const auto add = [&](std::uint32_t value) {
        sum = (sum ^ value) * 16777619U;
        sum ^= sum >> 15U;
    };
    add(static_cast<std::uint32_t>(data.size()));
    add(flags & static_cast<unsigned>(~Bounced));
    add(source.ip);
    add(source.port);
    add(target.ip);
    add(target.port);
    add(sequence);
    add(acknowledgement);
    for (const char c : data) {
        add(static_cast<unsigned char>(c));
    }
    return sum == 0 ? 1 : sum;
}

std::string Packet::encode() const
{
    std::string bytes(HeaderBytes, '\0');
    put32(bytes, 0, sum);
    put16(bytes, 4, static_cast<std::uint32_t>(data.size()));
    put32(bytes, 6, echo);
    bytes[10] = static_cast<char>(flags);
    bytes[11] = static_cast<char>(pad);
    put16(bytes, 12, target.port);
    put16(bytes, 14, source.port);
    put32(bytes, 16, source.ip);
    put32(bytes, 20, target.ip);
    put32(bytes, 24, sequence);
    put32(bytes, 28, acknowledgement);
    return bytes + data;
}

bool Packet::decode(const std::string &bytes, Packet &packet)
{
    if (bytes.size() < HeaderBytes || bytes.size() != HeaderBytes + get16(bytes, 4)) {
        return false;
    }
    packet.sum = get32(bytes, 0);
    packet.echo = get32(bytes, 6);
    packet.flags = static_cast<std::uint8_t>(bytes[10]);
    packet.pad = static_cast<std::uint8_t>(bytes[11]);
    packet.target.port = static_cast<std::uint16_t>(get16(bytes, 12));
    packet.source.port = static_cast<std::uint16_t>(get16(bytes, 14));
    packet.source.ip = get32(bytes, 16);
    packet.target.ip = get32(bytes, 20);
    packet.sequence = get32(bytes, 24);
    packet.acknowledgement = get32(bytes, 28);
    packet.data = bytes.substr(HeaderBytes);
    return true;
}

// The store.

Store::Store(World &world)
    : m_world(world)
{
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in address = socketAddress(m_world.m_storeAddress);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(m_listener, 256) != 0) {
        std::cerr << "store: " << std::strerror(errno) << '\n';
        std::exit(CouldNotRun);
    }
    setNonBlocking(m_listener);
}

void Store::put(const std::string &key, const std::string &value)
{
    const Event event {key, value, ++m_revision, false};
    m_log.push_back(event);
    m_items[key] = event;
    m_world.record("store: put " + key + " " + value);
    tick();
}

void Store::remove(const std::string &key)
{
    m_log.push_back({key, {}, ++m_revision, true});
    m_items.erase(key);
    m_world.record("store: delete " + key);
    tick();
}

void Store::setSilent(bool silent)
{
    m_silent = silent;
    m_world.record(silent ? "store: answers nothing from now on" : "store: answers again");
    for (const auto &connection : m_connections) {
        if (silent && connection->waiting) {
            connection->waiting = false;
            connection->unanswered = true;
        }
        if (!silent && connection->unanswered) {
            close(connection->fd);
            connection->fd = -1;
        }
    }
    std::erase_if(m_connections, [](const auto &c) { return c->fd < 0; });
}

void Store::acceptAll()
{
    for (int fd = accept(m_listener, nullptr, nullptr); fd >= 0;
         fd = accept(m_listener, nullptr, nullptr)) {
        setNonBlocking(fd);
        const int yes = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        m_connections.push_back(std::make_unique<Connection>());
        m_connections.back()->fd = fd;
    }
}

bool Store::readFrom(Connection &connection)
{
    char buffer[8192];
    for (;;) {
        const ssize_t size = recv(connection.fd, buffer, sizeof buffer, 0);
        if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR)) {
            return false;
        }
        if (size < 0) {
            break;
        }
        connection.input.append(buffer, static_cast<std::size_t>(size));
    }
    const std::size_t end = connection.input.find("\r\n\r\n");
    if (end != std::string::npos && !connection.waiting && connection.replyAt < 0) {
        const std::string line = connection.input.substr(0, connection.input.find("\r\n"));
        connection.input.erase(0, end + 4);
        const std::size_t space = line.find(' ');
        handle(connection, line.substr(space + 1, line.rfind(' ') - space - 1));
    }
    return true;
}

void Store::handle(Connection &connection, const std::string &target)
{
    if (m_silent) {
        connection.unanswered = true;
        return;
    }
    if (target.rfind("/-/kv-watch", 0) == 0) {
        connection.waiting = true;
        connection.after = std::stoull("0" + queryText(target, "after"));
        connection.deadline = now() + std::stoll("0" + queryText(target, "wait_ms"));
        answerWatch(connection, false);
        return;
    }
    if (target.rfind("/-/kv-range", 0) == 0) {
        const std::string prefix = prefixOfKey(target);
        const std::string after = queryText(target, "after");
        std::string items;
        std::size_t count = 0;
        bool more = false;
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) != 0 || key <= after) {
                continue;
            }
            if (count == PageItems) {
                more = true;
                break;
            }
            items += (count++ == 0 ? "" : ",") + std::string(R"({"key":")") + key + R"(","value":")"
                + base64(item.value) + R"(","revision":)" + std::to_string(item.revision)
                + R"(,"created_at":)" + std::to_string(item.revision) + R"(,"lease":0})";
        }
        reply(connection,
              R"({"items":[)" + items + R"(],"has_more":)" + (more ? "true" : "false")
                  + R"(,"as_of":)" + std::to_string(m_revision) + "}");
        return;
    }
    connection.reply = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    connection.replyAt = now();
}

bool Store::answerWatch(Connection &connection, bool timedOut)
{
    std::string events;
    for (const Event &event : m_log) {
        if (event.revision <= connection.after) {
            continue;
        }
        events += (events.empty() ? "" : ",") + std::string(R"({"key":")") + event.key
            + R"(","revision":)" + std::to_string(event.revision);
        events += event.deleted ? R"(,"deleted":true})"
                                : R"(,"value":")" + base64(event.value) + R"(","created_at":)"
                + std::to_string(event.revision) + R"(,"lease":0})";
    }
    if (events.empty() && !timedOut) {
        return false;
    }
    connection.waiting = false;
    reply(connection,
          R"({"events":[)" + events + R"(],"as_of":)" + std::to_string(m_revision) + "}");
    return true;
}

void Store::reply(Connection &connection, const std::string &body)
{
    connection.reply = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    connection.replyAt = now() + answerDelay;
}

void Store::tick()
{
    for (const auto &connection : m_connections) {
        if (connection->waiting && !m_silent) {
            answerWatch(*connection, now() >= connection->deadline);
        }
        if (connection->replyAt >= 0 && now() >= connection->replyAt) {
            const ssize_t sent = ::send(connection->fd, connection->reply.data(),
                                        connection->reply.size(), MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN) {
                close(connection->fd);
                connection->fd = -1;
                continue;
            }
            connection->reply.erase(0, static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
            if (connection->reply.empty()) {
                connection->replyAt = -1;
            }
        }
    }
    std::erase_if(m_connections, [](const auto &c) { return c->fd < 0; });
}

// Hosts.

Host::Host(World &world, Machine &hostMachine, std::string hostId)
    : id(std::move(hostId))
    , machine(hostMachine)
    , m_world(world)
    , m_startedAt(now())
{
    m_socket = m_world.bindUdp(machine.ip, m_world.m_appPort);
    m_born = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                            std::chrono::system_clock::now().time_since_epoch())
                                            .count());
}

void Host::registerEntry()
{
    m_world.store().put("servers/" + id,
                        R"({"service":")" + machine.service + R"(","address":")"
                            + Address {machine.ip, m_world.m_appPort}.str() + R"(","zone":")"
                            + machine.zone + R"(","version":"v1","slots":9,"state":")"
                            + (draining ? "draining" : "ready") + R"(","cold_remaining_ms":)"
                            + std::to_string(std::max<Ms>(0, coldUntil - now()))
                            + R"(,"sequence":1,"born":)" + std::to_string(m_born) + "}");
}

Address Host::address() const
{
    return {machine.ip, m_world.m_appPort};
}

void Host::crash()
{
    up = false;
    m_flows.clear();
    m_work.clear();
    m_world.record("host " + id + ": crashed");
}

void Host::restart(Ms coldFor)
{
    up = true;
    m_startedAt = now();
    coldUntil = now() + coldFor;
    m_born = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                            std::chrono::system_clock::now().time_since_epoch())
                                            .count());
    m_world.record("host " + id + ": started again, cold for " + std::to_string(coldFor) + " ms");
}

bool Host::holdsOpen(const Address &client, const Address &service) const
{
    const auto found = m_flows.find({client, service});
    return up && found != m_flows.end() && found->second.open;
}

void Host::send(Packet packet)
{
    if ((packet.flags & Bounced) == 0) {
        packet.sum = packet.keyedSum();
    }
    m_world.sendUdp(m_socket, {machine.ip, m_world.m_outboundPort}, packet.encode());
}

void Host::onPacket(const std::string &bytes)
{
    Packet packet;
    if (!up) {
        return;
    }
    if (!Packet::decode(bytes, packet) || packet.sum != packet.keyedSum()
        || (packet.flags & Bounced) != 0) {
        ++damagedPackets;
        m_world.record("host " + id + ": packet that its sender did not write so");
        return;
    }
    const Key key {packet.source, packet.target};
    const auto found = m_flows.find(key);
    if ((packet.flags & Syn) != 0 && (packet.flags & Ack) == 0) {
        if (openingsToLose > 0) {
            --openingsToLose;
            ++openingsLost;
            m_world.record("network: opening packet of " + packet.source.str() + " to host " + id
                           + " is lost");
            return;
        }
        Flow &flow = m_flows[key];
        if (found == m_flows.end()) {
            flow.initialSequence = static_cast<std::uint32_t>(random()());
            flow.sendNext = flow.initialSequence + 1;
            flow.receiveNext = packet.sequence + 1;
            openingsTaken.push_back(now());
        }
        Packet answer;
        answer.flags = Syn | Ack;
        answer.source = key.second;
        answer.target = key.first;
        answer.sequence = flow.initialSequence;
        answer.acknowledgement = flow.receiveNext;
        send(answer);
        return;
    }
    const bool isHeld = found != m_flows.end()
        && (found->second.open || packet.acknowledgement == found->second.initialSequence + 1);
    if (!isHeld) {
        ++foreignPackets;
        packet.flags |= Bounced;
        packet.pad = 0;
        send(packet);
        return;
    }
    Flow &flow = found->second;
    if (!flow.open) {
        flow.open = true;
        m_world.record("host " + id + ": flow of " + packet.source.str() + " is open");
    }
    if ((packet.flags & Rst) != 0) {
        m_flows.erase(found);
        return;
    }
    while (!flow.unacknowledged.empty()) {
        const Packet &first = flow.unacknowledged.front();
        const std::uint32_t end = first.sequence + static_cast<std::uint32_t>(first.data.size());
        if (static_cast<std::int32_t>(packet.acknowledgement - end) < 0) {
            break;
        }
        flow.unacknowledged.pop_front();
        flow.retransmissions = 0;
        flow.interval = RetransmitMin;
        flow.retransmitAt = now() + flow.interval;
    }
    if (!packet.data.empty()) {
        if (packet.sequence == flow.receiveNext) {
            flow.receiveNext += static_cast<std::uint32_t>(packet.data.size());
            // "REQUEST ID PACKETS"
            const std::size_t last = packet.data.rfind(' ');
            m_work.push_back({now() + workMs, key, packet.data.substr(0, last),
                              std::stoi(packet.data.substr(last + 1))});
            ++runs;
            m_world.record("host " + id + ": runs " + packet.data);
        } else {
            Packet answer;
            answer.flags = Ack;
            answer.source = key.second;
            answer.target = key.first;
            answer.sequence = flow.sendNext;
            answer.acknowledgement = flow.receiveNext;
            send(answer);
        }
    }
    sendData(key, flow);
}

void Host::sendData(const Key &key, Flow &flow)
{
    while (!flow.toSend.empty() && flow.unacknowledged.size() < PacketsInFlightMax) {
        Packet packet;
        packet.flags = Ack;
        packet.source = key.second;
        packet.target = key.first;
        packet.sequence = flow.sendNext;
        packet.acknowledgement = flow.receiveNext;
        packet.data = std::move(flow.toSend.front());
        flow.toSend.pop_front();
        flow.sendNext += static_cast<std::uint32_t>(packet.data.size());
        if (flow.unacknowledged.empty()) {
            flow.retransmissions = 0;
            flow.interval = RetransmitMin;
            flow.retransmitAt = now() + flow.interval;
        }
        flow.unacknowledged.push_back(packet);
        send(packet);
    }
}

void Host::tick()
{
    if (!up) {
        return;
    }
    for (auto work = m_work.begin(); work != m_work.end();) {
        if (now() < work->due) {
            ++work;
            continue;
        }
        const auto found = m_flows.find(work->flow);
        if (found != m_flows.end()) {
            for (int i = 0; i < work->packets; ++i) {
                std::string data = "ANSWER " + work->request + " " + std::to_string(i) + " ";
                if (work->packets > 1) {
                    data.resize(PayloadBytesMax, '.');
                }
                found->second.toSend.push_back(std::move(data));
            }
            sendData(found->first, found->second);
        }
        work = m_work.erase(work);
    }
    for (auto flow = m_flows.begin(); flow != m_flows.end();) {
        Flow &state = flow->second;
        if (!state.unacknowledged.empty() && now() >= state.retransmitAt) {
            if (++state.retransmissions > HostRetransmissionsMax) {
                m_world.record("host " + id + ": gave up flow of " + flow->first.first.str());
                flow = m_flows.erase(flow);
                continue;
            }
            state.interval = std::min(state.interval * 2, RetransmitMax);
            state.retransmitAt = now() + state.interval;
            send(state.unacknowledged.front());
        }
        ++flow;
    }
}

// Clients.

Client::Client(World &world, std::uint32_t ip, std::string zone)
    : m_world(world)
    , m_ip(ip)
    , m_zone(std::move(zone))
{
    m_socket = m_world.bindUdp(m_ip, m_world.m_packetsPort);
}

ClientFlow &Client::open(const std::string &name, const Address &service)
{
    flows.push_back(std::make_unique<ClientFlow>());
    ClientFlow &flow = *flows.back();
    flow.name = name;
    flow.client = {m_ip, m_nextPort++};
    flow.service = service;
    flow.initialSequence = static_cast<std::uint32_t>(random()());
    flow.sendNext = flow.initialSequence + 1;
    flow.firstSynAt = now();
    m_byPort[flow.client.port] = &flow;
    sendSyn(flow);
    return flow;
}

void Client::send(ClientFlow &flow, Packet packet)
{
    packet.source = flow.client;
    packet.target = flow.service;
    packet.sum = packet.keyedSum();
    flow.lastPacketAt = now();
    const Machine *balancer = m_world.route(m_zone, flow.client, flow.service);
    flow.lastSentBy = balancer == nullptr ? "none" : balancer->name;
    if (balancer != nullptr) {
        m_world.sendUdp(m_socket, {balancer->ip, m_world.m_packetsPort}, packet.encode());
    }
}

void Client::sendSyn(ClientFlow &flow)
{
    Packet packet;
    packet.flags = Syn;
    packet.sequence = flow.initialSequence;
    packet.acknowledgement = static_cast<std::uint32_t>(flow.copies++);
    send(flow, packet);
}

void Client::sendAck(ClientFlow &flow)
{
    Packet packet;
    packet.flags = Ack;
    packet.sequence = flow.sendNext;
    packet.acknowledgement = flow.receiveNext;
    flow.unacknowledgedPackets = 0;
    send(flow, packet);
}

void Client::request(ClientFlow &flow, int packets)
{
    flow.queuedRequests.push_back("REQUEST " + flow.name + "-" + std::to_string(++flow.requests)
                                  + " " + std::to_string(packets));
    if (flow.state == ClientFlow::State::Open && !flow.request) {
        startNext(flow);
    }
}

void Client::startNext(ClientFlow &flow)
{
    if (flow.queuedRequests.empty()) {
        return;
    }
    flow.idleBeforeReset = now() - flow.lastPacketAt;
    flow.request = std::make_unique<Packet>();
    flow.request->flags = Ack;
    flow.request->sequence = flow.sendNext;
    flow.request->data = flow.queuedRequests.front();
    flow.queuedRequests.pop_front();
    flow.packetsDue = std::stoi(flow.request->data.substr(flow.request->data.rfind(' ') + 1));
    flow.sendNext += static_cast<std::uint32_t>(flow.request->data.size());
    flow.isRequestAcknowledged = false;
    flow.requestAt = now();
    flow.interval = RetransmitMin;
    sendRequest(flow);
    m_world.record("client " + flow.client.str() + ": sends " + flow.request->data + " through "
                   + flow.lastSentBy);
}

void Client::sendRequest(ClientFlow &flow)
{
    flow.request->acknowledgement = flow.receiveNext;
    flow.retransmitAt = now() + flow.interval;
    flow.interval = std::min(flow.interval * 2, RetransmitMax);
    flow.unacknowledgedPackets = 0;
    send(flow, *flow.request);
}

void Client::onPacket(const std::string &bytes)
{
    Packet packet;
    if (!Packet::decode(bytes, packet)) {
        ++foreignPackets;
        return;
    }
    const auto found = m_byPort.find(packet.target.port);
    if (found == m_byPort.end() || found->second->service != packet.source
        || found->second->client != packet.target) {
        ++foreignPackets;
        m_world.record("client: packet that belongs to no flow");
        return;
    }
    ClientFlow &flow = *found->second;
    const bool isOpen = flow.state == ClientFlow::State::Open;
    if ((packet.flags & Rst) != 0) {
        if (flow.state == ClientFlow::State::Failed || flow.state == ClientFlow::State::Reset) {
            return;
        }
        const std::uint32_t distance = packet.sequence - flow.receiveNext;
        flow.resetInWindow = distance <= ResetWindow || 0U - distance <= ResetWindow;
        m_world.record("client " + flow.client.str() + ": reset of flow " + flow.name
                       + (isOpen ? ", which is open" : ", which is not open")
                       + (isOpen && !flow.resetInWindow ? ", sequence number out of range" : "")
                       + ", sum " + std::to_string(packet.sum));
        if (isOpen && !flow.resetInWindow) {
            return;
        }
        flow.resetAt = now();
        flow.state = isOpen ? ClientFlow::State::Reset : ClientFlow::State::Failed;
        if (onReset) {
            onReset(flow);
        }
        return;
    }
    if (packet.sum != packet.keyedSum()) {
        ++foreignPackets;
        m_world.record("client: packet that its sender did not write so");
        return;
    }
    if ((packet.flags & Syn) != 0) {
        if (flow.state == ClientFlow::State::Opening) {
            flow.state = ClientFlow::State::Open;
            flow.hostSequence = packet.sequence;
            flow.receiveNext = packet.sequence + 1;
            flow.openedAt = now();
            flow.lastPacketAt = now();
            if (flow.queuedRequests.empty()) {
                sendAck(flow);
            } else {
                startNext(flow);
            }
        } else if (isOpen && packet.sequence == flow.hostSequence) {
            sendAck(flow);
        }
        return;
    }
    if (!isOpen) {
        return;
    }
    flow.lastPacketAt = now();
    if (flow.request && packet.acknowledgement == flow.sendNext) {
        flow.isRequestAcknowledged = true;
    }
    if (packet.data.empty()) {
        return;
    }
    if (packet.sequence != flow.receiveNext) {
        sendAck(flow);
        return;
    }
    flow.receiveNext += static_cast<std::uint32_t>(packet.data.size());
    ++flow.unacknowledgedPackets;
    if (flow.request && --flow.packetsDue == 0) {
        ++flow.answers;
        m_world.record("client " + flow.client.str() + ": whole answer to "
                       + flow.request->data.substr(0, flow.request->data.rfind(' ')) + " after "
                       + std::to_string(now() - flow.requestAt) + " ms");
        flow.request.reset();
        if (flow.queuedRequests.empty()) {
            sendAck(flow);
        } else {
            startNext(flow);
        }
    } else if (flow.unacknowledgedPackets >= 2) {
        sendAck(flow);
    }
}

void Client::tick()
{
    for (const auto &owned : flows) {
        ClientFlow &flow = *owned;
        if (flow.state == ClientFlow::State::Opening) {
            const Ms age = now() - flow.firstSynAt;
            if (age >= OpenTimeout) {
                flow.state = ClientFlow::State::Failed;
                m_world.record("client " + flow.client.str() + ": flow " + flow.name
                               + " did not open");
            } else if ((flow.copies == 1 && age >= 200) || (flow.copies == 2 && age >= 600)) {
                sendSyn(flow);
            }
        } else if (flow.state == ClientFlow::State::Open && flow.request
                   && !flow.isRequestAcknowledged && now() >= flow.retransmitAt) {
            sendRequest(flow);
        }
    }
}

// The deployment.

World::World(std::string caseDirectory)
    : m_directory(std::move(caseDirectory))
{
    now();
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onInterrupt);
    std::signal(SIGINT, onInterrupt);
    m_record =
        open((m_directory + "/record.txt").c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    const char *base = std::getenv("TMPDIR");
    std::string pattern = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    if (m_record < 0 || mkdtemp(pattern.data()) == nullptr) {
        std::cerr << "cannot create files: " << std::strerror(errno) << '\n';
        std::exit(CouldNotRun);
    }
    m_temporary = pattern;
    // A random part of the loopback range and random ports, so that runs do not meet.
    m_base = 0x7f000000U | (static_cast<std::uint32_t>(10 + random()() % 200) << 16U)
        | (static_cast<std::uint32_t>(random()() % 200) << 8U);
    const auto first = static_cast<std::uint16_t>(12'000 + random()() % 18'000);
    m_listenPort = first;
    m_packetsPort = static_cast<std::uint16_t>(first + 1);
    m_readyPort = static_cast<std::uint16_t>(first + 2);
    m_outboundPort = static_cast<std::uint16_t>(first + 3);
    m_appPort = static_cast<std::uint16_t>(first + 4);
    m_controlPort = static_cast<std::uint16_t>(first + 5);
    m_storeAddress = {nextIp(), static_cast<std::uint16_t>(first + 6)};
    m_store = std::make_unique<Store>(*this);
    record(std::string("disruption: ") + (isTroubleOn() ? "on" : "off"));
}

World::~World()
{
    for (const auto &machine : machines) {
        if (machine->pid > 0) {
            kill(machine->pid, SIGKILL);
            waitpid(machine->pid, nullptr, 0);
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        for (const auto &machine : machines) {
            unlink((m_temporary + "/" + machine->name + ".yaml").c_str());
            unlink((m_temporary + "/" + machine->name + ".log").c_str());
        }
        rmdir(m_temporary.c_str());
    } else {
        std::cerr << "logs: " << m_temporary << '\n';
    }
    close(m_record);
}

std::uint32_t World::nextIp()
{
    return m_base | ++m_lastIp;
}

Address World::routeAddress(int number) const
{
    return {m_base | 0xf0U, static_cast<std::uint16_t>(8000 + number)};
}

Address World::unusedAddress(int number) const
{
    // Beyond the 256 addresses of this run.
    return {(m_base ^ 0x00008000U) + static_cast<std::uint32_t>(number), m_appPort};
}

void World::killAll()
{
    for (const auto &machine : machines) {
        stopDaemon(*machine, SIGKILL);
    }
    for (const auto &machine : machines) {
        waitpid(machine->pid, nullptr, 0);
        machine->pid = 0;
    }
}

int World::bindUdp(std::uint32_t ip, std::uint16_t port) const
{
    const int fd = socket(AF_INET, SOCK_DGRAM, 0);
    const int size = 4 << 20;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    const sockaddr_in address = socketAddress({ip, port});
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        std::cerr << "udp " << Address {ip, port}.str() << ": " << std::strerror(errno) << '\n';
        std::exit(CouldNotRun);
    }
    setNonBlocking(fd);
    return fd;
}

void World::sendUdp(int fd, const Address &to, const std::string &bytes) const
{
    const sockaddr_in address = socketAddress(to);
    sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address),
           sizeof address);
}

void World::record(const std::string &line)
{
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%9.3f ", static_cast<double>(now()) / 1000);
    const std::string text = stamp + line + '\n';
    if (write(m_record, text.data(), text.size()) < 0) {
        std::cerr << text;
    }
}

Machine &World::addBalancer(const std::string &name, const std::string &zone)
{
    machines.push_back(std::make_unique<Machine>());
    Machine &machine = *machines.back();
    machine.name = name;
    machine.zone = zone;
    machine.ip = nextIp();
    return machine;
}

Host &World::addHost(const std::string &name, const std::string &zone, const std::string &service)
{
    Machine &machine = addBalancer(name, zone);
    machine.service = service;
    hosts.push_back(std::make_unique<Host>(*this, machine, "i-" + name));
    return *hosts.back();
}

Client &World::addClient(const std::string &zone)
{
    clients.push_back(std::make_unique<Client>(*this, nextIp(), zone));
    return *clients.back();
}

void World::startDaemon(Machine &machine, bool firstStart)
{
    // The settings as deploy/settings.yaml.in gives them.
    const std::string settings = m_temporary + "/" + machine.name + ".yaml";
    std::ofstream file(settings);
    const auto at = [&](std::uint16_t port) {
        return Address {machine.ip, port}.str();
    };
    file << "vm: \"" << machine.name << "\"\nfailure_domain: \"" << machine.zone
         << "\"\nlisten: " << at(m_listenPort) << "\nplatform: " << m_storeAddress.str()
         << "\npeers: [";
    int seeds = 0;
    for (const auto &other : machines) {
        if (other->isBalancer() && seeds < 3) {
            file << (seeds++ == 0 ? "" : ",") << '"' << Address {other->ip, m_controlPort}.str()
                 << '"';
        }
    }
    file << "]\npeers_at_own_port: true\nstop_timeout: 5s\nsteering:\n  packets: "
         << at(m_packetsPort) << "\n  ready: " << at(m_readyPort) << "\n  flow_max: 60s\n";
    if (firstStart) {
        file << "  first_start: true\n";
    }
    if (!machine.isBalancer()) {
        file << "  from_upstream: " << at(m_outboundPort) << "\nupstream: \"" << machine.name
             << "\"\nservice: \"" << machine.service << "\"\nupstream_address: " << at(m_appPort)
             << '\n';
    }
    file.close();
    const std::string program =
        machine.isBalancer() ? "target/daemons/glade-balancer" : "target/daemons/glade-agent";
    const std::string argument = "--settings=" + settings;
    const std::string log = m_temporary + "/" + machine.name + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        std::signal(SIGPIPE, SIG_DFL);
        std::signal(SIGTERM, SIG_DFL);
        std::signal(SIGINT, SIG_DFL);
        setenv("BERGAMOTGLADE_BOOT", settings.c_str(), 1);
        execl(program.c_str(), program.c_str(), argument.c_str(), nullptr);
        _exit(127);
    }
    machine.pid = pid;
    machine.startedAt = now();
    record("daemon " + machine.name + ": started, process " + std::to_string(pid));
}

bool World::startAll()
{
    for (const auto &machine : machines) {
        startDaemon(*machine, true);
    }
    const bool ready = pumpUntil(
        [&] {
            return std::all_of(machines.begin(), machines.end(),
                               [](const auto &m) { return !m->isBalancer() || m->inRotation; });
        },
        15'000);
    record(ready ? "router: all balancers are in rotation" : "router: balancers are not ready");
    // Traffic starts ten seconds after the machines do.
    if (ready && now() < 10'000) {
        pump(10'000 - now());
    }
    return ready;
}

void World::stopDaemon(Machine &machine, int signal)
{
    record("daemon " + machine.name + ": signal " + std::to_string(signal));
    kill(machine.pid, signal);
}

void World::restartDaemon(Machine &machine)
{
    stopDaemon(machine, SIGTERM);
    const auto isEnded = [&] {
        if (waitpid(machine.pid, nullptr, WNOHANG) != machine.pid) {
            return false;
        }
        machine.pid = 0;
        return true;
    };
    if (!pumpUntil(isEnded, GraceMs)) {
        stopDaemon(machine, SIGKILL);
        pumpUntil(isEnded, 1000);
    }
    record("daemon " + machine.name + ": ended");
    pump(RestartDelayMs);
    startDaemon(machine, false);
}

void World::rollDaemons(const std::vector<Machine *> &rolled, Ms gap)
{
    for (Machine *machine : rolled) {
        const Ms begun = now();
        restartDaemon(*machine);
        pump(std::max<Ms>(0, begun + gap - now()));
        // The next one follows when this one serves again.
        if (machine->isBalancer()) {
            pumpUntil([&] { return machine->inRotation; }, 5000);
        }
    }
}

bool World::areDaemonsAlive()
{
    return std::all_of(machines.begin(), machines.end(), [&](const auto &machine) {
        const bool alive = machine->pid > 0 && waitpid(machine->pid, nullptr, WNOHANG) == 0;
        if (!alive) {
            record("daemon " + machine->name + ": ended by itself");
        }
        return alive;
    });
}

Machine *World::route(const std::string &zone, const Address &client, const Address &service)
{
    std::vector<Machine *> all;
    std::vector<Machine *> ready;
    std::vector<Machine *> elsewhere;
    for (const auto &machine : machines) {
        if (!machine->isBalancer()) {
            continue;
        }
        if (machine->zone != zone) {
            if (machine->inRotation) {
                elsewhere.push_back(machine.get());
            }
            continue;
        }
        all.push_back(machine.get());
        if (machine->inRotation) {
            ready.push_back(machine.get());
        }
    }
    std::vector<Machine *> &used = ready.empty() ? elsewhere
        : ready.size() * 2 < all.size()          ? all
                                                 : ready;
    return used.empty() ? nullptr : used[hashOf(client, service) % used.size()];
}

Host *World::holderOf(const ClientFlow &flow)
{
    for (const auto &host : hosts) {
        if (host->holdsOpen(flow.client, flow.service)) {
            return host.get();
        }
    }
    return nullptr;
}

void World::tickProbes()
{
    for (Probe &probe : m_probes) {
        char buffer[1024];
        if (!probe.sent) {
            pollfd ready {probe.fd, POLLOUT, 0};
            if (poll(&ready, 1, 0) == 1) {
                const std::string request = "GET /v1/ready HTTP/1.1\r\nHost: x\r\n"
                                            "Connection: close\r\n\r\n";
                probe.sent = ::send(probe.fd, request.data(), request.size(), MSG_NOSIGNAL) > 0;
            }
        } else {
            const ssize_t size = recv(probe.fd, buffer, sizeof buffer, 0);
            if (size > 0) {
                probe.input.append(buffer, static_cast<std::size_t>(size));
            }
        }
        const bool answered = probe.input.find("\r\n") != std::string::npos;
        if (!answered && now() < probe.deadline) {
            continue;
        }
        const bool isReady = answered && probe.input.find(" 200 ") < 20;
        Machine &machine = *probe.machine;
        machine.missedProbes = isReady ? 0 : machine.missedProbes + 1;
        const bool before = machine.inRotation;
        machine.inRotation = isReady || (before && machine.missedProbes < 2);
        if (before != machine.inRotation) {
            record("router: " + machine.name
                   + (before ? " is out of rotation" : " is in rotation"));
        }
        close(probe.fd);
        probe.fd = -1;
    }
    std::erase_if(m_probes, [](const Probe &p) { return p.fd < 0; });
    if (now() < m_nextProbes) {
        return;
    }
    m_nextProbes = now() + ProbeInterval;
    for (const auto &machine : machines) {
        if (!machine->isBalancer()) {
            continue;
        }
        Probe probe;
        probe.machine = machine.get();
        probe.fd = socket(AF_INET, SOCK_STREAM, 0);
        setNonBlocking(probe.fd);
        const sockaddr_in address = socketAddress({machine->ip, m_readyPort});
        connect(probe.fd, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        probe.deadline = now() + ProbeTimeout;
        m_probes.push_back(std::move(probe));
    }
}

void World::turn(Ms wait)
{
    if (interrupted) {
        record("interrupted");
        this->~World();
        std::_Exit(CouldNotRun);
    }
    std::vector<pollfd> fds;
    fds.push_back({m_store->m_listener, POLLIN, 0});
    for (const auto &connection : m_store->m_connections) {
        fds.push_back({connection->fd, POLLIN, 0});
    }
    const std::size_t firstHost = fds.size();
    for (const auto &host : hosts) {
        fds.push_back({host->m_socket, POLLIN, 0});
    }
    for (const auto &client : clients) {
        fds.push_back({client->m_socket, POLLIN, 0});
    }
    poll(fds.data(), fds.size(), static_cast<int>(std::clamp<Ms>(wait, 0, 2)));
    for (std::size_t i = 1; i < firstHost; ++i) {
        auto &connection = m_store->m_connections[i - 1];
        if (fds[i].revents != 0 && !m_store->readFrom(*connection)) {
            close(connection->fd);
            connection->fd = -1;
        }
    }
    std::erase_if(m_store->m_connections, [](const auto &c) { return c->fd < 0; });
    m_store->acceptAll();
    char buffer[2048];
    const auto readAll = [&](int fd, auto &&handle) {
        for (;;) {
            const ssize_t size = recv(fd, buffer, sizeof buffer, 0);
            if (size < 0) {
                return;
            }
            handle(std::string(buffer, static_cast<std::size_t>(size)));
        }
    };
    for (const auto &host : hosts) {
        readAll(host->m_socket, [&](const std::string &bytes) { host->onPacket(bytes); });
        host->tick();
    }
    for (const auto &client : clients) {
        readAll(client->m_socket, [&](const std::string &bytes) { client->onPacket(bytes); });
        client->tick();
    }
    m_store->tick();
    tickProbes();
    if (onTurn) {
        onTurn();
    }
}

void World::pump(Ms duration)
{
    pumpUntil([] { return false; }, duration);
}

bool World::pumpUntil(const std::function<bool()> &done, Ms limit)
{
    const Ms end = now() + limit;
    while (now() < end) {
        if (done()) {
            return true;
        }
        turn(end - now());
    }
    return done();
}

} // namespace review
