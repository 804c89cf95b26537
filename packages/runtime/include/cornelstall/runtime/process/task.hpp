#pragma once

#include <coroutine>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <type_traits>
#include <utility>

#include <pplx/pplxtasks.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cornelstall/value.hpp"

namespace cornelstall
{

/// @brief A coroutine that runs on the process's one Asio thread.
template <class Result = void>
using task = boost::asio::awaitable<Result>;

/// @brief Runs tasks; one thread calls `run()`.
using executor = boost::asio::io_context::executor_type;

/// @brief Suspends the calling task for @a delay.
[[nodiscard]] task<> sleep_for(milliseconds delay);

/// @brief Starts @a work on @a where. An exception that escapes it is logged as event 4010; the process goes on.
/// @param name names the task in that event
void spawn(const executor& where, const char* name, task<> work);

/// @brief Runs tasks made by @a make until one ends without an exception. An exception is logged as event 4010, and the
/// next task starts after a short delay, so that one unexpected input does not end what the process has to do
/// throughout its life.
void spawn_restarting(const executor& where, const char* name, std::function<task<>()> make);

namespace detail
{

/// Marks an exception of an ended pplx task as seen. pplx ends the process with SIGTRAP when a task with an exception
/// that nobody has looked at is destroyed, as happens to calls that were given up.
template <class Result>
void observe(const pplx::task<Result>& ended) noexcept
{
    try
    {
        ended.wait();
    }
    catch (...)  // NOLINT(bugprone-empty-catch): whoever still waits for the task gets the exception from it
    {}
}

}  // namespace detail

/// @brief Suspends the calling task until @a pending has ended; resumes on the task's own executor.
/// @throws what @a pending throws
template <class Result>
[[nodiscard]] task<Result> await_task(pplx::task<Result> pending)
{
    auto where = co_await boost::asio::this_coro::executor;
    // The closure is named: g++ 12 destroys a closure that is a temporary of a co_await expression twice.
    auto initiate = [where](auto handler, pplx::task<Result> started) {
        // pplx copies its continuations, Asio's handler can only be moved.
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        started.then([where, shared](pplx::task<Result> finished) {
            detail::observe(finished);
            boost::asio::post(where, [shared, finished] { (*shared)(std::exception_ptr{}, finished); });
        });
    };
    auto ended = co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&,
                                                      void(std::exception_ptr, pplx::task<Result>)>(
        std::move(initiate), boost::asio::use_awaitable, std::move(pending));
    co_return ended.get();
}

}  // namespace cornelstall
