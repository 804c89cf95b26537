#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "cornelstall/decisions.hpp"
#include "cornelstall/runtime/process/task.hpp"

namespace cornelstall
{

/// @brief A request that waits for a place.
struct waiting_request
{
    explicit waiting_request(const executor& where) : timer_(where) {}

    waiting_order order_;
    std::uint64_t round_ = 0;  ///< the last round in which it was woken
    boost::asio::steady_timer timer_;
};

/// @brief The requests of one service that wait for a place. They are woken one after the other in their order.
struct wait_queue
{
    std::vector<std::shared_ptr<waiting_request>> waiting_;
    std::uint64_t round_ = 0;  ///< increases when capacity has changed
};

/// @brief The wait queues of a process, by service.
struct wait_queues
{
    explicit wait_queues(const executor& where) : wake_timer_(where) {}

    std::unordered_map<service_id, wait_queue> queues_;
    boost::asio::steady_timer wake_timer_;
    bool wake_pending_ = false;
};

/// @brief Wakes the waiting requests in their order, because a place may have become free. Changes that follow each
/// other closely wake them once.
void notify_capacity_changed(wait_queues& queues);

/// @brief The place of one request in the wait queue of a service; left by the destructor.
class queue_place
{
  public:
    queue_place(wait_queues& queues, service_id service) : queues_(queues), service_(std::move(service)) {}
    queue_place(const queue_place&) = delete;
    queue_place& operator=(const queue_place&) = delete;
    queue_place(queue_place&&) = delete;
    queue_place& operator=(queue_place&&) = delete;
    ~queue_place();

    /// @brief Number of other requests that wait for the service.
    [[nodiscard]] std::size_t others_waiting() const;

    /// @brief True when a request of the same size waits that goes before a request with @a order and has not looked
    /// for a place since capacity changed.
    [[nodiscard]] bool is_behind(const waiting_order& order, time_point now) const;

    /// @brief Waits until capacity has changed and it is this request's turn, or for @a limit.
    [[nodiscard]] task<> wait(executor where, waiting_order order, milliseconds limit);

  private:
    wait_queues& queues_;
    service_id service_;
    std::shared_ptr<waiting_request> own_;
};

}  // namespace cornelstall
