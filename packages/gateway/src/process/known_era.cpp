#include "cornelstall/gateway/process/known_era.hpp"

#include "cornelstall/gateway/process/gateway_state.hpp"

namespace cornelstall
{

namespace
{

constexpr event_kind log_returned{4065, "log_returned"};
constexpr event_kind era_unusable{4066, "log_era_unusable"};

/// Eras that can have been missed, at most, by a VM that was cut off. A header beyond them is malformed; a VM that
/// believed it would ignore every later answer.
constexpr log_era max_missed_eras{1000};

std::string to_text(const std::optional<log_era>& era)
{
    return era ? std::to_string(era->get()) : "none";
}

void report_unusable(gateway_state& state, const std::optional<log_era>& stated, const std::string& topic)
{
    auto& known = state.era_;
    state.metrics_.count("gateway_log_era_unusable_total");
    if (!known.unusable_logged_)
    {
        log_event(severity::warning, era_unusable,
                  "an answer of the log states an earlier era than the ones before, or none; it is ignored",
                  {{"topic", topic}, {"era", to_text(stated)}, {"known_era", to_text(known.era_)}});
    }
    known.unusable_logged_ = true;
}

}  // namespace

bool accept_era(gateway_state& state, const std::optional<log_era>& stated, const std::string& topic)
{
    auto& known = state.era_;
    const bool is_usable =
        !known.era_ || (stated && *stated >= *known.era_ && *stated <= *known.era_ + max_missed_eras);
    if (!is_usable)
    {
        report_unusable(state, stated, topic);
        return false;
    }
    known.unusable_logged_ = false;
    if (stated == known.era_)
    {
        return true;
    }
    if (known.era_)
    {
        log_event(severity::warning, log_returned,
                  "the log has come back from an older copy; what is known stays, and its topics are read anew",
                  {{"topic", topic},
                   {"known_era", to_text(known.era_)},
                   {"era", to_text(stated)},
                   {"list_end", to_text(state.server_list_.next_)},
                   {"evacuations_end", to_text(state.directory_.evacuations_.known_end_)},
                   {"version", std::to_string(state.table_ ? state.table_->version_.get() : 0)}});
        state.metrics_.count("gateway_log_returns_total");
        known.returned_ = true;
        state.schedule_load_report_();
    }
    known.era_ = stated;
    return true;
}

bool accept_era_of(gateway_state& state, const record_page& page, const std::string& topic)
{
    // Without an answer there is no header that could be missing.
    const bool states_nothing = !page.reached_ && !page.era_;
    return !states_nothing && accept_era(state, page.era_, topic) && page.reached_;
}

}  // namespace cornelstall
