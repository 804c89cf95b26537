#include "cornelstall/runtime/connection/engine_stream.hpp"

#include <algorithm>
#include <array>

#include "connection/server_connection.hpp"
#include "cornelstall/runtime/connection/http_call.hpp"

namespace cornelstall
{

namespace
{

namespace http = boost::beast::http;
using clock = std::chrono::steady_clock;

constexpr int status_ok = 200;
constexpr unsigned http_1_1 = 11;
constexpr std::size_t read_buffer_bytes = 16'384;
constexpr milliseconds first_cancel_pause{100};
constexpr milliseconds longest_cancel_pause{2000};
constexpr milliseconds cancel_call_timeout{1000};

}  // namespace

struct engine_stream::connection
{
    explicit connection(const socket_address& engine) : url_("http://" + engine.get()) {}

    std::string url_;
    std::shared_ptr<server_connection> server_;  ///< null until the connection is established
    event_splitter splitter_;
    std::array<char, read_buffer_bytes> buffer_{};
};

engine_stream::engine_stream(const socket_address& engine) : connection_(std::make_shared<connection>(engine)) {}

engine_stream::~engine_stream()
{
    if (connection_)
    {
        close();
    }
}

engine_stream::engine_stream(engine_stream&&) noexcept = default;
engine_stream& engine_stream::operator=(engine_stream&&) noexcept = default;

void engine_stream::close()
{
    if (connection_->server_)
    {
        clear_close_deadline(*connection_->server_->transport_);
        close_socket(*connection_->server_->transport_);
    }
}

task<std::optional<engine_refusal>> engine_stream::open(std::string path, std::string body, milliseconds limit)
{
    const auto state = connection_;
    state->server_ = co_await connect_to_server(state->url_, clock::now() + limit);
    http::request<http::string_body> request(http::verb::post, path, http_1_1);
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    start_sending(state->server_, std::move(request));
    co_await receive_head(state->server_);
    const auto status = static_cast<int>(state->server_->answer_->get().result_int());
    if (status == status_ok)
    {
        clear_close_deadline(*state->server_->transport_);
        co_return std::nullopt;
    }
    set_close_deadline(*state->server_->transport_, clock::now() + stream_silence_limit);
    std::string refusal;
    auto size = co_await receive_body(state->server_, state->buffer_);
    while (size > 0)
    {
        refusal.append(state->buffer_.data(), size);
        size = co_await receive_body(state->server_, state->buffer_);
    }
    co_return engine_refusal{status, decode_error_code(refusal), refusal};
}

task<std::vector<engine_event>> engine_stream::next(milliseconds limit)
{
    const auto state = connection_;
    auto& transport = *state->server_->transport_;
    set_close_deadline(transport, clock::now() + limit);
    std::size_t size = 0;
    try
    {
        size = co_await receive_body(state->server_, state->buffer_);
    }
    catch (const connection_error& problem)
    {
        if (problem.id() == http_timed_out)
        {
            throw connection_error(stream_silent, "engine " + state->url_ + " has been silent for " +
                                                      std::to_string(limit.count()) + " ms");
        }
    }
    clear_close_deadline(transport);
    if (size == 0)
    {
        throw connection_error(stream_cut, "engine " + state->url_ + " closed the stream before its end mark");
    }
    const auto data = split_events(state->splitter_, std::string_view(state->buffer_.data(), size));
    std::vector<engine_event> events;
    std::ranges::transform(data, std::back_inserter(events), decode_engine_event);
    co_return events;
}

task<bool> cancel_at_engine(socket_address engine, request_id request, attempt_number attempt, milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    auto pause = first_cancel_pause;
    while (std::chrono::steady_clock::now() < deadline)
    {
        try
        {
            http_call call;
            call.method_ = "POST";
            call.base_url_ = "http://" + engine.get();
            call.path_ = "/v1/requests/" + request.get() + "/cancel";
            call.body_ = "{\"attempt\":" + std::to_string(attempt.get()) + "}";
            call.timeout_ = cancel_call_timeout;
            const auto answer = co_await make_call(std::move(call));
            if (answer.status_ == status_ok)
            {
                co_return true;
            }
        }
        catch (const connection_error&)
        {
            // The next round tries again on a new connection.
        }
        co_await sleep_for(pause);
        pause = std::min(pause * 2, longest_cancel_pause);
    }
    co_return false;
}

}  // namespace cornelstall
