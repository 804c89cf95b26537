#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;

namespace
{

const prompt_part_id deadly{1'000'000};
constexpr int common_parts = 60;
constexpr milliseconds step{10};
constexpr milliseconds end_of_history{34'000};
/// From the rules: what is known after the fifth crash is in force everywhere after this time.
constexpr milliseconds spread_bound{3000};
constexpr std::size_t max_sends_after_bound = 3;

struct running_request
{
    std::size_t vm_ = 0;
    std::vector<prompt_part_id> parts_;
    time_point sent_at_;
    time_point begins_at_;
    int sends_ = 1;
};

struct model_server
{
    time_point down_until_;
    std::uint32_t lifetime_ = 0;
    std::vector<running_request> running_;
};

struct datagram
{
    time_point arrives_at_;
    std::size_t vm_ = 0;
    std::vector<reported_part> parts_;
    time_point sent_at_;
};

struct history_settings
{
    std::size_t vms_ = 6;
    std::size_t servers_ = 14;
    double requests_per_s_ = 28.0;
    double deadly_share_ = 0.0;
    double outages_per_s_ = 0.0;
    double loss_ = 0.05;
};

/// A fleet in which servers crash on one part of the prompts, or for other causes.
class history
{
  public:
    history(history_settings settings, std::uint64_t seed)
        : settings_(settings),
          random_(seed),
          vms_(settings.vms_),
          reported_at_(settings.vms_),
          servers_(settings.servers_)
    {}

    void run()
    {
        while (now_ < start_ + end_of_history)
        {
            now_ += step;
            deliver_datagrams();
            begin_answers();
            crash_some_servers();
            accept_requests();
            send_reports();
        }
    }

    std::vector<time_point> crashes_;  ///< caused by the deadly part
    std::vector<time_point> deadly_sends_;
    std::size_t sound_requests_ = 0;  ///< after the spread of the block
    std::size_t sound_refusals_ = 0;

    [[nodiscard]] std::size_t sends_after_bound() const
    {
        if (crashes_.size() < 5)
        {
            return 0;
        }
        return static_cast<std::size_t>(std::ranges::count_if(
            deadly_sends_, [this](time_point sent) { return sent > crashes_[4] + spread_bound; }));
    }

  private:
    double draw()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }

    milliseconds draw_ms(int least, int most)
    {
        return milliseconds{std::uniform_int_distribution<int>(least, most)(random_)};
    }

    void deliver_datagrams()
    {
        std::vector<datagram> due;
        std::ranges::copy_if(in_flight_, std::back_inserter(due),
                             [this](const datagram& sent) { return sent.arrives_at_ <= now_; });
        std::erase_if(in_flight_, [this](const datagram& sent) { return sent.arrives_at_ <= now_; });
        for (auto& received : due)
        {
            // Ages travel, so the times at the receiver are later by the delay.
            const auto delay = now_ - received.sent_at_;
            for (auto& part : received.parts_)
            {
                for (auto& crash : part.evidence_.crashes_)
                {
                    crash.sent_at_ += delay;
                    crash.crashed_at_ += delay;
                }
                if (part.evidence_.begun_at_)
                {
                    *part.evidence_.begun_at_ += delay;
                }
            }
            note(received.vm_, merge_reported_parts(vms_[received.vm_], received.parts_, now_));
        }
    }

    void note(std::size_t vm, const part_changes& changes)
    {
        if (changes.news_)
        {
            reported_at_[vm] = time_point{};
        }
    }

    void begin_answers()
    {
        for (auto& server : servers_)
        {
            while (server.down_until_ <= now_)
            {
                const auto due = std::ranges::find_if(
                    server.running_, [this](const running_request& request) { return request.begins_at_ <= now_; });
                if (due == server.running_.end())
                {
                    break;
                }
                if (std::ranges::find(due->parts_, deadly) != due->parts_.end())
                {
                    crashes_.push_back(now_);
                    crash(server);
                    break;
                }
                note(due->vm_, record_begun(vms_[due->vm_], due->parts_, now_));
                server.running_.erase(due);
            }
        }
    }

    void crash(model_server& server)
    {
        const crash_id id{static_cast<std::uint32_t>(&server - servers_.data()) * 1000 + server.lifetime_++};
        server.down_until_ = now_ + draw_ms(2500, 3500);
        const auto lost = std::exchange(server.running_, {});
        for (const auto& request : lost)
        {
            auto& vm = vms_[request.vm_];
            note(request.vm_, record_crash(vm, request.parts_, {id, request.sent_at_, now_}));
            if (request.sends_ < 2 && !may_crash_again(vm, request.parts_) && blocked_parts(vm, request.parts_).empty())
            {
                send(request.vm_, request.parts_, request.sends_ + 1);
            }
        }
    }

    void crash_some_servers()
    {
        if (draw() < settings_.outages_per_s_ * 0.01)
        {
            const auto count = draw() < 0.3 ? servers_.size() : 1 + pick(3);
            for (std::size_t ended = 0; ended < count; ++ended)
            {
                crash(servers_[pick(servers_.size())]);
            }
        }
    }

    void accept_requests()
    {
        if (draw() >= settings_.requests_per_s_ * 0.01)
        {
            return;
        }
        const auto at = now_ - start_;
        const bool is_deadly = at > milliseconds{4000} && at < milliseconds{26'000} && draw() < settings_.deadly_share_;
        std::vector<prompt_part_id> parts{prompt_part_id{static_cast<std::uint64_t>(draw() * draw() * common_parts)}};
        if (is_deadly)
        {
            parts.push_back(deadly);
        }
        const auto vm = pick(vms_.size());
        const auto blocked = blocked_parts(vms_[vm], parts);
        const bool spread =
            crashes_.empty() || now_ > crashes_[std::min<std::size_t>(4, crashes_.size() - 1)] + 2 * spread_bound;
        sound_requests_ += !is_deadly && spread ? 1 : 0;
        sound_refusals_ += !is_deadly && spread && !blocked.empty() ? 1 : 0;
        // One VM of the fleet tries blocked parts.
        const bool trial = vm == 0 && blocked.size() == 1 && take_trial(vms_[vm], blocked.front(), now_);
        if (!blocked.empty() && !trial)
        {
            std::ranges::for_each(blocked, [&](prompt_part_id part) { record_refusal(vms_[vm], part, now_); });
            return;
        }
        send(vm, parts, trial ? 2 : 1);
    }

    void send(std::size_t vm, const std::vector<prompt_part_id>& parts, int sends)
    {
        std::vector<model_server*> up;
        for (auto& server : servers_)
        {
            if (server.down_until_ <= now_)
            {
                up.push_back(&server);
            }
        }
        if (up.empty())
        {
            return;
        }
        if (std::ranges::find(parts, deadly) != parts.end())
        {
            deadly_sends_.push_back(now_);
        }
        up[pick(up.size())]->running_.push_back({vm, parts, now_, now_ + draw_ms(30, 300), sends});
    }

    void send_reports()
    {
        for (std::size_t vm = 0; vm < vms_.size(); ++vm)
        {
            if (now_ - reported_at_[vm] < milliseconds{500})
            {
                continue;
            }
            reported_at_[vm] = now_;
            const auto parts = parts_to_report(vms_[vm], now_);
            for (std::size_t other = 0; other < vms_.size() && !parts.empty(); ++other)
            {
                if (other != vm && draw() >= settings_.loss_)
                {
                    in_flight_.push_back({now_ + draw_ms(1, 60), other, parts, now_});
                }
            }
        }
    }

    history_settings settings_;
    std::mt19937_64 random_;
    const time_point start_{std::chrono::hours{1}};
    time_point now_ = start_;
    std::vector<suspect_parts> vms_;
    std::vector<time_point> reported_at_;
    std::vector<model_server> servers_;
    std::vector<datagram> in_flight_;
};

}  // namespace

TEST_CASE("a part that crashes servers is kept from them by all VMs, and sound requests are served")
{
    for (std::uint64_t seed = 1; seed <= 120; ++seed)
    {
        history_settings settings;
        settings.vms_ = 2 + seed % 11;
        settings.deadly_share_ = 0.02 + 0.02 * static_cast<double>(seed % 5);
        settings.outages_per_s_ = seed % 3 == 0 ? 0.3 : 0.0;
        settings.loss_ = seed % 4 == 0 ? 0.3 : 0.05;
        history played(settings, seed);
        played.run();
        INFO("seed " << seed << ", crashes " << played.crashes_.size());
        CHECK(played.sends_after_bound() <= max_sends_after_bound);
        CHECK(2 * played.sound_refusals_ <= played.sound_requests_);
    }
}

TEST_CASE("outages of many servers do not get sound parts blocked")
{
    for (std::uint64_t seed = 1; seed <= 120; ++seed)
    {
        history_settings settings;
        settings.vms_ = 2 + seed % 11;
        settings.outages_per_s_ = 0.2 + 0.2 * static_cast<double>(seed % 4);
        history played(settings, seed);
        played.run();
        INFO("seed " << seed);
        CHECK(2 * played.sound_refusals_ <= played.sound_requests_);
    }
}
