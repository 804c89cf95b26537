#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "decisions/fake_log.hpp"
#include "fixed_seed.hpp"

using namespace cornelstall;
using std::chrono::milliseconds;

namespace
{

/// Deliberately wrong variants; each must be caught.
enum class fault
{
    none,
    judge_without_reading,  ///< takes an acknowledged append for a won claim
    ignore_abandoned,       ///< sends although it has abandoned its claim
    ignore_time,            ///< sends after its claim's time
    start_at_head,          ///< starts to read at the head instead of the oldest record
    free_lost_claims,       ///< treats a claim without outcome as free after the caller's limit
    deny_after_send         ///< tells did_not_run for a call whose answer was lost
};

constexpr milliseconds limit{4'000};

struct attempt
{
    claim_key key_;
    claim_id id_;
    time_point started_;
    milliseconds duration_{0};
    bool read_since_append_ = false;
    bool acknowledged_ = false;
};

struct vm
{
    vm_id id_;
    claim_index index_;
    std::optional<attempt> attempt_;
    time_point paused_until_;
    int claims_ = 0;
};

/// Several VMs that get the same calls, on a faulty log.
struct fleet
{
    fault fault_ = fault::none;
    testing::fake_stream<claims_record> log_;
    std::vector<vm> vms_;
    time_point now_;
    int keys_ = 10;
    std::map<claim_key, std::vector<time_point>> sent_;
    std::map<claim_id, claim_key> sent_claims_;
    std::set<claim_id> denied_;  ///< attempts whose caller was told did_not_run

    std::mt19937_64& random_;

    fleet(fault which, std::mt19937_64& random) : fault_(which), random_(random)
    {
        vms_.resize(3);
        for (std::size_t number = 0; number < vms_.size(); ++number)
        {
            vms_[number].id_ = vm_id{std::to_string(number)};
        }
    }

    template <class Number = int>
    Number draw(Number from, Number end)
    {
        return std::uniform_int_distribution<Number>(from, end - 1)(random_);
    }

    void read(vm& self, std::size_t records)
    {
        if (log_.down_ || now_ < self.paused_until_)
        {
            return;
        }
        apply(self.index_, log_.read<claims_batch>(self.index_.next_, records));
    }

    void append(const claims_record& record, int fate)
    {
        // 0: refused; 1: arrives late; 2: appended, acknowledgement lost; others: appended.
        if (fate == 1 && !log_.down_)
        {
            log_.append_late(record, now_ + milliseconds{draw(1, 9'000)});
        }
        else if (fate != 0 && !log_.down_)
        {
            log_.append(record, now_);
        }
    }

    void start(vm& self, const claim_key& key, int fate)
    {
        const auto decision = evaluate_key(self.index_, key, {}, now_, now_);
        const bool free = decision.kind_ == key_decision_kind::may_claim ||
                          (fault_ == fault::free_lost_claims && decision.kind_ == key_decision_kind::unknown);
        if (self.attempt_ || !free)
        {
            return;
        }
        const claim_id id{self.id_.get() + "/" + std::to_string(++self.claims_)};
        self.attempt_ = attempt{key, id, now_, claim_duration(limit, log_.retention_)};
        self.attempt_->acknowledged_ = fate > 2 && !log_.down_;
        append(claim_record{id, self.id_, key, {}}, fate);
    }

    void finish(vm& self, int fate)
    {
        const attempt mine = self.attempt_.value_or(attempt{});
        const auto standing = evaluate_claim(self.index_, mine.key_, mine.id_);
        const bool in_time = fault_ == fault::ignore_time || may_send(mine.started_, mine.duration_, now_);
        const bool won = standing == claim_result::won ||
                         (fault_ == fault::judge_without_reading && mine.acknowledged_) ||
                         (fault_ == fault::free_lost_claims && standing == claim_result::lost);
        if (won && in_time)
        {
            send(self, mine, fate);
            return;
        }
        if (standing != claim_result::pending || !in_time)
        {
            append(abandoned_record{mine.id_}, std::max(fate, 1));
            denied_.insert(mine.id_);
            if (fault_ != fault::ignore_abandoned || draw(0, 2) == 0)
            {
                self.attempt_.reset();
            }
            else
            {
                send(self, mine, fate);
            }
        }
    }

    void send(vm& self, const attempt& mine, int fate)
    {
        sent_[mine.key_].push_back(now_);
        sent_claims_[mine.id_] = mine.key_;
        const bool answered = draw(0, 3) > 0;
        if (!answered && fault_ == fault::deny_after_send)
        {
            denied_.insert(mine.id_);
            append(abandoned_record{mine.id_}, fate);
        }
        else
        {
            const recorded_answer answer{answered ? outcome::ran : outcome::unknown, 200, "", "", false};
            append(outcome_record{mine.id_, mine.key_, {}, answer}, fate);
        }
        self.attempt_.reset();
    }

    void step()
    {
        now_ += milliseconds{draw(1, 400)};
        log_.advance(now_);
        vm& self = vms_[draw<std::size_t>(0, vms_.size())];
        const int fate = draw(0, 6);
        switch (draw(0, 12))
        {
            case 0:
                log_.down_ = draw(0, 4) == 0;
                break;
            case 1:
                self.paused_until_ = now_ + milliseconds{draw(0, 40'000)};
                break;
            case 2:
                restart(self);
                break;
            case 3:
            case 4:
            case 5:
                read(self, draw<std::size_t>(1, 9));
                break;
            default:
                act(self, fate);
        }
    }

    /// A VM that is replaced has a new id and knows nothing; its attempt ends without a word.
    void restart(vm& self)
    {
        if (draw(0, 4) == 0)
        {
            self = vm{vm_id{self.id_.get() + "'"}, {}, {}, {}, 0};
            if (fault_ == fault::start_at_head)
            {
                self.index_.next_ = log_offset{log_.entries_.size() + 1};
            }
        }
    }

    void act(vm& self, int fate)
    {
        if (now_ < self.paused_until_)
        {
            return;
        }
        const claim_key key{caller_id{"c"}, idempotency_key{std::to_string(draw(0, keys_))}};
        if (self.attempt_)
        {
            finish(self, fate);
        }
        else
        {
            start(self, key, fate);
        }
    }
};

/// Runs random interleavings; the log keeps records for long, or for so short that it forgets within a run.
bool is_safe(fault which, milliseconds retention, std::uint64_t seed)
{
    const char* const name = "a key's call is sent at most once while the log retains its claim";
    return holds_for_random_runs(seed, name, 100, [=](std::mt19937_64& random) {
        fleet all(which, random);
        all.log_.retention_ = retention;
        // A forgotten key must be claimed again soon for an overlap to show.
        all.keys_ = retention < std::chrono::hours{1} ? 2 : 10;
        for (int steps = 0; steps < 2'000; ++steps)
        {
            all.step();
        }
        const bool once = std::ranges::all_of(all.sent_, [&](const auto& sent) {
            return std::ranges::adjacent_find(sent.second, [&](time_point first, time_point second) {
                       return second - first < retention / 2;
                   }) == sent.second.end();
        });
        return once && std::ranges::none_of(all.sent_claims_,
                                            [&](const auto& sent) { return all.denied_.contains(sent.first); });
    });
}

}  // namespace

TEST_CASE("over random interleavings a call is sent at most once and nobody is told that a sent call did not run")
{
    REQUIRE(is_safe(fault::none, std::chrono::hours{1}, 6001));
    REQUIRE(is_safe(fault::none, std::chrono::seconds{20}, 6002));
}

TEST_CASE("the random interleavings find each deliberately wrong claimant")
{
    REQUIRE_FALSE(is_safe(fault::judge_without_reading, std::chrono::hours{1}, 6001));
    REQUIRE_FALSE(is_safe(fault::ignore_abandoned, std::chrono::hours{1}, 6001));
    REQUIRE_FALSE(is_safe(fault::free_lost_claims, std::chrono::hours{1}, 6001));
    REQUIRE_FALSE(is_safe(fault::deny_after_send, std::chrono::hours{1}, 6001));
    REQUIRE_FALSE(is_safe(fault::ignore_time, std::chrono::seconds{20}, 6002));
    REQUIRE_FALSE(is_safe(fault::start_at_head, std::chrono::hours{1}, 6001));
}
