#include "process/engine_process.hpp"

#include <algorithm>
#include <cmath>
#include <ranges>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cornelstall::standins::detail
{

namespace
{

using clock = std::chrono::steady_clock;
using seconds = std::chrono::duration<double>;

/// A step after a long pause of the machine makes up for no more than this.
constexpr seconds longest_step{1.0};

using sequence_list = std::vector<std::shared_ptr<sequence>>;

sequence_list in_state(const engine_process& engine, sequence_state state)
{
    sequence_list chosen;
    std::ranges::copy_if(engine.sequences_, std::back_inserter(chosen),
                         [state](const auto& each) { return each->state_ == state; });
    std::ranges::sort(chosen, {}, [](const auto& each) { return std::pair{each->priority_, each->arrival_}; });
    return chosen;
}

void fill_slots(engine_process& engine)
{
    const auto running = std::ranges::count_if(engine.sequences_, [](const auto& each) { return is_running(*each); });
    const auto free = std::max<std::ptrdiff_t>(0, engine.settings_.slots_ - running);
    std::ranges::for_each(
        in_state(engine, sequence_state::waiting) | std::views::take(free), [&engine](const auto& each) {
            each->cached_ = std::min(cached_prefix(engine.cache_, each->prefix_keys_), each->prompt_);
            each->prefill_left_ = static_cast<double>((each->prompt_ - each->cached_ + each->resumed_).get());
            each->state_ = sequence_state::prefilling;
        });
}

void finish(engine_process& engine, sequence& each)
{
    each.state_ = sequence_state::finished;
    each.kv_ = token_count{};
    engine.host_.counters_.add("finished");
    each.changed_.cancel();
}

void end_prefill(engine_process& engine, sequence& each, time_point now)
{
    store_prefix(engine.cache_, each.prefix_keys_, engine.host_.faults_.cache_event_gap_, now);
    if (each.kind_ == sequence_kind::prefill)
    {
        each.export_ = export_id{"x" + std::to_string(engine.next_id_++)};
        engine.exports_[each.export_] = {each.id_, each.holder_, each.kv_, now};
        finish(engine, each);
        return;
    }
    each.state_ = sequence_state::decoding;
    each.decode_credit_ = 1.0;  // prefill yields the first token
}

void prefill(engine_process& engine, double budget, time_point now)
{
    std::ranges::for_each(in_state(engine, sequence_state::prefilling), [&](const auto& each) {
        const double spent = std::min(budget, each->prefill_left_);
        budget -= spent;
        each->prefill_left_ -= spent;
        if (each->prefill_left_ <= 0.0)
        {
            end_prefill(engine, *each, now);
        }
    });
}

void decode(engine_process& engine, sequence& each, double tokens)
{
    each.decode_credit_ += tokens;
    const double whole = std::floor(each.decode_credit_);
    if (whole < 1.0)
    {
        return;
    }
    each.decode_credit_ -= whole;
    each.next_part_ = std::min(each.next_part_ + part_number{static_cast<std::uint64_t>(whole)}, each.end_);
    each.changed_.cancel();
    if (each.next_part_ == each.end_)
    {
        finish(engine, each);
    }
}

bool has_work(const engine_process& engine)
{
    return std::ranges::any_of(engine.sequences_, [](const auto& each) { return is_active(*each); });
}

}  // namespace

engine_process::engine_process(engine_settings settings, host& host)
    : settings_(std::move(settings)), host_(host), work_(host.context_)
{
    cache_.capacity_ = settings_.cache_tokens_;
    cache_.event_lag_ = settings_.cache_event_lag_;
    std::ranges::transform(settings_.models_, std::back_inserter(models_), [](const model_release& each) {
        return loaded_release{each, {}};
    });
}

token_count free_memory(const engine_process& engine)
{
    token_count left = engine.settings_.kv_tokens_;
    std::ranges::for_each(engine.sequences_, [&left](const auto& each) { left -= each->kv_; });
    std::ranges::for_each(engine.reservations_, [&left](const auto& each) { left -= each.second.tokens_; });
    std::ranges::for_each(engine.exports_, [&left](const auto& each) { left -= each.second.tokens_; });
    return left;
}

token_count reserved_memory(const engine_process& engine, const reservation_id& id)
{
    const auto found = engine.reservations_.find(id);
    return found == engine.reservations_.end() ? token_count{} : found->second.tokens_;
}

std::shared_ptr<sequence> find_sequence(const engine_process& engine, const request_id& id, sequence_kind kind)
{
    const auto found = std::ranges::find_if(engine.sequences_ | std::views::reverse, [&id, kind](const auto& each) {
        return each->id_ == id && each->kind_ == kind;
    });
    return found == engine.sequences_.rend() ? nullptr : *found;
}

bool has_model(const engine_process& engine, const model_id& model, const adapter_id& adapter)
{
    return std::ranges::any_of(engine.models_, [&model, &adapter](const loaded_release& each) {
        return each.release_.name_ == model && (adapter.empty() || each.adapters_.contains(adapter));
    });
}

void add_sequence(engine_process& engine, const std::shared_ptr<sequence>& added)
{
    added->arrival_ = engine.arrivals_++;
    added->arrived_at_ = clock::now();
    engine.sequences_.push_back(added);
    engine.work_.cancel();
}

void cancel_sequence(sequence& each)
{
    each.state_ = sequence_state::cancelled;
    each.kv_ = token_count{};
    each.changed_.cancel();
}

void advance(engine_process& engine, std::chrono::duration<double> elapsed, time_point now)
{
    const double scaled = std::min(elapsed, longest_step).count() * engine.settings_.time_scale_;
    const sequence_list decoding = in_state(engine, sequence_state::decoding);
    fill_slots(engine);
    prefill(engine, engine.settings_.prefill_rate_.get() * scaled, now);
    std::ranges::for_each(in_state(engine, sequence_state::decoding), [&](const auto& each) {
        const bool prefilled_now = std::ranges::find(decoding, each) == decoding.end();
        decode(engine, *each, prefilled_now ? 0.0 : engine.settings_.decode_rate_.get() * scaled);
    });
}

awaitable<void> run_batch(engine_process& engine)
{
    boost::asio::steady_timer pace{engine.host_.context_};
    time_point last = clock::now();
    for (;;)
    {
        while (!has_work(engine))
        {
            boost::system::error_code woken;
            engine.work_.expires_at(time_point::max());
            co_await engine.work_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
            last = clock::now();
        }
        pace.expires_after(engine.settings_.step_);
        co_await pace.async_wait(boost::asio::use_awaitable);
        const time_point now = clock::now();
        advance(engine, now - last, now);
        last = now;
    }
}

}  // namespace cornelstall::standins::detail
