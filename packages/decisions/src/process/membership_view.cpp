#include <algorithm>
#include <cmath>
#include <utility>

#include "cornelstall/decisions/process/fleet_view.hpp"

namespace cornelstall
{

namespace
{

/// Relative change of a rate up to which demand is not sent again.
constexpr double min_relative_change = 0.2;

bool is_close(token_rate before, token_rate after)
{
    return std::abs(after.get() - before.get()) <= min_relative_change * before.get();
}

bool are_close(const std::vector<model_demand>& before, const std::vector<model_demand>& after)
{
    return std::ranges::equal(before, after, [](const model_demand& one, const model_demand& other) {
        return one.model_ == other.model_ && is_close(one.served_, other.served_) &&
               is_close(one.refused_, other.refused_);
    });
}

}  // namespace

fleet_view make_fleet_view(member self, time_point now)
{
    fleet_view view;
    view.members_ = make_membership(std::move(self), now);
    return view;
}

bool update_own_demand(fleet_view& view, std::vector<model_demand> demand, time_point now)
{
    demand_record& record = view.demand_[view.members_.self_.id_];
    if (record.change_sequence_ != 0 && now - record.received_at_ < demand_refresh_interval &&
        are_close(record.demand_, demand))
    {
        return false;
    }
    record = {std::move(demand), ++view.members_.sequence_, now};
    return true;
}

std::map<model_id, model_demand> total_demand(const fleet_view& view, time_point now)
{
    std::map<model_id, model_demand> total;
    for (const auto& [id, record] : view.demand_)
    {
        if (!is_present(view.members_, id) || now - record.received_at_ > max_demand_age)
        {
            continue;
        }
        for (const model_demand& each : record.demand_)
        {
            model_demand& sum = total[each.model_];
            sum.model_ = each.model_;
            sum.served_ += each.served_;
            sum.refused_ += each.refused_;
        }
    }
    return total;
}

}  // namespace cornelstall
