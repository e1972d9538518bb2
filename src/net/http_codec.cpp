#include <bergamotglade/detail/net/http_codec.hpp>

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <charconv>

namespace bergamotglade {

namespace {

namespace http = boost::beast::http;

constexpr int HttpVersion = 11; ///< HTTP/1.1 in the notation of Boost.Beast
constexpr int HexBase = 16;
constexpr const char *RequestField = "Glade-Request";
constexpr const char *AttemptField = "Glade-Attempt";
constexpr const char *DeadlineField = "Glade-Deadline";
constexpr const char *OwnerField = "Glade-Owner";
constexpr const char *MissingField = "Glade-Missing";
constexpr const char *OutcomeField = "Glade-Outcome";
constexpr const char *PartField = "Glade-Part";
constexpr const char *AnswerField = "Glade-Answer";
constexpr const char *RetryField = "Glade-Retry-After";
constexpr const char *ReasonField = "Glade-Reason";
constexpr std::array<Outcome, 6> Outcomes {Outcome::Answered, Outcome::NotRun, Outcome::Refused,
                                           Outcome::Unknown,  Outcome::Opened, Outcome::InProgress};

Error invalidField(const char *field, std::string_view value)
{
    return {ErrorCode::BadHttp,
            std::string(field) + ": invalid value '" + std::string(value) + "'"};
}

template <typename T>
bool parseNumber(std::string_view text, T &out, int base = 10)
{
    const char *end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data(), end, out, base);
    return error == std::errc() && next == end && !text.empty();
}

std::string_view toStdView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Serializes a message directly into one string, without an intermediate stream.
template <bool IsRequest>
std::string serialize(http::message<IsRequest, http::string_body> &message)
{
    message.prepare_payload();
    http::serializer<IsRequest, http::string_body> serializer(message);
    std::string bytes;
    boost::beast::error_code error;
    while (!serializer.is_done() && !error) {
        serializer.next(error, [&](boost::beast::error_code &, const auto &buffers) {
            std::size_t size = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                bytes.append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            serializer.consume(size);
        });
    }
    return bytes;
}

template <bool IsRequest>
Result<http::message<IsRequest, http::string_body>> parse(std::string_view bytes)
{
    if (bytes.size() > RequestBytesMax) {
        return Error {ErrorCode::Oversized,
                      "message of " + std::to_string(bytes.size()) + " bytes exceeds the limit of "
                          + std::to_string(RequestBytesMax)};
    }
    http::parser<IsRequest, http::string_body> parser;
    parser.eager(true);
    parser.header_limit(RequestBytesMax);
    parser.body_limit(RequestBytesMax);
    boost::beast::error_code error;
    const std::size_t consumed = parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    if (!error && !parser.is_done()) {
        parser.put_eof(error);
    }
    if (error || !parser.is_done()) {
        return Error {ErrorCode::BadHttp, error ? error.message() : "incomplete message", consumed};
    }
    return parser.release();
}

std::string formatRequestId(const CallerId &caller, RequestSequence sequence)
{
    return caller.str() + '-' + std::to_string(sequence.value());
}

bool parseRequestId(std::string_view text, CallerId &caller, RequestSequence &sequence)
{
    constexpr std::size_t CallerIdBytesMax = 64;
    const auto dash = text.rfind('-');
    std::uint64_t number = 0;
    if (dash == std::string_view::npos || dash == 0 || dash > CallerIdBytesMax
        || !parseNumber(text.substr(dash + 1), number) || number == 0) {
        return false;
    }
    caller = CallerId(std::string(text.substr(0, dash)));
    sequence = RequestSequence(number);
    return true;
}

bool parsePartList(std::string_view text, std::vector<std::uint16_t> &parts)
{
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        std::uint16_t part = 0;
        if (!parseNumber(text.substr(0, comma), part)) {
            return false;
        }
        parts.push_back(part);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return true;
}

} // namespace

std::uint16_t httpStatusOf(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::Answered:
        return 200;
    case Outcome::NotRun:
    case Outcome::Refused:
        return 503;
    case Outcome::Unknown:
        return 504;
    case Outcome::Opened:
        return 428;
    case Outcome::InProgress:
        return 202;
    }
    return 500;
}

std::string encode(const Request &request)
{
    http::request<http::string_body> message;
    message.version(HttpVersion);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, request.service.str());
    message.set(RequestField, formatRequestId(request.caller, request.sequence));
    message.set(AttemptField, std::to_string(request.attempt));
    if (request.remaining > Millis()) {
        message.set(DeadlineField, std::to_string(request.remaining.count()));
    }
    if (request.owner) {
        message.set(OwnerField, request.owner->str());
    }
    if (!request.missingParts.empty()) {
        std::string list;
        for (const std::uint16_t part : request.missingParts) {
            list += (list.empty() ? "" : ",") + std::to_string(part);
        }
        message.set(MissingField, list);
    }
    if (!request.contentType.empty()) {
        message.set(http::field::content_type, request.contentType);
    }
    message.body() = request.body;
    return serialize(message);
}

Result<Request> decodeRequest(std::string_view bytes)
{
    auto parsed = parse<true>(bytes);
    if (!parsed) {
        return parsed.error();
    }
    auto &message = parsed.value();
    Request request;
    const auto id = toStdView(message[RequestField]);
    if (!parseRequestId(id, request.caller, request.sequence)) {
        return invalidField(RequestField, id);
    }
    const auto attempt = toStdView(message[AttemptField]);
    if (!attempt.empty() && !parseNumber(attempt, request.attempt)) {
        return invalidField(AttemptField, attempt);
    }
    const auto deadline = toStdView(message[DeadlineField]);
    std::int64_t remainingMs = 0;
    if (!deadline.empty() && (!parseNumber(deadline, remainingMs) || remainingMs < 0)) {
        return invalidField(DeadlineField, deadline);
    }
    request.remaining = std::min(Millis(remainingMs), DeadlineMax);
    const auto owner = toStdView(message[OwnerField]);
    if (!owner.empty()) {
        const auto token = OwnerToken::parse(owner);
        if (!token) {
            return invalidField(OwnerField, owner);
        }
        request.owner = token.value();
    }
    const auto missing = toStdView(message[MissingField]);
    if (!parsePartList(missing, request.missingParts)) {
        return invalidField(MissingField, missing);
    }
    const auto host = toStdView(message[http::field::host]);
    if (host.empty()) {
        return invalidField("Host", host);
    }
    request.service = ServiceName(std::string(host));
    request.method = std::string(toStdView(message.method_string()));
    request.target = std::string(toStdView(message.target()));
    request.contentType = std::string(toStdView(message[http::field::content_type]));
    request.opensOnly = request.method == "OPTIONS" && request.target == "*";
    request.body = std::move(message.body());
    return request;
}

std::string encode(const Response &response)
{
    http::response<http::string_body> message;
    const bool answered = response.outcome == Outcome::Answered;
    message.version(HttpVersion);
    message.result(answered ? response.status : httpStatusOf(response.outcome));
    message.set(RequestField, formatRequestId(response.caller, response.sequence));
    message.set(OutcomeField, std::string(toString(response.outcome)));
    if (response.owner) {
        message.set(OwnerField, response.owner->str());
    }
    if (response.retryAfter > Millis()) {
        message.set(RetryField, std::to_string(response.retryAfter.count()));
    }
    if (!response.reason.empty()) {
        message.set(ReasonField, response.reason);
    }
    if (answered) {
        // A 64-bit hash has at most 16 hexadecimal digits.
        std::array<char, HexBase> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                       response.answerHash, HexBase);
        message.set(AnswerField, std::string(digits.data(), end.ptr));
        message.set(PartField,
                    std::to_string(response.part) + '/' + std::to_string(response.parts));
    }
    if (!response.contentType.empty()) {
        message.set(http::field::content_type, response.contentType);
    }
    message.body() = response.body;
    return serialize(message);
}

Result<Response> decodeResponse(std::string_view bytes)
{
    auto parsed = parse<false>(bytes);
    if (!parsed) {
        return parsed.error();
    }
    auto &message = parsed.value();
    Response response;
    const auto id = toStdView(message[RequestField]);
    if (!parseRequestId(id, response.caller, response.sequence)) {
        return invalidField(RequestField, id);
    }
    const auto outcomeText = toStdView(message[OutcomeField]);
    bool known = false;
    for (const Outcome outcome : Outcomes) {
        if (outcomeText == toString(outcome)) {
            response.outcome = outcome;
            known = true;
        }
    }
    if (!known) {
        return invalidField(OutcomeField, outcomeText);
    }
    const auto owner = toStdView(message[OwnerField]);
    if (!owner.empty()) {
        const auto token = OwnerToken::parse(owner);
        if (!token) {
            return invalidField(OwnerField, owner);
        }
        response.owner = token.value();
    }
    if (response.outcome == Outcome::Answered) {
        const auto hash = toStdView(message[AnswerField]);
        const auto part = toStdView(message[PartField]);
        const auto slash = part.find('/');
        if (!parseNumber(hash, response.answerHash, HexBase)) {
            return invalidField(AnswerField, hash);
        }
        if (slash == std::string_view::npos || !parseNumber(part.substr(0, slash), response.part)
            || !parseNumber(part.substr(slash + 1), response.parts)) {
            return invalidField(PartField, part);
        }
    }
    std::int64_t retryAfterMs = 0;
    const auto retryText = toStdView(message[RetryField]);
    if (!retryText.empty() && (!parseNumber(retryText, retryAfterMs) || retryAfterMs < 0)) {
        return invalidField(RetryField, retryText);
    }
    response.retryAfter = Millis(retryAfterMs);
    response.status = static_cast<std::uint16_t>(message.result_int());
    response.reason = std::string(toStdView(message[ReasonField]));
    response.contentType = std::string(toStdView(message[http::field::content_type]));
    response.body = std::move(message.body());
    return response;
}

} // namespace bergamotglade
