#include "cornelstall/value/outcome.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "cornelstall/value/errors.hpp"

namespace cornelstall
{

namespace
{

template <class Enum, std::size_t Size>
using name_mapping = std::array<std::pair<Enum, std::string_view>, Size>;

constexpr name_mapping<outcome, 3> outcome_names{{
    {outcome::ran, "ran"},
    {outcome::did_not_run, "did_not_run"},
    {outcome::unknown, "unknown"},
}};

constexpr name_mapping<rank, 3> rank_names{{
    {rank::urgent, "urgent"},
    {rank::standard, "standard"},
    {rank::deferred, "deferred"},
}};

constexpr name_mapping<retry_reason, 9> retry_names{{
    {retry_reason::connect_failed, "connect_failed"},
    {retry_reason::engine_overloaded, "engine_overloaded"},
    {retry_reason::engine_draining, "engine_draining"},
    {retry_reason::model_not_loaded, "model_not_loaded"},
    {retry_reason::memory_refused, "memory_refused"},
    {retry_reason::stream_cut, "stream_cut"},
    {retry_reason::stream_silent, "stream_silent"},
    {retry_reason::owner_unreachable, "owner_unreachable"},
    {retry_reason::owner_changed, "owner_changed"},
}};

constexpr name_mapping<refusal_reason, 24> refusal_names{{
    {refusal_reason::unknown_key, "unknown_key"},
    {refusal_reason::unknown_model, "unknown_model"},
    {refusal_reason::model_not_allowed, "model_not_allowed"},
    {refusal_reason::rank_not_allowed, "rank_not_allowed"},
    {refusal_reason::malformed_request, "malformed_request"},
    {refusal_reason::body_too_large, "body_too_large"},
    {refusal_reason::slow_sender, "slow_sender"},
    {refusal_reason::prompt_too_long, "prompt_too_long"},
    {refusal_reason::output_too_long, "output_too_long"},
    {refusal_reason::no_configuration, "no_configuration"},
    {refusal_reason::no_engine_ready, "no_engine_ready"},
    {refusal_reason::time_limit_unreachable, "time_limit_unreachable"},
    {refusal_reason::queue_full, "queue_full"},
    {refusal_reason::caller_queue_full, "caller_queue_full"},
    {refusal_reason::expired_in_queue, "expired_in_queue"},
    {refusal_reason::memory_unavailable, "memory_unavailable"},
    {refusal_reason::retry_budget_empty, "retry_budget_empty"},
    {refusal_reason::idempotency_key_missing, "idempotency_key_missing"},
    {refusal_reason::duplicate_in_progress, "duplicate_in_progress"},
    {refusal_reason::log_unavailable, "log_unavailable"},
    {refusal_reason::no_server_ready, "no_server_ready"},
    {refusal_reason::stopping, "stopping"},
    {refusal_reason::stream_failed, "stream_failed"},
    {refusal_reason::time_limit_passed, "time_limit_passed"},
}};

template <class Enum, std::size_t Size>
std::string_view name_of(const name_mapping<Enum, Size>& names, Enum value) noexcept
{
    const auto* const found = std::ranges::find(names, value, &std::pair<Enum, std::string_view>::first);
    return found == names.end() ? std::string_view{"invalid"} : found->second;
}

template <class Enum, std::size_t Size>
const std::pair<Enum, std::string_view>* find_by_name(const name_mapping<Enum, Size>& names,
                                                      std::string_view text) noexcept
{
    const auto* const found = std::ranges::find(names, text, &std::pair<Enum, std::string_view>::second);
    return found == names.end() ? nullptr : &*found;
}

}  // namespace

std::string_view to_string(outcome value) noexcept
{
    return name_of(outcome_names, value);
}

std::string_view to_string(refusal_reason value) noexcept
{
    return name_of(refusal_names, value);
}

std::string_view to_string(retry_reason value) noexcept
{
    return name_of(retry_names, value);
}

std::string_view to_string(rank value) noexcept
{
    return name_of(rank_names, value);
}

rank parse_rank(std::string_view text)
{
    if (const auto* const found = find_by_name(rank_names, text); found != nullptr)
    {
        return found->first;
    }
    throw request_error(104, refusal_reason::malformed_request, outcome::did_not_run,
                        "'" + std::string(text) + "' is not a rank; use urgent, standard or deferred");
}

refusal_reason parse_refusal_reason(std::string_view text)
{
    if (const auto* const found = find_by_name(refusal_names, text); found != nullptr)
    {
        return found->first;
    }
    throw connection_error(
        205, "peer sent the unknown refusal reason '" + std::string(text) + "'; run the same release on all VMs");
}

outcome parse_outcome(std::string_view text)
{
    if (const auto* const found = find_by_name(outcome_names, text); found != nullptr)
    {
        return found->first;
    }
    throw connection_error(
        205, "peer sent the unknown outcome '" + std::string(text) + "'; run the same release on all VMs");
}

}  // namespace cornelstall
