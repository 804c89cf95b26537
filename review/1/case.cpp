/// @file
/// The store refuses all calls for some seconds, and a route is added soon after its return. Later than
/// `config_apply_ms` after the acknowledgement, and once the store has been stable for `stable_window_ms`, no VM may
/// answer 404 there.

#include <algorithm>

#include "../tools/standins.hpp"

namespace
{

using namespace review;

constexpr std::int64_t config_apply_ms = 2000;
constexpr std::int64_t stable_window_ms = 3000;
constexpr std::int64_t outage_ms = 7600;
/// From the end of the outage to the new configuration.
constexpr std::int64_t change_after_ms = 500;
constexpr int rounds = 3;
constexpr int vm_count = 6;

}  // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
    {
        return 2;
    }
    record notes(argv[3]);
    store platform;
    std::atomic<bool> refusing{false};
    platform.before_call_ = [&refusing](const std::string&, const std::string&) {
        return !refusing;
    };
    platform.put("keyed.op", "config", configuration(1));
    server one("i-1", notes, milliseconds{15});
    std::atomic<bool> ended{false};
    std::thread heartbeats([&] {
        while (!ended)
        {
            if (!refusing)
            {
                ++one.sequence_;
                platform.put("keyed.servers", one.id(), one.entry("calls", "ready"));
            }
            sleep_ms(1200);
        }
    });
    std::vector<std::unique_ptr<vm_process>> vms;
    for (int index = 0; index < vm_count; ++index)
    {
        const auto name = "edge-" + std::to_string(index + 1);
        vms.push_back(std::make_unique<vm_process>(name, "127.0.0." + std::to_string(index + 2), argv[1], argv[2],
                                                   platform.open_for(name), notes));
        vms.back()->start();
    }
    const bool all_ready =
        std::ranges::all_of(vms, [](const auto& vm) { return vm->wait_ready(milliseconds{10'000}); });
    if (!all_ready)
    {
        vms.clear();
        finish(2, "a VM is not ready");
    }
    int late = 0;
    int asked = 0;
    for (int round = 0; round < rounds; ++round)
    {
        sleep_ms(4000);
        if (is_disturbed())
        {
            notes.line("the store closes all connections without an answer");
            refusing = true;
        }
        sleep_ms(outage_ms);
        refusing = false;
        const auto outage_end = now_ms();
        notes.line("the store answers again");
        sleep_ms(change_after_ms);
        const auto route = "added" + std::to_string(round);
        platform.put("keyed.op", "config", configuration(2 + round, route));
        const auto acknowledged = now_ms();
        notes.line("version " + std::to_string(2 + round) + " with the public route /" + route + "/ is acknowledged");
        const auto from = std::max(acknowledged + config_apply_ms, outage_end + stable_window_ms) + 20;
        sleep_ms(from - now_ms());
        for (int number = 0; now_ms() < outage_end + stable_window_ms + 1500; ++number)
        {
            for (const auto& vm : vms)
            {
                const auto id = "look-" + std::to_string(round) + "-" + std::to_string(number) + "-" + vm->name();
                const auto sent = now_ms();
                const auto answer = ask(vm->front(), "GET", "/" + route + "/x", id, milliseconds{1000});
                ++asked;
                notes.line("sent to " + vm->name() + ": GET /" + route + "/x, Attempt-Id " + id + ", answered " +
                           (answer ? answer->start_line_ : "nothing"));
                if (answer && answer->status() == 404)
                {
                    ++late;
                    notes.line("BROKEN CONFIG: " + vm->name() + " answered 404 to a request sent " +
                               std::to_string(sent - acknowledged) + " ms after the acknowledgement and " +
                               std::to_string(sent - outage_end) + " ms after the end of the outage");
                }
            }
            sleep_ms(50);
        }
    }
    ended = true;
    heartbeats.join();
    vms.clear();
    const auto summary = std::to_string(late) + " of " + std::to_string(asked) + " requests were refused with 404";
    notes.line(summary);
    finish(late > 0 ? 1 : 0, summary);
}
