#pragma once

#include <boost/asio/ip/udp.hpp>

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

/// @brief Size of the largest UDP datagram.
inline constexpr std::size_t max_datagram_bytes = 65536;

/// @brief The UDP socket on which this VM exchanges load reports with the other VMs, and the state for sending them.
struct load_exchange
{
    load_exchange(gateway_state& state, const boost::asio::ip::udp::endpoint& listen);

    gateway_state& state_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::steady_timer report_timer_;
    std::uint64_t sequence_ = 0;     ///< of the last report sent
    log_position sent_changes_end_;  ///< end of the server list when its changes were last sent
    time_point changes_sent_at_;     ///< when changes of the server list were last sent
    std::vector<char> received_bytes_ = std::vector<char>(max_datagram_bytes);  ///< the datagram that is being read
    time_point news_sent_at_;  ///< when evidence about prompt parts and limits of servers was last sent
};

/// @brief Receives the reports of the other VMs and applies them, until the socket is closed.
[[nodiscard]] task<> receive_load(std::shared_ptr<load_exchange> exchange);

/// @brief Reports this VM's load to the other VMs of its cell, shortly after each change and otherwise at a fixed
/// interval.
[[nodiscard]] task<> report_load(std::shared_ptr<load_exchange> exchange);

}  // namespace cornelstall
