#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "cornelstall/decisions/version/routing_table.hpp"

namespace cornelstall
{

namespace detail
{
struct running_key_tag;
}  // namespace detail

/// @brief Names one request that runs on a backend server; unique over all VMs for as long as it runs.
using execution_id = strong_number<detail::running_key_tag, std::uint64_t>;

/// @brief What an engine has to do for one request, from what VMs have sent and seen.
struct engine_work
{
    execution_id key_;
    token_count prompt_{0};        ///< prompt tokens that the engine's memory holds
    token_count prefill_left_{0};  ///< prompt tokens that the engine has still to read
    token_count joint_prompt_{0};  ///< the whole prompt when several engines read it together, else 0
    bool is_helper_ = false;       ///< reads a part of a prompt whose answer another engine generates
    bool holds_engine_ = false;    ///< keeps the engine free for a prompt that waits until several engines are idle
    token_count answer_left_{0};   ///< tokens that are expected to be generated
    bool generating_ = false;      ///< the first token has been seen
    int priority_ = 0;             ///< 0 is the most urgent
    milliseconds target_{1000};    ///< goal for the first token, from the arrival of the request
    milliseconds max_gap_{1000};   ///< longest pause between events of an answer that is in time
    milliseconds abandon_after_{2000};  ///< the caller abandons the request after a pause of this length
    bool late_ = false;                 ///< its goal or a pause has been missed already
    time_point arrived_;                ///< arrival of the request at its VM
    time_point sent_at_;                ///< the engine takes it up in a pass that begins after this
    double value_ = 1.0;                ///< weight of this request against others
};

/// @brief The requests of one engine in the order of their arrival, simulated up to an instant.
struct engine_simulation
{
    std::vector<engine_work> work_;
    time_point simulated_until_;              ///< begin of the pass that is under way
    std::optional<time_point> pass_end_;      ///< end of a pass that was seen and is not simulated yet
    std::vector<execution_id> first_tokens_;  ///< requests whose first token came with that pass
};

/// @brief How long a caller waits for the next event of a stream with these goals before it abandons the stream.
[[nodiscard]] milliseconds abandon_timeout(milliseconds target, milliseconds max_gap);

/// @brief Value of a request against others: grows with the tokens that it uses.
[[nodiscard]] double request_value(token_count prompt, token_count answer);

/// @brief Expected value of @a request when its first token comes @a after_ms after its arrival: falls around its goal.
[[nodiscard]] double expected_value(const engine_work& request, double after_ms);

/// @brief The time that an engine of @a profile with nothing else to do needs to read @a prompt.
[[nodiscard]] double single_engine_prefill_ms(const engine_profile& profile, token_count prompt);

/// @brief Memory that the requests of @a load use and will use.
[[nodiscard]] token_count memory_used(const engine_simulation& load);

/// @brief Requests of @a load that hold a slot; those that only help another engine do not.
[[nodiscard]] int slots_used(const engine_simulation& load);

/// @brief True when the engine has no request; claims are none.
[[nodiscard]] bool is_idle(const engine_simulation& load);

/// @brief True when a request other than the one that claims with @a own keeps the engine free for itself, and came
/// before @a arrived.
[[nodiscard]] bool is_held_by_other(const engine_simulation& load, execution_id own, time_point arrived);

/// @brief Time until the present requests of @a load have ended.
/// @param load advanced to @a now
[[nodiscard]] milliseconds time_until_idle(const engine_simulation& load, const engine_profile& profile, double pace,
                                           time_point now);

/// @brief The time that an engine of @a profile needs to generate @a answer after a prompt that it holds alone.
[[nodiscard]] milliseconds generation_time(const engine_profile& profile, token_count prompt, token_count answer);

/// @brief Advances @a load to @a now by the passes that an engine of @a profile makes.
/// @param pace measured time over predicted time; above 1 is a slow engine
void advance(engine_simulation& load, const engine_profile& profile, double pace, time_point now);

/// @brief Adds @a added, which the engine gets at @a now. The simulation of an engine that was empty begins then.
void add_work(engine_simulation& load, engine_work added, time_point now);

/// @brief Notes that the engine has read its part of the prompt of the request named @a key.
void record_part_prefilled(engine_simulation& load, execution_id key);

/// @brief Notes that the first token of the request named @a key was seen at @a now, which also ends a pass.
void record_first_token(engine_simulation& load, execution_id key, time_point now);

/// @brief Notes that events of a pass came at @a now, by which the simulation is aligned.
void record_pass_end(engine_simulation& load, time_point now);

/// @brief Removes the request named @a key.
void remove_work(engine_simulation& load, execution_id key);

/// @brief The length of a pass that only generates, at the usual pace; nothing when a prompt is known to be read there,
/// as a pass then takes longer.
[[nodiscard]] std::optional<double> decode_pass_ms(const engine_simulation& load, const engine_profile& profile);

/// @brief What placing a request on an engine is expected to bring.
struct placement_forecast
{
    milliseconds first_token_{0};  ///< from now to the first token of the request
    double benefit_ = 0.0;         ///< own expected value less what requests already there lose
    bool fits_ = true;             ///< the engine has a slot and memory for it
};

/// @brief Simulates the engine with and without @a candidate.
///
/// Linear in the number of passes until all prompts are read, times the requests of the engine.
/// @param load advanced to @a now
[[nodiscard]] placement_forecast forecast_placement(const engine_simulation& load, const engine_profile& profile,
                                                    double pace, const engine_work& candidate, time_point now);

}  // namespace cornelstall
