#include "cornelstall/runtime/connection/engine_stream.hpp"

#include <algorithm>
#include <array>

#include <cpprest/http_client.h>

#include "cornelstall/runtime/connection/http_call.hpp"

namespace cornelstall
{

namespace
{

constexpr int status_ok = 200;
constexpr std::size_t read_buffer_bytes = 16'384;
constexpr milliseconds first_cancel_pause{100};
constexpr milliseconds longest_cancel_pause{2000};
constexpr milliseconds cancel_call_timeout{1000};

}  // namespace

struct engine_stream::connection
{
    explicit connection(const socket_address& engine, const web::http::client::http_client_config& config)
        : url_("http://" + engine.get()), client_(url_, config)
    {}

    std::string url_;
    web::http::client::http_client client_;
    pplx::cancellation_token_source cancel_;
    concurrency::streams::streambuf<std::uint8_t> body_;
    event_splitter splitter_;
    std::array<std::uint8_t, read_buffer_bytes> buffer_{};
};

namespace
{

web::http::client::http_client_config stream_config()
{
    web::http::client::http_client_config config;
    // Silence is judged by this class; the library's own timeout is only a last resort.
    config.set_timeout(std::chrono::hours{1});
    return config;
}

}  // namespace

engine_stream::engine_stream(const socket_address& engine)
    : connection_(std::make_shared<connection>(engine, stream_config()))
{}

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
    connection_->cancel_.cancel();
}

task<std::optional<engine_refusal>> engine_stream::open(std::string path, std::string body, milliseconds limit)
{
    const auto state = connection_;
    web::http::http_request request(web::http::methods::POST);
    request.set_request_uri(path);
    request.set_body(std::move(body), "application/json");
    auto pending = state->client_.request(request, state->cancel_.get_token());
    // The continuation keeps the connection alive until the library has let go of it.
    pending.then([state](const pplx::task<web::http::http_response>& ended) { detail::observe(ended); });
    const auto ended = co_await await_task_for(pending, limit);
    if (!ended)
    {
        close();
        throw connection_error(http_timed_out, "engine " + state->url_ + " did not answer in time");
    }
    web::http::http_response response;
    try
    {
        response = ended->get();
    }
    catch (const web::http::http_exception& problem)
    {
        const auto& code = problem.error_code();
        const bool connected = code != std::errc::connection_refused && code != std::errc::host_unreachable;
        throw connection_error(connected ? http_cut : http_connect_failed,
                               "connection to engine " + state->url_ + " failed: " + problem.what());
    }
    if (response.status_code() != status_ok)
    {
        const auto text = co_await await_task_for(response.extract_utf8string(true), stream_silence_limit);
        const std::string refusal = text ? text->get() : std::string{};
        co_return engine_refusal{response.status_code(), decode_error_code(refusal), refusal};
    }
    state->body_ = response.body().streambuf();
    co_return std::nullopt;
}

task<std::vector<engine_event>> engine_stream::next(milliseconds limit)
{
    const auto state = connection_;
    const auto cut = [&state] {
        return connection_error(stream_cut, "engine " + state->url_ + " closed the stream before its end mark");
    };
    std::size_t count = 0;
    try
    {
        // One byte is awaited; what arrived with it is taken without another wait.
        auto first = co_await await_task_for(state->body_.bumpc(), limit);
        if (!first)
        {
            close();
            throw connection_error(stream_silent, "engine " + state->url_ + " has been silent for " +
                                                      std::to_string(limit.count()) + " ms");
        }
        const auto byte = first->get();
        if (byte == concurrency::streams::streambuf<std::uint8_t>::traits::eof())
        {
            throw cut();
        }
        state->buffer_[0] = static_cast<std::uint8_t>(byte);
        const auto available = std::min(state->body_.in_avail(), read_buffer_bytes - 1);
        count = 1;
        if (available > 0)
        {
            count += co_await await_task(state->body_.getn(state->buffer_.data() + 1, available));
        }
    }
    catch (const web::http::http_exception&)
    {
        throw cut();
    }
    catch (const std::system_error&)
    {
        throw cut();
    }
    const auto* const text = reinterpret_cast<const char*>(state->buffer_.data());  // NOLINT: bytes are UTF-8 text
    const auto data = split_events(state->splitter_, std::string_view(text, count));
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
