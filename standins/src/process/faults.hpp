#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "cornelstall/value.hpp"

namespace cornelstall::standins
{

/// @brief Faults of one answer stream; a part number that is absent switches the fault off.
struct stream_faults
{
    std::optional<part_number> cut_after_;          ///< close the connection after this part
    std::optional<part_number> silent_after_;       ///< stop sending after this part
    std::optional<part_number> duplicate_;          ///< send this part twice
    std::optional<part_number> swap_;               ///< send this part after the next one
    std::optional<part_number> earlier_attempt_;    ///< before this part, send one of the attempt before
    std::optional<part_number> foreign_;            ///< before this part, send one of another request
    std::optional<part_number> without_end_after_;  ///< end the stream after this part without the end mark
};

/// @brief The faults that a stand-in shows; set by `POST /control/faults`.
struct fault_plan
{
    std::string match_;  ///< only calls whose `METHOD /path` starts with this text are disturbed
    bool outage_ = false;
    milliseconds delay_{0};
    int lose_acknowledgements_ = 0;  ///< for this many calls: act, then cut the connection
    int silent_calls_ = 0;           ///< read this many calls and never answer; negative: all
    /// Answers make no progress until then, and go on afterwards.
    std::chrono::steady_clock::time_point paused_until_;
    bool full_ = false;          ///< reject all requests as not run
    int close_reused_ = 0;       ///< act, then cut, but only on a connection that has served a request before
    int disturbed_streams_ = 0;  ///< for this many answer streams `stream_` applies
    stream_faults stream_;
    bool drain_ = false;
    int cache_event_gap_ = 0;  ///< drop this many of the next cache events
    std::shared_ptr<std::uint64_t> silence_epoch_ = std::make_shared<std::uint64_t>(0);
};

/// @brief Applies the fields of @a change to @a plan; fields that are absent stay as they are.
/// @throws nlohmann::json::exception when a field has another type
void change_faults(fault_plan& plan, const nlohmann::json& change);

/// @brief Takes one use of the fault counted by @a left; a negative count never ends.
[[nodiscard]] bool use_fault(int& left) noexcept;

/// @brief What a stand-in has read and done, by name.
struct counters
{
    std::map<std::string, std::uint64_t> values_;

    void add(const std::string& name, std::uint64_t amount = 1)
    {
        values_[name] += amount;
    }
};

}  // namespace cornelstall::standins
