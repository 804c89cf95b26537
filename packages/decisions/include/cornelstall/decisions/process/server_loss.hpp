#pragma once

#include <optional>

#include "cornelstall/decisions/process/server_directory.hpp"

namespace cornelstall
{

/// @brief What the server list says about the lifetime of a server that has a request.
enum class lifetime_listing
{
    listed,
    unlisted,  ///< its entry was removed or has another address: the server may have left, and may go on serving
    replaced   ///< another lifetime is listed under its id or at its address, so that this one has ended
};

/// @brief The result of a connection that was made only to learn whether a server can still be reached.
enum class connection_attempt
{
    accepted,
    refused,     ///< no process listens at the address
    unanswered,  ///< no answer within the time limit
    not_made     ///< says nothing about the server, for example because this process has no file descriptor left
};

/// @brief The connection attempts to the server of one send.
struct attempt_history
{
    int made_ = 0;
    int unanswered_in_row_ = 0;
    bool refused_ = false;
    bool last_accepted_ = false;
    time_point last_at_;        ///< when the last attempt began
    time_point failing_since_;  ///< when the first of the attempts began that have failed since the last success
};

/// @brief What the engines that hold memory for one send have said about its use.
struct memory_checks
{
    int unused_in_row_ = 0;
    bool used_ = false;   ///< a request used the memory; later checks are not needed
    time_point last_at_;  ///< when the last check began
};

/// @brief What this VM sees of a send whose answer is not whole.
struct observed_send
{
    lifetime_listing listing_ = lifetime_listing::listed;
    bool leaving_ = false;          ///< the server has said that it leaves, or was listed as draining
    bool reserves_memory_ = false;  ///< other engines hold memory for it
    bool begun_ = false;            ///< the first event has arrived
    time_point first_event_due_;    ///< a first event after this time is much later than forecast
    milliseconds silence_{0};       ///< time since the last byte of the server arrived
    milliseconds reserved_for_{0};  ///< time since the memory was reserved
    milliseconds max_unused_{0};    ///< memory that is unused for so long is released
};

/// @brief What a VM does next about a send.
enum class send_step
{
    wait,          ///< decide again after `delay_`, or earlier when the server list changes
    probe,         ///< try to connect to the server
    check_memory,  ///< ask the engines that hold memory for the send whether it is used
    end,           ///< the server is gone or idle; the send ends like one whose connection is lost
    stop           ///< nothing to do until the server list changes
};

/// @brief A step and its details.
struct send_decision
{
    send_step step_ = send_step::stop;
    milliseconds delay_{0};    ///< of `wait`
    const char* reason_ = "";  ///< of `end`: id of the reason, for logs and metrics
};

/// @brief What @a directory says about the lifetime of @a server.
/// Linear in the number of listed servers.
[[nodiscard]] lifetime_listing listing_of(const server_directory& directory, const listed_server& server);

/// @brief Time for one connection attempt.
[[nodiscard]] milliseconds attempt_time_limit();

/// @brief When a first event is so late that the server of a joint prefill is probed.
/// @param forecast time to the first token
[[nodiscard]] time_point probe_due_time(time_point sent_at, milliseconds forecast);

/// @brief Records an attempt that began at @a began_at.
/// @param is_list_current this VM can follow the server list. An attempt without an answer counts only then: a VM that
/// is cut off from everything learns nothing about the server.
void record_attempt(attempt_history& history, connection_attempt result, bool is_list_current, time_point began_at);

/// @brief Forgets the failed attempts if the server has sent something since they began, which proves more than they
/// do.
/// @param silence time since the last byte of the server arrived
void discard_outdated(attempt_history& history, milliseconds silence, time_point now);

/// @brief Records what the engines said in a check that began at @a began_at.
/// @param used nothing when none of them gave a usable answer
void record_memory_check(memory_checks& checks, std::optional<bool> used, time_point began_at);

/// @brief Decides whether the memory that other engines hold for a send is held in vain, or how to find out: a server
/// that accepts connections may hang, and never begin to use it.
[[nodiscard]] send_decision decide_on_memory(const observed_send& send, const memory_checks& checks, time_point now);

/// @brief The one of two decisions that is to be carried out first.
[[nodiscard]] send_decision more_urgent(const send_decision& first, const send_decision& second);

/// @brief Decides whether the server of a send is gone, or how to find out. Silence alone never ends a send.
[[nodiscard]] send_decision decide_on_send(const observed_send& send, const attempt_history& history, time_point now);

}  // namespace cornelstall
