#include "process/host.hpp"

#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cornelstall::standins::detail
{

namespace
{

socket_address address_of(const tcp::acceptor& acceptor)
{
    const tcp::endpoint endpoint = acceptor.local_endpoint();
    return socket_address{endpoint.address().to_string() + ":" + std::to_string(endpoint.port())};
}

}  // namespace

host::host(const socket_address& address) : acceptor_(listen_on(context_, address)), address_(address_of(acceptor_)) {}

host::~host()
{
    stop();
}

void host::start(call_handler handler)
{
    const auto counted = [this, handler = std::move(handler)](exchange& current) -> awaitable<void> {
        return answer(current, handler);
    };
    boost::asio::co_spawn(context_, accept_connections(std::move(acceptor_), counted, faults_.silence_epoch_),
                          boost::asio::detached);
    thread_ = std::thread([this] { context_.run(); });
}

void host::stop()
{
    context_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

awaitable<void> host::answer(exchange& current, const call_handler& handler)
{
    const http_call& call = current.call();
    if (call.path_.starts_with("/control/"))
    {
        co_await answer_control(current);
        co_return;
    }
    const std::string name = call.method_ + " " + call.path_;
    counters_.add("read");
    if (on_read_)
    {
        on_read_(call);
    }
    if (name.starts_with(faults_.match_))
    {
        if (faults_.outage_)
        {
            counters_.add("outage");
            co_await current.refuse(http_status::unavailable, "outage", "the service is down; try again later");
            co_return;
        }
        if (use_fault(faults_.silent_calls_))
        {
            counters_.add("silent");
            co_await current.stay_silent();
            co_return;
        }
        if (faults_.delay_ > milliseconds{0})
        {
            boost::asio::steady_timer delay{context_, faults_.delay_};
            co_await delay.async_wait(boost::asio::use_awaitable);
        }
        if (use_fault(faults_.lose_acknowledgements_) ||
            (current.number_on_connection() > 1 && use_fault(faults_.close_reused_)))
        {
            counters_.add("answers_lost");
            current.lose_answer();
        }
    }
    std::string malformed;
    try
    {
        co_await handler(current);
    }
    catch (const json::exception& cause)
    {
        malformed = cause.what();
    }
    catch (const std::logic_error& cause)
    {
        malformed = cause.what();
    }
    if (!malformed.empty())
    {
        co_await current.refuse(http_status::bad_request, "malformed_request", malformed);
    }
}

awaitable<void> host::answer_control(exchange& current)
{
    const http_call& call = current.call();
    if (call.method_ == "POST" && call.path_ == "/control/faults")
    {
        const json change = json::parse(call.body_, nullptr, false);
        std::string malformed = change.is_object() ? "" : "the body is not a JSON object";
        try
        {
            change_faults(faults_, change);
        }
        catch (const json::exception& cause)
        {
            malformed = cause.what();
        }
        if (malformed.empty())
        {
            co_await current.reply(http_status::ok, json::object());
            co_return;
        }
        co_await current.refuse(http_status::bad_request, "malformed_request", malformed);
        co_return;
    }
    if (call.method_ == "GET" && call.path_ == "/control/counters")
    {
        json shown = details_ ? details_() : json::object();
        shown["counters"] = counters_.values_;
        co_await current.reply(http_status::ok, shown);
        co_return;
    }
    if (!control_ || !co_await control_(current))
    {
        co_await current.refuse(http_status::not_found, "unknown_control", "use /control/faults or /control/counters");
    }
}

}  // namespace cornelstall::standins::detail
