#include "cornelstall/decisions/request/joint_prefill.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>
#include <tuple>

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
/// Engines that become idle within the same time of this length are equal; the forecast is not more exact.
constexpr double idle_step_ms = 50.0;
/// What a second of an engine would bring otherwise.
constexpr double engine_second_cost = 0.4;
/// Part of a service's engines that stay idle for requests that come while a prompt is read together.
constexpr double idle_reserve = 0.15;
/// Part of a service's engines that are claimed for long prompts or read them together at most.
constexpr double joint_share = 0.5;

constexpr double ms_per_s = 1000.0;

struct candidate
{
    known_server* server_ = nullptr;
    milliseconds idle_in_{0};
    milliseconds first_token_{0};  ///< of a part, from the begin of its read
    std::uint64_t tie_ = 0;        ///< keeps VMs that decide at the same moment from choosing the same engines
    std::int64_t room_ = 0;
};

std::int64_t room_of(const engine_profile& profile)
{
    return static_cast<std::int64_t>(memory_share * static_cast<double>(profile.kv_capacity_.get()));
}

/// True when the engine reads or holds a part of a prompt; its memory is not free before that prompt's answer ends.
bool has_joint_part(const engine_simulation& load)
{
    return std::ranges::any_of(load.work_, [](const engine_work& request) { return request.joint_prompt_.get() > 0; });
}

bool serves_joint_read(const engine_simulation& load)
{
    return std::ranges::any_of(load.work_, [](const engine_work& request) {
        return request.holds_engine_ || (request.joint_prompt_.get() > 0 && request.prefill_left_.get() > 0);
    });
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
    part.prefill_left_ = token_count{(whole.prompt_.get() + parts - 1) / parts};
    part.answer_left_ = token_count{0};
    part.is_helper_ = true;
    part.value_ = 0.0;
    part.sent_at_ = now;
    return part;
}

/// The engines that may read a part, those that are idle soonest first. Some idle ones are left to others.
std::vector<candidate> candidates_for(server_directory& directory, fleet_load& load, const service_description& service,
                                      const choice_request& request, int parts, time_point now)
{
    const auto& profile = *service.engine_;
    const auto part = part_of(request.work_, parts, now);
    std::vector<candidate> found;
    const auto servers = candidate_servers(directory, request, now);
    std::ranges::for_each(servers, [&](known_server* server) {
        auto& engine = load.engines_[server->listed_.id_];
        if (server->avoid_until_ > now || has_joint_part(engine) ||
            is_held_by_other(engine, request.hold_id_, request.work_.arrived_))
        {
            return;
        }
        // A long read beside streams makes them late, and those that follow are delayed as well, so it waits for them.
        const auto idle_in =
            is_idle(engine) ? milliseconds{0} : time_until_idle(engine, profile, server->slowdown_, now);
        const auto read = forecast_placement({}, profile, server->slowdown_, part, now);
        found.push_back({server, idle_in, read.first_token_, tie_breaker(server->listed_.id_, request.tie_break_seed_),
                         room_of(profile)});
    });
    std::ranges::sort(found, {}, [](const candidate& entry) {
        return std::tuple(std::ceil(static_cast<double>(entry.idle_in_.count()) / idle_step_ms), entry.first_token_,
                          entry.tie_);
    });
    const auto idle = std::ranges::count(found, milliseconds{0}, &candidate::idle_in_);
    const auto kept = std::min(idle, static_cast<std::ptrdiff_t>(idle_reserve * static_cast<double>(servers.size())));
    found.erase(found.begin() + (idle - kept), found.begin() + idle);
    return found;
}

/// Gives the prompt and the answer a place in the memory of @a chosen: the first engine holds what it can, the others
/// reserve the rest, those with the most room first.
/// @return nothing when their memory does not suffice
std::optional<std::vector<joint_prefill_part>> place_memory(const std::vector<candidate>& chosen,
                                                            const engine_work& whole, int parts, time_point now)
{
    std::vector<joint_prefill_part> placed;
    auto left = whole.prompt_.get() + whole.answer_left_.get();
    std::ranges::for_each(chosen, [&](const candidate& entry) {
        joint_prefill_part part{entry.server_->listed_, part_of(whole, parts, now), token_count{0}};
        const auto held = std::min(left, entry.room_);
        left -= held;
        if (placed.empty())
        {
            // The engine that answers holds the answer and what is left of the prompt.
            part.work_.is_helper_ = false;
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

/// True when @a parts engines more may serve joint reads. The only prompt of this kind may have all that it needs.
bool has_joint_room(server_directory& directory, fleet_load& load, const choice_request& request, int parts,
                    time_point now)
{
    const auto servers = candidate_servers(directory, request, now);
    const auto taken = std::ranges::count_if(servers, [&](const known_server* server) {
        auto& engine = load.engines_[server->listed_.id_];
        const bool own = std::ranges::any_of(
            engine.work_, [&request](const engine_work& entry) { return entry.key_ == request.hold_id_; });
        return !own && serves_joint_read(engine);
    });
    return taken == 0 || static_cast<double>(taken + parts) <= joint_share * static_cast<double>(servers.size());
}

std::optional<joint_prefill> plan(server_directory& directory, fleet_load& load, const service_description& service,
                                  const choice_request& request, int parts, time_point now)
{
    auto chosen = candidates_for(directory, load, service, request, parts, now);
    if (chosen.size() < static_cast<std::size_t>(parts) || !has_joint_room(directory, load, request, parts, now))
    {
        return std::nullopt;
    }
    chosen.resize(static_cast<std::size_t>(parts));
    auto placed = place_memory(chosen, request.work_, parts, now);
    if (!placed)
    {
        return std::nullopt;
    }
    const auto start = std::ranges::max(chosen, {}, &candidate::idle_in_).idle_in_;
    const auto read = std::ranges::max(chosen, {}, &candidate::first_token_).first_token_;
    const auto waiting =
        std::accumulate(chosen.begin(), chosen.end(), milliseconds{0},
                        [start](milliseconds sum, const candidate& entry) { return sum + (start - entry.idle_in_); });
    const double engine_ms =
        single_engine_prefill_ms(*service.engine_, request.work_.prompt_) + static_cast<double>(waiting.count());
    joint_prefill result{std::move(*placed), {}, start};
    result.forecast_.first_token_ = start + read;
    result.forecast_.benefit_ = value_with(request.work_, start + read, now) - cost_of_each_part * parts -
                                engine_second_cost * engine_ms / ms_per_s;
    return result;
}

int engines_for(double whole, double each)
{
    return static_cast<int>(std::ceil(whole / std::max(1.0, each)));
}

}  // namespace

std::optional<joint_prefill> choose_joint_prefill(server_directory& directory, fleet_load& load,
                                                  const service_description& service, const choice_request& request,
                                                  std::optional<double> alone, time_point now)
{
    const auto& profile = *service.engine_;
    const auto& work = request.work_;
    const auto tokens = static_cast<double>(work.prompt_.get() + work.answer_left_.get());
    const int for_memory = engines_for(tokens, memory_share * static_cast<double>(profile.kv_capacity_.get()));
    const int for_goal = engines_for(single_engine_prefill_ms(profile, work.prompt_),
                                     goal_share * static_cast<double>(work.target_.count()));
    const auto most = std::min<std::int64_t>(most_helpers + 1, work.prompt_.get() / least_part_tokens);
    const int least = std::max(2, for_memory);
    if (most < least)
    {
        return std::nullopt;
    }
    const int wanted = std::clamp(for_goal, least, static_cast<int>(most));
    std::optional<joint_prefill> best;
    // Fewer engines disturb fewer requests, but each for longer.
    for (const int parts : {wanted, (wanted + least) / 2, least})
    {
        auto planned = plan(directory, load, service, request, parts, now);
        if (planned && (!best || planned->forecast_.benefit_ > best->forecast_.benefit_))
        {
            best = std::move(planned);
        }
    }
    if (!best || best->forecast_.benefit_ <= alone.value_or(0.0))
    {
        return std::nullopt;
    }
    return best;
}

}  // namespace cornelstall
