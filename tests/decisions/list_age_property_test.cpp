#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

using std::chrono::nanoseconds;

constexpr milliseconds step{10};
constexpr milliseconds history_length{20'000};
/// Some time without overload, in which the fastest report of each sender arrives.
constexpr milliseconds calm_start{1500};
constexpr milliseconds report_interval{300};
constexpr std::size_t readers = 2;

/// Whether a VM adds what a report waited to the ages in it.
enum class delay_accounting
{
    counted,
    ignored
};

struct report
{
    milliseconds handled_at_{0};
    milliseconds sent_at_{0};  ///< sender's clock
    milliseconds age_{0};      ///< of the sender's own read when it was sent
    std::size_t known_end_ = 0;
    std::size_t sender_ = 0;
};

struct model_vm
{
    milliseconds clock_offset_{0};
    double clock_drift_ = 0.0;
    milliseconds overload_begin_{0};
    milliseconds overload_end_{0};
    milliseconds report_wait_{0};  ///< of each report while the VM is overloaded
    std::size_t known_end_ = 0;    ///< records of the log that the VM knows
    milliseconds confirmed_at_{0};
    milliseconds own_read_at_{0};
    std::optional<milliseconds> read_ends_at_;
    milliseconds read_begun_at_{0};
    std::size_t read_end_ = 0;
    milliseconds next_report_at_{0};
    std::vector<report> waiting_;
    std::vector<transit_clock> clocks_;  ///< of the readers
};

/// A fleet of VMs of which two read the log and report to the others. Records are servers that leave.
class model_fleet
{
  public:
    model_fleet(std::uint32_t seed, milliseconds bound, delay_accounting accounting)
        : random_(seed), bound_(bound), accounting_(accounting), vms_(between(3, 80))
    {
        std::ranges::for_each(vms_, [this](model_vm& vm) {
            vm.clock_offset_ = milliseconds{between(0, 1'000'000)};
            vm.clock_drift_ = static_cast<double>(between(0, 200) - 100) * 1e-6;
            vm.overload_begin_ = calm_start + milliseconds{between(0, 15'000)};
            vm.overload_end_ = vm.overload_begin_ + milliseconds{between(0, 3) == 0 ? between(500, 8000) : 0};
            vm.report_wait_ = milliseconds{between(200, 2800)};
            vm.next_report_at_ = milliseconds{between(0, 300)};
            vm.clocks_.resize(readers);
        });
        for (milliseconds at{0}; at < history_length; at += milliseconds{between(50, 1500)})
        {
            records_.push_back(at);
        }
    }

    /// The number of moments at which a VM did not know a record although the bound had passed.
    int run()
    {
        int late = 0;
        for (now_ = milliseconds{0}; now_ < history_length; now_ += step)
        {
            for (std::size_t index = 0; index < vms_.size(); ++index)
            {
                advance(index);
                late += records_end(now_ - bound_) > vms_[index].known_end_ ? 1 : 0;
            }
        }
        return late;
    }

  private:
    int between(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(random_);
    }

    [[nodiscard]] std::size_t records_end(milliseconds at) const
    {
        return static_cast<std::size_t>(std::ranges::upper_bound(records_, at) - records_.begin());
    }

    [[nodiscard]] milliseconds clock_of(const model_vm& vm) const
    {
        return now_ + vm.clock_offset_ +
               milliseconds{static_cast<std::int64_t>(static_cast<double>(now_.count()) * vm.clock_drift_)};
    }

    [[nodiscard]] bool is_overloaded(const model_vm& vm) const
    {
        return vm.overload_begin_ <= now_ && now_ < vm.overload_end_;
    }

    void advance(std::size_t index)
    {
        auto& vm = vms_[index];
        handle_reports(vm);
        if (vm.read_ends_at_ && *vm.read_ends_at_ <= now_)
        {
            vm.known_end_ = std::max(vm.known_end_, vm.read_end_);
            vm.confirmed_at_ = std::max(vm.confirmed_at_, vm.read_begun_at_);
            vm.own_read_at_ = vm.read_begun_at_;
            vm.read_ends_at_.reset();
            vm.next_report_at_ = now_;
        }
        if (!vm.read_ends_at_ && now_ - vm.confirmed_at_ >= log_poll_delay(index, bound_))
        {
            vm.read_begun_at_ = now_;
            vm.read_end_ = records_end(now_);
            vm.read_ends_at_ = now_ + milliseconds{is_overloaded(vm) ? between(20, 400) : between(4, 40)};
        }
        if (index < readers && vm.next_report_at_ <= now_)
        {
            vm.next_report_at_ = now_ + report_interval;
            send(vm, index);
        }
    }

    void send(const model_vm& reader, std::size_t reader_index)
    {
        for (std::size_t index = 0; index < vms_.size(); ++index)
        {
            auto& vm = vms_[index];
            constexpr int lost_in_100 = 5;
            if (index == reader_index || between(0, 99) < lost_in_100)
            {
                continue;
            }
            const auto wait = is_overloaded(vm) ? vm.report_wait_ : milliseconds{0};
            vm.waiting_.push_back({now_ + milliseconds{between(1, 8)} + wait, clock_of(reader),
                                   now_ - reader.own_read_at_, reader.known_end_, reader_index});
        }
    }

    void handle_reports(model_vm& vm)
    {
        const auto still_waiting =
            std::ranges::partition(vm.waiting_, [this](const report& each) { return each.handled_at_ <= now_; });
        std::for_each(vm.waiting_.begin(), still_waiting.begin(), [&](const report& received) {
            const auto delay =
                record_transit(vm.clocks_[received.sender_], received.sent_at_, nanoseconds{clock_of(vm)});
            const auto counted = accounting_ == delay_accounting::counted ? delay : milliseconds{0};
            vm.known_end_ = std::max(vm.known_end_, received.known_end_);
            vm.confirmed_at_ = std::max(vm.confirmed_at_, now_ - received.age_ - counted);
        });
        vm.waiting_.erase(vm.waiting_.begin(), still_waiting.begin());
    }

    std::mt19937 random_;
    milliseconds bound_;
    delay_accounting accounting_;
    std::vector<model_vm> vms_;
    std::vector<milliseconds> records_;  ///< when each record was appended
    milliseconds now_{0};
};

constexpr std::uint32_t histories = 150;

}  // namespace

TEST_CASE("no VM of an overloaded fleet sends to a server for longer than the bound after it has left")
{
    const auto bound = GENERATE(milliseconds{2000}, milliseconds{3000});
    for (std::uint32_t seed = 1; seed <= histories; ++seed)
    {
        INFO("seed " << seed << ", bound " << bound.count() << " ms");
        CHECK(model_fleet(seed, bound, delay_accounting::counted).run() == 0);
    }
}

TEST_CASE("the model of an overloaded fleet fails when the delay of reports is ignored")
{
    int late_histories = 0;
    for (std::uint32_t seed = 1; seed <= histories; ++seed)
    {
        late_histories += model_fleet(seed, milliseconds{3000}, delay_accounting::ignored).run() > 0 ? 1 : 0;
    }
    CHECK(late_histories > 0);
}
