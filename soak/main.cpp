#include <fstream>
#include <iostream>

#include <cxxopts.hpp>

#include "process/faults.hpp"
#include "request/caller.hpp"

namespace cornelstall::soak
{

namespace
{

using clock = std::chrono::steady_clock;

/// After the last fault the product serves everything again within this time.
constexpr std::chrono::seconds recovery{12};
constexpr std::chrono::seconds check_interval{2};
/// Reserved memory whose user is gone is free again after this time.
constexpr milliseconds memory_limit{4000};
/// Rounds of one call of each kind to each VM after the recovery.
constexpr int final_rounds = 4;
constexpr unsigned ok = 200;

struct soak_result
{
    std::vector<finding> findings_;
    bool finished_ = false;
};

void print_new(const std::vector<finding>& before, const std::vector<finding>& found)
{
    for (const auto& each : found)
    {
        if (std::ranges::find(before, each) == before.end())
        {
            std::cout << "not kept: " << each.promise_ << " " << each.subject_ << ": " << each.text_ << std::endl;
        }
    }
}

void check_now(deployment& all, soak_result& result)
{
    read_journals(all);
    const auto check = all.settings_.planned_stops_ ? check_planned_work : check_promises;
    auto found = check(all.seen_, all.settings_.bounds_, all.settings_.events_, clock::now());
    print_new(result.findings_, found);
    result.findings_ = std::move(found);
}

/// Requests that were sent after everything was repaired and not served.
std::vector<finding> check_recovered(const deployment& all, std::size_t first)
{
    std::vector<finding> found;
    for (std::size_t index = first; index < all.seen_.requests_.size(); ++index)
    {
        const auto& request = all.seen_.requests_[index];
        if (!request.left_ && (!request.whole_ || request.status_ != ok))
        {
            found.push_back({"recovers", request.id_, "status " + std::to_string(request.status_)});
        }
    }
    return found;
}

task<> play(deployment& all, soak_result& result)
{
    co_await start_deployment(all);
    for (std::size_t index = 0; index < all.settings_.callers_; ++index)
    {
        spawn(all.executor_, "call_until_end", call_until_end(all));
    }
    const auto draw = all.settings_.planned_stops_ ? draw_planned_work : draw_faults;
    const auto faults = draw(all.random_, all.settings_.length_);
    for (const auto& fault : faults)
    {
        std::cout << fault.at_.count() << " ms: " << fault.kind_ << " " << fault.target_ << " for "
                  << fault.length_.count() << " ms" << std::endl;
        spawn(all.executor_, "play_fault", play_fault(all, fault));
    }
    const auto end = clock::now() + all.settings_.length_ + recovery;
    while (clock::now() < end)
    {
        co_await sleep_for(check_interval);
        check_now(all, result);
    }
    all.ending_ = true;
    co_await sleep_for(check_interval);
    const std::size_t first_after = all.seen_.requests_.size();
    for (int round = 0; round < final_rounds && !all.settings_.planned_stops_; ++round)
    {
        co_await call_each_vm(all);
    }
    co_await sleep_for(memory_limit);
    check_now(all, result);
    auto found = check_recovered(all, first_after);
    const auto held = co_await check_memory_is_free(all);
    found.insert(found.end(), held.begin(), held.end());
    print_new(result.findings_, found);
    result.findings_.insert(result.findings_.end(), found.begin(), found.end());
    result.finished_ = true;
}

/// Sizes of the site on which streams were lost around planned stops; a short idle limit gives more reused connections.
void plan_stops(soak_settings& settings)
{
    settings.planned_stops_ = true;
    settings.vms_ = 6;
    settings.servers_ = 6;
    settings.callers_ = 64;
    settings.events_ = 38;
    settings.duration_ = milliseconds{40};
    settings.stream_target_ = milliseconds{1000};
    settings.idle_limit_ = milliseconds{4000};
    settings.bounds_.route_limit_ = milliseconds{10'000};
}

soak_settings settings_of(const cxxopts::ParseResult& flags)
{
    soak_settings settings;
    settings.seed_ = flags["seed"].as<std::uint64_t>();
    settings.length_ = std::chrono::seconds{flags["seconds"].as<int>()};
    settings.vms_ = flags["vms"].as<std::size_t>();
    settings.servers_ = flags["servers"].as<std::size_t>();
    settings.callers_ = flags["callers"].as<std::size_t>();
    settings.programs_ = flags["programs"].as<std::string>();
    settings.folder_ = flags["folder"].as<std::string>();
    settings.folder_ /= "soak-" + std::to_string(settings.seed_);
    if (flags["planned-stops"].as<bool>())
    {
        plan_stops(settings);
    }
    return settings;
}

int run(const soak_settings& settings)
{
    std::filesystem::remove_all(settings.folder_);
    boost::asio::io_context context(1);
    deployment all(context.get_executor(), settings);
    soak_result result;
    boost::asio::co_spawn(context, play(all, result), [&context](const std::exception_ptr& failure) {
        context.stop();
        if (failure)
        {
            std::rethrow_exception(failure);
        }
    });
    context.run();
    const auto served = std::ranges::count_if(
        all.seen_.requests_, [](const sent_request& request) { return request.whole_ && request.status_ == ok; });
    std::cout << "seed " << settings.seed_ << ": " << all.seen_.requests_.size() << " requests, " << served
              << " served, " << all.seen_.stops_.size() << " stops, " << all.seen_.changes_.size() << " changes, "
              << result.findings_.size() << " promises not kept" << std::endl;
    if (settings.planned_stops_)
    {
        const auto around = count_requests_in_planned_work(all.seen_, settings.bounds_);
        const auto lost = std::ranges::count(result.findings_, "planned_stop", &finding::promise_);
        std::cout << "around planned work: " << around << " requests, " << lost << " lost, "
                  << static_cast<double>(lost) * 1000.0 / static_cast<double>(std::max<std::size_t>(around, 1))
                  << " of 1000" << std::endl;
    }
    const bool kept = result.finished_ && result.findings_.empty();
    if (kept)
    {
        std::filesystem::remove_all(settings.folder_);
    }
    return kept ? 0 : 1;
}

}  // namespace

}  // namespace cornelstall::soak

int main(int argc, char** argv)
{
    constexpr int usage_error = 2;
    cxxopts::Options options{"soak", "Runs the product with faults drawn from a seed and checks its promises"};
    options.add_options()("seed", "draws faults and requests", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "length of the time with faults", cxxopts::value<int>()->default_value("20"))(
        "vms", "entry VMs", cxxopts::value<std::size_t>()->default_value("3"))(
        "servers", "backend servers of each service", cxxopts::value<std::size_t>()->default_value("4"))(
        "callers", "callers at once", cxxopts::value<std::size_t>()->default_value("16"))(
        "programs", "folder of the build", cxxopts::value<std::string>()->default_value("build/dev"))(
        "folder", "for logs; kept when a promise is not", cxxopts::value<std::string>()->default_value("/tmp"))(
        "planned-stops", "planned work and slow servers only, with sizes of its own")("help", "show the flags");
    try
    {
        const auto flags = options.parse(argc, argv);
        if (flags.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        return cornelstall::soak::run(cornelstall::soak::settings_of(flags));
    }
    catch (const std::exception& failure)
    {
        std::cerr << failure.what() << "\n";
        return usage_error;
    }
}
