#include <algorithm>
#include <charconv>
#include <string_view>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>

#include "connection/answer_reader.hpp"
#include "cornelstall/gateway/process/part_guard.hpp"
#include "cornelstall/gateway/request/exchange.hpp"
#include "request/send_watch.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using answer_parser = http::response_parser<http::buffer_body>;

constexpr event_kind stream_cut{2032, "stream_cut"};

constexpr std::string_view id_field = "id:";
/// A caller that does not accept a chunk within this time has stopped reading.
constexpr milliseconds caller_write_timeout{4000};

/// The value of the last `id` field in @a events, which contains only complete events.
/// @return nothing when there is no such field or its value is not a number
std::optional<std::uint64_t> last_event_id(std::string_view events)
{
    auto position = events.rfind(id_field);
    while (position != std::string_view::npos && position > 0 && events[position - 1] != '\n')
    {
        position = events.rfind(id_field, position - 1);
    }
    if (position == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto digits = events.substr(position + id_field.size());
    digits.remove_prefix(std::min(digits.size(), digits.find_first_not_of(' ')));
    std::uint64_t id = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), id);
    return parsed.ec == std::errc{} ? std::optional(id) : std::nullopt;
}

http::response<http::empty_body> make_chunked_head(exchange& current, const answer_parser& parser)
{
    http::response<http::empty_body> head;
    head.version(11);
    copy_head(current, parser.get(), head);
    head.erase(http::field::content_length);
    head.chunked(true);
    head.keep_alive(current.keep_alive_);
    return head;
}

task<bool> send_head(exchange& current, const answer_parser& parser)
{
    if (current.head_sent_)
    {
        co_return true;
    }
    auto head = make_chunked_head(current, parser);
    current.head_sent_ = true;
    current.answer_status_ = head.result_int();
    http::response_serializer<http::empty_body> serializer(head);
    boost::system::error_code ec;
    set_close_deadline(*current.caller_, std::chrono::steady_clock::now() + caller_write_timeout);
    co_await http::async_write_header(current.caller_->socket_, serializer, redirect_error(use_awaitable, ec));
    clear_close_deadline(*current.caller_);
    co_return !ec;
}

task<bool> send_events(exchange& current, const answer_parser& parser, std::string_view events)
{
    release_silent_sends(current);
    const bool head_sent = co_await send_head(current, parser);
    if (!head_sent)
    {
        co_return false;
    }
    boost::system::error_code ec;
    set_close_deadline(*current.caller_, std::chrono::steady_clock::now() + caller_write_timeout);
    co_await boost::asio::async_write(current.caller_->socket_,
                                      http::make_chunk(boost::asio::buffer(events.data(), events.size())),
                                      redirect_error(use_awaitable, ec));
    clear_close_deadline(*current.caller_);
    co_return !ec;
}

task<bool> send_end_of_stream(exchange& current, const answer_parser& parser)
{
    release_silent_sends(current);
    const bool head_sent = co_await send_head(current, parser);
    if (!head_sent)
    {
        co_return false;
    }
    boost::system::error_code ec;
    set_close_deadline(*current.caller_, std::chrono::steady_clock::now() + caller_write_timeout);
    co_await boost::asio::async_write(current.caller_->socket_, http::make_chunk_last(),
                                      redirect_error(use_awaitable, ec));
    clear_close_deadline(*current.caller_);
    co_return !ec;
}

/// Records the arrival of events and whether the answer has missed its latency target or its gap limit.
void record_event_time(exchange& current)
{
    const auto now = std::chrono::steady_clock::now();
    if (!current.time_to_first_event_)
    {
        record_answer_begun(current.state_, current.parsed_request_.prompt_parts_);
        current.time_to_first_event_ = std::chrono::duration_cast<milliseconds>(now - current.arrived_);
        current.late_ = *current.time_to_first_event_ > current.route_->latency_target_;
    }
    else if (now - current.last_event_at_ > current.route_->max_event_gap_)
    {
        current.late_ = true;
    }
    current.last_event_at_ = now;
}

/// Updates the ratio of actual to predicted pass duration of the server @a id from the gap before an event.
void record_pass_duration(exchange& current, const server_id& id, milliseconds event_gap)
{
    auto& state = current.state_;
    auto* const server = find_server(state.directory_, id);
    const auto engine = state.fleet_load_.engines_.find(id);
    if (server == nullptr || engine == state.fleet_load_.engines_.end())
    {
        return;
    }
    if (const auto predicted_ms = decode_pass_ms(engine->second, *current.service_->engine_))
    {
        record_pass_ratio(*server, static_cast<double>(event_gap.count()) / *predicted_ms);
    }
}

/// Records that the helpers of a joint prefill have prefilled their parts, which the first token implies.
void record_parts_prefilled(gateway_state& state, execution_id key)
{
    std::ranges::for_each(state.local_work_, [&](reported_work& entry) {
        if (entry.work_.key_ == key && entry.work_.is_helper_)
        {
            entry.work_.prefill_left_ = token_count{0};
            record_part_prefilled(state.fleet_load_.engines_[entry.server_], key);
        }
    });
}

/// Updates the load of the engine that generates the answer after events have arrived.
void record_generation_progress(exchange& current, const engine_profile& profile)
{
    auto& state = current.state_;
    const auto own_entry = std::ranges::find_if(state.local_work_, [&current](const reported_work& entry) {
        return entry.work_.key_ == current.send_.execution_id_;
    });
    if (own_entry == state.local_work_.end())
    {
        return;
    }
    auto& work = own_entry->work_;
    record_pass_end(state.fleet_load_.engines_[own_entry->server_], std::chrono::steady_clock::now());
    work.answer_left_ -= token_count{profile.decode_steps_per_pass_};
    work.prefill_left_ = token_count{0};
    work.late_ = current.late_;
    if (!work.generating_)
    {
        work.generating_ = true;
        record_first_token(state.fleet_load_.engines_[own_entry->server_], work.key_, std::chrono::steady_clock::now());
        record_parts_prefilled(state, work.key_);
        state.schedule_load_report_();
    }
}

send_result record_cut_stream(exchange& current, const backend_socket& server)
{
    const auto result = record_incomplete_send(current);
    current.send_.lost_unanswered_ = is_lost_unanswered(current, server);
    if (result != send_result::broken_off)
    {
        const bool timed_out = result == send_result::out_of_time;
        log_event(
            severity::info, stream_cut,
            timed_out ? "the request's time limit passed before the stream ended" : "the server's stream ended early",
            {{"request", current.parsed_request_.id_.get()},
             {"silent", server.expired_ ? "1" : "0"},
             {"parts", text_of(current.parsed_request_.prompt_parts_)},
             {"last_event", current.last_event_id_ ? std::to_string(*current.last_event_id_) : "none"}});
    }
    return result;
}

/// Records that the complete events @a events were sent to the caller.
/// @param first true when they are the first events of this send
void record_delivered_events(exchange& current, std::string_view events, bool first)
{
    const auto id = last_event_id(events);
    current.last_event_id_ = id ? id : current.last_event_id_;
    current.send_.resources_->watch_->begun_ = true;
    const auto event_gap =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - current.last_event_at_);
    record_event_time(current);
    if (!current.service_->engine_)
    {
        return;
    }
    if (!first)
    {
        record_pass_duration(current, current.send_.server_, event_gap);
    }
    record_generation_progress(current, *current.service_->engine_);
}

}  // namespace

task<send_result> relay_events(exchange& current, std::shared_ptr<answer_reader> reader, milliseconds max_silence)
{
    bool any_delivered = false;
    auto silent_at = switch_time(current, max_silence);
    while (!reader->parser_->is_done())
    {
        const auto taken_over = co_await read_or_switch(current, reader, read_events, silent_at);
        if (taken_over)
        {
            co_return *taken_over;
        }
        if (reader->parser_->is_done())
        {
            release_reservations(current);
        }
        const auto last_event_end = reader->events_.rfind(event_end);
        if (last_event_end != std::string::npos)
        {
            const std::string_view events(reader->events_.data(), last_event_end + event_end.size());
            const bool delivered = co_await send_events(current, *reader->parser_, events);
            if (!delivered)
            {
                co_return send_result::broken_off;
            }
            record_delivered_events(current, events, !any_delivered);
            any_delivered = true;
            silent_at = switch_time(current, max_silence);
            reader->events_.erase(0, last_event_end + event_end.size());
        }
        if (reader->failed_)
        {
            co_return record_cut_stream(current, *reader->connection_);
        }
    }
    if (!reader->events_.empty())
    {
        co_return record_cut_stream(current, *reader->connection_);
    }
    const bool end_sent = co_await send_end_of_stream(current, *reader->parser_);
    ++current.possible_runs_;
    co_return end_sent ? send_result::answered : send_result::broken_off;
}

}  // namespace cornelstall
