#include "http_message.hpp"

#include <algorithm>
#include <charconv>

namespace bergamotglade {

namespace {

namespace http = boost::beast::http;

constexpr int HttpVersion = 11; ///< HTTP/1.1 in the notation of Boost.Beast

template <typename Message>
std::vector<HttpHeader> headersOf(const Message &message)
{
    std::vector<HttpHeader> headers;
    for (const auto &field : message) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

std::string findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (boost::beast::iequals(header.name, {name.data(), name.size()})) {
            return header.value;
        }
    }
    return {};
}

} // namespace

std::string queryText(std::string_view target, std::string_view key)
{
    const auto queryStart = target.find('?');
    std::string_view rest =
        queryStart == std::string_view::npos ? "" : target.substr(queryStart + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const std::string_view parameter = rest.substr(0, end);
        if (parameter.starts_with(key) && parameter.substr(key.size()).starts_with('=')) {
            return std::string(parameter.substr(key.size() + 1));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

std::uint64_t queryNumber(std::string_view target, std::string_view key)
{
    const std::string text = queryText(target, key);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string HttpReply::header(std::string_view name) const
{
    return findHeader(headers, name);
}

BeastRequest toBeast(const HttpRequest &request)
{
    BeastRequest message;
    message.version(HttpVersion);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, request.host);
    if (!request.contentType.empty()) {
        message.set(http::field::content_type, request.contentType);
    }
    for (const HttpHeader &header : request.headers) {
        message.set(header.name, header.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

BeastResponse toBeast(HttpReply reply, bool keepAlive)
{
    BeastResponse message;
    message.version(HttpVersion);
    message.result(reply.status);
    message.set(http::field::content_type, reply.contentType);
    for (const HttpHeader &header : reply.headers) {
        message.set(header.name, header.value);
    }
    message.keep_alive(keepAlive);
    message.body() = std::move(reply.body);
    message.prepare_payload();
    return message;
}

HttpRequest fromBeast(BeastRequest &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.host = std::string(message[http::field::host]);
    request.contentType = std::string(message[http::field::content_type]);
    request.headers = headersOf(message);
    request.body = std::move(message.body());
    return request;
}

HttpReply fromBeast(BeastResponse &&message)
{
    HttpReply reply;
    reply.status = static_cast<std::uint16_t>(message.result_int());
    reply.contentType = std::string(message[http::field::content_type]);
    reply.headers = headersOf(message);
    reply.body = std::move(message.body());
    return reply;
}

} // namespace bergamotglade
