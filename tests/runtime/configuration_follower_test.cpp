#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "cornelstall/wire/version/configuration_codec.hpp"
#include "runtime/fake_configuration_log.hpp"

using namespace cornelstall;

namespace
{

std::string change_text(const char* service, std::uint64_t base, const char* text)
{
    return encode(change_record{publication_id{"p"}, {{service_id{service}, log_offset{base}, text}}});
}

/// A follower of a fake log that notes the versions that it announces.
struct followed_log
{
    fake_configuration_log log_;
    std::vector<std::uint64_t> versions_;
    std::shared_ptr<configuration_follower> follower_ = std::make_shared<configuration_follower>();

    followed_log()
    {
        follower_->log_ = log_.access();
        follower_->parse_ = [](const service_id& service, const std::string&) -> parsed_policy {
            service_policy policy;
            policy.name_ = service;
            return policy;
        };
        follower_->on_version_ = [this](const std::shared_ptr<const configuration>& active_config) {
            versions_.push_back(active_config->version_.get());
        };
        follower_->settings_.least_backoff_ = milliseconds{2};
        follower_->settings_.most_backoff_ = milliseconds{4};
        follower_->settings_.pages_.records_ = 2;
        follower_->snapshot_prefix_ = "vm";
    }

    /// Runs the follower until `ended` holds; false when that takes more than 10 s.
    bool run_until(const std::function<bool()>& ended)
    {
        boost::asio::io_context context;
        follower_->stopping_ = false;
        bool reached = false;
        boost::asio::co_spawn(context, follow_configuration(follower_), boost::asio::detached);
        boost::asio::co_spawn(context, watch(ended, reached), boost::asio::detached);
        context.run();
        return reached;
    }

    task<> watch(std::function<bool()> ended, bool& reached)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{10};
        while (!ended() && std::chrono::steady_clock::now() < deadline)
        {
            co_await sleep_for(milliseconds{1});
        }
        reached = ended();
        follower_->stopping_ = true;
    }

    [[nodiscard]] bool has_announced(std::uint64_t version) const
    {
        return !versions_.empty() && versions_.back() == version;
    }
};

}  // namespace

TEST_CASE("a follower announces the newest version at the head, not those on the way to it")
{
    followed_log followed;
    // With the widest spread no snapshot is due during the test, so that offsets are those put here.
    followed.follower_->spread_ = 1.0;
    followed.log_.put({change_text("a", 0, "1"), change_text("a", 1, "2"), "not a record", change_text("b", 0, "1"),
                       change_text("b", 0, "void")});
    REQUIRE(followed.run_until([&] { return followed.has_announced(4); }));
    REQUIRE(followed.versions_ == std::vector<std::uint64_t>{4});
    REQUIRE(followed.follower_->replay_.malformed_ == 1);
    REQUIRE(followed.follower_->replay_.rejected_changes_ == 1);

    SECTION("an outage leaves the version in force, and the next one is followed after it")
    {
        followed.log_.failing_reads_ = 5;
        followed.log_.put({change_text("a", 2, "3")});
        REQUIRE(followed.run_until([&] { return followed.has_announced(6); }));
        REQUIRE(followed.follower_->failures_ == 5);
        REQUIRE(followed.versions_ == std::vector<std::uint64_t>{4, 6});
    }
    SECTION("a peer's state is announced, and a stale peer's is not")
    {
        const full_state newer{configuration_version{9}, log_offset{9}, {{service_id{"a"}, "x", log_offset{9}}}};
        REQUIRE(offer_state(*followed.follower_, newer));
        REQUIRE_FALSE(offer_state(*followed.follower_, {configuration_version{4}, log_offset{4}, {}}));
        REQUIRE(followed.versions_ == std::vector<std::uint64_t>{4, 9});
    }
}

TEST_CASE("a follower starts from a snapshot when older records are gone")
{
    followed_log first;
    first.follower_->settings_.snapshot_part_ = byte_count{1};
    first.log_.put({change_text("a", 0, "1"), change_text("b", 0, "1")});
    // A snapshot of unknown age is replaced at once with spread 0.
    REQUIRE(first.run_until([&] { return first.follower_->replay_.newest_snapshot_ > log_offset{0}; }));
    REQUIRE(first.follower_->snapshots_appended_ == 1);
    REQUIRE(first.log_.records_.size() == 4);

    followed_log second;
    second.log_ = first.log_;
    second.log_.put({change_text("a", 1, "2")});
    second.log_.expire_before(log_offset{3});

    SECTION("and applies the changes after it")
    {
        REQUIRE(second.run_until([&] { return second.has_announced(5); }));
        REQUIRE(second.follower_->replay_.records_missed_ == 1);
        REQUIRE(second.follower_->replay_.state_.active_config_->services_.size() == 2);
    }
    SECTION("half a snapshot is no start: without the rest nothing is in force, and the log is not asked in a spin")
    {
        second.log_.expire_before(log_offset{4});
        REQUIRE(second.run_until([&] { return second.log_.reads_ > 20; }));
        REQUIRE(second.versions_.empty());
        SECTION("until a member with the state appends a snapshot")
        {
            first.follower_->replay_.state_.read_through_ = log_offset{5};
            const auto parts = make_snapshot(first.follower_->replay_.state_, "new", byte_count{100'000});
            second.log_.put({encode(parts.front())});
            REQUIRE(second.run_until([&] { return second.has_announced(2); }));
        }
    }
}

TEST_CASE("a snapshot is due before half of the retention, and soon when its age is unknown")
{
    const time_point seen{};
    const milliseconds retention{1'000'000};
    REQUIRE(next_snapshot_time(seen, retention, true, 1.0) < seen + retention / 2);
    REQUIRE(next_snapshot_time(seen, retention, true, 0.0) > seen + retention / 4);
    REQUIRE(next_snapshot_time(seen, retention, false, 1.0) < seen + retention / 20);
}

TEST_CASE("a failed snapshot append is repeated, or the newest snapshot would vanish")
{
    followed_log followed;
    followed.log_.refused_appends_ = 3;
    followed.log_.put({change_text("a", 0, "1")});
    REQUIRE(followed.run_until([&] { return followed.follower_->snapshots_appended_ == 1; }));
    REQUIRE(followed.follower_->failures_ == 3);
}
