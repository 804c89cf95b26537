#pragma once

#include <optional>
#include <stdexcept>
#include <string>

#include "cornelstall/value/outcome.hpp"
#include "cornelstall/value/units.hpp"

namespace cornelstall
{

/// @brief Base class of all errors: a numeric id and a message that names the remedy.
class error : public std::runtime_error
{
  public:
    /// @brief The stable id of this kind of error; docs/events.md lists all ids.
    [[nodiscard]] int id() const noexcept
    {
        return id_;
    }

  protected:
    error(int id, const std::string& message)
        : std::runtime_error("[cornelstall.error." + std::to_string(id) + "] " + message), id_(id)
    {}

  private:
    int id_;
};

/// @brief A request was refused or failed (ids 100 to 199).
class request_error : public error
{
  public:
    request_error(int id, refusal_reason reason, outcome execution_outcome, const std::string& message,
                  std::optional<milliseconds> retry_after = std::nullopt)
        : error(id, message), reason_(reason), outcome_(execution_outcome), retry_after_(retry_after)
    {}

    /// @brief The reason reported to the caller and counted in metrics.
    [[nodiscard]] refusal_reason reason() const noexcept
    {
        return reason_;
    }

    /// @brief Whether the request was executed, as far as is known.
    [[nodiscard]] outcome execution_outcome() const noexcept
    {
        return outcome_;
    }

    /// @brief The time after which a retry may succeed, if any.
    [[nodiscard]] std::optional<milliseconds> retry_after() const noexcept
    {
        return retry_after_;
    }

  private:
    refusal_reason reason_;
    outcome outcome_;
    std::optional<milliseconds> retry_after_;
};

/// @brief A connection to a peer, a backend server or the platform failed (ids 200 to 299).
class connection_error : public error
{
  public:
    connection_error(int id, const std::string& message) : error(id, message) {}
};

/// @brief A declaration or configuration is invalid, or a concurrent update won (ids 300 to 399).
class version_error : public error
{
  public:
    version_error(int id, const std::string& message) : error(id, message) {}
};

/// @brief A setting is invalid or the process itself failed (ids 400 to 499).
class process_error : public error
{
  public:
    process_error(int id, const std::string& message) : error(id, message) {}
};

}  // namespace cornelstall
