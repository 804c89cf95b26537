// A model server that hangs on a prompt larger than its memory keeps memory set aside on another one.

#include "../tools-2/fleet.hpp"

using namespace review;

namespace
{

constexpr std::size_t vms = 3;
constexpr std::size_t engines = 14;
constexpr std::size_t grey_engines = 2;  // share 0.14
constexpr double grey_share = 0.45;      // of their requests
constexpr std::int64_t max_idle_ms = 9000;
constexpr std::int64_t grey_period_ms = 6500;
constexpr std::int64_t longest_ms = 75'000;
constexpr std::int64_t time_limit_ms = 15'000;
constexpr int step_ms = 20;

std::string request_of(const std::string& id)
{
    const std::string body = "the ledger of the season";
    return "POST /gen/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id +
           "\r\nModel: m\r\nToken-Counts: 600000,600\r\nPrompt-Prefix: 5c1e07a2:40," + id.substr(id.size() - 8) +
           ":599960\r\nDeadline-Ms: " + std::to_string(time_limit_ms) +
           "\r\nAuthorization: Bearer key-1\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"gen","host":"desk.example","path_prefix":"/gen/","kind":"streaming",)"
           R"("timeout_ms":15000,"target_latency_ms":8000,"gap_aim_ms":1000,"priority":2,"service":"llm",)"
           R"("max_attempts":2,"public":false,"resumable":true,"session_affinity":true}],)"
           R"("services":[{"name":"llm","health_path":"/health","max_connections":424,"engine":{"slots":16,)"
           R"("kv_capacity_tokens":405000,"stride":34,"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,)"
           R"("read_per_s":154000,"pairs_per_m":0.162,"chunk":2048,"usual":{"prompt":20000,"answer":600}}}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000},"tenants":[{"name":"t-1","api_keys":["key-1"]}]})";
}

/// How long the server has listed each reservation, from the first to the last look at `GET /report`.
struct held_memory
{
    std::int64_t first_ = 0;
    std::int64_t last_ = 0;
};

std::vector<std::string> tickets_of(const std::string& report)
{
    std::vector<std::string> ids;
    for (auto at = report.find("\"id\":\""); at != std::string::npos; at = report.find("\"id\":\"", at + 6))
    {
        ids.push_back(report.substr(at + 6, report.find('"', at + 6) - at - 6));
    }
    return ids;
}

int run()
{
    record to("record.txt");
    deployment all(to, vms);
    all.start_store();
    all.append("keyed.op", "config", configuration());
    std::vector<std::string> ids;
    for (std::size_t index = 0; index < engines; ++index)
    {
        ids.push_back(
            all.add_server("llm", deployment::zone_of(index), step_ms, 16, {"--events", "10", "--memory", "405000"}));
    }
    const auto ports = all.ports_of(ids);
    for (std::size_t vm = 0; vm < vms; ++vm)
    {
        all.start_vm(vm, true);
    }
    for (std::size_t vm = 0; vm < vms; ++vm)
    {
        all.wait_ready(vm);
    }
    sleep_ms(4000);

    std::atomic<bool> stop{false};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<std::int64_t> longest{0};
    std::map<std::string, held_memory> held;
    std::thread watch([&] {
        while (!stop)
        {
            for (std::size_t index = 0; index < engines; ++index)
            {
                const auto got = call("127.0.0.1", ports[index], "GET /report HTTP/1.1\r\nHost: s\r\n\r\n", 500);
                for (const auto& ticket : tickets_of(got.body_))
                {
                    auto& entry = held[ids[index] + " " + ticket];
                    entry.first_ = entry.first_ == 0 ? now_ms() : entry.first_;
                    entry.last_ = now_ms();
                    longest = std::max(longest.load(), entry.last_ - entry.first_);
                }
            }
            sleep_ms(100);
        }
    });
    std::thread grey([&] {
        std::mt19937 random(static_cast<unsigned>(::getpid()));
        while (!stop && !is_calm())
        {
            // One of two periods on average is a grey one; in it the servers hang on some requests.
            const auto until = now_ms() + grey_period_ms;
            while (!stop && now_ms() < until)
            {
                for (std::size_t index = 0; index < grey_engines; ++index)
                {
                    const bool hangs = std::uniform_real_distribution<double>(0.0, 1.0)(random) < grey_share;
                    const std::string body =
                        std::string("{\"silent\":") + (hangs ? "1" : "0") + ",\"match\":\"POST /gen\"}";
                    (void)call("127.0.0.1", ports[index],
                               "POST /control/faults HTTP/1.1\r\nHost: s\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body,
                               500);
                }
                sleep_ms(250);
            }
        }
    });
    std::vector<std::thread> callers;
    const auto end = now_ms() + longest_ms;
    for (std::size_t vm = 0; vm < vms; ++vm)
    {
        callers.emplace_back([&, vm] {
            while (now_ms() < end - time_limit_ms && longest <= max_idle_ms)
            {
                const auto id = next_id(vm);
                to.add("sent " + id + " to " + deployment::vm_name(vm));
                ++sent;
                const auto begun = now_ms();
                const auto got = call(all.ips_[vm], all.front_port_, request_of(id), time_limit_ms + 1000);
                served += got.status_ == 200 && got.complete_ ? 1 : 0;
                to.add("answered " + id + " " + std::to_string(got.status_) + " after " +
                       std::to_string(now_ms() - begun) + " ms");
                sleep_ms(200);
            }
        });
    }
    for (auto& each : callers)
    {
        each.join();
    }
    stop = true;
    watch.join();
    grey.join();
    int stuck = 0;
    for (const auto& each : held)
    {
        const auto length = each.second.last_ - each.second.first_;
        to.add_at(each.second.first_, "memory set aside: " + each.first + " for " + std::to_string(length) + " ms");
        if (length > max_idle_ms)
        {
            ++stuck;
            to.say("STUCK: " + each.first + " was set aside for " + std::to_string(length) + " ms");
        }
    }
    for (const auto& note : all.read_journals())
    {
        to.add_at(note.at_, "server " + note.server_ + " " + note.what_ + " " + note.request_);
    }
    to.say("sent " + std::to_string(sent) + ", served " + std::to_string(served) + ", reservations " +
           std::to_string(held.size()) + ", longest " + std::to_string(longest) + " ms, stuck " +
           std::to_string(stuck));
    return stuck > 0 ? 1 : 0;
}

}  // namespace

int main()
{
    try
    {
        return run();
    }
    catch (const std::exception& problem)
    {
        std::cerr << "cannot run: " << problem.what() << '\n';
        return 2;
    }
}
