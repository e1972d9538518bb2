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

TEST(DatagramCodec, LoadReportRoundTrips)
{
    check("a load report round-trips, also if its limit is integral", [] {
        LoadReport report;
        report.sender = anyEndpoint();
        report.incarnation = Incarnation(anyNumber());
        report.service = ServiceName(anyBytes());
        report.running = *rc::gen::arbitrary<std::uint32_t>();
        // msgpack packs a double with an integral value as an integer.
        report.limit = *rc::gen::element(0.0, 1.0, 2.0, 2.5, 512.0, 1e-9);
        report.draining = *rc::gen::arbitrary<bool>();
        const auto decoded = decodeDatagram(encode(report));
        RC_ASSERT(bool(decoded));
        const auto &result = std::get<LoadReport>(decoded.value());
        RC_ASSERT(result.sender == report.sender);
        RC_ASSERT(result.service == report.service);
        RC_ASSERT(result.running == report.running);
        RC_ASSERT(result.limit == report.limit);
        RC_ASSERT(result.draining == report.draining);
    });
}

TEST(DatagramCodec, DataPacketRoundTrips)
{
    check("a data packet round-trips", [] {
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
        const auto decoded = decodeDatagram(encode(packet));
        RC_ASSERT(bool(decoded));
        const auto &result = std::get<DataPacket>(decoded.value());
        RC_ASSERT(result.version == packet.version);
        RC_ASSERT(result.flow == packet.flow);
        RC_ASSERT(result.service == packet.service);
        RC_ASSERT(std::equal(result.candidates.begin(), result.candidates.end(),
                             packet.candidates.begin(), packet.candidates.end()));
        RC_ASSERT(result.visited == packet.visited);
        RC_ASSERT(result.committed == packet.committed);
        RC_ASSERT(result.lent == packet.lent);
        RC_ASSERT(result.payload == packet.payload);
    });
}

TEST(DatagramCodec, NoticeRoundTrips)
{
    check("a notice round-trips", [] {
        Notice notice;
        notice.sender = anyEndpoint();
        notice.revision = Revision(anyNumber());
        notice.platformAge = Millis(*rc::gen::inRange(0, 1'000'000'000));
        notice.wantsReply = *rc::gen::arbitrary<bool>();
        notice.rumors.assign(*rc::gen::inRange<std::size_t>(0, 7),
                             {anyEndpoint(), anyNumber(), true});
        const auto decoded = decodeDatagram(encode(notice));
        RC_ASSERT(bool(decoded));
        const auto &result = std::get<Notice>(decoded.value());
        RC_ASSERT(result.revision == notice.revision);
        RC_ASSERT(result.platformAge == notice.platformAge);
        RC_ASSERT(result.rumors == notice.rumors);
    });
}

TEST(DatagramCodec, HandoverRoundTrips)
{
    HandoverMessage message;
    message.sender = {1, 2};
    message.id = 7;
    message.successor = Incarnation(9);
    HandoverEntry entry {RequestSequence(4), LedgerState::Answered, Millis(50), {}, true};
    entry.answer = {201, "text/plain", std::string("a\0b", 3)};
    message.flows.push_back({FlowNonce(5), {{1, 2}, {3, 4}}, RequestSequence(3), {entry}});
    message.committed.push_back(FlowNonce(6));
    const auto decoded = decodeHandover(encode(message));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value().successor, message.successor);
    ASSERT_EQ(decoded.value().flows.size(), 1U);
    const HandoverFlow &flow = decoded.value().flows[0];
    EXPECT_EQ(flow.nonce, FlowNonce(5));
    EXPECT_EQ(flow.watermark, RequestSequence(3));
    ASSERT_EQ(flow.entries.size(), 1U);
    EXPECT_EQ(flow.entries[0].answer.body, entry.answer.body);
    EXPECT_EQ(flow.entries[0].answer.status, 201);
    EXPECT_EQ(decoded.value().committed, message.committed);
}

TEST(DatagramCodec, ConfirmationsRoundTrip)
{
    const Endpoint sender {0x0a010001, 7720};
    const auto query = decodeDatagram(encode(ConfirmationQuery {sender, 17}));
    ASSERT_TRUE(query);
    EXPECT_EQ(std::get<ConfirmationQuery>(query.value()).sender, sender);
    EXPECT_EQ(std::get<ConfirmationQuery>(query.value()).number, 17U);
    for (const Revision revision : {Revision(9), Revision(9, 2)}) {
        const auto answer = decodeDatagram(encode(ConfirmationAnswer {sender, 17, revision}));
        ASSERT_TRUE(answer);
        EXPECT_EQ(std::get<ConfirmationAnswer>(answer.value()).number, 17U);
        EXPECT_EQ(std::get<ConfirmationAnswer>(answer.value()).revision, revision);
    }
}

TEST(DatagramCodec, ArbitraryBytesDoNotCrashTheDecoders)
{
    check("arbitrary bytes do not crash the decoders", [] {
        const std::string bytes = anyBytes();
        static_cast<void>(decodeDatagram(bytes));
        static_cast<void>(decodeHandover(bytes));
        static_cast<void>(decodeRequest(bytes));
        static_cast<void>(decodeResponse(bytes));
        static_cast<void>(batchFromJson(bytes));
        static_cast<void>(vmsFromJson(bytes));
    });
}

TEST(DatagramCodec, CorruptedDataPacketDoesNotCrashTheDecoder)
{
    check("a data packet with changed or missing bytes does not crash the decoder", [] {
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

TEST(HttpCodec, RequestRoundTrips)
{
    check("a request round-trips", [] {
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
        const auto decoded = decodeRequest(encode(request));
        RC_ASSERT(bool(decoded));
        const Request &result = decoded.value();
        RC_ASSERT(result.caller == request.caller);
        RC_ASSERT(result.sequence == request.sequence);
        RC_ASSERT(result.attempt == request.attempt);
        RC_ASSERT(result.remaining == request.remaining);
        RC_ASSERT(result.owner == request.owner);
        RC_ASSERT(result.method == request.method);
        RC_ASSERT(result.target == request.target);
        RC_ASSERT(result.body == request.body);
        RC_ASSERT(result.missingParts == request.missingParts);
    });
}

TEST(HttpCodec, SplitAnswerRoundTrips)
{
    check("an answer of any size is restored from its parts", [] {
        Response head;
        head.caller = CallerId("c1");
        head.sequence = RequestSequence(3);
        Answer answer;
        answer.status = *rc::gen::element<std::uint16_t>(200, 404, 500);
        answer.body = std::string(*rc::gen::inRange<std::size_t>(0, 6000), 'x') + anyBytes();
        std::string joined;
        for (const Response &part : splitAnswer(head, answer, {})) {
            const auto decoded = decodeResponse(encode(part));
            RC_ASSERT(bool(decoded));
            RC_ASSERT(decoded.value().status == answer.status);
            RC_ASSERT(decoded.value().part == part.part);
            RC_ASSERT(decoded.value().parts == part.parts);
            RC_ASSERT(decoded.value().answerHash == part.answerHash);
            joined += decoded.value().body;
        }
        RC_ASSERT(joined == answer.body);
    });
}

TEST(HttpCodec, OutcomesWithoutAnswerRoundTrip)
{
    for (const Outcome outcome : {Outcome::NotRun, Outcome::Refused, Outcome::Unknown,
                                  Outcome::Opened, Outcome::InProgress}) {
        Response response;
        response.caller = CallerId("c1");
        response.sequence = RequestSequence(1);
        response.outcome = outcome;
        response.retryAfter = Millis(70);
        response.reason = "why";
        const auto decoded = decodeResponse(encode(response));
        ASSERT_TRUE(decoded) << toString(outcome);
        EXPECT_EQ(decoded.value().outcome, outcome);
        EXPECT_EQ(decoded.value().retryAfter, Millis(70));
        EXPECT_EQ(decoded.value().reason, "why");
    }
}

TEST(HttpCodec, ErrorsNameTheInvalidField)
{
    const auto missingId = decodeRequest("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_FALSE(missingId);
    EXPECT_NE(missingId.error().message.find("Glade-Request"), std::string::npos);
    const auto badOwner =
        decodeRequest("GET / HTTP/1.1\r\nHost: a\r\nGlade-Request: c-1\r\nGlade-Owner: x\r\n\r\n");
    ASSERT_FALSE(badOwner);
    EXPECT_NE(badOwner.error().message.find("Glade-Owner"), std::string::npos);
    const auto oversized = decodeRequest(std::string(RequestBytesMax + 1, 'a'));
    ASSERT_FALSE(oversized);
    EXPECT_EQ(oversized.error().code, ErrorCode::Oversized);
}

TEST(HttpTarget, QueryParametersMatchByWholeName)
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

TEST(JsonCodec, ChangeBatchRoundTrips)
{
    ChangeBatch batch {Revision(3), Revision(9), {}};
    batch.changes.push_back({SectionName("kits"), Revision(8), "services: []\n", false});
    batch.changes.push_back({SectionName("old"), Revision(9), "", true});
    const auto decoded = batchFromJson(toJson(batch));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value().upTo, Revision(9));
    ASSERT_EQ(decoded.value().changes.size(), 2U);
    EXPECT_EQ(decoded.value().changes[0].text, "services: []\n");
    EXPECT_TRUE(decoded.value().changes[1].removed);
    const auto bad = batchFromJson("{\"since\": \"x\"}");
    ASSERT_FALSE(bad);
    EXPECT_EQ(bad.error().code, ErrorCode::BadJson);
}

TEST(Deflate, ArbitraryBytesRoundTrip)
{
    check("decompression restores the input", [] {
        const std::string bytes = anyBytes();
        const auto decoded = inflated(deflated(bytes), bytes.size());
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == bytes);
    });
}

TEST(Deflate, ServiceSectionShrinksToLessThanAThird)
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

TEST(Deflate, CorruptedAndOversizedBodiesAreRejected)
{
    const std::string compressed = deflated(std::string(100'000, 'x'));
    const auto oversized = inflated(compressed, 99'999);
    ASSERT_FALSE(oversized);
    EXPECT_EQ(oversized.error().code, ErrorCode::Oversized);
    const auto truncated = inflated(compressed.substr(0, compressed.size() - 3), 100'000);
    ASSERT_FALSE(truncated);
    EXPECT_EQ(truncated.error().code, ErrorCode::BadHttp);
    EXPECT_EQ(truncated.error().position, compressed.size() - 3);
    EXPECT_FALSE(inflated(compressed + "x", 100'000));
    check("arbitrary input does not inflate beyond the limit", [] {
        const auto decoded = inflated(anyBytes(), 1000);
        RC_ASSERT((!decoded || decoded.value().size() <= 1000U));
    });
}
