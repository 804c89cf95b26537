#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
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

constexpr event_kind stream_cut{2032, "stream_cut"};

constexpr std::size_t read_bytes = 4096;
constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id:";
/// A caller that takes no event for this long has stopped reading.
constexpr milliseconds caller_write_limit{4000};
/// An event that grows beyond this is no event.
constexpr std::size_t largest_event = 1U << 20U;

/// The id of the last event in @a events, which are whole.
std::optional<std::uint64_t> last_id(std::string_view events)
{
    auto at = events.rfind(id_field);
    while (at != std::string_view::npos && at > 0 && events[at - 1] != '\n')
    {
        at = events.rfind(id_field, at - 1);
    }
    if (at == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto digits = events.substr(at + id_field.size());
    digits.remove_prefix(std::min(digits.size(), digits.find_first_not_of(' ')));
    std::uint64_t id = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), id);
    return parsed.ec == std::errc{} ? std::optional(id) : std::nullopt;
}

http::response<http::empty_body> head_for(exchange& current, const answer_parser& parser)
{
    http::response<http::empty_body> head;
    head.version(11);
    copy_head(current, parser.get(), head);
    head.erase(http::field::content_length);
    head.chunked(true);
    head.keep_alive(current.keep_caller_);
    return head;
}

task<bool> send_head(exchange& current, const answer_parser& parser)
{
    if (current.head_sent_)
    {
        co_return true;
    }
    auto head = head_for(current, parser);
    current.head_sent_ = true;
    current.answer_status_ = head.result_int();
    http::response_serializer<http::empty_body> serializer(head);
    boost::system::error_code failed;
    co_await http::async_write_header(current.caller_->socket_, serializer, redirect_error(use_awaitable, failed));
    co_return !failed;
}

task<bool> send_events(exchange& current, const answer_parser& parser, std::string_view events)
{
    const bool head_out = co_await send_head(current, parser);
    if (!head_out)
    {
        co_return false;
    }
    boost::system::error_code failed;
    set_close_deadline(*current.caller_, std::chrono::steady_clock::now() + caller_write_limit);
    co_await boost::asio::async_write(current.caller_->socket_,
                                      http::make_chunk(boost::asio::buffer(events.data(), events.size())),
                                      redirect_error(use_awaitable, failed));
    clear_close_deadline(*current.caller_);
    co_return !failed;
}

task<bool> send_end_of_stream(exchange& current, const answer_parser& parser)
{
    const bool head_out = co_await send_head(current, parser);
    if (!head_out)
    {
        co_return false;
    }
    boost::system::error_code failed;
    co_await boost::asio::async_write(current.caller_->socket_, http::make_chunk_last(),
                                      redirect_error(use_awaitable, failed));
    co_return !failed;
}

/// Keeps the time of the first event and whether the answer is still in time.
void note_event_time(exchange& current)
{
    const auto now = std::chrono::steady_clock::now();
    if (!current.first_event_after_)
    {
        current.first_event_after_ = std::chrono::duration_cast<milliseconds>(now - current.arrived_);
        current.late_ = *current.first_event_after_ > current.route_->latency_target_;
    }
    else if (now - current.last_event_at_ > current.route_->max_event_gap_)
    {
        current.late_ = true;
    }
    current.last_event_at_ = now;
}

/// Learns the pace of the server from the pause before an event.
void learn_pace(exchange& current, const server_id& id, milliseconds pause)
{
    auto& state = current.state_;
    auto* const server = find_server(state.directory_, id);
    const auto engine = state.fleet_load_.engines_.find(id);
    if (server == nullptr || engine == state.fleet_load_.engines_.end())
    {
        return;
    }
    if (const auto expected = decode_pass_ms(engine->second, *current.service_->engine_))
    {
        record_pass_ratio(*server, static_cast<double>(pause.count()) / *expected);
    }
}

/// The engines that helped have read their parts of the prompt when the first token comes.
void note_parts_read(gateway_state& state, execution_id key)
{
    std::ranges::for_each(state.local_work_, [&](reported_work& entry) {
        if (entry.work_.key_ == key && entry.work_.is_helper_)
        {
            entry.work_.prefill_left_ = token_count{0};
            record_part_prefilled(state.fleet_load_.engines_[entry.server_], key);
        }
    });
}

void note_generating(exchange& current, const engine_profile& profile)
{
    auto& state = current.state_;
    const auto own = std::ranges::find_if(
        state.local_work_, [&current](const reported_work& entry) { return entry.work_.key_ == current.running_; });
    if (own == state.local_work_.end())
    {
        return;
    }
    auto& work = own->work_;
    record_pass_end(state.fleet_load_.engines_[own->server_], std::chrono::steady_clock::now());
    work.answer_left_ -= token_count{profile.decode_steps_per_pass_};
    work.prefill_left_ = token_count{0};
    work.late_ = current.late_;
    if (!work.generating_)
    {
        work.generating_ = true;
        record_first_token(state.fleet_load_.engines_[own->server_], work.key_, std::chrono::steady_clock::now());
        note_parts_read(state, work.key_);
        state.schedule_load_report_();
    }
}

send_end end_of_cut_stream(exchange& current, const backend_socket& server)
{
    const auto end = end_of_lost_send(current);
    if (end != send_end::broken_off)
    {
        const bool late = end == send_end::out_of_time;
        log_event(severity::info, stream_cut, late ? "the time limit passed" : "the server's stream ended early",
                  {{"request", current.facts_.id_.get()},
                   {"silent", server.expired_ ? "1" : "0"},
                   {"last_event", current.last_event_ ? std::to_string(*current.last_event_) : "none"}});
    }
    return end;
}

/// Notes that the whole events @a events were delivered; @a first when they are the first of this send.
void note_delivered(exchange& current, std::string_view events, bool first)
{
    const auto id = last_id(events);
    current.last_event_ = id ? id : current.last_event_;
    const auto pause =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - current.last_event_at_);
    note_event_time(current);
    if (!current.service_->engine_)
    {
        return;
    }
    if (!first)
    {
        learn_pace(current, current.tried_.back(), pause);
    }
    note_generating(current, *current.service_->engine_);
}

}  // namespace

task<send_end> relay_events(exchange& current, std::shared_ptr<backend_socket> server, answer_parser& parser,
                            milliseconds gap)
{
    std::string pending;
    std::array<char, read_bytes> bytes{};
    bool any = false;
    while (!parser.is_done())
    {
        if (any)
        {
            limit_send(current, *server, std::chrono::steady_clock::now() + gap);
        }
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        boost::system::error_code failed;
        co_await http::async_read_some(server->socket_, server->buffer_, parser, redirect_error(use_awaitable, failed));
        pending.append(bytes.data(), bytes.size() - parser.get().body().size);
        const bool lost = failed && failed != http::error::need_buffer;
        const auto whole = pending.rfind(event_end);
        if (whole != std::string::npos)
        {
            const std::string_view events(pending.data(), whole + event_end.size());
            const bool delivered = co_await send_events(current, parser, events);
            if (!delivered)
            {
                co_return send_end::broken_off;
            }
            note_delivered(current, events, !any);
            any = true;
            pending.erase(0, whole + event_end.size());
        }
        if (lost || pending.size() > largest_event)
        {
            co_return end_of_cut_stream(current, *server);
        }
    }
    if (!pending.empty())
    {
        co_return end_of_cut_stream(current, *server);
    }
    const bool ended = co_await send_end_of_stream(current, parser);
    ++current.possible_runs_;
    co_return ended ? send_end::answered : send_end::broken_off;
}

}  // namespace cornelstall
