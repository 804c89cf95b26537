#include <algorithm>
#include <array>
#include <random>
#include <ranges>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

constexpr milliseconds step{20};
constexpr milliseconds history_length{24'000};
constexpr milliseconds report_interval{300};
/// The bound on evacuations, and the age at which VMs have to read the log at the latest.
constexpr milliseconds bound{5000};
constexpr milliseconds staleness_bound{4000};
/// Between reads of the first reader of a cell.
constexpr milliseconds long_poll_interval{40};
/// A VM reports the age of its own reads while they are younger than this.
constexpr milliseconds max_own_read_age{3000};
constexpr milliseconds first_failed_delay{100};
constexpr milliseconds max_reader_delay{500};
constexpr std::size_t cell_size = 75;
/// Records that one read of the log shows.
constexpr std::size_t page_size = 3;
const std::array<data_centre_id, 3> data_centres{data_centre_id{"dc-a"}, data_centre_id{"dc-b"},
                                                 data_centre_id{"dc-c"}};

/// A fault of the VMs that the model has to notice.
enum class model_fault
{
    none,
    ages_count_without_evacuations,  ///< the age in a report confirms evacuations that the report does not carry
    documents_skip_records,          ///< a document of another VM moves the own read beyond records not known yet
    partial_reads_remove             ///< records that a partial read does not show count as removed
};

struct log_record
{
    milliseconds at_{0};
    std::optional<std::size_t> data_centre_;  ///< none for a record of another kind
    bool evacuated_ = false;
};

struct time_span
{
    milliseconds begin_{0};
    milliseconds end_{0};

    [[nodiscard]] bool contains(milliseconds at) const
    {
        return begin_ <= at && at < end_;
    }
};

struct report
{
    milliseconds arrives_at_{0};
    std::optional<milliseconds> confirmed_at_;  ///< of the sender's own reads
    std::optional<evacuation_snapshot> evacuations_;
};

/// What a read of the log shows.
struct log_read
{
    milliseconds begun_at_{0};
    milliseconds ends_at_{0};
    bool whole_log_ = false;
    bool fails_ = false;
    bool complete_ = true;
    std::size_t next_ = 0;  ///< one past the last record that the read shows
    std::size_t end_ = 0;   ///< end of the log
    std::vector<evacuation_entry> entries_;
};

struct model_vm
{
    evacuations known_;
    bool has_read_ = false;
    std::size_t next_ = 0;
    milliseconds confirmed_at_{0};
    milliseconds own_confirmed_at_{0};
    std::optional<log_read> reading_;
    milliseconds reads_again_at_{0};
    milliseconds failed_delay_{first_failed_delay};
    milliseconds next_report_at_{0};
    time_span cut_from_log_;
    time_span cut_from_vms_;
    time_span delayed_;           ///< reports wait while the VM's processor is overloaded
    milliseconds killed_at_{-1};  ///< the VM starts again with an empty memory
    std::vector<report> waiting_;
    std::array<std::size_t, data_centres.size()> oldest_prefix_{};  ///< shortest part of the log that the VM can have
};

struct outcome
{
    int late_ = 0;       ///< moments at which a VM in touch with the log has not followed a record for the bound
    int regressed_ = 0;  ///< changes of a VM to an older state, or to one that the log never had
};

/// VMs that read the log themselves and from each other's reports, while operators evacuate data centres.
class model_fleet
{
  public:
    model_fleet(std::uint32_t seed, std::size_t vms, model_fault fault) : random_(seed), fault_(fault), vms_(vms)
    {
        // In some histories the entries never fit a report, so that all VMs depend on their own reads.
        report_limit_ = byte_count{between(0, 3) == 0 ? 10U : 512U};
        draw_records();
        const milliseconds trouble{between(0, 20'000)};
        store_trouble_ = {trouble, trouble + milliseconds{between(0, 5000)}};
        store_down_ = between(0, 1) == 0;
        discards_at_ = milliseconds{between(5000, 24'000)};
        std::ranges::for_each(vms_, [this](model_vm& vm) {
            vm.next_report_at_ = milliseconds{between(0, 300)};
            vm.cut_from_log_ = draw_span(4);
            vm.cut_from_vms_ = draw_span(4);
            vm.delayed_ = draw_span(6);
            vm.killed_at_ = milliseconds{between(0, 7) == 0 ? between(2000, 20'000) : -1};
        });
    }

    outcome run()
    {
        for (now_ = milliseconds{0}; now_ < history_length; now_ += step)
        {
            for (std::size_t index = 0; index < vms_.size(); ++index)
            {
                advance(index);
                check_bound(vms_[index]);
            }
        }
        return result_;
    }

  private:
    int between(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(random_);
    }

    /// A span in one of @a rarity cases, otherwise an empty one.
    time_span draw_span(int rarity)
    {
        const milliseconds begin{between(0, 18'000)};
        return {begin, begin + milliseconds{between(0, rarity - 1) == 0 ? between(200, 9000) : 0}};
    }

    /// Requests and removals, some in quick succession and some of two data centres at once.
    void draw_records()
    {
        std::array<bool, data_centres.size()> evacuated{};
        for (milliseconds at{0}; at < history_length; at += milliseconds{between(0, 2) == 0 ? 20 : between(100, 7000)})
        {
            const auto data_centre = static_cast<std::size_t>(between(0, 3));
            if (data_centre == data_centres.size())
            {
                records_.push_back({at, std::nullopt, false});
                continue;
            }
            evacuated.at(data_centre) = between(0, 9) == 0 ? evacuated.at(data_centre) : !evacuated.at(data_centre);
            records_.push_back({at, data_centre, evacuated.at(data_centre)});
            const auto other = (data_centre + 1) % data_centres.size();
            if (between(0, 3) == 0)
            {
                evacuated.at(other) = !evacuated.at(other);
                records_.push_back({at, other, evacuated.at(other)});
            }
        }
    }

    [[nodiscard]] std::size_t log_end(milliseconds at) const
    {
        return static_cast<std::size_t>(std::ranges::upper_bound(records_, at, {}, &log_record::at_) -
                                        records_.begin());
    }

    /// The newest record of @a data_centre, or of another kind, before @a end.
    [[nodiscard]] std::optional<std::size_t> newest_record(std::optional<std::size_t> data_centre,
                                                           std::size_t end) const
    {
        const auto newest_first = std::views::iota(std::size_t{0}, end) | std::views::reverse;
        const auto found = std::ranges::find_if(
            newest_first, [&](std::size_t index) { return records_[index].data_centre_ == data_centre; });
        return found == newest_first.end() ? std::nullopt : std::optional(*found);
    }

    [[nodiscard]] bool evacuated_before(std::size_t data_centre, std::size_t end) const
    {
        const auto newest = newest_record(data_centre, end);
        return newest && records_[*newest].evacuated_;
    }

    [[nodiscard]] bool reaches_log(const model_vm& vm) const
    {
        return !vm.cut_from_log_.contains(now_) && !(store_down_ && store_trouble_.contains(now_));
    }

    [[nodiscard]] std::size_t position_of(std::size_t index) const
    {
        const auto first = index / cell_size * cell_size;
        return static_cast<std::size_t>(std::count_if(vms_.begin() + static_cast<std::ptrdiff_t>(first),
                                                      vms_.begin() + static_cast<std::ptrdiff_t>(index),
                                                      [this](const model_vm& vm) { return reaches_log(vm); }));
    }

    void advance(std::size_t index)
    {
        auto& vm = vms_[index];
        if (now_ <= vm.killed_at_ && vm.killed_at_ < now_ + step)
        {
            restart(vm);
        }
        handle_reports(vm);
        if (vm.reading_ && vm.reading_->ends_at_ <= now_)
        {
            end_read(vm, index);
        }
        begin_read(vm, index);
        if (vm.next_report_at_ <= now_)
        {
            vm.next_report_at_ = now_ + report_interval;
            send(vm, index);
        }
    }

    void restart(model_vm& vm) const
    {
        const auto before = std::exchange(vm, model_vm{});
        vm.cut_from_log_ = before.cut_from_log_;
        vm.cut_from_vms_ = before.cut_from_vms_;
        vm.delayed_ = before.delayed_;
        vm.killed_at_ = before.killed_at_;
        vm.next_report_at_ = now_;
    }

    void begin_read(model_vm& vm, std::size_t index)
    {
        const auto position = position_of(index);
        const bool due =
            !vm.has_read_ || position == 0 || now_ - vm.confirmed_at_ >= log_poll_delay(position, staleness_bound);
        if (vm.reading_ || now_ < vm.reads_again_at_ || !due)
        {
            return;
        }
        const bool trouble = store_trouble_.contains(now_);
        log_read read;
        read.begun_at_ = now_;
        read.fails_ = !reaches_log(vm);
        read.ends_at_ = now_ + milliseconds{read.fails_ || trouble ? between(20, 1200) : between(4, 40)};
        read.end_ = log_end(now_);
        // The store has discarded all but the newest records.
        read.whole_log_ = !vm.has_read_ || (now_ >= discards_at_ && vm.next_ + 4 < read.end_);
        if (read.whole_log_)
        {
            show_newest(read, trouble);
        }
        else
        {
            show_changes(read, vm.next_);
        }
        vm.reading_ = std::move(read);
    }

    void show_newest(log_read& read, bool trouble)
    {
        read.next_ = read.end_;
        read.complete_ = !trouble || between(0, 2) > 0;
        for (std::size_t data_centre = 0; data_centre < data_centres.size(); ++data_centre)
        {
            // Later pages are read later, and the store may have dropped the record of a removed key.
            const auto shown_end = data_centre == 0 ? read.end_ : log_end(read.ends_at_);
            const auto newest = newest_record(data_centre, shown_end);
            const bool dropped = newest && !records_[*newest].evacuated_ && between(0, 1) == 0;
            const bool left_out = !read.complete_ && between(0, 1) == 0;
            if (newest && !dropped && !left_out)
            {
                read.entries_.push_back(
                    {data_centres.at(data_centre), at_offset(*newest), records_[*newest].evacuated_});
            }
        }
    }

    void show_changes(log_read& read, std::size_t from) const
    {
        read.next_ = std::min(read.end_, from + page_size);
        for (auto index = from; index < read.next_; ++index)
        {
            if (const auto data_centre = records_[index].data_centre_)
            {
                read.entries_.push_back({data_centres.at(*data_centre), at_offset(index), records_[index].evacuated_});
            }
        }
    }

    void end_read(model_vm& vm, std::size_t index)
    {
        const auto read = std::move(*vm.reading_);
        vm.reading_.reset();
        const bool removes_missing = read.complete_ || fault_ == model_fault::partial_reads_remove;
        if (!read.fails_)
        {
            std::ranges::for_each(read.entries_, [&vm](const evacuation_entry& entry) {
                (void)apply_evacuation(vm.known_, entry.data_centre_, entry.position_, entry.evacuated_);
            });
        }
        if (!read.fails_ && read.whole_log_ && removes_missing)
        {
            (void)apply_full_evacuation_read(vm.known_, {at_offset(read.next_), read.entries_});
        }
        if (read.fails_ || !removes_missing)
        {
            const auto longest = max_failed_read_delay(position_of(index), max_reader_delay, staleness_bound);
            const auto delay = std::min(vm.failed_delay_, longest);
            vm.failed_delay_ = 2 * delay;
            vm.reads_again_at_ = now_ + delay;
            check_order(vm);
            return;
        }
        confirm_evacuations(vm.known_, at_offset(read.next_));
        vm.has_read_ = true;
        vm.next_ = read.next_;
        vm.failed_delay_ = first_failed_delay;
        if (read.next_ >= read.end_)
        {
            vm.confirmed_at_ = std::max(vm.confirmed_at_, read.begun_at_);
            vm.own_confirmed_at_ = std::max(vm.own_confirmed_at_, read.begun_at_);
            vm.reads_again_at_ = now_ + long_poll_interval;
        }
        if (!read.entries_.empty())
        {
            vm.next_report_at_ = now_;
        }
        check_order(vm);
    }

    void send(const model_vm& sender, std::size_t sender_index)
    {
        if (sender.cut_from_vms_.contains(now_))
        {
            return;
        }
        report sent;
        sent.evacuations_ = to_report(sender.known_, report_limit_);
        if (sender.has_read_ && now_ - sender.own_confirmed_at_ < max_own_read_age)
        {
            sent.confirmed_at_ = sender.own_confirmed_at_;
        }
        const auto first = sender_index / cell_size * cell_size;
        const auto last = std::min(vms_.size(), first + cell_size);
        // Reports of VMs that read nothing themselves reach a few others only, which keeps the histories short.
        constexpr int other_recipients_in_100 = 5;
        for (auto index = first; index < last; ++index)
        {
            auto& vm = vms_[index];
            const bool chosen = sent.confirmed_at_ || between(0, 99) < other_recipients_in_100;
            constexpr int lost_in_100 = 5;
            if (index == sender_index || !chosen || vm.cut_from_vms_.contains(now_) || between(0, 99) < lost_in_100)
            {
                continue;
            }
            const bool late = vm.delayed_.contains(now_) || between(0, 99) == 0;
            auto received = sent;
            received.arrives_at_ = now_ + milliseconds{late ? between(100, 4000) : between(1, 8)};
            vm.waiting_.push_back(std::move(received));
        }
    }

    void handle_reports(model_vm& vm)
    {
        const auto still_waiting =
            std::ranges::partition(vm.waiting_, [this](const report& each) { return each.arrives_at_ <= now_; });
        std::for_each(vm.waiting_.begin(), still_waiting.begin(), [&](const report& received) {
            if (received.evacuations_)
            {
                (void)merge_reported(vm.known_, *received.evacuations_);
                check_order(vm);
            }
            const bool confirms = received.evacuations_ || fault_ == model_fault::ages_count_without_evacuations;
            if (received.confirmed_at_ && confirms)
            {
                vm.confirmed_at_ = std::max(vm.confirmed_at_, *received.confirmed_at_);
            }
            take_document(vm);
        });
        vm.waiting_.erase(vm.waiting_.begin(), still_waiting.begin());
    }

    /// Sometimes the VM gets the document of the newest record of another kind from another VM.
    void take_document(model_vm& vm)
    {
        if (!vm.has_read_ || between(0, 49) > 0)
        {
            return;
        }
        const auto newest = newest_record(std::nullopt, log_end(now_));
        const std::size_t end = newest ? *newest + 1 : 0;
        const auto limit = fault_ == model_fault::documents_skip_records ? end : vm.known_.known_end_.offset().get();
        vm.next_ = std::max<std::size_t>(vm.next_, std::min<std::size_t>(end, limit));
    }

    /// Checks that the VM's state is that of a part of the log, and not of a shorter part than before.
    void check_order(model_vm& vm)
    {
        const auto end = log_end(now_);
        for (std::size_t data_centre = 0; data_centre < data_centres.size(); ++data_centre)
        {
            auto& oldest = vm.oldest_prefix_.at(data_centre);
            const auto fits = [&](std::size_t prefix) {
                const auto record = vm.known_.records_.find(data_centres.at(data_centre));
                const bool evacuated = is_evacuated(vm.known_, data_centres.at(data_centre));
                const auto newest = newest_record(data_centre, prefix);
                return evacuated == evacuated_before(data_centre, prefix) &&
                       (!evacuated || record->second.position_.offset().get() == *newest);
            };
            const auto prefixes = std::views::iota(oldest, end + 1);
            const auto prefix = std::ranges::find_if(prefixes, fits);
            result_.regressed_ += prefix == prefixes.end() ? 1 : 0;
            oldest = prefix == prefixes.end() ? oldest : *prefix;
        }
    }

    /// Checks what a VM that has been in touch with a sound store for the bound makes of records that are older than
    /// it.
    void check_bound(const model_vm& vm)
    {
        const auto since = now_ - bound;
        const auto overlaps = [&](const time_span& span) {
            return span.begin_ <= now_ && span.end_ > since && span.begin_ < span.end_;
        };
        const bool restarted = vm.killed_at_.count() > 0 && overlaps({vm.killed_at_, vm.killed_at_ + milliseconds{1}});
        if (since.count() < 0 || overlaps(vm.cut_from_log_) || overlaps(store_trouble_) || restarted ||
            !vm.known_.known_)
        {
            return;
        }
        const auto prefixes = std::views::iota(log_end(since), log_end(now_) + 1);
        for (std::size_t data_centre = 0; data_centre < data_centres.size(); ++data_centre)
        {
            const bool evacuated = is_evacuated(vm.known_, data_centres.at(data_centre));
            const bool allowed = std::ranges::any_of(
                prefixes, [&](std::size_t end) { return evacuated_before(data_centre, end) == evacuated; });
            result_.late_ += allowed ? 0 : 1;
        }
    }

    std::mt19937 random_;
    model_fault fault_;
    byte_count report_limit_;
    std::vector<model_vm> vms_;
    std::vector<log_record> records_;
    time_span store_trouble_;
    bool store_down_ = false;
    milliseconds discards_at_{0};
    milliseconds now_{0};
    outcome result_;
};

constexpr std::uint32_t histories = 100;

int broken_histories(model_fault fault)
{
    int broken = 0;
    for (std::uint32_t seed = 1; seed <= histories; ++seed)
    {
        const auto result = model_fleet(seed, 6, fault).run();
        broken += result.late_ > 0 || result.regressed_ > 0 ? 1 : 0;
    }
    return broken;
}

}  // namespace

TEST_CASE("VMs in touch with the store follow evacuations within the bound, and none returns to an older state")
{
    const std::size_t vms = GENERATE(6, 62, 300);
    for (std::uint32_t seed = 1; seed <= histories; ++seed)
    {
        const auto result = model_fleet(seed, vms, model_fault::none).run();
        INFO("seed " << seed << ", " << vms << " VMs");
        CHECK(result.late_ == 0);
        CHECK(result.regressed_ == 0);
    }
}

// Shows that the model notices the faults that the design guards against.
TEST_CASE("the model of evacuations fails when VMs miss records or take missing ones for removed")
{
    CHECK(broken_histories(model_fault::ages_count_without_evacuations) > 0);
    CHECK(broken_histories(model_fault::documents_skip_records) > 0);
    CHECK(broken_histories(model_fault::partial_reads_remove) > 0);
}
