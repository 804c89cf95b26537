#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <random>

#include "cornelstall/decisions.hpp"
#include "fixed_seed.hpp"

using namespace cornelstall;

namespace
{

constexpr byte_count block{4};
constexpr byte_count largest_body{60};
constexpr milliseconds step{100};
constexpr int arrival_steps = 200;
/// Far above the steps in which 100 bodies of 15 blocks are read one after the other.
constexpr int max_steps = 10'000;

body_reading_limits small_limits()
{
    return {byte_count{100}, byte_count{8}, byte_count{8}, milliseconds{1000}};
}

enum class sender
{
    steady,  ///< a block at each step
    silent,  ///< nothing from some point on
    slow     ///< a byte at each second step, which is less than the least progress
};

struct sent_body
{
    body_id id_;
    sender kind_ = sender::steady;
    byte_count size_;
    byte_count silent_from_;
    byte_count arrived_;
    bool reserved_ = false;
    time_point last_block_;
    bool ended_ = false;
    bool refused_ = false;
};

struct history
{
    body_reading_table table_;
    std::vector<sent_body> bodies_;
    time_point now_;
};

sent_body* find(history& run, body_id id)
{
    const auto found = std::ranges::find(run.bodies_, id, &sent_body::id_);
    return found == run.bodies_.end() ? nullptr : &*found;
}

void start_body(history& run, std::mt19937_64& random)
{
    sent_body body;
    body.id_ = begin_body(run.table_, run.now_);
    body.kind_ = static_cast<sender>(random() % 3);
    body.size_ = byte_count{1 + random() % largest_body.get()};
    body.silent_from_ = byte_count{random() % body.size_.get()};
    body.last_block_ = run.now_;
    run.bodies_.push_back(body);
}

void end(history& run, sent_body& body)
{
    body.ended_ = true;
    end_body(run.table_, body.id_);
}

byte_count next_bytes(const sent_body& body, int number)
{
    const auto rest = byte_count{body.size_.get() - body.arrived_.get()};
    switch (body.kind_)
    {
        case sender::steady:
            return std::min(block, rest);
        case sender::silent:
            return body.arrived_ < body.silent_from_ ? std::min(block, rest) : byte_count{0};
        case sender::slow:
            return byte_count{number % 2 == 0 ? 1ULL : 0ULL};
    }
    return {};
}

/// @return false when a body was refused that may not be
bool refuse_stalled(history& run)
{
    const auto stalled = find_stalled_body(run.table_, run.now_);
    if (!stalled)
    {
        return true;
    }
    auto* const body = find(run, *stalled);
    const bool allowed = body != nullptr && !body->ended_ && body->kind_ != sender::steady &&
                         run.table_.bodies_.at(*stalled).held_ > run.table_.limits_.small_;
    if (body != nullptr)
    {
        body->refused_ = true;
        end(run, *body);
    }
    return allowed;
}

bool advance(history& run, sent_body& body, int number)
{
    if (!body.reserved_ && !reserve_read(run.table_, body.id_, block, run.now_))
    {
        return refuse_stalled(run);
    }
    body.reserved_ = true;
    const auto count = next_bytes(body, number);
    if (count > byte_count{0})
    {
        settle_read(run.table_, body.id_, block, count, run.now_);
        body.reserved_ = false;
        body.arrived_ += count;
    }
    if (body.arrived_ == body.size_)
    {
        end(run, body);
    }
    return true;
}

bool sums_agree(const history& run)
{
    const auto sum = std::accumulate(run.table_.bodies_.begin(), run.table_.bodies_.end(), byte_count{0},
                                     [](byte_count total, const auto& entry) { return total + entry.second.held_; });
    return sum == run.table_.held_;
}

bool memory_is_bounded(const history& run)
{
    const auto small = run.table_.limits_.small_.get() * run.table_.bodies_.size();
    return run.table_.held_.get() <= run.table_.limits_.total_.get() + largest_body.get() + small;
}

bool steady_bodies_are_read(const history& run)
{
    return std::ranges::all_of(run.bodies_,
                               [](const sent_body& body) { return body.kind_ != sender::steady || body.ended_; });
}

}  // namespace

// Guards against memory that grows with the number of bodies, against bodies that wait for each other without end, and
// against refusing a caller that sends steadily.
TEST_CASE("memory for bodies stays bounded, and every body that is sent steadily is read")
{
    const auto run_once = [](std::mt19937_64& random) {
        history run;
        run.table_.limits_ = small_limits();
        const auto arrivals_per_step = 1 + random() % 3;
        for (int number = 0; number < max_steps; ++number)
        {
            if (number < arrival_steps && random() % 3 < arrivals_per_step)
            {
                start_body(run, random);
            }
            const bool kept = std::ranges::all_of(run.bodies_, [&](sent_body& body) {
                return (body.ended_ || advance(run, body, number)) && sums_agree(run) && memory_is_bounded(run);
            });
            if (!kept)
            {
                return false;
            }
            if (number >= arrival_steps && steady_bodies_are_read(run))
            {
                return true;
            }
            run.now_ += step;
        }
        return false;
    };
    REQUIRE(holds_for_random_runs(61, "body_reading", 200, run_once));
}

TEST_CASE("a body above the whole memory for bodies is read when nothing else is")
{
    body_reading_table table;
    table.limits_ = small_limits();
    const time_point now{};
    const auto body = begin_body(table, now);
    for (int number = 0; number < 100; ++number)
    {
        REQUIRE(reserve_read(table, body, block, now));
        settle_read(table, body, block, block, now);
    }
    SECTION("a second one waits for it, and small ones do not")
    {
        const auto small = begin_body(table, now);
        REQUIRE(reserve_read(table, small, block, now));
        settle_read(table, small, block, block, now);
        REQUIRE(reserve_read(table, small, block, now));
        settle_read(table, small, block, block, now);
        REQUIRE_FALSE(reserve_read(table, small, block, now));
        end_body(table, body);
        REQUIRE(reserve_read(table, small, block, now));
    }
}
