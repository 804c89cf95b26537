#pragma once

#include <boost/asio/ip/udp.hpp>

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

/// @brief The socket by which VMs tell one another what they have running.
struct load_exchange
{
    load_exchange(gateway_state& state, const boost::asio::ip::udp::endpoint& listen);

    gateway_state& state_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::steady_timer next_report_;
    std::uint64_t sequence_ = 0;
    log_offset told_next_;  ///< end of the list when its changes were told last
    time_point told_at_;
};

/// @brief Takes over what other VMs report, until the process ends.
[[nodiscard]] task<> receive_load(std::shared_ptr<load_exchange> exchange);

/// @brief Reports this VM's load to all others at each change and at least at a fixed interval.
[[nodiscard]] task<> report_load(std::shared_ptr<load_exchange> exchange);

}  // namespace cornelstall
