#include <catch2/catch.hpp>

#include "cornelstall/decisions.hpp"

using namespace cornelstall;
using std::chrono::seconds;

namespace
{

const data_centre_id here{"dc"};
const time_point start{};

struct reader
{
    lease_view view_;
    lease_participant participant_;

    explicit reader(const char* vm)
    {
        participant_.self_ = vm_id{vm};
        view_.data_centre_ = here;
    }

    void read(const std::vector<lease_record>& log, seconds now, std::uint64_t oldest = 1)
    {
        lease_batch batch{log_offset{oldest}, log_offset{log.size() + 1}, true, {}};
        for (std::uint64_t offset = std::max(oldest, view_.next_.get()); offset <= log.size(); ++offset)
        {
            batch.records_.push_back({log_offset{offset}, log[offset - 1]});
        }
        for (const lease_record& record : apply(view_, batch, start + now))
        {
            apply_accepted_record(participant_, record);
        }
    }

    lease_record make(lease_action action, seconds now)
    {
        return make_lease_record(participant_, view_, action, start + now);
    }

    [[nodiscard]] milliseconds remaining(seconds now) const
    {
        return lease_remaining(participant_, view_, start + now);
    }

    [[nodiscard]] std::optional<lease_action> next(seconds now) const
    {
        return next_lease_action(participant_, view_, start + now);
    }
};

}  // namespace

TEST_CASE("with two concurrent acquisitions, all VMs accept the first in the log")
{
    reader a("a");
    reader b("b");
    a.read({}, seconds{0});
    b.read({}, seconds{0});
    REQUIRE(a.next(seconds{0}) == lease_action::acquire);
    const std::vector log{a.make(lease_action::acquire, seconds{0}), b.make(lease_action::acquire, seconds{0})};
    a.read(log, seconds{1});
    b.read(log, seconds{1});
    REQUIRE(a.remaining(seconds{1}) == seconds{12});
    REQUIRE(b.remaining(seconds{1}) == seconds{0});
    REQUIRE(fencing_number_of(b.view_) == fencing_number{1});

    SECTION("another VM may not acquire before the end of the lease and its margin, as clocks may be slow")
    {
        // Otherwise the new lease could overlap with that of a holder whose clock is slow.
        REQUIRE_FALSE(may_acquire(b.view_, start + seconds{17}));
        REQUIRE(may_acquire(b.view_, start + seconds{18}));
    }
    SECTION("a paused holder has no permission for orders after its lease has expired")
    {
        REQUIRE(a.remaining(seconds{13}) == seconds{0});
        REQUIRE(check_order_permission(a.participant_, a.view_, true, start, start + seconds{13}) ==
                order_permission::not_holder);
    }
    SECTION("a renewal counts from before its append, even if it is read late")
    {
        auto longer = log;
        longer.push_back(a.make(lease_action::renew, seconds{5}));
        a.read(longer, seconds{12});
        REQUIRE(a.remaining(seconds{12}) == seconds{6});
        REQUIRE(fencing_number_of(a.view_) == fencing_number{3});
    }
    SECTION("a renewal that arrives after the acquisition of another VM is not accepted")
    {
        auto longer = log;
        const lease_record late = a.make(lease_action::renew, seconds{5});
        longer.push_back(b.make(lease_action::acquire, seconds{18}));
        longer.push_back(late);
        a.read(longer, seconds{19});
        b.read(longer, seconds{19});
        REQUIRE(a.remaining(seconds{19}) == seconds{0});
        REQUIRE(b.view_.holder_ == vm_id{"b"});
        REQUIRE(b.remaining(seconds{19}) == seconds{12});
    }
    SECTION("after a release, another VM may acquire at once, and the holder has stopped before the acknowledgement")
    {
        auto longer = log;
        longer.push_back(a.make(lease_action::release, seconds{5}));
        REQUIRE(a.remaining(seconds{5}) == seconds{0});
        b.read(longer, seconds{6});
        REQUIRE(may_acquire(b.view_, start + seconds{6}));
    }
}

TEST_CASE("an engine that ignores fencing numbers gets no order while an order of the previous holder may be executing")
{
    reader a("a");
    reader b("b");
    a.read({}, seconds{0});
    std::vector log{a.make(lease_action::acquire, seconds{0})};
    b.read(log, seconds{1});
    log.push_back(b.make(lease_action::acquire, seconds{18}));
    b.read(log, seconds{18});
    log.push_back(b.make(lease_action::renew, seconds{23}));
    b.read(log, seconds{23});
    const auto permission = [&](seconds read_back, seconds now) {
        return check_order_permission(b.participant_, b.view_, false, start + read_back, start + now);
    };
    REQUIRE(check_order_permission(b.participant_, b.view_, true, start, start + seconds{23}) ==
            order_permission::allowed);
    REQUIRE(permission(seconds{23}, seconds{27}) == order_permission::previous_order_may_run);
    REQUIRE(permission(seconds{27}, seconds{28}) == order_permission::read_state_first);
    REQUIRE(permission(seconds{28}, seconds{28}) == order_permission::allowed);
}

TEST_CASE("a VM that starts after the log has dropped records agrees with older VMs on the holder")
{
    reader a("a");
    reader b("b");
    a.read({}, seconds{0});
    std::vector log{a.make(lease_action::acquire, seconds{0})};
    a.read(log, seconds{0});
    const lease_record rejected_record{here, lease_action::acquire, vm_id{"x"}, lease_attempt{1}, log_offset{0}};
    log.push_back(rejected_record);
    log.push_back(a.make(lease_action::renew, seconds{5}));
    a.read(log, seconds{5});

    SECTION("a rejected record at the start of the retained log is not taken for an accepted one")
    {
        // Otherwise the VM would take the sender of the rejected record for the holder.
        b.read(log, seconds{6}, 2);
        REQUIRE(b.view_.holder_.empty());
        REQUIRE_FALSE(may_acquire(b.view_, start + seconds{22}));
        log.push_back(a.make(lease_action::renew, seconds{10}));
        b.read(log, seconds{10}, 2);
        REQUIRE(b.view_.holder_ == vm_id{"a"});
        REQUIRE(b.view_.last_accepted_ == log_offset{4});
    }
    SECTION("with an empty retained log, the VM waits, and VMs that know older records accept its acquisition")
    {
        b.read(log, seconds{6}, 4);
        REQUIRE_FALSE(may_acquire(b.view_, start + seconds{22}));
        log.push_back(b.make(lease_action::acquire, seconds{23}));
        a.read(log, seconds{24}, 4);
        b.read(log, seconds{24}, 4);
        REQUIRE(a.view_.holder_ == vm_id{"b"});
        REQUIRE(b.remaining(seconds{24}) > seconds{0});
    }
    SECTION("after a gap in reading, a holder no longer holds the lease")
    {
        a.read(log, seconds{6}, 5);
        REQUIRE(a.remaining(seconds{6}) == seconds{0});
    }
}

TEST_CASE("renewals are due every 5 s, and a release is repeated until it is accepted")
{
    reader a("a");
    a.read({}, seconds{0});
    std::vector log{a.make(lease_action::acquire, seconds{0})};
    a.read(log, seconds{0});
    REQUIRE_FALSE(a.next(seconds{4}));
    REQUIRE(a.next(seconds{5}) == lease_action::renew);
    (void)a.make(lease_action::release, seconds{5});
    REQUIRE(a.next(seconds{10}) == lease_action::release);
    log.push_back(a.make(lease_action::release, seconds{10}));
    a.read(log, seconds{10});
    REQUIRE(a.view_.holder_.empty());
}
