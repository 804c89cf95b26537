#include <algorithm>
#include <array>

#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"
#include "fixed_seed.hpp"

using namespace cornelstall;

namespace
{

constexpr std::uint64_t seed = 20'240'117;
constexpr std::uint64_t parts_of_answer = 6;

/// Defects that the property must detect.
enum class mutation
{
    none,
    skip_request_check,
    skip_attempt_check,
    skip_duplicate_check,
    skip_gap_check,
    skip_end_check,
    accept_broken_stream_as_complete
};

/// A part that arrives on the connection of a stream.
struct arrival
{
    std::size_t stream_ = 0;              ///< index of the stream
    bool misrouted_ = false;              ///< the part belongs to the other request
    bool from_previous_attempt_ = false;  ///< the part belongs to the previous attempt
    int offset_ = 0;                      ///< part number relative to the next part to deliver
    bool next_attempt_ = false;           ///< a new attempt starts before the part arrives
    bool connection_lost_ = false;        ///< the connection breaks after the part
};

/// Used by rapidcheck to print failing cases.
std::ostream& operator<<(std::ostream& out, const arrival& shown)
{
    return out << "stream " << shown.stream_ << " offset " << shown.offset_ << (shown.misrouted_ ? " misrouted" : "")
               << (shown.from_previous_attempt_ ? " from_previous_attempt" : "")
               << (shown.next_attempt_ ? " next_attempt" : "") << (shown.connection_lost_ ? " connection_lost" : "");
}

struct stream
{
    stream_progress progress_;
    std::uint64_t delivered_count_ = 0;
    bool complete_ = false;
};

/// Calls `accept_part` with one of its checks disabled.
part_check_result accept_part_with(mutation mutated, stream_progress& progress, part_header part)
{
    if (mutated == mutation::skip_request_check)
    {
        part.request_ = progress.request_;
    }
    if (mutated == mutation::skip_attempt_check)
    {
        part.attempt_ = progress.attempt_;
    }
    const bool repeated = mutated == mutation::skip_duplicate_check && part.part_ < progress.next_;
    const bool skipped = mutated == mutation::skip_gap_check && part.part_ > progress.next_;
    if (repeated || skipped)
    {
        part.part_ = progress.next_;
    }
    if (mutated == mutation::skip_end_check)
    {
        progress.ended_ = false;
    }
    return accept_part(progress, part);
}

/// Returns true when exactly the expected part is delivered, and the answer counts as complete only with all its parts.
bool receive(std::array<stream, 2>& streams, const arrival& each, mutation mutated)
{
    stream& receiver = streams.at(each.stream_);
    if (each.next_attempt_)
    {
        receiver.progress_.attempt_ = receiver.progress_.attempt_.next();
    }
    const stream& sender = streams.at(each.misrouted_ ? 1 - each.stream_ : each.stream_);
    const std::uint64_t part =
        std::max<std::int64_t>(0, static_cast<std::int64_t>(receiver.delivered_count_) + each.offset_);
    const std::uint32_t attempt = receiver.progress_.attempt_.get() - (each.from_previous_attempt_ ? 1 : 0);
    const bool last = part + 1 >= parts_of_answer;
    const bool expected =
        !each.misrouted_ && !each.from_previous_attempt_ && part == receiver.delivered_count_ && part < parts_of_answer;
    const bool delivered = accept_part_with(mutated, receiver.progress_,
                                            {sender.progress_.request_, attempt_number{attempt}, part_number{part},
                                             last}) == part_check_result::deliver;
    receiver.delivered_count_ += delivered ? 1 : 0;
    receiver.complete_ =
        receiver.progress_.ended_ || (mutated == mutation::accept_broken_stream_as_complete && each.connection_lost_);
    return delivered == expected && receiver.complete_ == (receiver.delivered_count_ == parts_of_answer);
}

rc::Gen<bool> true_once_in(std::size_t count)
{
    return rc::gen::weightedElement<bool>({{count - 1, false}, {1, true}});
}

rc::Gen<arrival> generate_arrival()
{
    const auto offset = rc::gen::weightedElement<int>({{6, 0}, {1, -1}, {1, -2}, {1, 1}, {1, 2}});
    return rc::gen::resize(rc::kNominalSize,
                           rc::gen::build<arrival>(rc::gen::set(&arrival::stream_, rc::gen::inRange<std::size_t>(0, 2)),
                                                   rc::gen::set(&arrival::misrouted_, true_once_in(5)),
                                                   rc::gen::set(&arrival::from_previous_attempt_, true_once_in(5)),
                                                   rc::gen::set(&arrival::offset_, offset),
                                                   rc::gen::set(&arrival::next_attempt_, true_once_in(10)),
                                                   rc::gen::set(&arrival::connection_lost_, true_once_in(10))));
}

bool property_holds(mutation mutated)
{
    const auto property = [=] {
        std::array<stream, 2> streams{stream{{request_id{"a"}, attempt_number{2}}},
                                      stream{{request_id{"b"}, attempt_number{2}}}};
        for (const arrival& each : *rc::gen::container<std::vector<arrival>>(generate_arrival()))
        {
            RC_ASSERT(receive(streams, each, mutated));
        }
    };
    constexpr int cases = 1'000;
    return holds_with_seed(seed, "only the right parts are delivered, in order and once", property, cases);
}

}  // namespace

TEST_CASE("late, misrouted and repeated parts are never delivered, and only the last part completes an answer")
{
    REQUIRE(property_holds(mutation::none));
}

TEST_CASE("the generated arrivals detect each defect, which shows that the property is not vacuous")
{
    REQUIRE_FALSE(property_holds(GENERATE(mutation::skip_request_check, mutation::skip_attempt_check,
                                          mutation::skip_duplicate_check, mutation::skip_gap_check,
                                          mutation::skip_end_check, mutation::accept_broken_stream_as_complete)));
}
