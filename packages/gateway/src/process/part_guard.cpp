#include "cornelstall/gateway/process/part_guard.hpp"

#include <algorithm>
#include <ranges>
#include <sstream>

#include <xxhash.h>

namespace cornelstall
{

namespace
{

constexpr event_kind server_crashed{2035, "server_crashed"};
constexpr event_kind part_blocked{4056, "prompt_part_blocked"};
constexpr event_kind part_cleared{4057, "prompt_part_cleared"};
constexpr event_kind part_tried{4058, "prompt_part_tried"};

/// A VM that has been silent for three report intervals does not count in the choice of the VM that tries.
constexpr milliseconds silence_limit{1000};
constexpr const char* own_evidence = "own";

crash_id make_crash_id(const listed_server& server)
{
    return crash_id{
        XXH32(server.id_.get().data(), server.id_.get().size(), static_cast<std::uint32_t>(server.started_at_ms_))};
}

void log_cleared(prompt_part_id part, const std::string& source)
{
    log_event(severity::info, part_cleared, "requests with the part of the prompt are served again",
              {{"part", text_of({part})}, {"source", source}});
}

void log_changes(gateway_state& state, const part_changes& changes, const std::string& source)
{
    std::ranges::for_each(changes.blocked_, [&](prompt_part_id part) {
        const auto& evidence = state.suspect_parts_.parts_.at(part).evidence_;
        state.metrics_.count("gateway_prompt_parts_blocked_total");
        log_event(
            severity::warning, part_blocked, "servers crash on a part of the prompt; requests with it are refused",
            {{"part", text_of({part})}, {"crashes", std::to_string(evidence.crashes_.size())}, {"source", source}});
    });
    std::ranges::for_each(changes.cleared_, [&source](prompt_part_id part) { log_cleared(part, source); });
    if (changes.news_)
    {
        state.fleet_news_ = true;
        state.schedule_load_report_();
    }
}

/// True when this VM is the one that lets a request with the blocked part @a part through. One cell is chosen, and in
/// it one of the VMs that are alive.
bool is_elected(const gateway_state& state, prompt_part_id part)
{
    const auto& self = state.settings_.name_;
    const auto partition = partition_fleet(known_vms(state.peers_));
    const auto own_cell = cell_of(partition, self);
    if (cell_of(partition, text_of({part})) != own_cell)
    {
        return false;
    }
    const auto order = [part](const std::string& vm) {
        return XXH64(vm.data(), vm.size(), part.get());
    };
    const auto now = std::chrono::steady_clock::now();
    return std::ranges::none_of(state.peers_.peers_, [&](const auto& entry) {
        const auto& name = entry.first.get();
        return now - entry.second.heard_at_ < silence_limit && cell_of(partition, name) == own_cell &&
               order(name) < order(self);
    });
}

}  // namespace

void record_server_crash(gateway_state& state, const listed_server& server, const std::vector<prompt_part_id>& parts,
                         time_point sent_at)
{
    const auto now = std::chrono::steady_clock::now();
    state.metrics_.count("gateway_server_crashes_total");
    log_event(severity::info, server_crashed, "a server ended before it began to answer a request",
              {{"server", server.id_.get()}, {"parts", text_of(parts)}});
    log_changes(state, record_crash(state.suspect_parts_, parts, {make_crash_id(server), sent_at, now}), own_evidence);
}

void record_answer_begun(gateway_state& state, const std::vector<prompt_part_id>& parts)
{
    log_changes(state, record_begun(state.suspect_parts_, parts, std::chrono::steady_clock::now()), own_evidence);
}

void apply_reported_parts(gateway_state& state, const vm_id& sender, const std::vector<reported_part>& reported)
{
    log_changes(state, merge_reported_parts(state.suspect_parts_, reported, std::chrono::steady_clock::now()),
                sender.get());
}

bool take_part_trial(gateway_state& state, const std::vector<prompt_part_id>& parts)
{
    // A trial with two blocked parts would not tell which of them is sound.
    const auto blocked = blocked_parts(state.suspect_parts_, parts);
    if (blocked.size() != 1 || !is_elected(state, blocked.front()) ||
        !take_trial(state.suspect_parts_, blocked.front(), std::chrono::steady_clock::now()))
    {
        return false;
    }
    log_event(severity::info, part_tried, "one request with a blocked part of the prompt is let through",
              {{"part", text_of(blocked)}});
    state.fleet_news_ = true;
    state.schedule_load_report_();
    return true;
}

milliseconds refuse_blocked_parts(gateway_state& state, const std::vector<prompt_part_id>& parts)
{
    const auto now = std::chrono::steady_clock::now();
    milliseconds longest{0};
    std::ranges::for_each(blocked_parts(state.suspect_parts_, parts), [&](prompt_part_id part) {
        record_refusal(state.suspect_parts_, part, now);
        longest = std::max(longest, time_until_trial(state.suspect_parts_, part, now));
    });
    return longest;
}

void drop_old_parts(gateway_state& state)
{
    std::ranges::for_each(drop_old_parts(state.suspect_parts_, std::chrono::steady_clock::now()),
                          [](prompt_part_id part) { log_cleared(part, "age"); });
}

std::string describe_parts(const gateway_state& state)
{
    const auto now = std::chrono::steady_clock::now();
    std::ostringstream text;
    std::ranges::for_each(state.suspect_parts_.parts_, [&](const auto& entry) {
        const auto& suspect = entry.second;
        const auto age = std::chrono::duration_cast<milliseconds>(now - suspect.noted_at_);
        text << text_of({entry.first}) << (suspect.blocked_ ? " blocked" : " suspected")
             << " crashes=" << suspect.evidence_.crashes_.size() << " trials=" << suspect.evidence_.trials_
             << " noted_ms_ago=" << age.count() << '\n';
    });
    return text.str();
}

std::string text_of(const std::vector<prompt_part_id>& parts)
{
    constexpr std::size_t max_logged = 8;
    std::ostringstream text;
    text << std::hex;
    std::ranges::for_each(parts | std::views::take(max_logged),
                          [&text](prompt_part_id part) { text << (text.tellp() > 0 ? "," : "") << part.get(); });
    return parts.empty() ? "none" : text.str();
}

}  // namespace cornelstall
