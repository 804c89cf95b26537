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
struct execution_tag;
struct organisation_hash_tag;
}  // namespace detail

/// @brief Identifies one execution of a request on a backend server; unique over all VMs while it runs.
using execution_id = strong_number<detail::execution_tag, std::uint64_t>;

/// @brief Names an organisation in load reports; 0 when a request has none.
using organisation_hash = strong_number<detail::organisation_hash_tag, std::uint32_t>;

/// @brief The remaining work of an engine for one request, derived from what VMs have sent and observed.
struct engine_work
{
    execution_id key_;                  ///< identifies the execution of the request
    token_count prompt_{0};             ///< prompt tokens held in the KV memory of the engine
    token_count prefill_left_{0};       ///< prompt tokens that the engine has yet to prefill
    token_count joint_prompt_{0};       ///< length of the whole prompt in a joint prefill, else 0
    bool is_helper_ = false;            ///< prefills part of a prompt whose answer another engine generates
    bool holds_engine_ = false;         ///< placeholder of a joint prefill that waits for idle engines
    token_count answer_left_{0};        ///< expected number of tokens still to be generated
    bool generating_ = false;           ///< the first token has been observed
    int priority_ = 0;                  ///< 0 is the most urgent
    milliseconds target_{1000};         ///< target time to first token, from the arrival of the request
    milliseconds max_gap_{1000};        ///< longest gap between events of an answer that counts as in time
    milliseconds abandon_after_{2000};  ///< the caller abandons the request after a gap of this length
    bool late_ = false;                 ///< its target or a gap limit has already been missed
    time_point arrived_;                ///< arrival of the request at its VM
    time_point sent_at_;                ///< the engine can start on it in passes that begin at this time or later
    double value_ = 1.0;                ///< weight of this request relative to others
    organisation_hash organisation_;    ///< organisation of the caller
};

/// @brief The requests of one engine in order of arrival, simulated up to `simulated_until_`.
struct engine_simulation
{
    std::vector<engine_work> work_;
    time_point simulated_until_;                   ///< start of the current pass
    std::optional<time_point> observed_pass_end_;  ///< observed end of a pass that is not simulated yet
    /// Requests whose observed first token has not been applied yet.
    std::vector<execution_id> observed_first_tokens_;
};

/// @brief How long a caller with these targets waits for the next event of a stream before it abandons the stream.
[[nodiscard]] milliseconds abandon_timeout(milliseconds target, milliseconds max_gap);

/// @brief The value of a request relative to others; grows with the tokens that it uses.
[[nodiscard]] double request_value(token_count prompt, token_count answer);

/// @brief The expected value of @a request when its first token arrives @a after_ms milliseconds after the request did;
/// drops around its target.
[[nodiscard]] double expected_value(const engine_work& request, double after_ms);

/// @brief The time that an otherwise idle engine of @a profile needs to prefill @a prompt.
[[nodiscard]] double single_engine_prefill_ms(const engine_profile& profile, token_count prompt);

/// @brief KV memory, in tokens, that the requests of @a engine use now and will use for their answers.
[[nodiscard]] token_count memory_used(const engine_simulation& engine);

/// @brief The number of requests of @a engine that occupy a slot; helper parts of a joint prefill occupy none.
[[nodiscard]] int slots_used(const engine_simulation& engine);

/// @brief True when the engine has no requests; placeholders do not count.
[[nodiscard]] bool is_idle(const engine_simulation& engine);

/// @brief True when a placeholder other than @a own, of a request that arrived before @a arrived, holds the engine.
[[nodiscard]] bool is_held_by_other(const engine_simulation& engine, execution_id own, time_point arrived);

/// @brief Time until the current requests of @a engine have ended.
/// @param engine already advanced to @a now
[[nodiscard]] milliseconds time_until_idle(const engine_simulation& engine, const engine_profile& profile,
                                           double slowdown, time_point now);

/// @brief The time that an engine of @a profile without other requests needs to generate @a answer tokens after a
/// prompt of @a prompt tokens.
[[nodiscard]] milliseconds generation_time(const engine_profile& profile, token_count prompt, token_count answer);

/// @brief Advances @a engine to @a now by simulating the passes of an engine of @a profile.
/// @param slowdown measured time divided by predicted time; above 1 for a slow engine
void advance(engine_simulation& engine, const engine_profile& profile, double slowdown, time_point now);

/// @brief Adds @a added, which is sent to the engine at @a now. The simulation of an empty engine starts at @a now.
void add_work(engine_simulation& engine, engine_work added, time_point now);

/// @brief Records that the engine has prefilled its part of the prompt of the request with execution id @a key.
void record_part_prefilled(engine_simulation& engine, execution_id key);

/// @brief Records that the first token of the request with execution id @a key was observed at @a now, which also ends
/// a pass.
void record_first_token(engine_simulation& engine, execution_id key, time_point now);

/// @brief Records that events of a pass arrived at @a now; aligns the simulation with the engine.
void record_pass_end(engine_simulation& engine, time_point now);

/// @brief Removes the request with execution id @a key.
void remove_work(engine_simulation& engine, execution_id key);

/// @brief The length of a pass that only decodes, at the profile's speed; nothing when a prompt is being prefilled,
/// because such a pass takes longer.
[[nodiscard]] std::optional<double> decode_pass_ms(const engine_simulation& engine, const engine_profile& profile);

/// @brief The expected effect of placing a request on an engine.
struct placement_forecast
{
    milliseconds first_token_{0};  ///< time from now to the first token of the request
    double benefit_ = 0.0;         ///< expected value of the request less the loss of requests already on the engine
    bool fits_ = true;             ///< the engine has a free slot and enough memory for it
};

/// @brief Simulates the engine with and without @a candidate.
/// @param engine already advanced to @a now
/// @note Linear in the number of passes until all prompts are prefilled, times the requests of the engine.
[[nodiscard]] placement_forecast forecast_placement(const engine_simulation& engine, const engine_profile& profile,
                                                    double slowdown, const engine_work& candidate, time_point now);

}  // namespace cornelstall
