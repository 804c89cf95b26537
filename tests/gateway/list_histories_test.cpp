#include <random>
#include <ranges>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

constexpr std::uint32_t histories = 2500;
constexpr int steps_per_history = 160;
constexpr std::size_t vm_count = 4;
constexpr int server_count = 7;
/// Small, so that the differences of two lists come in one part and in several.
constexpr std::size_t changes_per_part = 3;

/// The log of the server list. It may forget its history, but not the newest record of a server, and it may come back
/// from an older copy.
struct model_log
{
    std::vector<server_list_change> records_;
    std::size_t first_ = 0;
    log_era era_{1};

    [[nodiscard]] log_position end() const
    {
        return at_offset(records_.size(), era_);
    }

    /// The last record of @a id before @a end, or null.
    [[nodiscard]] const server_list_change* newest(const server_id& id, std::size_t end) const
    {
        const auto known = std::ranges::subrange(records_.begin(), records_.begin() + static_cast<std::ptrdiff_t>(end));
        const auto of_id = [&id](const server_list_change& record) {
            return record.server_.id_ == id;
        };
        const auto reversed = known | std::views::reverse;
        const auto found = std::ranges::find_if(reversed, of_id);
        return found == reversed.end() ? nullptr : &*found;
    }
};

server_id name_of_server(int number)
{
    return server_id{"s" + std::to_string(number)};
}

/// An answer of the log that has not arrived yet.
struct pending_read
{
    bool full_ = false;
    log_era era_;
    std::vector<server_list_change> records_;  ///< of a full read, the first page
    log_position next_;
    log_position known_before_;  ///< end of the known list when it was requested
};

struct model_vm
{
    std::unique_ptr<gateway_fixture> gateway_ = std::make_unique<gateway_fixture>();
    bool needs_full_read_ = true;
    log_era era_;                              ///< the highest that the log has stated to this VM
    std::map<server_id, bool> before_return_;  ///< ready (true) or removed (false) as known when the return was noticed
    bool frozen_ = false;
    bool cut_from_log_ = false;
    bool cut_from_vms_ = false;
    std::optional<pending_read> read_;
    std::vector<std::pair<std::size_t, log_update>> received_;  ///< sender and report, not handled yet

    model_vm()
    {
        gateway_->state_.server_list_.listed_ = false;
    }
};

/// A fleet of VMs that read the log themselves or follow the reports of the others, in any order. They freeze, are cut
/// off and start again, and reports are lost.
class model_fleet
{
  public:
    explicit model_fleet(std::uint32_t seed) : random_(seed), vms_(vm_count) {}

    /// The number of steps after which a VM that claims to know the list up to an offset did not.
    int run()
    {
        int wrong = 0;
        for (int step = 0; step < steps_per_history; ++step)
        {
            act();
            const bool holds = std::ranges::all_of(
                vms_, [this](const model_vm& vm) { return is_exact(vm) && keeps_what_it_knew(vm); });
            wrong += holds ? 0 : 1;
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
            append();
        }
        else if (kind < 27)
        {
            log_.first_ = log_.records_.size();
        }
        else if (kind < 29)
        {
            come_back();
        }
        else if (kind < 30)
        {
            settle();
        }
        else if (kind < 58)
        {
            read(vm);
        }
        else if (kind < 76)
        {
            report(vm);
        }
        else if (kind < 90)
        {
            handle_reports(vm);
        }
        else if (kind < 92)
        {
            vm = model_vm{};
        }
        else
        {
            disturb(vm);
        }
    }

    void append()
    {
        const auto id = name_of_server(between(0, server_count - 1));
        const auto* const last = log_.newest(id, log_.records_.size());
        server_list_change record;
        record.server_.id_ = id;
        record.server_.service_ = service_id{"s"};
        record.server_.address_ = socket_address{"127.0.0.1:9"};
        record.removed_ = last != nullptr && !last->removed_;
        record.at_ = log_.end();
        log_.records_.push_back(record);
    }

    void disturb(model_vm& vm)
    {
        switch (between(0, 3))
        {
            case 0:
                vm.frozen_ = !vm.frozen_;
                break;
            case 1:
                vm.cut_from_log_ = !vm.cut_from_log_;
                break;
            case 2:
                vm.cut_from_vms_ = !vm.cut_from_vms_;
                break;
            default:
                // Half of the changes have been kept for so long that they are no longer sent.
                auto& changes = vm.gateway_->state_.server_list_.changes_;
                std::ranges::for_each(changes | std::views::take(changes.size() / 2),
                                      [](recent_change& change) { change.seen_at_ -= std::chrono::seconds{60}; });
        }
    }

    /// The log comes back from a copy. What the servers wrote since is written again: the last entry of each, all of
    /// them, or some only by and by.
    void come_back()
    {
        constexpr int longest_loss = 8;
        const auto lost =
            std::min<std::size_t>(static_cast<std::size_t>(between(0, longest_loss)), log_.records_.size());
        const std::vector<server_list_change> history(log_.records_.end() - static_cast<std::ptrdiff_t>(lost),
                                                      log_.records_.end());
        const auto& before = former_.emplace(log_.era_, log_).first->second;
        log_.records_.resize(log_.records_.size() - lost);
        log_.first_ = std::min(log_.first_, log_.records_.size());
        log_.era_ = log_.era_.next();
        std::ranges::for_each(log_.records_, [this](server_list_change& record) {
            record.at_ = {log_.era_, record.at_.offset()};
        });
        const int kind = between(0, 2);
        std::ranges::for_each(history, [&](server_list_change record) {
            const auto* const last = before.newest(record.server_.id_, before.records_.size());
            const bool is_newest = last->at_ == record.at_;
            if (kind == 0 || (kind == 1 && is_newest))
            {
                record.at_ = log_.end();
                log_.records_.push_back(record);
            }
        });
    }

    /// The time passes after which nothing is doubted and no server is kept without an entry.
    void settle()
    {
        std::ranges::for_each(vms_, [](model_vm& vm) {
            auto& list = vm.gateway_->state_.server_list_;
            if (list.return_ && !vm.frozen_)
            {
                list.return_->read_at_ -= std::chrono::seconds{60};
                vm.before_return_.clear();
                std::ranges::for_each(list.deferred_removals_ | std::views::values,
                                      [](deferred_removal& removal) { removal.due_at_ -= std::chrono::seconds{60}; });
                apply_deferred_removals(vm.gateway_->state_);
                apply_doubted_entries(vm.gateway_->state_);
            }
        });
    }

    /// Remembers what @a vm knows when it notices that the log has come back.
    static void note_era(model_vm& vm, log_era era)
    {
        const auto& state = vm.gateway_->state_;
        if (era == vm.era_)
        {
            return;
        }
        vm.era_ = era;
        vm.before_return_.clear();
        if (!state.server_list_.listed_)
        {
            return;
        }
        std::ranges::for_each(state.directory_.servers_ | std::views::keys,
                              [&vm](const server_id& id) { vm.before_return_[id] = true; });
        std::ranges::for_each(state.directory_.removed_ | std::views::keys,
                              [&vm](const server_id& id) { vm.before_return_.try_emplace(id, false); });
    }

    /// Sends a read to the log, or handles the answer to the last one.
    void read(model_vm& vm)
    {
        if (vm.frozen_ || vm.cut_from_log_)
        {
            return;
        }
        if (vm.read_)
        {
            finish_read(vm, *std::exchange(vm.read_, std::nullopt));
            return;
        }
        auto& list = vm.gateway_->state_.server_list_;
        const auto from = list.next_.offset().get();
        // The answer to a read from an offset that the log does not have, or that is of another era.
        const bool is_refused = from < log_.first_ || from > log_.records_.size() || list.next_.era() != log_.era_;
        vm.needs_full_read_ = vm.needs_full_read_ || is_refused;
        pending_read request{vm.needs_full_read_, log_.era_, {}, log_.end(), list.next_};
        if (request.full_)
        {
            request.records_ = newest_records(0, server_count / 2);
        }
        else
        {
            request.records_.assign(log_.records_.begin() + static_cast<std::ptrdiff_t>(list.next_.offset().get()),
                                    log_.records_.end());
        }
        vm.read_ = std::move(request);
    }

    [[nodiscard]] std::vector<server_list_change> newest_records(int first, int end) const
    {
        std::vector<server_list_change> records;
        std::ranges::for_each(std::views::iota(first, end), [&](int number) {
            const auto* const record = log_.newest(name_of_server(number), log_.records_.size());
            if (record != nullptr && !record->removed_)
            {
                records.push_back(*record);
            }
        });
        return records;
    }

    void finish_read(model_vm& vm, pending_read read)
    {
        auto& state = vm.gateway_->state_;
        const bool has_other_pages = read.full_ && read.era_ != log_.era_;
        if (has_other_pages || !accept_era(state, read.era_, "servers"))
        {
            return;
        }
        note_era(vm, read.era_);
        if (!read.full_ && read.era_ != state.server_list_.next_.era())
        {
            vm.needs_full_read_ = true;
            return;
        }
        if (read.full_)
        {
            std::ranges::copy(newest_records(server_count / 2, server_count), std::back_inserter(read.records_));
            std::set<server_id> listed;
            std::ranges::transform(read.records_, std::inserter(listed, listed.end()),
                                   [](const server_list_change& record) { return record.server_.id_; });
            apply_full_list(state, read.records_, listed, read.next_, read.known_before_);
            vm.needs_full_read_ = false;
        }
        else
        {
            std::ranges::for_each(read.records_,
                                  [&state](const server_list_change& record) { apply_change(state, record); });
            state.server_list_.is_exact_ = true;
        }
        confirm_list_read(state, read.next_, boot_time());
    }

    void report(const model_vm& sender)
    {
        if (sender.frozen_ || sender.cut_from_vms_)
        {
            return;
        }
        const auto sender_index = static_cast<std::size_t>(&sender - vms_.data());
        const auto parts = split_log_update(make_log_update(sender.gateway_->state_), changes_per_part);
        std::ranges::for_each(vms_, [&](model_vm& receiver) {
            if (&receiver == &sender || receiver.cut_from_vms_)
            {
                return;
            }
            std::ranges::for_each(parts, [&](const log_update& part) {
                constexpr int lost_in_100 = 10;
                if (between(0, 99) >= lost_in_100)
                {
                    receiver.received_.emplace_back(sender_index, part);
                }
            });
        });
    }

    static void handle_reports(model_vm& vm)
    {
        if (vm.frozen_)
        {
            return;
        }
        auto& state = vm.gateway_->state_;
        std::ranges::for_each(vm.received_, [&state](const auto& received) {
            auto& peer = state.peers_.peers_[vm_id{std::to_string(received.first)}];
            peer.heard_at_ = std::chrono::steady_clock::now();
            peer.server_list_end_ = received.second.server_list_end_;
            apply_log_update(state, received.second, {});
        });
        vm.received_.clear();
    }

    /// True when @a vm knows the list as it was at the offset up to which it claims to know it. What it knows beyond
    /// that of a server may be newer.
    [[nodiscard]] bool is_exact(const model_vm& vm) const
    {
        const auto& state = vm.gateway_->state_;
        const auto& list = state.server_list_;
        const auto end = list.next_.offset().get();
        const auto& log = list.next_.era() == log_.era_ || !list.listed_ ? log_ : former_.at(list.next_.era());
        return !list.listed_ || std::ranges::all_of(std::views::iota(0, server_count), [&](int number) {
            const auto id = name_of_server(number);
            const auto* const known = log.newest(id, end);
            const bool is_listed = known != nullptr && !known->removed_;
            const bool changed_later = log.newest(id, log.records_.size()) != known;
            const bool is_open = list.doubted_.contains(id) || list.deferred_removals_.contains(id);
            return changed_later || is_open || state.directory_.servers_.contains(id) == is_listed;
        });
    }

    /// True when @a vm has not forgotten a server because of a return of the log, and has not brought one back, before
    /// the log says so with a record behind the first list that was read after the return.
    [[nodiscard]] bool keeps_what_it_knew(const model_vm& vm) const
    {
        const auto& state = vm.gateway_->state_;
        const auto& last_return = state.server_list_.return_;
        const bool reads_this_era = last_return && last_return->first_end_.era() == log_.era_ && vm.era_ == log_.era_;
        return !reads_this_era || std::ranges::all_of(vm.before_return_, [&](const auto& known) {
            const auto* const newest = log_.newest(known.first, log_.records_.size());
            const bool is_written_later = newest != nullptr && newest->at_ >= last_return->first_end_;
            return is_written_later || state.directory_.servers_.contains(known.first) == known.second;
        });
    }

    std::mt19937 random_;
    model_log log_;
    std::map<log_era, model_log> former_;  ///< the log as it was when it came back, by era
    std::vector<model_vm> vms_;
};

}  // namespace

// Guards against VMs that skip the removal of a server for good, forget a server or bring one back: after lost history,
// a return of the log from a copy, a freeze, a start or a cut.
TEST_CASE("a VM that claims to know the server list up to an offset knows every server at that offset")
{
    for (std::uint32_t seed = 1; seed <= histories; ++seed)
    {
        INFO("seed " << seed);
        CHECK(model_fleet(seed).run() == 0);
    }
}
