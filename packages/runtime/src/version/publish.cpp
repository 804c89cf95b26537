#include "cornelstall/runtime/version/publish.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <span>
#include <utility>

#include "cornelstall/runtime/connection/http_call.hpp"
#include "cornelstall/wire/version/configuration_codec.hpp"

namespace cornelstall
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr int records_per_page = 32;

/// One publication under way.
struct publishing
{
    configuration_log log_;
    parse_function parse_;
    publication wanted_;
    time_point deadline_;
    configuration_replay replay_;
    std::vector<declaration_change> changes_;
    bool acknowledged_ = false;
    bool may_have_been_appended_ = false;
    std::string problem_;
};

bool is_same(const policy_fault& left, const policy_fault& right)
{
    return left.id_ == right.id_ && left.service_ == right.service_ && left.field_ == right.field_ &&
           left.problem_ == right.problem_;
}

/// Faults that the changes would bring; those of others' declarations must not block this publication.
std::vector<policy_fault> new_faults(const configuration_state& state, const std::vector<declaration_change>& changes,
                                     const parse_function& parse)
{
    auto candidate = state;
    apply_change(candidate, state.read_through_.next(), {publication_id{"candidate"}, changes}, parse);
    const auto before = validate(*state.active_config_);
    auto faults = validate(*candidate.active_config_);
    std::erase_if(faults, [&](const policy_fault& fault) {
        return std::ranges::any_of(before, [&](const policy_fault& old) { return is_same(old, fault); });
    });
    return faults;
}

std::vector<service_id> services_of(const std::vector<declaration_change>& changes)
{
    std::vector<service_id> services;
    std::ranges::transform(changes, std::back_inserter(services), &declaration_change::service_);
    return services;
}

/// The newest offset in force on which one of the changes is not based; 0 when all bases are in force.
log_offset newer_than_bases(const publishing& current)
{
    const auto& declarations = current.replay_.state_.active_config_->declarations_;
    log_offset newest;
    std::ranges::for_each(current.changes_, [&](const declaration_change& change) {
        const auto found = declarations.find(change.service_);
        const auto in_force = found == declarations.end() ? log_offset{0} : found->second.accepted_at_;
        newest = in_force == change.base_ ? newest : std::max(newest, in_force);
    });
    return newest;
}

/// Appends the record; keeps the problem, and whether the append may have had an effect.
task<> try_append(publishing& current, std::string text)
{
    std::vector<std::string> records;
    records.push_back(std::move(text));
    try
    {
        co_await current.log_.append_(std::move(records));
        current.acknowledged_ = true;
        current.may_have_been_appended_ = true;
    }
    catch (const connection_error& failure)
    {
        current.problem_ = failure.what();
        // Any other failure may be a lost acknowledgement.
        current.may_have_been_appended_ |= failure.id() != log_refused && failure.id() != http_connect_failed;
    }
}

/// Reads one page and looks for the publication in it.
task<publication_result> read_and_find(publishing& current)
{
    // The publication is judged on a copy, since the replay's own pass tells no verdicts.
    auto state = current.replay_.state_;
    const bool in_order = current.replay_.snapshot_search_offset_ == log_offset{0};
    const auto page =
        co_await read_page(current.log_, current.replay_, current.parse_, records_per_page, milliseconds{0});
    const auto entries = decode_page(page);
    if (in_order && can_continue_reading(state, page.oldest_))
    {
        co_return find_publication(state, entries, current.wanted_.id_, current.parse_);
    }
    co_return publication_result{};
}

/// Reads to the head. Returns the verdict once the publication is found.
task<std::optional<publication_result>> look_for_publication(publishing& current)
{
    try
    {
        log_offset from;
        do
        {
            from = next_read_offset(current.replay_);
            const auto found = co_await read_and_find(current);
            if (found.status_ != publication_status::not_found)
            {
                co_return found;
            }
        } while (next_read_offset(current.replay_) != from);
    }
    catch (const connection_error& failure)
    {
        current.problem_ = failure.what();
    }
    co_return std::nullopt;
}

publish_result ended(const publishing& current, publish_status status, configuration_version version)
{
    return {status, version, services_of(current.changes_), {}, current.problem_};
}

/// Appends and looks for the record in turns, until its fate is known or the time is over.
task<publish_result> append_until_known(publishing& current)
{
    const auto text = encode(change_record{current.wanted_.id_, current.changes_});
    while (clock::now() < current.deadline_)
    {
        if (!current.acknowledged_)
        {
            co_await try_append(current, text);
        }
        const auto found = co_await look_for_publication(current);
        if (found)
        {
            co_return ended(
                current,
                found->status_ == publication_status::accepted ? publish_status::accepted : publish_status::lost,
                found->version_);
        }
        if (const auto newest = newer_than_bases(current); newest > log_offset{0})
        {
            // A record of ours that arrives later cannot be accepted any more.
            co_return ended(current, publish_status::lost, configuration_version{newest.get()});
        }
        co_await sleep_for(current.wanted_.backoff_);
    }
    co_return ended(current, current.may_have_been_appended_ ? publish_status::unknown : publish_status::not_appended,
                    {});
}

}  // namespace

task<bool> catch_up(configuration_log log, configuration_replay& replay, parse_function parse, time_point deadline,
                    milliseconds backoff, std::string& problem)
{
    while (clock::now() < deadline)
    {
        bool moved = false;
        try
        {
            const auto from = next_read_offset(replay);
            const auto page = co_await read_page(log, replay, parse, records_per_page, milliseconds{0});
            if (is_caught_up(replay, page.next_))
            {
                co_return true;
            }
            moved = next_read_offset(replay) != from;
            problem = "the log holds no whole snapshot yet for records that are gone";
        }
        catch (const connection_error& failure)
        {
            problem = failure.what();
        }
        if (!moved)
        {
            co_await sleep_for(backoff);
        }
    }
    co_return false;
}

task<publish_result> publish(configuration_log log, parse_function parse, publication wanted)
{
    publishing current{std::move(log), std::move(parse), std::move(wanted), {}, {}, {}, false, false, {}};
    current.deadline_ = clock::now() + current.wanted_.time_limit_;
    const bool ready = co_await catch_up(current.log_, current.replay_, current.parse_, current.deadline_,
                                         current.wanted_.backoff_, current.problem_);
    if (!ready)
    {
        co_return ended(current, publish_status::not_appended, {});
    }
    const auto& state = current.replay_.state_;
    current.changes_ = diff_declarations(*state.active_config_, current.wanted_.texts_);
    if (current.changes_.empty())
    {
        co_return ended(current, publish_status::unchanged, state.active_config_->version_);
    }
    auto faults = new_faults(state, current.changes_, current.parse_);
    if (!faults.empty())
    {
        auto result = ended(current, publish_status::invalid, state.active_config_->version_);
        result.faults_ = std::move(faults);
        co_return result;
    }
    co_return co_await append_until_known(current);
}

}  // namespace cornelstall
