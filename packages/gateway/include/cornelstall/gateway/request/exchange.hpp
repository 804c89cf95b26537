#pragma once

#include <memory>
#include <optional>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "cornelstall/gateway/connection/backend_socket.hpp"
#include "cornelstall/gateway/process/gateway_state.hpp"
#include "cornelstall/gateway/request/memory_lease.hpp"

namespace cornelstall
{

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// @brief Shared by a request and the handler that detects that its caller has closed the connection.
struct caller_watch
{
    bool disconnected_ = false;                         ///< the caller has closed the connection
    std::weak_ptr<backend_socket> backend_connection_;  ///< closed when the caller disconnects
};

/// @brief One caller's request and its state until the answer has been sent.
struct exchange
{
    exchange(gateway_state& state, std::shared_ptr<caller_socket> caller, http_request request)
        : state_(state), caller_(std::move(caller)), request_(std::move(request))
    {}

    gateway_state& state_;
    std::shared_ptr<caller_socket> caller_;
    http_request request_;
    caller_request parsed_request_;
    std::shared_ptr<const routing_table> table_;
    const route* route_ = nullptr;
    const service_description* service_ = nullptr;
    std::optional<organisation_id> organisation_;
    int priority_ = 0;
    time_point arrived_;
    time_point deadline_;
    std::chrono::nanoseconds boot_deadline_{0};  ///< the deadline as boot time, which goes on while the VM is suspended
    std::shared_ptr<caller_watch> watch_;

    execution_id execution_id_;            ///< identifies the current send in load reports
    std::vector<prefill_helper> helpers_;  ///< engines that prefill a part of the prompt in the current send
    std::vector<std::shared_ptr<memory_lease>> leases_;  ///< memory that the helpers of the current send hold
    std::vector<server_id> tried_;
    int sends_ = 0;                                    ///< attempts to send the request to a server
    int connected_sends_ = 0;                          ///< sends whose server accepted the connection
    int possible_runs_ = 0;                            ///< sends after which the server may have run the request
    bool part_trial_ = false;                          ///< sent although a part of its prompt is blocked
    bool lost_unanswered_ = false;                     ///< the last send lost its connection before the first event
    bool server_crashed_ = false;                      ///< the server of the last send ended
    bool retry_reserved_ = false;                      ///< the next send has already been charged to the retry budget
    bool head_sent_ = false;                           ///< sending the head of the answer to the caller has begun
    bool keep_alive_ = true;                           ///< the caller's connection stays open for another request
    bool answered_ = false;                            ///< the caller has the whole answer or all that could be sent
    std::optional<std::uint64_t> last_event_id_;       ///< id of the last event sent to the caller
    std::optional<milliseconds> time_to_first_event_;  ///< from the arrival of the request to its first event
    time_point last_event_at_;
    bool refused_for_stop_ = false;  ///< its answer would not end before the process does
    bool late_ = false;              ///< the latency target or the limit of an event gap has been missed
    unsigned answer_status_ = 0;
    std::optional<http_response> error_answer_;  ///< a server's error response; sent if no later send succeeds
};

/// @brief Result of one send to a backend server.
enum class send_result
{
    answered,       ///< the whole answer has been sent to the caller
    did_not_run,    ///< the server certainly did not run the request
    may_have_run,   ///< the answer is missing or incomplete, and the server may have run the request
    server_failed,  ///< the server answered with an error, kept in exchange::error_answer_
    broken_off,     ///< the caller disconnected, or sending to the caller failed
    out_of_time     ///< the request's time limit passed
};

/// @brief Serves one request received from @a caller at @a arrived.
/// @return true when the caller's connection can take another request
[[nodiscard]] task<bool> serve_request(gateway_state& state, std::shared_ptr<caller_socket> caller,
                                       http_request request, time_point arrived);

/// @brief Ends the requests that have no begun answer, so that their callers get a final answer before the process
/// ends.
void end_open_requests(gateway_state& state);

/// @brief Sends the request to one server after another until one answers or no further send is allowed.
[[nodiscard]] task<send_result> try_servers(exchange& current);

/// @brief Name of @a result in log lines and metrics.
[[nodiscard]] const char* name_of(send_result result);

/// @brief Sends the request to @a server and relays the answer to the caller.
/// @param forecast sets the timeout for the first byte of the answer
[[nodiscard]] task<send_result> send_to_server(exchange& current, listed_server server, placement_forecast forecast);

/// @brief Records a send whose answer is missing or incomplete.
/// @return `broken_off` when the caller disconnected, `out_of_time` when the time limit passed, else `may_have_run`
[[nodiscard]] send_result record_incomplete_send(exchange& current);

/// @brief Copies the status and the fields of a server's answer except those that concern the connection to the server.
void copy_head(const exchange& current, const boost::beast::http::response_header<>& from,
               boost::beast::http::response_header<>& to);

/// @brief Relays the event stream of an answer whose head @a parser has already read.
/// @param max_silence longest time without data after which the send is abandoned if another server can continue
[[nodiscard]] task<send_result> relay_events(
    exchange& current, std::shared_ptr<backend_socket> server,
    boost::beast::http::response_parser<boost::beast::http::buffer_body>& parser, milliseconds max_silence);

/// @brief Sends a complete answer to the caller.
[[nodiscard]] task<send_result> deliver(exchange& current, http_response answer);

/// @brief Sends the caller an answer that the gateway itself generates.
/// @param reason id of the reason, sent in the body
/// @param retry_after value of the Retry-After field, if any
[[nodiscard]] task<> send_gateway_answer(exchange& current, unsigned status, std::string reason,
                                         std::optional<milliseconds> retry_after);

/// @brief Starts to watch the caller's connection; the backend connection is closed when the caller disconnects.
void watch_for_disconnect(exchange& current);

/// @brief True when the request may be sent again after a server may have run it.
[[nodiscard]] bool is_retry_safe(const exchange& current);

/// @brief True when the request must not be sent because servers crash on a part of its prompt.
[[nodiscard]] bool is_part_blocked(const exchange& current);

/// @brief True when a send to an unresponsive server may be abandoned: the request is safe to repeat, an attempt is
/// left, an untried server can be chosen, and the retry budget allows another send.
[[nodiscard]] bool can_switch_server(const exchange& current);

/// @brief The input for the choice of a server, except `work_` and `hold_id_`.
[[nodiscard]] choice_request make_choice_request(const exchange& current);

/// @brief True when a server of the service that has not been tried can be chosen.
[[nodiscard]] bool has_untried_server(const exchange& current);

/// @brief True when the prompt needs more KV memory than one engine has.
[[nodiscard]] bool prompt_exceeds_engine_memory(const exchange& current);

/// @brief Closes @a server at @a switch_at if another server can take the request then, else at the request's deadline.
void set_send_deadline(exchange& current, backend_socket& server, time_point switch_at);

/// @brief Sets the deadline of the request to @a limit after its arrival.
void set_deadline(exchange& current, milliseconds limit);

/// @brief Time until the request's deadline, including time in which the VM was suspended.
[[nodiscard]] milliseconds remaining_time(const exchange& current);

}  // namespace cornelstall
