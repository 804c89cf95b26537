#include "process/engine_process.hpp"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "connection/http_client.hpp"

namespace cornelstall::standins::detail
{

namespace
{

using clock = std::chrono::steady_clock;

/// An order that has not succeeded by then is given up; section 9 of the design page counts on it.
constexpr milliseconds longest_order{10'000};
constexpr milliseconds download_retry{200};

struct order
{
    std::string id_;
    std::string kind_;
    model_release release_;
    adapter_id adapter_;
    std::string role_;
};

order parse_order(const json& body)
{
    return {.id_ = body.at("order_id").get<std::string>(),
            .kind_ = body.at("kind").get<std::string>(),
            .release_ = {id_in<model_id>(body, "model"), id_in<model_version>(body, "version")},
            .adapter_ = id_in<adapter_id>(body, "adapter"),
            .role_ = body.value("role", std::string())};
}

awaitable<bool> download(engine_process& engine, model_release release, time_point deadline)
{
    boost::asio::steady_timer pause{engine.host_.context_};
    const std::string target = "/weights/" + release.name_.get() + "/" + release.version_.get();
    while (engine.settings_.weight_store_ && clock::now() < deadline)
    {
        const auto reply =
            co_await http_get(*engine.settings_.weight_store_, target, remaining_until(deadline, clock::now()));
        if (reply.status_ == static_cast<unsigned>(http_status::ok))
        {
            co_return true;
        }
        pause.expires_after(download_retry);
        co_await pause.async_wait(boost::asio::use_awaitable);
    }
    co_return !engine.settings_.weight_store_.has_value();
}

void complete_load(engine_process& engine, const order& given)
{
    const auto loaded = std::ranges::find_if(
        engine.models_, [&given](const loaded_release& each) { return each.release_.name_ == given.release_.name_; });
    if (given.kind_ == "load_adapter")
    {
        if (loaded != engine.models_.end())
        {
            loaded->adapters_.insert(given.adapter_);
        }
        return;
    }
    if (loaded == engine.models_.end())
    {
        engine.models_.push_back({given.release_, {}});
        return;
    }
    *loaded = {given.release_, {}};
}

awaitable<void> run_load(engine_process& engine, order given)
{
    const time_point deadline = clock::now() + longest_order;
    if (given.kind_ == "load_model" && !co_await download(engine, given.release_, deadline))
    {
        engine.host_.counters_.add("orders_failed");
        engine.orders_.erase(given.id_);  // a repeat of the order tries again
        co_return;
    }
    const auto duration = std::chrono::duration<double>(engine.settings_.load_duration_) / engine.settings_.time_scale_;
    boost::asio::steady_timer load{engine.host_.context_, std::chrono::duration_cast<clock::duration>(duration)};
    co_await load.async_wait(boost::asio::use_awaitable);
    complete_load(engine, given);
    engine.orders_[given.id_] = order_state::done;
    engine.host_.counters_.add("orders_done");
}

bool is_loaded(const engine_process& engine, const order& given)
{
    return std::ranges::any_of(engine.models_, [&given](const loaded_release& each) {
        return given.kind_ == "load_model"
                   ? each.release_ == given.release_
                   : each.release_.name_ == given.release_.name_ && each.adapters_.contains(given.adapter_);
    });
}

order_state carry_out(engine_process& engine, const order& given)
{
    const bool loads = given.kind_ == "load_model" || given.kind_ == "load_adapter";
    if (loads && !is_loaded(engine, given))
    {
        boost::asio::co_spawn(engine.host_.context_, run_load(engine, given), boost::asio::detached);
        return order_state::in_progress;
    }
    if (given.kind_ == "unload_model")
    {
        std::erase_if(engine.models_,
                      [&given](const loaded_release& each) { return each.release_.name_ == given.release_.name_; });
    }
    else if (given.kind_ == "set_role")
    {
        engine.role_ = given.role_;
    }
    else if (!loads)
    {
        throw std::invalid_argument("'" + given.kind_ + "' is not a kind of order");
    }
    engine.host_.counters_.add("orders_done");
    return order_state::done;
}

}  // namespace

awaitable<void> serve_order(engine_process& engine, exchange& current)
{
    const json body = json::parse(current.call().body_);
    const order given = parse_order(body);
    const fencing_number fencing{body.value("fencing_number", std::uint64_t{0})};
    if (engine.settings_.checks_fencing_ && fencing < engine.highest_fencing_)
    {
        engine.host_.counters_.add("orders_fenced");
        co_await current.refuse(http_status::conflict, "stale_fencing_number", "a later lease holder gave an order");
        co_return;
    }
    engine.highest_fencing_ = std::max(engine.highest_fencing_, fencing);
    auto known = engine.orders_.find(given.id_);
    if (known == engine.orders_.end())
    {
        known = engine.orders_.emplace(given.id_, carry_out(engine, given)).first;
    }
    const bool done = known->second == order_state::done;
    const json answer{{"order_id", given.id_}, {"state", done ? "done" : "in_progress"}};
    co_await current.reply(done ? http_status::ok : http_status::accepted, answer);
}

}  // namespace cornelstall::standins::detail
