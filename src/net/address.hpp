/// @file
/// Conversions between the endpoints of this library and those of Boost.Asio.
#pragma once

#include <bergamotglade/detail/core/endpoint.hpp>

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace bergamotglade {

inline boost::asio::ip::udp::endpoint toUdp(const Endpoint &endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

inline boost::asio::ip::tcp::endpoint toTcp(const Endpoint &endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

template <typename Protocol>
Endpoint fromAsio(const boost::asio::ip::basic_endpoint<Protocol> &endpoint)
{
    const auto address = endpoint.address();
    return {address.is_v4() ? address.to_v4().to_uint() : 0, endpoint.port()};
}

} // namespace bergamotglade
