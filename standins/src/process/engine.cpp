#include "cornelstall/standins/process/engine.hpp"

#include <algorithm>
#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "process/engine_process.hpp"

namespace cornelstall::standins
{

namespace detail
{

namespace
{

using route_handler = awaitable<void> (*)(engine_process&, exchange&, std::string_view);

/// A route; @a handler_ gets the part of the path between @a prefix_ and @a suffix_.
struct route
{
    std::string_view method_;
    std::string_view prefix_;
    std::string_view suffix_;
    bool has_id_;
    route_handler handler_;
};

template <class Id>
awaitable<void> erase_held(std::map<Id, held_memory>& held, std::string_view id, exchange& current)
{
    if (held.erase(Id{std::string(id)}) == 0)
    {
        co_await current.refuse(http_status::not_found, "unknown_id", "the engine does not hold it");
        co_return;
    }
    co_await current.reply(http_status::ok, json::object());
}

awaitable<void> serve_cache_events(engine_process& engine, exchange& current)
{
    const std::uint64_t after = query_number(current.call(), "after", 0);
    co_await current.reply(http_status::ok, events_after(engine.cache_, after, std::chrono::steady_clock::now()));
}

constexpr std::array routes{
    route{"POST", "/v1/completions", "", false,
          [](engine_process& engine, exchange& current, std::string_view) {
              return serve_completion(engine, current, false);
          }},
    route{"POST", "/v1/chat/completions", "", false,
          [](engine_process& engine, exchange& current, std::string_view) {
              return serve_completion(engine, current, true);
          }},
    route{"POST", "/v1/requests/", "/resume", true,
          [](engine_process& engine, exchange& current, std::string_view id) {
              return serve_resume(engine, current, request_id{std::string(id)});
          }},
    route{"POST", "/v1/requests/", "/cancel", true,
          [](engine_process& engine, exchange& current, std::string_view id) {
              return serve_cancel(engine, current, request_id{std::string(id)});
          }},
    route{"GET", "/v1/requests", "", false,
          [](engine_process& engine, exchange& current, std::string_view) {
              return current.reply(http_status::ok, list_holdings(engine, std::chrono::steady_clock::now()));
          }},
    route{"GET", "/v1/load", "", false,
          [](engine_process& engine, exchange& current, std::string_view) {
              return current.reply(http_status::ok, report_load(engine, std::chrono::steady_clock::now()));
          }},
    route{"GET", "/v1/cache-events", "", false,
          [](engine_process& engine, exchange& current, std::string_view) {
              return serve_cache_events(engine, current);
          }},
    route{"GET", "/v1/cache", "", false,
          [](engine_process& engine, exchange& current, std::string_view) {
              return current.reply(http_status::ok, list_blocks(engine.cache_));
          }},
    route{"POST", "/v1/kv/reservations", "", false,
          [](engine_process& engine, exchange& current, std::string_view) {
              return serve_reserve(engine, current);
          }},
    route{"DELETE", "/v1/kv/reservations/", "", true,
          [](engine_process& engine, exchange& current, std::string_view id) {
              return erase_held(engine.reservations_, id, current);
          }},
    route{"POST", "/v1/kv/prefill", "", false,
          [](engine_process& engine, exchange& current, std::string_view) {
              return serve_prefill(engine, current);
          }},
    route{"DELETE", "/v1/kv/exports/", "", true,
          [](engine_process& engine, exchange& current, std::string_view id) {
              return erase_held(engine.exports_, id, current);
          }},
    route{"POST", "/v1/orders", "", false,
          [](engine_process& engine, exchange& current, std::string_view) {
              return serve_order(engine, current);
          }},
};

bool matches(const route& each, const http_call& call)
{
    const std::string_view path = call.path_;
    return each.method_ == call.method_ &&
           (each.has_id_ ? path.size() > each.prefix_.size() + each.suffix_.size() && path.starts_with(each.prefix_) &&
                               path.ends_with(each.suffix_)
                         : path == each.prefix_);
}

awaitable<void> serve(engine_process& engine, exchange& current)
{
    const http_call& call = current.call();
    const auto* const found = std::ranges::find_if(routes, [&call](const route& each) { return matches(each, call); });
    if (found == routes.end())
    {
        co_await current.refuse(http_status::not_found, "unknown_path", "see section 14 of docs/design.md");
        co_return;
    }
    std::string_view id = path_after(call, found->prefix_);
    id.remove_suffix(std::min(id.size(), found->suffix_.size()));
    co_await found->handler_(engine, current, id);
}

}  // namespace

}  // namespace detail

running_standin start_engine(const engine_settings& settings, const socket_address& address)
{
    auto host = std::make_unique<detail::host>(address);
    auto engine = std::make_shared<detail::engine_process>(settings, *host);
    host->state_ = engine;
    host->details_ = [engine] {
        return json{{"kv_tokens_free", detail::free_memory(*engine).get()},
                    {"highest_fencing_number", engine->highest_fencing_.get()}};
    };
    boost::asio::co_spawn(host->context_, detail::run_batch(*engine), boost::asio::detached);
    boost::asio::co_spawn(host->context_, detail::record_reports(*engine), boost::asio::detached);
    host->start([engine](exchange& current) { return detail::serve(*engine, current); });
    return running_standin{std::move(host)};
}

}  // namespace cornelstall::standins
