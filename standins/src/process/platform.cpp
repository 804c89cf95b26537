#include "cornelstall/standins/process/platform.hpp"

#include "process/host.hpp"

#include <algorithm>
#include <deque>
#include <ranges>

#include <boost/asio/use_awaitable.hpp>

namespace cornelstall::standins
{

namespace
{

using clock = std::chrono::steady_clock;

/// Chunks of one download; a client that has gone is noticed between two of them.
constexpr int chunks_per_transfer = 20;
constexpr std::size_t chunk_bytes = 1024;

struct vm_list_change
{
    json vms_;
    time_point visible_at_;
};

struct platform_state
{
    platform_settings settings_;
    std::uint64_t generation_ = 0;
    json vms_ = json::array();
    std::deque<vm_list_change> pending_;
    int in_progress_ = 0;
};

void show_due_changes(platform_state& platform, time_point now)
{
    const auto not_due =
        std::ranges::find_if(platform.pending_, [now](const vm_list_change& each) { return each.visible_at_ > now; });
    const auto due = std::ranges::subrange(platform.pending_.begin(), not_due);
    if (!due.empty())
    {
        platform.generation_ += due.size();
        platform.vms_ = std::move(due.back().vms_);
        platform.pending_.erase(platform.pending_.begin(), not_due);
    }
}

awaitable<bool> serve_control(platform_state& platform, exchange& current)
{
    const http_call& call = current.call();
    if (call.method_ != "PUT" || call.path_ != "/control/vms")
    {
        co_return false;
    }
    const json body = json::parse(call.body_, nullptr, false);
    const json vms = body.is_object() ? body.value("vms", json()) : body;
    if (!vms.is_array())
    {
        co_await current.refuse(http_status::bad_request, "malformed_request", "send {\"vms\":[...]}");
        co_return true;
    }
    platform.pending_.push_back({vms, clock::now() + platform.settings_.visibility_lag_});
    co_await current.reply(http_status::ok, json::object());
    co_return true;
}

awaitable<void> send_weights(detail::host& host, platform_state& platform, exchange& current)
{
    const std::string chunk(chunk_bytes, 'w');
    // GCC 12 destroys a closure twice that is a temporary of a co_await expression.
    std::function<void()> nothing = [] {
    };
    co_await current.begin_stream("application/octet-stream", std::move(nothing));
    for ([[maybe_unused]] const int each : std::views::iota(0, chunks_per_transfer))
    {
        boost::asio::steady_timer pace{host.context_, platform.settings_.transfer_duration_ / chunks_per_transfer};
        co_await pace.async_wait(boost::asio::use_awaitable);
        co_await current.send(chunk);
    }
    co_await current.end_stream();
}

awaitable<void> serve_weights(detail::host& host, platform_state& platform, exchange& current)
{
    if (platform.in_progress_ >= platform.settings_.concurrent_transfers_)
    {
        host.counters_.add("transfers_refused");
        co_await current.refuse(http_status::too_many_requests, "too_many_transfers", "try again later");
        co_return;
    }
    ++platform.in_progress_;
    host.counters_.add("transfers_started");
    try
    {
        co_await send_weights(host, platform, current);
        host.counters_.add("transfers_finished");
    }
    catch (const boost::system::system_error&)
    {
        host.counters_.add("transfers_cut");
    }
    --platform.in_progress_;
}

awaitable<void> serve(detail::host& host, platform_state& platform, exchange& current)
{
    const http_call& call = current.call();
    if (call.path_ == "/vms")
    {
        show_due_changes(platform, clock::now());
        const json answer{{"generation", platform.generation_}, {"vms", platform.vms_}};
        co_await current.reply(http_status::ok, answer);
    }
    else if (call.path_ == "/status")
    {
        const json answer{{"concurrent_limit", platform.settings_.concurrent_transfers_},
                          {"in_progress", platform.in_progress_}};
        co_await current.reply(http_status::ok, answer);
    }
    else if (!path_after(call, "/weights/").empty())
    {
        co_await serve_weights(host, platform, current);
    }
    else
    {
        co_await current.refuse(http_status::not_found, "unknown_path",
                                "use /vms, /status or /weights/{model}/{version}");
    }
}

}  // namespace

running_standin start_platform(const platform_settings& settings, const socket_address& address)
{
    auto host = std::make_unique<detail::host>(address);
    auto platform = std::make_shared<platform_state>();
    platform->settings_ = settings;
    host->state_ = platform;
    host->control_ = [platform](exchange& current) {
        return serve_control(*platform, current);
    };
    host->start([&host = *host, platform](exchange& current) { return serve(host, *platform, current); });
    return running_standin{std::move(host)};
}

}  // namespace cornelstall::standins
