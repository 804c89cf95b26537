#include "process/engine_process.hpp"

#include <algorithm>

#include "connection/http_client.hpp"

namespace cornelstall::standins::detail
{

namespace
{

/// For the question to another engine whether it holds an export.
constexpr milliseconds import_limit{2000};

awaitable<bool> holds_export(socket_address other, std::string id)
{
    const http_reply reply = co_await http_get(other, "/v1/requests", import_limit);
    const json holdings = json::parse(reply.body_, nullptr, false);
    const json exports = holdings.is_object() ? holdings.value("exports", json::array()) : json::array();
    co_return std::ranges::any_of(exports, [&id](const json& each) { return each.value("export_id", "") == id; });
}

}  // namespace

awaitable<void> serve_reserve(engine_process& engine, exchange& current)
{
    const json body = json::parse(current.call().body_);
    const token_count tokens{body.at("tokens").get<std::int64_t>()};
    if (engine.host_.faults_.drain_)
    {
        co_await current.refuse(http_status::unavailable, "draining", "the engine is leaving; use another one");
        co_return;
    }
    if (tokens > free_memory(engine))
    {
        engine.host_.counters_.add("refused_out_of_memory");
        co_await current.refuse(http_status::insufficient_storage, "out_of_memory", "not enough KV memory is free");
        co_return;
    }
    const reservation_id id{"r" + std::to_string(engine.next_id_++)};
    engine.reservations_[id] = {id_in<request_id>(body, "request_id"), id_in<vm_id>(body, "holder"), tokens,
                                std::chrono::steady_clock::now()};
    engine.host_.counters_.add("reservations");
    const json answer{{"reservation_id", id.get()}};
    co_await current.reply(http_status::created, answer);
}

awaitable<bool> check_imports(engine_process& engine, exchange& current, const json& body)
{
    const json imports = body.value("imports", json::array());
    for (const json& each : imports)
    {
        const bool held = co_await holds_export(id_in<socket_address>(each, "address"), each.value("export_id", ""));
        if (!held)
        {
            engine.host_.counters_.add("refused_unknown_export");
            co_await current.refuse(http_status::not_found, "unknown_export", "the named engine does not hold it");
            co_return false;
        }
    }
    co_return true;
}

}  // namespace cornelstall::standins::detail
