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

/// The platform accepts at most this many helpers in addition to the answering engine.
constexpr int max_helpers = 16;
/// The prefill of a smaller part takes hardly less time than that of the whole prompt, because every engine needs a
/// full pass for its part.
constexpr std::int64_t min_part_tokens = 16384;
/// Fraction of the target within which idle engines should finish the prefill; the rest covers requests that are not
/// known yet.
constexpr double prefill_share_of_target = 0.5;
/// Fraction of an engine's memory that is planned with; the rest covers answers that are longer than expected.
constexpr double planned_memory_share = 0.92;
/// Cost of each engine, in request value, for the calls that manage its memory and for the risk that one of several
/// engines fails.
constexpr double cost_per_part = 0.1;
/// Engines that become idle within the same interval of this length are equal; the forecast is no more exact.
constexpr double idle_rounding_ms = 50.0;
/// An engine that the request already holds is replaced only by one that is idle earlier by more than this. While it is
/// held, its streams end and no others begin; an engine chosen anew would have to be emptied from the start.
constexpr milliseconds hold_preference{500};
/// Request value that an engine would otherwise produce in a second while all engines are busy.
constexpr double cost_per_engine_second = 0.4;
/// Fraction of a service's engines that stay idle for requests that arrive during a joint prefill.
constexpr double idle_reserve_share = 0.15;
/// Largest fraction of a service's engines that may be held for or used by joint prefills.
constexpr double max_joint_share = 0.5;

constexpr double ms_per_s = 1000.0;

struct candidate
{
    known_server* server_ = nullptr;
    milliseconds time_until_idle_{0};
    milliseconds preferred_by_{0};  ///< taken off `time_until_idle_` when engines are compared
    milliseconds first_token_{0};   ///< time to first token of a part, from the start of its prefill
    std::uint64_t tie_break_ = 0;   ///< keeps VMs that decide at the same moment from choosing the same engines
    std::int64_t memory_ = 0;
};

std::int64_t plannable_memory(const engine_profile& profile)
{
    return static_cast<std::int64_t>(planned_memory_share * static_cast<double>(profile.kv_capacity_.get()));
}

/// True when the engine has a part of a joint prefill, finished or not; the memory of the part is not free until the
/// answer has ended.
bool has_joint_part(const engine_simulation& engine)
{
    return std::ranges::any_of(engine.work_,
                               [](const engine_work& request) { return request.joint_prompt_.get() > 0; });
}

/// True when a joint prefill holds the engine or has an unfinished part on it.
bool serves_joint_prefill(const engine_simulation& engine)
{
    return std::ranges::any_of(engine.work_, [](const engine_work& request) {
        return request.holds_engine_ || (request.joint_prompt_.get() > 0 && request.prefill_left_.get() > 0);
    });
}

/// True when the placeholder @a hold_id keeps the engine free.
bool holds(const engine_simulation& engine, execution_id hold_id)
{
    return std::ranges::any_of(engine.work_, [hold_id](const engine_work& entry) { return entry.key_ == hold_id; });
}

/// The expected value of @a work when its first token arrives @a first_token from now.
double value_at(const engine_work& work, milliseconds first_token, time_point now)
{
    const std::chrono::duration<double, std::milli> after = now + first_token - work.arrived_;
    return expected_value(work, after.count());
}

engine_work part_of(const engine_work& request, int parts, time_point now)
{
    engine_work part = request;
    part.joint_prompt_ = request.prompt_;
    part.prompt_ = token_count{0};
    part.prefill_left_ = token_count{(request.prompt_.get() + parts - 1) / parts};
    part.answer_left_ = token_count{0};
    part.is_helper_ = true;
    part.value_ = 0.0;
    part.sent_at_ = now;
    return part;
}

/// The engines that may prefill a part, in the order in which they become idle. Some idle engines are left to other
/// requests.
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
        // A long prefill delays the streams on an engine and the requests that follow, so it starts only
        // when the engine is idle.
        const auto until_idle =
            is_idle(engine) ? milliseconds{0} : time_until_idle(engine, profile, server->slowdown_, now);
        const auto prefill = forecast_placement({}, profile, server->slowdown_, part, now);
        found.push_back({server, until_idle, holds(engine, request.hold_id_) ? hold_preference : milliseconds{0},
                         prefill.first_token_, tie_breaker(server->listed_.id_, request.tie_break_seed_),
                         plannable_memory(profile)});
    });
    std::ranges::sort(found, {}, [](const candidate& entry) {
        const auto until_idle = std::max(milliseconds{0}, entry.time_until_idle_ - entry.preferred_by_);
        return std::tuple(std::ceil(static_cast<double>(until_idle.count()) / idle_rounding_ms),
                          entry.preferred_by_.count() == 0, entry.first_token_, entry.tie_break_);
    });
    const auto is_free = [](const candidate& entry) {
        return entry.preferred_by_.count() == 0 && entry.time_until_idle_.count() == 0;
    };
    const auto free = std::ranges::count_if(found, is_free);
    const auto kept =
        std::min(free, static_cast<std::ptrdiff_t>(idle_reserve_share * static_cast<double>(servers.size())));
    std::ptrdiff_t seen = 0;
    std::erase_if(found, [&](const candidate& entry) { return is_free(entry) && ++seen > free - kept; });
    return found;
}

/// Distributes the prompt and the answer over the memory of @a chosen: the first engine holds as much as it can, the
/// others reserve the rest in order.
/// @return nothing when their memory does not suffice
std::optional<std::vector<joint_prefill_part>> place_memory(const std::vector<candidate>& chosen,
                                                            const engine_work& request, int parts, time_point now)
{
    std::vector<joint_prefill_part> placed;
    auto tokens_left = request.prompt_.get() + request.answer_left_.get();
    std::ranges::for_each(chosen, [&](const candidate& entry) {
        joint_prefill_part part{entry.server_->listed_, part_of(request, parts, now), token_count{0}};
        const auto held = std::min(tokens_left, entry.memory_);
        tokens_left -= held;
        if (placed.empty())
        {
            // The answering engine holds the answer and as much of the prompt as fits beside it.
            part.work_.is_helper_ = false;
            part.work_.answer_left_ = request.answer_left_;
            part.work_.prompt_ = token_count{std::max<std::int64_t>(0, held - request.answer_left_.get())};
            part.work_.value_ = request.value_;
        }
        else
        {
            part.work_.prompt_ = token_count{held};
            part.reserved_ = token_count{held};
        }
        placed.push_back(std::move(part));
    });
    return tokens_left > 0 ? std::nullopt : std::optional(std::move(placed));
}

/// True when @a parts more engines may serve joint prefills. The only joint prefill of a service may use as many
/// engines as it needs.
bool is_within_joint_share(server_directory& directory, fleet_load& load, const choice_request& request, int parts,
                           time_point now)
{
    const auto servers = candidate_servers(directory, request, now);
    const auto taken = std::ranges::count_if(servers, [&](const known_server* server) {
        auto& engine = load.engines_[server->listed_.id_];
        return !holds(engine, request.hold_id_) && serves_joint_prefill(engine);
    });
    return taken == 0 || static_cast<double>(taken + parts) <= max_joint_share * static_cast<double>(servers.size());
}

/// The share of the engines that are not idle. While engines are idle, a long prefill costs other requests little.
double busy_share(server_directory& directory, fleet_load& load, const choice_request& request, time_point now)
{
    const auto servers = candidate_servers(directory, request, now);
    const auto busy = std::ranges::count_if(
        servers, [&load](const known_server* server) { return !is_idle(load.engines_[server->listed_.id_]); });
    return servers.empty() ? 1.0 : static_cast<double>(busy) / static_cast<double>(servers.size());
}

std::optional<joint_prefill> plan_joint_prefill(server_directory& directory, fleet_load& load,
                                                const service_description& service, const choice_request& request,
                                                int parts, time_point now)
{
    auto chosen = candidates_for(directory, load, service, request, parts, now);
    if (chosen.size() < static_cast<std::size_t>(parts) || !is_within_joint_share(directory, load, request, parts, now))
    {
        return std::nullopt;
    }
    chosen.resize(static_cast<std::size_t>(parts));
    auto placed = place_memory(chosen, request.work_, parts, now);
    if (!placed)
    {
        return std::nullopt;
    }
    const auto start = std::ranges::max(chosen, {}, &candidate::time_until_idle_).time_until_idle_;
    const auto prefill = std::ranges::max(chosen, {}, &candidate::first_token_).first_token_;
    const auto waiting = std::accumulate(
        chosen.begin(), chosen.end(), milliseconds{0},
        [start](milliseconds sum, const candidate& entry) { return sum + (start - entry.time_until_idle_); });
    const double engine_ms =
        single_engine_prefill_ms(*service.engine_, request.work_.prompt_) + static_cast<double>(waiting.count());
    joint_prefill result{std::move(*placed), {}, start};
    result.forecast_.first_token_ = start + prefill;
    const double busy = busy_share(directory, load, request, now);
    result.forecast_.benefit_ = value_at(request.work_, start + prefill, now) - cost_per_part * parts -
                                cost_per_engine_second * busy * engine_ms / ms_per_s;
    return result;
}

int engines_needed(double total, double per_engine)
{
    return static_cast<int>(std::ceil(total / std::max(1.0, per_engine)));
}

}  // namespace

token_count max_joint_prompt(const engine_profile& profile, std::size_t engines)
{
    if (engines <= 1)
    {
        return profile.kv_capacity_;
    }
    const auto parts = std::min<std::size_t>(engines, max_helpers + 1);
    return std::max(profile.kv_capacity_, token_count{plannable_memory(profile) * static_cast<std::int64_t>(parts)});
}

std::optional<joint_prefill> choose_joint_prefill(server_directory& directory, fleet_load& load,
                                                  const service_description& service, const choice_request& request,
                                                  std::optional<double> single_engine_benefit, time_point now)
{
    const auto& profile = *service.engine_;
    const auto& work = request.work_;
    const auto tokens = static_cast<double>(work.prompt_.get() + work.answer_left_.get());
    const int parts_for_memory =
        engines_needed(tokens, planned_memory_share * static_cast<double>(profile.kv_capacity_.get()));
    const int parts_for_target = engines_needed(single_engine_prefill_ms(profile, work.prompt_),
                                                prefill_share_of_target * static_cast<double>(work.target_.count()));
    const auto max_parts = std::min<std::int64_t>(max_helpers + 1, work.prompt_.get() / min_part_tokens);
    const int min_parts = std::max(2, parts_for_memory);
    if (max_parts < min_parts)
    {
        return std::nullopt;
    }
    const int wanted_parts = std::clamp(parts_for_target, min_parts, static_cast<int>(max_parts));
    std::optional<joint_prefill> best;
    // Fewer engines delay fewer requests, but each for longer.
    for (const int parts : {wanted_parts, (wanted_parts + min_parts) / 2, min_parts})
    {
        auto planned = plan_joint_prefill(directory, load, service, request, parts, now);
        if (planned && (!best || planned->forecast_.benefit_ > best->forecast_.benefit_))
        {
            best = std::move(planned);
        }
    }
    if (!best || best->forecast_.benefit_ <= single_engine_benefit.value_or(0.0))
    {
        return std::nullopt;
    }
    return best;
}

}  // namespace cornelstall
