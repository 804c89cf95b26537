/// @file
/// Measures the cost of membership: starts members in one process on loopback, waits until they know each other, and
/// prints messages, bytes and processor time for each member and second, the memory of the process, and the time until
/// all know that a killed member is dead. Not part of the tests; figures are in docs/design/membership.md.
///
///     build/dev/tests/measure_membership MEMBERS SECONDS ENGINES_PER_MEMBER

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <numeric>

#include "cornelstall/runtime.hpp"

using namespace cornelstall;
using namespace std::chrono_literals;

namespace
{

/// One member. Its engines change their load coarsely every second.
struct measured_member
{
    metrics counters_;
    peer_handlers handlers_;
    std::unique_ptr<peer_server> server_;
    member_loop_ptr loop_;
};

engine_state engine_of(const std::string& owner, int number, int running)
{
    engine_state engine;
    engine.id_ = engine_id{owner + "-engine-" + std::to_string(number)};
    engine.address_ = socket_address{"10.0.0.1:8000"};
    engine.data_centre_ = data_centre_id{"home"};
    engine.condition_ = engine_condition::ready;
    engine.load_.slots_ = 16;
    engine.load_.running_ = running;
    engine.load_.kv_total_ = token_count{400'000};
    engine.load_.prefill_rate_ = token_rate{20'000};
    engine.load_.decode_rate_ = token_rate{50};
    engine.load_.models_ = {{model_id{"model-seventy"}, model_version{"3"}, {}}};
    return engine;
}

task<> publish_engines(member_loop_ptr loop, int engines)
{
    for (int round = 0; !loop->stopping_; ++round)
    {
        for (int number = 0; number < engines; ++number)
        {
            publish(loop->view_.engines_, loop->view_.members_,
                    engine_of(loop->settings_.self_.id_.get(), number, round % 2 == 0 ? 2 : 12),
                    std::chrono::steady_clock::now());
        }
        co_await sleep_for(1s);
    }
}

std::unique_ptr<measured_member> start_member(boost::asio::io_context& io, int number, std::vector<peer_seed> seeds,
                                              int engines)
{
    auto made = std::make_unique<measured_member>();
    measured_member* const self = made.get();
    peer_handlers forwarding;
    forwarding.exchange_ = [self](exchange_delta delta, std::shared_ptr<peer_call> call) {
        return self->handlers_.exchange_(std::move(delta), std::move(call));
    };
    forwarding.probe_ = [self](probe_request request, std::shared_ptr<peer_call> call) {
        return self->handlers_.probe_(std::move(request), std::move(call));
    };
    const peer_credentials credentials{"key", {}, {}, {}};
    made->server_ = std::make_unique<peer_server>(io.get_executor(), socket_address{"127.0.0.1:0"}, credentials,
                                                  forwarding, made->counters_);
    member_settings settings;
    settings.self_ = {vm_id{"vm-" + std::to_string(number)},
                      socket_address{"127.0.0.1:" + std::to_string(made->server_->port())}, data_centre_id{"home"},
                      incarnation{1}, member_state::alive};
    settings.seeds_ = std::move(seeds);
    settings.credentials_ = credentials;
    settings.random_seed_ = static_cast<std::uint64_t>(number);
    made->loop_ = start_member_loop(io.get_executor(), settings, {}, made->counters_);
    add_member_handlers(made->handlers_, made->loop_);
    spawn(io.get_executor(), "publish", publish_engines(made->loop_, engines));
    return made;
}

using fleet = std::vector<std::unique_ptr<measured_member>>;

std::uint64_t sum_of(const fleet& members, std::string_view counter)
{
    return std::transform_reduce(members.begin(), members.end(), std::uint64_t{0}, std::plus{},
                                 [&](const auto& each) { return each->counters_.counter(counter); });
}

bool all_know(const fleet& members, std::size_t count)
{
    return std::ranges::all_of(members, [&](const auto& each) {
        return each->loop_->stopping_ ||
               live_members(each->loop_->view_.members_, data_centre_id{"home"}).size() == count;
    });
}

double processor_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double resident_megabytes()
{
    std::ifstream file("/proc/self/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    return static_cast<double>(resident) * 4096.0 / 1e6;
}

/// @return seconds until @a condition held, or -1 after two minutes
double wait_for(boost::asio::io_context& io, const std::function<bool()>& condition)
{
    const auto begin = std::chrono::steady_clock::now();
    while (!condition())
    {
        if (std::chrono::steady_clock::now() - begin > 120s)
        {
            return -1;
        }
        io.run_for(20ms);
    }
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

}  // namespace

int main(int count, char** values)
{
    if (count != 4)
    {
        std::cerr << "usage: measure_membership MEMBERS SECONDS ENGINES_PER_MEMBER\n";
        return 2;
    }
    const int members = std::stoi(values[1]);
    const int seconds = std::stoi(values[2]);
    const int engines = std::stoi(values[3]);
    start_logging(severity::error);
    boost::asio::io_context io;
    fleet all;
    for (int number = 0; number < members; ++number)
    {
        const auto seeds = all.empty() ? std::vector<peer_seed>{}
                                       : std::vector{peer_seed{all.front()->loop_->settings_.self_.peer_address_, {}}};
        all.push_back(start_member(io, number, seeds, engines));
    }
    const double joined = wait_for(io, [&] { return all_know(all, all.size()); });
    // Each peer has exchanged at least twice after this, so that connections are open and first messages are over.
    io.run_for(exchange_interval({}, all.size(), 1.0) * 2 + 1s);

    const auto messages = sum_of(all, "peer_messages_sent_total");
    const auto bytes = sum_of(all, "peer_bytes_sent_total") + sum_of(all, "peer_bytes_received_total");
    const double used = processor_seconds();
    const auto begin = std::chrono::steady_clock::now();
    io.run_for(std::chrono::seconds{seconds});
    const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    const double share = elapsed * members;
    const auto exchanged = static_cast<double>(sum_of(all, "peer_messages_sent_total") - messages);
    const auto moved =
        static_cast<double>(sum_of(all, "peer_bytes_sent_total") + sum_of(all, "peer_bytes_received_total") - bytes);
    const double cpu = processor_seconds() - used;
    const double resident = resident_megabytes();
    const auto suspicions = sum_of(all, "members_suspected_total");

    stop(*all.back()->loop_);
    all.back()->server_.reset();
    const double noticed = wait_for(io, [&] { return all_know(all, all.size() - 1); });

    std::cout << "members " << members << " engines/member " << engines << " joined_s " << joined
              << " exchanges/node/s " << exchanged / share << " payload_sent_bytes/node/s " << moved / share
              << " cpu_ms/node/s " << cpu / share * 1000.0 << " rss_mb/node " << resident / members << " suspicions "
              << suspicions << " death_known_s " << noticed << '\n';
    std::ranges::for_each(all, [](const auto& each) { stop(*each->loop_); });
    io.restart();
    io.run_for(30s);
    return 0;
}
