#include <random>

#include <catch2/catch.hpp>

#include "cornelstall/wire.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

const time_point now{std::chrono::hours{1}};

load_report report_with(std::size_t requests)
{
    load_report report;
    report.vm_ = vm_id{"vm-1"};
    report.incarnation_ = incarnation{7};
    report.sequence_ = 9;
    report.address_ = socket_address{"10.0.0.1:7340"};
    for (std::size_t index = 0; index < requests; ++index)
    {
        engine_work work;
        work.key_ = execution_id{(1ULL << 63U) + index};
        work.prompt_ = token_count{900000};
        work.answer_left_ = token_count{1266};
        work.generating_ = index % 2 == 1;
        work.priority_ = 2;
        work.target_ = milliseconds{8000};
        work.arrived_ = now - milliseconds{1500};
        report.work_.push_back({server_id{"i-0123456789"}, work});
    }
    return report;
}

}  // namespace

TEST_CASE("a load report is read as it was written")
{
    const auto bytes = encode_load_report(report_with(3), byte_count{1400}, now);
    const auto report = decode_load_report(bytes, now + milliseconds{5});
    REQUIRE(report);
    CHECK(report->vm_ == vm_id{"vm-1"});
    CHECK(report->sequence_ == 9);
    REQUIRE(report->work_.size() == 3);
    CHECK(report->work_[1].work_.generating_);
    CHECK(report->work_[1].work_.prefill_left_ == token_count{0});
    CHECK(report->work_[2].work_.prefill_left_ == token_count{900000});
    CHECK(report->work_[2].work_.arrived_ == now + milliseconds{5} - milliseconds{1500});
}

TEST_CASE("parts of a prompt that several engines read are reported")
{
    auto written = report_with(2);
    auto& first = written.work_[0].work_;
    first.joint_prompt_ = token_count{900000};
    first.prompt_ = token_count{300000};
    first.prefill_left_ = token_count{90000};
    auto& helper = written.work_[1].work_;
    helper.generating_ = false;
    helper.joint_prompt_ = token_count{900000};
    helper.prompt_ = token_count{200000};
    helper.prefill_left_ = token_count{0};
    helper.answer_left_ = token_count{0};
    helper.is_helper_ = true;
    const auto report = decode_load_report(encode_load_report(written, byte_count{1400}, now), now);
    REQUIRE(report);
    REQUIRE(report->work_.size() == 2);
    CHECK(report->work_[0].work_.prefill_left_ == token_count{90000});
    CHECK(report->work_[0].work_.value_ > request_value(token_count{300000}, token_count{0}));
    CHECK(report->work_[1].work_.is_helper_);
    CHECK(report->work_[1].work_.prefill_left_ == token_count{0});
    CHECK(report->work_[1].work_.prompt_ == token_count{200000});
    CHECK(report->work_[1].work_.value_ == 0.0);
}

TEST_CASE("claims on engines are reported and take nothing of the engine")
{
    auto written = report_with(1);
    auto& claim = written.work_[0].work_;
    claim.holds_engine_ = true;
    claim.is_helper_ = true;
    claim.prompt_ = token_count{0};
    claim.answer_left_ = token_count{0};
    const auto report = decode_load_report(encode_load_report(written, byte_count{1400}, now), now);
    REQUIRE(report);
    engine_simulation load;
    add_work(load, report->work_.at(0).work_, now);
    CHECK(is_idle(load));
    CHECK(slots_used(load) == 0);
    CHECK(memory_used(load) == token_count{0});
    CHECK(is_held_by_other(load, execution_id{1}, now));
    CHECK_FALSE(is_held_by_other(load, execution_id{1}, now - std::chrono::seconds{5}));
}

TEST_CASE("a report stays within one datagram")
{
    const auto bytes = encode_load_report(report_with(500), byte_count{1400}, now);
    CHECK(bytes.size() <= 1400);
    CHECK(decode_load_report(bytes, now)->work_.size() > 20);
}

TEST_CASE("bytes that are no report are refused")
{
    const auto bytes = encode_load_report(report_with(3), byte_count{1400}, now);
    CHECK_FALSE(decode_load_report(bytes.substr(0, bytes.size() / 2), now));
    CHECK_FALSE(decode_load_report("\xff\xff\xff", now));
    CHECK_FALSE(decode_load_report("", now));
}

TEST_CASE("unread offsets and ages of reads of a log update are reported")
{
    auto written = report_with(1);
    written.log_update_.unread_ = unread_span{at_offset(0), at_offset(1ULL << 62U)};
    auto report = decode_load_report(encode_load_report(written, byte_count{1400}, now), now);
    REQUIRE(report);
    REQUIRE(report->log_update_.unread_);
    CHECK(report->log_update_.unread_->begin_ == at_offset(0));
    CHECK(report->log_update_.unread_->end_ == at_offset(1ULL << 62U));
    CHECK_FALSE(report->log_update_.reads_);
    written.log_update_.unread_.reset();
    written.log_update_.reads_ = reported_reads{std::chrono::weeks{9}, milliseconds{0}};
    report = decode_load_report(encode_load_report(written, byte_count{1400}, now), now);
    REQUIRE(report);
    CHECK_FALSE(report->log_update_.unread_);
    REQUIRE(report->log_update_.reads_);
    CHECK(report->log_update_.reads_->since_age_ >= std::chrono::hours{1});
    CHECK(report->log_update_.reads_->until_age_ == milliseconds{0});
}

TEST_CASE("leaving servers are reported with the age of their announcement")
{
    auto written = report_with(1);
    written.leaving_servers_ = {{server_id{"i-1"}, 1700000000000, milliseconds{40}}};
    const auto report = decode_load_report(encode_load_report(written, byte_count{1400}, now), now);
    REQUIRE(report);
    REQUIRE(report->leaving_servers_.size() == 1);
    CHECK(report->leaving_servers_[0].id_ == server_id{"i-1"});
    CHECK(report->leaving_servers_[0].started_at_ms_ == 1700000000000);
    CHECK(report->leaving_servers_[0].age_ == milliseconds{40});
}

// A forecast of a prompt of 4 billion tokens keeps the process busy, and a fleet of 4 billion VMs has too many cells.
TEST_CASE("evacuations are reported with the end of the log that they hold for")
{
    auto written = report_with(30);
    CHECK_FALSE(decode_load_report(encode_load_report(written, byte_count{1400}, now), now)->log_update_.evacuations_);
    written.log_update_.evacuations_ = evacuation_snapshot{at_offset(7), {}};
    auto report = decode_load_report(encode_load_report(written, byte_count{1400}, now), now);
    REQUIRE(report);
    REQUIRE(report->log_update_.evacuations_);
    CHECK(report->log_update_.evacuations_->end_ == at_offset(7));
    CHECK(report->log_update_.evacuations_->entries_.empty());
    evacuations known;
    const std::string name(30, 'z');
    constexpr std::uint64_t last_offset = (1ULL << 63U) - 1;
    for (std::uint64_t index = 0; index < 10; ++index)
    {
        CHECK(apply_evacuation(known, data_centre_id{name + std::to_string(index)}, at_offset(last_offset - index),
                               true));
    }
    known.known_ = true;
    written.log_update_.evacuations_ = to_report(known, byte_count{512});
    REQUIRE(written.log_update_.evacuations_);
    const auto without = encode_load_report(report_with(0), byte_count{1400}, now).size();
    auto only_evacuations = report_with(0);
    only_evacuations.log_update_.evacuations_ = written.log_update_.evacuations_;
    // The entries take no more room than to_report() has counted for them.
    CHECK(encode_load_report(only_evacuations, byte_count{1400}, now).size() - without <= 512 + 16);
    const auto bytes = encode_load_report(written, byte_count{1400}, now);
    CHECK(bytes.size() <= 1400);
    report = decode_load_report(bytes, now);
    REQUIRE(report);
    REQUIRE(report->log_update_.evacuations_);
    REQUIRE(report->log_update_.evacuations_->entries_.size() == 10);
    const auto& first = report->log_update_.evacuations_->entries_.front();
    CHECK(first.data_centre_ == data_centre_id{name + "0"});
    CHECK(first.position_ == at_offset(last_offset));
    CHECK(first.evacuated_);
    CHECK_FALSE(report->work_.empty());
}

// Guards against offsets of an earlier era that a VM takes for those of the present one.
TEST_CASE("positions in the log are reported with their eras")
{
    const log_era era{3};
    auto written = report_with(0);
    auto& update = written.log_update_;
    update.server_list_end_ = at_offset(9, era);
    update.changes_begin_ = at_offset(4, era);
    update.changes_end_ = at_offset(9, era);
    server_list_change removal;
    removal.server_.id_ = server_id{"i-1"};
    removal.removed_ = true;
    removal.at_ = at_offset(8, era);
    update.changes_ = {removal};
    update.evacuations_ = evacuation_snapshot{
        at_offset(5, era),
        {{data_centre_id{"a"}, at_offset(7, log_era{2}), true}, {data_centre_id{"b"}, at_offset(4, era), false}}};
    const auto report = decode_load_report(encode_load_report(written, byte_count{1400}, now), now);
    REQUIRE(report);
    const auto& read = report->log_update_;
    CHECK(read.server_list_end_ == update.server_list_end_);
    CHECK(read.changes_begin_ == update.changes_begin_);
    CHECK(read.changes_end_ == update.changes_end_);
    REQUIRE(read.changes_.size() == 1);
    CHECK(read.changes_[0].at_ == removal.at_);
    REQUIRE(read.evacuations_);
    CHECK(read.evacuations_->end_ == at_offset(5, era));
    REQUIRE(read.evacuations_->entries_.size() == 2);
    CHECK(read.evacuations_->entries_[0].position_ == at_offset(7, log_era{2}));
    CHECK(read.evacuations_->entries_[0].evacuated_);
    CHECK(read.evacuations_->entries_[1].position_ == at_offset(4, era));
    CHECK_FALSE(read.evacuations_->entries_[1].evacuated_);
    const configuration_document document{configuration_version{2}, at_offset(6, era), "config", "2"};
    CHECK(decode_document(encode_document(document))->position_ == document.position_);
}

TEST_CASE("evidence about prompt parts and limits of servers is reported with ages")
{
    auto written = report_with(0);
    written.suspect_parts_ = {
        {prompt_part_id{0x12ca9047f126},
         {{{crash_id{5}, now - milliseconds{900}, now - milliseconds{800}}}, now - milliseconds{4000}, 2}},
        {prompt_part_id{7}, {{{crash_id{6}, now - milliseconds{90}, now - milliseconds{10}}}, std::nullopt, 0}}};
    written.limits_ = {{server_id{"i-1"}, 8, request_rate{1.5}, now - milliseconds{300}},
                       {server_id{"i-2"}, 9, std::nullopt, now - milliseconds{20}}};
    const auto later = now + milliseconds{5};
    const auto report = decode_load_report(encode_load_report(written, byte_count{1400}, now), later);
    REQUIRE(report);
    REQUIRE(report->suspect_parts_.size() == 2);
    const auto& part = report->suspect_parts_[0];
    CHECK(part.part_ == prompt_part_id{0x12ca9047f126});
    REQUIRE(part.evidence_.crashes_.size() == 1);
    CHECK(part.evidence_.crashes_[0].id_ == crash_id{5});
    CHECK(part.evidence_.crashes_[0].sent_at_ == later - milliseconds{900});
    CHECK(part.evidence_.crashes_[0].crashed_at_ == later - milliseconds{800});
    CHECK(part.evidence_.begun_at_ == later - milliseconds{4000});
    CHECK(part.evidence_.trials_ == 2);
    CHECK(report->suspect_parts_[1].evidence_.begun_at_ == std::nullopt);
    REQUIRE(report->limits_.size() == 2);
    CHECK(report->limits_[0].server_ == server_id{"i-1"});
    CHECK(report->limits_[0].started_at_ms_ == 8);
    CHECK(report->limits_[0].limit_ == request_rate{1.5});
    CHECK(report->limits_[0].stated_at_ == later - milliseconds{300});
    CHECK(report->limits_[1].limit_ == std::nullopt);
}

TEST_CASE("mutated reports are decoded into bounded values or refused")
{
    constexpr int cases = 20'000;
    std::mt19937_64 random(20261205);
    const auto valid = encode_load_report(report_with(4), byte_count{1400}, now);
    int implausible = 0;
    for (int index = 0; index < cases; ++index)
    {
        auto bytes = valid;
        for (std::uint64_t change = 0; change <= random() % 6; ++change)
        {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        const auto report = decode_load_report(bytes, now);
        if (!report)
        {
            continue;
        }
        implausible += report->vms_known_ > 100'000 ? 1 : 0;
        for (const auto& entry : report->work_)
        {
            const auto& work = entry.work_;
            const bool plausible = work.prompt_ <= token_count{1'000'000'000} &&
                                   work.answer_left_ <= token_count{1'000'000'000} &&
                                   work.target_ <= std::chrono::hours{24} && work.priority_ >= 0 &&
                                   work.arrived_ >= now - std::chrono::hours{24};
            implausible += plausible ? 0 : 1;
        }
    }
    CHECK(implausible == 0);
}

TEST_CASE("the parts of a large report fit into datagrams of their own and are read as such")
{
    auto large = report_with(60);
    std::ranges::for_each(large.work_, [](reported_work& entry) {
        entry.work_.joint_prompt_ = token_count{900000};
        entry.work_.is_helper_ = true;
        entry.work_.organisation_ = organisation_hash{0xFFFFFFFF};
    });
    const auto parts = split_work(large, 14);
    REQUIRE(parts.size() == 5);
    std::size_t read = 0;
    for (const auto& part : parts)
    {
        const auto bytes = encode_load_report(part, byte_count{1400}, now);
        CHECK(bytes.size() <= 1400);
        const auto decoded = decode_load_report(bytes, now);
        REQUIRE(decoded);
        read += decoded->work_.size();
        CHECK(decoded->continues_ == part.continues_);
        CHECK(decoded->parts_left_ == part.parts_left_);
        CHECK(decoded->sequence_ == part.sequence_);
        CHECK_FALSE(decoded->log_update_only_);
    }
    CHECK(read == 60);
}
