#pragma once

#include <unistd.h>

#include <random>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "cornelstall/value.hpp"

namespace cornelstall::tests
{

/// @brief An address on loopback whose port nobody listens on now, for listeners that cannot be asked for port 0.
///
/// The port is below the range from which the system takes the ports of outgoing connections. A port of that range may
/// be taken by a connection before the listener binds it: a started process then ended with error 412.
inline socket_address free_address()
{
    using boost::asio::ip::tcp;
    constexpr unsigned first_port = 12'000;
    constexpr unsigned last_port = 32'000;
    static std::mt19937 random(static_cast<unsigned>(::getpid()));
    std::uniform_int_distribution<unsigned> any_port(first_port, last_port);
    while (true)
    {
        const auto port = static_cast<unsigned short>(any_port(random));
        boost::asio::io_context context;
        tcp::acceptor probe{context, tcp::v4()};
        boost::system::error_code in_use;
        probe.bind(tcp::endpoint{boost::asio::ip::address_v4::loopback(), port}, in_use);
        if (!in_use)
        {
            return socket_address{"127.0.0.1:" + std::to_string(port)};
        }
    }
}

}  // namespace cornelstall::tests
