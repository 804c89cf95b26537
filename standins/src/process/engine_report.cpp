#include "process/engine_process.hpp"

#include <algorithm>
#include <ranges>

#include <boost/asio/use_awaitable.hpp>

namespace cornelstall::standins::detail
{

namespace
{

using clock = std::chrono::steady_clock;

/// Reports recorded while one ages to the lag; the age is exact to this fraction.
constexpr int reports_per_lag = 10;

std::int64_t age_ms(time_point since, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - since).count();
}

json describe(const loaded_release& each)
{
    json adapters = json::array();
    std::ranges::transform(each.adapters_, std::back_inserter(adapters), &adapter_id::get);
    return {{"name", each.release_.name_.get()}, {"version", each.release_.version_.get()}, {"adapters", adapters}};
}

json current_load(engine_process& engine)
{
    const engine_settings& settings = engine.settings_;
    const auto count = [&engine](auto&& test) {
        return std::ranges::count_if(engine.sequences_, [&test](const auto& each) { return test(*each); });
    };
    double prefill_waiting = 0.0;
    std::ranges::for_each(engine.sequences_, [&prefill_waiting](const auto& each) {
        const bool waiting = each->state_ == sequence_state::waiting;
        prefill_waiting += waiting ? static_cast<double>((each->prompt_ + each->resumed_).get())
                                   : (is_running(*each) ? each->prefill_left_ : 0.0);
    });
    json models = json::array();
    std::ranges::transform(engine.models_, std::back_inserter(models), describe);
    return {{"sequence", ++engine.load_sequence_},
            {"running", count(is_running)},
            {"waiting", count([](const sequence& each) { return each.state_ == sequence_state::waiting; })},
            {"slots", settings.slots_},
            {"kv_tokens_used", (settings.kv_tokens_ - free_memory(engine)).get()},
            {"kv_tokens_total", settings.kv_tokens_.get()},
            {"prefill_tokens_waiting", static_cast<std::int64_t>(prefill_waiting)},
            {"prefill_tokens_per_second", settings.prefill_rate_.get() * settings.time_scale_},
            {"decode_tokens_per_second", settings.decode_rate_.get() * settings.time_scale_},
            {"models", std::move(models)},
            {"role", engine.role_},
            {"draining", engine.host_.faults_.drain_}};
}

}  // namespace

json report_load(engine_process& engine, time_point now)
{
    const milliseconds lag = engine.settings_.report_lag_;
    if (lag == milliseconds{0} || engine.reports_.empty())
    {
        return current_load(engine);
    }
    const auto fresh =
        std::ranges::find_if(engine.reports_, [now, lag](const load_report& each) { return now - each.at_ < lag; });
    return fresh == engine.reports_.begin() ? fresh->body_ : std::prev(fresh)->body_;
}

json list_holdings(const engine_process& engine, time_point now)
{
    json requests = json::array();
    std::ranges::for_each(engine.sequences_, [&requests, now](const auto& each) {
        if (each->kv_ > token_count{})
        {
            requests.push_back({{"request_id", each->id_.get()},
                                {"attempt", each->attempt_.get()},
                                {"holder", each->holder_.get()},
                                {"kv_tokens", each->kv_.get()},
                                {"age_ms", age_ms(each->arrived_at_, now)}});
        }
    });
    const auto list = [now](const auto& held, const char* id_name) {
        json entries = json::array();
        std::ranges::transform(held, std::back_inserter(entries), [now, id_name](const auto& each) {
            return json{{id_name, each.first.get()},
                        {"request_id", each.second.request_.get()},
                        {"holder", each.second.holder_.get()},
                        {"tokens", each.second.tokens_.get()},
                        {"age_ms", age_ms(each.second.since_, now)}};
        });
        return entries;
    };
    return {{"requests", std::move(requests)},
            {"reservations", list(engine.reservations_, "reservation_id")},
            {"exports", list(engine.exports_, "export_id")}};
}

awaitable<void> record_reports(engine_process& engine)
{
    const milliseconds lag = engine.settings_.report_lag_;
    boost::asio::steady_timer pace{engine.host_.context_};
    while (lag > milliseconds{0})
    {
        const time_point now = clock::now();
        engine.reports_.push_back({now, current_load(engine)});
        while (engine.reports_.size() > 1 && now - engine.reports_[1].at_ > lag)
        {
            engine.reports_.pop_front();
        }
        pace.expires_after(std::max(milliseconds{1}, lag / reports_per_lag));
        co_await pace.async_wait(boost::asio::use_awaitable);
    }
}

}  // namespace cornelstall::standins::detail
