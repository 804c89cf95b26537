#include "cornelstall/decisions/process/suspect_parts.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace cornelstall
{

namespace
{

/// Crashes in succession after which a part is blocked. Two can happen to a rarely used sound part whose request is
/// sent again into an outage.
constexpr std::size_t crashes_to_block = 3;
constexpr std::size_t crashes_to_stop_repeats = 2;
constexpr std::size_t max_crashes_per_part = 8;
/// A part on which an answer began this long before a crash is not blamed for it.
constexpr milliseconds sound_period{2000};
/// News is reported for this long, several times, because datagrams can be lost.
constexpr milliseconds news_period{3000};
/// A part for which a VM refused a request is reported for this long, so that VMs that start or return learn of it.
constexpr milliseconds refusal_report_period{10'000};
constexpr std::chrono::seconds crash_retention{60};
constexpr std::chrono::minutes blocked_retention{5};
constexpr std::chrono::seconds first_trial_delay{30};
/// Two parts that were in the same crashes are told apart soon, because one of them is sound.
constexpr std::chrono::seconds ambiguous_trial_delay{1};
constexpr int max_trial_doublings = 5;
constexpr std::size_t max_suspects = 512;
constexpr std::size_t max_begun = 4096;

/// Crashes of which each hit a request that was sent after the crash before. Servers that fail together count once.
std::size_t successive_crashes(const part_evidence& evidence)
{
    std::size_t count = 0;
    time_point last;
    std::ranges::for_each(evidence.crashes_, [&](const part_crash& crash) {
        if (count == 0 || crash.sent_at_ >= last)
        {
            ++count;
            last = crash.crashed_at_;
        }
    });
    return count;
}

bool has_crash(const part_evidence& evidence, crash_id id)
{
    return std::ranges::find(evidence.crashes_, id, &part_crash::id_) != evidence.crashes_.end();
}

bool includes_crashes(const part_evidence& all, const part_evidence& some)
{
    return std::ranges::all_of(some.crashes_, [&all](const part_crash& crash) { return has_crash(all, crash.id_); });
}

/// True when another part was in all crashes of @a evidence and in more.
bool is_explained(const suspect_parts& suspects, const part_evidence& evidence)
{
    return std::ranges::any_of(suspects.parts_ | std::views::values, [&evidence](const suspect_part& other) {
        return other.evidence_.crashes_.size() > evidence.crashes_.size() &&
               successive_crashes(other.evidence_) >= crashes_to_block && includes_crashes(other.evidence_, evidence);
    });
}

bool has_twin(const suspect_parts& suspects, prompt_part_id part, const part_evidence& evidence)
{
    return std::ranges::any_of(suspects.parts_, [&](const auto& entry) {
        const auto& other = entry.second.evidence_;
        return entry.first != part && other.crashes_.size() == evidence.crashes_.size() &&
               includes_crashes(other, evidence);
    });
}

void remove_refuted_crashes(part_evidence& evidence)
{
    if (evidence.begun_at_)
    {
        std::erase_if(evidence.crashes_, [&evidence](const part_crash& crash) {
            return crash.crashed_at_ <= *evidence.begun_at_ + sound_period;
        });
    }
}

void add_crash(part_evidence& evidence, const part_crash& crash)
{
    if (has_crash(evidence, crash.id_) || evidence.crashes_.size() >= max_crashes_per_part)
    {
        return;
    }
    evidence.crashes_.insert(
        std::ranges::upper_bound(evidence.crashes_, crash.crashed_at_, {}, &part_crash::crashed_at_), crash);
}

milliseconds trial_delay(const suspect_part& suspect)
{
    if (suspect.ambiguous_ && suspect.evidence_.trials_ == 0)
    {
        return ambiguous_trial_delay;
    }
    return first_trial_delay * (1 << std::min(suspect.evidence_.trials_, max_trial_doublings));
}

/// Decides anew which parts are blocked, after evidence on some of them has changed.
void update_blocks(suspect_parts& suspects, time_point now, part_changes& changes)
{
    std::ranges::for_each(suspects.parts_, [&](auto& entry) {
        auto& suspect = entry.second;
        const bool blocked =
            successive_crashes(suspect.evidence_) >= crashes_to_block && !is_explained(suspects, suspect.evidence_);
        if (blocked && !suspect.blocked_)
        {
            changes.blocked_.push_back(entry.first);
            suspect.ambiguous_ = has_twin(suspects, entry.first, suspect.evidence_);
            suspect.next_trial_at_ = now + trial_delay(suspect);
        }
        if (!blocked && suspect.blocked_)
        {
            changes.cleared_.push_back(entry.first);
        }
        suspect.blocked_ = blocked;
    });
}

void make_room(suspect_parts& suspects)
{
    if (suspects.parts_.size() < max_suspects)
    {
        return;
    }
    const auto least = std::ranges::min_element(suspects.parts_, {}, [](const auto& entry) {
        return std::pair(entry.second.blocked_, entry.second.noted_at_);
    });
    suspects.parts_.erase(least);
}

suspect_part& suspect_for(suspect_parts& suspects, prompt_part_id part)
{
    const auto found = suspects.parts_.find(part);
    if (found != suspects.parts_.end())
    {
        return found->second;
    }
    make_room(suspects);
    auto& suspect = suspects.parts_[part];
    const auto begun = suspects.begun_.find(part);
    if (begun != suspects.begun_.end())
    {
        suspect.evidence_.begun_at_ = begun->second;
    }
    return suspect;
}

void report_news(suspect_part& suspect, time_point now, part_changes& changes)
{
    suspect.report_until_ = std::max(suspect.report_until_, now + news_period);
    changes.news_ = true;
}

void remember_begun(suspect_parts& suspects, prompt_part_id part, time_point now)
{
    if (suspects.begun_.size() >= max_begun && !suspects.begun_.contains(part))
    {
        std::erase_if(suspects.begun_, [now](const auto& entry) { return now - entry.second > sound_period; });
    }
    if (suspects.begun_.size() < max_begun || suspects.begun_.contains(part))
    {
        suspects.begun_[part] = now;
    }
}

void merge_evidence(suspect_part& suspect, const part_evidence& reported, time_point now, part_changes& changes)
{
    auto& evidence = suspect.evidence_;
    const auto known = evidence.crashes_.size();
    if (reported.begun_at_)
    {
        evidence.begun_at_ = std::max(evidence.begun_at_.value_or(*reported.begun_at_), *reported.begun_at_);
    }
    remove_refuted_crashes(evidence);
    const bool refuted = evidence.crashes_.size() < known;
    const auto kept = evidence.crashes_.size();
    std::ranges::for_each(reported.crashes_, [&evidence](const part_crash& crash) { add_crash(evidence, crash); });
    remove_refuted_crashes(evidence);
    const bool added = evidence.crashes_.size() > kept;
    // A VM that knows of an answer refutes what others are about to block.
    const bool refutes = successive_crashes(reported) >= crashes_to_stop_repeats && evidence.crashes_.empty() &&
                         evidence.begun_at_ != reported.begun_at_;
    const bool tried = reported.trials_ > evidence.trials_;
    if (tried)
    {
        evidence.trials_ = reported.trials_;
        suspect.next_trial_at_ = now + trial_delay(suspect);
    }
    if (added || refuted || refutes || tried)
    {
        report_news(suspect, now, changes);
    }
    suspect.noted_at_ = now;
}

}  // namespace

part_changes record_crash(suspect_parts& suspects, const std::vector<prompt_part_id>& parts, const part_crash& crash)
{
    part_changes changes;
    // A request with a blocked part says nothing about its other parts.
    const auto blocked = blocked_parts(suspects, parts);
    std::ranges::for_each(blocked.empty() ? parts : blocked, [&](prompt_part_id part) {
        auto& suspect = suspect_for(suspects, part);
        add_crash(suspect.evidence_, crash);
        remove_refuted_crashes(suspect.evidence_);
        suspect.noted_at_ = crash.crashed_at_;
        if (has_crash(suspect.evidence_, crash.id_))
        {
            report_news(suspect, crash.crashed_at_, changes);
        }
    });
    update_blocks(suspects, crash.crashed_at_, changes);
    return changes;
}

part_changes record_begun(suspect_parts& suspects, const std::vector<prompt_part_id>& parts, time_point now)
{
    part_changes changes;
    std::ranges::for_each(parts, [&](prompt_part_id part) {
        remember_begun(suspects, part, now);
        const auto found = suspects.parts_.find(part);
        if (found == suspects.parts_.end())
        {
            return;
        }
        auto& suspect = found->second;
        suspect.evidence_.begun_at_ = now;
        if (!suspect.evidence_.crashes_.empty())
        {
            suspect.evidence_.crashes_.clear();
            report_news(suspect, now, changes);
        }
    });
    if (changes.news_)
    {
        update_blocks(suspects, now, changes);
    }
    return changes;
}

part_changes merge_reported_parts(suspect_parts& suspects, const std::vector<reported_part>& reported, time_point now)
{
    part_changes changes;
    std::ranges::for_each(reported, [&](const reported_part& entry) {
        if (!entry.evidence_.crashes_.empty() || suspects.parts_.contains(entry.part_))
        {
            merge_evidence(suspect_for(suspects, entry.part_), entry.evidence_, now, changes);
        }
    });
    update_blocks(suspects, now, changes);
    return changes;
}

std::vector<prompt_part_id> blocked_parts(const suspect_parts& suspects, const std::vector<prompt_part_id>& parts)
{
    std::vector<prompt_part_id> blocked;
    std::ranges::copy_if(parts, std::back_inserter(blocked), [&suspects](prompt_part_id part) {
        const auto found = suspects.parts_.find(part);
        return found != suspects.parts_.end() && found->second.blocked_;
    });
    return blocked;
}

bool may_crash_again(const suspect_parts& suspects, const std::vector<prompt_part_id>& parts)
{
    return std::ranges::any_of(parts, [&suspects](prompt_part_id part) {
        const auto found = suspects.parts_.find(part);
        return found != suspects.parts_.end() &&
               successive_crashes(found->second.evidence_) >= crashes_to_stop_repeats &&
               !is_explained(suspects, found->second.evidence_);
    });
}

void record_refusal(suspect_parts& suspects, prompt_part_id part, time_point now)
{
    const auto found = suspects.parts_.find(part);
    if (found != suspects.parts_.end())
    {
        found->second.noted_at_ = now;
        found->second.report_until_ = std::max(found->second.report_until_, now + refusal_report_period);
    }
}

bool take_trial(suspect_parts& suspects, prompt_part_id part, time_point now)
{
    const auto found = suspects.parts_.find(part);
    if (found == suspects.parts_.end() || !found->second.blocked_ || now < found->second.next_trial_at_)
    {
        return false;
    }
    auto& suspect = found->second;
    ++suspect.evidence_.trials_;
    suspect.next_trial_at_ = now + trial_delay(suspect);
    suspect.report_until_ = std::max(suspect.report_until_, now + news_period);
    return true;
}

milliseconds time_until_trial(const suspect_parts& suspects, prompt_part_id part, time_point now)
{
    const auto found = suspects.parts_.find(part);
    return found == suspects.parts_.end() || found->second.next_trial_at_ <= now
               ? milliseconds{0}
               : std::chrono::ceil<milliseconds>(found->second.next_trial_at_ - now);
}

std::vector<reported_part> parts_to_report(const suspect_parts& suspects, time_point now)
{
    std::vector<reported_part> reported;
    std::ranges::for_each(suspects.parts_, [&](const auto& entry) {
        if (entry.second.report_until_ > now)
        {
            reported.push_back({entry.first, entry.second.evidence_});
        }
    });
    std::ranges::sort(reported, std::ranges::greater{},
                      [](const reported_part& entry) { return entry.evidence_.crashes_.size(); });
    return reported;
}

std::vector<prompt_part_id> drop_old_parts(suspect_parts& suspects, time_point now)
{
    std::vector<prompt_part_id> dropped;
    std::erase_if(suspects.parts_, [&](const auto& entry) {
        const auto& suspect = entry.second;
        const bool old =
            now - suspect.noted_at_ > (suspect.blocked_ ? std::chrono::seconds{blocked_retention} : crash_retention);
        if (old && suspect.blocked_)
        {
            dropped.push_back(entry.first);
        }
        return old;
    });
    std::erase_if(suspects.begun_, [now](const auto& entry) { return now - entry.second > sound_period; });
    return dropped;
}

}  // namespace cornelstall
