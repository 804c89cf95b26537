#include "cornelstall/runtime/process/member_loop.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "cornelstall/runtime/process/log_event.hpp"
#include "member_exchange.hpp"

namespace cornelstall
{

namespace
{

using detail::exchange_with;
using detail::exchange_with_seed;
using detail::now_of;
using detail::own_live_members;
using detail::pause;
using detail::wanted_peers;

constexpr event_kind member_suspected{4020, "member_suspected"};

/// Members that are asked to probe one that does not answer.
constexpr std::size_t probers = 2;
/// Bookkeeping about a process that is no peer any more is kept this long for its late calls.
constexpr milliseconds peer_retention{60'000};

double random_share(member_loop& loop)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(loop.random_);
}

milliseconds next_interval(member_loop& loop)
{
    const auto peers = std::ranges::count_if(loop.peers_, [](const auto& entry) { return entry.second.has_task_; });
    return exchange_interval(loop.settings_.pace_, static_cast<std::size_t>(peers), random_share(loop));
}

/// Asks other members whether they reach @a who.
task<bool> probe_by_others(member_loop_ptr loop, vm_id who)
{
    const auto target = loop->view_.members_.members_.find(who);
    if (target == loop->view_.members_.members_.end())
    {
        co_return false;
    }
    const probe_request request{who, target->second.member_.peer_address_};
    std::vector<member> others = own_live_members(*loop);
    std::erase_if(others, [&](const member& each) { return each.id_ == who || each.id_ == loop->settings_.self_.id_; });
    std::vector<member> chosen;
    std::ranges::sample(others, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(probers), loop->random_);
    for (const member& each : chosen)
    {
        try
        {
            const auto channel = channel_to(*loop, each.id_);
            if ((co_await channel->probe(request, loop->settings_.probe_limit_)).reachable_)
            {
                co_return true;
            }
        }
        catch (const connection_error&)
        {
            loop->counters_->count("probe_failures_total");
        }
    }
    co_return false;
}

void report_unreachable(const member_loop_ptr& loop, const vm_id& who)
{
    if (mark_unreachable(loop->view_.members_, who, now_of(*loop)))
    {
        loop->counters_->count("members_suspected_total");
        log_event(severity::info, member_suspected, "neither this VM nor two others reach a member",
                  {{"member", who.get()}});
    }
}

/// The task of one peer.
task<> follow_peer(member_loop_ptr loop, vm_id who)
{
    // The first exchanges are spread over an interval, so that a start of many VMs at once is not one burst.
    co_await pause(loop, milliseconds{static_cast<std::int64_t>(random_share(*loop) *
                                                                static_cast<double>(next_interval(*loop).count()))});
    while (!loop->stopping_ && wanted_peers(*loop).contains(who))
    {
        const auto channel = channel_to(*loop, who);
        bool reached = co_await exchange_with(loop, who, channel);
        if (!reached)
        {
            // A connection can go silent while its peer is alive.
            channel->replace();
            reached = co_await exchange_with(loop, who, channel);
        }
        const bool is_member = loop->peers_[who].scope_ == exchange_scope::own_data_centre;
        if (!reached && is_member && !loop->stopping_)
        {
            reached = co_await probe_by_others(loop, who);
        }
        if (!reached && is_member && !loop->stopping_)
        {
            report_unreachable(loop, who);
        }
        co_await pause(loop, next_interval(*loop));
    }
    loop->peers_[who].has_task_ = false;
    loop->peers_[who].channel_.reset();
}

/// Addresses that may belong to members that are not known: seeds, and members that are dead here but may only have
/// been cut off.
std::vector<socket_address> addresses_to_try(member_loop& loop)
{
    const member& self = loop.settings_.self_;
    const std::vector<member> live = own_live_members(loop);
    std::set<socket_address> tried;
    for (const auto& [id, record] : loop.view_.members_.members_)
    {
        if (record.member_.state_ == member_state::dead)
        {
            tried.insert(record.member_.peer_address_);
        }
    }
    std::vector<peer_seed> seeds = loop.settings_.seeds_;
    std::ranges::copy(loop.seeds_, std::back_inserter(seeds));
    for (const peer_seed& seed : seeds)
    {
        const auto learned = loop.seed_data_centres_.find(seed.address_);
        const data_centre_id& where = learned == loop.seed_data_centres_.end() ? seed.data_centre_ : learned->second;
        const bool is_elsewhere = !where.empty() && where != self.data_centre_;
        const auto keepers = is_elsewhere ? members_exchanging_with(live, where) : std::vector<member>{};
        const bool keeps_contact = std::ranges::find(keepers, self.id_, &member::id_) != keepers.end();
        const bool needed =
            !is_elsewhere || (keeps_contact && !has_recent_summary(loop.view_.data_centres_, where, now_of(loop)));
        if (needed)
        {
            tried.insert(seed.address_);
        }
    }
    for (const auto& [id, record] : loop.view_.members_.members_)
    {
        if (record.member_.state_ != member_state::dead)
        {
            tried.erase(record.member_.peer_address_);
        }
    }
    return {tried.begin(), tried.end()};
}

/// The task that looks for members that are not known: one address at a time.
task<> look_for_members(member_loop_ptr loop)
{
    while (!loop->stopping_)
    {
        const std::vector<socket_address> addresses = addresses_to_try(*loop);
        std::vector<socket_address> chosen;
        std::ranges::sample(addresses, std::back_inserter(chosen), 1, loop->random_);
        if (!chosen.empty())
        {
            co_await exchange_with_seed(loop, chosen.front());
        }
        // A VM that knows nobody yet tries the next seed soon.
        const bool is_alone = loop->peers_.empty() && !addresses.empty();
        const milliseconds mean = is_alone ? loop->settings_.pace_.period_ / 4 : loop->settings_.seed_interval_;
        co_await pause(loop, exchange_interval({mean, 1, loop->settings_.pace_.jitter_}, 1, random_share(*loop)));
    }
}

void forget_strangers(member_loop& loop)
{
    const time_point now = now_of(loop);
    std::erase_if(loop.peers_, [&](const auto& entry) {
        return !entry.second.has_task_ && entry.second.heard_at_ + peer_retention <= now;
    });
}

/// The task that ends suspicions and writes the summary of the own data centre.
task<> sweep(member_loop_ptr loop)
{
    while (!loop->stopping_)
    {
        const time_point now = now_of(*loop);
        const std::vector<member> before = own_live_members(*loop);
        const std::vector<member> died = expire_members(loop->view_.members_, now);
        if (!died.empty())
        {
            detail::report_changes(*loop, before, died);
            // The dead member may have kept contact with another data centre.
            detail::start_peer_tasks(loop);
        }
        std::vector<const engine_state*> engines;
        std::ranges::transform(loop->view_.engines_, std::back_inserter(engines),
                               [](const auto& entry) { return &entry.second.summary_.state_; });
        update_own_summary(loop->view_.data_centres_, loop->view_.members_, loop->view_.version_,
                           capacity_by_model(engines), now);
        forget_strangers(*loop);
        co_await pause(loop, loop->settings_.sweep_interval_);
    }
}

}  // namespace

namespace detail
{

void start_peer_tasks(const member_loop_ptr& loop)
{
    if (loop->stopping_)
    {
        return;
    }
    for (const auto& [who, scope] : wanted_peers(*loop))
    {
        const auto [entry, is_new] = loop->peers_.try_emplace(who);
        known_peer& peer = entry->second;
        if (is_new)
        {
            peer.progress_.baseline_sequence_ = loop->view_.members_.sequence_;
        }
        if (!peer.has_task_)
        {
            peer.has_task_ = true;
            peer.scope_ = scope;
            spawn(loop->where_, "follow_peer", follow_peer(loop, who));
        }
    }
}

}  // namespace detail

member_loop_ptr start_member_loop(const executor& where, member_settings settings, member_events events,
                                  metrics& counters)
{
    auto loop = std::make_shared<member_loop>(where, counters);
    loop->settings_ = std::move(settings);
    loop->events_ = std::move(events);
    loop->random_.seed(loop->settings_.random_seed_);
    loop->view_ = make_fleet_view(loop->settings_.self_, now_of(*loop));
    spawn(where, "look_for_members", look_for_members(loop));
    spawn(where, "sweep", sweep(loop));
    return loop;
}

void add_member_handlers(peer_handlers& handlers, const member_loop_ptr& loop)
{
    handlers.exchange_ = [loop](exchange_delta delta, std::shared_ptr<peer_call> call) {
        return detail::answer_exchange(loop, std::move(delta), std::move(call));
    };
    handlers.probe_ = [loop](probe_request request, const std::shared_ptr<peer_call>&) {
        return detail::answer_probe(loop, std::move(request));
    };
}

void set_seeds(member_loop& loop, std::vector<peer_seed> seeds)
{
    loop.seeds_ = std::move(seeds);
}

void leave(member_loop& loop, time_point now)
{
    const std::vector<member> before = own_live_members(loop);
    leave(loop.view_.members_, now);
    detail::report_changes(loop, before, {});
}

void stop(member_loop& loop)
{
    loop.stopping_ = true;
    std::ranges::for_each(loop.pauses_, [](boost::asio::steady_timer* timer) { timer->cancel(); });
}

}  // namespace cornelstall
