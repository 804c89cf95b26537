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
#include "cornelstall/gateway/request/request_body.hpp"

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

struct answer_reader;
struct send_resources;

/// @brief State of one send of a request to a server. A send whose server is silent keeps it while another server is
/// tried.
struct send_state
{
    execution_id execution_id_;                          ///< identifies the send in load reports
    server_id server_;                                   ///< the server of the send
    std::vector<prefill_helper> helpers_;                ///< engines that prefill a part of the prompt
    std::vector<listed_server> helper_servers_;          ///< the servers of `helpers_`
    std::vector<std::shared_ptr<memory_lease>> leases_;  ///< memory that the helpers hold
    bool lost_unanswered_ = false;                       ///< the connection was lost before the first event
    std::shared_ptr<send_resources> resources_;
};

/// @brief One caller's request and its state until the answer has been sent.
struct exchange
{
    exchange(gateway_state& state, std::shared_ptr<caller_socket> caller, http_request request,
             std::shared_ptr<const request_body> body)
        : state_(state), caller_(std::move(caller)), request_(std::move(request)), body_(std::move(body))
    {}

    gateway_state& state_;
    std::shared_ptr<caller_socket> caller_;
    http_request request_;  ///< without the body
    std::shared_ptr<const request_body> body_;
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

    send_state send_;  ///< the send that was begun last
    std::vector<std::shared_ptr<send_resources>>
        silent_sends_;  ///< sends that still wait while another server is tried
    std::vector<server_id> tried_;
    int sends_ = 0;                                    ///< attempts to send the request to a server
    int connected_sends_ = 0;                          ///< sends whose server accepted the connection
    int possible_runs_ = 0;                            ///< sends after which the server may have run the request
    bool part_trial_ = false;                          ///< sent although a part of its prompt is blocked
    bool server_crashed_ = false;                      ///< a server ended while it had the request
    int refused_plans_ = 0;                            ///< plans for which an engine did not reserve the memory
    bool head_sent_ = false;                           ///< sending the head of the answer to the caller has begun
    bool keep_alive_ = true;                           ///< the caller's connection stays open for another request
    bool answered_ = false;                            ///< the caller has the whole answer or all that could be sent
    std::optional<std::uint64_t> last_event_id_;       ///< id of the last event sent to the caller
    std::optional<milliseconds> time_to_first_event_;  ///< from the arrival of the request to its first event
    time_point last_event_at_;
    bool refused_for_stop_ = false;  ///< its answer would not end before the process does
    bool late_ = false;              ///< the latency target or the limit of an event gap has been missed
    unsigned answer_status_ = 0;
    std::optional<http_response> error_answer_;         ///< a server's error response; sent if no later send succeeds
    std::shared_ptr<buffer_share> error_answer_share_;  ///< memory of `error_answer_`
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
                                       http_request request, std::shared_ptr<const request_body> body,
                                       time_point arrived);

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

/// @brief True when the server or the network closed @a connection before the first event, which a crash of the server
/// explains. False when this VM closed it.
[[nodiscard]] bool is_lost_unanswered(const exchange& current, const backend_socket& connection);

/// @brief Copies the status and the fields of a server's answer except those that concern the connection to the server.
void copy_head(const exchange& current, const boost::beast::http::response_header<>& from,
               boost::beast::http::response_header<>& to);

/// @brief Relays the event stream of an answer whose head @a reader has already read.
/// @param max_silence longest time without an event after which other servers are tried
[[nodiscard]] task<send_result> relay_events(exchange& current, std::shared_ptr<answer_reader> reader,
                                             milliseconds max_silence);

/// @brief Reads with @a read. While the server is silent, sends the request to another one whenever one can take it,
/// and goes on with the silent one unless the other one answers first.
/// @param read read_head() or read_events()
/// @param silent_at when the server counts as silent; moved on after a try
/// @return the result of the other server's send when that has ended the request, or nothing when the read has
/// completed
[[nodiscard]] task<std::optional<send_result>> read_or_switch(exchange& current, std::shared_ptr<answer_reader> reader,
                                                              task<bool> (*read)(std::shared_ptr<answer_reader>,
                                                                                 time_point),
                                                              time_point& silent_at);

/// @brief When a server without progress from now on counts as silent; never for a request that must not be repeated.
[[nodiscard]] time_point switch_time(const exchange& current, milliseconds max_silence);

/// @brief True when a server that was silent goes on with its answer while another one is tried.
[[nodiscard]] bool has_silent_server_resumed(const exchange& current);

/// @brief True when the head that @a reader has read begins an answer that may be relayed to the caller.
[[nodiscard]] bool is_usable_head(const exchange& current, const answer_reader& reader);

/// @brief Ends the sends whose servers were silent, because another server answers the request.
void release_silent_sends(exchange& current);

/// @brief Sends a complete answer to the caller.
[[nodiscard]] task<send_result> deliver(exchange& current, http_response answer);

/// @brief An answer that the gateway itself generates.
/// @param reason id of the reason, sent in the body
/// @param retry_after value of the Retry-After field, if any
[[nodiscard]] http_response make_gateway_answer(gateway_state& state, const caller_request& request, unsigned status,
                                                const std::string& reason, std::optional<milliseconds> retry_after);

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

/// @brief True when another server may be tried while the server of the request is silent: the request is safe to
/// repeat, an attempt is left, an untried server can be chosen, and the retry budget allows another send.
[[nodiscard]] bool can_switch_server(const exchange& current);

/// @brief The input for the choice of a server, except `work_` and `hold_id_`.
[[nodiscard]] choice_request make_choice_request(const exchange& current);

/// @brief True when a server of the service that has not been tried can be chosen.
[[nodiscard]] bool has_untried_server(const exchange& current);

/// @brief True when the request could be served if no data centre were evacuated, but not without the servers there.
[[nodiscard]] bool needs_evacuated_servers(const exchange& current);

/// @brief True when the prompt needs more KV memory than one engine has.
[[nodiscard]] bool prompt_exceeds_engine_memory(const exchange& current);

/// @brief Sets the deadline of the request to @a limit after its arrival.
void set_deadline(exchange& current, milliseconds limit);

/// @brief Time until the request's deadline, including time in which the VM was suspended.
[[nodiscard]] milliseconds remaining_time(const exchange& current);

}  // namespace cornelstall
