#include "cornelstall/gateway/request/memory_lease.hpp"

#include <boost/asio/redirect_error.hpp>

#include "cornelstall/gateway/connection/http_client.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind lease_refused{1025, "memory_refused"};
constexpr event_kind lease_begun{1026, "memory_reserved"};
constexpr event_kind lease_released{1027, "memory_released"};
constexpr event_kind lease_lost{1028, "memory_lost"};

/// Engines answer orders within milliseconds; one that does not may have taken the order.
constexpr milliseconds order_limit{300};
/// An engine may carry out an order this long after it was sent.
constexpr milliseconds latest_execution{13000};
/// A reservation is renewed this many times in its hold, so that single lost orders do not end it.
constexpr int renewals_per_hold = 3;
/// Pause before an order without an answer is sent again.
constexpr milliseconds order_retry{200};
/// While an order may still be carried out, the release is repeated; the memory is set aside no longer than this.
constexpr milliseconds release_repeat{1500};

task<memory_order_result> order_memory(memory_lease& lease, bool release)
{
    memory_order order;
    order.server_ = lease.server_.id_;
    order.reservation_ = lease.reservation_;
    order.tokens_ = lease.tokens_;
    order.hold_ = lease.state_.settings_.memory_reservation_timeout_;
    order.release_ = release;
    const auto client =
        std::make_shared<http_client>(http_client{lease.state_.executor_, lease.server_.address_.get(), nullptr});
    auto message = lease.state_.protocol_.write_memory_order_(order);
    message.keep_alive(false);
    const auto answer = co_await call(client, std::move(message), order_limit);
    const auto end = lease.state_.protocol_.read_order_result_(answer.status_);
    if (end == memory_order_result::unknown && !release)
    {
        lease.doubtful_until_ = std::chrono::steady_clock::now() + latest_execution;
    }
    lease.state_.metrics_.count("gateway_memory_orders_total", {{"order", release ? "release" : "reserve"},
                                                                {"status", std::to_string(answer.status_)}});
    co_return end;
}

/// Waits for @a pause or for the end of the send.
task<> pause_or_end(memory_lease& lease, milliseconds pause)
{
    if (lease.ended_)
    {
        co_return;
    }
    boost::system::error_code woken;
    lease.wake_.expires_after(pause);
    co_await lease.wake_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
}

void log_lease(const event_kind& kind, const memory_lease& lease, const char* message)
{
    log_event(severity::info, kind, message,
              {{"reservation", lease.reservation_},
               {"server", lease.server_.id_.get()},
               {"tokens", std::to_string(lease.tokens_.get())}});
}

task<> renew_until_ended(std::shared_ptr<memory_lease> lease)
{
    const auto interval = lease->state_.settings_.memory_reservation_timeout_ / renewals_per_hold;
    auto pause = interval;
    while (true)
    {
        co_await pause_or_end(*lease, pause);
        if (lease->ended_)
        {
            co_return;
        }
        const auto end = co_await order_memory(*lease, false);
        if (end == memory_order_result::refused)
        {
            log_lease(lease_lost, *lease, "the engine no longer holds the memory");
            co_return;
        }
        pause = end == memory_order_result::done ? interval : order_retry;
    }
}

/// Releases until the engine has confirmed it and no earlier order can be carried out any more. Without an answer the
/// reservation ends with its hold.
task<> release_for_good(std::shared_ptr<memory_lease> lease)
{
    const auto lapsed = std::chrono::steady_clock::now() + lease->state_.settings_.memory_reservation_timeout_;
    while (true)
    {
        const auto end = co_await order_memory(*lease, true);
        const auto now = std::chrono::steady_clock::now();
        const bool gone = end != memory_order_result::unknown || now >= lapsed;
        if (gone && now >= lease->doubtful_until_)
        {
            break;
        }
        co_await sleep_for(end == memory_order_result::unknown ? order_retry : release_repeat);
    }
    log_lease(lease_released, *lease, "the memory is released");
}

task<> keep_lease(std::shared_ptr<memory_lease> lease)
{
    const scoped_count open(lease->state_.open_leases_);
    co_await renew_until_ended(lease);
    while (!lease->ended_)
    {
        co_await pause_or_end(*lease, lease->state_.settings_.memory_reservation_timeout_);
    }
    co_await release_for_good(lease);
}

}  // namespace

task<memory_order_result> begin_lease(std::shared_ptr<memory_lease> lease)
{
    const auto end = co_await order_memory(*lease, false);
    if (end == memory_order_result::done)
    {
        log_lease(lease_begun, *lease, "memory is reserved");
    }
    else
    {
        log_lease(lease_refused, *lease, end == memory_order_result::refused ? "refused" : "no answer");
        lease->ended_ = true;
    }
    if (end != memory_order_result::refused)
    {
        spawn(lease->state_.executor_, "keep_lease", keep_lease(lease));
    }
    co_return end;
}

void end_lease(memory_lease& lease)
{
    lease.ended_ = true;
    lease.wake_.cancel();
}

}  // namespace cornelstall
