#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <ranges>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

constexpr std::uint32_t histories = 2500;
constexpr int steps_per_history = 160;
constexpr std::size_t vm_count = 4;
constexpr byte_count report_limit{512};
const std::array<data_centre_id, 3> data_centres{data_centre_id{"dc-a"}, data_centre_id{"dc-b"},
                                                 data_centre_id{"dc-c"}};

struct model_record
{
    data_centre_id data_centre_;
    bool evacuated_ = false;
};

/// The operator's records in one era.
struct model_log
{
    std::vector<model_record> records_;
    std::size_t copied_ = 0;  ///< records before this one are from the copy
    log_era era_{1};

    [[nodiscard]] log_position end() const
    {
        return at_offset(records_.size(), era_);
    }

    /// Index of the newest record of @a data_centre before @a end.
    [[nodiscard]] std::optional<std::size_t> newest(const data_centre_id& data_centre, std::size_t end) const
    {
        const auto newest_first = std::views::iota(std::size_t{0}, end) | std::views::reverse;
        const auto found = std::ranges::find_if(
            newest_first, [&](std::size_t index) { return records_[index].data_centre_ == data_centre; });
        return found == newest_first.end() ? std::nullopt : std::optional(*found);
    }

    [[nodiscard]] bool is_evacuated(const data_centre_id& data_centre) const
    {
        const auto index = newest(data_centre, records_.size());
        return index && records_[*index].evacuated_;
    }

    /// True when a record that was written after the return says @a evacuated.
    [[nodiscard]] bool says_since_return(const data_centre_id& data_centre, bool evacuated) const
    {
        return std::ranges::any_of(records_ | std::views::drop(copied_), [&](const model_record& record) {
            return record.data_centre_ == data_centre && record.evacuated_ == evacuated;
        });
    }
};

struct model_vm
{
    evacuations known_;
    std::map<data_centre_id, bool> before_return_;  ///< what the VM knew when it noticed the return
    std::vector<evacuation_snapshot> received_;     ///< reports that are not handled yet
    bool settled_ = false;                          ///< the time in which requests are doubted has passed
};

/// VMs that read the operator's log themselves and from each other's reports in any order, while it comes back from
/// older copies.
class model_fleet
{
  public:
    explicit model_fleet(std::uint32_t seed) : random_(seed), vms_(vm_count) {}

    /// The number of steps after which a VM had forgotten, brought back or missed a request.
    int run()
    {
        int wrong = 0;
        for (int step = 0; step < steps_per_history; ++step)
        {
            act();
            wrong += std::ranges::all_of(vms_, [this](const model_vm& vm) { return holds(vm); }) ? 0 : 1;
        }
        return wrong;
    }

  private:
    int between(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(random_);
    }

    void act()
    {
        auto& vm = vms_[static_cast<std::size_t>(between(0, vm_count - 1))];
        const int kind = between(0, 99);
        if (kind < 24)
        {
            const auto& data_centre = data_centres.at(static_cast<std::size_t>(between(0, 2)));
            log_.records_.push_back({data_centre, !log_.is_evacuated(data_centre)});
        }
        else if (kind < 28)
        {
            come_back();
        }
        else if (kind < 31)
        {
            (void)settle_evacuations(vm.known_);
            vm.settled_ = true;
        }
        else if (kind < 33)
        {
            vm = model_vm{};
        }
        else if (kind < 65)
        {
            read(vm);
        }
        else if (kind < 82)
        {
            report(vm);
        }
        else
        {
            handle_reports(vm);
        }
    }

    /// The operator writes all that was lost again, or its newest records, or nothing yet.
    void come_back()
    {
        constexpr int longest_loss = 6;
        const auto lost =
            std::min<std::size_t>(static_cast<std::size_t>(between(0, longest_loss)), log_.records_.size());
        const auto& before = former_.emplace_back(log_);
        log_.copied_ = before.records_.size() - lost;
        log_.records_.resize(log_.copied_);
        log_.era_ = log_.era_.next();
        const int kind = between(0, 2);
        for (auto index = log_.copied_; index < before.records_.size(); ++index)
        {
            const auto& record = before.records_[index];
            const bool is_newest = before.newest(record.data_centre_, before.records_.size()) == index;
            if (kind == 0 || (kind == 1 && is_newest))
            {
                log_.records_.push_back(record);
            }
        }
    }

    void note_return(model_vm& vm, log_position end)
    {
        if (vm.known_.known_ && !is_same_era(vm.known_.known_end_, end) && vm.known_.known_end_ < end)
        {
            vm.before_return_.clear();
            vm.settled_ = false;
            std::ranges::for_each(data_centres, [&vm](const data_centre_id& each) {
                if (is_evacuated(vm.known_, each) || vm.known_.ended_.contains(each))
                {
                    vm.before_return_[each] = is_evacuated(vm.known_, each);
                }
            });
        }
    }

    /// Reads the records after the known ones, or the newest of all in a new era, after lost history and at the start.
    void read(model_vm& vm)
    {
        auto& known = vm.known_;
        const auto from = known.known_end_.offset().get();
        note_return(vm, log_.end());
        const bool reads_on = known.known_ && known.known_end_.era() == log_.era_ && between(0, 9) > 0;
        evacuation_snapshot newest{log_.end(), {}};
        if (reads_on)
        {
            for (auto index = from; index < log_.records_.size(); ++index)
            {
                const auto& record = log_.records_[index];
                (void)apply_evacuation(known, record.data_centre_, at_offset(index, log_.era_), record.evacuated_);
            }
            confirm_evacuations(known, log_.end());
            return;
        }
        std::ranges::for_each(data_centres, [&](const data_centre_id& each) {
            if (log_.is_evacuated(each))
            {
                newest.entries_.push_back({each, at_offset(*log_.newest(each, log_.records_.size()), log_.era_), true});
            }
        });
        (void)apply_full_evacuation_read(known, newest);
    }

    void report(const model_vm& sender)
    {
        const auto sent = to_report(sender.known_, report_limit);
        std::ranges::for_each(vms_, [&](model_vm& receiver) {
            if (sent && &receiver != &sender && between(0, 9) > 0)
            {
                receiver.received_.push_back(*sent);
            }
        });
    }

    void handle_reports(model_vm& vm)
    {
        std::ranges::for_each(vm.received_,
                              [&](const evacuation_snapshot& received) { (void)merge_reported(vm.known_, received); });
        vm.received_.clear();
    }

    /// True when a record of a former era that @a vm had not read in that era says @a evacuated.
    [[nodiscard]] bool was_said_later(const model_vm& vm, const data_centre_id& data_centre, bool evacuated) const
    {
        return std::ranges::any_of(former_, [&](const model_log& former) {
            const auto& ends = vm.known_.former_ends_;
            const auto known_end = std::ranges::find(ends, former.era_, &log_position::era);
            // A removal before the first read of an era showed as a missing key only.
            const bool is_open = known_end == ends.end() || !evacuated;
            const auto unread = is_open ? former.copied_ : known_end->offset().get();
            return std::ranges::any_of(former.records_ | std::views::drop(unread), [&](const model_record& record) {
                return record.data_centre_ == data_centre && record.evacuated_ == evacuated;
            });
        });
    }

    [[nodiscard]] bool holds(const model_vm& vm) const
    {
        const auto& known = vm.known_;
        if (!known.known_ || known.known_end_.era() != log_.era_)
        {
            return true;
        }
        return std::ranges::all_of(data_centres, [&](const data_centre_id& each) {
            const bool evacuated = is_evacuated(known, each);
            const auto before = vm.before_return_.find(each);
            const bool changed = before != vm.before_return_.end() && before->second != evacuated;
            // A VM that had not read to the end before the return hears of the rest from the others.
            const bool may_change = log_.says_since_return(each, evacuated) || was_said_later(vm, each, evacuated) ||
                                    (vm.settled_ && evacuated);
            return (!changed || may_change) && (follows_log(vm, each) || known.doubted_.contains(each));
        });
    }

    /// True when @a vm obeys the newest record that it has read behind the first read after the return.
    [[nodiscard]] bool follows_log(const model_vm& vm, const data_centre_id& data_centre) const
    {
        const auto newest = log_.newest(data_centre, vm.known_.known_end_.offset().get());
        const bool changes_later = newest != log_.newest(data_centre, log_.records_.size());
        if (!newest || changes_later)
        {
            return true;
        }
        const auto& record = log_.records_[*newest];
        const auto first_end = vm.known_.first_end_;
        const bool is_certain = !first_end || !covers(*first_end, at_offset(*newest, log_.era_));
        // A removal before the first read shows as a missing key only, like a request that the copy lacks.
        const bool may_be_lost = !record.evacuated_ && !former_.empty();
        return !is_certain || may_be_lost || is_evacuated(vm.known_, data_centre) == record.evacuated_;
    }

    std::mt19937 random_;
    model_log log_;
    std::vector<model_log> former_;  ///< the log of each earlier era at its end
    std::vector<model_vm> vms_;
};

}  // namespace

// Guards against requests that are forgotten or come back because the log returns from a copy, and against those after
// the return that are missed.
TEST_CASE("VMs keep what they know of evacuations through returns of the log, and obey what is written after them")
{
    for (std::uint32_t seed = 1; seed <= histories; ++seed)
    {
        INFO("seed " << seed);
        CHECK(model_fleet(seed).run() == 0);
    }
}
