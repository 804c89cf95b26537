#include "cornelstall/decisions/process/claims.hpp"

#include <algorithm>

namespace cornelstall
{

namespace
{

void erase_if_empty(claim_index& index, std::map<claim_key, claims_of_key>::iterator found)
{
    if (found->second.claims_.empty() && !found->second.outcome_)
    {
        index.keys_.erase(found);
    }
}

void erase_claim(claim_index& index, const claim_id& claim)
{
    const auto key = index.key_of_claim_.find(claim);
    if (key == index.key_of_claim_.end())
    {
        return;
    }
    const auto found = index.keys_.find(key->second);
    std::erase_if(found->second.claims_, [&](const live_claim& other) { return other.id_ == claim; });
    index.key_of_claim_.erase(key);
    erase_if_empty(index, found);
}

void apply_record(claim_index& index, log_offset offset, const claim_record& record)
{
    // An abandoned claim is void wherever it arrives; a repeated one counts where it arrived first.
    if (index.abandoned_.contains(record.id_) || !index.key_of_claim_.emplace(record.id_, record.key_).second)
    {
        return;
    }
    index.keys_[record.key_].claims_.push_back({offset, record.id_, record.call_});
    index.positions_.push_back({offset, record.key_});
}

void apply_record(claim_index& index, log_offset offset, const outcome_record& record)
{
    // Only the winner sends, so the first outcome of a key is the outcome; its append may be repeated.
    claims_of_key& known = index.keys_[record.key_];
    if (!known.outcome_)
    {
        known.outcome_ = recorded_outcome{offset, record.call_, record.answer_};
        index.positions_.push_back({offset, record.key_});
    }
}

void apply_record(claim_index& index, log_offset offset, const abandoned_record& record)
{
    index.abandoned_[record.claim_] = offset;
    index.positions_.push_back({offset, record.claim_});
    erase_claim(index, record.claim_);
}

void forget_key_records(claim_index& index, const claim_key& key, log_offset oldest)
{
    const auto found = index.keys_.find(key);
    if (found == index.keys_.end())
    {
        return;
    }
    auto& claims = found->second.claims_;
    const auto retained = std::ranges::lower_bound(claims, oldest, {}, &live_claim::offset_);
    std::for_each(claims.begin(), retained, [&](const live_claim& claim) { index.key_of_claim_.erase(claim.id_); });
    claims.erase(claims.begin(), retained);
    if (auto& ended = found->second.outcome_; ended && ended->offset_ < oldest)
    {
        ended.reset();
    }
    erase_if_empty(index, found);
}

void forget_abandoned(claim_index& index, const claim_id& claim, log_offset oldest)
{
    const auto found = index.abandoned_.find(claim);
    if (found != index.abandoned_.end() && found->second < oldest)
    {
        index.abandoned_.erase(found);
    }
}

void forget_before(claim_index& index, log_offset oldest)
{
    while (!index.positions_.empty() && index.positions_.front().offset_ < oldest)
    {
        const claims_entry_position position = std::move(index.positions_.front());
        index.positions_.pop_front();
        if (const auto* const key = std::get_if<claim_key>(&position.subject_); key != nullptr)
        {
            forget_key_records(index, *key, oldest);
        }
        else
        {
            forget_abandoned(index, std::get<claim_id>(position.subject_), oldest);
        }
    }
}

const claimed_call& call_of(const claims_of_key& known)
{
    return known.outcome_ ? known.outcome_->call_ : known.claims_.front().call_;
}

}  // namespace

void apply(claim_index& index, const claims_batch& batch)
{
    if (index.started_ && batch.oldest_ > index.next_)
    {
        ++index.gaps_;
        index.complete_ = false;
    }
    index.started_ = true;
    std::ranges::for_each(batch.records_, [&](const positioned_claims_record& positioned) {
        // A repeated read must not apply a record twice.
        if (positioned.offset_ >= index.next_)
        {
            std::visit([&](const auto& record) { apply_record(index, positioned.offset_, record); },
                       positioned.record_);
            index.next_ = positioned.offset_.next();
        }
    });
    index.next_ = std::max(index.next_, batch.next_);
    index.complete_ = index.complete_ || batch.at_end_;
    forget_before(index, batch.oldest_);
}

claim_result evaluate_claim(const claim_index& index, const claim_key& key, const claim_id& claim)
{
    if (index.abandoned_.contains(claim))
    {
        return claim_result::abandoned;
    }
    if (!index.key_of_claim_.contains(claim))
    {
        return claim_result::pending;
    }
    const claims_of_key& known = index.keys_.at(key);
    return !known.outcome_ && known.claims_.front().id_ == claim ? claim_result::won : claim_result::lost;
}

key_decision evaluate_key(const claim_index& index, const claim_key& key, const claimed_call& call, time_point now,
                          time_point deadline)
{
    if (!index.complete_)
    {
        return {key_decision_kind::index_incomplete, std::nullopt};
    }
    const auto found = index.keys_.find(key);
    if (found == index.keys_.end())
    {
        return {key_decision_kind::may_claim, std::nullopt};
    }
    if (call_of(found->second) != call)
    {
        return {key_decision_kind::different_request, std::nullopt};
    }
    if (const auto& ended = found->second.outcome_; ended)
    {
        return {key_decision_kind::replay, ended->answer_};
    }
    return {now < deadline ? key_decision_kind::wait : key_decision_kind::unknown, std::nullopt};
}

milliseconds claim_duration(milliseconds remaining, milliseconds retention) noexcept
{
    return std::clamp(remaining, milliseconds{0}, std::max(retention / 2, milliseconds{0}));
}

bool may_send(time_point started, milliseconds duration, time_point now) noexcept
{
    return now + claim_margin < started + duration;
}

recorded_answer truncate_answer(recorded_answer answer)
{
    if (answer.body_.size() > max_recorded_body_size.get())
    {
        answer.body_.resize(max_recorded_body_size.get());
        answer.truncated_ = true;
    }
    return answer;
}

}  // namespace cornelstall
