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
    // An abandoned claim does not count, even if it arrives after its abandoned record. A repeated claim keeps its
    // first offset.
    if (index.abandoned_.contains(record.id_) || !index.key_of_claim_.emplace(record.id_, record.key_).second)
    {
        return;
    }
    index.keys_[record.key_].claims_.push_back({offset, record.id_, record.call_});
    index.records_by_offset_.push_back({offset, record.key_});
}

void apply_record(claim_index& index, log_offset offset, const outcome_record& record)
{
    // Only the call of the claim that won is sent, so further outcome records of a key are repeated appends of the
    // first one.
    claims_of_key& entry = index.keys_[record.key_];
    if (!entry.outcome_)
    {
        entry.outcome_ = recorded_outcome{offset, record.call_, record.answer_};
        index.records_by_offset_.push_back({offset, record.key_});
    }
}

void apply_record(claim_index& index, log_offset offset, const abandoned_record& record)
{
    index.abandoned_[record.claim_] = offset;
    index.records_by_offset_.push_back({offset, record.claim_});
    erase_claim(index, record.claim_);
}

void remove_records_of_key(claim_index& index, const claim_key& key, log_offset oldest)
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
    if (auto& recorded = found->second.outcome_; recorded && recorded->offset_ < oldest)
    {
        recorded.reset();
    }
    erase_if_empty(index, found);
}

void remove_abandoned(claim_index& index, const claim_id& claim, log_offset oldest)
{
    const auto found = index.abandoned_.find(claim);
    if (found != index.abandoned_.end() && found->second < oldest)
    {
        index.abandoned_.erase(found);
    }
}

void remove_before(claim_index& index, log_offset oldest)
{
    while (!index.records_by_offset_.empty() && index.records_by_offset_.front().offset_ < oldest)
    {
        const indexed_record dropped = std::move(index.records_by_offset_.front());
        index.records_by_offset_.pop_front();
        if (const auto* const key = std::get_if<claim_key>(&dropped.subject_); key != nullptr)
        {
            remove_records_of_key(index, *key, oldest);
        }
        else
        {
            remove_abandoned(index, std::get<claim_id>(dropped.subject_), oldest);
        }
    }
}

const claimed_call& call_of(const claims_of_key& entry)
{
    return entry.outcome_ ? entry.outcome_->call_ : entry.claims_.front().call_;
}

}  // namespace

void apply(claim_index& index, const claims_batch& batch)
{
    if (index.has_read_ && batch.oldest_ > index.next_)
    {
        ++index.gaps_;
        index.complete_ = false;
    }
    index.has_read_ = true;
    std::ranges::for_each(batch.records_, [&](const positioned_claims_record& positioned) {
        // Records of a repeated read must not be applied twice.
        if (positioned.offset_ >= index.next_)
        {
            std::visit([&](const auto& record) { apply_record(index, positioned.offset_, record); },
                       positioned.record_);
            index.next_ = positioned.offset_.next();
        }
    });
    index.next_ = std::max(index.next_, batch.next_);
    index.complete_ = index.complete_ || batch.at_end_;
    remove_before(index, batch.oldest_);
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
    const claims_of_key& entry = index.keys_.at(key);
    return !entry.outcome_ && entry.claims_.front().id_ == claim ? claim_result::won : claim_result::lost;
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
    if (const auto& recorded = found->second.outcome_; recorded)
    {
        return {key_decision_kind::replay, recorded->answer_};
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
