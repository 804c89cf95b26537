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

/// Defects that can be built into the VMs; the property must fail with each of them.
enum class defect
{
    none,
    trust_acknowledgement,  ///< treats an acknowledged append as a won claim
    ignore_abandoned,       ///< sends after abandoning its claim
    ignore_expiry,          ///< sends after its claim has expired
    start_at_end,           ///< starts to read at the end instead of the oldest record
    reuse_claimed_key,      ///< claims a key with an unfinished claim after the caller's deadline
    report_sent_as_not_run  ///< reports did_not_run for a call whose response was lost
};

constexpr milliseconds caller_timeout{4'000};

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

/// VMs that receive the same calls, on a log that loses and delays appends.
struct simulated_fleet
{
    defect defect_ = defect::none;
    testing::fake_stream<claims_record> log_;
    std::vector<vm> vms_;
    time_point now_;
    int keys_ = 10;
    std::map<claim_key, std::vector<time_point>> sent_;
    std::map<claim_id, claim_key> sent_claims_;
    std::set<claim_id> reported_not_run_;  ///< attempts reported to the caller as did_not_run

    std::mt19937_64& random_;

    simulated_fleet(defect which, std::mt19937_64& random) : defect_(which), random_(random)
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

    void append(const claims_record& record, int append_case)
    {
        // 0: refused; 1: arrives late; 2: appended, acknowledgement lost; others: appended.
        if (append_case == 1 && !log_.down_)
        {
            log_.append_late(record, now_ + milliseconds{draw(1, 9'000)});
        }
        else if (append_case != 0 && !log_.down_)
        {
            log_.append(record, now_);
        }
    }

    void start(vm& self, const claim_key& key, int append_case)
    {
        const auto decision = evaluate_key(self.index_, key, {}, now_, now_);
        const bool free = decision.kind_ == key_decision_kind::may_claim ||
                          (defect_ == defect::reuse_claimed_key && decision.kind_ == key_decision_kind::unknown);
        if (self.attempt_ || !free)
        {
            return;
        }
        const claim_id id{self.id_.get() + "/" + std::to_string(++self.claims_)};
        self.attempt_ = attempt{key, id, now_, claim_duration(caller_timeout, log_.retention_)};
        self.attempt_->acknowledged_ = append_case > 2 && !log_.down_;
        append(claim_record{id, self.id_, key, {}}, append_case);
    }

    void finish(vm& self, int append_case)
    {
        const attempt current = self.attempt_.value_or(attempt{});
        const auto result = evaluate_claim(self.index_, current.key_, current.id_);
        const bool in_time = defect_ == defect::ignore_expiry || may_send(current.started_, current.duration_, now_);
        const bool won = result == claim_result::won ||
                         (defect_ == defect::trust_acknowledgement && current.acknowledged_) ||
                         (defect_ == defect::reuse_claimed_key && result == claim_result::lost);
        if (won && in_time)
        {
            send(self, current, append_case);
            return;
        }
        if (result != claim_result::pending || !in_time)
        {
            append(abandoned_record{current.id_}, std::max(append_case, 1));
            reported_not_run_.insert(current.id_);
            if (defect_ != defect::ignore_abandoned || draw(0, 2) == 0)
            {
                self.attempt_.reset();
            }
            else
            {
                send(self, current, append_case);
            }
        }
    }

    void send(vm& self, const attempt& current, int append_case)
    {
        sent_[current.key_].push_back(now_);
        sent_claims_[current.id_] = current.key_;
        const bool answered = draw(0, 3) > 0;
        if (!answered && defect_ == defect::report_sent_as_not_run)
        {
            reported_not_run_.insert(current.id_);
            append(abandoned_record{current.id_}, append_case);
        }
        else
        {
            const recorded_answer answer{answered ? outcome::ran : outcome::unknown, 200, "", "", false};
            append(outcome_record{current.id_, current.key_, {}, answer}, append_case);
        }
        self.attempt_.reset();
    }

    void step()
    {
        now_ += milliseconds{draw(1, 400)};
        log_.advance(now_);
        vm& self = vms_[draw<std::size_t>(0, vms_.size())];
        const int append_case = draw(0, 6);
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
                act(self, append_case);
        }
    }

    /// A replaced VM has a new id and an empty state; its attempt ends without any record.
    void restart(vm& self)
    {
        if (draw(0, 4) == 0)
        {
            self = vm{vm_id{self.id_.get() + "'"}, {}, {}, {}, 0};
            if (defect_ == defect::start_at_end)
            {
                self.index_.next_ = log_offset{log_.entries_.size() + 1};
            }
        }
    }

    void act(vm& self, int append_case)
    {
        if (now_ < self.paused_until_)
        {
            return;
        }
        const claim_key key{caller_id{"c"}, idempotency_key{std::to_string(draw(0, keys_))}};
        if (self.attempt_)
        {
            finish(self, append_case);
        }
        else
        {
            start(self, key, append_case);
        }
    }
};

/// Runs random interleavings. @a retention is long, or so short that the log drops records during a run.
bool is_safe(defect which, milliseconds retention, std::uint64_t seed)
{
    const char* const name = "a key's call is sent at most once while the log retains its claim";
    return holds_for_random_runs(seed, name, 100, [=](std::mt19937_64& random) {
        simulated_fleet fleet(which, random);
        fleet.log_.retention_ = retention;
        // With few keys, a key that the log has dropped is soon claimed again, which would show an overlap.
        fleet.keys_ = retention < std::chrono::hours{1} ? 2 : 10;
        for (int steps = 0; steps < 2'000; ++steps)
        {
            fleet.step();
        }
        const bool once = std::ranges::all_of(fleet.sent_, [&](const auto& sent) {
            return std::ranges::adjacent_find(sent.second, [&](time_point first, time_point second) {
                       return second - first < retention / 2;
                   }) == sent.second.end();
        });
        return once && std::ranges::none_of(fleet.sent_claims_, [&](const auto& sent) {
                   return fleet.reported_not_run_.contains(sent.first);
               });
    });
}

}  // namespace

TEST_CASE("with random interleavings, a call is sent at most once and is never reported as not run after it was sent")
{
    REQUIRE(is_safe(defect::none, std::chrono::hours{1}, 6001));
    REQUIRE(is_safe(defect::none, std::chrono::seconds{20}, 6002));
}

TEST_CASE("the property fails for each defect of a claimant")
{
    REQUIRE_FALSE(is_safe(defect::trust_acknowledgement, std::chrono::hours{1}, 6001));
    REQUIRE_FALSE(is_safe(defect::ignore_abandoned, std::chrono::hours{1}, 6001));
    REQUIRE_FALSE(is_safe(defect::reuse_claimed_key, std::chrono::hours{1}, 6001));
    REQUIRE_FALSE(is_safe(defect::report_sent_as_not_run, std::chrono::hours{1}, 6001));
    REQUIRE_FALSE(is_safe(defect::ignore_expiry, std::chrono::seconds{20}, 6002));
    REQUIRE_FALSE(is_safe(defect::start_at_end, std::chrono::hours{1}, 6001));
}
