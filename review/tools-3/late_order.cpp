// Plays the case of an order that a model server carries out late, while the process that gave it is killed.
// Usage: late_order RECORD FOLDER TROUBLE. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <csignal>
#include <iostream>
#include <ranges>
#include <thread>

#include <sys/wait.h>

#include "engine.hpp"

namespace review
{

namespace
{

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

constexpr std::int64_t free_ms = 4000;
/// The rule counts stretches of this length or more.
constexpr std::int64_t shortest_stretch_ms = 2000;
/// Of the six orders before the kill, two are carried out late: the first reserves the memory, the others renew it.
constexpr int orders_before_kill = 6;
const std::map<int, int> late_orders_ms{{1, 6000}, {3, 7400}};
constexpr std::int64_t kill_after_ms = 100;
constexpr std::int64_t down_ms = 500;
constexpr std::int64_t observed_ms = 20000;

const char* const key = "n2ctnfzs989anu6wsjnb";

std::string make_engine_configuration()
{
    const json profile{{"slots", 16},
                       {"kv_capacity_tokens", 405000},
                       {"kv_token_bytes", 163840},
                       {"link_mbps", 400000.0},
                       {"stride", 34},
                       {"models", {{{"name", "m"}}}},
                       {"step_ms", 1.31},
                       {"per_seq_ms", 0.000917},
                       {"context_per_k", 0.00213},
                       {"read_per_s", 154000.0},
                       {"pairs_per_m", 0.162},
                       {"chunk", 2048},
                       {"report_lag_ms", 200.0},
                       {"usual", {{"prompt", 11316}, {"answer", 1266}}},
                       {"hop_ms", 0.1}};
    const json document{{"version", 1},
                        {"routes",
                         {{{"name", "r-2yhvz3p"},
                           {"host", "ficu95.example"},
                           {"path_prefix", "/lohu930/"},
                           {"kind", "streaming"},
                           {"timeout_ms", 15000},
                           {"target_latency_ms", 6000},
                           {"priority", 2},
                           {"service", "huvo11a"},
                           {"max_attempts", 2},
                           {"public", false},
                           {"session_affinity", true},
                           {"resumable", true},
                           {"gap_aim_ms", 1000}}}},
                        {"services",
                         {{{"name", "huvo11a"},
                           {"health_path", "/health"},
                           {"max_connections", 374},
                           {"protocol", "h1"},
                           {"tls", false},
                           {"engine", profile}}}},
                        {"limits",
                         {{"max_header_bytes", 16384},
                          {"max_body_bytes", 4194304},
                          {"header_timeout_ms", 3000},
                          {"idle_timeout_ms", 15000}}},
                        {"tenants", {{{"name", "hule930"}, {"api_keys", {key}}, {"priority", 1}}}}};
    return document.dump();
}

response send_long_prompt(const machine& to)
{
    constexpr int limit_ms = 15000;
    request message(http::verb::post, "/lohu930/2f", 11);
    message.set(http::field::host, "ficu95.example");
    message.set(http::field::connection, "close");
    message.set("Attempt-Id", "9c41d07be2a35f68");
    message.set("Model", "m");
    message.set("Token-Counts", "420000,700");
    message.set("Prompt-Prefix", "5c1e07a2:40,91bd3f06:419960");
    message.set("Deadline-Ms", std::to_string(limit_ms));
    message.set(http::field::authorization, std::string("Bearer ") + key);
    message.body() = "the prompt";
    message.prepare_payload();
    return send_request(to.front_, message, limit_ms);
}

int count_orders()
{
    int orders = 0;
    std::ranges::for_each(all_engines(), [&orders](engine* each) { orders += each->orders(); });
    return orders;
}

/// The longest stretch after @a from_ms in which a server had memory set aside for nobody.
std::int64_t longest_unused(std::int64_t from_ms, recorder& record)
{
    std::int64_t longest = 0;
    std::ranges::for_each(all_engines(), [&](engine* each) {
        std::ranges::for_each(each->unused_spans(), [&](const auto& span) {
            const auto begin = std::max(span.first, from_ms);
            longest = std::max(longest, span.second - begin);
            record.write("memory was set aside and not used from " + std::to_string(span.first) + " to " +
                         std::to_string(span.second) + " ms");
        });
    });
    return longest;
}

int play(const std::string& record_path, const std::string& folder, bool trouble, std::vector<machine>& machines)
{
    constexpr int heartbeat_ms = 1200;
    constexpr int engine_count = 9;
    constexpr std::size_t ports_of_machine = 4;
    constexpr std::int64_t ready_limit_ms = 20000;
    // The threads of the stand-ins end with the process.
    auto& record = *new recorder(record_path);
    auto& store = *new platform_store("127.0.20.1");
    const std::vector<std::string> zones{"kl-a", "kl-b", "kl-c"};
    store.append("keyed.op", "config", make_engine_configuration());
    for (int index = 0; index < engine_count; ++index)
    {
        auto* const each = new engine(store, record, "i-" + std::to_string(index), zones[index % 3],
                                      "127.0.30." + std::to_string(index + 1));
        each->start(heartbeat_ms);
        if (trouble)
        {
            each->treat_late(late_orders_ms);
        }
    }
    machines.push_back({"edge-kl-a-1", "kl-a", "127.0.10.1", "", "", 0});
    const auto ports = free_ports({machines[0].ip_}, ports_of_machine);
    if (ports.size() < ports_of_machine)
    {
        return not_run;
    }
    start_machines(machines, ports, deployment_bounds{}, store.address(), folder);
    if (!wait_until_ready(machines, ready_limit_ms))
    {
        return not_run;
    }
    record.write("the machine is ready; a prompt of 420,000 tokens is sent");
    std::int64_t ended_ms = -1;
    std::thread sender([&] {
        const auto answer = send_long_prompt(machines[0]);
        ended_ms = now_ms();
        record.write("the consumer's request ended, status " + std::to_string(answer.result_int()));
    });
    const auto begin_ms = now_ms();
    if (trouble)
    {
        while (count_orders() < orders_before_kill && now_ms() < begin_ms + observed_ms)
        {
            sleep_until_ms(now_ms() + 10);
        }
        sleep_until_ms(now_ms() + kill_after_ms);
        kill(machines[0].process_, SIGKILL);
        waitpid(machines[0].process_, nullptr, 0);
        machines[0].process_ = 0;
        std::ranges::for_each(all_engines(), [](engine* each) { each->drop_requests(); });
        record.write("the machine's process was killed");
        sleep_until_ms(now_ms() + down_ms);
        start_machines(machines, ports, deployment_bounds{}, store.address(), folder);
        record.write("the machine's process was started again");
    }
    sender.join();
    sleep_until_ms(begin_ms + observed_ms);
    const bool all_ran = stop_machines(machines);
    const auto longest = longest_unused(ended_ms + free_ms, record);
    const int orders = count_orders();
    const std::string seen = "LEAK: later than free_ms after the request had ended, memory was set aside for " +
                             std::to_string(longest) + " ms; " + std::to_string(orders) + " orders";
    record.write(seen);
    std::cout << seen << std::endl;
    if (!all_ran || orders == 0)
    {
        return not_run;
    }
    return longest >= shortest_stretch_ms ? broken : held;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv)
{
    using namespace review;
    constexpr int argument_count = 4;
    if (argc != argument_count)
    {
        std::cerr << "usage: late_order RECORD FOLDER TROUBLE" << std::endl;
        return not_run;
    }
    std::vector<machine> machines;
    const int result = play(argv[1], argv[2], std::string(argv[3]) != "0", machines);
    stop_machines(machines);
    std::quick_exit(result);
}
