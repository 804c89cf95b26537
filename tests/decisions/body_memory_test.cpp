#include <catch2/catch.hpp>

#include <numeric>
#include <random>

#include "cornelstall/decisions.hpp"
#include "fixed_seed.hpp"

using namespace cornelstall;

namespace
{

const time_point start{std::chrono::hours{1}};
constexpr byte_count block{16ULL * 1024};
constexpr byte_count largest_body{4ULL * 1024 * 1024};
/// Interval at which a body that waits for memory asks again.
constexpr milliseconds ask_interval{25};

body_memory memory_of(std::uint64_t mebibytes)
{
    body_memory memory;
    memory.limit_ = byte_count{mebibytes * 1024 * 1024};
    return memory;
}

/// Lets the body grow until it holds @a size or gets no more.
void fill(body_memory& memory, body_id id, byte_count size, time_point now)
{
    while (memory.bodies_.at(id).held_ < size && grow_body(memory, id, block, now).granted_)
    {}
}

/// Asks for @a size bytes as the gateway does, which closes the bodies that are to be refused.
/// @return the time after which all of it was granted; nothing when it was not within @a limit
std::optional<milliseconds> time_to_grow(body_memory& memory, byte_count size, milliseconds limit, time_point from)
{
    const auto id = open_body(memory, from);
    milliseconds waited{0};
    while (memory.bodies_.at(id).held_ < size && waited <= limit)
    {
        const auto growth = grow_body(memory, id, block, from + waited);
        if (growth.refuse_)
        {
            close_body(memory, *growth.refuse_);
        }
        waited += growth.granted_ ? milliseconds{0} : ask_interval;
    }
    return waited <= limit ? std::optional(waited) : std::nullopt;
}

/// Lets a random crowd open, fill, complete and close bodies.
/// @return false when the bodies hold more than the budget, or when a complete body is to be refused
bool keeps_budget(std::mt19937_64& random)
{
    const auto draw = [&random](std::uint64_t least, std::uint64_t most) {
        return std::uniform_int_distribution<std::uint64_t>(least, most)(random);
    };
    auto memory = memory_of(draw(6, 32));
    auto now = start;
    std::vector<body_id> open;
    bool kept = true;
    for (int step = 0; step < 600; ++step)
    {
        now += milliseconds{draw(0, 60)};
        if (open.empty() || draw(0, 4) == 0)
        {
            open.push_back(open_body(memory, now));
        }
        const auto chosen = open[draw(0, open.size() - 1)];
        switch (draw(0, 9))
        {
            case 0:
                close_body(memory, chosen);
                std::erase(open, chosen);
                break;
            case 1:
                complete_body(memory, chosen);
                break;
            default:
                const auto growth = grow_body(memory, chosen, byte_count{draw(1, 1024ULL * 1024)}, now);
                kept = kept && (!growth.refuse_ || !memory.bodies_.at(*growth.refuse_).complete_);
        }
        const auto held = std::accumulate(memory.bodies_.begin(), memory.bodies_.end(), byte_count{0},
                                          [](byte_count sum, const auto& entry) { return sum + entry.second.held_; });
        kept = kept && memory.used_ == held && memory.used_ <= memory.limit_;
    }
    return kept;
}

}  // namespace

// Guards against a process that runs out of memory by what callers send, whatever the order of their blocks.
TEST_CASE("the bodies of random crowds never hold more than the budget")
{
    REQUIRE(holds_for_random_runs(20261206, "the bodies keep to the budget", 300, keeps_budget));
}

// Guards against a crowd that stops in the middle of its bodies and keeps others out for good.
TEST_CASE("a crowd that stalls keeps out neither small bodies nor the largest one")
{
    const auto crowd = GENERATE(byte_count{4ULL * 1024}, byte_count{64ULL * 1024}, largest_body);
    auto memory = memory_of(20);
    for (int caller = 0; caller < 6000; ++caller)
    {
        fill(memory, open_body(memory, start), crowd, start);
    }
    const auto small = time_to_grow(memory, block, milliseconds{1000}, start);
    REQUIRE(small);
    CHECK(time_to_grow(memory, largest_body, milliseconds{20'000}, start));
}

TEST_CASE("small bodies find room at once while large ones of sound callers use up their part")
{
    auto memory = memory_of(20);
    for (int caller = 0; caller < 8; ++caller)
    {
        const auto id = open_body(memory, start);
        fill(memory, id, largest_body, start);
        complete_body(memory, id);
    }
    for (int caller = 0; caller < 50; ++caller)
    {
        CHECK(time_to_grow(memory, byte_count{48ULL * 1024}, milliseconds{0}, start));
    }
}

TEST_CASE("a body that goes on arriving is not refused for one that is stalled")
{
    auto memory = memory_of(8);
    const auto stalled = open_body(memory, start);
    fill(memory, stalled, byte_count{1024ULL * 1024}, start);
    const auto sound = open_body(memory, start);
    const auto later = start + std::chrono::seconds{2};
    fill(memory, sound, largest_body, later);
    const auto asking = open_body(memory, later);
    fill(memory, asking, largest_body, later);
    const auto growth = grow_body(memory, asking, block, later);
    REQUIRE_FALSE(growth.granted_);
    CHECK(growth.refuse_ == stalled);
}

// Guards against sound uploads that are refused as stalled because reading them is paused for lack of memory.
TEST_CASE("a body whose reading is paused is not refused as stalled")
{
    auto memory = memory_of(8);
    const auto paused = open_body(memory, start);
    const auto sound = open_body(memory, start);
    fill(memory, paused, byte_count{3ULL * 1024 * 1024}, start);
    fill(memory, sound, largest_body, start);
    for (auto now = start; now < start + std::chrono::seconds{1}; now += ask_interval)
    {
        REQUIRE_FALSE(grow_body(memory, paused, block, now).granted_);
        CHECK_FALSE(grow_body(memory, sound, block, now).refuse_);
    }
}

TEST_CASE("complete bodies are never refused for others")
{
    auto memory = memory_of(8);
    const auto complete = open_body(memory, start);
    fill(memory, complete, largest_body, start);
    complete_body(memory, complete);
    const auto asking = open_body(memory, start);
    fill(memory, asking, largest_body, start);
    const auto growth = grow_body(memory, asking, block, start + std::chrono::seconds{10});
    CHECK_FALSE(growth.granted_);
    CHECK_FALSE(growth.refuse_);
}

TEST_CASE("beyond the limit the slowest request is closed first, then the longest idle connection")
{
    caller_connections all;
    all.limit_ = 3;
    const auto serving = open_connection(all, start);
    set_stage(all, serving, connection_stage::serving, start);
    const auto slow = open_connection(all, start);
    set_stage(all, slow, connection_stage::reading, start);
    const auto idle = open_connection(all, start);
    CHECK_FALSE(choose_connection_to_close(all, start));
    const auto newest = open_connection(all, start + milliseconds{500});
    CHECK(choose_connection_to_close(all, start + milliseconds{500}) == idle);
    CHECK(choose_connection_to_close(all, start + std::chrono::seconds{2}) == slow);
    close_connection(all, slow);
    CHECK_FALSE(choose_connection_to_close(all, start + std::chrono::seconds{2}));
    set_stage(all, idle, connection_stage::serving, start);
    (void)open_connection(all, start + std::chrono::seconds{3});
    CHECK(choose_connection_to_close(all, start + std::chrono::seconds{3}) == newest);
}
