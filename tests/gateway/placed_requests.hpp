#pragma once

#include "gateway/gateway_fixture.hpp"

namespace cornelstall::tests
{

/// @brief Sends a request that has been placed on @a to already, without a connected caller, and adds the result to
/// @a results.
inline task<> send_directly(gateway_fixture& where, listed_server to, std::shared_ptr<std::vector<send_result>> results)
{
    boost::asio::ip::tcp::socket unconnected(where.state_.executor_);
    exchange current(where.state_, std::make_shared<caller_socket>(std::move(unconnected)), {}, nullptr);
    current.table_ = where.state_.table_;
    current.route_ = find_route(*current.table_, "h", "/r/x");
    current.service_ = &current.table_->services_.at(service_id{"s"});
    current.watch_ = std::make_shared<caller_watch>();
    current.arrived_ = std::chrono::steady_clock::now();
    set_deadline(current, milliseconds{1000});
    const auto result = co_await send_to_server(current, std::move(to), {});
    results->push_back(result);
}

/// @brief An engine with four slots whose memory a prompt of 150,000 tokens exceeds.
inline engine_profile small_engine()
{
    engine_profile values;
    values.slots_ = 4;
    values.kv_capacity_ = token_count{100000};
    values.prefill_tokens_per_ms_ = 154;
    values.decode_steps_per_pass_ = 34;
    values.mean_output_tokens_ = token_count{100};
    return values;
}

}  // namespace cornelstall::tests
