#pragma once

#include <functional>
#include <memory>

#include "cornelstall/runtime/connection/peer_credentials.hpp"
#include "cornelstall/runtime/process/metrics.hpp"
#include "cornelstall/runtime/process/task.hpp"
#include "cornelstall/value.hpp"
#include "cornelstall/wire/connection/peer_messages.hpp"

namespace cornelstall
{

// Error ids of failed calls to a peer.
inline constexpr int peer_unreachable = 221;  ///< no connection, or it broke; the call may have been received
inline constexpr int peer_silent = 222;       ///< no reply before the deadline
inline constexpr int peer_refused_us = 223;   ///< the peer refused our key, or expects another process
inline constexpr int peer_cancelled = 224;    ///< cancelled by this side
inline constexpr int peer_failed = 225;       ///< the peer reported another failure

/// @brief Lets the owner of a call end it early. Filled in when the call starts.
struct call_control
{
    std::function<void()> cancel_;  ///< empty before the call starts and after it has ended
};

namespace detail
{
struct channel_state;
}

/// @brief The connection to one peer. Used from the Asio thread only; a started call does not need the object any more.
///
/// Each method returns the peer's reply or throws connection_error: id 220 for a malformed reply, 221 to 225 as above.
/// The connection is made by the first call. Pings find a connection that goes silent while a call is waiting.
class peer_channel
{
  public:
    /// @param self shown to the peer as the sender
    /// @param counters receives `peer_messages_sent_total`, `peer_bytes_sent_total` and `peer_bytes_received_total`
    peer_channel(vm_id self, socket_address address, peer_credentials credentials, metrics& counters);

    [[nodiscard]] task<exchange_delta> exchange(const exchange_delta& delta, milliseconds limit);
    [[nodiscard]] task<probe_reply> probe(const probe_request& request, milliseconds limit);
    /// @param control lets the caller leave the queue before @a limit; the peer's handler is told
    [[nodiscard]] task<reserve_reply> reserve(const reserve_request& request, milliseconds limit,
                                              std::shared_ptr<call_control> control = nullptr);
    [[nodiscard]] task<release_reply> release(const release_request& request, milliseconds limit);
    [[nodiscard]] task<renew_reply> renew(const renew_request& request, milliseconds limit);
    [[nodiscard]] task<wanted_reply> wanted(const wanted_request& request, milliseconds limit);
    [[nodiscard]] task<fetch_configuration_reply> fetch_configuration(const fetch_configuration_request& request,
                                                                      milliseconds limit);

    /// @brief Makes a new connection for all later calls. Calls on the old one end by themselves.
    void replace();

    /// @brief The peer's address.
    [[nodiscard]] const socket_address& address() const noexcept;

  private:
    std::shared_ptr<detail::channel_state> state_;
};

}  // namespace cornelstall
