#include <catch2/catch.hpp>

#include "cornelstall/wire.hpp"
#include "gateway/gateway_fixture.hpp"
#include "log_positions.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

server_list_change make_change(const std::string& id, std::uint64_t offset, server_state state, bool removed = false)
{
    server_list_change change;
    change.at_ = at_offset(offset);
    change.removed_ = removed;
    change.server_.id_ = server_id{id};
    change.server_.service_ = service_id{"s"};
    change.server_.address_ = socket_address{"127.0.0.1:9"};
    change.server_.state_ = state;
    return change;
}

/// Lets @a state read the log for the first time after an outage of 10 s.
void return_after_outage(gateway_state& state)
{
    state.server_list_.confirmed_at_ = boot_time() - std::chrono::seconds{10};
    state.server_list_.reads_ = {boot_time() - std::chrono::seconds{20}, state.server_list_.confirmed_at_, false};
    record_list_read(state, boot_time());
}

/// Makes the deferred removals of @a state due.
void end_grace_period(gateway_state& state)
{
    const auto now = std::chrono::steady_clock::now();
    std::ranges::for_each(state.server_list_.deferred_removals_, [now](auto& entry) { entry.second.due_at_ = now; });
}

log_update make_update(std::uint64_t begin, std::uint64_t end, std::vector<server_list_change> changes)
{
    log_update update;
    update.log_reachable_ = true;
    update.server_list_age_ = milliseconds{100};
    update.changes_begin_ = at_offset(begin);
    update.changes_end_ = at_offset(end);
    update.changes_ = std::move(changes);
    return update;
}

}  // namespace

TEST_CASE("a log update is applied only if it leaves no gap after the known end of the server list")
{
    // If the end of an update that starts later were adopted, the changes in the gap would be lost.
    gateway_fixture gateway;
    auto& state = gateway.state_;
    state.server_list_.next_ = at_offset(10);
    apply_log_update(state, make_update(12, 20, {make_change("a", 15, server_state::ready)}), {});
    CHECK(state.directory_.servers_.empty());
    CHECK(state.server_list_.next_ == at_offset(10));
    CHECK(is_read_due(state, state.server_list_.confirmed_at_));
    apply_log_update(
        state,
        make_update(8, 20, {make_change("a", 9, server_state::ready), make_change("b", 15, server_state::ready)}), {});
    CHECK(state.directory_.servers_.size() == 1);
    CHECK(state.server_list_.next_ == at_offset(20));
    CHECK_FALSE(is_read_due(state, state.server_list_.confirmed_at_));
    apply_log_update(state, make_update(20, 25, {make_change("b", 22, server_state::draining)}), {});
    CHECK(ready_servers(state.directory_, service_id{"s"}, std::chrono::steady_clock::now()).empty());
}

TEST_CASE("a log update of a VM with another configuration version does not permit accepting keys")
{
    gateway_fixture gateway;
    gateway.activate_route({});
    gateway.state_.settings_.max_configuration_age_ = milliseconds{1000};
    log_update update;
    update.routing_table_age_ = milliseconds{50};
    apply_log_update(gateway.state_, update, configuration_version{2});
    CHECK_FALSE(can_accept_keys(gateway.state_));
    apply_log_update(gateway.state_, update, configuration_version{1});
    CHECK(can_accept_keys(gateway.state_));
}

TEST_CASE("changes of 40 servers that do not fit one report reach another VM through several reports")
{
    // Guards against reports that contain only the last five changes. They left a gap after the offset that the other
    // VMs knew, so that these learned of the changes from the log, more than a second later.
    constexpr std::uint64_t server_count = 40;
    gateway_fixture sender;
    gateway_fixture receiver;
    for (auto* const state : {&sender.state_, &receiver.state_})
    {
        for (std::uint64_t index = 0; index < server_count; ++index)
        {
            apply_change(*state, make_change("a" + std::to_string(index), index, server_state::ready));
        }
        confirm_list(*state, at_offset(server_count), boot_time());
    }
    auto& sender_state = sender.state_;
    auto& lagging_vm = sender_state.peers_.peers_[vm_id{"vm-2"}];
    lagging_vm.heard_at_ = std::chrono::steady_clock::now();
    lagging_vm.server_list_end_ = at_offset(server_count);
    for (std::uint64_t index = 0; index < server_count; ++index)
    {
        apply_change(sender_state,
                     make_change("a" + std::to_string(index), server_count + index, server_state::draining));
    }
    confirm_list_read(sender_state, at_offset(2 * server_count), boot_time());
    for (const auto& part : split_log_update(make_log_update(sender_state), 12))
    {
        load_report report;
        report.vm_ = vm_id{"vm-1"};
        report.log_update_ = part;
        const auto bytes = encode_load_report(report, byte_count{1400}, std::chrono::steady_clock::now());
        CHECK(bytes.size() <= 1400);
        apply_log_update(receiver.state_, decode_load_report(bytes, std::chrono::steady_clock::now())->log_update_, {});
    }
    CHECK(ready_servers(receiver.state_.directory_, service_id{"s"}, std::chrono::steady_clock::now()).empty());
    CHECK_FALSE(is_read_due(receiver.state_, receiver.state_.server_list_.confirmed_at_));
}

TEST_CASE("a log update for a VM that lacks 1000 changes contains at most the newest 100")
{
    gateway_fixture gateway;
    auto& state = gateway.state_;
    state.server_list_.read_at_ = boot_time();
    auto& lagging_vm = state.peers_.peers_[vm_id{"vm-2"}];
    lagging_vm.heard_at_ = std::chrono::steady_clock::now();
    lagging_vm.server_list_end_ = at_offset(1);
    for (std::uint64_t index = 0; index < 1000; ++index)
    {
        apply_change(state, make_change("a" + std::to_string(index), index, server_state::ready));
    }
    confirm_list(state, at_offset(1000), boot_time());
    const auto update = make_log_update(state);
    CHECK(update.changes_.size() <= 100);
    CHECK(update.changes_begin_ == update.changes_.front().at_);
    CHECK(update.changes_end_ == at_offset(1000));
}

TEST_CASE("the differences after a new read of the full server list are sent as changes")
{
    gateway_fixture gateway;
    auto& state = gateway.state_;
    apply_change(state, make_change("a", 1, server_state::ready));
    apply_change(state, make_change("b", 2, server_state::ready));
    confirm_list_read(state, at_offset(3), boot_time());
    auto& lagging_vm = state.peers_.peers_[vm_id{"vm-2"}];
    lagging_vm.heard_at_ = std::chrono::steady_clock::now();
    lagging_vm.server_list_end_ = at_offset(3);
    apply_full_list(state, {make_change("a", 8, server_state::draining)}, {server_id{"a"}}, at_offset(10));
    confirm_list(state, at_offset(10), boot_time());
    const auto update = make_log_update(state);
    CHECK(update.changes_begin_ == at_offset(3));
    REQUIRE(update.changes_.size() == 2);
    CHECK(update.changes_[1].removed_);
    CHECK(update.changes_[1].server_.id_ == server_id{"b"});
    // The next record of the log may list the server again.
    apply_change(state, make_change("b", 10, server_state::ready));
    CHECK(state.directory_.servers_.contains(server_id{"b"}));
}

// Guards against a VM that misses a server between its known end and a full read, and makes the others skip its
// removal.
TEST_CASE("after a full read a VM does not take others past a removal that it has not seen")
{
    gateway_fixture reader;
    gateway_fixture follower;
    for (auto* const state : {&reader.state_, &follower.state_})
    {
        apply_change(*state, make_change("a", 1, server_state::ready));
        confirm_list_read(*state, at_offset(2), boot_time());
    }
    apply_change(follower.state_, make_change("b", 2, server_state::ready));
    confirm_list_read(follower.state_, at_offset(3), boot_time());
    // The reader stood still meanwhile, and the log has forgotten the records 2 (b is added) and 3 (b is removed).
    apply_full_list(reader.state_, {make_change("a", 1, server_state::ready)}, {server_id{"a"}}, at_offset(4));
    confirm_list_read(reader.state_, at_offset(4), boot_time());
    auto& lagging_vm = reader.state_.peers_.peers_[vm_id{"vm-2"}];
    lagging_vm.heard_at_ = std::chrono::steady_clock::now();
    lagging_vm.server_list_end_ = at_offset(2);
    apply_log_update(follower.state_, make_log_update(reader.state_), {});
    CHECK(follower.state_.server_list_.next_ == at_offset(3));
    apply_change(follower.state_, make_change("b", 3, server_state::ready, true));
    CHECK(follower.state_.directory_.servers_.size() == 1);
}

TEST_CASE("changes that a VM read are sent to a lagging VM until they expire")
{
    gateway_fixture gateway;
    auto& state = gateway.state_;
    auto& lagging_vm = state.peers_.peers_[vm_id{"vm-2"}];
    lagging_vm.heard_at_ = std::chrono::steady_clock::now();
    lagging_vm.server_list_end_ = at_offset(1);
    state.server_list_reachable_ = true;
    state.server_list_.read_at_ = boot_time();
    apply_change(state, make_change("a", 3, server_state::ready));
    confirm_list(state, at_offset(4), boot_time());
    auto update = make_log_update(state);
    REQUIRE(update.changes_.size() == 1);
    CHECK(update.changes_end_ == at_offset(4));
    state.server_list_.changes_.front().seen_at_ -= std::chrono::seconds{40};
    update = make_log_update(state);
    CHECK(update.changes_.empty());
    CHECK(update.changes_begin_ == at_offset(4));
    state.server_list_.read_at_ -= std::chrono::seconds{10};
    CHECK_FALSE(make_log_update(state).server_list_age_);
}

// Servers cannot renew their entries while the log is unreachable, so the removal of a ready server may only mean that
// its entry expired. A draining server is removed at once.
TEST_CASE("after a log outage a removed ready server is kept until it had time to register again")
{
    gateway_fixture gateway;
    auto& state = gateway.state_;
    apply_change(state, make_change("a", 1, server_state::ready));
    apply_change(state, make_change("b", 2, server_state::ready));
    apply_change(state, make_change("c", 3, server_state::draining));
    return_after_outage(state);
    apply_change(state, make_change("a", 4, server_state::ready, true));
    apply_change(state, make_change("b", 5, server_state::ready, true));
    apply_change(state, make_change("c", 6, server_state::ready, true));
    CHECK(state.directory_.servers_.size() == 2);
    apply_change(state, make_change("a", 7, server_state::ready));
    confirm_list(state, at_offset(8), boot_time());
    end_grace_period(state);
    apply_deferred_removals(state);
    CHECK(state.directory_.servers_.contains(server_id{"a"}));
    CHECK_FALSE(state.directory_.servers_.contains(server_id{"b"}));
}

TEST_CASE("an entry from before a deferred removal does not bring the server back")
{
    gateway_fixture gateway;
    auto& state = gateway.state_;
    apply_change(state, make_change("a", 1, server_state::ready));
    return_after_outage(state);
    apply_change(state, make_change("a", 5, server_state::ready, true));
    apply_change(state, make_change("a", 3, server_state::ready));
    confirm_list(state, at_offset(6), boot_time());
    end_grace_period(state);
    apply_deferred_removals(state);
    CHECK(state.directory_.servers_.empty());
}

TEST_CASE("a deferred removal is due within the bound however often the log goes away and returns")
{
    // Each return of the log began the grace period anew for all removals.
    gateway_fixture gateway;
    auto& state = gateway.state_;
    apply_change(state, make_change("a", 1, server_state::ready));
    return_after_outage(state);
    apply_change(state, make_change("a", 2, server_state::ready, true));
    const auto due = state.server_list_.deferred_removals_.at(server_id{"a"}).due_at_;
    CHECK(due < std::chrono::steady_clock::now() + state.settings_.staleness_bound_);
    return_after_outage(state);
    CHECK(state.server_list_.deferred_removals_.at(server_id{"a"}).due_at_ == due);
}

TEST_CASE("servers that renew their entries after a log outage are kept by all VMs")
{
    // The VM that read the log deferred the removals, the others applied them at once. The renewals changed nothing for
    // the first VM, so it did not report them, and the others never got their servers back.
    gateway_fixture reader;
    gateway_fixture other;
    const auto outage_begin = boot_time() - std::chrono::seconds{10};
    for (auto* const state : {&reader.state_, &other.state_})
    {
        apply_change(*state, make_change("a", 1, server_state::ready));
        apply_change(*state, make_change("b", 2, server_state::ready));
        confirm_list_read(*state, at_offset(3), outage_begin);
    }
    auto& lagging_vm = reader.state_.peers_.peers_[vm_id{"vm-2"}];
    lagging_vm.heard_at_ = std::chrono::steady_clock::now();
    lagging_vm.server_list_end_ = at_offset(3);
    record_list_read(reader.state_, boot_time());
    apply_change(reader.state_, make_change("a", 3, server_state::ready, true));
    apply_change(reader.state_, make_change("b", 4, server_state::ready, true));
    confirm_list_read(reader.state_, at_offset(5), boot_time());
    apply_log_update(other.state_, make_log_update(reader.state_), {});
    CHECK(other.state_.directory_.servers_.size() == 2);
    apply_change(reader.state_, make_change("a", 5, server_state::ready));
    confirm_list_read(reader.state_, at_offset(6), boot_time());
    lagging_vm.server_list_end_ = at_offset(5);
    apply_log_update(other.state_, make_log_update(reader.state_), {});
    for (auto* const state : {&reader.state_, &other.state_})
    {
        end_grace_period(*state);
        apply_deferred_removals(*state);
        CHECK(state->directory_.servers_.contains(server_id{"a"}));
        CHECK_FALSE(state->directory_.servers_.contains(server_id{"b"}));
    }
}

TEST_CASE("a removal is applied at once if another VM could read the log meanwhile")
{
    // Guards against a VM that takes the recovery of its own connection to the log for the end of a log outage. It kept
    // a removed server for 2.1 s, although the other VMs had been reading the log all the time.
    gateway_fixture gateway;
    auto& state = gateway.state_;
    apply_change(state, make_change("a", 1, server_state::ready));
    state.server_list_.reads_ = {boot_time() - std::chrono::seconds{10}, boot_time() - std::chrono::seconds{5}, false};
    const milliseconds read_by_other{500};
    log_update update = make_update(0, 2, {});
    update.server_list_age_ = read_by_other;
    update.reads_ = reported_reads{std::chrono::seconds{20}, read_by_other};
    apply_log_update(state, update, {});
    record_list_read(state, boot_time());
    apply_change(state, make_change("a", 2, server_state::ready, true));
    CHECK(state.directory_.servers_.empty());
}

TEST_CASE("a VM reports the age of its own reads, not of what other VMs have confirmed")
{
    // Two readers that passed on each other's confirmations kept them young while neither read the log: a request whose
    // key had been taken away more than 5 s before was served.
    gateway_fixture gateway;
    auto& state = gateway.state_;
    gateway.activate_route({});
    state.server_list_.listed_ = true;
    const auto read_at = boot_time() - milliseconds{1500};
    confirm_table_read(state, read_at);
    confirm_list_read(state, at_offset(5), read_at);
    log_update update = make_update(5, 5, {});
    update.routing_table_age_ = milliseconds{10};
    update.server_list_age_ = milliseconds{10};
    apply_log_update(state, update, state.table_->version_);
    CHECK_FALSE(is_read_due(state, state.table_confirmed_at_));
    const auto reported = make_log_update(state);
    REQUIRE(reported.routing_table_age_);
    REQUIRE(reported.server_list_age_);
    CHECK(*reported.routing_table_age_ >= milliseconds{1500});
    CHECK(*reported.server_list_age_ >= milliseconds{1500});
}

TEST_CASE("a change from another VM whose address or slots are unusable is not applied, and the others are")
{
    gateway_fixture gateway;
    auto& state = gateway.state_;
    state.server_list_.next_ = at_offset(10);
    auto no_port = make_change("a", 11, server_state::ready);
    no_port.server_.address_ = socket_address{"127.0.0.1:0"};
    auto no_slots = make_change("b", 12, server_state::ready);
    no_slots.server_.slots_ = 0;
    apply_log_update(state, make_update(10, 20, {no_port, no_slots, make_change("c", 13, server_state::ready)}), {});
    CHECK(state.directory_.servers_.size() == 1);
    CHECK(state.server_list_.next_ == at_offset(20));
}
