#include "cornelstall/decisions/request/joint_read.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace cornelstall
{

namespace
{

/// The platform takes this many helpers beside the engine that answers.
constexpr int most_helpers = 16;
/// A part below this is read about as fast as the whole, since every engine makes a pass for it.
constexpr std::int64_t least_part_tokens = 16384;
/// Part of the goal in which idle engines should have read the prompt; the rest covers work that is not known yet.
constexpr double goal_share = 0.5;
/// Part of an engine's memory that is planned with; the rest covers answers that become longer than expected.
constexpr double memory_share = 0.92;
/// Value that each engine must bring for the orders about its memory and the chance that one of several fails.
constexpr double cost_of_each_part = 0.1;
/// Scores closer than this are equal; the forecast is not more exact.
constexpr double score_step = 0.05;
/// What a second of an engine would bring otherwise.
constexpr double engine_second_cost = 0.4;
/// Part of a service's engines that stay idle for requests that come while a prompt is read together.
constexpr double idle_reserve = 0.15;

constexpr double ms_per_s = 1000.0;

struct candidate
{
    known_server* server_ = nullptr;
    engine_schedule* load_ = nullptr;
    placement_forecast forecast_;
    double score_ = 0.0;  ///< what remains of the request's value, less what others lose here

    std::uint64_t tie_ = 0;  ///< keeps VMs that decide at the same moment from choosing the same engines
    std::int64_t room_ = 0;
};

std::int64_t room_of(const engine_schedule& load, const engine_profile& profile)
{
    const auto usable = static_cast<std::int64_t>(memory_share * static_cast<double>(profile.kv_capacity_.get()));
    return std::max<std::int64_t>(0, usable - memory_used(load).get());
}

/// Expected value of @a work when its first token comes @a first_token from now.
double value_with(const engine_work& work, milliseconds first_token, time_point now)
{
    const std::chrono::duration<double, std::milli> after = now + first_token - work.arrived_;
    return expected_value(work, after.count());
}

engine_work part_of(const engine_work& whole, int parts, time_point now)
{
    engine_work part = whole;
    part.joint_prompt_ = whole.prompt_;
    part.prompt_ = token_count{0};
    part.unread_ = token_count{(whole.prompt_.get() + parts - 1) / parts};
    part.answer_left_ = token_count{0};
    part.helps_ = true;
    part.value_ = 0.0;
    part.sent_at_ = now;
    return part;
}

std::vector<candidate> candidates_for(server_directory& directory, fleet_load& load, const service_description& service,
                                      const choice_request& request, int parts, time_point now)
{
    const auto& profile = *service.engine_;
    const auto part = part_of(request.work_, parts, now);
    std::vector<candidate> found;
    std::ranges::for_each(untried_servers(directory, service.id_, request.tried_), [&](known_server* server) {
        auto& engine = load.engines_[server->listed_.id_];
        // A long read beside streams makes them late, and those that follow are delayed as well.
        if (server->avoid_until_ > now || !engine.work_.empty())
        {
            return;
        }
        candidate entry{server,
                        &engine,
                        forecast_placement(engine, profile, server->pace_, part, now),
                        0.0,
                        tie_breaker(server->listed_.id_, request.draw_),
                        room_of(engine, profile)};
        entry.score_ = entry.forecast_.benefit_ + value_with(request.work_, entry.forecast_.first_token_, now);
        found.push_back(entry);
    });
    std::ranges::sort(found, std::ranges::greater{}, [](const candidate& entry) {
        return std::pair(std::round(entry.score_ / score_step), entry.tie_);
    });
    return found;
}

/// Gives the prompt and the answer a place in the memory of @a chosen: the first engine holds what it can, the others
/// reserve the rest, those with the most room first.
/// @return nothing when their memory does not suffice
std::optional<std::vector<joint_part>> place_memory(const std::vector<candidate>& chosen, const engine_work& whole,
                                                    int parts, time_point now)
{
    std::vector<joint_part> placed;
    auto left = whole.prompt_.get() + whole.answer_left_.get();
    std::ranges::for_each(chosen, [&](const candidate& entry) {
        joint_part part{entry.server_->listed_, part_of(whole, parts, now), token_count{0}};
        const auto held = std::min(left, entry.room_);
        left -= held;
        if (placed.empty())
        {
            // The engine that answers holds the answer and what is left of the prompt.
            part.work_.helps_ = false;
            part.work_.answer_left_ = whole.answer_left_;
            part.work_.prompt_ = token_count{std::max<std::int64_t>(0, held - whole.answer_left_.get())};
            part.work_.value_ = whole.value_;
        }
        else
        {
            part.work_.prompt_ = token_count{held};
            part.reserved_ = token_count{held};
        }
        placed.push_back(std::move(part));
    });
    return left > 0 ? std::nullopt : std::optional(std::move(placed));
}

std::optional<joint_read> plan(server_directory& directory, fleet_load& load, const service_description& service,
                               const choice_request& request, int parts, time_point now)
{
    auto chosen = candidates_for(directory, load, service, request, parts, now);
    const auto ready_count = static_cast<double>(ready_servers(directory, service.id_).size());
    const auto kept_idle = static_cast<std::size_t>(idle_reserve * ready_count);
    if (chosen.size() < static_cast<std::size_t>(parts) + kept_idle)
    {
        return std::nullopt;
    }
    chosen.resize(static_cast<std::size_t>(parts));
    const auto answering = std::ranges::max_element(chosen, {}, [&](const candidate& entry) {
        return slots_used(*entry.load_) < service.engine_->slots_ ? entry.room_ : std::int64_t{-1};
    });
    std::iter_swap(chosen.begin(), answering);
    std::ranges::sort(chosen.begin() + 1, chosen.end(), std::ranges::greater{}, &candidate::room_);
    auto placed = place_memory(chosen, request.work_, parts, now);
    if (!placed)
    {
        return std::nullopt;
    }
    const auto last = std::ranges::max(chosen, {}, [](const candidate& entry) { return entry.forecast_.first_token_; });
    const double lost = std::accumulate(chosen.begin(), chosen.end(), 0.0, [](double sum, const candidate& entry) {
        return sum - entry.forecast_.benefit_;
    });
    joint_read result{std::move(*placed), last.forecast_};
    result.forecast_.fits_ = true;
    result.forecast_.benefit_ =
        value_with(request.work_, last.forecast_.first_token_, now) - lost - cost_of_each_part * parts -
        engine_second_cost * reading_alone_ms(*service.engine_, request.work_.prompt_) / ms_per_s;
    return result;
}

int engines_for(double whole, double each)
{
    return static_cast<int>(std::ceil(whole / std::max(1.0, each)));
}

}  // namespace

std::optional<joint_read> choose_joint_read(server_directory& directory, fleet_load& load,
                                            const service_description& service, const choice_request& request,
                                            std::optional<double> alone, time_point now)
{
    const auto& profile = *service.engine_;
    const auto& work = request.work_;
    const auto tokens = static_cast<double>(work.prompt_.get() + work.answer_left_.get());
    const int for_memory = engines_for(tokens, memory_share * static_cast<double>(profile.kv_capacity_.get()));
    const int for_goal =
        engines_for(reading_alone_ms(profile, work.prompt_), goal_share * static_cast<double>(work.target_.count()));
    const auto most = std::min<std::int64_t>(most_helpers + 1, work.prompt_.get() / least_part_tokens);
    const int least = std::max(2, for_memory);
    if (most < least)
    {
        return std::nullopt;
    }
    const int wanted = std::clamp(for_goal, least, static_cast<int>(most));
    std::optional<joint_read> best;
    // Fewer engines disturb fewer requests, but each for longer.
    for (const int parts : {wanted, (wanted + least) / 2, least})
    {
        auto planned = plan(directory, load, service, request, parts, now);
        if (planned && (!best || planned->forecast_.benefit_ > best->forecast_.benefit_))
        {
            best = std::move(planned);
        }
    }
    if (!best || (alone && best->forecast_.benefit_ <= *alone))
    {
        return std::nullopt;
    }
    return best;
}

}  // namespace cornelstall
