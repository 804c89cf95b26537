#pragma once

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/redirect_error.hpp>

#include "cornelstall/runtime.hpp"

namespace cornelstall::testing
{

/// @brief A clock that the test advances, and the tasks that run on it.
class fake_clock
{
  public:
    [[nodiscard]] task_clock clock()
    {
        return {[this] { return now_; },
                [this](shared_timer timer, time_point until) {
                    return wait(std::move(timer), until);
                }};
    }

    [[nodiscard]] executor where()
    {
        return io_.get_executor();
    }

    [[nodiscard]] time_point now() const
    {
        return now_;
    }

    /// Runs all tasks until they wait, and again after each timer that is due within @a step.
    void advance(milliseconds step)
    {
        const time_point until = now_ + step;
        run_ready();
        for (auto due = next_due(until); due.second; due = next_due(until))
        {
            now_ = std::max(now_, due.first);
            due.second->cancel();
            run_ready();
        }
        now_ = until;
    }

    /// Starts @a work; the result holds one value when it has ended.
    template <class Result>
    std::shared_ptr<std::vector<Result>> start(task<Result> work)
    {
        auto result = std::make_shared<std::vector<Result>>();
        boost::asio::co_spawn(io_, std::move(work), [result](const std::exception_ptr& failure, Result value) {
            if (!failure)
            {
                result->push_back(std::move(value));
            }
        });
        return result;
    }

    /// Starts @a work; the result is set when it has ended.
    std::shared_ptr<bool> start(task<> work)
    {
        auto ended = std::make_shared<bool>(false);
        boost::asio::co_spawn(io_, std::move(work), [ended](const std::exception_ptr&) { *ended = true; });
        return ended;
    }

  private:
    task<> wait(shared_timer timer, time_point until)
    {
        if (until <= now_)
        {
            // Lets other tasks run, as a timer that has expired would.
            co_await boost::asio::post(io_, boost::asio::use_awaitable);
            co_return;
        }
        timer->expires_at(time_point::max());
        timers_.emplace_back(until, timer);
        boost::system::error_code ignored;
        co_await timer->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    void run_ready()
    {
        io_.restart();
        while (io_.poll() > 0)
        {}
    }

    /// The first timer that is due, or null.
    std::pair<time_point, shared_timer> next_due(time_point until)
    {
        std::erase_if(timers_, [](const auto& entry) { return entry.second.expired(); });
        const auto first = std::ranges::min_element(timers_, {}, [](const auto& entry) { return entry.first; });
        if (first == timers_.end() || first->first > until)
        {
            return {};
        }
        std::pair due{first->first, first->second.lock()};
        timers_.erase(first);
        return due;
    }

    boost::asio::io_context io_;
    time_point now_{std::chrono::hours{1}};
    std::vector<std::pair<time_point, std::weak_ptr<boost::asio::steady_timer>>> timers_;
};

/// @brief How the log treats an append.
enum class append_fate
{
    acknowledged,
    refused,
    acknowledgement_lost,
    late  ///< the caller gives up; the records arrive later
};

/// @brief One stream of the log as tasks see it.
struct fake_log
{
    fake_clock* clock_;
    std::vector<std::string> records_;  ///< record n has offset n + 1
    std::size_t dropped_ = 0;
    std::deque<append_fate> fates_;  ///< of the next appends; then all are acknowledged
    milliseconds delay_{5};
    bool down_ = false;
    int appends_ = 0;

    explicit fake_log(fake_clock& clock) : clock_(&clock) {}

    [[nodiscard]] log_stream stream()
    {
        return {[this](std::vector<std::string> records) { return append(std::move(records)); },
                [this](log_offset from, int limit, milliseconds wait) {
                    return read(from, limit, wait);
                }};
    }

    task<log_offset> append(std::vector<std::string> records)
    {
        const append_fate fate = fates_.empty() ? append_fate::acknowledged : fates_.front();
        if (!fates_.empty())
        {
            fates_.pop_front();
        }
        ++appends_;
        co_await cornelstall::sleep_for(clock_->clock(), delay_);
        if (down_ || fate == append_fate::refused)
        {
            throw connection_error(log_refused, "the log is down");
        }
        if (fate == append_fate::late)
        {
            late_.insert(late_.end(), records.begin(), records.end());
            throw connection_error(http_timed_out, "no answer");
        }
        records_.insert(records_.end(), records.begin(), records.end());
        if (fate == append_fate::acknowledgement_lost)
        {
            throw connection_error(http_cut, "the connection broke");
        }
        co_return log_offset{records_.size() - records.size() + 1};
    }

    /// Lets the late appends arrive.
    void arrive()
    {
        records_.insert(records_.end(), late_.begin(), late_.end());
        late_.clear();
    }

    /// A long poll by short steps, so that it needs no notice from append.
    task<log_page> read(log_offset from, int limit, milliseconds wait)
    {
        const time_point until = clock_->now() + wait;
        while (!down_ && from.get() > records_.size() && clock_->now() < until)
        {
            co_await cornelstall::sleep_for(clock_->clock(), milliseconds{10});
        }
        if (down_)
        {
            throw connection_error(log_refused, "the log is down");
        }
        log_page page{{}, log_offset{dropped_ + 1}, log_offset{records_.size() + 1}, std::chrono::hours{1}};
        const std::size_t first = std::max<std::size_t>(from.get() - 1, dropped_);
        const std::size_t last = std::min(records_.size(), first + static_cast<std::size_t>(limit));
        for (std::size_t index = first; index < last; ++index)
        {
            page.records_.push_back({log_offset{index + 1}, records_[index]});
        }
        co_return page;
    }

    std::vector<std::string> late_;
};

}  // namespace cornelstall::testing
