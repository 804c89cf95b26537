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

/// @brief One call that a peer makes; shared by the handler and the server. Used from the Asio thread only.
struct peer_call
{
    vm_id sender_;
    bool cancelled_ = false;           ///< the caller has gone or its deadline has passed
    std::function<void()> on_cancel_;  ///< called once when the call is cancelled; set by the handler that waits
};

/// @brief A handler of one method: runs on the Asio thread and returns the reply. An `error` that it throws reaches
/// the caller as `FAILED_PRECONDITION` with the message.
template <class Reply, class Request>
using peer_handler = std::function<task<Reply>(Request, std::shared_ptr<peer_call>)>;

/// @brief What a process does for its peers. A method without handler is answered `UNIMPLEMENTED`.
struct peer_handlers
{
    peer_handler<exchange_delta, exchange_delta> exchange_;
    peer_handler<probe_reply, probe_request> probe_;
    peer_handler<reserve_reply, reserve_request> reserve_;
    peer_handler<release_reply, release_request> release_;
    peer_handler<renew_reply, renew_request> renew_;
    peer_handler<wanted_reply, wanted_request> wanted_;
    peer_handler<fetch_configuration_reply, fetch_configuration_request> fetch_configuration_;
};

/// @brief Error id of a listener that cannot be opened.
inline constexpr int peer_listener_failed = 412;

/// @brief The listener for peers.
///
/// gRPC's threads check the key and the form of a message and hand it over; handlers run on the Asio thread. Counters:
/// `peer_calls_total{method}`, `peer_refused_total{reason="key"|"malformed"}`.
class peer_server
{
  public:
    /// @brief Opens the listener.
    /// @param where runs the handlers; must outlive the server
    /// @param listen port 0 chooses a free port
    /// @throws process_error (id 412) when the address cannot be used
    peer_server(const executor& where, const socket_address& listen, const peer_credentials& credentials,
                peer_handlers handlers, metrics& counters);

    /// @brief Cancels the calls that are still waiting and closes the listener.
    ~peer_server();

    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    peer_server(peer_server&&) = delete;
    peer_server& operator=(peer_server&&) = delete;

    /// @brief The port of the listener.
    [[nodiscard]] int port() const noexcept;

  private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace cornelstall
