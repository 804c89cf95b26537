#include "cornelstall/runtime/process/task_clock.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>

namespace cornelstall
{

namespace
{

task<> wait_on_machine_clock(shared_timer timer, time_point deadline)
{
    timer->expires_at(deadline);
    boost::system::error_code ignored;
    co_await timer->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace

task_clock machine_clock()
{
    return {[] { return std::chrono::steady_clock::now(); }, wait_on_machine_clock};
}

task<> sleep_for(task_clock clock, milliseconds delay)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(co_await boost::asio::this_coro::executor);
    co_await clock.wait_(timer, clock.now_() + delay);
}

void wake_signal::notify()
{
    const auto woken = std::exchange(waiting_, {});
    std::ranges::for_each(woken, [](const std::weak_ptr<boost::asio::steady_timer>& waiting) {
        if (const shared_timer timer = waiting.lock(); timer)
        {
            timer->cancel();
        }
    });
}

task<> wake_signal::wait_until(task_clock clock, time_point deadline)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(co_await boost::asio::this_coro::executor);
    std::erase_if(waiting_, [](const auto& waiting) { return waiting.expired(); });
    waiting_.push_back(timer);
    co_await clock.wait_(std::move(timer), deadline);
}

}  // namespace cornelstall
