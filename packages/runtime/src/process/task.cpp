#include "cornelstall/runtime/process/task.hpp"

#include "cornelstall/runtime/process/log_event.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind task_failed{4010, "task_failed"};

}  // namespace

task<> sleep_for(milliseconds delay)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, delay);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

void spawn(const executor& where, const char* name, task<> work)
{
    boost::asio::co_spawn(where, std::move(work), [name](const std::exception_ptr& failure) {
        if (!failure)
        {
            return;
        }
        try
        {
            std::rethrow_exception(failure);
        }
        catch (const std::exception& problem)
        {
            log_event(severity::error, task_failed, problem.what(), {{"task", name}});
        }
    });
}

}  // namespace cornelstall
