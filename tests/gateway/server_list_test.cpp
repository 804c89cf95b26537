#include <catch2/catch.hpp>

#include "cornelstall/wire.hpp"
#include "gateway/gateway_fixture.hpp"

using namespace cornelstall;
using namespace cornelstall::tests;

namespace
{

server_list_change change_of(const std::string& id, std::uint64_t at, server_state state, bool removed = false)
{
    server_list_change change;
    change.at_ = log_offset{at};
    change.removed_ = removed;
    change.server_.id_ = server_id{id};
    change.server_.service_ = service_id{"s"};
    change.server_.address_ = socket_address{"127.0.0.1:9"};
    change.server_.state_ = state;
    return change;
}

log_update news_of(std::uint64_t from, std::uint64_t next, std::vector<server_list_change> changes)
{
    log_update news;
    news.log_reachable_ = true;
    news.server_list_age_ = milliseconds{100};
    news.changes_begin_ = log_offset{from};
    news.changes_end_ = log_offset{next};
    news.changes_ = std::move(changes);
    return news;
}

}  // namespace

TEST_CASE("news of the list are applied only where they join what is known")
{
    // Taking the end of news that begin later would lose the changes between.
    gateway_fixture gateway;
    auto& state = gateway.state_;
    state.server_list_.next_ = log_offset{10};
    apply_log_update(state, news_of(12, 20, {change_of("a", 15, server_state::ready)}), {});
    CHECK(state.directory_.servers_.empty());
    CHECK(state.server_list_.next_ == log_offset{10});
    CHECK(is_read_due(state, state.server_list_.confirmed_at_));
    apply_log_update(
        state, news_of(8, 20, {change_of("a", 9, server_state::ready), change_of("b", 15, server_state::ready)}), {});
    CHECK(state.directory_.servers_.size() == 1);
    CHECK(state.server_list_.next_ == log_offset{20});
    CHECK_FALSE(is_read_due(state, state.server_list_.confirmed_at_));
    apply_log_update(state, news_of(20, 25, {change_of("b", 22, server_state::draining)}), {});
    CHECK(ready_servers(state.directory_, service_id{"s"}).empty());
}

TEST_CASE("a confirmation of another version does not make keys fresh")
{
    gateway_fixture gateway;
    gateway.activate_route({});
    gateway.state_.settings_.max_configuration_age_ = milliseconds{1000};
    log_update news;
    news.routing_table_age_ = milliseconds{50};
    apply_log_update(gateway.state_, news, configuration_version{2});
    CHECK_FALSE(can_accept_keys(gateway.state_));
    apply_log_update(gateway.state_, news, configuration_version{1});
    CHECK(can_accept_keys(gateway.state_));
}

TEST_CASE("a VM learns of many servers that leave at once, whatever fits one report")
{
    // Reports told the last five changes at most, so that the others could not join them to what they knew and read the
    // log themselves, more than a second later.
    constexpr std::uint64_t servers = 40;
    gateway_fixture reader;
    gateway_fixture listener;
    for (auto* const state : {&reader.state_, &listener.state_})
    {
        for (std::uint64_t index = 0; index < servers; ++index)
        {
            apply_change(*state, change_of("a" + std::to_string(index), index, server_state::ready));
        }
        confirm_list(*state, log_offset{servers}, boot_time());
    }
    auto& told = reader.state_;
    auto& behind = told.peers_.peers_[vm_id{"vm-2"}];
    behind.heard_at_ = std::chrono::steady_clock::now();
    behind.server_list_end_ = log_offset{servers};
    for (std::uint64_t index = 0; index < servers; ++index)
    {
        apply_change(told, change_of("a" + std::to_string(index), servers + index, server_state::draining));
    }
    confirm_list(told, log_offset{2 * servers}, boot_time());
    told.server_list_.read_at_ = boot_time();
    for (const auto& part : split_log_update(make_log_update(told), 12))
    {
        load_report report;
        report.vm_ = vm_id{"vm-1"};
        report.log_update_ = part;
        const auto bytes = encode_load_report(report, byte_count{1400}, std::chrono::steady_clock::now());
        CHECK(bytes.size() <= 1400);
        apply_log_update(listener.state_, decode_load_report(bytes, std::chrono::steady_clock::now())->log_update_, {});
    }
    CHECK(ready_servers(listener.state_.directory_, service_id{"s"}).empty());
    CHECK_FALSE(is_read_due(listener.state_, listener.state_.server_list_.confirmed_at_));
}

TEST_CASE("a VM that lacks very many changes is left to read the log")
{
    gateway_fixture gateway;
    auto& state = gateway.state_;
    state.server_list_.read_at_ = boot_time();
    auto& behind = state.peers_.peers_[vm_id{"vm-2"}];
    behind.heard_at_ = std::chrono::steady_clock::now();
    behind.server_list_end_ = log_offset{1};
    for (std::uint64_t index = 0; index < 1000; ++index)
    {
        apply_change(state, change_of("a" + std::to_string(index), index, server_state::ready));
    }
    confirm_list(state, log_offset{1000}, boot_time());
    const auto news = make_log_update(state);
    CHECK(news.changes_.size() <= 100);
    CHECK(news.changes_begin_ == news.changes_.front().at_);
    CHECK(news.changes_end_ == log_offset{1000});
}

TEST_CASE("a whole list that is read again is told as changes")
{
    gateway_fixture gateway;
    auto& state = gateway.state_;
    apply_change(state, change_of("a", 1, server_state::ready));
    apply_change(state, change_of("b", 2, server_state::ready));
    confirm_list(state, log_offset{3}, boot_time());
    state.server_list_.read_at_ = boot_time();
    auto& behind = state.peers_.peers_[vm_id{"vm-2"}];
    behind.heard_at_ = std::chrono::steady_clock::now();
    behind.server_list_end_ = log_offset{3};
    apply_full_list(state, {change_of("a", 8, server_state::draining)}, {server_id{"a"}}, log_offset{10});
    confirm_list(state, log_offset{10}, boot_time());
    const auto news = make_log_update(state);
    CHECK(news.changes_begin_ == log_offset{3});
    REQUIRE(news.changes_.size() == 2);
    CHECK(news.changes_[1].removed_);
    CHECK(news.changes_[1].server_.id_ == server_id{"b"});
    // The server may come again with the very next record.
    apply_change(state, change_of("b", 10, server_state::ready));
    CHECK(state.directory_.servers_.contains(server_id{"b"}));
}

TEST_CASE("what a VM reads is told as changes until they are old")
{
    gateway_fixture gateway;
    auto& state = gateway.state_;
    auto& behind = state.peers_.peers_[vm_id{"vm-2"}];
    behind.heard_at_ = std::chrono::steady_clock::now();
    behind.server_list_end_ = log_offset{1};
    state.server_list_reachable_ = true;
    state.server_list_.read_at_ = boot_time();
    apply_change(state, change_of("a", 3, server_state::ready));
    confirm_list(state, log_offset{4}, boot_time());
    auto news = make_log_update(state);
    REQUIRE(news.changes_.size() == 1);
    CHECK(news.changes_end_ == log_offset{4});
    state.server_list_.changes_.front().seen_at_ -= std::chrono::seconds{40};
    news = make_log_update(state);
    CHECK(news.changes_.empty());
    CHECK(news.changes_begin_ == log_offset{4});
    state.server_list_.read_at_ -= std::chrono::seconds{10};
    CHECK_FALSE(make_log_update(state).server_list_age_);
}

TEST_CASE("a server whose entry lapsed while the log was away is kept until the entries are back")
{
    gateway_fixture gateway;
    auto& state = gateway.state_;
    apply_change(state, change_of("a", 1, server_state::ready));
    apply_change(state, change_of("b", 2, server_state::ready));
    apply_change(state, change_of("c", 3, server_state::draining));
    state.server_list_.confirmed_at_ = boot_time() - std::chrono::seconds{10};
    handle_list_recovery(state);
    apply_change(state, change_of("a", 4, server_state::ready, true));
    apply_change(state, change_of("b", 5, server_state::ready, true));
    apply_change(state, change_of("c", 6, server_state::ready, true));
    CHECK(state.directory_.servers_.size() == 2);
    apply_change(state, change_of("a", 7, server_state::ready));
    state.server_list_.defer_removals_until_ = std::chrono::steady_clock::now();
    apply_deferred_removals(state);
    CHECK(state.directory_.servers_.contains(server_id{"a"}));
    CHECK_FALSE(state.directory_.servers_.contains(server_id{"b"}));
}

TEST_CASE("a VM that only the store refused believes a removal at once")
{
    // It took its own return to the store for the store's and kept a leaving server for 2.1 s; the others read all the
    // while.
    gateway_fixture gateway;
    auto& state = gateway.state_;
    apply_change(state, change_of("a", 1, server_state::ready));
    confirm_list(state, log_offset{2}, boot_time() - milliseconds{500});
    handle_list_recovery(state);
    apply_change(state, change_of("a", 2, server_state::ready, true));
    CHECK(state.directory_.servers_.empty());
}
