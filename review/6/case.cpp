// A VM that stood still and finds the store's history gone reads the whole list, and makes the others skip the removal
// of a server that it never knew.

#include "../tools-2/store.hpp"

using namespace review;

namespace
{

constexpr std::size_t vms = 4;
constexpr std::size_t frozen_vm = 0;  // the others are never touched
constexpr std::int64_t freeze_ms = 5000;
constexpr std::int64_t drain_ms = 2000;
/// A server that leaves goes on serving for drain_ms and longer, "at times many seconds".
constexpr std::int64_t serves_ms = 6000;
constexpr int rounds = 6;
constexpr int callers_per_vm = 8;
constexpr int callers_of_frozen_vm = 2;
constexpr int work_ms = 20;
constexpr int slots = 6;

std::string request_of(const std::string& id, bool once)
{
    const std::string body = once ? "book" : "";
    return (once ? "POST /book/1 HTTP/1.1\r\n" : "GET /status/1 HTTP/1.1\r\n") +
           ("Host: desk.example\r\nAttempt-Id: " + id) +
           "\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer key-1\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string configuration()
{
    const auto route = [](const std::string& prefix, const std::string& kind, int attempts) {
        return R"({"name":")" + prefix + R"(","host":"desk.example","path_prefix":")" + prefix + R"(","kind":")" +
               kind + R"(","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"desk","max_attempts":)" +
               std::to_string(attempts) + R"(,"public":false})";
    };
    return R"({"version":7,"routes":[)" + route("/book/", "non_idempotent", 1) + "," +
           route("/status/", "idempotent", 2) +
           R"(],"services":[{"name":"desk","health_path":"/health","max_connections":400}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"t-1","api_keys":["key-1"]}]})";
}

int run()
{
    record to("record.txt");
    deployment all(to, vms);
    auto& store = *new forgetful_store("127.0.0.1", all.store_port_);  // serves to the end of the process
    all.append("keyed.op", "config", configuration());
    for (std::size_t index = 0; index < 4; ++index)
    {
        all.add_server("desk", deployment::zone_of(index), work_ms, slots);
    }
    // A server's regular writes make no record: "The entry changes when more than `sequence` changes."
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
    std::vector<std::thread> callers;
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::mutex answers_mutex;
    std::map<std::string, int> answers;
    for (std::size_t vm = 0; vm < vms; ++vm)
    {
        const int count = vm == frozen_vm ? callers_of_frozen_vm : callers_per_vm;
        for (int caller = 0; caller < count; ++caller)
        {
            callers.emplace_back([&, vm, caller] {
                std::mt19937 random(static_cast<unsigned>(vm * 100 + static_cast<std::size_t>(caller)));
                while (!stop)
                {
                    const auto id = next_id(vm);
                    const bool once = random() % 2 == 0;
                    to.add("sent " + id + (once ? " book" : " status") + " to " + deployment::vm_name(vm));
                    ++sent;
                    const auto got = call(all.ips_[vm], all.front_port_, request_of(id, once), 1000);
                    served += got.status_ == 200 && got.complete_ ? 1 : 0;
                    to.add("answered " + id + " " + std::to_string(got.status_));
                    {
                        const std::lock_guard<std::mutex> lock(answers_mutex);
                        answers[id] = got.status_;
                    }
                    sleep_ms(40 + static_cast<std::int64_t>(random() % 60));
                }
            });
        }
    }
    sleep_ms(1000);
    std::map<std::string, std::int64_t> removed;
    for (int round = 0; round < rounds; ++round)
    {
        const auto begun = now_ms();
        if (!is_calm())
        {
            to.add(deployment::vm_name(frozen_vm) + " stands still");
            all.processes_.signal(deployment::vm_name(frozen_vm), SIGSTOP);
        }
        const auto zone = deployment::zone_of(static_cast<std::size_t>(round));
        sleep_ms(begun + 1600 - now_ms());
        all.add_server("desk", zone, work_ms, slots);
        sleep_ms(begun + 1850 - now_ms());
        if (!is_calm())
        {
            store.forget("keyed.servers");
            to.add("the store forgets its history of the servers");
        }
        sleep_ms(begun + 2600 - now_ms());
        const auto added = all.add_server("desk", zone, work_ms, slots);
        // 3,000 ms after its disturbance the store is stable again.
        sleep_ms(begun + freeze_ms - 100 - now_ms());
        all.add_server("desk", zone, work_ms, slots);
        removed[added] = all.remove_entry(added);
        sleep_ms(begun + freeze_ms - now_ms());
        if (!is_calm())
        {
            all.processes_.signal(deployment::vm_name(frozen_vm), SIGCONT);
            to.add(deployment::vm_name(frozen_vm) + " goes on");
        }
        sleep_ms(removed[added] + serves_ms - now_ms());
        all.processes_.kill(added);
        to.add("server " + added + " has ended");
        sleep_ms(2500);
    }
    stop = true;
    for (auto& each : callers)
    {
        each.join();
    }
    int late = 0;
    std::map<std::string, int> late_at;
    std::map<std::string, std::int64_t> latest;
    const auto notes = all.read_journals();
    for (const auto& note : notes)
    {
        to.add_at(note.at_, "server " + note.server_ + " " + note.what_ + " " + note.request_);
        const auto left = removed.find(note.server_);
        const bool by_frozen_vm = std::stoul(note.request_.substr(0, 2), nullptr, 16) == frozen_vm + 1;
        if (left == removed.end() || note.what_ != "run" || by_frozen_vm)
        {
            continue;
        }
        const auto after = note.at_ - left->second;
        latest[note.server_] = std::max(latest[note.server_], after);
        if (after > drain_ms)
        {
            ++late;
            ++late_at[note.server_];
            to.add("LATE: " + note.request_ + " reached " + note.server_ + " " + std::to_string(after) +
                   " ms after its removal was acknowledged, answered " + std::to_string(answers[note.request_]));
        }
    }
    for (const auto& each : removed)
    {
        to.say("server " + each.first + ": last request " + std::to_string(latest[each.first]) +
               " ms after its removal, " + std::to_string(late_at[each.first]) + " later than the bound");
    }
    to.say("reads answered 410: " + std::to_string(store.expired_reads_));
    to.say("sent " + std::to_string(sent) + ", served " + std::to_string(served) + ", late " + std::to_string(late));
    return late > 0 ? 1 : 0;
}

}  // namespace

int main()
{
    int status = 2;
    try
    {
        status = run();
    }
    catch (const std::exception& problem)
    {
        std::cerr << "cannot run: " << problem.what() << '\n';
    }
    std::cout.flush();
    std::quick_exit(status);
}
