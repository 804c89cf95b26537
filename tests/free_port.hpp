#pragma once

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "cornelstall/value.hpp"

namespace cornelstall::tests
{

/// @brief An address on loopback whose port nobody listens on now.
/// For listeners that cannot be asked for port 0; another process may take the port before it is used.
inline socket_address free_address()
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    const tcp::acceptor probe{context, tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}};
    return socket_address{"127.0.0.1:" + std::to_string(probe.local_endpoint().port())};
}

}  // namespace cornelstall::tests
