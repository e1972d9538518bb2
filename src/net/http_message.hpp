/// @file
/// Conversions between the HTTP messages of this library and those of Boost.Beast.
#pragma once

#include <bergamotglade/detail/net/http.hpp>

#include <utility>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace bergamotglade {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

BeastRequest toBeast(const HttpRequest &request);
BeastResponse toBeast(HttpReply reply, bool keepAlive);
HttpRequest fromBeast(BeastRequest &&message);
HttpReply fromBeast(BeastResponse &&message);

} // namespace bergamotglade
