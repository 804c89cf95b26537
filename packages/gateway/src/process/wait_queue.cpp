#include "cornelstall/gateway/process/wait_queue.hpp"

#include <algorithm>
#include <ranges>

#include <boost/asio/redirect_error.hpp>

namespace cornelstall
{

namespace
{

/// Changes of capacity within this time wake the waiting requests once.
constexpr milliseconds wake_interval{10};

/// Wakes the first request in order that has not been woken in the current round.
void wake_next(wait_queue& queue)
{
    const auto now = std::chrono::steady_clock::now();
    auto not_woken = queue.waiting_ | std::views::filter([&queue](const std::shared_ptr<waiting_request>& entry) {
                         return entry->round_ < queue.round_;
                     });
    const auto first = std::ranges::min_element(
        not_woken,
        [now](const waiting_order& left, const waiting_order& right) { return goes_before(left, right, now); },
        [](const std::shared_ptr<waiting_request>& entry) -> const waiting_order& { return entry->order_; });
    if (first != std::ranges::end(not_woken))
    {
        (*first)->round_ = queue.round_;
        (*first)->timer_.cancel();
    }
}

}  // namespace

void notify_capacity_changed(wait_queues& queues)
{
    const bool any_waits = std::ranges::any_of(queues.queues_ | std::views::values,
                                               [](const wait_queue& queue) { return !queue.waiting_.empty(); });
    if (queues.wake_pending_ || !any_waits)
    {
        return;
    }
    queues.wake_pending_ = true;
    queues.wake_timer_.expires_after(wake_interval);
    queues.wake_timer_.async_wait([&queues](const boost::system::error_code&) {
        queues.wake_pending_ = false;
        std::ranges::for_each(queues.queues_ | std::views::values, [](wait_queue& queue) {
            ++queue.round_;
            wake_next(queue);
        });
    });
}

queue_place::~queue_place()
{
    if (!own_)
    {
        return;
    }
    auto& queue = queues_.queues_[service_];
    std::erase(queue.waiting_, own_);
    wake_next(queue);
}

std::size_t queue_place::others_waiting() const
{
    const auto found = queues_.queues_.find(service_);
    return found == queues_.queues_.end() ? 0 : found->second.waiting_.size() - (own_ ? 1 : 0);
}

bool queue_place::is_behind(const waiting_order& order, time_point now) const
{
    const auto found = queues_.queues_.find(service_);
    return found != queues_.queues_.end() &&
           std::ranges::any_of(found->second.waiting_, [&](const std::shared_ptr<waiting_request>& entry) {
               // A request that has found no place since capacity last changed leaves this one to others.
               const bool may_take_place = queues_.wake_pending_ || entry->round_ < found->second.round_;
               return entry != own_ && may_take_place && entry->order_.long_prompt_ == order.long_prompt_ &&
                      goes_before(entry->order_, order, now);
           });
}

task<> queue_place::wait(executor where, waiting_order order, milliseconds limit)
{
    auto& queue = queues_.queues_[service_];
    if (!own_)
    {
        own_ = std::make_shared<waiting_request>(where);
        own_->round_ = queue.round_;
        queue.waiting_.push_back(own_);
    }
    else
    {
        // This request has found no place in its turn; the next one may need less.
        wake_next(queue);
    }
    own_->order_ = order;
    own_->timer_.expires_after(limit);
    boost::system::error_code woken;
    co_await own_->timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
}

}  // namespace cornelstall
