#pragma once

#include <optional>
#include <vector>

#include "cornelstall/gateway/request/exchange.hpp"
#include "cornelstall/gateway/request/memory_lease.hpp"

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

/// @brief The memory reservations of one send; released by the destructor.
class memory_reservations
{
  public:
    memory_reservations() = default;
    memory_reservations(const memory_reservations&) = delete;
    memory_reservations& operator=(const memory_reservations&) = delete;
    memory_reservations(memory_reservations&&) = delete;
    memory_reservations& operator=(memory_reservations&&) = delete;
    ~memory_reservations()
    {
        release();
    }

    void add(std::shared_ptr<memory_lease> lease)
    {
        leases_.push_back(std::move(lease));
    }

    void release()
    {
        std::ranges::for_each(leases_, [](const std::shared_ptr<memory_lease>& lease) { end_lease(*lease); });
        leases_.clear();
    }

  private:
    std::vector<std::shared_ptr<memory_lease>> leases_;
};

/// @brief How long memory that is reserved for the request may be unused. Shorter when the request may be sent to other
/// engines afterwards, so that there is time left for that.
[[nodiscard]] milliseconds max_unused_memory(const exchange& current);

/// @brief What is known about the server of a send, to find out whether it is gone.
struct send_watch
{
    send_watch(const exchange& current, const send_plan& plan)
        : request_(current.parsed_request_.id_),
          server_(plan.server_),
          reserves_memory_(!current.send_.leases_.empty()),
          leases_(current.send_.leases_),
          reserved_at_(boot_time()),
          max_unused_(max_unused_memory(current)),
          first_event_due_(probe_due_time(std::chrono::steady_clock::now(), plan.forecast_.first_token_)),
          timer_(current.state_.executor_)
    {}

    request_id request_;
    listed_server server_;  ///< as listed when it was chosen
    bool reserves_memory_;  ///< other engines hold memory for the send
    std::vector<std::shared_ptr<memory_lease>> leases_;
    std::chrono::nanoseconds reserved_at_;  ///< boot time
    milliseconds max_unused_;               ///< the memory is released when it is unused for so long
    bool begun_ = false;                    ///< an event of the send has been relayed
    bool draining_ = false;                 ///< the server was listed as draining since
    time_point first_event_due_;
    attempt_history attempts_;
    memory_checks memory_checks_;
    bool active_ = false;                ///< a task watches the send
    const char* loss_reason_ = nullptr;  ///< why the server is known to be gone; null while it is not
    boost::asio::steady_timer timer_;    ///< wakes the task
};

/// @brief What a send holds until it has ended or another server answers the request.
struct send_resources
{
    send_resources(exchange& current, const send_plan& plan, std::unique_ptr<memory_reservations> reservations)
        : registration_(std::in_place, current.state_, plan.parts_, current.send_.execution_id_),
          reservations_(std::move(reservations)),
          watch_(std::make_shared<send_watch>(current, plan))
    {}
    send_resources(const send_resources&) = delete;
    send_resources& operator=(const send_resources&) = delete;
    send_resources(send_resources&&) = delete;
    send_resources& operator=(send_resources&&) = delete;
    ~send_resources()
    {
        watch_->timer_.cancel();
    }

    std::optional<load_registration> registration_;
    std::unique_ptr<memory_reservations> reservations_;
    std::shared_ptr<send_watch> watch_;
    std::shared_ptr<answer_reader> reader_;  ///< null until the server has accepted the connection
    bool superseded_ = false;                ///< another server answers the request
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
