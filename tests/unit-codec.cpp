#include "property.hpp"

#include <bergamotglade/detail/net/datagram_codec.hpp>
#include <bergamotglade/detail/net/deflate.hpp>
#include <bergamotglade/detail/net/http.hpp>
#include <bergamotglade/detail/net/http_codec.hpp>
#include <bergamotglade/detail/net/json_codec.hpp>

using namespace bergamotglade;
using bergamotglade::tests::check;

namespace {

Endpoint anyEndpoint()
{
    return {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()};
}

std::uint64_t anyNumber()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

std::string anyBytes()
{
    return *rc::gen::arbitrary<std::string>();
}

} // namespace

TEST(DatagramCodec, LoadReportSurvives)
{
    check("a load report survives, also with a whole limit", [] {
        LoadReport report;
        report.sender = anyEndpoint();
        report.incarnation = Incarnation(anyNumber());
        report.service = ServiceName(anyBytes());
        report.running = *rc::gen::arbitrary<std::uint32_t>();
        report.limit = *rc::gen::element(0.0, 1.0, 2.0, 2.5, 512.0, 1e-9);
        report.draining = *rc::gen::arbitrary<bool>();
        const auto read = decodeDatagram(encode(report));
        RC_ASSERT(bool(read));
        const auto &back = std::get<LoadReport>(read.value());
        RC_ASSERT(back.sender == report.sender);
        RC_ASSERT(back.service == report.service);
        RC_ASSERT(back.running == report.running);
        RC_ASSERT(back.limit == report.limit);
        RC_ASSERT(back.draining == report.draining);
    });
}

TEST(DatagramCodec, DataPacketSurvives)
{
    check("a data packet survives", [] {
        DataPacket packet;
        packet.version = Revision(anyNumber());
        packet.flow = {anyEndpoint(), anyEndpoint()};
        packet.service = ServiceName(anyBytes());
        const auto candidates = *rc::gen::inRange<std::size_t>(0, CandidatesMax + 1);
        for (std::size_t i = 0; i < candidates; ++i) {
            packet.candidates.push(anyEndpoint());
        }
        packet.visited.assign(*rc::gen::inRange<std::size_t>(0, HopsMax), anyEndpoint());
        packet.committed = *rc::gen::arbitrary<bool>();
        packet.lent = *rc::gen::arbitrary<bool>();
        packet.payload = anyBytes();
        const auto read = decodeDatagram(encode(packet));
        RC_ASSERT(bool(read));
        const auto &back = std::get<DataPacket>(read.value());
        RC_ASSERT(back.version == packet.version);
        RC_ASSERT(back.flow == packet.flow);
        RC_ASSERT(back.service == packet.service);
        RC_ASSERT(std::equal(back.candidates.begin(), back.candidates.end(),
                             packet.candidates.begin(), packet.candidates.end()));
        RC_ASSERT(back.visited == packet.visited);
        RC_ASSERT(back.committed == packet.committed);
        RC_ASSERT(back.lent == packet.lent);
        RC_ASSERT(back.payload == packet.payload);
    });
}

TEST(DatagramCodec, NoticeSurvives)
{
    check("a notice survives", [] {
        Notice notice;
        notice.sender = anyEndpoint();
        notice.revision = Revision(anyNumber());
        notice.platformAge = Millis(*rc::gen::inRange(0, 1'000'000'000));
        notice.wantsReply = *rc::gen::arbitrary<bool>();
        notice.rumors.assign(*rc::gen::inRange<std::size_t>(0, 7),
                             {anyEndpoint(), anyNumber(), true});
        const auto read = decodeDatagram(encode(notice));
        RC_ASSERT(bool(read));
        const auto &back = std::get<Notice>(read.value());
        RC_ASSERT(back.revision == notice.revision);
        RC_ASSERT(back.platformAge == notice.platformAge);
        RC_ASSERT(back.rumors == notice.rumors);
    });
}

TEST(DatagramCodec, HandoverSurvives)
{
    HandoverMessage message;
    message.sender = {1, 2};
    message.id = 7;
    message.successor = Incarnation(9);
    HandoverEntry entry {RequestSequence(4), LedgerState::Answered, Millis(50), {}, true};
    entry.answer = {201, "text/plain", std::string("a\0b", 3)};
    message.flows.push_back({FlowNonce(5), {{1, 2}, {3, 4}}, RequestSequence(3), {entry}});
    message.committed.push_back(FlowNonce(6));
    const auto read = decodeHandover(encode(message));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().successor, message.successor);
    ASSERT_EQ(read.value().flows.size(), 1U);
    const HandoverFlow &flow = read.value().flows[0];
    EXPECT_EQ(flow.nonce, FlowNonce(5));
    EXPECT_EQ(flow.mark, RequestSequence(3));
    ASSERT_EQ(flow.entries.size(), 1U);
    EXPECT_EQ(flow.entries[0].answer.body, entry.answer.body);
    EXPECT_EQ(flow.entries[0].answer.status, 201);
    EXPECT_EQ(read.value().committed, message.committed);
}

TEST(DatagramCodec, AnyBytesAreAnErrorOrAMessage)
{
    check("garbage never crashes the readers", [] {
        const std::string bytes = anyBytes();
        static_cast<void>(decodeDatagram(bytes));
        static_cast<void>(decodeHandover(bytes));
        static_cast<void>(decodeRequest(bytes));
        static_cast<void>(decodeResponse(bytes));
        static_cast<void>(batchFromJson(bytes));
        static_cast<void>(vmsFromJson(bytes));
    });
}

TEST(DatagramCodec, DamagedPacketsAreAnErrorOrAMessage)
{
    check("a packet with changed bytes never crashes the reader", [] {
        DataPacket packet;
        packet.service = ServiceName("catalogue");
        packet.candidates.push({1, 2});
        packet.payload = "GET / HTTP/1.1\r\n\r\n";
        std::string bytes = encode(packet);
        const auto changes = *rc::gen::inRange(1, 4);
        for (int i = 0; i < changes; ++i) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        static_cast<void>(decodeDatagram(bytes));
    });
}

TEST(HttpCodec, RequestSurvives)
{
    check("a request survives", [] {
        Request request;
        request.caller = CallerId("c" + std::to_string(anyNumber()));
        request.sequence = RequestSequence(*rc::gen::inRange<std::uint64_t>(1, 1ULL << 60U));
        request.attempt = *rc::gen::inRange<std::uint32_t>(1, 100);
        request.remaining = Millis(*rc::gen::inRange(0, 600'000));
        request.service = ServiceName("catalogue");
        request.method = *rc::gen::element<std::string>("GET", "POST", "DELETE");
        request.target = "/kits/" + std::to_string(anyNumber());
        request.body = anyBytes();
        if (*rc::gen::arbitrary<bool>()) {
            request.owner =
                OwnerToken {anyEndpoint(), Incarnation(anyNumber()), FlowNonce(anyNumber())};
        }
        request.missingParts =
            *rc::gen::container<std::vector<std::uint16_t>>(5, rc::gen::arbitrary<std::uint16_t>());
        const auto read = decodeRequest(encode(request));
        RC_ASSERT(bool(read));
        const Request &back = read.value();
        RC_ASSERT(back.caller == request.caller);
        RC_ASSERT(back.sequence == request.sequence);
        RC_ASSERT(back.attempt == request.attempt);
        RC_ASSERT(back.remaining == request.remaining);
        RC_ASSERT(back.owner == request.owner);
        RC_ASSERT(back.method == request.method);
        RC_ASSERT(back.target == request.target);
        RC_ASSERT(back.body == request.body);
        RC_ASSERT(back.missingParts == request.missingParts);
    });
}

TEST(HttpCodec, ResponseSurvivesInParts)
{
    check("an answer of any size survives its parts", [] {
        Response head;
        head.caller = CallerId("c1");
        head.sequence = RequestSequence(3);
        Answer answer;
        answer.status = *rc::gen::element<std::uint16_t>(200, 404, 500);
        answer.body = std::string(*rc::gen::inRange<std::size_t>(0, 6000), 'x') + anyBytes();
        std::string joined;
        for (const Response &part : splitAnswer(head, answer, {})) {
            const auto read = decodeResponse(encode(part));
            RC_ASSERT(bool(read));
            RC_ASSERT(read.value().status == answer.status);
            RC_ASSERT(read.value().part == part.part);
            RC_ASSERT(read.value().parts == part.parts);
            RC_ASSERT(read.value().answerHash == part.answerHash);
            joined += read.value().body;
        }
        RC_ASSERT(joined == answer.body);
    });
}

TEST(HttpCodec, EveryOutcomeSurvives)
{
    for (const Outcome outcome : {Outcome::NotRun, Outcome::Refused, Outcome::Unknown,
                                  Outcome::Opened, Outcome::InProgress}) {
        Response response;
        response.caller = CallerId("c1");
        response.sequence = RequestSequence(1);
        response.outcome = outcome;
        response.retryAfter = Millis(70);
        response.reason = "why";
        const auto read = decodeResponse(encode(response));
        ASSERT_TRUE(read) << toString(outcome);
        EXPECT_EQ(read.value().outcome, outcome);
        EXPECT_EQ(read.value().retryAfter, Millis(70));
        EXPECT_EQ(read.value().reason, "why");
    }
}

TEST(HttpCodec, BadFieldsAreNamed)
{
    const auto noId = decodeRequest("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_FALSE(noId);
    EXPECT_NE(noId.error().message.find("Glade-Request"), std::string::npos);
    const auto badOwner =
        decodeRequest("GET / HTTP/1.1\r\nHost: a\r\nGlade-Request: c-1\r\nGlade-Owner: x\r\n\r\n");
    ASSERT_FALSE(badOwner);
    EXPECT_NE(badOwner.error().message.find("Glade-Owner"), std::string::npos);
    const auto huge = decodeRequest(std::string(RequestBytesMax + 1, 'a'));
    ASSERT_FALSE(huge);
    EXPECT_EQ(huge.error().code, ErrorCode::Oversized);
}

TEST(HttpTarget, QueryFieldsAreFoundByTheirWholeName)
{
    const std::string target = "/v1/flow?caller=10.0.0.1:80&service=10.0.0.2:81&since=7";
    EXPECT_EQ(queryText(target, "caller"), "10.0.0.1:80");
    EXPECT_EQ(queryText(target, "service"), "10.0.0.2:81");
    EXPECT_EQ(queryText(target, "vice"), "");
    EXPECT_EQ(queryText("/v1/flow", "caller"), "");
    EXPECT_EQ(queryNumber(target, "since"), 7U);
    EXPECT_EQ(queryNumber(target, "caller"), 10U);
    EXPECT_EQ(queryNumber("/v1/changes?since=x", "since"), 0U);
}

TEST(JsonCodec, BatchSurvives)
{
    ChangeBatch batch {Revision(3), Revision(9), {}};
    batch.changes.push_back({SectionName("kits"), Revision(8), "services: []\n", false});
    batch.changes.push_back({SectionName("old"), Revision(9), "", true});
    const auto read = batchFromJson(toJson(batch));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().upTo, Revision(9));
    ASSERT_EQ(read.value().changes.size(), 2U);
    EXPECT_EQ(read.value().changes[0].text, "services: []\n");
    EXPECT_TRUE(read.value().changes[1].removed);
    const auto bad = batchFromJson("{\"since\": \"x\"}");
    ASSERT_FALSE(bad);
    EXPECT_EQ(bad.error().code, ErrorCode::BadJson);
}

TEST(Deflate, BytesSurvive)
{
    check("compressed bytes survive", [] {
        const std::string bytes = anyBytes();
        const auto read = inflated(deflated(bytes), bytes.size());
        RC_ASSERT(read.has_value());
        RC_ASSERT(read.value() == bytes);
    });
}

TEST(Deflate, ASectionOfAServiceShrinksToAThird)
{
    std::string text = "services:\n  - name: catalogue\n    address: 10.1.0.1:80\n    upstreams:\n";
    for (int i = 1; i <= 7; ++i) {
        const std::string id = std::to_string(i);
        text += "      - {id: catalogue-" + id + ", agent: 127.0.0.1:4100" + id
            + ", failure_domain: tbilisi-a, weight: 100, slots: 9}\n";
    }
    ChangeBatch batch {Revision(4), Revision(5), {}};
    batch.changes.push_back({SectionName("catalogue"), Revision(5), text, false});
    const std::string json = toJson(batch);
    EXPECT_LT(deflated(json).size() * 3, json.size());
}

TEST(Deflate, DamagedAndHugeBodiesAreErrorsWithTheirPlace)
{
    const std::string packed = deflated(std::string(100'000, 'x'));
    const auto huge = inflated(packed, 99'999);
    ASSERT_FALSE(huge);
    EXPECT_EQ(huge.error().code, ErrorCode::Oversized);
    const auto cutOff = inflated(packed.substr(0, packed.size() - 3), 100'000);
    ASSERT_FALSE(cutOff);
    EXPECT_EQ(cutOff.error().code, ErrorCode::BadHttp);
    EXPECT_EQ(cutOff.error().position, packed.size() - 3);
    EXPECT_FALSE(inflated(packed + "x", 100'000));
    check("garbage never inflates past the bound", [] {
        const auto read = inflated(anyBytes(), 1000);
        RC_ASSERT((!read || read.value().size() <= 1000U));
    });
}
