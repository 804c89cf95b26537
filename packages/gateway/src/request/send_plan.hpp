#pragma once

#include <optional>
#include <vector>

#include "cornelstall/gateway/request/exchange.hpp"

namespace cornelstall
{

/// @brief The server that a request is sent to and the parts of its work on each engine.
struct send_plan
{
    listed_server server_;
    placement_forecast forecast_;
    std::size_t considered_ = 0;
    std::vector<joint_prefill_part> parts_;  ///< the engine that generates the answer first, then its helpers
    milliseconds starts_in_{0};              ///< time until all engines of a joint prefill are idle
};

/// @brief Keeps the parts of a request in this VM's load and its load reports for the lifetime of the object.
class load_registration
{
  public:
    load_registration(gateway_state& state, const std::vector<joint_prefill_part>& parts, execution_id key);
    load_registration(const load_registration&) = delete;
    load_registration& operator=(const load_registration&) = delete;
    load_registration(load_registration&&) = delete;
    load_registration& operator=(load_registration&&) = delete;
    ~load_registration();

  private:
    gateway_state& state_;
    std::vector<server_id> servers_;
    execution_id key_;
};

/// @brief Keeps engines free for a joint prefill until all engines that it needs are idle.
struct engine_hold
{
    execution_id key_;
    std::vector<server_id> servers_;
    std::optional<load_registration> registration_;  ///< reports the hold to the other VMs

    void release()
    {
        registration_.reset();
        servers_.clear();
    }
};

/// @brief Holds the engines of @a plan instead of those held before.
void hold_engines(exchange& current, engine_hold& hold, const send_plan& plan);

}  // namespace cornelstall
