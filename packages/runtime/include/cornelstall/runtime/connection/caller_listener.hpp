#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cornelstall/runtime/connection/caller_connection.hpp"
#include "cornelstall/runtime/process/entry_state.hpp"

namespace cornelstall
{

/// @brief Serves a call of a plain service.
using plain_service_handler = std::function<task<>(entry_state& state, std::shared_ptr<caller_connection> connection)>;

/// @brief The HTTP listener for callers and operators.
class caller_listener
{
  public:
    /// @brief Prepares the listener on the address and with the TLS files of the settings.
    caller_listener(entry_state& state, plain_service_handler plain);
    ~caller_listener();
    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;
    caller_listener(caller_listener&&) = delete;
    caller_listener& operator=(caller_listener&&) = delete;

    /// @brief Begins to accept connections.
    /// @throws process_error (id 413) when the address cannot be bound
    [[nodiscard]] task<> open();

    /// @brief Stops accepting and waits for open exchanges.
    [[nodiscard]] task<> close();

  private:
    struct listener;
    std::unique_ptr<listener> listener_;
};

}  // namespace cornelstall
