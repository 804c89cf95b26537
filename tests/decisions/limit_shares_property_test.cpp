#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

#include "cornelstall/decisions.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

constexpr milliseconds step{20};
constexpr milliseconds report_interval{300};
/// From the rules: the bound begins this long after a limit was first named, and holds for windows of 4 s.
constexpr milliseconds bound_begins{3000};
constexpr milliseconds window{4000};
/// From the rules: a VM counts half a second after it has passed on an answer with the limit.
constexpr milliseconds told_before{500};
/// A VM that was started, stopped or paused is excused for this long.
constexpr milliseconds excused_period{3000};
/// No requests come in this time, so that all VMs may send at once after it.
constexpr milliseconds quiet_from{5000};
constexpr milliseconds quiet_until{9000};

struct model_vm
{
    vm_id id_;
    server_directory directory_;
    vm_peers peers_;
    bool running_ = true;
    time_point changed_at_;  ///< when it was last started
    std::map<server_id, time_point> told_at_;
};

struct pending_answer
{
    time_point arrives_at_;
    std::size_t vm_ = 0;
    server_id server_;
    time_point sent_at_;
    std::optional<request_rate> limit_;
};

struct arrival
{
    time_point at_;
    bool counted_ = false;
};

struct history_settings
{
    std::size_t vms_ = 6;
    int servers_ = 14;
    int limited_ = 4;
    double per_s_ = 1.0;
    double stops_per_s_ = 0.0;
    double loss_ = 0.05;
    milliseconds length_{16'000};
};

/// A fleet whose VMs send to limited servers as often as the decisions let them.
class history
{
  public:
    history(history_settings settings, std::uint64_t seed) : settings_(settings), random_(seed)
    {
        for (std::size_t index = 0; index < settings_.vms_; ++index)
        {
            model_vm vm;
            vm.id_ = vm_id{"edge-" + std::to_string(seed) + "-" + std::to_string(index)};
            vms_.push_back(std::move(vm));
        }
        std::ranges::for_each(vms_, [this](model_vm& vm) { start_vm(vm); });
    }

    void run()
    {
        while (now_ < begin_ + settings_.length_)
        {
            now_ += step;
            stop_some_vms();
            exchange_reports();
            deliver_answers();
            std::ranges::for_each(vms_, [this](model_vm& vm) { send_all(vm); });
        }
    }

    [[nodiscard]] std::size_t largest_window(int server) const
    {
        const auto found = arrivals_.find(id_of(server));
        std::size_t largest = 0;
        if (found == arrivals_.end())
        {
            return largest;
        }
        for (const auto& first : found->second)
        {
            const auto in_window = std::ranges::count_if(found->second, [&](const arrival& entry) {
                return entry.counted_ && entry.at_ >= first.at_ && entry.at_ < first.at_ + window;
            });
            largest = std::max(largest, static_cast<std::size_t>(in_window));
        }
        return largest;
    }

    [[nodiscard]] std::size_t arrivals_after_bound(int server) const
    {
        const auto found = arrivals_.find(id_of(server));
        return found == arrivals_.end()
                   ? 0
                   : static_cast<std::size_t>(std::ranges::count_if(
                         found->second, [this](const arrival& entry) { return entry.at_ > begin_ + bound_begins; }));
    }

  private:
    static server_id id_of(int index)
    {
        return server_id{"i-" + std::to_string(index)};
    }

    double draw()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    }

    milliseconds draw_ms(int least, int most)
    {
        return milliseconds{std::uniform_int_distribution<int>(least, most)(random_)};
    }

    void start_vm(model_vm& vm)
    {
        vm.directory_ = {};
        vm.peers_ = {};
        vm.told_at_.clear();
        vm.running_ = true;
        vm.changed_at_ = now_;
        for (int index = 0; index < settings_.servers_; ++index)
        {
            listed_server server;
            server.id_ = id_of(index);
            server.service_ = service_id{"s"};
            upsert_listed_server(vm.directory_, server, at_offset(1), now_);
        }
        std::ranges::for_each(vms_, [&](const model_vm& other) {
            if (other.id_ != vm.id_)
            {
                add_peer(vm.peers_, other.id_, socket_address{"10.0.0.1:1"}, now_);
            }
        });
    }

    void stop_some_vms()
    {
        std::ranges::for_each(vms_, [this](model_vm& vm) {
            if (vm.running_ && draw() < settings_.stops_per_s_ * 0.02 / static_cast<double>(vms_.size()))
            {
                vm.running_ = false;
                vm.changed_at_ = now_;
            }
            else if (!vm.running_ && now_ - vm.changed_at_ > milliseconds{1500})
            {
                start_vm(vm);
            }
        });
    }

    void exchange_reports()
    {
        if ((now_ - begin_) % report_interval >= step)
        {
            return;
        }
        const auto partition = partition_fleet(vms_.size());
        for (auto& sender : vms_)
        {
            const auto limits = limits_to_report(sender.directory_.limits_, now_);
            for (auto& receiver : vms_)
            {
                const bool same_cell = cell_of(partition, sender.id_.get()) == cell_of(partition, receiver.id_.get());
                const bool reaches =
                    sender.running_ && receiver.running_ && sender.id_ != receiver.id_ && draw() >= settings_.loss_;
                if (reaches && same_cell)
                {
                    receiver.peers_.peers_[sender.id_].heard_at_ = now_;
                }
                if (reaches && (same_cell || draw() < 0.05))
                {
                    merge_reported_limits(receiver.directory_.limits_, limits, now_);
                }
            }
        }
        std::ranges::for_each(vms_,
                              [this](model_vm& vm) { update_limit_shares(vm.directory_, vm.peers_, vm.id_, now_); });
    }

    void deliver_answers()
    {
        std::erase_if(answers_, [this](const pending_answer& answer) {
            if (answer.arrives_at_ > now_)
            {
                return false;
            }
            auto& vm = vms_[answer.vm_];
            if (!vm.running_ || vm.changed_at_ > answer.sent_at_)
            {
                return true;
            }
            auto& limits = vm.directory_.limits_;
            if (answer.limit_)
            {
                vm.told_at_.try_emplace(answer.server_, now_);
                record_limit(limits, answer.server_, 0, *answer.limit_, now_);
                update_limit_shares(vm.directory_, vm.peers_, vm.id_, now_);
            }
            return true;
        });
    }

    void send_all(model_vm& vm)
    {
        if (now_ >= begin_ + quiet_from && now_ < begin_ + quiet_until)
        {
            return;
        }
        for (int index = 0; vm.running_ && index < settings_.limited_; ++index)
        {
            const auto server = id_of(index);
            // A VM that has not heard of the limit sends at a usual rate.
            const bool knows = vm.directory_.limits_.limits_.contains(server);
            if (!knows && draw() > 0.02)
            {
                continue;
            }
            if (take_from_limit(vm.directory_, server, now_))
            {
                const auto told = vm.told_at_.find(server);
                const bool counted = told != vm.told_at_.end() && now_ - told->second > told_before &&
                                     now_ > begin_ + bound_begins && now_ - vm.changed_at_ > excused_period;
                arrivals_[server].push_back({now_, counted});
                answers_.push_back({now_ + draw_ms(5, 100), static_cast<std::size_t>(&vm - vms_.data()), server, now_,
                                    request_rate{settings_.per_s_}});
            }
        }
    }

    history_settings settings_;
    std::mt19937_64 random_;
    const time_point begin_{std::chrono::hours{1}};
    time_point now_ = begin_;
    std::vector<model_vm> vms_;
    std::vector<pending_answer> answers_;
    std::map<server_id, std::vector<arrival>> arrivals_;
};

void check_bounds(const history& played, const history_settings& settings)
{
    const double allowed = 1.5 * settings.per_s_ * 4.0 + 5.0;
    for (int server = 0; server < settings.limited_; ++server)
    {
        INFO("server " << server << ", limit " << settings.per_s_ << ", VMs " << settings.vms_);
        CHECK(static_cast<double>(played.largest_window(server)) <= allowed);
    }
}

}  // namespace

TEST_CASE("all VMs together keep the limit of a server while VMs stop and start and reports are lost")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        history_settings settings;
        settings.vms_ = 1 + seed % 23;
        settings.per_s_ = std::vector{0.2, 0.5, 1.0, 2.0, 2.5, 7.0}[seed % 6];
        settings.stops_per_s_ = seed % 2 == 0 ? 1.0 : 0.0;
        settings.loss_ = seed % 5 == 0 ? 0.3 : 0.05;
        history played(settings, seed);
        played.run();
        INFO("seed " << seed);
        check_bounds(played, settings);
        // Most of the limit is used when there is work for it.
        std::size_t arrivals = 0;
        for (int server = 0; server < settings.limited_; ++server)
        {
            arrivals += played.arrivals_after_bound(server);
        }
        const double usable = settings.per_s_ * 9.0 * settings.limited_;
        CHECK((settings.stops_per_s_ > 0.0 || static_cast<double>(arrivals) >= 0.5 * usable));
    }
}

TEST_CASE("a large fleet in several cells keeps the limit of a server")
{
    for (const int servers : {6, 112})
    {
        history_settings settings;
        settings.vms_ = 295;
        settings.servers_ = servers;
        settings.limited_ = 3;
        settings.per_s_ = 2.0;
        settings.length_ = milliseconds{12'000};
        history played(settings, 5);
        played.run();
        INFO("servers " << servers);
        check_bounds(played, settings);
    }
}
