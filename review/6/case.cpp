// A planned restart of some VMs delays, on the VMs that nobody touched, the removal of a server that leaves.

#include "../tools-2/fleet.hpp"

using namespace review;

namespace
{

constexpr std::size_t vms = 6;
constexpr std::size_t restarted_vms = 2;  // the first ones; the others are never touched
constexpr std::int64_t restart_gap_ms = 1300;
constexpr std::int64_t drain_ms = 2000;
/// A server that leaves serves for drain_ms and this little longer, then it exits.
constexpr std::int64_t little_longer_ms = 100;
constexpr std::int64_t rounds = 10;
constexpr int callers_per_vm = 5;
constexpr int work_ms = 60;
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

/// Stops and starts some VMs, one a little after the other, and returns when all are ready again.
void restart_in_turn(deployment& all, record& to)
{
    for (std::size_t vm = 0; vm < restarted_vms; ++vm)
    {
        to.add("SIGTERM to " + deployment::vm_name(vm));
        all.processes_.signal(deployment::vm_name(vm), SIGTERM);
        sleep_ms(restart_gap_ms);
    }
    for (std::size_t vm = 0; vm < restarted_vms; ++vm)
    {
        if (!all.processes_.wait(deployment::vm_name(vm), 8000))
        {
            throw cannot_run("a VM does not stop");
        }
        sleep_ms(300);
        all.start_vm(vm, false);
        all.wait_ready(vm);
    }
}

int run()
{
    record to("record.txt");
    deployment all(to, vms);
    all.start_store();
    all.append("keyed.op", "config", configuration());
    std::vector<std::string> servers;
    for (int index = 0; index < 3; ++index)
    {
        servers.push_back(all.add_server("desk", deployment::zone_of(static_cast<std::size_t>(index)), work_ms, slots));
    }
    all.start_heartbeats();
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
    for (std::size_t vm = restarted_vms; vm < vms; ++vm)
    {
        for (int caller = 0; caller < callers_per_vm; ++caller)
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
                    const std::lock_guard<std::mutex> lock(answers_mutex);
                    answers[id] = got.status_;
                    sleep_ms(20 + static_cast<std::int64_t>(random() % 40));
                }
            });
        }
    }
    sleep_ms(1000);
    std::map<std::string, std::int64_t> removed;
    for (std::int64_t round = 0; round < rounds; ++round)
    {
        // The successor starts first.
        servers.push_back(all.add_server("desk", deployment::zone_of(static_cast<std::size_t>(round)), work_ms, slots));
        if (!is_calm())
        {
            restart_in_turn(all, to);
        }
        else
        {
            sleep_ms(3500);
        }
        sleep_ms(static_cast<std::int64_t>(300 + 50 * (round % 3)));
        const auto leaving = servers.front();
        servers.erase(servers.begin());
        removed[leaving] = all.remove_entry(leaving);
        sleep_ms(removed[leaving] + drain_ms + little_longer_ms - now_ms());
        all.processes_.kill(leaving);
        to.add("server " + leaving + " has ended");
        sleep_ms(1500);
    }
    stop = true;
    for (auto& each : callers)
    {
        each.join();
    }
    all.stop_heartbeats();
    int late = 0;
    int lost = 0;
    std::map<std::string, std::int64_t> latest;
    std::map<std::string, bool> ended;
    const auto notes = all.read_journals();
    for (const auto& note : notes)
    {
        to.add_at(note.at_, "server " + note.server_ + " " + note.what_ + " " + note.request_);
        ended[note.request_] = ended[note.request_] || note.what_ == "done";
    }
    for (const auto& note : notes)
    {
        const auto left = removed.find(note.server_);
        if (left == removed.end() || note.what_ != "run")
        {
            continue;
        }
        const auto after = note.at_ - left->second;
        latest[note.server_] = std::max(latest[note.server_], after);
        if (after > drain_ms)
        {
            ++late;
            lost += ended[note.request_] && answers[note.request_] == 200 ? 0 : 1;
            to.say("LATE: " + note.request_ + " reached " + note.server_ + " " + std::to_string(after) +
                   " ms after its removal was acknowledged, answered " + std::to_string(answers[note.request_]));
        }
    }
    for (const auto& each : latest)
    {
        to.say("last request to " + each.first + ": " + std::to_string(each.second) + " ms after its removal");
    }
    to.say("sent " + std::to_string(sent) + ", served " + std::to_string(served) + ", late " + std::to_string(late) +
           ", of these not served " + std::to_string(lost));
    return late > 0 ? 1 : 0;
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
