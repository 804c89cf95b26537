#include "engine.hpp"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <thread>
#include <utility>

namespace review
{

namespace
{

constexpr std::int64_t memory_tokens = 405000;
/// Time that a prompt takes here, which several servers read together.
constexpr std::int64_t prefill_ms = 5500;
constexpr std::int64_t step_ms = 20;

/// The reservations that the field Helpers names, by the address of their server.
std::map<std::string, std::string> reservations_in(const std::string& helpers)
{
    std::map<std::string, std::string> found;
    std::size_t begin = 0;
    while (begin < helpers.size())
    {
        const auto end = std::min(helpers.find(',', begin), helpers.size());
        const auto entry = helpers.substr(begin, end - begin);
        const auto slash = entry.find('/');
        if (slash != std::string::npos)
        {
            found[entry.substr(0, slash)] = entry.substr(slash + 1);
        }
        begin = end + 1;
    }
    return found;
}

void use_reservations(const std::map<std::string, std::string>& reservations, bool used)
{
    std::ranges::for_each(all_engines(), [&](engine* each) {
        const auto found = reservations.find(each->address());
        if (found != reservations.end())
        {
            each->use(found->second, used);
        }
    });
}

}  // namespace

std::vector<engine*>& all_engines()
{
    static std::vector<engine*> engines;
    return engines;
}

engine::engine(platform_store& store, recorder& record, std::string id, std::string zone, const std::string& ip)
    : store_(store),
      record_(record),
      id_(std::move(id)),
      zone_(std::move(zone)),
      born_ms_(
          std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count()),
      service_(ip, [this](const request& call) { return serve(call); })
{
    all_engines().push_back(this);
}

void engine::start(int interval_ms)
{
    std::thread([this, interval_ms] {
        for (int sequence = 1;; ++sequence)
        {
            const json entry{{"service", "huvo11a"}, {"address", service_.address()},
                             {"zone", zone_},        {"version", "v1"},
                             {"slots", 16},          {"state", "ready"},
                             {"stage", "both"},      {"cold_remaining_ms", 0},
                             {"sequence", sequence}, {"born", born_ms_}};
            store_.append("keyed.servers", id_, entry.dump());
            std::this_thread::sleep_for(std::chrono::milliseconds{interval_ms});
        }
    }).detach();
    std::thread([this] { watch_memory(); }).detach();
}

void engine::treat_late(std::map<int, int> delays_ms)
{
    late_delays_ms_ = std::move(delays_ms);
}

void engine::drop_requests()
{
    dropped_ = true;
}

std::vector<std::pair<std::int64_t, std::int64_t>> engine::unused_spans()
{
    const std::lock_guard lock(mutex_);
    return unused_;
}

void engine::use(const std::string& reservation, bool used)
{
    const std::lock_guard lock(mutex_);
    const auto found = tickets_.find(reservation);
    if (found != tickets_.end())
    {
        found->second.used_ = used;
    }
}

/// Lets tickets expire and records when memory is set aside without being used.
void engine::watch_memory()
{
    bool was_unused = false;
    while (true)
    {
        const auto now = now_ms();
        {
            const std::lock_guard lock(mutex_);
            std::erase_if(tickets_, [now](const auto& entry) { return entry.second.expires_ms_ <= now; });
            const bool unused = std::ranges::any_of(tickets_, [](const auto& entry) { return !entry.second.used_; });
            if (unused && !was_unused)
            {
                unused_.emplace_back(now, now);
            }
            if (unused)
            {
                unused_.back().second = now;
            }
            was_unused = unused;
        }
        sleep_until_ms(now + step_ms);
    }
}

response engine::serve(const request& call)
{
    const std::string target(call.target().data(), call.target().size());
    const auto expected = field(call, "Expect-Instance");
    response answer;
    if (!expected.empty() && expected != id_)
    {
        answer = make_response(call, http::status::misdirected_request, "");
    }
    else if (target == "/order")
    {
        answer = serve_order(call);
    }
    else if (target == "/report")
    {
        answer = serve_report(call);
    }
    else if (target == "/health")
    {
        answer = make_response(call, http::status::ok, "");
    }
    else
    {
        answer = serve_stream(call);
    }
    answer.set("Instance-Id", id_);
    answer.set("Server-Load", "0,0,16");
    return answer;
}

http::status engine::carry_out(const json& order)
{
    const auto now = now_ms();
    const auto reservation = order.at("id").get<std::string>();
    const std::lock_guard lock(mutex_);
    if (order.at("operation") == "release")
    {
        tickets_.erase(reservation);
        record_.write("server " + id_ + " carries out: release " + reservation);
        return http::status::ok;
    }
    auto& entry = tickets_[reservation];
    entry.tokens_ = order.at("tokens").get<std::int64_t>();
    entry.expires_ms_ = now + order.at("hold_ms").get<std::int64_t>();
    record_.write("server " + id_ + " carries out: reserve " + reservation + " of " + std::to_string(entry.tokens_) +
                  " tokens until " + std::to_string(entry.expires_ms_) + " ms");
    return http::status::ok;
}

response engine::serve_order(const request& call)
{
    const auto order = json::parse(call.body());
    const int number = orders_++;
    const auto late = late_delays_ms_.find(number);
    if (late != late_delays_ms_.end())
    {
        record_.write("server " + id_ + " leaves an order unanswered and carries it out " +
                      std::to_string(late->second) + " ms later: " + call.body());
        std::this_thread::sleep_for(std::chrono::milliseconds{late->second});
        return make_response(call, carry_out(order), "{}");
    }
    const auto status = carry_out(order);
    const json body{{"free", memory_tokens}};
    return make_response(call, status, body.dump());
}

response engine::serve_report(const request& call)
{
    json tickets = json::array();
    const std::lock_guard lock(mutex_);
    std::ranges::for_each(tickets_, [&tickets](const auto& entry) {
        tickets.push_back({{"id", entry.first},
                           {"tokens", entry.second.tokens_},
                           {"state", entry.second.used_ ? "used" : "held"},
                           {"age_ms", 0}});
    });
    const json body{{"stage", "both"}, {"busy", false},
                    {"sequence", 0},   {"waiting_count", 0},
                    {"kv_used", 0},    {"kv_total", memory_tokens},
                    {"handles", 0},    {"tickets", std::move(tickets)}};
    return make_response(call, http::status::ok, body.dump());
}

response engine::serve_stream(const request& call)
{
    constexpr int events = 5;
    const auto attempt = field(call, "Attempt-Id");
    const auto reservations = reservations_in(field(call, "Helpers"));
    record_.write("server " + id_ + " runs " + attempt + " with the helpers " + field(call, "Helpers"));
    use_reservations(reservations, true);
    const auto done_at = now_ms() + prefill_ms;
    while (now_ms() < done_at && !dropped_)
    {
        sleep_until_ms(now_ms() + step_ms);
    }
    use_reservations(reservations, false);
    record_.write("server " + id_ + (dropped_ ? " drops " : " ends ") + attempt);
    std::string body;
    for (int event = 1; event <= events; ++event)
    {
        body += "id: " + std::to_string(event) + "\ndata: piece\n\n";
    }
    auto answer = make_response(call, http::status::ok, std::move(body));
    answer.set(http::field::content_type, "text/event-stream");
    answer.set("Attempt-Id", attempt);
    answer.set("Response-Seal", "seal-of-" + attempt);
    return answer;
}

}  // namespace review
