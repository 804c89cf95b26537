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

/// Defects that can be built into the VMs; the property must fail with each of them.
enum class defect
{
    none,
    count_from_read,         ///< counts the lease from the read of its record instead of before the append
    trust_acknowledgement,   ///< treats an acknowledged append as accepted
    ignore_previous_orders,  ///< does not wait for the orders of the previous holder
    order_after_release,     ///< sends orders after appending a release
    trust_first_record       ///< treats the first retained record as accepted
};

const data_centre_id here{"dc"};
/// Maximum delay between the check and the order, within the lease margin.
constexpr milliseconds max_order_delay{1'900};

struct vm
{
    lease_view view_;
    lease_participant participant_;
    time_point paused_until_;
    time_point read_back_at_;
};

struct order_interval
{
    vm_id sender_;
    time_point start_;
};

/// VMs that compete for the lease on a log that loses and delays appends, and that send orders to an engine that
/// ignores fencing numbers.
struct simulated_fleet
{
    defect defect_;
    std::mt19937_64& random_;
    testing::fake_stream<lease_record> log_;
    std::vector<vm> vms_;
    std::vector<order_interval> orders_;
    time_point now_;
    int restarts_ = 0;

    simulated_fleet(defect which, std::mt19937_64& random) : defect_(which), random_(random)
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
        if (defect_ == defect::trust_first_record)
        {
            self.view_.last_accepted_known_ = true;
        }
        const auto batch = log_.read<lease_batch>(self.view_.next_, draw<std::size_t>(1, 9));
        std::ranges::for_each(apply(self.view_, batch, now_), [&](const lease_record& record) {
            apply_accepted_record(self.participant_, record);
            if (defect_ == defect::count_from_read && record.holder_ == self.participant_.self_)
            {
                self.participant_.held_since_ = now_;
            }
        });
    }

    void append(vm& self, lease_action action)
    {
        const lease_record record = make_lease_record(self.participant_, self.view_, action, now_);
        // 0: refused; 1: arrives late; 2: appended, acknowledgement lost; others: appended.
        const int append_case = log_.down_ ? 0 : draw(0, 6);
        if (append_case == 1)
        {
            log_.append_late(record, now_ + milliseconds{draw(1, 40'000)});
        }
        else if (append_case > 1)
        {
            log_.append(record, now_);
        }
        if (defect_ == defect::trust_acknowledgement && append_case > 2)
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
        if (defect_ == defect::order_after_release)
        {
            self.participant_.releasing_ = false;
        }
        const bool fencing = defect_ == defect::ignore_previous_orders;
        const auto allowed = check_order_permission(self.participant_, self.view_, fencing, self.read_back_at_, now_);
        if (allowed == order_permission::read_state_first)
        {
            self.read_back_at_ = now_;
        }
        else if (allowed == order_permission::allowed)
        {
            const milliseconds delay{draw<int>(0, max_order_delay.count())};
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
                   return first.sender_ != second.sender_ && second.start_ < first.start_ + max_order_execution_time;
               }) == orders_.end();
    }
};

struct result
{
    bool exclusive_ = false;
    std::size_t orders_ = 0;
    std::size_t senders_ = 0;
};

result run(defect which, milliseconds retention, std::uint64_t seed)
{
    result total;
    total.exclusive_ = holds_for_random_runs(
        seed, "orders of two holders never overlap at an engine that ignores fencing numbers", 100,
        [&](std::mt19937_64& random) {
            simulated_fleet fleet(which, random);
            fleet.log_.retention_ = retention;
            for (int steps = 0; steps < 5'000; ++steps)
            {
                fleet.step();
            }
            std::vector<vm_id> senders;
            std::ranges::transform(fleet.orders_, std::back_inserter(senders), &order_interval::sender_);
            std::ranges::sort(senders);
            total.orders_ += senders.size();
            total.senders_ +=
                static_cast<std::size_t>(std::distance(senders.begin(), std::unique(senders.begin(), senders.end())));
            return fleet.is_exclusive();
        });
    return total;
}

}  // namespace

TEST_CASE("with random interleavings, orders of two holders never overlap at an engine that ignores fencing numbers")
{
    const auto retention = GENERATE(as<milliseconds>{}, std::chrono::hours{24}, seconds{60});
    const result total = run(defect::none, retention, 9001);
    REQUIRE(total.exclusive_);
    // Without changes of the holder, the property would hold trivially.
    REQUIRE(total.orders_ > 1'000);
    REQUIRE(total.senders_ > 200);
}

TEST_CASE("the property fails for each defect of a holder")
{
    const auto which = GENERATE(defect::count_from_read, defect::trust_acknowledgement, defect::ignore_previous_orders,
                                defect::order_after_release);
    REQUIRE_FALSE(run(which, std::chrono::hours{24}, 9001).exclusive_);
    REQUIRE_FALSE(run(defect::trust_first_record, seconds{60}, 9001).exclusive_);
}
