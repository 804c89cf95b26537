#include "request/send_watch.hpp"

#include <algorithm>
#include <array>

#include <boost/asio/redirect_error.hpp>

#include "connection/answer_reader.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind server_gone{1036, "server_gone"};
constexpr event_kind server_probed{1037, "server_probed"};
constexpr event_kind memory_checked{1038, "memory_checked"};

const char* name_of(connection_attempt attempt)
{
    constexpr std::array<const char*, 4> names{"accepted", "refused", "unanswered", "not_made"};
    return names.at(static_cast<std::size_t>(attempt));
}

bool has_ended(const send_resources& send)
{
    return send.superseded_ || send.watch_->loss_reason_ != nullptr || !send.reader_->connection_->socket_.is_open();
}

send_decision decide(const gateway_state& state, send_resources& send)
{
    if (has_ended(send))
    {
        return {};
    }
    auto& watch = *send.watch_;
    const auto now = std::chrono::steady_clock::now();
    observed_send seen;
    seen.listing_ = listing_of(state.directory_, watch.server_);
    seen.leaving_ = watch.draining_ || is_leaving(state.directory_, watch.server_);
    seen.reserves_memory_ = watch.reserves_memory_;
    seen.begun_ = watch.begun_;
    seen.first_event_due_ = watch.first_event_due_;
    seen.silence_ = time_since_data(*send.reader_->connection_);
    seen.reserved_for_ = std::chrono::duration_cast<milliseconds>(boot_time() - watch.reserved_at_);
    seen.max_unused_ = watch.max_unused_;
    discard_outdated(watch.attempts_, seen.silence_, now);
    return more_urgent(decide_on_send(seen, watch.attempts_, now), decide_on_memory(seen, watch.memory_checks_, now));
}

/// Ends a send like one whose connection is lost, and releases what it holds elsewhere.
void end_lost_send(gateway_state& state, send_resources& send, const char* reason)
{
    send.watch_->loss_reason_ = reason;
    state.metrics_.count("gateway_sends_lost_total", {{"reason", reason}});
    log_event(severity::info, server_gone, reason,
              {{"request", send.watch_->request_.get()},
               {"server", send.watch_->server_.id_.get()},
               {"probes", std::to_string(send.watch_->attempts_.made_)}});
    send.registration_.reset();
    send.reservations_->release();
    close_socket(*send.reader_->connection_);
}

void record_probe(gateway_state& state, send_watch& watch, connection_attempt result, time_point began_at)
{
    const bool is_list_current = server_list_age(state) <= state.settings_.staleness_bound_;
    record_attempt(watch.attempts_, result, is_list_current, began_at);
    state.metrics_.count("gateway_server_probes_total", {{"result", name_of(result)}});
    log_event(severity::info, server_probed, name_of(result),
              {{"request", watch.request_.get()},
               {"server", watch.server_.id_.get()},
               {"probe", std::to_string(watch.attempts_.made_)},
               {"list_current", is_list_current ? "1" : "0"}});
}

void record_check(gateway_state& state, send_watch& watch, std::optional<bool> used, time_point began_at)
{
    record_memory_check(watch.memory_checks_, used, began_at);
    const char* const result = used ? (*used ? "used" : "unused") : "unknown";
    state.metrics_.count("gateway_memory_checks_total", {{"result", result}});
    log_event(severity::info, memory_checked, result,
              {{"request", watch.request_.get()},
               {"server", watch.server_.id_.get()},
               {"engines", std::to_string(watch.leases_.size())}});
}

task<> wait_for_change(std::shared_ptr<send_watch> watch, milliseconds delay)
{
    boost::system::error_code cancelled;
    watch->timer_.expires_after(delay);
    co_await watch->timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
}

task<> probe_server(gateway_state& state, std::shared_ptr<send_watch> watch)
{
    const auto began_at = std::chrono::steady_clock::now();
    const auto result =
        co_await try_connection(state.executor_, watch->server_.address_.get(), began_at + attempt_time_limit());
    record_probe(state, *watch, result, began_at);
}

/// Asks the engines that hold memory for the send, one after the other, until one says that it is used.
task<> check_memory(gateway_state& state, std::shared_ptr<send_watch> watch)
{
    const auto began_at = std::chrono::steady_clock::now();
    std::optional<bool> used;
    for (std::size_t index = 0; index < watch->leases_.size() && !used.value_or(false); ++index)
    {
        const auto answer = co_await query_memory_use(watch->leases_[index]);
        if (answer != memory_use::unknown)
        {
            used = answer == memory_use::used;
        }
    }
    record_check(state, *watch, used, began_at);
}

/// Decides on the send again and again until it has ended or nothing is left to find out.
/// @param watched not kept alive: it refers to the request, which may end meanwhile
task<> watch_until_ended(gateway_state& state, std::weak_ptr<send_resources> watched, std::shared_ptr<send_watch> watch)
{
    auto step = send_step::wait;
    while (step != send_step::end && step != send_step::stop)
    {
        auto send = watched.lock();
        const auto decision = send ? decide(state, *send) : send_decision{};
        step = decision.step_;
        if (step == send_step::end)
        {
            end_lost_send(state, *send, decision.reason_);
        }
        send.reset();
        if (step == send_step::wait)
        {
            co_await wait_for_change(watch, decision.delay_);
        }
        else if (step == send_step::probe)
        {
            co_await probe_server(state, watch);
        }
        else if (step == send_step::check_memory)
        {
            co_await check_memory(state, watch);
        }
    }
    watch->active_ = false;
}

void start_watching(gateway_state& state, const std::shared_ptr<send_resources>& send)
{
    send->watch_->active_ = true;
    spawn(state.executor_, "watch_send", watch_until_ended(state, send, send->watch_));
}

void review_send(gateway_state& state, const std::shared_ptr<send_resources>& send, const listed_server& changed)
{
    if (!send || !send->reader_)
    {
        return;
    }
    auto& watch = *send->watch_;
    watch.draining_ = watch.draining_ || (watch.server_.id_ == changed.id_ && changed.state_ == server_state::draining);
    const bool concerned = watch.server_.id_ == changed.id_ || watch.server_.address_ == changed.address_;
    if (!concerned || listing_of(state.directory_, watch.server_) == lifetime_listing::listed)
    {
        return;
    }
    if (watch.active_)
    {
        watch.timer_.cancel();
    }
    else
    {
        start_watching(state, send);
    }
}

}  // namespace

void watch_send(gateway_state& state, const std::shared_ptr<send_resources>& send)
{
    if (send->watch_->reserves_memory_)
    {
        start_watching(state, send);
    }
}

void review_sends_to(gateway_state& state, const listed_server& changed)
{
    std::ranges::for_each(state.open_exchanges_, [&](const exchange* current) {
        review_send(state, current->send_.resources_, changed);
        std::ranges::for_each(current->silent_sends_, [&](const auto& send) { review_send(state, send, changed); });
    });
}

void release_reservations(const exchange& current)
{
    current.send_.resources_->reservations_->release();
}

}  // namespace cornelstall
