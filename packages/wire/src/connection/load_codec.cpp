#include "cornelstall/wire/connection/load_codec.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <unordered_map>

#include "load.pb.h"

namespace cornelstall
{

namespace
{

/// Encoded size of one entry at most; keeps a report within one datagram without encoding it twice.
constexpr std::size_t entry_bytes = 47;
/// What a part of a joint prompt takes more.
constexpr std::size_t part_bytes = 12;
/// Counts above these are read as these, so that a malformed report cannot overflow a sum or keep a forecast busy.
constexpr std::uint32_t max_tokens = 1'000'000'000;
constexpr std::uint32_t max_time_ms = 24U * 3600 * 1000;
/// The first read of a span may have been weeks ago; older than this makes no difference.
constexpr milliseconds max_reads_age{max_time_ms};
constexpr std::uint32_t max_vms = 100'000;
constexpr std::uint32_t max_parts = 1000;
constexpr std::uint32_t max_slots = 100'000;
constexpr std::uint32_t max_priority = 1'000'000;
constexpr std::uint32_t max_trials = 1000;
constexpr double max_requests_per_s = 1'000'000.0;
constexpr int max_crashes = 64;
/// Ten years in milliseconds; a clock that counts from the start of a machine does not get there.
constexpr std::uint64_t max_clock_ms = 315'360'000'000;

token_count decode_tokens(std::uint32_t count)
{
    return token_count{std::min(count, max_tokens)};
}

milliseconds decode_time(std::uint32_t time_ms)
{
    return milliseconds{std::min(time_ms, max_time_ms)};
}

std::uint32_t index_of(load::LoadReport& message, std::unordered_map<server_id, std::uint32_t>& indexes,
                       const server_id& server)
{
    const auto [found, inserted] = indexes.try_emplace(server, static_cast<std::uint32_t>(indexes.size()));
    if (inserted)
    {
        message.add_servers(server.get());
    }
    return found->second;
}

void encode_work(load::Work& message, const engine_work& work, time_point now)
{
    message.set_key(work.key_.get());
    message.set_prompt_tokens(static_cast<std::uint32_t>(work.prompt_.get()));
    message.set_answer_tokens_left(static_cast<std::uint32_t>(std::max<std::int64_t>(0, work.answer_left_.get())));
    message.set_generating(work.generating_);
    message.set_priority(static_cast<std::uint32_t>(std::max(0, work.priority_)));
    message.set_target_ms(static_cast<std::uint32_t>(work.target_.count()));
    message.set_max_gap_ms(static_cast<std::uint32_t>(work.max_gap_.count()));
    message.set_late(work.late_);
    message.set_claims(work.holds_engine_);
    message.set_organisation(work.organisation_.get());
    if (work.joint_prompt_.get() > 0)
    {
        message.set_joint_prompt_tokens(static_cast<std::uint32_t>(work.joint_prompt_.get()));
        message.set_part_tokens(static_cast<std::uint32_t>(std::max<std::int64_t>(0, work.prefill_left_.get())));
        message.set_helps(work.is_helper_);
    }
    message.set_age_ms(static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(now - work.arrived_).count())));
}

engine_work decode_work(const load::Work& message, time_point now)
{
    engine_work work;
    work.key_ = execution_id{message.key()};
    work.prompt_ = decode_tokens(message.prompt_tokens());
    work.prefill_left_ = message.generating() ? token_count{0} : work.prompt_;
    work.answer_left_ = decode_tokens(message.answer_tokens_left());
    work.generating_ = message.generating();
    work.priority_ = static_cast<int>(std::min(message.priority(), max_priority));
    work.target_ = std::max(milliseconds{1}, decode_time(message.target_ms()));
    work.max_gap_ = std::max(milliseconds{1}, decode_time(message.max_gap_ms()));
    work.abandon_after_ = abandon_timeout(work.target_, work.max_gap_);
    work.late_ = message.late();
    work.organisation_ = organisation_hash{message.organisation()};
    work.arrived_ = now - decode_time(message.age_ms());
    work.sent_at_ = now;
    work.value_ = request_value(work.prompt_, work.answer_left_);
    if (message.claims())
    {
        work.holds_engine_ = true;
        work.is_helper_ = true;
        work.value_ = 0.0;
    }
    if (message.joint_prompt_tokens() > 0)
    {
        work.joint_prompt_ = decode_tokens(message.joint_prompt_tokens());
        work.prefill_left_ = message.generating() ? token_count{0} : decode_tokens(message.part_tokens());
        work.is_helper_ = message.helps();
        work.value_ = work.is_helper_ ? 0.0 : request_value(work.joint_prompt_, work.answer_left_);
    }
    return work;
}

void encode_change(load::ServerChange& message, const server_list_change& change)
{
    const auto& server = change.server_;
    message.set_id(server.id_.get());
    message.set_at(change.at_.offset().get());
    message.set_removed(change.removed_);
    if (change.removed_)
    {
        return;
    }
    message.set_service(server.service_.get());
    message.set_address(server.address_.get());
    message.set_data_centre(server.data_centre_.get());
    message.set_slots(static_cast<std::uint32_t>(server.slots_));
    message.set_draining(server.state_ == server_state::draining);
    message.set_born_ms(server.started_at_ms_);
    message.set_warm_up_ms(static_cast<std::uint32_t>(server.cold_remaining_.count()));
}

server_list_change decode_change(const load::ServerChange& message, log_era era)
{
    server_list_change change;
    change.at_ = log_position{era, record_offset{message.at()}};
    change.removed_ = message.removed();
    auto& server = change.server_;
    server.id_ = server_id{message.id()};
    server.service_ = service_id{message.service()};
    server.address_ = socket_address{message.address()};
    server.data_centre_ = data_centre_id{message.data_centre()};
    server.slots_ = static_cast<int>(std::min(message.slots(), max_slots));
    server.state_ = message.draining() ? server_state::draining : server_state::ready;
    server.started_at_ms_ = message.born_ms();
    server.cold_remaining_ = decode_time(message.warm_up_ms());
    return change;
}

std::uint32_t age_plus_1(const std::optional<milliseconds>& age)
{
    return age ? static_cast<std::uint32_t>(std::max<std::int64_t>(0, age->count())) + 1 : 0;
}

std::optional<milliseconds> age_of(std::uint32_t plus_1)
{
    return plus_1 == 0 ? std::nullopt : std::optional(milliseconds{plus_1 - 1});
}

void encode_evacuations(load::Evacuations& message, const evacuation_snapshot& snapshot)
{
    message.set_end(snapshot.end_.offset().get());
    message.set_era(snapshot.end_.era().get());
    std::ranges::for_each(snapshot.entries_, [&message](const evacuation_entry& entry) {
        auto& written = entry.evacuated_ ? *message.add_entries() : *message.add_ended();
        written.set_data_centre(entry.data_centre_.get());
        written.set_at(entry.position_.offset().get());
        written.set_era(entry.position_.era().get());
    });
}

void decode_entries(evacuation_snapshot& snapshot, const google::protobuf::RepeatedPtrField<load::Evacuation>& entries,
                    bool evacuated)
{
    std::ranges::for_each(entries, [&](const load::Evacuation& entry) {
        if (!entry.data_centre().empty())
        {
            snapshot.entries_.push_back({data_centre_id{entry.data_centre()},
                                         log_position{log_era{entry.era()}, record_offset{entry.at()}}, evacuated});
        }
    });
}

evacuation_snapshot decode_evacuations(const load::Evacuations& message)
{
    evacuation_snapshot snapshot{log_position{log_era{message.era()}, record_offset{message.end()}}, {}};
    decode_entries(snapshot, message.entries(), true);
    decode_entries(snapshot, message.ended(), false);
    return snapshot;
}

void encode_news(load::StoreNews& message, const log_update& news)
{
    message.set_reached(news.log_reachable_);
    message.set_table_age_plus_1(age_plus_1(news.routing_table_age_));
    message.set_list_age_plus_1(age_plus_1(news.server_list_age_));
    message.set_list_from(news.changes_begin_.offset().get());
    message.set_list_next(news.changes_end_.offset().get());
    message.set_list_known(news.server_list_end_.offset().get());
    message.set_list_era(news.server_list_end_.era().get());
    message.set_removal_grace_ms(
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(news.removal_grace_.count(), 0, max_time_ms)));
    if (news.reads_)
    {
        message.set_reads_since_age_plus_1(age_plus_1(std::min(news.reads_->since_age_, max_reads_age)));
        message.set_reads_until_age_plus_1(age_plus_1(std::min(news.reads_->until_age_, max_reads_age)));
    }
    if (news.unread_)
    {
        message.set_unread_from(news.unread_->begin_.offset().get());
        message.set_unread_next(news.unread_->end_.offset().get());
    }
    if (news.evacuations_)
    {
        encode_evacuations(*message.mutable_evacuations(), *news.evacuations_);
    }
    std::ranges::for_each(
        news.changes_, [&message](const server_list_change& change) { encode_change(*message.add_changes(), change); });
}

log_update decode_news(const load::StoreNews& message)
{
    log_update news;
    news.log_reachable_ = message.reached();
    news.routing_table_age_ = age_of(message.table_age_plus_1());
    news.server_list_age_ = age_of(message.list_age_plus_1());
    const log_era era{message.list_era()};
    news.changes_begin_ = {era, record_offset{message.list_from()}};
    news.changes_end_ = {era, record_offset{message.list_next()}};
    news.server_list_end_ = {era, record_offset{message.list_known()}};
    news.removal_grace_ = decode_time(message.removal_grace_ms());
    const auto reads_since_age = age_of(message.reads_since_age_plus_1());
    const auto reads_until_age = age_of(message.reads_until_age_plus_1());
    if (reads_since_age && reads_until_age)
    {
        news.reads_ =
            reported_reads{std::min(*reads_since_age, max_reads_age), std::min(*reads_until_age, max_reads_age)};
    }
    if (message.unread_next() > message.unread_from())
    {
        news.unread_ =
            unread_span{{era, record_offset{message.unread_from()}}, {era, record_offset{message.unread_next()}}};
    }
    if (message.has_evacuations())
    {
        news.evacuations_ = decode_evacuations(message.evacuations());
    }
    std::ranges::transform(message.changes(), std::back_inserter(news.changes_),
                           [era](const load::ServerChange& change) { return decode_change(change, era); });
    return news;
}

std::uint32_t age_ms(time_point at, time_point now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, max_time_ms));
}

void encode_part(load::SuspectPart& message, const reported_part& reported, time_point now)
{
    const auto& evidence = reported.evidence_;
    message.set_part(reported.part_.get());
    message.set_begun_age_plus_1(evidence.begun_at_ ? age_ms(*evidence.begun_at_, now) + 1 : 0);
    message.set_trials(static_cast<std::uint32_t>(evidence.trials_));
    std::ranges::for_each(evidence.crashes_, [&](const part_crash& crash) {
        auto& entry = *message.add_crashes();
        entry.set_id(crash.id_.get());
        entry.set_sent_age_ms(age_ms(crash.sent_at_, now));
        entry.set_age_ms(age_ms(crash.crashed_at_, now));
    });
}

reported_part decode_part(const load::SuspectPart& message, time_point now)
{
    reported_part reported;
    reported.part_ = prompt_part_id{message.part()};
    if (const auto begun_age = age_of(message.begun_age_plus_1()))
    {
        reported.evidence_.begun_at_ = now - std::min(*begun_age, milliseconds{max_time_ms});
    }
    reported.evidence_.trials_ = static_cast<int>(std::min(message.trials(), max_trials));
    std::ranges::for_each(message.crashes() | std::views::take(max_crashes), [&](const load::PartCrash& crash) {
        reported.evidence_.crashes_.push_back(
            {crash_id{crash.id()}, now - decode_time(crash.sent_age_ms()), now - decode_time(crash.age_ms())});
    });
    return reported;
}

void encode_limit(load::ServerLimit& message, const reported_limit& reported, time_point now)
{
    message.set_id(reported.server_.get());
    message.set_born_ms(reported.started_at_ms_);
    message.set_ended(!reported.limit_);
    message.set_per_s(reported.limit_.value_or(request_rate{}).get());
    message.set_age_ms(age_ms(reported.stated_at_, now));
}

reported_limit decode_limit(const load::ServerLimit& message, time_point now)
{
    reported_limit reported{server_id{message.id()}, message.born_ms(), std::nullopt,
                            now - decode_time(message.age_ms())};
    const bool is_rate = std::isfinite(message.per_s()) && message.per_s() >= 0.0;
    if (!message.ended() && is_rate)
    {
        reported.limit_ = request_rate{std::min(message.per_s(), max_requests_per_s)};
    }
    return reported;
}

}  // namespace

std::string encode_load_report(const load_report& report, byte_count limit, time_point now)
{
    load::LoadReport message;
    message.set_vm(report.vm_.get());
    message.set_incarnation(report.incarnation_.get());
    message.set_sequence(report.sequence_);
    message.set_sent_at_ms_plus_1(report.sent_at_ ? static_cast<std::uint64_t>(report.sent_at_->count()) + 1 : 0);
    message.set_address(report.address_.get());
    message.set_data_centre(report.data_centre_.get());
    message.set_configuration_version(report.version_.get());
    message.set_leaving(report.leaving_);
    message.set_only_news(report.log_update_only_ || report.continues_);
    message.set_work_follows(static_cast<std::uint32_t>(report.parts_left_));
    message.set_continues_work(report.continues_);
    message.set_vms_known(static_cast<std::uint32_t>(report.vms_known_));
    encode_news(*message.mutable_news(), report.log_update_);
    std::ranges::for_each(report.leaving_servers_, [&message](const leaving_server& server) {
        auto& entry = *message.add_leaving_servers();
        entry.set_id(server.id_.get());
        entry.set_born_ms(server.started_at_ms_);
        entry.set_age_ms(static_cast<std::uint32_t>(server.age_.count()));
    });
    std::ranges::for_each(report.suspect_parts_,
                          [&](const reported_part& part) { encode_part(*message.add_suspect_parts(), part, now); });
    std::ranges::for_each(report.limits_,
                          [&](const reported_limit& limit) { encode_limit(*message.add_limits(), limit, now); });
    std::unordered_map<server_id, std::uint32_t> indexes;
    std::size_t bytes = message.ByteSizeLong();
    for (const auto& entry : report.work_)
    {
        bytes += entry_bytes + (entry.work_.joint_prompt_.get() > 0 ? part_bytes : 0) +
                 (indexes.contains(entry.server_) ? 0 : entry.server_.get().size() + 2);
        if (bytes > limit.get())
        {
            break;
        }
        const auto server = index_of(message, indexes, entry.server_);
        auto& work = *message.add_work();
        work.set_server(server);
        encode_work(work, entry.work_, now);
    }
    return message.SerializeAsString();
}

std::string encode_document(const configuration_document& document)
{
    load::ConfigurationDocument message;
    message.set_version(document.version_.get());
    message.set_offset(document.position_.offset().get());
    message.set_era(document.position_.era().get());
    message.set_key(document.key_);
    message.set_text(document.text_);
    return message.SerializeAsString();
}

std::optional<configuration_document> decode_document(std::string_view bytes)
{
    load::ConfigurationDocument message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || message.text().empty())
    {
        return std::nullopt;
    }
    return configuration_document{configuration_version{message.version()},
                                  log_position{log_era{message.era()}, record_offset{message.offset()}}, message.key(),
                                  message.text()};
}

std::optional<load_report> decode_load_report(std::string_view bytes, time_point now)
{
    load::LoadReport message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || message.vm().empty())
    {
        return std::nullopt;
    }
    load_report report;
    report.vm_ = vm_id{message.vm()};
    report.incarnation_ = incarnation{message.incarnation()};
    report.sequence_ = message.sequence();
    if (message.sent_at_ms_plus_1() > 0)
    {
        report.sent_at_ = milliseconds{std::min(message.sent_at_ms_plus_1(), max_clock_ms) - 1};
    }
    report.address_ = socket_address{message.address()};
    report.data_centre_ = data_centre_id{message.data_centre()};
    report.version_ = configuration_version{message.configuration_version()};
    report.leaving_ = message.leaving();
    report.continues_ = message.continues_work();
    report.log_update_only_ = message.only_news() && !report.continues_;
    report.parts_left_ = std::min(message.work_follows(), max_parts);
    report.vms_known_ = std::min(message.vms_known(), max_vms);
    std::ranges::transform(
        message.leaving_servers(), std::back_inserter(report.leaving_servers_), [](const load::LeavingServer& server) {
            return leaving_server{server_id{server.id()}, server.born_ms(), decode_time(server.age_ms())};
        });
    std::ranges::transform(message.suspect_parts(), std::back_inserter(report.suspect_parts_),
                           [now](const load::SuspectPart& part) { return decode_part(part, now); });
    std::ranges::transform(message.limits(), std::back_inserter(report.limits_),
                           [now](const load::ServerLimit& limit) { return decode_limit(limit, now); });
    report.log_update_ = decode_news(message.news());
    std::ranges::for_each(message.work(), [&](const load::Work& work) {
        if (work.server() < static_cast<std::uint32_t>(message.servers_size()))
        {
            report.work_.push_back(
                {server_id{message.servers(static_cast<int>(work.server()))}, decode_work(work, now)});
        }
    });
    return report;
}

}  // namespace cornelstall
