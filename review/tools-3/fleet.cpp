#include "fleet.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <ranges>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/beast/core/detail/base64.hpp>

namespace review
{

namespace
{

constexpr const char* program = "target/apps/cornelstall/cornelstall";
constexpr const char* service_name = "huvo11a";
constexpr const char* route_host = "ficu95.example";
constexpr const char* route_prefix = "/cufi504/";
constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;
constexpr std::int64_t grace_period_ms = 8000;

std::string big_endian(std::uint64_t value, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t index = 0; index < bytes; ++index)
    {
        text[bytes - 1 - index] = static_cast<char>((value >> (8U * index)) & 0xFFU);
    }
    return text;
}

std::uint64_t number_in(const std::string& bytes)
{
    std::uint64_t value = 0;
    std::ranges::for_each(bytes, [&value](char byte) { value = (value << 8U) | static_cast<unsigned char>(byte); });
    return value;
}

std::string to_base64(const std::string& bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

/// The value of @a name in the query of @a call, without decoding.
std::string query_value(const request& call, const std::string& name)
{
    const std::string target(call.target().data(), call.target().size());
    auto begin = target.find('?');
    while (begin != std::string::npos)
    {
        const auto end = target.find('&', begin + 1);
        const auto part = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
        if (part.starts_with(name + "="))
        {
            return part.substr(name.size() + 1);
        }
        begin = end;
    }
    return {};
}

std::uint64_t query_number(const request& call, const std::string& name)
{
    const auto text = query_value(call, name);
    return text.empty() ? 0 : std::stoull(text);
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string make_settings(const machine& of, const std::vector<int>& ports, const deployment_bounds& bounds,
                          const std::string& store_address)
{
    std::string text;
    const auto add = [&text](const std::string& name, const std::string& value) {
        text.append(name).append(" = ").append(value).append("\n");
    };
    const auto quoted = [](const std::string& value) {
        return "\"" + value + "\"";
    };
    add("node_name", quoted(of.name_));
    add("zone", quoted(of.zone_));
    add("ip", quoted(of.ip_));
    add("internal_ports", "[" + std::to_string(ports[2]) + "," + std::to_string(ports[3]) + "]");
    add("bootstrap", "true");
    add("heartbeat_ms", "1200");
    text += "[listen_addrs]\n";
    add("front", quoted(of.front_));
    add("ready_addr", quoted(of.ready_));
    text += "[limits]\nmemory_mb = 260\nmax_fds = 4100\n[bounds]\n";
    add("stable_window_ms", std::to_string(bounds.stable_window_ms_));
    add("drain_ms", std::to_string(bounds.drain_ms_));
    add("config_apply_ms", std::to_string(bounds.config_apply_ms_));
    add("revoke_ms", std::to_string(bounds.revoke_ms_));
    if (bounds.evacuate_ms_)
    {
        add("evacuate_ms", std::to_string(*bounds.evacuate_ms_));
    }
    text += "strict_revoke = true\ngrace_period_s = 8\nreuse_after_s = 2\nretry_budget_ratio = 0.2\n";
    text += "budget_window_s = 10\nretry_budget_extra = 106\nfree_ms = 4000\nmax_idle_ms = 9000\nmax_hold_ms = 20000\n";
    text += "[platform]\nform = \"log\"\n";
    add("address", quoted(store_address));
    return text;
}

pid_t start_process(const std::string& settings_path, const std::string& log_path)
{
    const std::string variable = "CORNELSTALL_NODE_FILE=" + settings_path;
    std::vector<std::string> words{program, variable, "PATH=/usr/bin:/bin"};
    std::vector<char*> arguments{words[0].data(), nullptr};
    std::vector<char*> environment{words[1].data(), words[2].data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t process = 0;
    const int failed = posix_spawn(&process, words[0].c_str(), &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    return failed == 0 ? process : 0;
}

}  // namespace

void recorder::write(const std::string& line)
{
    const std::lock_guard lock(mutex_);
    file_ << now_ms() << " ms  " << line << std::endl;
}

platform_store::platform_store(const std::string& ip)
    : service_(ip, [this](const request& call) { return serve(call); })
{}

std::optional<std::uint64_t> platform_store::append(const std::string& topic, const std::string& key,
                                                    const std::string& value)
{
    const std::lock_guard lock(mutex_);
    if (away_)
    {
        return std::nullopt;
    }
    auto& records = topics_[topic];
    records.push_back({key, value});
    changed_.notify_all();
    return records.size() - 1;
}

void platform_store::copy()
{
    const std::lock_guard lock(mutex_);
    copy_ = topics_;
}

void platform_store::go_away(http_service::absence kind)
{
    {
        const std::lock_guard lock(mutex_);
        away_ = true;
    }
    service_.set_away(kind);
    changed_.notify_all();
}

void platform_store::return_from_copy()
{
    {
        const std::lock_guard lock(mutex_);
        topics_ = copy_;
        ++era_;
        away_ = false;
    }
    service_.set_away(http_service::absence::none);
}

void platform_store::come_back()
{
    {
        const std::lock_guard lock(mutex_);
        away_ = false;
    }
    service_.set_away(http_service::absence::none);
}

std::uint64_t platform_store::end(const std::string& topic)
{
    const std::lock_guard lock(mutex_);
    return topics_[topic].size();
}

response platform_store::serve(const request& call)
{
    const std::string target(call.target().data(), call.target().size());
    const auto topic = query_value(call, "topic");
    auto answer = make_response(call, http::status::not_found, "{}");
    if (target.starts_with("/log-append"))
    {
        answer = serve_append(call, topic);
    }
    else if (target.starts_with("/log-read"))
    {
        const auto wait_ms = static_cast<int>(query_number(call, "wait_ms"));
        answer = serve_read(call, topic, query_number(call, "from"), wait_ms);
    }
    else if (target.starts_with("/log-newest"))
    {
        answer = serve_newest(call, topic);
    }
    const std::lock_guard lock(mutex_);
    answer.set("Store-Era", std::to_string(era_));
    return answer;
}

response platform_store::serve_append(const request& call, const std::string& topic)
{
    if (topic == "keyed.op" || topic == "keyed.servers")
    {
        return make_response(call, http::status::forbidden, "{}");
    }
    std::string rest = call.body();
    const auto first = end(topic);
    while (rest.size() > length_bytes)
    {
        const auto length = number_in(rest.substr(0, length_bytes));
        const auto content = rest.substr(length_bytes, length);
        const std::size_t key_length = content.empty() ? 0 : static_cast<unsigned char>(content.front());
        append(topic, content.substr(1, key_length), content.substr(std::min(content.size(), 1 + key_length)));
        rest.erase(0, length_bytes + length);
    }
    const json body{{"offset", first}, {"end", end(topic)}};
    return make_response(call, http::status::ok, body.dump());
}

response platform_store::serve_read(const request& call, const std::string& topic, std::uint64_t from, int wait_ms)
{
    std::unique_lock lock(mutex_);
    const auto era = era_;
    changed_.wait_for(lock, std::chrono::milliseconds{wait_ms},
                      [&] { return away_ || era_ != era || topics_[topic].size() != from; });
    const auto& records = topics_[topic];
    if (from > records.size())
    {
        const json body{{"first", 0}};
        return make_response(call, http::status::gone, body.dump());
    }
    std::string body = big_endian(records.size(), offset_bytes) + big_endian(0, offset_bytes);
    std::ranges::for_each(records | std::views::drop(from), [&body](const record& entry) {
        const auto content = std::string(1, static_cast<char>(entry.key_.size())) + entry.key_ + entry.value_;
        body += big_endian(content.size(), length_bytes) + content;
    });
    return make_response(call, http::status::ok, std::move(body));
}

response platform_store::serve_newest(const request& call, const std::string& topic)
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::uint64_t> newest;
    const auto& records = topics_[topic];
    for (std::uint64_t offset = 0; offset < records.size(); ++offset)
    {
        newest[records[offset].key_] = offset;
    }
    json items = json::array();
    std::ranges::for_each(newest, [&](const auto& entry) {
        const auto& value = records[entry.second].value_;
        if (!value.empty())
        {
            items.push_back({{"key", entry.first}, {"value", to_base64(value)}, {"offset", entry.second}});
        }
    });
    const json body{{"items", std::move(items)}, {"has_more", false}, {"end", records.size()}};
    return make_response(call, http::status::ok, body.dump());
}

void run_log::add(run_record run)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
}

std::vector<run_record> run_log::all()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

plain_server::plain_server(platform_store& store, run_log& runs, std::string id, std::string zone,
                           const std::string& ip)
    : store_(store),
      runs_(runs),
      id_(std::move(id)),
      zone_(std::move(zone)),
      born_ms_(unix_ms()),
      service_(ip, [this](const request& call) { return serve(call); })
{}

void plain_server::start(int interval_ms)
{
    std::thread([this, interval_ms] {
        constexpr int retry_ms = 100;
        while (listed_)
        {
            const json entry{{"service", service_name},
                             {"address", service_.address()},
                             {"zone", zone_},
                             {"version", "v1"},
                             {"slots", 6},
                             {"state", "ready"},
                             {"cold_remaining_ms", 0},
                             {"sequence", ++sequence_},
                             {"born", born_ms_}};
            const bool written = store_.append("keyed.servers", id_, entry.dump()).has_value();
            std::this_thread::sleep_for(std::chrono::milliseconds{written ? interval_ms : retry_ms});
        }
    }).detach();
}

std::int64_t plain_server::remove_entry()
{
    listed_ = false;
    store_.append("keyed.servers", id_, "");
    return now_ms();
}

void plain_server::stop()
{
    service_.set_away(http_service::absence::reset);
}

response plain_server::serve(const request& call)
{
    const auto arrived_ms = now_ms();
    const auto expected = field(call, "Expect-Instance");
    response answer;
    if (!expected.empty() && expected != id_)
    {
        answer = make_response(call, http::status::misdirected_request, "");
    }
    else
    {
        const auto attempt = field(call, "Attempt-Id");
        if (!attempt.empty())
        {
            runs_.add({id_, attempt, arrived_ms});
            constexpr std::chrono::milliseconds work{15};
            std::this_thread::sleep_for(work);
        }
        answer = make_response(call, http::status::ok, "answer to " + attempt);
        answer.set("Attempt-Id", attempt);
        answer.set("Response-Seal", "seal-of-" + attempt);
    }
    answer.set("Instance-Id", id_);
    answer.set("Server-Load", "1,0,6");
    return answer;
}

void start_machines(std::vector<machine>& machines, const std::vector<int>& ports, const deployment_bounds& bounds,
                    const std::string& store_address, const std::string& folder)
{
    std::ranges::for_each(machines, [&](machine& each) {
        each.front_ = each.ip_ + ":" + std::to_string(ports[0]);
        each.ready_ = each.ip_ + ":" + std::to_string(ports[1]);
        const auto settings_path = folder + "/" + each.name_ + ".toml";
        std::ofstream(settings_path) << make_settings(each, ports, bounds, store_address);
        each.process_ = start_process(settings_path, folder + "/" + each.name_ + ".log");
    });
}

bool wait_until_ready(const std::vector<machine>& machines, std::int64_t limit_ms)
{
    constexpr int timeout_ms = 500;
    constexpr std::chrono::milliseconds pause{100};
    const auto give_up_at = now_ms() + limit_ms;
    request question(http::verb::get, "/ready", 11);
    question.set(http::field::host, "ready");
    while (now_ms() < give_up_at)
    {
        const bool ready = std::ranges::all_of(machines, [&question](const machine& each) {
            return send_request(each.ready_, question, timeout_ms).result() == http::status::ok;
        });
        if (ready)
        {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

bool stop_machines(std::vector<machine>& machines)
{
    bool all_ran = true;
    std::ranges::for_each(machines, [&all_ran](machine& each) {
        const bool ended = each.process_ == 0 || waitpid(each.process_, nullptr, WNOHANG) == each.process_;
        all_ran = all_ran && !ended;
        each.process_ = ended ? 0 : each.process_;
        if (!ended)
        {
            kill(each.process_, SIGTERM);
        }
    });
    constexpr std::chrono::milliseconds pause{50};
    const auto kill_at = now_ms() + grace_period_ms;
    std::ranges::for_each(machines, [&](machine& each) {
        while (each.process_ != 0 && waitpid(each.process_, nullptr, WNOHANG) == 0)
        {
            if (now_ms() >= kill_at)
            {
                kill(each.process_, SIGKILL);
            }
            std::this_thread::sleep_for(pause);
        }
        each.process_ = 0;
    });
    return all_ran;
}

client::client(machine to, client_settings settings) : to_(std::move(to)), settings_(std::move(settings))
{
    std::thread([this] { send_requests(); }).detach();
}

void client::send_requests()
{
    constexpr int margin_ms = 500;
    for (int number = 0;; ++number)
    {
        sent_request sent{settings_.key_ + "-" + to_.name_ + "-" + std::to_string(number), settings_.key_, to_.name_};
        sent.sent_ms_ = now_ms();
        request message(http::verb::get, std::string(route_prefix) + "2f", 11);
        message.set(http::field::host, route_host);
        message.set(http::field::connection, "close");
        message.set("Attempt-Id", sent.attempt_);
        message.set("Deadline-Ms", std::to_string(settings_.time_limit_ms_));
        message.set(http::field::authorization, "Bearer " + settings_.key_);
        const auto answer = send_request(to_.front_, message, settings_.time_limit_ms_ + margin_ms);
        sent.status_ = answer.result_int();
        const auto next_at = sent.sent_ms_ + settings_.interval_ms_;
        {
            const std::lock_guard lock(mutex_);
            sent_.push_back(std::move(sent));
        }
        sleep_until_ms(next_at);
    }
}

std::vector<sent_request> client::sent()
{
    const std::lock_guard lock(mutex_);
    return sent_;
}

std::string make_configuration(int version, const std::vector<std::string>& keys)
{
    const json document{
        {"version", version},
        {"routes",
         {{{"name", "r-fi6y7z5"},
           {"host", route_host},
           {"path_prefix", route_prefix},
           {"kind", "idempotent"},
           {"timeout_ms", 1000},
           {"target_latency_ms", 100},
           {"priority", 2},
           {"service", service_name},
           {"max_attempts", 2},
           {"public", false}}}},
        {"services",
         {{{"name", service_name}, {"health_path", "/health"}, {"max_connections", 110}, {"protocol", "h1"}}}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 4194304},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15000}}},
        {"tenants", {{{"name", "hule930"}, {"api_keys", keys}, {"priority", 1}}}}};
    return document.dump();
}

}  // namespace review
