#include <bergamotglade/detail/net/datagram_codec.hpp>

#include <msgpack.hpp>

namespace bergamotglade {

namespace {

/// Message kind, the first byte of a datagram or of the body of a hand-over request.
enum class MessageKind : std::uint8_t {
    CallerFrame = 1,
    DataPacket,
    LoadReport,
    Notice,
    Handover,
    FlowLocated,
    BalancerHeartbeat,
    FlowQuery,
    FlowAnswer,
    FlowLocations,
    OwnersQuery,
    OwnersList,
    ConfirmationQuery,
    ConfirmationAnswer
};

constexpr std::size_t ListItemsMax = 4096;
constexpr std::size_t NestingDepthMax = 8;

/// Encodes a message as one kind byte and one MessagePack array of its fields.
class FieldWriter
{
public:
    FieldWriter(MessageKind kind, std::uint32_t fields)
        : m_packer(m_buffer)
    {
        const char kindByte = static_cast<char>(kind);
        m_buffer.write(&kindByte, 1);
        m_packer.pack_array(fields);
    }

    FieldWriter &number(std::uint64_t value)
    {
        m_packer.pack_uint64(value);
        return *this;
    }
    FieldWriter &real(double value)
    {
        m_packer.pack_double(value);
        return *this;
    }
    FieldWriter &flag(bool value)
    {
        value ? m_packer.pack_true() : m_packer.pack_false();
        return *this;
    }
    FieldWriter &bytes(std::string_view value)
    {
        m_packer.pack_bin(static_cast<std::uint32_t>(value.size()));
        m_packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
        return *this;
    }
    FieldWriter &endpoint(const Endpoint &value) { return number(value.packed()); }
    FieldWriter &millis(Millis value) { return number(static_cast<std::uint64_t>(value.count())); }
    /// Starts a list of `size` items, or a record of `size` fields, which the next calls write.
    FieldWriter &list(std::size_t size)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(size));
        return *this;
    }

    [[nodiscard]] std::string result() const { return {m_buffer.data(), m_buffer.size()}; }

private:
    msgpack::sbuffer m_buffer;
    msgpack::packer<msgpack::sbuffer> m_packer;
};

/// The era of a revision is the last field of a message. Era 0 is left out, so that messages of a
/// platform without eras stay readable for processes that know none.
std::uint32_t eraFields(Revision revision)
{
    return revision.era() == 0 ? 0 : 1;
}

void writeEra(FieldWriter &out, Revision revision)
{
    if (revision.era() != 0) {
        out.number(revision.era());
    }
}

/// Reads the fields of one MessagePack array in order. After the first field that is missing, of
/// the wrong type or out of range, all reads return empty values and isComplete() is false.
class FieldReader
{
public:
    explicit FieldReader(const msgpack::object &object)
    {
        m_ok = object.type == msgpack::type::ARRAY && object.via.array.size <= ListItemsMax;
        if (m_ok) {
            m_array = object.via.array;
        }
    }

    std::uint64_t number()
    {
        const msgpack::object *field = next(msgpack::type::POSITIVE_INTEGER);
        return field == nullptr ? 0 : field->via.u64;
    }
    double real()
    {
        // msgpack packs a double with an integral value as an integer.
        if (m_ok && m_next < m_array.size
            && m_array.ptr[m_next].type == msgpack::type::POSITIVE_INTEGER) {
            return static_cast<double>(number());
        }
        const msgpack::object *field = next(msgpack::type::FLOAT64);
        return field == nullptr ? 0 : field->via.f64;
    }
    /// Reads a number that may be missing at the end of a message; then it is 0.
    std::uint64_t trailingNumber() { return m_ok && m_next < m_array.size ? number() : 0; }
    bool flag()
    {
        const msgpack::object *field = next(msgpack::type::BOOLEAN);
        return field != nullptr && field->via.boolean;
    }
    std::string bytes()
    {
        const msgpack::object *field = next(msgpack::type::BIN);
        return field == nullptr ? std::string()
                                : std::string(field->via.bin.ptr, field->via.bin.size);
    }
    Endpoint endpoint()
    {
        constexpr unsigned PortBits = 16;
        constexpr unsigned PackedBits = 48;
        const std::uint64_t packed = number();
        m_ok = m_ok && (packed >> PackedBits) == 0;
        return {static_cast<std::uint32_t>(packed >> PortBits),
                static_cast<std::uint16_t>(packed & 0xffffU)};
    }
    Millis millis()
    {
        constexpr std::uint64_t MillisMax = 1ULL << 53U;
        const std::uint64_t count = number();
        m_ok = m_ok && count <= MillisMax;
        return Millis(static_cast<std::int64_t>(count));
    }
    /// Calls `readItem` with the reader of an array until all its items are read; each call reads
    /// one item.
    template <typename ReadItem>
    void list(ReadItem readItem)
    {
        const msgpack::object *field = next(msgpack::type::ARRAY);
        if (field == nullptr) {
            return;
        }
        FieldReader items(*field);
        while (items.m_ok && items.m_next < items.m_array.size) {
            readItem(items);
        }
        m_ok = m_ok && items.m_ok;
    }
    /// Calls `readItem` once for an array that holds the fields of one record.
    template <typename ReadItem>
    void record(ReadItem readItem)
    {
        const msgpack::object *field = next(msgpack::type::ARRAY);
        if (field == nullptr) {
            return;
        }
        FieldReader fields(*field);
        readItem(fields);
        m_ok = m_ok && fields.isComplete();
    }

    /// Whether all fields were present with the expected types and no field is left.
    [[nodiscard]] bool isComplete() const { return m_ok && m_next == m_array.size; }

private:
    const msgpack::object *next(msgpack::type::object_type type)
    {
        m_ok = m_ok && m_next < m_array.size && m_array.ptr[m_next].type == type;
        return m_ok ? &m_array.ptr[m_next++] : nullptr;
    }

    msgpack::object_array m_array {};
    std::uint32_t m_next = 0;
    bool m_ok = false;
};

void writeFlow(FieldWriter &out, const FlowKey &flow)
{
    out.endpoint(flow.caller).endpoint(flow.service);
}

FlowKey readFlow(FieldReader &in)
{
    FlowKey flow;
    flow.caller = in.endpoint();
    flow.service = in.endpoint();
    return flow;
}

CallerFrame readCallerFrame(FieldReader &in)
{
    CallerFrame frame;
    frame.service = in.endpoint();
    frame.payload = in.bytes();
    return frame;
}

DataPacket readDataPacket(FieldReader &in)
{
    DataPacket packet;
    packet.version = Revision(in.number());
    packet.flow = readFlow(in);
    packet.service = ServiceName(in.bytes());
    in.list([&](FieldReader &items) { packet.candidates.push(items.endpoint()); });
    in.list([&](FieldReader &items) { packet.visited.push_back(items.endpoint()); });
    packet.committed = in.flag();
    packet.lent = in.flag();
    packet.placed = in.flag();
    packet.payload = in.bytes();
    packet.version = Revision(packet.version.value(), in.trailingNumber());
    return packet;
}

LoadReport readLoadReport(FieldReader &in)
{
    LoadReport report;
    report.sender = in.endpoint();
    report.incarnation = Incarnation(in.number());
    report.service = ServiceName(in.bytes());
    report.domain = FailureDomainId(in.bytes());
    report.upstream = in.endpoint();
    report.running = static_cast<std::uint32_t>(in.number());
    report.queued = static_cast<std::uint32_t>(in.number());
    report.limit = in.real();
    report.serviceTimeMs = static_cast<std::uint32_t>(in.number());
    report.draining = in.flag();
    report.failingUpstream = in.flag();
    return report;
}

Notice readNotice(FieldReader &in)
{
    Notice notice;
    notice.sender = in.endpoint();
    notice.incarnation = Incarnation(in.number());
    notice.revision = Revision(in.number());
    notice.platformAge = in.millis();
    notice.confirmed = in.flag();
    notice.wantsReply = in.flag();
    notice.serving = in.flag();
    notice.probe = in.number();
    notice.echo = in.number();
    in.list([&](FieldReader &items) {
        items.record([&](FieldReader &item) {
            Rumor rumor;
            rumor.subject = item.endpoint();
            rumor.counter = item.number();
            rumor.suspect = item.flag();
            rumor.leaving = item.flag();
            notice.rumors.push_back(rumor);
        });
    });
    in.list([&](FieldReader &items) { notice.introductions.push_back(items.endpoint()); });
    notice.revision = Revision(notice.revision.value(), in.trailingNumber());
    return notice;
}

FlowLocated readFlowLocated(FieldReader &in)
{
    FlowLocated located;
    located.flow = readFlow(in);
    located.agent = in.endpoint();
    return located;
}

FlowQuery readFlowQuery(FieldReader &in)
{
    FlowQuery query;
    query.sender = in.endpoint();
    query.packet = in.bytes();
    return query;
}

FlowAnswer readFlowAnswer(FieldReader &in)
{
    FlowAnswer answer;
    answer.flow = readFlow(in);
    answer.agent = in.endpoint();
    answer.owned = in.flag();
    answer.ownersDigest = in.number();
    return answer;
}

OwnersQuery readOwnersQuery(FieldReader &in)
{
    OwnersQuery query;
    query.sender = in.endpoint();
    query.route = in.endpoint();
    return query;
}

ConfirmationQuery readConfirmationQuery(FieldReader &in)
{
    ConfirmationQuery query;
    query.sender = in.endpoint();
    query.number = in.number();
    return query;
}

ConfirmationAnswer readConfirmationAnswer(FieldReader &in)
{
    ConfirmationAnswer answer;
    answer.sender = in.endpoint();
    answer.number = in.number();
    const std::uint64_t revision = in.number();
    answer.revision = Revision(revision, in.trailingNumber());
    return answer;
}

OwnersList readOwnersList(FieldReader &in)
{
    OwnersList list;
    list.route = in.endpoint();
    list.digest = in.number();
    list.total = in.number();
    in.list([&](FieldReader &items) { list.agents.push_back(items.endpoint()); });
    return list;
}

FlowLocations readFlowLocations(FieldReader &in)
{
    FlowLocations locations;
    locations.owner = in.endpoint();
    in.list([&](FieldReader &items) { locations.flows.push_back(readFlow(items)); });
    return locations;
}

BalancerHeartbeat readBalancerHeartbeat(FieldReader &in)
{
    BalancerHeartbeat heartbeat;
    heartbeat.sender = in.endpoint();
    heartbeat.domain = FailureDomainId(in.bytes());
    heartbeat.able = in.flag();
    heartbeat.inRotation = in.flag();
    heartbeat.neighbours = static_cast<std::uint32_t>(in.number());
    heartbeat.neighboursInRotation = static_cast<std::uint32_t>(in.number());
    in.list([&](FieldReader &items) {
        items.record([&](FieldReader &item) {
            const Endpoint balancer = item.endpoint();
            heartbeat.knownBalancers.emplace_back(balancer, FailureDomainId(item.bytes()));
        });
    });
    return heartbeat;
}

HandoverEntry readEntry(FieldReader &in)
{
    HandoverEntry entry;
    entry.sequence = RequestSequence(in.number());
    entry.state = static_cast<LedgerState>(in.number());
    entry.remaining = in.millis();
    entry.hasAnswer = in.flag();
    entry.answer.status = static_cast<std::uint16_t>(in.number());
    entry.answer.contentType = in.bytes();
    entry.answer.body = in.bytes();
    return entry;
}

HandoverFlow readHandoverFlow(FieldReader &in)
{
    HandoverFlow flow;
    flow.nonce = FlowNonce(in.number());
    flow.key = readFlow(in);
    flow.watermark = RequestSequence(in.number());
    in.list([&](FieldReader &items) {
        items.record([&](FieldReader &item) { flow.entries.push_back(readEntry(item)); });
    });
    return flow;
}

HandoverMessage readHandover(FieldReader &in)
{
    HandoverMessage message;
    message.sender = in.endpoint();
    message.id = in.number();
    message.successor = Incarnation(in.number());
    message.commit = in.flag();
    in.list([&](FieldReader &items) {
        items.record([&](FieldReader &item) { message.flows.push_back(readHandoverFlow(item)); });
    });
    in.list([&](FieldReader &items) { message.committed.emplace_back(items.number()); });
    return message;
}

Error badDatagram(const std::string &reason, std::size_t position)
{
    return {ErrorCode::BadDatagram, reason, position};
}

/// Unpacks the bytes after the kind byte and decodes their single array with `read`.
template <typename T, typename Read>
Result<T> decodeBody(std::string_view bytes, Read read)
{
    const std::string_view body = bytes.substr(1);
    try {
        std::size_t offset = 0;
        // Without these limits a declared length larger than the input would reserve that much
        // memory.
        const msgpack::unpack_limit limit(ListItemsMax, 0, body.size(), body.size(), 0,
                                          NestingDepthMax);
        const auto referToInput = [](msgpack::type::object_type, std::size_t, void *) {
            return true;
        };
        const msgpack::object_handle handle =
            msgpack::unpack(body.data(), body.size(), offset, referToInput, nullptr, limit);
        FieldReader reader(handle.get());
        T value = read(reader);
        if (!reader.isComplete() || offset != body.size()) {
            return badDatagram("fields missing, surplus, out of range or of the wrong type",
                               offset);
        }
        return value;
    } catch (const std::exception &error) {
        return badDatagram(error.what(), bytes.size());
    }
}

template <typename Read>
Result<Datagram> decodeAsDatagram(std::string_view bytes, Read read)
{
    return decodeBody<Datagram>(bytes, [&](FieldReader &in) { return Datagram(read(in)); });
}

} // namespace

std::string encode(const CallerFrame &frame)
{
    constexpr std::uint32_t Fields = 2;
    FieldWriter out(MessageKind::CallerFrame, Fields);
    out.endpoint(frame.service).bytes(frame.payload);
    return out.result();
}

std::string encode(const DataPacket &packet)
{
    constexpr std::uint32_t Fields = 10;
    FieldWriter out(MessageKind::DataPacket, Fields + eraFields(packet.version));
    out.number(packet.version.value());
    writeFlow(out, packet.flow);
    out.bytes(packet.service.str());
    out.list(packet.candidates.size());
    for (const Endpoint &agent : packet.candidates) {
        out.endpoint(agent);
    }
    out.list(packet.visited.size());
    for (const Endpoint &agent : packet.visited) {
        out.endpoint(agent);
    }
    out.flag(packet.committed).flag(packet.lent).flag(packet.placed).bytes(packet.payload);
    writeEra(out, packet.version);
    return out.result();
}

std::string encode(const LoadReport &report)
{
    constexpr std::uint32_t Fields = 11;
    FieldWriter out(MessageKind::LoadReport, Fields);
    out.endpoint(report.sender).number(report.incarnation.value()).bytes(report.service.str());
    out.bytes(report.domain.str()).endpoint(report.upstream);
    out.number(report.running).number(report.queued).real(report.limit);
    out.number(report.serviceTimeMs).flag(report.draining).flag(report.failingUpstream);
    return out.result();
}

std::string encode(const Notice &notice)
{
    constexpr std::uint32_t Fields = 11;
    constexpr std::size_t RumorFields = 4;
    FieldWriter out(MessageKind::Notice, Fields + eraFields(notice.revision));
    out.endpoint(notice.sender).number(notice.incarnation.value());
    out.number(notice.revision.value()).millis(notice.platformAge);
    out.flag(notice.confirmed).flag(notice.wantsReply).flag(notice.serving);
    out.number(notice.probe).number(notice.echo);
    out.list(notice.rumors.size());
    for (const Rumor &rumor : notice.rumors) {
        out.list(RumorFields).endpoint(rumor.subject).number(rumor.counter).flag(rumor.suspect);
        out.flag(rumor.leaving);
    }
    out.list(notice.introductions.size());
    for (const Endpoint &peer : notice.introductions) {
        out.endpoint(peer);
    }
    writeEra(out, notice.revision);
    return out.result();
}

std::string encode(const FlowLocated &located)
{
    constexpr std::uint32_t Fields = 3;
    FieldWriter out(MessageKind::FlowLocated, Fields);
    writeFlow(out, located.flow);
    out.endpoint(located.agent);
    return out.result();
}

std::string encode(const FlowQuery &query)
{
    constexpr std::uint32_t Fields = 2;
    FieldWriter out(MessageKind::FlowQuery, Fields);
    out.endpoint(query.sender).bytes(query.packet);
    return out.result();
}

std::string encode(const FlowAnswer &answer)
{
    constexpr std::uint32_t Fields = 5;
    FieldWriter out(MessageKind::FlowAnswer, Fields);
    writeFlow(out, answer.flow);
    out.endpoint(answer.agent).flag(answer.owned).number(answer.ownersDigest);
    return out.result();
}

std::string encode(const OwnersQuery &query)
{
    constexpr std::uint32_t Fields = 2;
    FieldWriter out(MessageKind::OwnersQuery, Fields);
    out.endpoint(query.sender).endpoint(query.route);
    return out.result();
}

std::string encode(const ConfirmationQuery &query)
{
    constexpr std::uint32_t Fields = 2;
    FieldWriter out(MessageKind::ConfirmationQuery, Fields);
    out.endpoint(query.sender).number(query.number);
    return out.result();
}

std::string encode(const ConfirmationAnswer &answer)
{
    constexpr std::uint32_t Fields = 3;
    FieldWriter out(MessageKind::ConfirmationAnswer, Fields + eraFields(answer.revision));
    out.endpoint(answer.sender).number(answer.number).number(answer.revision.value());
    writeEra(out, answer.revision);
    return out.result();
}

std::string encode(const OwnersList &list)
{
    constexpr std::uint32_t Fields = 4;
    FieldWriter out(MessageKind::OwnersList, Fields);
    out.endpoint(list.route).number(list.digest).number(list.total).list(list.agents.size());
    for (const Endpoint &agent : list.agents) {
        out.endpoint(agent);
    }
    return out.result();
}

std::string encode(const FlowLocations &locations)
{
    constexpr std::uint32_t Fields = 2;
    constexpr std::size_t ItemsPerFlow = 2;
    FieldWriter out(MessageKind::FlowLocations, Fields);
    out.endpoint(locations.owner).list(locations.flows.size() * ItemsPerFlow);
    for (const FlowKey &flow : locations.flows) {
        writeFlow(out, flow);
    }
    return out.result();
}

std::string encode(const BalancerHeartbeat &heartbeat)
{
    constexpr std::uint32_t Fields = 7;
    constexpr std::size_t KnownBalancerFields = 2;
    FieldWriter out(MessageKind::BalancerHeartbeat, Fields);
    out.endpoint(heartbeat.sender).bytes(heartbeat.domain.str());
    out.flag(heartbeat.able).flag(heartbeat.inRotation);
    out.number(heartbeat.neighbours).number(heartbeat.neighboursInRotation);
    out.list(heartbeat.knownBalancers.size());
    for (const auto &[balancer, domain] : heartbeat.knownBalancers) {
        out.list(KnownBalancerFields).endpoint(balancer).bytes(domain.str());
    }
    return out.result();
}

Result<Datagram> decodeDatagram(std::string_view bytes)
{
    if (bytes.empty()) {
        return badDatagram("empty datagram", 0);
    }
    switch (static_cast<MessageKind>(bytes.front())) {
    case MessageKind::CallerFrame:
        return decodeAsDatagram(bytes, readCallerFrame);
    case MessageKind::DataPacket:
        return decodeAsDatagram(bytes, readDataPacket);
    case MessageKind::LoadReport:
        return decodeAsDatagram(bytes, readLoadReport);
    case MessageKind::Notice:
        return decodeAsDatagram(bytes, readNotice);
    case MessageKind::FlowLocated:
        return decodeAsDatagram(bytes, readFlowLocated);
    case MessageKind::BalancerHeartbeat:
        return decodeAsDatagram(bytes, readBalancerHeartbeat);
    case MessageKind::FlowQuery:
        return decodeAsDatagram(bytes, readFlowQuery);
    case MessageKind::FlowAnswer:
        return decodeAsDatagram(bytes, readFlowAnswer);
    case MessageKind::FlowLocations:
        return decodeAsDatagram(bytes, readFlowLocations);
    case MessageKind::OwnersQuery:
        return decodeAsDatagram(bytes, readOwnersQuery);
    case MessageKind::OwnersList:
        return decodeAsDatagram(bytes, readOwnersList);
    case MessageKind::ConfirmationQuery:
        return decodeAsDatagram(bytes, readConfirmationQuery);
    case MessageKind::ConfirmationAnswer:
        return decodeAsDatagram(bytes, readConfirmationAnswer);
    case MessageKind::Handover:
        break;
    }
    return badDatagram("unknown message kind", 0);
}

std::string encode(const HandoverMessage &message)
{
    constexpr std::uint32_t Fields = 6;
    constexpr std::size_t FlowFields = 5;
    constexpr std::size_t EntryFields = 7;
    FieldWriter out(MessageKind::Handover, Fields);
    out.endpoint(message.sender).number(message.id).number(message.successor.value());
    out.flag(message.commit);
    out.list(message.flows.size());
    for (const HandoverFlow &flow : message.flows) {
        out.list(FlowFields).number(flow.nonce.value());
        writeFlow(out, flow.key);
        out.number(flow.watermark.value());
        out.list(flow.entries.size());
        for (const HandoverEntry &entry : flow.entries) {
            out.list(EntryFields).number(entry.sequence.value());
            out.number(static_cast<std::uint64_t>(entry.state)).millis(entry.remaining);
            out.flag(entry.hasAnswer).number(entry.answer.status);
            out.bytes(entry.answer.contentType).bytes(entry.answer.body);
        }
    }
    out.list(message.committed.size());
    for (const FlowNonce nonce : message.committed) {
        out.number(nonce.value());
    }
    return out.result();
}

Result<HandoverMessage> decodeHandover(std::string_view bytes)
{
    if (bytes.empty() || static_cast<MessageKind>(bytes.front()) != MessageKind::Handover) {
        return badDatagram("not a handover message", 0);
    }
    auto message = decodeBody<HandoverMessage>(bytes, readHandover);
    if (!message) {
        return message;
    }
    for (const HandoverFlow &flow : message.value().flows) {
        for (const HandoverEntry &entry : flow.entries) {
            if (entry.state > LedgerState::Lent) {
                return badDatagram("unknown ledger state in a handover message", 0);
            }
        }
    }
    return message;
}

} // namespace bergamotglade
