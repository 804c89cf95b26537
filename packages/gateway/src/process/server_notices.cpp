#include "cornelstall/gateway/process/server_notices.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

constexpr event_kind server_leaving{4048, "server_leaving"};
constexpr event_kind server_paused{4049, "server_paused"};

constexpr event_kind server_limited{4059, "server_limited"};
constexpr event_kind server_limit_ended{4060, "server_limit_ended"};
constexpr const char* own_answer = "answer";

/// Logs a change and brings the shares of this VM and the reports to the other VMs up to date.
void handle_limit_change(gateway_state& state, const changed_limit& changed, const std::string& source, time_point now)
{
    if (changed.change_ == limit_change::none)
    {
        return;
    }
    if (changed.change_ == limit_change::named)
    {
        log_event(severity::info, server_limited, "the server names a limit for the requests of all VMs together",
                  {{"server", changed.server_.get()},
                   {"per_s", std::to_string(changed.limit_.value_or(request_rate{}).get())},
                   {"source", source}});
    }
    else
    {
        log_event(severity::info, server_limit_ended, "the server names no limit any more",
                  {{"server", changed.server_.get()}, {"source", source}});
    }
    update_limit_shares(state.directory_, state.peers_, vm_id{state.settings_.name_}, now);
    notify_capacity_changed(state.wait_queues_);
    state.fleet_news_ = true;
    state.schedule_load_report_();
}

}  // namespace

void apply_notices(gateway_state& state, const listed_server& server, const server_answer& answer)
{
    const auto now = std::chrono::steady_clock::now();
    if (answer.wrong_server_)
    {
        return;
    }
    if (answer.leaving_ && record_leaving(state.directory_, server, now))
    {
        state.metrics_.count("gateway_servers_leaving_total", {{"source", "answer"}});
        state.schedule_load_report_();
        log_event(severity::info, server_leaving, "the server announced in an answer that it is leaving",
                  {{"server", server.id_.get()}, {"source", "answer"}, {"age_ms", "0"}});
    }
    if (answer.retry_after_)
    {
        record_pause(state.directory_, server, *answer.retry_after_, now);
        state.metrics_.count("gateway_server_pauses_total");
        log_event(severity::info, server_paused, "the server refused work and wants none from this VM for a time",
                  {{"server", server.id_.get()}, {"pause_ms", std::to_string(answer.retry_after_->count())}});
    }
}

void apply_limit(gateway_state& state, const listed_server& server, const stated_limit& limit, time_point sent_at)
{
    const auto now = std::chrono::steady_clock::now();
    auto& limits = state.directory_.limits_;
    auto change = limit_change::none;
    if (!limit.stated_)
    {
        change = record_no_limit(limits, server.id_, server.started_at_ms_, sent_at, now);
    }
    else if (limit.limit_)
    {
        change = record_limit(limits, server.id_, server.started_at_ms_, *limit.limit_, now);
    }
    handle_limit_change(state, {server.id_, change, limit.limit_}, own_answer, now);
}

void apply_reported_limits(gateway_state& state, const vm_id& sender, const std::vector<reported_limit>& reported)
{
    const auto now = std::chrono::steady_clock::now();
    std::ranges::for_each(
        merge_reported_limits(state.directory_.limits_, reported, now),
        [&](const changed_limit& changed) { handle_limit_change(state, changed, sender.get(), now); });
}

void apply_reported_leaving(gateway_state& state, const vm_id& sender, const std::vector<leaving_server>& leaving)
{
    const auto now = std::chrono::steady_clock::now();
    std::ranges::for_each(leaving, [&](const leaving_server& server) {
        if (record_reported_leaving(state.directory_, server, now))
        {
            state.metrics_.count("gateway_servers_leaving_total", {{"source", "report"}});
            log_event(severity::info, server_leaving, "another VM reports that the server is leaving",
                      {{"server", server.id_.get()},
                       {"source", sender.get()},
                       {"age_ms", std::to_string(server.age_.count())}});
        }
    });
}

}  // namespace cornelstall
