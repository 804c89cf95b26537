#include "cornelstall/decisions/process/server_loss.hpp"

#include <algorithm>
#include <array>
#include <ranges>
#include <utility>

namespace cornelstall
{

namespace
{

/// Bytes that arrived shortly before the list changed are relayed first; they are read within some milliseconds.
constexpr milliseconds min_silence_when_replaced{250};
/// A server that sent something within this time serves the request. Events follow each other within 500 ms.
constexpr milliseconds min_silence_for_probe{1000};
/// TCP repeats a lost SYN after 1 s, so that a longer limit would only add the wait for that. Round trips between data
/// centres take some tens of milliseconds.
constexpr milliseconds attempt_limit{400};
/// Between the beginnings of two attempts while they fail. Four of them span 2.5 s, less than the 4 s in which unused
/// memory has to be free.
constexpr milliseconds failing_attempt_interval{700};
/// Between the beginnings of two attempts after one was accepted.
constexpr milliseconds accepted_attempt_interval{2000};
/// Attempts without an answer in a row after which a listed server is gone. Together they take 2.5 s, longer than any
/// one lost packet explains; a live server would have renewed its entry, a dead one's entry expires about then.
constexpr int max_unanswered_listed = 4;
/// As before, for a server whose entry was removed. More than one, as single packets are lost.
constexpr int max_unanswered_unlisted = 2;
/// Attempts for one send. Bounds the connections that a server gets from the sends that wait for it.
constexpr int max_attempts = 16;
/// A first event is much later than forecast after this multiple of the forecast plus this allowance. Chosen, not
/// measured: half of the factor and a third of the allowance after which a silent server is replaced, because a probe
/// costs one connection, and the memory has to be free 4 s after its use has ended.
constexpr double forecast_multiple = 1.5;
constexpr milliseconds forecast_allowance{500};

/// Checks of unused memory within the time after which it is released. The first is made after half of it, so that an
/// engine that is at work is asked once at most.
constexpr int memory_check_intervals = 4;
/// Answers in a row that the memory is unused after which it is released. More than one, as the server may have been
/// about to begin when the first was given.
constexpr int min_unused_answers = 2;

/// True when @a other is a lifetime that began after that of @a server. Start times of 0 are unknown.
bool began_later(const listed_server& other, const listed_server& server)
{
    return server.started_at_ms_ != 0 && other.started_at_ms_ > server.started_at_ms_;
}

/// Reason why the attempts show that the server is gone, or null. A server that leaves in an orderly way may accept no
/// more connections while it ends its requests.
const char* reason_of_attempts(const attempt_history& history, const observed_send& send)
{
    if (history.refused_ && !send.leaving_)
    {
        return "refused";
    }
    const int limit = send.listing_ == lifetime_listing::unlisted ? max_unanswered_unlisted : max_unanswered_listed;
    return history.unanswered_in_row_ >= limit ? "unreachable" : nullptr;
}

milliseconds time_until(time_point when, time_point now)
{
    return std::max(milliseconds{1}, std::chrono::ceil<milliseconds>(when - now));
}

}  // namespace

lifetime_listing listing_of(const server_directory& directory, const listed_server& server)
{
    const auto entries = directory.servers_ | std::views::values;
    const bool has_successor = std::ranges::any_of(entries, [&server](const known_server& other) {
        const bool same_place = other.listed_.id_ == server.id_ || other.listed_.address_ == server.address_;
        return same_place && began_later(other.listed_, server);
    });
    if (has_successor)
    {
        return lifetime_listing::replaced;
    }
    const auto own = directory.servers_.find(server.id_);
    const bool listed = own != directory.servers_.end() &&
                        own->second.listed_.started_at_ms_ == server.started_at_ms_ &&
                        own->second.listed_.address_ == server.address_;
    return listed ? lifetime_listing::listed : lifetime_listing::unlisted;
}

milliseconds attempt_time_limit()
{
    return attempt_limit;
}

time_point probe_due_time(time_point sent_at, milliseconds forecast)
{
    const auto scaled = static_cast<double>(forecast.count()) * forecast_multiple;
    return sent_at + milliseconds{static_cast<std::int64_t>(scaled)} + forecast_allowance;
}

void record_attempt(attempt_history& history, connection_attempt result, bool is_list_current, time_point began_at)
{
    ++history.made_;
    history.last_at_ = began_at;
    history.last_accepted_ = result == connection_attempt::accepted;
    const bool failed =
        result == connection_attempt::refused || (result == connection_attempt::unanswered && is_list_current);
    if (!failed)
    {
        history.refused_ = false;
        history.unanswered_in_row_ = 0;
        return;
    }
    history.failing_since_ = history.unanswered_in_row_ == 0 && !history.refused_ ? began_at : history.failing_since_;
    history.refused_ = history.refused_ || result == connection_attempt::refused;
    history.unanswered_in_row_ += result == connection_attempt::unanswered ? 1 : 0;
}

void discard_outdated(attempt_history& history, milliseconds silence, time_point now)
{
    if (now - silence > history.failing_since_)
    {
        history.refused_ = false;
        history.unanswered_in_row_ = 0;
    }
}

void record_memory_check(memory_checks& checks, std::optional<bool> used, time_point began_at)
{
    checks.last_at_ = began_at;
    checks.used_ = checks.used_ || used.value_or(false);
    checks.unused_in_row_ = used.value_or(true) ? 0 : checks.unused_in_row_ + 1;
}

send_decision decide_on_memory(const observed_send& send, const memory_checks& checks, time_point now)
{
    if (!send.reserves_memory_ || send.begun_ || checks.used_)
    {
        return {};
    }
    if (checks.unused_in_row_ >= min_unused_answers && send.reserved_for_ >= send.max_unused_)
    {
        return {send_step::end, {}, "memory_unused"};
    }
    const auto reserved_at = now - send.reserved_for_;
    const auto interval = send.max_unused_ / memory_check_intervals;
    const auto due_at = std::max(reserved_at + send.max_unused_ / 2, checks.last_at_ + interval);
    return now < due_at ? send_decision{send_step::wait, time_until(due_at, now), ""}
                        : send_decision{send_step::check_memory, {}, ""};
}

send_decision more_urgent(const send_decision& first, const send_decision& second)
{
    const auto rank = [](const send_decision& decision) {
        constexpr std::array order{send_step::end, send_step::probe, send_step::check_memory, send_step::wait,
                                   send_step::stop};
        return std::pair(std::ranges::find(order, decision.step_) - order.begin(), decision.delay_);
    };
    return rank(second) < rank(first) ? second : first;
}

send_decision decide_on_send(const observed_send& send, const attempt_history& history, time_point now)
{
    if (send.listing_ == lifetime_listing::replaced)
    {
        return send.silence_ >= min_silence_when_replaced
                   ? send_decision{send_step::end, {}, "replaced"}
                   : send_decision{send_step::wait, min_silence_when_replaced - send.silence_, ""};
    }
    const bool unlisted = send.listing_ == lifetime_listing::unlisted;
    const bool awaits_first_event = send.reserves_memory_ && !send.begun_;
    if (!unlisted && !awaits_first_event)
    {
        return {};
    }
    const auto silent_at = now - send.silence_ + min_silence_for_probe;
    const auto suspect_at = unlisted ? silent_at : std::max(silent_at, send.first_event_due_);
    if (now < suspect_at)
    {
        return {send_step::wait, time_until(suspect_at, now), ""};
    }
    const char* const reason = reason_of_attempts(history, send);
    if (reason != nullptr)
    {
        return {send_step::end, {}, reason};
    }
    if (history.made_ >= max_attempts)
    {
        return {};
    }
    const auto interval = history.last_accepted_ ? accepted_attempt_interval : failing_attempt_interval;
    if (history.made_ > 0 && now < history.last_at_ + interval)
    {
        return {send_step::wait, time_until(history.last_at_ + interval, now), ""};
    }
    return {send_step::probe, {}, ""};
}

}  // namespace cornelstall
