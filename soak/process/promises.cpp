#include "process/promises.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <ranges>
#include <set>

#include "cornelstall/standins.hpp"

namespace cornelstall::soak
{

namespace
{

constexpr unsigned ok = 200;
constexpr unsigned unauthorized = 401;
constexpr unsigned not_found = 404;
/// Answers that say that the request did not run and never will.
constexpr std::array<unsigned, 4> refusals{408, 421, 429, 503};

bool is_run(const server_note& note)
{
    return note.what_ == "run";
}

bool may_run_again(const sent_request& request)
{
    return request.kind_ == call_kind::repeatable || request.kind_ == call_kind::resumable;
}

std::map<std::string, std::vector<const server_note*>> runs_by_request(const observations& seen)
{
    std::map<std::string, std::vector<const server_note*>> runs;
    std::ranges::for_each(seen.notes_ | std::views::filter(is_run),
                          [&runs](const server_note& note) { runs[note.request_].push_back(&note); });
    return runs;
}

/// True when @a part of @a vm was disrupted between @a from and @a until.
bool is_disrupted(const observations& seen, disrupted_part part, std::size_t vm, time_point from, time_point until)
{
    return std::ranges::any_of(seen.disruptions_, [&](const disruption& each) {
        return each.part_ == part && (!each.vm_ || *each.vm_ == vm) && each.from_ <= until && from <= each.until_;
    });
}

std::string expected_answer(const sent_request& request, int events)
{
    if (request.kind_ == call_kind::once || request.kind_ == call_kind::repeatable)
    {
        return standins::plain_answer_to(request.body_);
    }
    std::string text;
    for (int number = 1; number <= events; ++number)
    {
        text += standins::event_of(request.body_, number);
    }
    return text;
}

std::string in_ms(time_point::duration length)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(length).count()) + " ms";
}

/// True when the key of @a request was in force for long when it was sent, and was not taken away until its end. Keys
/// that no change has added are those of the first version.
bool has_settled_key(const observations& seen, const sent_request& request, const promise_bounds& bounds)
{
    using kind = acknowledged_change::kind;
    return std::ranges::none_of(seen.changes_, [&](const acknowledged_change& change) {
        return change.name_ == request.key_ &&
               (change.kind_ == kind::key_revoked ||
                (change.kind_ == kind::key_added && request.sent_at_ < change.at_ + bounds.configuration_));
    });
}

/// True when the route named @a prefix was removed, which may have come into force before the acknowledgement.
bool is_removed(const observations& seen, const std::string& prefix)
{
    return std::ranges::any_of(seen.changes_, [&prefix](const acknowledged_change& change) {
        return change.kind_ == acknowledged_change::kind::route_removed && change.name_ == prefix;
    });
}

/// True when a request was open when a planned stop of its VM began, or was sent while the process was still there.
bool is_open_during_stop(const sent_request& request, const planned_stop& stop, time_point stop_ended_at)
{
    return request.vm_ == stop.vm_ && request.sent_at_ <= stop_ended_at &&
           (!request.ended_at_ || *request.ended_at_ >= stop.begun_at_);
}

/// True when a server was still at work on @a request at @a at or later, while its caller waited.
bool is_at_work_after(const sent_request& request, const std::vector<const server_note*>& notes, time_point at)
{
    return std::ranges::any_of(notes, [&](const server_note* run) {
        const auto is_end = [run](const server_note* later) {
            return later->server_ == run->server_ && later->at_ >= run->at_ &&
                   (later->what_ == "done" || later->what_ == "cut" || later->what_ == "left");
        };
        const auto ended = std::ranges::find_if(notes, is_end);
        const auto until = ended == notes.end() ? *request.ended_at_ : std::min((*ended)->at_, *request.ended_at_);
        return is_run(*run) && run->at_ <= *request.ended_at_ && until >= at;
    });
}

bool is_around(const sent_request& request, const planned_stop& stop, const promise_bounds& bounds)
{
    return request.vm_ == stop.vm_ && request.sent_at_ <= stop.begun_at_ + bounds.stop_ + bounds.after_stop_ &&
           request.ended_at_ && *request.ended_at_ >= stop.begun_at_;
}

bool is_cut_around(const sent_request& request, const planned_stop& stop, const promise_bounds& bounds)
{
    return is_around(request, stop, bounds) && *request.ended_at_ <= stop.begun_at_ + bounds.stop_ + bounds.after_stop_;
}

bool is_around(const sent_request& request, const planned_reload& reload, const promise_bounds& bounds)
{
    return request.vm_ == reload.vm_ && request.sent_at_ <= reload.at_ + bounds.configuration_ && request.ended_at_ &&
           *request.ended_at_ >= reload.at_;
}

/// True when something other than planned work disturbed @a request. Its key makes the store's disruption an excuse.
bool is_disrupted_otherwise(const observations& seen, const sent_request& request, const promise_bounds& bounds)
{
    constexpr std::array parts{disrupted_part::vm, disrupted_part::store, disrupted_part::server};
    return std::ranges::any_of(parts, [&](disrupted_part part) {
        return is_disrupted(seen, part, request.vm_, request.sent_at_ - bounds.stable_, *request.ended_at_);
    });
}

/// True when a request that came early in a stop was still being answered near the end of the grace period.
bool may_outlast_stop(const sent_request& request, const planned_stop& stop, const promise_bounds& bounds)
{
    return request.sent_at_ > stop.begun_at_ && request.sent_at_ <= stop.begun_at_ + bounds.early_in_stop_ &&
           *request.ended_at_ >= stop.begun_at_ + bounds.stop_ - bounds.stop_ / 6;
}

}  // namespace

std::vector<finding> check_runs_once(const observations& seen)
{
    std::vector<finding> found;
    const auto runs = runs_by_request(seen);
    std::ranges::for_each(seen.requests_, [&](const sent_request& request) {
        const auto ran = runs.find(request.id_);
        if (!may_run_again(request) && ran != runs.end() && ran->second.size() > 1)
        {
            found.push_back({"runs_once", request.id_, std::to_string(ran->second.size()) + " runs"});
        }
    });
    return found;
}

std::vector<finding> check_refusals_are_true(const observations& seen)
{
    std::vector<finding> found;
    const auto runs = runs_by_request(seen);
    std::ranges::for_each(seen.requests_, [&](const sent_request& request) {
        const bool refused = std::ranges::find(refusals, request.status_) != refusals.end();
        if (refused && !may_run_again(request) && runs.contains(request.id_))
        {
            found.push_back({"refusals_are_true", request.id_, "answered " + std::to_string(request.status_)});
        }
    });
    return found;
}

std::vector<finding> check_answers_are_whole(const observations& seen, int events)
{
    std::vector<finding> found;
    std::ranges::for_each(seen.requests_, [&](const sent_request& request) {
        if (request.malformed_)
        {
            found.push_back({"answers_are_whole", request.id_, "got bytes that are no answer"});
        }
        if (request.status_ != ok)
        {
            return;
        }
        const auto expected = expected_answer(request, events);
        if (!request.seal_.ends_with("." + request.id_))
        {
            found.push_back({"answers_are_whole", request.id_, "seal '" + request.seal_ + "'"});
        }
        if (request.whole_ ? request.answer_ != expected : !expected.starts_with(request.answer_))
        {
            found.push_back({"answers_are_whole", request.id_, "got '" + request.answer_ + "'"});
        }
    });
    return found;
}

std::vector<finding> check_requests_are_asked(const observations& seen)
{
    std::vector<finding> found;
    std::map<std::string, const sent_request*> sent;
    std::ranges::for_each(seen.requests_, [&sent](const sent_request& request) { sent[request.id_] = &request; });
    std::ranges::for_each(seen.notes_, [&](const server_note& note) {
        const auto asked = sent.find(note.request_);
        if (asked == sent.end() || asked->second->path_ != note.path_ || note.has_key_)
        {
            found.push_back({"requests_are_asked", note.request_, "at " + note.server_ + " as " + note.path_});
        }
    });
    return found;
}

std::vector<finding> check_answers_in_time(const observations& seen, const promise_bounds& bounds, time_point now)
{
    std::vector<finding> found;
    std::ranges::for_each(seen.requests_, [&](const sent_request& request) {
        const auto limit = request.sent_at_ + bounds.route_limit_ + bounds.answer_slack_;
        const auto end = request.ended_at_.value_or(now);
        if (end > limit && !is_disrupted(seen, disrupted_part::vm, request.vm_, request.sent_at_ - bounds.stable_, end))
        {
            found.push_back({"answers_in_time", request.id_, "after " + in_ms(end - request.sent_at_)});
        }
    });
    return found;
}

std::vector<finding> check_stop_ends(const observations& seen, const promise_bounds& bounds, time_point now)
{
    std::vector<finding> found;
    std::ranges::for_each(seen.stops_, [&](const planned_stop& stop) {
        const auto vm = "vm-" + std::to_string(stop.vm_);
        const auto end = stop.ended_at_.value_or(now);
        const bool calm = !is_disrupted(seen, disrupted_part::vm, stop.vm_, stop.begun_at_ - bounds.stable_, end);
        if (calm && end - stop.begun_at_ > bounds.stop_)
        {
            found.push_back({"stops", vm, "still runs after " + in_ms(end - stop.begun_at_)});
        }
        if (stop.ended_at_ && stop.exit_code_ != 0)
        {
            found.push_back({"stops", vm, "exit code " + std::to_string(stop.exit_code_)});
        }
    });
    return found;
}

std::vector<finding> check_planned_stop(const observations& seen, const promise_bounds& bounds)
{
    std::map<std::string, std::vector<const server_note*>> notes;
    std::ranges::for_each(seen.notes_, [&notes](const server_note& note) { notes[note.request_].push_back(&note); });
    std::vector<finding> found;
    std::ranges::for_each(seen.requests_, [&](const sent_request& request) {
        if (!request.ended_at_ || request.whole_ || request.left_ || !request.last_byte_at_)
        {
            return;
        }
        const auto& seen_by_servers = notes[request.id_];
        const bool was_passed_on = !seen_by_servers.empty();
        const bool was_read = was_passed_on || *request.ended_at_ > *request.last_byte_at_ + bounds.loss_slack_;
        const bool server_broke_off =
            std::ranges::any_of(seen_by_servers, [](const server_note* note) { return note->what_ == "cut"; });
        const bool timed_out = *request.ended_at_ >= request.sent_at_ + bounds.route_limit_;
        if (!was_read || server_broke_off || timed_out || is_disrupted_otherwise(seen, request, bounds))
        {
            return;
        }
        // This excuse holds for a reload of the stopping process, too.
        const auto is_excused_by = [&](const planned_stop& stop) {
            return is_cut_around(request, stop, bounds) && request.sent_at_ <= stop.begun_at_ + bounds.early_in_stop_ &&
                   is_at_work_after(request, seen_by_servers, stop.begun_at_ + bounds.stop_ - bounds.stop_ / 6);
        };
        if (std::ranges::any_of(seen.stops_, is_excused_by))
        {
            return;
        }
        const auto stop = std::ranges::find_if(
            seen.stops_, [&](const planned_stop& each) { return is_cut_around(request, each, bounds); });
        const auto reload = std::ranges::find_if(
            seen.reloads_, [&](const planned_reload& each) { return is_around(request, each, bounds); });
        if (stop == seen.stops_.end() && reload == seen.reloads_.end())
        {
            return;
        }
        const bool in_stop = stop != seen.stops_.end();
        const auto begun_at = in_stop ? stop->begun_at_ : reload->at_;
        found.push_back({"planned_stop", request.id_,
                         "vm-" + std::to_string(request.vm_) + (in_stop ? " SIGTERM" : " SIGHUP") + ", sent " +
                             in_ms(request.sent_at_ - begun_at) + " and closed " +
                             in_ms(*request.ended_at_ - begun_at) + " after it, status " +
                             std::to_string(request.status_) + ", " + std::to_string(request.answer_.size()) +
                             " bytes" + (was_passed_on ? "" : ", not passed on")});
    });
    return found;
}

std::size_t count_requests_in_planned_work(const observations& seen, const promise_bounds& bounds)
{
    return static_cast<std::size_t>(std::ranges::count_if(seen.requests_, [&](const sent_request& request) {
        const auto is_open_around = [&](const auto& work) {
            return is_around(request, work, bounds);
        };
        return std::ranges::any_of(seen.stops_, is_open_around) || std::ranges::any_of(seen.reloads_, is_open_around);
    }));
}

std::vector<finding> check_stops(const observations& seen, const promise_bounds& bounds, time_point now)
{
    std::vector<finding> found = check_stop_ends(seen, bounds, now);
    const auto runs = runs_by_request(seen);
    // A request that crosses the close of an idle connection was not taken.
    const auto was_taken = [&](const sent_request& request) {
        return runs.contains(request.id_) || *request.ended_at_ - request.sent_at_ > bounds.loss_slack_;
    };
    std::ranges::for_each(seen.stops_, [&](const planned_stop& stop) {
        const auto vm = "vm-" + std::to_string(stop.vm_);
        const auto end = stop.ended_at_.value_or(now);
        const bool calm = !is_disrupted(seen, disrupted_part::vm, stop.vm_, stop.begun_at_ - bounds.stable_, end);
        std::ranges::for_each(seen.requests_, [&](const sent_request& request) {
            const bool cut = request.ended_at_ && !request.whole_ && !request.left_;
            if (calm && cut && is_open_during_stop(request, stop, end) && was_taken(request) &&
                !may_outlast_stop(request, stop, bounds) &&
                !is_disrupted(seen, disrupted_part::server, stop.vm_, request.sent_at_, *request.ended_at_))
            {
                found.push_back({"stops", request.id_, "cut off by the stop of " + vm});
            }
        });
    });
    return found;
}

std::vector<finding> check_changes(const observations& seen, const promise_bounds& bounds)
{
    using kind = acknowledged_change::kind;
    std::vector<finding> found;
    const auto runs = runs_by_request(seen);
    const auto is_calm = [&](const sent_request& request, time_point from, time_point until) {
        return !is_disrupted(seen, disrupted_part::vm, request.vm_, from - bounds.stable_, until) &&
               !is_disrupted(seen, disrupted_part::store, request.vm_, from - bounds.stable_, until);
    };
    const auto check_request = [&](const acknowledged_change& change, const sent_request& request) {
        const bool ran = runs.contains(request.id_);
        const auto bound = change.kind_ == kind::key_revoked ? bounds.revocation_ : bounds.configuration_;
        if (request.sent_at_ < change.at_ + bound)
        {
            return;
        }
        // A revoked key must not work at a disrupted VM either; versions are bound by time only at calm ones.
        const bool calm = is_calm(request, change.at_, request.sent_at_);
        if (change.kind_ == kind::key_revoked && request.key_ == change.name_ && ran)
        {
            found.push_back({"changes", request.id_, "ran with the revoked key " + change.name_});
        }
        if (change.kind_ == kind::route_removed && request.path_.starts_with(change.name_) && ran && calm)
        {
            found.push_back({"changes", request.id_, "ran on the removed route " + change.name_});
        }
        const bool refused = (request.status_ == not_found && !is_removed(seen, change.name_)) ||
                             (request.status_ == unauthorized && has_settled_key(seen, request, bounds));
        if (change.kind_ == kind::route_added && request.path_.starts_with(change.name_) && calm && refused)
        {
            found.push_back({"changes", request.id_, "refused on the added route " + change.name_});
        }
    };
    std::map<std::string, const sent_request*> sent;
    std::ranges::for_each(seen.requests_, [&sent](const sent_request& request) { sent[request.id_] = &request; });
    const auto check_note = [&](const acknowledged_change& change, const server_note& note) {
        const auto asked = sent.find(note.request_);
        const bool late = note.at_ > change.at_ + bounds.leaving_ && note.server_ == change.name_;
        if (late && asked != sent.end() && is_calm(*asked->second, change.at_, note.at_))
        {
            found.push_back(
                {"changes", note.request_,
                 "reached the leaving server " + change.name_ + " " + in_ms(note.at_ - change.at_) + " later"});
        }
    };
    std::ranges::for_each(seen.changes_, [&](const acknowledged_change& change) {
        if (change.kind_ == kind::server_leaving)
        {
            std::ranges::for_each(seen.notes_, [&](const server_note& note) { check_note(change, note); });
            return;
        }
        std::ranges::for_each(seen.requests_, [&](const sent_request& request) { check_request(change, request); });
    });
    return found;
}

std::vector<finding> check_repeats(const observations& seen, const promise_bounds& bounds)
{
    std::set<std::string> arrived;
    std::vector<time_point> repeats;
    std::ranges::for_each(seen.notes_, [&](const server_note& note) {
        const bool arrival = is_run(note) || note.what_ == "refused";
        if (arrival && !arrived.insert(note.request_).second)
        {
            repeats.push_back(note.at_);
        }
    });
    std::ranges::sort(repeats);
    std::vector<finding> found;
    for (auto first = repeats.begin(); first != repeats.end(); ++first)
    {
        const auto end = *first + bounds.repeat_window_;
        const auto repeated = std::ranges::count_if(first, repeats.end(), [end](time_point at) { return at < end; });
        const auto asked = std::ranges::count_if(seen.requests_, [&](const sent_request& request) {
            return request.sent_at_ >= *first - bounds.repeat_window_ && request.sent_at_ < end;
        });
        const double allowed = bounds.repeat_ratio_ * static_cast<double>(asked) + bounds.repeat_extra_;
        if (static_cast<double>(repeated) > allowed)
        {
            found.push_back({"repeats", "all", std::to_string(repeated) + " repeats in a window"});
            break;
        }
    }
    return found;
}

namespace
{

void add_to(std::vector<finding>& all, const std::vector<finding>& found)
{
    all.insert(all.end(), found.begin(), found.end());
}

std::vector<finding> without_repeats(std::vector<finding> all)
{
    std::ranges::sort(all);
    const auto repeated = std::ranges::unique(all);
    all.erase(repeated.begin(), repeated.end());
    return all;
}

}  // namespace

std::vector<finding> check_planned_work(const observations& seen, const promise_bounds& bounds, int events,
                                        time_point now)
{
    std::vector<finding> all = check_runs_once(seen);
    add_to(all, check_refusals_are_true(seen));
    add_to(all, check_answers_are_whole(seen, events));
    add_to(all, check_requests_are_asked(seen));
    add_to(all, check_answers_in_time(seen, bounds, now));
    add_to(all, check_stop_ends(seen, bounds, now));
    add_to(all, check_planned_stop(seen, bounds));
    add_to(all, check_repeats(seen, bounds));
    return without_repeats(std::move(all));
}

std::vector<finding> check_promises(const observations& seen, const promise_bounds& bounds, int events, time_point now)
{
    std::vector<finding> all = check_planned_work(seen, bounds, events, now);
    add_to(all, check_stops(seen, bounds, now));
    add_to(all, check_changes(seen, bounds));
    return without_repeats(std::move(all));
}

}  // namespace cornelstall::soak
