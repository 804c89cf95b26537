#include "cornelstall/runtime/connection/caller_connection.hpp"

#include <algorithm>
#include <atomic>
#include <vector>

namespace cornelstall
{

namespace
{

constexpr std::size_t read_block_bytes = 65'536;
constexpr milliseconds slow_caller_pause{20};
constexpr int ms_per_second = 1000;

[[noreturn]] void refuse_large(byte_count limit)
{
    throw request_error(115, refusal_reason::body_too_large, outcome::did_not_run,
                        "the body is larger than " + std::to_string(limit.get()) +
                            " bytes; shorten it or ask the operators to raise limits.max_body_bytes");
}

/// Sends @a response and notes in @a sent when the caller turns out to have gone.
template <class SentState>
void send(const web::http::http_request& request, const web::http::http_response& response,
          const std::shared_ptr<SentState>& sent)
{
    request.reply(response).then([sent](const pplx::task<void>& ended) {
        try
        {
            ended.get();
        }
        catch (const std::exception&)
        {
            sent->gone_ = true;
        }
    });
}

}  // namespace

/// Set from the library's threads.
struct caller_connection::sent_state
{
    std::atomic<bool> gone_{false};
};

caller_connection::caller_connection(const web::http::http_request& request)
    : request_(request), sent_(std::make_shared<sent_state>())
{}

std::string caller_connection::header(const std::string& name) const
{
    const auto found = request_.headers().find(name);
    return found == request_.headers().end() ? std::string{} : found->second;
}

std::string caller_connection::method() const
{
    return request_.method();
}

std::string caller_connection::path() const
{
    return web::uri::decode(request_.relative_uri().path());
}

std::string caller_connection::path_and_query() const
{
    return request_.relative_uri().resource().to_string();
}

task<std::string> caller_connection::read_body(byte_count limit, milliseconds time)
{
    const auto announced = request_.headers().content_length();
    if (announced > limit.get())
    {
        refuse_large(limit);
    }
    const auto deadline = std::chrono::steady_clock::now() + time;
    std::string body;
    body.reserve(static_cast<std::size_t>(announced));
    auto source = request_.body().streambuf();
    for (;;)
    {
        // The block is shared because a read that timed out may still complete later.
        const auto block = std::make_shared<std::vector<std::uint8_t>>(read_block_bytes);
        auto pending = source.getn(block->data(), block->size()).then([block](std::size_t count) { return count; });
        const auto ended =
            co_await await_task_for(std::move(pending), remaining_until(deadline, std::chrono::steady_clock::now()));
        if (!ended)
        {
            throw request_error(
                116, refusal_reason::slow_sender, outcome::did_not_run,
                "the body did not arrive within " + std::to_string(time.count()) + " ms; send it faster or shorten it");
        }
        const auto count = ended->get();
        if (count == 0)
        {
            co_return body;
        }
        if (body.size() + count > limit.get())
        {
            refuse_large(limit);
        }
        body.append(block->begin(), block->begin() + static_cast<std::ptrdiff_t>(count));
    }
}

void caller_connection::reply(int status, std::string body, const std::string& content_type,
                              std::optional<milliseconds> retry_after)
{
    if (replied_)
    {
        return;
    }
    replied_ = true;
    web::http::http_response response(static_cast<web::http::status_code>(status));
    response.set_body(std::move(body), content_type);
    if (retry_after)
    {
        const auto seconds = (retry_after->count() + ms_per_second - 1) / ms_per_second;
        response.headers().add("Retry-After", std::max<std::int64_t>(1, seconds));
    }
    send(request_, response, sent_);
}

void caller_connection::start_stream()
{
    if (replied_)
    {
        return;
    }
    replied_ = true;
    streaming_ = true;
    web::http::http_response response(web::http::status_codes::OK);
    response.headers().add("Cache-Control", "no-cache");
    response.set_body(body_.create_istream(), "text/event-stream");
    send(request_, response, sent_);
}

bool caller_connection::streaming() const noexcept
{
    return streaming_;
}

task<bool> caller_connection::write(std::string text, time_point deadline)
{
    while (body_.in_avail() > max_unsent_bytes && !gone())
    {
        if (std::chrono::steady_clock::now() >= deadline)
        {
            co_return false;
        }
        co_await sleep_for(slow_caller_pause);
    }
    if (gone())
    {
        co_return false;
    }
    // The buffer copies the bytes; both calls return ended tasks and do not block.
    body_.putn_nocopy(reinterpret_cast<const std::uint8_t*>(text.data()), text.size()).wait();  // NOLINT: bytes
    body_.sync().wait();
    co_return true;
}

void caller_connection::end_stream()
{
    body_.close(std::ios_base::out).wait();
}

bool caller_connection::gone() const noexcept
{
    return sent_->gone_;
}

}  // namespace cornelstall
