#include "request/caller.hpp"

#include <algorithm>
#include <limits>
#include <ranges>

#include <boost/asio/redirect_error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "cornelstall/runtime/connection/answer_rules.hpp"

namespace cornelstall::soak
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using clock = std::chrono::steady_clock;
using answer_parser = http::response_parser<http::string_body>;

constexpr milliseconds connect_limit{1000};
/// A caller that got no answer after this long is gone; the promise on time is broken long before.
constexpr milliseconds caller_limit{20'000};
constexpr std::size_t most_requests_on_connection = 12;
constexpr std::size_t longest_pause_ms = 120;
constexpr std::size_t longest_body = 20'000;
/// One request in this many is given up by its caller.
constexpr std::size_t leaving_callers = 25;
constexpr std::size_t longest_stay_ms = 200;
constexpr std::size_t kinds = 4;
/// One resumable generation in this many has a prompt above one server's memory, which several servers read together.
constexpr std::size_t large_prompts = 10;
/// In a soak of planned stops, one request in this many has a body in chunks, and one pause in this many is long.
constexpr std::size_t chunked_bodies = 3;
constexpr std::size_t long_pauses = 3;
constexpr std::int64_t large_prompt_tokens = 600'000;

bool is_stream(call_kind kind)
{
    return kind == call_kind::stream || kind == call_kind::resumable;
}

sent_request draw_request(deployment& all, std::size_t vm)
{
    sent_request drawn;
    drawn.kind_ = static_cast<call_kind>(all.draw(kinds));
    drawn.id_ = "q" + std::to_string(++all.next_request_);
    drawn.key_ = all.keys_[all.draw(all.keys_.size())];
    const bool added = !all.added_routes_.empty() && all.draw(kinds) == 0;
    drawn.kind_ = added ? call_kind::repeatable : drawn.kind_;
    drawn.path_ = (added ? all.added_routes_[all.draw(all.added_routes_.size())] : path_of(drawn.kind_)) + drawn.id_;
    drawn.body_ = "body of " + drawn.id_;
    if (!is_stream(drawn.kind_) && all.draw(8) == 0)
    {
        drawn.body_.append(all.draw(longest_body), 'x');
    }
    if (drawn.kind_ == call_kind::resumable && all.draw(large_prompts) == 0)
    {
        drawn.prompt_tokens_ = large_prompt_tokens;
    }
    drawn.chunked_ = all.settings_.planned_stops_ && all.draw(chunked_bodies) == 0;
    drawn.vm_ = vm;
    drawn.sent_at_ = clock::now();
    return drawn;
}

http::request<http::string_body> message_of(const sent_request& request, const promise_bounds& bounds, int events)
{
    http::request<http::string_body> message(http::verb::post, request.path_, 11);
    message.set(http::field::host, "soak.example");
    message.set(http::field::authorization, "Bearer " + request.key_);
    message.set("Attempt-Id", request.id_);
    message.set("Deadline-Ms", std::to_string(bounds.route_limit_.count()));
    if (is_stream(request.kind_))
    {
        message.set("Model", "m");
        message.set("Token-Counts", std::to_string(request.prompt_tokens_) + "," + std::to_string(events));
        // One part that all prompts share, and one of the request's own, whose id is the digits of the request's.
        constexpr std::int64_t shared_tokens = 40;
        message.set("Prompt-Prefix", "1:" + std::to_string(shared_tokens) + "," + request.id_.substr(1) + ":" +
                                         std::to_string(request.prompt_tokens_ - shared_tokens));
    }
    message.body() = request.body_;
    if (request.chunked_)
    {
        message.chunked(true);
    }
    else
    {
        message.prepare_payload();
    }
    return message;
}

/// A caller abandons a stream after a gap of this length.
milliseconds abandoned_after(const soak_settings& settings)
{
    constexpr milliseconds shortest{2000};
    constexpr milliseconds gap_aim{250};
    return std::max({shortest, 4 * settings.stream_target_, 8 * gap_aim});
}

/// Pause before the next request on a connection; callers reuse one that was idle for up to four fifths of the limit.
milliseconds draw_pause(deployment& all)
{
    const bool is_long = all.settings_.planned_stops_ && all.draw(long_pauses) == 0;
    const auto longest =
        is_long ? static_cast<std::size_t>(all.settings_.idle_limit_.count()) * 4 / 5 : longest_pause_ms;
    return milliseconds{all.draw(longest)};
}

/// True when a read has failed on bytes that are no answer, and not on the end of the connection.
bool is_malformed(const boost::system::error_code& failed)
{
    return failed && failed.category() == http::make_error_code(http::error::bad_status).category() &&
           failed != http::error::end_of_stream && failed != http::error::partial_message;
}

/// Sends @a request on @a connection and notes the answer.
/// @return true when the connection can take another request
task<bool> exchange_on(deployment& all, std::shared_ptr<deadline_socket> connection, sent_request request)
{
    const std::size_t index = all.seen_.requests_.size();
    all.seen_.requests_.push_back(request);
    const auto message = message_of(request, all.settings_.bounds_, all.settings_.events_);
    const bool impatient = all.settings_.planned_stops_ && is_stream(request.kind_);
    const bool leaves = !all.settings_.planned_stops_ && all.draw(leaving_callers) == 0;
    const milliseconds stay = leaves ? milliseconds{all.draw(longest_stay_ms)} : caller_limit;
    set_close_deadline(*connection, clock::now() + stay);
    boost::system::error_code failed;
    co_await http::async_write(connection->socket_, message, redirect_error(use_awaitable, failed));
    if (!failed)
    {
        all.seen_.requests_[index].last_byte_at_ = clock::now();
    }
    // A failed write may follow an early answer. Errors of the read leave what has arrived in the parser.
    connection->write_failed_ = failed;
    answer_parser parser;
    if (impatient)
    {
        set_close_deadline(*connection, clock::now() + abandoned_after(all.settings_));
    }
    failed = co_await receive_answer_head(connection->socket_, connection->buffer_, parser);
    while (!failed && !parser.is_done())
    {
        if (impatient)
        {
            set_close_deadline(*connection, clock::now() + abandoned_after(all.settings_));
        }
        co_await http::async_read_some(connection->socket_, connection->buffer_, parser,
                                       redirect_error(use_awaitable, failed));
        failed = failed == http::error::need_buffer ? boost::system::error_code{} : failed;
    }
    auto& seen = all.seen_.requests_[index];
    seen.ended_at_ = clock::now();
    seen.left_ = connection->expired_;
    seen.status_ = parser.is_header_done() ? parser.get().result_int() : 0;
    seen.whole_ = parser.is_done() && !is_cut_short(parser, *connection);
    seen.malformed_ = is_malformed(failed) || (parser.is_header_done() && !is_final(parser.get().result_int()));
    seen.answer_ = parser.get().body();
    seen.seal_ = std::string(parser.get()["Response-Seal"]);
    co_return !failed && parser.get().keep_alive();
}

/// A VM in rotation, or any when none is.
std::size_t choose_vm(deployment& all)
{
    std::vector<std::size_t> open;
    for (std::size_t index = 0; index < all.vms_.size(); ++index)
    {
        if (all.vms_[index].in_rotation_)
        {
            open.push_back(index);
        }
    }
    return open.empty() ? all.draw(all.vms_.size()) : open[all.draw(open.size())];
}

task<> use_connection(deployment& all, std::size_t vm, std::size_t requests)
{
    // Without the proxy, callers see the end of a process and of its connections at once.
    const auto address = all.settings_.planned_stops_ ? all.vms_[vm].listen_ : all.vms_[vm].front_->address();
    const auto connection = co_await connect_to(all.executor_, address.get(), clock::now() + connect_limit);
    bool open = connection != nullptr;
    while (open && requests > 0)
    {
        --requests;
        open = co_await exchange_on(all, connection, draw_request(all, vm));
        clear_close_deadline(*connection);
        co_await sleep_for(draw_pause(all));
        open = open && !(all.settings_.planned_stops_ && all.ending_);
    }
}

}  // namespace

task<> call_until_end(deployment& all)
{
    while (!all.ending_)
    {
        const auto vm = choose_vm(all);
        const auto requests = all.settings_.planned_stops_ ? std::numeric_limits<std::size_t>::max()
                                                           : 1 + all.draw(most_requests_on_connection);
        co_await use_connection(all, vm, requests);
        co_await sleep_for(milliseconds{all.draw(longest_pause_ms)});
    }
}

task<> call_each_vm(deployment& all)
{
    for (std::size_t vm = 0; vm < all.vms_.size(); ++vm)
    {
        co_await use_connection(all, vm, kinds);
    }
}

}  // namespace cornelstall::soak
