#include "cornelstall/gateway/request/memory_lease.hpp"

#include <boost/asio/redirect_error.hpp>

#include "cornelstall/gateway/connection/http_client.hpp"
#include "cornelstall/gateway/process/server_notices.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind memory_refused{1025, "memory_refused"};
constexpr event_kind memory_reserved{1026, "memory_reserved"};
constexpr event_kind memory_released{1027, "memory_released"};
constexpr event_kind memory_lost{1028, "memory_lost"};

/// Engines answer orders within milliseconds. An order without an answer in this time may still be carried out.
constexpr milliseconds order_timeout{300};
/// An engine may still carry out an unanswered order up to this long after it was sent.
constexpr milliseconds max_execution_delay{13000};
/// Renewals within the lifetime of a reservation, so that one lost order does not let it expire.
constexpr int renewals_per_lifetime = 3;
/// Delay before an unanswered order is sent again.
constexpr milliseconds order_retry_delay{200};
/// Interval between releases while an unanswered order may still be carried out. Bounds the time for which such an
/// order keeps memory reserved.
constexpr milliseconds release_interval{1500};

task<memory_order_result> send_memory_order(memory_lease& lease, bool release)
{
    memory_order order;
    order.server_ = lease.server_.id_;
    order.reservation_ = lease.reservation_;
    order.tokens_ = lease.tokens_;
    order.hold_ = lease.state_.settings_.memory_reservation_timeout_;
    order.release_ = release;
    const http_client client{lease.state_.executor_, lease.server_.address_.get()};
    const auto requested_at = boot_time();
    const auto answer = co_await call(client, lease.state_.protocol_.write_memory_order_(order), order_timeout);
    if (answer.status_ != 0)
    {
        apply_notices(lease.state_, lease.server_, lease.state_.protocol_.read_answer_(answer.head_));
    }
    const auto result = lease.state_.protocol_.read_order_result_(answer.status_);
    if (result == memory_order_result::unknown && !release)
    {
        lease.order_pending_until_ = std::chrono::steady_clock::now() + max_execution_delay;
    }
    if (result == memory_order_result::done && !release)
    {
        lease.held_until_ = requested_at + order.hold_;
    }
    lease.state_.metrics_.count("gateway_memory_orders_total", {{"order", release ? "release" : "reserve"},
                                                                {"status", std::to_string(answer.status_)}});
    co_return result;
}

/// Waits for @a delay or until the release is requested.
task<> wait_for_release_request(memory_lease& lease, milliseconds delay)
{
    if (lease.release_requested_)
    {
        co_return;
    }
    boost::system::error_code cancelled;
    lease.wake_timer_.expires_after(delay);
    co_await lease.wake_timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
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
    const auto interval = lease->state_.settings_.memory_reservation_timeout_ / renewals_per_lifetime;
    auto delay = interval;
    while (true)
    {
        co_await wait_for_release_request(*lease, delay);
        if (lease->release_requested_)
        {
            co_return;
        }
        const auto result = co_await send_memory_order(*lease, false);
        if (result == memory_order_result::refused)
        {
            log_lease(memory_lost, *lease, "the engine no longer holds the reserved memory");
            co_return;
        }
        delay = result == memory_order_result::done ? interval : order_retry_delay;
    }
}

/// Repeats the release until the engine has confirmed it and no unanswered order can be carried out any more. Without
/// an answer, the reservation expires at the end of its lifetime.
task<> release_until_confirmed(std::shared_ptr<memory_lease> lease)
{
    const auto expires_at = std::chrono::steady_clock::now() + lease->state_.settings_.memory_reservation_timeout_;
    while (true)
    {
        const auto result = co_await send_memory_order(*lease, true);
        const auto now = std::chrono::steady_clock::now();
        const bool no_longer_reserved = result != memory_order_result::unknown || now >= expires_at;
        if (no_longer_reserved && now >= lease->order_pending_until_)
        {
            break;
        }
        co_await sleep_for(result == memory_order_result::unknown ? order_retry_delay : release_interval);
    }
    log_lease(memory_released, *lease, "the memory reservation has been released or has expired");
}

task<> keep_lease(std::shared_ptr<memory_lease> lease)
{
    const scoped_count open_lease(lease->state_.open_leases_);
    co_await renew_until_ended(lease);
    while (!lease->release_requested_)
    {
        co_await wait_for_release_request(*lease, lease->state_.settings_.memory_reservation_timeout_);
    }
    co_await release_until_confirmed(lease);
}

}  // namespace

task<memory_order_result> begin_lease(std::shared_ptr<memory_lease> lease)
{
    const auto result = co_await send_memory_order(*lease, false);
    if (result == memory_order_result::done)
    {
        log_lease(memory_reserved, *lease, "the engine reserved the memory");
    }
    else
    {
        log_lease(memory_refused, *lease,
                  result == memory_order_result::refused ? "the engine refused to reserve the memory"
                                                         : "the engine did not answer the memory order");
        lease->release_requested_ = true;
    }
    if (result != memory_order_result::refused)
    {
        spawn(lease->state_.executor_, "keep_lease", keep_lease(lease));
    }
    co_return result;
}

task<memory_use> query_memory_use(std::shared_ptr<const memory_lease> lease)
{
    const auto& protocol = lease->state_.protocol_;
    const http_client client{lease->state_.executor_, lease->server_.address_.get()};
    const auto answer = co_await call(client, protocol.write_memory_query_(), order_timeout);
    co_return protocol.read_memory_use_(answer.status_, answer.body_, lease->reservation_);
}

bool is_held(const memory_lease& lease)
{
    return boot_time() < lease.held_until_;
}

void end_lease(memory_lease& lease)
{
    lease.release_requested_ = true;
    lease.wake_timer_.cancel();
}

}  // namespace cornelstall
