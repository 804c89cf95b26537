#pragma once

#include <algorithm>
#include <vector>

#include "cornelstall/decisions.hpp"

namespace cornelstall::test
{

/// @brief Length of a step of virtual time.
inline constexpr milliseconds step_length{5};

/// @brief A request that the fake engine executes.
struct fake_sequence
{
    grant_id id_;
    int priority_ = 0;
    double prefill_left_ = 0.0;  ///< remaining prompt tokens
    double output_left_ = 0.0;   ///< remaining output tokens
    bool first_part_sent_ = false;
};

/// @brief An engine with continuous batching in virtual time. It runs one prefill at a time, lowest priority value
/// first, while all prefilled sequences decode in parallel.
struct fake_engine
{
    token_rate prefill_rate_;
    token_rate decode_rate_;  ///< of one sequence
    bool preempts_ = true;    ///< select the prefill in every step, not only when one ends
    std::vector<fake_sequence> running_;
    grant_id prefilling_;
};

/// @brief Sequences that sent their first part or finished in one step.
struct fake_events
{
    std::vector<grant_id> first_parts_;
    std::vector<grant_id> finished_;
};

inline void run_prefill(fake_engine& engine, double budget)
{
    while (budget > 0.0)
    {
        auto next = std::ranges::find(engine.running_, engine.prefilling_, &fake_sequence::id_);
        if (engine.preempts_ || next == engine.running_.end() || next->prefill_left_ <= 0.0)
        {
            next = std::ranges::min_element(engine.running_, {}, [](const fake_sequence& each) {
                return std::pair{each.prefill_left_ <= 0.0, each.priority_};
            });
        }
        if (next == engine.running_.end() || next->prefill_left_ <= 0.0)
        {
            return;
        }
        engine.prefilling_ = next->id_;
        const double spent = std::min(budget, next->prefill_left_);
        next->prefill_left_ -= spent;
        budget -= spent;
    }
}

inline fake_events step(fake_engine& engine)
{
    const double seconds = std::chrono::duration<double>(step_length).count();
    fake_events events;
    for (fake_sequence& sequence : engine.running_)
    {
        if (sequence.prefill_left_ > 0.0)
        {
            continue;
        }
        sequence.output_left_ -= engine.decode_rate_.get() * seconds;
        if (!sequence.first_part_sent_)
        {
            sequence.first_part_sent_ = true;
            events.first_parts_.push_back(sequence.id_);
        }
        if (sequence.output_left_ <= 0.0)
        {
            events.finished_.push_back(sequence.id_);
        }
    }
    std::erase_if(engine.running_, [](const fake_sequence& each) { return each.output_left_ <= 0.0; });
    run_prefill(engine, engine.prefill_rate_.get() * seconds);
    return events;
}

}  // namespace cornelstall::test
