#include <algorithm>
#include <array>
#include <limits>

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "cornelstall/gateway/request/exchange.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using answer_parser = http::response_parser<http::buffer_body>;

constexpr event_kind answer_unusable{2031, "answer_unusable"};
constexpr event_kind answer_missing{2034, "answer_missing"};

/// Servers are at most a few milliseconds away, and a lost opening packet is sent again only after a second. Another
/// server can then still answer a short prompt in time.
constexpr milliseconds connect_limit{60};
/// A forecast may be off by this factor and this time before a send that may be repeated is given up.
constexpr int forecast_margin = 3;
constexpr milliseconds forecast_slack{1500};
/// Plain calls that may be repeated are given up after this many times their goal.
constexpr int plain_goals = 4;
/// A silent server is left before the caller gives up, and after this long at most.
constexpr double patience_share = 0.85;
constexpr milliseconds longest_silence{4000};
/// Plain answers are kept whole in memory until they are known to be complete.
constexpr std::size_t largest_plain_answer = std::size_t{8} * 1024 * 1024;
constexpr std::size_t read_bytes = 8192;

/// The message to the server, alive until its last byte has been written.
struct outgoing
{
    explicit outgoing(http_request message) : message_(std::move(message)), serializer_(message_) {}

    http_request message_;
    http::request_serializer<http::string_body> serializer_;
    bool written_ = false;
};

http_request message_for(const exchange& current, const listed_server& server)
{
    forward_details details;
    details.server_ = server.id_;
    details.organisation_ = current.organisation_;
    details.time_left_ = time_left(current);
    details.urgency_ = current.priority_;
    details.helpers_ = current.helpers_;
    details.resume_after_ = current.last_event_ ? current.last_event_ : current.facts_.resume_after_;
    http_request message = current.request_;
    current.state_.protocol_.write_forward_fields_(details, message);
    message.version(11);
    message.keep_alive(false);
    message.prepare_payload();
    return message;
}

/// Writes while the answer is awaited: a server may answer before it has read a long body.
std::shared_ptr<outgoing> start_writing(const std::shared_ptr<backend_socket>& server, http_request message)
{
    auto sent = std::make_shared<outgoing>(std::move(message));
    http::async_write(server->socket_, sent->serializer_,
                      [sent, server](const boost::system::error_code& failed, std::size_t) {
                          // Reading the answer reports a connection that failed.
                          sent->written_ = !failed;
                      });
    return sent;
}

/// When a send that may be repeated is given up for want of a first byte.
time_point first_byte_deadline(const exchange& current, const placement_forecast& forecast)
{
    const auto patience = current.service_->engine_ ? forecast.first_token_ * forecast_margin + forecast_slack
                                                    : current.route_->latency_target_ * plain_goals;
    return std::chrono::steady_clock::now() + patience;
}

milliseconds silence_limit(const route& matched)
{
    const auto patience = abandon_timeout(matched.latency_target_, matched.max_event_gap_);
    const milliseconds share{static_cast<std::int64_t>(static_cast<double>(patience.count()) * patience_share)};
    return std::min(share, longest_silence);
}

send_end refuse_answer(exchange& current, const listed_server& server, const char* why)
{
    current.state_.metrics_.count("gateway_answers_unusable_total", {{"reason", why}});
    log_event(severity::warning, answer_unusable, why,
              {{"request", current.facts_.id_.get()}, {"server", server.id_.get()}});
    return end_of_lost_send(current);
}

send_end end_without_answer(exchange& current, const listed_server& server, const backend_socket& connection,
                            const boost::system::error_code& failed)
{
    const auto end = end_of_lost_send(current);
    current.state_.metrics_.count("gateway_answers_missing_total", {{"expired", connection.expired_ ? "1" : "0"}});
    log_event(severity::info, answer_missing, failed.message(),
              {{"request", current.facts_.id_.get()},
               {"server", server.id_.get()},
               {"expired", connection.expired_ ? "1" : "0"},
               {"caller_left", current.watch_->left_ ? "1" : "0"}});
    return end;
}

/// Reads the body of an answer to its end.
/// @return nothing when the answer is not whole
task<std::optional<std::string>> read_body(std::shared_ptr<backend_socket> server, answer_parser& parser)
{
    std::string body;
    std::array<char, read_bytes> bytes{};
    while (!parser.is_done() && body.size() < largest_plain_answer)
    {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        boost::system::error_code failed;
        co_await http::async_read(server->socket_, server->buffer_, parser, redirect_error(use_awaitable, failed));
        body.append(bytes.data(), bytes.size() - parser.get().body().size);
        if (failed && failed != http::error::need_buffer)
        {
            co_return std::nullopt;
        }
    }
    if (!parser.is_done())
    {
        co_return std::nullopt;
    }
    co_return body;
}

http_response plain_answer(exchange& current, answer_parser& parser, std::string body)
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

/// Why the head of an answer cannot be passed on; null when it can.
const char* fault_of(const exchange& current, const server_answer& answer)
{
    if (!answer.request_id_.empty() && answer.request_id_ != current.facts_.id_)
    {
        return "answers_another_request";
    }
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

/// The server with the id or the address @a name.
known_server* find_named(server_directory& directory, const std::string& name)
{
    const auto found = std::ranges::find_if(directory.servers_, [&name](const auto& entry) {
        return entry.first.get() == name || entry.second.listed_.address_.get() == name;
    });
    return found == directory.servers_.end() ? nullptr : &found->second;
}

send_end note_not_run(exchange& current, const listed_server& server, const server_answer& answer)
{
    auto* const known = answer.responsible_server_.empty()
                            ? find_server(current.state_.directory_, server.id_)
                            : find_named(current.state_.directory_, answer.responsible_server_);
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
    return send_end::did_not_run;
}

bool is_server_failure(unsigned status)
{
    return status >= 500;
}

task<send_end> relay_plain(exchange& current, listed_server server, std::shared_ptr<backend_socket> connection,
                           answer_parser& parser, server_answer answer)
{
    auto body = co_await read_body(connection, parser);
    if (!body)
    {
        co_return refuse_answer(current, server, "not_whole");
    }
    close_socket(*connection);
    ++current.possible_runs_;
    auto whole = plain_answer(current, parser, std::move(*body));
    const bool last = current.possible_runs_ >= current.route_->max_attempts_;
    if (is_server_failure(answer.status_) && may_repeat(current) && !last)
    {
        current.failure_ = std::move(whole);
        co_return send_end::server_failed;
    }
    co_return co_await deliver(current, std::move(whole));
}

task<send_end> relay_answer(exchange& current, listed_server server, std::shared_ptr<backend_socket> connection,
                            answer_parser& parser)
{
    const auto answer = current.state_.protocol_.read_answer_(parser.get());
    if (answer.did_not_run_)
    {
        co_return note_not_run(current, server, answer);
    }
    const char* const fault = fault_of(current, answer);
    if (fault != nullptr)
    {
        co_return refuse_answer(current, server, fault);
    }
    constexpr unsigned ok = 200;
    if (current.route_->kind_ != request_kind::streaming || answer.status_ != ok)
    {
        co_return co_await relay_plain(current, server, connection, parser, answer);
    }
    co_return co_await relay_events(current, connection, parser, silence_limit(*current.route_));
}

}  // namespace

send_end end_of_lost_send(exchange& current)
{
    if (current.watch_->left_)
    {
        return send_end::broken_off;
    }
    ++current.possible_runs_;
    return time_left(current).count() <= 0 ? send_end::out_of_time : send_end::may_have_run;
}

void copy_head(const exchange& current, const http::response_header<>& from, http::response_header<>& to)
{
    to.result(from.result_int());
    to.reason(from.reason());
    std::ranges::for_each(from,
                          [&to](const auto& field) { to.insert(field.name(), field.name_string(), field.value()); });
    current.state_.protocol_.strip_answer_fields_(to);
}

task<send_end> send_to_server(exchange& current, listed_server server, placement_forecast forecast)
{
    const auto now = std::chrono::steady_clock::now();
    const auto connection = co_await connect_to(current.state_.executor_, server.address_.get(),
                                                std::min(current.deadline_, now + connect_limit));
    if (current.watch_->left_)
    {
        co_return send_end::broken_off;
    }
    if (!connection)
    {
        if (auto* const known = find_server(current.state_.directory_, server.id_))
        {
            record_failure(*known, std::chrono::steady_clock::now());
        }
        current.state_.metrics_.count("gateway_sends_refused_total", {{"reason", "connect_failed"}});
        co_return send_end::did_not_run;
    }
    ++current.arrivals_;
    current.watch_->active_ = connection;
    limit_send(current, *connection, first_byte_deadline(current, forecast));
    const auto sent = start_writing(connection, message_for(current, server));
    answer_parser parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.skip(current.request_.method() == http::verb::head);
    boost::system::error_code failed;
    co_await http::async_read_header(connection->socket_, connection->buffer_, parser,
                                     redirect_error(use_awaitable, failed));
    auto end = send_end::may_have_run;
    if (failed)
    {
        end = end_without_answer(current, server, *connection, failed);
    }
    else
    {
        set_close_deadline(*connection, current.deadline_);
        end = co_await relay_answer(current, server, connection, parser);
    }
    clear_close_deadline(*connection);
    close_socket(*connection);
    co_return end;
}

}  // namespace cornelstall
