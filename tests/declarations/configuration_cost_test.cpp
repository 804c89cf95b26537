#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include <catch2/catch.hpp>

#include "cornelstall/declarations.hpp"

using namespace cornelstall;

namespace
{

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    for (auto place = text.find(from); place != std::string::npos; place = text.find(from, place + to.size()))
    {
        text.replace(place, from.size(), to);
    }
    return text;
}

std::string text_of(const std::string& service, int revision)
{
    std::ifstream in(std::string(SOURCE_DIR) + "/examples/dispatch/dispatch.cornelstall.toml");
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    return replaced(replaced(text, "\"dispatch\"", "\"" + service + "\""), "max_output_tokens = 1024",
                    "max_output_tokens = " + std::to_string(revision + 1));
}

template <class Work>
double microseconds_each(int times, Work work)
{
    const auto started = std::chrono::steady_clock::now();
    for (int number = 0; number < times; ++number)
    {
        work(number);
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - started).count() / times;
}

}  // namespace

// Hidden: prints the figures of docs/design/configuration.md and asserts no time.
// Run with: test_declarations "[measure]"
TEST_CASE("cost of a change with many services", "[.][measure]")
{
    constexpr int times = 100;
    for (const int services : {100, 300, 1000, 3000})
    {
        configuration_state state;
        change_record all{publication_id{"all"}, {}};
        for (int number = 0; number < services; ++number)
        {
            const auto name = "service-" + std::to_string(number);
            all.changes_.push_back({service_id{name}, log_offset{0}, text_of(name, 0)});
        }
        REQUIRE(apply_change(state, log_offset{1}, all, parse_declaration).status_ == change_status::accepted);
        REQUIRE(state.parse_errors_.empty());
        const double parse = microseconds_each(
            times, [](int number) { return parse_declaration(service_id{"dispatch"}, text_of("dispatch", number)); });
        std::shared_ptr<const configuration> held;
        const auto change_one = [&](int number) {
            const service_id service{"service-" + std::to_string(number % services)};
            const auto base = state.active_config_->declarations_.at(service).accepted_at_;
            const change_record record{publication_id{"p"}, {{service, base, text_of(service.get(), number + 1)}}};
            apply_change(state, state.read_through_.next(), record, parse_declaration);
        };
        const double catching_up = microseconds_each(times, change_one);
        const double change = microseconds_each(times, [&](int number) {
            held = state.active_config_;
            change_one(number + times);
        });
        configuration_state joining;
        const auto parts = make_snapshot(state, "s", byte_count{393'216});
        const double start = microseconds_each(1, [&](int) {
            snapshot_assembly assembly;
            for (const auto& part : parts)
            {
                if (const auto whole = assemble(assembly, part))
                {
                    replace_if_newer(joining, *whole, parse_declaration);
                }
            }
        });
        REQUIRE(joining.active_config_->version_ == state.active_config_->version_);
        std::cout << services << " services: parse " << parse << " us, change " << change << " us, while catching up "
                  << catching_up << " us, start from a "
                  << "snapshot of " << parts.size() << " parts " << start << " us\n";
    }
}
