#include <algorithm>
#include <array>
#include <sstream>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "connection/answer_reader.hpp"
#include "cornelstall/gateway/process/part_guard.hpp"
#include "cornelstall/gateway/process/server_notices.hpp"
#include "cornelstall/gateway/request/exchange.hpp"
#include "cornelstall/runtime/connection/answer_rules.hpp"
#include "request/send_plan.hpp"
#include "request/send_watch.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using answer_parser = http::response_parser<http::buffer_body>;

constexpr event_kind send_withheld{1032, "send_withheld"};
constexpr event_kind answer_unusable{2031, "answer_unusable"};
constexpr event_kind answer_missing{2034, "answer_missing"};

/// Servers are at most a few milliseconds away, and TCP repeats a lost SYN only after 1 s. With this timeout another
/// server can still answer a short prompt within its latency target.
constexpr milliseconds connect_timeout{60};
/// A server counts as silent when the first byte takes longer than the forecast times this factor plus this allowance.
constexpr int forecast_error_factor = 3;
constexpr milliseconds forecast_error_allowance{1500};
/// Servers that are not engines count as silent after this multiple of the latency target.
constexpr int plain_timeout_factor = 4;
/// Another server is tried after this share of the time after which the caller abandons the stream, so that it can
/// still continue the stream.
constexpr double silence_share = 0.85;
/// Upper limit of the time after which another server is tried.
constexpr milliseconds max_silence{4000};
/// Answers that are not relayed as event streams are buffered in memory until they are complete.
/// Longer ones are rejected.
constexpr std::size_t max_plain_answer_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t read_buffer_bytes = 8192;

/// The request to the server; must live until the write has completed.
struct outgoing_request
{
    std::string head_;
    std::shared_ptr<const request_body> body_;
};

http_request make_server_request(const exchange& current, const listed_server& server)
{
    forward_details details;
    details.server_ = server.id_;
    details.organisation_ = current.organisation_;
    details.time_left_ = remaining_time(current);
    details.urgency_ = current.priority_;
    details.helpers_ = current.send_.helpers_;
    details.resume_after_ = current.last_event_id_ ? current.last_event_id_ : current.parsed_request_.resume_after_;
    http_request message = current.request_;
    current.state_.protocol_.write_forward_fields_(details, message);
    message.version(11);
    message.keep_alive(false);
    message.prepare_payload();
    if (const auto size = current.body_->size(); size > 0)
    {
        message.content_length(size);
    }
    return message;
}

/// Starts to write the request. The answer is read meanwhile, because a server may answer before it has read a long
/// body.
void start_sending(const exchange& current, const std::shared_ptr<backend_socket>& server, const http_request& message)
{
    std::ostringstream head;
    head << message.base();
    const auto outgoing = std::make_shared<const outgoing_request>(outgoing_request{head.str(), current.body_});
    auto parts = outgoing->body_->buffers();
    parts.insert(parts.begin(), boost::asio::buffer(outgoing->head_));
    boost::asio::async_write(
        server->socket_, parts,
        [outgoing, server](const boost::system::error_code& failed, std::size_t) { server->write_failed_ = failed; });
}

/// Time after which a server without a first byte counts as silent.
milliseconds max_first_byte_time(const exchange& current, const placement_forecast& forecast)
{
    return current.service_->engine_ ? forecast.first_token_ * forecast_error_factor + forecast_error_allowance
                                     : current.route_->latency_target_ * plain_timeout_factor;
}

/// Time without an event after which the server of a stream counts as silent.
milliseconds silence_limit(const route& matched)
{
    const auto caller_timeout = abandon_timeout(matched.latency_target_, matched.max_event_gap_);
    const milliseconds share{static_cast<std::int64_t>(static_cast<double>(caller_timeout.count()) * silence_share)};
    return std::min(share, max_silence);
}

send_result reject_answer(exchange& current, const listed_server& server, const char* reason_id)
{
    current.state_.metrics_.count("gateway_answers_unusable_total", {{"reason", reason_id}});
    log_event(severity::warning, answer_unusable, reason_id,
              {{"request", current.parsed_request_.id_.get()}, {"server", server.id_.get()}});
    return record_incomplete_send(current);
}

send_result record_missing_answer(exchange& current, const listed_server& server, const backend_socket& connection,
                                  const boost::system::error_code& ec)
{
    const auto result = record_incomplete_send(current);
    current.send_.lost_unanswered_ = is_lost_unanswered(current, connection);
    current.state_.metrics_.count("gateway_answers_missing_total", {{"expired", connection.expired_ ? "1" : "0"}});
    log_event(severity::info, answer_missing, ec.message(),
              {{"request", current.parsed_request_.id_.get()},
               {"server", server.id_.get()},
               {"expired", connection.expired_ ? "1" : "0"},
               {"parts", text_of(current.parsed_request_.prompt_parts_)},
               {"caller_left", current.watch_->disconnected_ ? "1" : "0"}});
    return result;
}

/// Reads the whole body of an answer.
/// @return nothing when the body is truncated, exceeds the size limit or the memory left for buffered answers
task<std::optional<std::string>> read_body(std::shared_ptr<backend_socket> server, answer_parser& parser,
                                           buffer_share& share)
{
    std::string body;
    std::array<char, read_buffer_bytes> read_buffer{};
    while (!parser.is_done() && body.size() < max_plain_answer_bytes && share.grow_to(body.size() + read_buffer_bytes))
    {
        parser.get().body().data = read_buffer.data();
        parser.get().body().size = read_buffer.size();
        boost::system::error_code ec;
        co_await http::async_read(server->socket_, server->buffer_, parser, redirect_error(use_awaitable, ec));
        body.append(read_buffer.data(), read_buffer.size() - parser.get().body().size);
        if (ec && ec != http::error::need_buffer)
        {
            co_return std::nullopt;
        }
    }
    if (!parser.is_done() || is_cut_short(parser, *server))
    {
        co_return std::nullopt;
    }
    co_return body;
}

http_response make_plain_answer(exchange& current, answer_parser& parser, std::string body)
{
    http_response answer;
    copy_head(current, parser.get(), answer);
    if (current.request_.method() != http::verb::head)
    {
        answer.erase(http::field::content_length);
    }
    answer.erase(http::field::transfer_encoding);
    answer.body() = std::move(body);
    return answer;
}

/// True when a faulty server repeats an answer to an earlier request. Nothing that it says holds for this one.
bool answers_another_request(const exchange& current, const server_answer& answer)
{
    return !answer.request_id_.empty() && answer.request_id_ != current.parsed_request_.id_;
}

/// Reason id for rejecting the answer; null when the answer may be relayed.
const char* rejection_reason(const server_answer& answer)
{
    if (answer.body_encoded_)
    {
        return "encoded_body";
    }
    if (!answer.authentic_)
    {
        return "not_genuine";
    }
    return nullptr;
}

/// The server with the id or the address @a name, or null when it is not listed.
known_server* find_by_id_or_address(server_directory& directory, const std::string& name)
{
    const auto found = std::ranges::find_if(directory.servers_, [&name](const auto& entry) {
        return entry.first.get() == name || entry.second.listed_.address_.get() == name;
    });
    return found == directory.servers_.end() ? nullptr : &found->second;
}

/// Records the server that caused the refusal: as failed when its address belongs to another server, otherwise as full.
send_result record_not_run(exchange& current, const listed_server& server, const server_answer& answer)
{
    auto* const known = answer.responsible_server_.empty()
                            ? find_server(current.state_.directory_, server.id_)
                            : find_by_id_or_address(current.state_.directory_, answer.responsible_server_);
    const auto now = std::chrono::steady_clock::now();
    if (known != nullptr && answer.wrong_server_)
    {
        record_failure(*known, now);
    }
    else if (known != nullptr)
    {
        record_full(*known, now);
    }
    current.state_.metrics_.count("gateway_sends_refused_total",
                                  {{"reason", answer.wrong_server_ ? "other_server" : "full"}});
    return send_result::did_not_run;
}

/// Why the request must not be sent to @a server, although it was chosen for it: planning, reserving memory and
/// connecting take time, in which the process may also have been paused. Takes the request from the server's limit.
/// @return a reason id, or null when the request may be sent
const char* reason_not_to_send(const exchange& current, const listed_server& server)
{
    const auto now = std::chrono::steady_clock::now();
    if (!accepts_work(current.state_.directory_, server.id_, server.started_at_ms_, now))
    {
        return "server_left_or_paused";
    }
    const bool helpers_accept = std::ranges::all_of(current.send_.helper_servers_, [&](const listed_server& helper) {
        return accepts_work(current.state_.directory_, helper.id_, helper.started_at_ms_, now);
    });
    if (!helpers_accept)
    {
        return "helper_left_or_paused";
    }
    const bool memory_held = std::ranges::all_of(
        current.send_.leases_, [](const std::shared_ptr<memory_lease>& lease) { return is_held(*lease); });
    if (!memory_held)
    {
        return "memory_expired";
    }
    if (is_part_blocked(current))
    {
        return "prompt_part_blocked";
    }
    if (has_silent_server_resumed(current))
    {
        return "silent_server_resumed";
    }
    if (remaining_time(current).count() <= 0)
    {
        return "time_limit_passed";
    }
    return take_from_limit(current.state_.directory_, server.id_, now) ? nullptr : "server_limited";
}

bool is_server_failure(unsigned status)
{
    return status >= 500;
}

task<send_result> relay_plain(exchange& current, listed_server server, std::shared_ptr<answer_reader> reader,
                              server_answer answer)
{
    // Held until the caller has read the answer.
    const auto share = std::make_shared<buffer_share>(current.state_.answer_buffers_);
    auto body = co_await read_body(reader->connection_, *reader->parser_, *share);
    if (!body)
    {
        co_return reject_answer(current, server, "not_whole");
    }
    close_socket(*reader->connection_);
    release_reservations(current);
    ++current.possible_runs_;
    if (current.head_sent_)
    {
        // Part of a stream has been sent. Only a server that resumes it can complete it.
        co_return send_result::server_failed;
    }
    auto complete_answer = make_plain_answer(current, *reader->parser_, std::move(*body));
    const bool last_attempt = current.possible_runs_ >= current.route_->max_attempts_ && current.silent_sends_.empty();
    if (is_server_failure(answer.status_) && is_retry_safe(current) && !last_attempt)
    {
        current.error_answer_ = std::move(complete_answer);
        current.error_answer_share_ = share;
        co_return send_result::server_failed;
    }
    co_return co_await deliver(current, std::move(complete_answer));
}

task<send_result> relay_answer(exchange& current, listed_server server, std::shared_ptr<answer_reader> reader,
                               time_point sent_at)
{
    const auto answer = current.state_.protocol_.read_answer_(reader->parser_->get());
    if (answers_another_request(current, answer))
    {
        co_return reject_answer(current, server, "answers_another_request");
    }
    apply_notices(current.state_, server, answer);
    if (!answer.wrong_server_ && (answer.authentic_ || answer.did_not_run_))
    {
        apply_limit(current.state_, server, answer.limit_, sent_at);
    }
    if (answer.did_not_run_)
    {
        co_return record_not_run(current, server, answer);
    }
    const char* const rejection = rejection_reason(answer);
    if (rejection != nullptr)
    {
        co_return reject_answer(current, server, rejection);
    }
    constexpr unsigned ok = 200;
    if (current.route_->kind_ != request_kind::streaming || answer.status_ != ok)
    {
        co_return co_await relay_plain(current, server, reader, answer);
    }
    co_return co_await relay_events(current, reader, silence_limit(*current.route_));
}

}  // namespace

bool is_usable_head(const exchange& current, const answer_reader& reader)
{
    const auto answer = current.state_.protocol_.read_answer_(reader.parser_->get());
    constexpr unsigned ok = 200;
    const bool status_fits =
        current.route_->kind_ == request_kind::streaming ? answer.status_ == ok : !is_server_failure(answer.status_);
    return status_fits && is_final(answer.status_) && !answer.did_not_run_ &&
           !answers_another_request(current, answer) && rejection_reason(answer) == nullptr;
}

send_result record_incomplete_send(exchange& current)
{
    if (current.watch_->disconnected_)
    {
        return send_result::broken_off;
    }
    ++current.possible_runs_;
    return remaining_time(current).count() <= 0 ? send_result::out_of_time : send_result::may_have_run;
}

bool is_lost_unanswered(const exchange& current, const backend_socket& connection)
{
    return !connection.expired_ && !current.time_to_first_event_ &&
           current.send_.resources_->watch_->loss_reason_ == nullptr;
}

void copy_head(const exchange& current, const http::response_header<>& from, http::response_header<>& to)
{
    to.result(from.result_int());
    to.reason(from.reason());
    std::ranges::for_each(from,
                          [&to](const auto& field) { to.insert(field.name(), field.name_string(), field.value()); });
    current.state_.protocol_.strip_answer_fields_(to);
}

task<send_result> send_to_server(exchange& current, listed_server server, placement_forecast forecast)
{
    const auto now = std::chrono::steady_clock::now();
    const auto connection = co_await connect_to(current.state_.executor_, server.address_.get(),
                                                std::min(current.deadline_, now + connect_timeout));
    if (current.watch_->disconnected_)
    {
        co_return send_result::broken_off;
    }
    if (!connection)
    {
        if (auto* const known = find_server(current.state_.directory_, server.id_))
        {
            record_failure(*known, std::chrono::steady_clock::now());
        }
        current.state_.metrics_.count("gateway_sends_refused_total", {{"reason", "connect_failed"}});
        co_return send_result::did_not_run;
    }
    if (const char* const reason = reason_not_to_send(current, server))
    {
        close_socket(*connection);
        current.state_.metrics_.count("gateway_sends_refused_total", {{"reason", reason}});
        log_event(severity::info, send_withheld, reason,
                  {{"request", current.parsed_request_.id_.get()}, {"server", server.id_.get()}});
        co_return send_result::did_not_run;
    }
    current.state_.metrics_.observe("gateway_server_list_age_ms", {},
                                    static_cast<double>(server_list_age(current.state_).count()));
    ++current.connected_sends_;
    const auto sent_at = std::chrono::steady_clock::now();
    current.watch_->backend_connection_ = connection;
    set_close_deadline(*connection, current.deadline_);
    start_sending(current, connection, make_server_request(current, server));
    const auto reader = std::make_shared<answer_reader>(connection, current.state_.answer_buffers_,
                                                        current.request_.method() == http::verb::head);
    current.send_.resources_->reader_ = reader;
    watch_send(current.state_, current.send_.resources_);
    auto silent_at = switch_time(current, max_first_byte_time(current, forecast));
    const auto taken_over = co_await read_or_switch(current, reader, read_head, silent_at);
    auto result = taken_over.value_or(send_result::may_have_run);
    if (!taken_over && reader->failed_)
    {
        result = record_missing_answer(current, server, *connection, reader->failed_);
    }
    else if (!taken_over && !is_final(reader->parser_->get().result_int()))
    {
        const bool interim = is_interim(reader->parser_->get().result_int());
        result = reject_answer(current, server, interim ? "interim_only" : "invalid_status");
    }
    else if (!taken_over)
    {
        result = co_await relay_answer(current, server, reader, sent_at);
    }
    clear_close_deadline(*connection);
    close_socket(*connection);
    co_return result;
}

}  // namespace cornelstall
