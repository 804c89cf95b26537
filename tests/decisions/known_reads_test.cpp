#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

using std::chrono::nanoseconds;

constexpr milliseconds step{20};
constexpr milliseconds history_length{30'000};
constexpr milliseconds report_interval{300};
constexpr milliseconds bound{2000};
constexpr std::size_t vm_count = 5;
constexpr std::uint32_t histories = 2000;
/// A VM that nothing has disturbed for this long has heard from another VM that has read the log since.
constexpr milliseconds settled_after{2200};
/// The longest time for which two VMs are disturbed one after the other.
constexpr milliseconds longest_disturbance{14'000};
/// Entries expire in outages that are longer than this: three missed heartbeats.
constexpr milliseconds expiry{3600};
/// Servers register again within this time of the end of an outage.
constexpr milliseconds registration_time{2000};

/// How a VM decides whether an outage has just ended.
enum class rule
{
    known_reads,
    /// The first read after none for some time ends an outage, and every VM that is told so believes it.
    own_confirmation
};

struct period
{
    milliseconds begin_{-1};
    milliseconds end_{-1};

    [[nodiscard]] bool contains(milliseconds at) const
    {
        return begin_ <= at && at < end_;
    }
};

struct model_vm
{
    period stopped_;
    period frozen_;
    period cut_from_log_;
    period cut_from_vms_;
    known_reads reads_;
    milliseconds own_read_at_{-1};
    milliseconds next_attempt_{0};
    milliseconds next_report_{0};
    milliseconds grace_end_{0};  ///< with `rule::own_confirmation`
};

nanoseconds clock_at(milliseconds now)
{
    // Boot times are never 0.
    return now + std::chrono::hours{1};
}

/// VMs that read a log, report to each other and are disturbed, and outages of the log.
class model_fleet
{
  public:
    model_fleet(std::uint32_t seed, rule decided_by) : random_(seed), rule_(decided_by), vms_(vm_count)
    {
        if (between(0, 2) == 0)
        {
            outage_ = random_period(static_cast<int>(expiry.count()), 8000);
        }
        std::ranges::for_each(vms_, [this](model_vm& vm) {
            vm.next_report_ = milliseconds{between(0, 300)};
            auto& disturbed = pick_disturbance(vm);
            disturbed = random_period(300, 7000);
        });
    }

    /// The number of moments at which a VM keeps removed servers without reason, or does not keep them after an outage.
    int run()
    {
        int wrong = 0;
        for (now_ = milliseconds{0}; now_ < history_length; now_ += step)
        {
            std::ranges::for_each(vms_, [this](model_vm& vm) { advance(vm); });
            wrong += static_cast<int>(std::ranges::count_if(vms_, [this](const model_vm& vm) { return is_wrong(vm); }));
        }
        return wrong;
    }

  private:
    int between(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(random_);
    }

    period random_period(int least, int most)
    {
        const milliseconds begin{between(3000, 20'000)};
        return {begin, begin + milliseconds{between(least, most)}};
    }

    period& pick_disturbance(model_vm& vm)
    {
        switch (between(0, 3))
        {
            case 0:
                return vm.stopped_;
            case 1:
                return vm.frozen_;
            case 2:
                vm.cut_from_log_ = random_period(300, 7000);
                return vm.cut_from_vms_;
            default:
                return vm.cut_from_log_;
        }
    }

    /// True when nothing but outages of the log disturbed @a vm in the time @a length until now.
    [[nodiscard]] bool is_settled(const model_vm& vm, milliseconds length) const
    {
        const auto misses = [&](const period& each) {
            return each.end_ <= now_ - length || now_ < each.begin_;
        };
        return now_ >= length && misses(vm.stopped_) && misses(vm.frozen_) && misses(vm.cut_from_log_) &&
               misses(vm.cut_from_vms_);
    }

    [[nodiscard]] bool has_settled_vm(milliseconds length) const
    {
        return std::ranges::any_of(vms_, [&](const model_vm& each) { return is_settled(each, length); });
    }

    [[nodiscard]] bool keeps_removed(const model_vm& vm) const
    {
        return rule_ == rule::known_reads ? removal_grace(vm.reads_, clock_at(now_)) > milliseconds{0}
                                          : now_ < vm.grace_end_;
    }

    [[nodiscard]] bool is_wrong(const model_vm& vm) const
    {
        const bool after_outage = outage_.end_ >= milliseconds{0} && outage_.end_ <= now_;
        const bool log_was_there = !outage_.contains(now_) && now_ - outage_.end_ > longest_disturbance;
        if (log_was_there && is_settled(vm, settled_after) && has_settled_vm(longest_disturbance))
        {
            return keeps_removed(vm);
        }
        const bool has_read_since = clock_at(outage_.end_) <= vm.reads_.until_;
        const bool removals_may_be_expiries = after_outage && now_ - outage_.end_ < registration_time;
        const bool saw_outage = is_settled(vm, now_ - outage_.begin_ + bound);
        return removals_may_be_expiries && saw_outage && has_read_since && !keeps_removed(vm);
    }

    void advance(model_vm& vm)
    {
        if (vm.stopped_.contains(now_))
        {
            const auto stopped = vm.stopped_;
            const auto next_report = now_ + milliseconds{between(20, 300)};
            vm = model_vm{};
            vm.stopped_ = stopped;
            vm.next_report_ = next_report;
            return;
        }
        if (vm.frozen_.contains(now_))
        {
            return;
        }
        const auto age = std::chrono::duration_cast<milliseconds>(clock_at(now_) - vm.reads_.until_);
        const auto position = static_cast<std::size_t>(&vm - vms_.data());
        if (vm.next_attempt_ <= now_ && age >= log_poll_delay(position, bound))
        {
            attempt_read(vm, age);
        }
        if (vm.next_report_ <= now_)
        {
            vm.next_report_ = now_ + report_interval;
            report(vm);
        }
    }

    void attempt_read(model_vm& vm, milliseconds age)
    {
        if (outage_.contains(now_) || vm.cut_from_log_.contains(now_))
        {
            vm.next_attempt_ = now_ + milliseconds{between(200, 1000)};
            return;
        }
        const milliseconds answer_time{between(4, 60)};
        if (age >= min_expiry_outage)
        {
            vm.grace_end_ = now_ + removal_grace_period;
        }
        add_reads(vm.reads_, {clock_at(now_), clock_at(now_) - answer_time, false});
        vm.own_read_at_ = now_;
        vm.next_report_ = now_;
    }

    void report(const model_vm& sender)
    {
        if (sender.reads_.until_ == nanoseconds{0} || sender.cut_from_vms_.contains(now_))
        {
            return;
        }
        const bool after_outage = removal_grace(sender.reads_, clock_at(now_)) > milliseconds{0};
        std::ranges::for_each(vms_, [&](model_vm& vm) {
            constexpr int lost_in_100 = 5;
            const bool is_away =
                vm.stopped_.contains(now_) || vm.frozen_.contains(now_) || vm.cut_from_vms_.contains(now_);
            if (&vm == &sender || is_away || between(0, 99) < lost_in_100)
            {
                return;
            }
            const milliseconds transit{between(0, 60)};
            const auto until = reported_until(sender.reads_, clock_at(sender.own_read_at_));
            add_reads(vm.reads_, {sender.reads_.since_ + transit, until + transit, after_outage});
            vm.grace_end_ = std::max(vm.grace_end_, sender.grace_end_);
        });
    }

    std::mt19937 random_;
    rule rule_;
    std::vector<model_vm> vms_;
    period outage_;
    milliseconds now_{0};
};

}  // namespace

// Guards against starts, freezes and cuts of single VMs that make others keep removed servers, and against outages of
// the log that empty the list.
TEST_CASE("a VM keeps removed servers after an outage of the log, and only then")
{
    for (std::uint32_t seed = 1; seed <= histories; ++seed)
    {
        INFO("seed " << seed);
        CHECK(model_fleet(seed, rule::known_reads).run() == 0);
    }
}

TEST_CASE("the model of outages fails when a VM takes its own pause for an outage")
{
    int wrong_histories = 0;
    for (std::uint32_t seed = 1; seed <= histories; ++seed)
    {
        wrong_histories += model_fleet(seed, rule::own_confirmation).run() > 0 ? 1 : 0;
    }
    CHECK(wrong_histories > 0);
}

TEST_CASE("spans of reads that are less than an outage apart become one, whichever is learned first")
{
    const known_reads early{clock_at(milliseconds{1000}), clock_at(milliseconds{9000}), false};
    const known_reads late{clock_at(milliseconds{11'000}), clock_at(milliseconds{12'000}), true};
    for (const bool early_first : {true, false})
    {
        known_reads known;
        add_reads(known, early_first ? early : late);
        add_reads(known, early_first ? late : early);
        CHECK(known.since_ == early.since_);
        CHECK(known.until_ == late.until_);
        CHECK(removal_grace(known, clock_at(milliseconds{12'000})) == milliseconds{0});
    }
}

TEST_CASE("reads an outage apart leave a grace period of 2.5 s from the first read after it")
{
    known_reads known;
    add_reads(known, {clock_at(milliseconds{0}), clock_at(milliseconds{1000}), false});
    CHECK(removal_grace(known, clock_at(milliseconds{1000})) == milliseconds{0});
    add_reads(known, {clock_at(milliseconds{3500}), clock_at(milliseconds{3500}), false});
    CHECK(removal_grace(known, clock_at(milliseconds{3600})) == milliseconds{2400});
    add_reads(known, {clock_at(milliseconds{0}), clock_at(milliseconds{1000}), false});
    CHECK(removal_grace(known, clock_at(milliseconds{3600})) == milliseconds{2400});
    CHECK(removal_grace(known, clock_at(milliseconds{6000})) == milliseconds{0});
}
