/// @file
/// A server leaves without reporting that it drains while another VM restarts. The VMs that did not restart must not
/// send it requests later than `drain_ms` after its entry was removed.

#include <csignal>

#include "../tools/standins.hpp"

namespace
{

using namespace review;

constexpr std::int64_t drain_ms = 2000;
constexpr std::int64_t heartbeat_ms = 1200;
constexpr int rounds = 4;
constexpr int clients = 8;
constexpr std::int64_t pause_ms = 110;

struct leaving
{
    std::string server_;
    std::int64_t acknowledged_at_ = 0;
};

}  // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
    {
        return 2;
    }
    const std::string command = argv[1];
    const std::string folder = argv[2];
    record notes(argv[3]);
    const bool disturbed = is_disturbed();

    store platform;
    platform.put("keyed.op", "config", configuration(1));
    std::vector<std::unique_ptr<server>> servers;
    std::mutex listed_mutex;
    std::vector<server*> listed;
    for (int index = 0; index < rounds + 2; ++index)
    {
        servers.push_back(std::make_unique<server>("i-" + std::to_string(index), notes, milliseconds{15}));
        listed.push_back(servers.back().get());
        platform.put("keyed.servers", servers.back()->id(), servers.back()->entry("calls", "ready"));
    }
    std::atomic<bool> ended{false};
    std::thread heartbeats([&] {
        while (!ended)
        {
            {
                const std::scoped_lock lock(listed_mutex);
                for (auto* each : listed)
                {
                    ++each->sequence_;
                    platform.put("keyed.servers", each->id(), each->entry("calls", "ready"));
                }
            }
            sleep_ms(heartbeat_ms);
        }
    });
    std::vector<std::unique_ptr<vm_process>> vms;
    for (int index = 0; index < 3; ++index)
    {
        const auto name = "edge-" + std::to_string(index + 1);
        vms.push_back(std::make_unique<vm_process>(name, "127.0.0." + std::to_string(index + 2), command, folder,
                                                   platform.open_for(name), notes));
        vms.back()->start();
    }
    for (const auto& vm : vms)
    {
        if (!vm->wait_ready(milliseconds{10'000}))
        {
            vms.clear();
            finish(2, "a VM is not ready");
        }
    }
    sleep_ms(3500);
    std::atomic<int> answered{0};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < clients; ++caller)
    {
        callers.emplace_back([&, caller] {
            for (int number = 0; !ended; ++number)
            {
                // The first VM is the one that restarts; no consumer uses it.
                const auto& vm = *vms[1 + static_cast<std::size_t>(number % 2)];
                const auto id = "c" + std::to_string(caller) + "-" + std::to_string(number);
                const auto answer = ask(vm.front(), "GET", "/status/bins", id, milliseconds{1000});
                notes.line("sent to " + vm.name() + ": GET /status/bins, Attempt-Id " + id + ", answered " +
                           (answer ? answer->start_line_ : "nothing"));
                answered += answer && answer->status() == 200 ? 1 : 0;
                sleep_ms(pause_ms);
            }
        });
    }
    std::vector<leaving> left;
    for (int round = 0; round < rounds; ++round)
    {
        if (disturbed)
        {
            vms[0]->signal(SIGTERM);
            vms[0]->wait(milliseconds{8000});
            sleep_ms(200);
            vms[0]->start(false);
            vms[0]->wait_ready(milliseconds{10'000});
        }
        else
        {
            sleep_ms(4000);
        }
        sleep_ms(50 * round);
        auto* const leaver = servers[static_cast<std::size_t>(round)].get();
        {
            const std::scoped_lock lock(listed_mutex);
            std::erase(listed, leaver);
            platform.put("keyed.servers", leaver->id(), "");
        }
        left.push_back({leaver->id(), now_ms()});
        notes.line("the entry of " + leaver->id() + " is removed");
        // The server goes on for a little longer than `drain_ms`.
        sleep_ms(6000);
    }
    ended = true;
    for (auto& caller : callers)
    {
        caller.join();
    }
    heartbeats.join();
    int late = 0;
    for (const auto& leaver : left)
    {
        for (const auto& each : servers)
        {
            for (const auto& run : each->runs())
            {
                const auto after = run.first - leaver.acknowledged_at_;
                if (each->id() == leaver.server_ && after > drain_ms)
                {
                    ++late;
                    notes.line("BROKEN DRAIN: " + run.second + " ran at " + leaver.server_ + " " +
                               std::to_string(after) + " ms after the removal of its entry was acknowledged");
                }
            }
        }
    }
    notes.line(std::to_string(answered.load()) + " requests answered with 200, " + std::to_string(late) +
               " ran later than drain_ms at a server that had left");
    vms.clear();
    const int held = late > 0 ? 1 : 0;
    finish(answered == 0 ? 2 : held,
           std::to_string(answered.load()) + " requests answered, " + std::to_string(late) + " ran too late");
}
