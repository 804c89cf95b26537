#include "cornelstall/gateway/process/evacuation_list.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

constexpr event_kind data_centre_evacuated{3025, "data_centre_evacuated"};
constexpr event_kind evacuation_ended{3026, "data_centre_evacuation_ended"};

void handle_change(gateway_state& state, const evacuation_entry& change, const std::string& source)
{
    const auto position = to_text(change.position_);
    if (change.evacuated_)
    {
        log_event(severity::warning, data_centre_evacuated,
                  "an operator evacuates the data centre; nothing more is sent to its servers",
                  {{"data_centre", change.data_centre_.get()}, {"position", position}, {"source", source}});
    }
    else
    {
        log_event(severity::info, evacuation_ended,
                  "the data centre is not evacuated any more; its servers are used again",
                  {{"data_centre", change.data_centre_.get()}, {"position", position}, {"source", source}});
    }
    notify_capacity_changed(state.wait_queues_);
}

}  // namespace

void apply_evacuation_record(gateway_state& state, const evacuation_entry& entry)
{
    if (apply_evacuation(state.directory_.evacuations_, entry.data_centre_, entry.position_, entry.evacuated_))
    {
        handle_change(state, entry, log_read);
    }
}

void apply_evacuation_read(gateway_state& state, const evacuation_snapshot& read)
{
    std::ranges::for_each(apply_full_evacuation_read(state.directory_.evacuations_, read),
                          [&state](const evacuation_entry& change) { handle_change(state, change, log_read); });
}

void apply_reported_evacuations(gateway_state& state, const evacuation_snapshot& reported, const vm_id& source)
{
    std::ranges::for_each(merge_reported(state.directory_.evacuations_, reported),
                          [&](const evacuation_entry& change) { handle_change(state, change, source.get()); });
}

void apply_doubted_evacuations(gateway_state& state)
{
    auto& known = state.directory_.evacuations_;
    if (!known.first_end_)
    {
        return;
    }
    if (!state.evacuation_return_ || state.evacuation_return_->first_end_ != *known.first_end_)
    {
        state.evacuation_return_ = list_return{*known.first_end_, boot_time()};
    }
    const auto now = boot_time();
    const bool is_settled = now - state.evacuation_return_->read_at_ >= removal_grace_period;
    const bool is_confirmed = now - state.evacuations_confirmed_at_ < min_expiry_outage;
    if (is_settled && is_confirmed)
    {
        std::ranges::for_each(settle_evacuations(known), [&state](const evacuation_entry& change) {
            handle_change(state, change, "log_after_return");
        });
    }
}

}  // namespace cornelstall
