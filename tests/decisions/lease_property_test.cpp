#include <algorithm>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "decisions/fake_log.hpp"
#include "fixed_seed.hpp"

using namespace cornelstall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Deliberately wrong variants; each must be caught.
enum class fault
{
    none,
    count_from_read,     ///< counts its time from the read of its record instead of before the append
    trust_acknowledged,  ///< takes an acknowledged append for an accepted one
    skip_former_orders,  ///< does not wait for the former holder's orders
    order_after_release,
    trust_first_record  ///< takes the first record that the log retains for an accepted one
};

const data_centre_id here{"dc"};
/// Longest pause between the check and the order; the margin covers it.
constexpr milliseconds longest_delay{1'900};

struct vm
{
    lease_view view_;
    lease_participant participant_;
    time_point paused_until_;
    time_point read_back_at_;
};

struct order_interval
{
    vm_id giver_;
    time_point start_;
};

/// Several VMs that compete for the lease on a faulty log and order an engine that ignores fencing numbers.
struct fleet
{
    fault fault_;
    std::mt19937_64& random_;
    testing::fake_stream<lease_record> log_;
    std::vector<vm> vms_;
    std::vector<order_interval> orders_;
    time_point now_;
    int restarts_ = 0;

    fleet(fault which, std::mt19937_64& random) : fault_(which), random_(random)
    {
        vms_.resize(3);
        std::ranges::for_each(vms_, [&](vm& self) { replace(self); });
    }

    template <class Number = int>
    Number draw(Number from, Number end)
    {
        return std::uniform_int_distribution<Number>(from, end - 1)(random_);
    }

    void replace(vm& self)
    {
        self = {};
        self.view_.data_centre_ = here;
        self.participant_.self_ = vm_id{std::to_string(++restarts_)};
    }

    void read(vm& self)
    {
        if (log_.down_)
        {
            return;
        }
        if (fault_ == fault::trust_first_record)
        {
            self.view_.last_accepted_known_ = true;
        }
        const auto batch = log_.read<lease_batch>(self.view_.next_, draw<std::size_t>(1, 9));
        std::ranges::for_each(apply(self.view_, batch, now_), [&](const lease_record& record) {
            apply_accepted_record(self.participant_, record);
            if (fault_ == fault::count_from_read && record.holder_ == self.participant_.self_)
            {
                self.participant_.held_since_ = now_;
            }
        });
    }

    void append(vm& self, lease_action action)
    {
        const lease_record record = make_lease_record(self.participant_, self.view_, action, now_);
        const int fate = log_.down_ ? 0 : draw(0, 6);
        if (fate == 1)
        {
            log_.append_late(record, now_ + milliseconds{draw(1, 40'000)});
        }
        else if (fate > 1)
        {
            log_.append(record, now_);
        }
        if (fault_ == fault::trust_acknowledged && fate > 2)
        {
            self.view_.holder_ = self.participant_.self_;
            self.participant_.held_since_ = now_;
        }
    }

    void keep(vm& self)
    {
        read(self);
        if (const auto action = next_lease_action(self.participant_, self.view_, now_); action)
        {
            append(self, *action);
        }
        else if (draw(0, 20) == 0 && lease_remaining(self.participant_, self.view_, now_) > milliseconds{0})
        {
            append(self, lease_action::release);
        }
    }

    void order(vm& self)
    {
        if (fault_ == fault::order_after_release)
        {
            self.participant_.releasing_ = false;
        }
        const bool fencing = fault_ == fault::skip_former_orders;
        const auto allowed = check_order_permission(self.participant_, self.view_, fencing, self.read_back_at_, now_);
        if (allowed == order_permission::read_state_first)
        {
            self.read_back_at_ = now_;
        }
        else if (allowed == order_permission::allowed)
        {
            const milliseconds delay{draw<int>(0, longest_delay.count())};
            orders_.push_back({self.participant_.self_, now_ + delay});
            self.paused_until_ = std::max(self.paused_until_, now_ + delay);
        }
    }

    void step()
    {
        now_ += milliseconds{draw(1, 500)};
        log_.advance(now_);
        vm& self = vms_[draw<std::size_t>(0, vms_.size())];
        const int what = draw(0, 40);
        if (what == 0)
        {
            log_.down_ = draw(0, 4) == 0;
        }
        else if (what == 1)
        {
            self.paused_until_ = now_ + milliseconds{draw(0, 40'000)};
        }
        else if (what == 2 && draw(0, 4) == 0)
        {
            replace(self);
        }
        else if (self.paused_until_ <= now_)
        {
            what % 2 == 0 ? keep(self) : order(self);
        }
    }

    [[nodiscard]] bool is_exclusive()
    {
        std::ranges::sort(orders_, {}, &order_interval::start_);
        return std::ranges::adjacent_find(orders_, [](const order_interval& first, const order_interval& second) {
                   return first.giver_ != second.giver_ && second.start_ < first.start_ + max_order_execution_time;
               }) == orders_.end();
    }
};

struct result
{
    bool exclusive_ = false;
    std::size_t orders_ = 0;
    std::size_t givers_ = 0;
};

result run(fault which, milliseconds retention, std::uint64_t seed)
{
    result total;
    total.exclusive_ = holds_for_random_runs(
        seed, "no two holders order an engine that ignores fencing numbers at the same time", 100,
        [&](std::mt19937_64& random) {
            fleet all(which, random);
            all.log_.retention_ = retention;
            for (int steps = 0; steps < 5'000; ++steps)
            {
                all.step();
            }
            std::vector<vm_id> givers;
            std::ranges::transform(all.orders_, std::back_inserter(givers), &order_interval::giver_);
            std::ranges::sort(givers);
            total.orders_ += givers.size();
            total.givers_ +=
                static_cast<std::size_t>(std::distance(givers.begin(), std::unique(givers.begin(), givers.end())));
            return all.is_exclusive();
        });
    return total;
}

}  // namespace

TEST_CASE("over random interleavings no two holders order an engine that ignores fencing numbers at the same time")
{
    const auto retention = GENERATE(as<milliseconds>{}, std::chrono::hours{24}, seconds{60});
    const result total = run(fault::none, retention, 9001);
    REQUIRE(total.exclusive_);
    // Without changes of the holder the property would hold trivially.
    REQUIRE(total.orders_ > 1'000);
    REQUIRE(total.givers_ > 200);
}

TEST_CASE("the random interleavings find each deliberately wrong holder")
{
    const auto which = GENERATE(fault::count_from_read, fault::trust_acknowledged, fault::skip_former_orders,
                                fault::order_after_release);
    REQUIRE_FALSE(run(which, std::chrono::hours{24}, 9001).exclusive_);
    REQUIRE_FALSE(run(fault::trust_first_record, seconds{60}, 9001).exclusive_);
}
