#include "cornelstall/runtime/process/task.hpp"

#include "cornelstall/runtime/process/log_event.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind task_failed{4010, "task_failed"};
/// Delay before a task that has failed is started again.
constexpr milliseconds restart_delay{100};

void log_failure(const std::exception_ptr& failure, const char* name)
{
    try
    {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& problem)
    {
        log_event(severity::error, task_failed, problem.what(), {{"task", name}});
    }
    catch (...)
    {
        log_event(severity::error, task_failed, "an exception of an unknown type", {{"task", name}});
    }
}

task<> run_restarting(std::function<task<>()> make, const char* name)
{
    while (true)
    {
        std::exception_ptr failure;
        try
        {
            co_await make();
        }
        catch (...)
        {
            failure = std::current_exception();
        }
        if (!failure)
        {
            co_return;
        }
        log_failure(failure, name);
        co_await sleep_for(restart_delay);
    }
}

}  // namespace

task<> sleep_for(milliseconds delay)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, delay);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

void spawn(const executor& where, const char* name, task<> work)
{
    boost::asio::co_spawn(where, std::move(work), [name](const std::exception_ptr& failure) {
        if (failure)
        {
            log_failure(failure, name);
        }
    });
}

void spawn_restarting(const executor& where, const char* name, std::function<task<>()> make)
{
    spawn(where, name, run_restarting(std::move(make), name));
}

}  // namespace cornelstall
