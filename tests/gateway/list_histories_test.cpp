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

/// The log of the server list. It may forget its history, but not the newest record of a server.
struct model_log
{
    std::vector<server_list_change> records_;
    std::size_t first_ = 0;

    [[nodiscard]] log_position end() const
    {
        return at_offset(records_.size());
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
    std::vector<server_list_change> records_;  ///< of a full read, the first page
    log_position next_;
    log_position known_before_;  ///< end of the known list when it was requested
};

struct model_vm
{
    std::unique_ptr<gateway_fixture> gateway_ = std::make_unique<gateway_fixture>();
    bool needs_full_read_ = true;
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
            wrong += std::ranges::all_of(vms_, [this](const model_vm& vm) { return is_exact(vm); }) ? 0 : 1;
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
        else if (kind < 28)
        {
            log_.first_ = log_.records_.size();
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
        vm.needs_full_read_ = vm.needs_full_read_ || list.next_.offset().get() < log_.first_;
        pending_read request{vm.needs_full_read_, {}, log_.end(), list.next_};
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
        const auto end = state.server_list_.next_.offset().get();
        return !state.server_list_.listed_ || std::ranges::all_of(std::views::iota(0, server_count), [&](int number) {
            const auto id = name_of_server(number);
            const auto* const known = log_.newest(id, end);
            const bool is_listed = known != nullptr && !known->removed_;
            const bool changed_later = log_.newest(id, log_.records_.size()) != known;
            return changed_later || state.directory_.servers_.contains(id) == is_listed;
        });
    }

    std::mt19937 random_;
    model_log log_;
    std::vector<model_vm> vms_;
};

}  // namespace

// Guards against VMs that skip the removal of a server for good: after lost history, a freeze, a start or a cut.
TEST_CASE("a VM that claims to know the server list up to an offset knows every server at that offset")
{
    for (std::uint32_t seed = 1; seed <= histories; ++seed)
    {
        INFO("seed " << seed);
        CHECK(model_fleet(seed).run() == 0);
    }
}
