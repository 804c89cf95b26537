#pragma once

#include <memory>
#include <optional>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "cornelstall/gateway/connection/backend_socket.hpp"
#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// @brief Shared with the handler that watches for the caller's close.
struct caller_watch
{
    bool left_ = false;
    std::weak_ptr<backend_socket> active_;  ///< closed when the caller leaves
};

/// @brief What is known about one caller's request until its answer has been sent.
struct exchange
{
    exchange(gateway_state& state, std::shared_ptr<caller_socket> caller, http_request request)
        : state_(state), caller_(std::move(caller)), request_(std::move(request))
    {}

    gateway_state& state_;
    std::shared_ptr<caller_socket> caller_;
    http_request request_;
    caller_request facts_;
    std::shared_ptr<const routing_table> table_;
    const route* route_ = nullptr;
    const service_description* service_ = nullptr;
    std::optional<organisation_id> organisation_;
    int priority_ = 0;
    time_point arrived_;
    time_point deadline_;
    std::shared_ptr<caller_watch> watch_;

    execution_id running_;                 ///< the present send in the load that VMs tell one another
    std::vector<prefill_helper> helpers_;  ///< engines that read a part of the prompt in the present send
    std::vector<server_id> tried_;
    int sends_ = 0;                                  ///< servers that were tried
    int arrivals_ = 0;                               ///< servers that were reached
    int possible_runs_ = 0;                          ///< sends that may have run
    bool repeat_taken_ = false;                      ///< the budget for the next send is taken already
    bool head_sent_ = false;                         ///< the caller has the head of an answer
    bool keep_caller_ = true;                        ///< the connection can take another request
    bool answered_ = false;                          ///< a whole answer, or as much as could be sent
    std::optional<std::uint64_t> last_event_;        ///< id of the last event that was delivered
    std::optional<milliseconds> first_event_after_;  ///< from the arrival to the first event
    time_point last_event_at_;
    bool late_ = false;  ///< the first event or a pause has missed its goal
    unsigned answer_status_ = 0;
    std::optional<http_response> failure_;  ///< a server's failure that is delivered when no other server does better
};

/// @brief How one send to a backend server ended.
enum class send_end
{
    answered,       ///< the caller has the whole answer
    did_not_run,    ///< certain that the server did not run the request
    may_have_run,   ///< no whole answer, and the server may have run the request
    server_failed,  ///< the server answered with a failure, kept in exchange::failure_
    broken_off,     ///< the caller's connection failed or the caller left
    out_of_time     ///< the time limit passed
};

/// @brief Serves one request that was read from @a caller.
/// @return true when the connection can take another request
[[nodiscard]] task<bool> serve_request(gateway_state& state, std::shared_ptr<caller_socket> caller,
                                       http_request request, time_point arrived);

/// @brief Sends the request to servers until one answers or nothing more may be tried.
[[nodiscard]] task<send_end> try_servers(exchange& current);

/// @brief Text of @a end for log lines and counters.
[[nodiscard]] const char* name_of(send_end end);

/// @brief Sends the request of @a current to @a server and relays the answer.
[[nodiscard]] task<send_end> send_to_server(exchange& current, listed_server server, placement_forecast forecast);

/// @brief Counts a send whose answer did not come whole.
/// @return how the send ended: the caller left, the time limit passed, or the server may have run the request
[[nodiscard]] send_end end_of_lost_send(exchange& current);

/// @brief Copies status and fields of a server's answer, without those that concern its connection.
void copy_head(const exchange& current, const boost::beast::http::response_header<>& from,
               boost::beast::http::response_header<>& to);

/// @brief Relays the events of an answer whose head has been read by @a parser.
/// @param gap longest silence of the server before the send is given up
[[nodiscard]] task<send_end> relay_events(exchange& current, std::shared_ptr<backend_socket> server,
                                          boost::beast::http::response_parser<boost::beast::http::buffer_body>& parser,
                                          milliseconds gap);

/// @brief Sends a whole answer to the caller.
[[nodiscard]] task<send_end> deliver(exchange& current, http_response answer);

/// @brief Answers with this VM's own @a status.
/// @param retry_after when trying again makes sense
[[nodiscard]] task<> answer_ourselves(exchange& current, unsigned status, std::string reason,
                                      std::optional<milliseconds> retry_after);

/// @brief Starts to watch for the caller's close while an answer is awaited.
void watch_caller(exchange& current);

/// @brief True when the request may run on more than one server.
[[nodiscard]] bool may_repeat(const exchange& current);

/// @brief True when a send that has brought nothing may be given up for another one. Otherwise the silence of a server
/// is no reason to end an answer.
[[nodiscard]] bool can_give_up_send(const exchange& current);

/// @brief What the choice of a server for @a current depends on, without its work.
[[nodiscard]] choice_request choice_for(const exchange& current);

/// @brief True when a ready server of the service was not tried yet.
[[nodiscard]] bool has_other_server(const exchange& current);

/// @brief True when no single engine's memory holds the prompt.
[[nodiscard]] bool exceeds_one_engine(const exchange& current);

/// @brief Limits the wait for @a server: until @a give_up if another send is possible then, else until the deadline.
void limit_send(exchange& current, backend_socket& server, time_point give_up);

/// @brief The time that is left for the answer.
[[nodiscard]] milliseconds time_left(const exchange& current);

}  // namespace cornelstall
