#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <grpcpp/support/status.h>

#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

/// @brief Receives the status of a gRPC call on one of gRPC's threads.
using grpc_callback = std::function<void(grpc::Status)>;

/// @brief Starts a gRPC call and suspends the calling task until it has ended; resumes on the task's own executor.
///
/// gRPC's thread only hands the status over. The calling task's frame lives until then, because the callback owns it,
/// so the task may keep the call's context and messages. The executor must outlive the call: run it until its tasks
/// have ended.
/// @param start called with the callback that ends the wait
template <class Start>
[[nodiscard]] task<grpc::Status> await_call(Start start)
{
    auto where = co_await boost::asio::this_coro::executor;
    // The closure is named: g++ 12 destroys a closure that is a temporary of a co_await expression twice.
    auto initiate = [where](auto handler, Start begin) {
        // std::function copies its target, Asio's handler can only be moved.
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        begin(grpc_callback([where, shared](grpc::Status status) mutable {
            boost::asio::post(where, [resume = std::move(shared), status = std::move(status)] {
                (*resume)(std::exception_ptr{}, status);
            });
        }));
    };
    co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&,
                                                   void(std::exception_ptr, grpc::Status)>(
        std::move(initiate), boost::asio::use_awaitable, std::move(start));
}

}  // namespace cornelstall
