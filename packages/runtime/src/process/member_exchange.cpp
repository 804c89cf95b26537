#include "member_exchange.hpp"

#include <algorithm>
#include <iterator>

#include <boost/asio/redirect_error.hpp>

#include "cornelstall/runtime/process/log_event.hpp"

namespace cornelstall
{

namespace detail
{

namespace
{

constexpr event_kind member_dead{4026, "member_dead"};
constexpr event_kind live_members_changed{4027, "live_members_changed"};
constexpr event_kind configuration_fetch_failed{4028, "configuration_fetch_failed"};

/// Ends a task's registration among the sleeping tasks.
class pause_entry
{
  public:
    pause_entry(member_loop& loop, boost::asio::steady_timer& timer) : loop_(&loop), timer_(&timer)
    {
        loop_->pauses_.insert(timer_);
    }
    ~pause_entry()
    {
        loop_->pauses_.erase(timer_);
    }
    pause_entry(const pause_entry&) = delete;
    pause_entry& operator=(const pause_entry&) = delete;
    pause_entry(pause_entry&&) = delete;
    pause_entry& operator=(pause_entry&&) = delete;

  private:
    member_loop* loop_;
    boost::asio::steady_timer* timer_;
};

/// Fetches the configuration of a peer that has a newer one. One fetch at a time is enough: versions only grow.
task<> fetch_configuration(member_loop_ptr loop, std::shared_ptr<peer_channel> channel)
{
    loop->fetching_ = true;
    try
    {
        auto reply = co_await channel->fetch_configuration({loop->view_.version_}, loop->settings_.fetch_limit_);
        if (reply.version_ > loop->view_.version_)
        {
            co_await loop->events_.adopt_configuration_(std::move(reply));
        }
    }
    catch (const error& problem)
    {
        loop->counters_->count("configuration_fetch_failures_total");
        log_event(severity::warning, configuration_fetch_failed, problem.what(), {{"peer", channel->address().get()}});
    }
    loop->fetching_ = false;
}

void fetch_if_newer(const member_loop_ptr& loop, const exchange_delta& delta)
{
    const bool is_newer = delta.version_ > loop->view_.version_;
    if (!is_newer || loop->fetching_ || loop->stopping_ || !loop->events_.adopt_configuration_)
    {
        return;
    }
    if (auto channel = channel_to(*loop, delta.sender_))
    {
        spawn(loop->where_, "fetch_configuration", fetch_configuration(loop, std::move(channel)));
    }
}

/// Applies a peer's message and reports what changed.
known_peer& receive(const member_loop_ptr& loop, const exchange_delta& delta)
{
    const time_point now = now_of(*loop);
    const exchange_scope scope = scope_of(loop->view_, delta);
    known_peer& peer = loop->peers_[delta.sender_];
    peer.scope_ = scope;
    peer.heard_at_ = now;
    const std::vector<member> before = own_live_members(*loop);
    const delta_result effect = apply_delta(loop->view_, peer.progress_, delta, scope, now);
    mark_reachable(loop->view_.members_, delta.sender_);
    if (effect.members_changed_)
    {
        report_changes(*loop, before, effect.died_);
    }
    if (effect.members_changed_ || effect.data_centres_changed_)
    {
        start_peer_tasks(loop);
    }
    fetch_if_newer(loop, delta);
    return peer;
}

exchange_delta message_to(const member_loop& loop, const vm_id& who, const peer_progress& progress,
                          exchange_scope scope)
{
    return make_delta(loop.view_, who, progress, scope, loop.settings_.limits_);
}

std::shared_ptr<peer_channel> new_channel(member_loop& loop, const socket_address& address)
{
    return std::make_shared<peer_channel>(loop.settings_.self_.id_, address, loop.settings_.credentials_,
                                          *loop.counters_);
}

}  // namespace

time_point now_of(const member_loop& /*loop*/)
{
    return std::chrono::steady_clock::now();
}

task<> pause(member_loop_ptr loop, milliseconds delay)
{
    if (loop->stopping_)
    {
        co_return;
    }
    boost::asio::steady_timer timer(loop->where_, delay);
    const pause_entry entry(*loop, timer);
    boost::system::error_code cancelled;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
}

task<bool> exchange_with(member_loop_ptr loop, vm_id who, std::shared_ptr<peer_channel> channel)
{
    const known_peer& peer = loop->peers_[who];
    const exchange_delta message = message_to(*loop, who, peer.progress_, peer.scope_);
    try
    {
        const exchange_delta reply = co_await channel->exchange(message, loop->settings_.exchange_limit_);
        if (reply.sender_ != who)
        {
            co_return false;
        }
        static_cast<void>(receive(loop, reply));
        co_return true;
    }
    catch (const connection_error&)
    {
        loop->counters_->count("peer_exchange_failures_total");
        co_return false;
    }
}

task<> exchange_with_seed(member_loop_ptr loop, socket_address address)
{
    const auto channel = new_channel(*loop, address);
    try
    {
        const exchange_delta reply = co_await channel->exchange(
            message_to(*loop, vm_id{}, {}, exchange_scope::own_data_centre), loop->settings_.exchange_limit_);
        const auto named = std::ranges::find(reply.members_, reply.sender_, &member::id_);
        if (named != reply.members_.end())
        {
            loop->seed_data_centres_[address] = named->data_centre_;
        }
        if (reply.sender_ != loop->settings_.self_.id_)
        {
            static_cast<void>(receive(loop, reply));
        }
    }
    catch (const connection_error&)
    {
        loop->counters_->count("seed_exchange_failures_total");
    }
}

task<exchange_delta> answer_exchange(member_loop_ptr loop, exchange_delta delta, std::shared_ptr<peer_call> call)
{
    const vm_id& self = loop->settings_.self_.id_;
    if (delta.sender_ != call->sender_ || delta.sender_ == self)
    {
        throw connection_error(peer_refused_us, "the sender '" + delta.sender_.get() +
                                                    "' is not the caller; check that VM ids are unique");
    }
    if (!delta.receiver_.empty() && delta.receiver_ != self)
    {
        throw connection_error(peer_refused_us, "this is process '" + self.get() + "', not '" + delta.receiver_.get() +
                                                    "'; the VM was restarted");
    }
    const known_peer& peer = receive(loop, delta);
    co_return message_to(*loop, delta.sender_, peer.progress_, peer.scope_);
}

task<probe_reply> answer_probe(member_loop_ptr loop, probe_request request)
{
    // A new channel, since a connection that went silent says nothing about the target.
    const auto channel = new_channel(*loop, request.target_address_);
    co_return probe_reply{co_await exchange_with(loop, request.target_, channel)};
}

std::vector<member> own_live_members(const member_loop& loop)
{
    return live_members(loop.view_.members_, loop.settings_.self_.data_centre_);
}

void report_changes(member_loop& loop, const std::vector<member>& before, const std::vector<member>& died)
{
    for (const member& each : died)
    {
        loop.counters_->count("members_died_total");
        log_event(severity::warning, member_dead, "a member is dead; its engines have new owners",
                  {{"member", each.id_.get()}, {"address", each.peer_address_.get()}});
        if (loop.events_.member_died_)
        {
            loop.events_.member_died_(each);
        }
    }
    const std::vector<member> after = own_live_members(loop);
    if (std::ranges::equal(before, after, {}, &member::id_, &member::id_))
    {
        return;
    }
    loop.counters_->set("live_members", {}, static_cast<double>(after.size()));
    log_event(severity::info, live_members_changed, "the live members of the data centre changed",
              {{"members", std::to_string(after.size())}});
    if (loop.events_.live_members_changed_)
    {
        loop.events_.live_members_changed_();
    }
}

std::map<vm_id, exchange_scope> wanted_peers(const member_loop& loop)
{
    const member& self = loop.settings_.self_;
    std::map<vm_id, exchange_scope> wanted;
    for (const auto& [id, record] : loop.view_.members_.members_)
    {
        if (id != self.id_ && record.member_.state_ != member_state::dead)
        {
            wanted[id] = exchange_scope::own_data_centre;
        }
    }
    const std::vector<member> live = own_live_members(loop);
    for (const auto& [id, record] : loop.view_.data_centres_)
    {
        if (id != self.data_centre_)
        {
            std::ranges::transform(
                select_remote_contacts(self.id_, live, record.summary_), std::inserter(wanted, wanted.end()),
                [](const contact_point& contact) { return std::pair(contact.id_, exchange_scope::other_data_centre); });
        }
    }
    return wanted;
}

}  // namespace detail

std::shared_ptr<peer_channel> channel_to(member_loop& loop, const vm_id& who)
{
    known_peer& peer = loop.peers_[who];
    if (peer.channel_)
    {
        return peer.channel_;
    }
    const auto& members = loop.view_.members_.members_;
    if (const auto known = members.find(who); known != members.end())
    {
        peer.channel_ = detail::new_channel(loop, known->second.member_.peer_address_);
        return peer.channel_;
    }
    for (const auto& [id, record] : loop.view_.data_centres_)
    {
        const auto& contacts = record.summary_.contacts_;
        const auto found = std::ranges::find(contacts, who, &contact_point::id_);
        if (found != contacts.end())
        {
            peer.channel_ = detail::new_channel(loop, found->peer_address_);
            return peer.channel_;
        }
    }
    return nullptr;
}

}  // namespace cornelstall
