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

enum class wrong_check
{
    none,
    without_request,
    without_attempt,
    without_duplicates,
    without_gaps,
    after_end,
    whole_when_cut
};

/// One message on the connection of stream @a stream_.
struct arrival
{
    std::size_t stream_ = 0;
    bool crossed_ = false;       ///< a part of the other request
    bool late_ = false;          ///< a part of the attempt before
    int offset_ = 0;             ///< from the part that is next
    bool next_attempt_ = false;  ///< a new attempt starts first
    bool cut_ = false;           ///< the connection is cut afterwards
};

/// Prints an arrival of a failing case for rapidcheck.
std::ostream& operator<<(std::ostream& out, const arrival& shown)
{
    return out << "stream " << shown.stream_ << " offset " << shown.offset_ << (shown.crossed_ ? " crossed" : "")
               << (shown.late_ ? " late" : "") << (shown.next_attempt_ ? " next_attempt" : "")
               << (shown.cut_ ? " cut" : "");
}

struct stream
{
    stream_progress progress_;
    std::uint64_t delivered_ = 0;
    bool whole_ = false;
};

/// The answer of the decision, with one check left out.
part_check_result accept_with(wrong_check check, stream_progress& progress, part_header part)
{
    if (check == wrong_check::without_request)
    {
        part.request_ = progress.request_;
    }
    if (check == wrong_check::without_attempt)
    {
        part.attempt_ = progress.attempt_;
    }
    const bool repeated = check == wrong_check::without_duplicates && part.part_ < progress.next_;
    const bool skipped = check == wrong_check::without_gaps && part.part_ > progress.next_;
    if (repeated || skipped)
    {
        part.part_ = progress.next_;
    }
    if (check == wrong_check::after_end)
    {
        progress.ended_ = false;
    }
    return accept_part(progress, part);
}

/// True when the verdict is the one that the caller's whole answer needs.
bool receive(std::array<stream, 2>& streams, const arrival& each, wrong_check check)
{
    stream& own = streams.at(each.stream_);
    if (each.next_attempt_)
    {
        own.progress_.attempt_ = own.progress_.attempt_.next();
    }
    const stream& sender = streams.at(each.crossed_ ? 1 - each.stream_ : each.stream_);
    const std::uint64_t part = std::max<std::int64_t>(0, static_cast<std::int64_t>(own.delivered_) + each.offset_);
    const std::uint32_t attempt = own.progress_.attempt_.get() - (each.late_ ? 1 : 0);
    const bool last = part + 1 >= parts_of_answer;
    const bool right = !each.crossed_ && !each.late_ && part == own.delivered_ && part < parts_of_answer;
    const bool delivered = accept_with(check, own.progress_,
                                       {sender.progress_.request_, attempt_number{attempt}, part_number{part}, last}) ==
                           part_check_result::deliver;
    own.delivered_ += delivered ? 1 : 0;
    own.whole_ = own.progress_.ended_ || (check == wrong_check::whole_when_cut && each.cut_);
    return delivered == right && own.whole_ == (own.delivered_ == parts_of_answer);
}

rc::Gen<bool> one_in(std::size_t count)
{
    return rc::gen::weightedElement<bool>({{count - 1, false}, {1, true}});
}

rc::Gen<arrival> any_arrival()
{
    const auto offset = rc::gen::weightedElement<int>({{6, 0}, {1, -1}, {1, -2}, {1, 1}, {1, 2}});
    return rc::gen::resize(
        rc::kNominalSize,
        rc::gen::build<arrival>(rc::gen::set(&arrival::stream_, rc::gen::inRange<std::size_t>(0, 2)),
                                rc::gen::set(&arrival::crossed_, one_in(5)), rc::gen::set(&arrival::late_, one_in(5)),
                                rc::gen::set(&arrival::offset_, offset),
                                rc::gen::set(&arrival::next_attempt_, one_in(10)),
                                rc::gen::set(&arrival::cut_, one_in(10))));
}

bool holds(wrong_check check)
{
    const auto property = [=] {
        std::array<stream, 2> streams{stream{{request_id{"a"}, attempt_number{2}}},
                                      stream{{request_id{"b"}, attempt_number{2}}}};
        for (const arrival& each : *rc::gen::container<std::vector<arrival>>(any_arrival()))
        {
            RC_ASSERT(receive(streams, each, check));
        }
    };
    constexpr int cases = 1'000;
    return holds_with_seed(seed, "only the right parts are delivered, in order and once", property, cases);
}

}  // namespace

TEST_CASE("late, crossed and repeated parts never reach a caller, and only the end mark makes an answer whole")
{
    REQUIRE(holds(wrong_check::none));
}

TEST_CASE("the arrivals find each part check that is left out; otherwise the property would show nothing")
{
    REQUIRE_FALSE(
        holds(GENERATE(wrong_check::without_request, wrong_check::without_attempt, wrong_check::without_duplicates,
                       wrong_check::without_gaps, wrong_check::after_end, wrong_check::whole_when_cut)));
}
