#include "process/engine_process.hpp"

#include <algorithm>
#include <numeric>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cornelstall::standins::detail
{

namespace
{

constexpr std::size_t bytes_per_token = 4;
constexpr std::uint64_t default_max_tokens = 16;

token_count tokens_of(std::string_view text)
{
    return token_count{static_cast<std::int64_t>((text.size() + bytes_per_token - 1) / bytes_per_token)};
}

std::string prompt_of(const json& body, bool chat)
{
    if (!chat)
    {
        return body.at("prompt").get<std::string>();
    }
    const json& messages = body.at("messages");
    return std::accumulate(messages.begin(), messages.end(), std::string(), [](std::string text, const json& each) {
        return std::move(text) + each.value("role", "") + ": " + each.value("content", "") + "\n";
    });
}

std::vector<prefix_key> keys_of(const json& body)
{
    const json keys = body.value("prefix_keys", json::array());
    std::vector<prefix_key> parsed;
    std::ranges::transform(keys, std::back_inserter(parsed),
                           [](const json& each) { return parse_prefix_key(each.get<std::string>()); });
    return parsed;
}

std::shared_ptr<sequence> parse_completion(const engine_process& engine, const json& body, bool chat)
{
    auto parsed = std::make_shared<sequence>(engine.host_.context_.get_executor());
    const std::string prompt = prompt_of(body, chat);
    parsed->id_ = id_in<request_id>(body, "request_id");
    parsed->attempt_ = attempt_number{body.value("attempt", 1U)};
    parsed->holder_ = id_in<vm_id>(body, "holder");
    parsed->model_ = id_in<model_id>(body, "model");
    parsed->priority_ = body.value("priority", std::int64_t{0});
    parsed->prompt_ = tokens_of(prompt);
    parsed->resumed_ = tokens_of(body.value("resume_text", std::string()));
    parsed->prefix_keys_ = keys_of(body);
    parsed->seed_ = seed_of(prompt);
    parsed->first_part_ = part_number{body.value("first_part", std::uint64_t{0})};
    parsed->next_part_ = parsed->first_part_;
    const std::uint64_t limit = body.value("max_tokens", default_max_tokens);
    const std::uint64_t natural =
        engine.settings_.answer_tokens_ ? static_cast<std::uint64_t>(engine.settings_.answer_tokens_->get()) : limit;
    parsed->ends_by_limit_ = limit <= natural;
    parsed->end_ = std::max(parsed->first_part_, part_number{std::min(limit, natural)});
    parsed->kv_ = parsed->prompt_ + token_count{static_cast<std::int64_t>(limit)};
    return parsed;
}

struct refusal
{
    http_status status_;
    std::string_view code_;
    std::string_view message_;
};

std::optional<refusal> why_refused(const engine_process& engine, const sequence& wanted, const json& body)
{
    if (engine.host_.faults_.drain_)
    {
        return refusal{http_status::unavailable, "draining", "the engine is leaving; use another one"};
    }
    if (!has_model(engine, wanted.model_, id_in<adapter_id>(body, "adapter")))
    {
        return refusal{http_status::not_found, "model_not_loaded", "the model or adapter is not loaded here"};
    }
    const auto known = find_sequence(engine, wanted.id_, wanted.kind_);
    if (wanted.kind_ == sequence_kind::completion && known && known->attempt_ >= wanted.attempt_)
    {
        return refusal{http_status::conflict, "stale_attempt", "this attempt or a later one is known; raise attempt"};
    }
    const auto waiting = std::ranges::count_if(
        engine.sequences_, [](const auto& each) { return each->state_ == sequence_state::waiting; });
    if (waiting >= engine.settings_.waiting_limit_)
    {
        return refusal{http_status::too_many_requests, "overloaded", "too many sequences wait; try again later"};
    }
    const token_count own = reserved_memory(engine, id_in<reservation_id>(body, "reservation_id"));
    if (wanted.kv_ > free_memory(engine) + own)
    {
        return refusal{http_status::insufficient_storage, "out_of_memory", "not enough KV memory is free"};
    }
    return std::nullopt;
}

/// Adds @a wanted to the batch in place of an earlier attempt, or refuses it.
awaitable<bool> admit(engine_process& engine, const std::shared_ptr<sequence>& wanted, exchange& current,
                      const json& body)
{
    if (!co_await check_imports(engine, current, body))
    {
        co_return false;
    }
    if (const auto refused = why_refused(engine, *wanted, body))
    {
        engine.host_.counters_.add("refused_" + std::string(refused->code_));
        co_await current.refuse(refused->status_, refused->code_, refused->message_);
        co_return false;
    }
    if (const auto earlier = find_sequence(engine, wanted->id_, wanted->kind_);
        earlier && wanted->kind_ == sequence_kind::completion)
    {
        cancel_sequence(*earlier);
        std::erase(engine.sequences_, earlier);
    }
    engine.reservations_.erase(id_in<reservation_id>(body, "reservation_id"));
    add_sequence(engine, wanted);
    co_return true;
}

}  // namespace

awaitable<void> serve_completion(engine_process& engine, exchange& current, bool chat)
{
    const json body = json::parse(current.call().body_);
    const auto wanted = parse_completion(engine, body, chat);
    if (co_await admit(engine, wanted, current, body))
    {
        engine.host_.counters_.add("completions");
        co_await stream_answer(engine, wanted, current, wanted->first_part_);
    }
}

awaitable<void> serve_resume(engine_process& engine, exchange& current, request_id id)
{
    const json body = json::parse(current.call().body_);
    const auto found = find_sequence(engine, id, sequence_kind::completion);
    if (!found || found->state_ == sequence_state::cancelled ||
        found->attempt_ != attempt_number{body.value("attempt", 1U)})
    {
        co_await current.refuse(http_status::not_found, "unknown_request", "the engine does not hold this attempt");
        co_return;
    }
    engine.host_.counters_.add("resumed");
    co_await stream_answer(engine, found, current, part_number{body.value("first_part", std::uint64_t{0})});
}

awaitable<void> serve_cancel(engine_process& engine, exchange& current, request_id id)
{
    std::string state = "unknown";
    for (const auto kind : {sequence_kind::prefill, sequence_kind::completion})
    {
        if (const auto found = find_sequence(engine, id, kind))
        {
            if (is_active(*found))
            {
                engine.host_.counters_.add("cancelled");
                cancel_sequence(*found);
            }
            state = found->state_ == sequence_state::finished ? "finished" : "cancelled";
        }
    }
    const json answer{{"state", state}};
    co_await current.reply(http_status::ok, answer);
}

awaitable<void> serve_prefill(engine_process& engine, exchange& current)
{
    // A segment of a split prompt is long; without a priority it must not delay the prompts that have one.
    constexpr std::int64_t default_priority = 1'000'000;
    const json body = json::parse(current.call().body_);
    const auto job = parse_completion(engine, body, false);
    job->kind_ = sequence_kind::prefill;
    job->priority_ = body.value("priority", default_priority);
    job->kv_ = job->prompt_;
    if (!co_await admit(engine, job, current, body))
    {
        co_return;
    }
    engine.host_.counters_.add("prefills");
    while (is_active(*job))
    {
        boost::system::error_code woken;
        job->changed_.expires_at(time_point::max());
        co_await job->changed_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
    }
    std::erase(engine.sequences_, job);
    if (job->state_ == sequence_state::cancelled)
    {
        co_await current.refuse(http_status::conflict, "cancelled", "the request was cancelled");
        co_return;
    }
    const json answer{{"export_id", job->export_.get()}, {"tokens", job->prompt_.get()}};
    co_await current.reply(http_status::ok, answer);
}

}  // namespace cornelstall::standins::detail
