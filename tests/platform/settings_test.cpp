#include <catch2/catch.hpp>

#include "cornelstall/platform.hpp"

using namespace cornelstall;

namespace
{

const std::string settings_text = R"(
node_name = "edge-1"
role = "gateway"
ip = "127.0.0.1"
zone = "z-a"
internal_ports = [7340,7355]
a_field_of_a_later_release = { x = 1 }
[listen_addrs]
front = "127.0.0.1:8227"
ready_addr = "127.0.0.1:8220"
[bounds]
grace_period_s = 8
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 100
[platform]
address = "127.0.0.1:8223"
)";

}  // namespace

TEST_CASE("the bounds on callers follow from the memory and the descriptors of the VM")
{
    const auto limits_with = [](const std::string& limits) {
        return platform::decode_settings(settings_text + "\n[limits]\n" + limits).gateway_;
    };
    constexpr std::uint64_t mib = 1024ULL * 1024;
    constexpr std::uint64_t largest_body = 4 * mib;
    for (const std::uint64_t memory_mb : {96, 160, 260, 512})
    {
        const auto gateway = limits_with("memory_mb = " + std::to_string(memory_mb) + "\nmax_fds = 4100\n");
        // Answers may take twice their bound while their buffers grow.
        CHECK(gateway.body_memory_limit_.get() + 2 * gateway.answer_buffer_limit_.get() <= memory_mb * mib * 2 / 3);
        CHECK(gateway.body_memory_limit_.get() * 3 / 4 >= largest_body);
        CHECK(gateway.max_caller_connections_ >= 512);
        CHECK(gateway.max_caller_connections_ * 2 < 4100 - 200);
    }
    CHECK(limits_with("max_fds = 600").max_caller_connections_ == 150);
    CHECK(limits_with("max_fds = \"many\"\nmemory_mb = -1").max_caller_connections_ >= 64);
}

TEST_CASE("unknown fields of the settings file are ignored")
{
    const auto settings = platform::decode_settings(settings_text);
    CHECK(settings.gateway_.name_ == "edge-1");
    CHECK(settings.gateway_.listen_.get() == "127.0.0.1:8227");
    CHECK(settings.gateway_.load_port_ == 7340);
    CHECK(settings.gateway_.metrics_port_ == 7355);
    CHECK(settings.gateway_.max_configuration_age_ < milliseconds{5000});
    CHECK(settings.gateway_.retry_budget_.extra_ == 100.0);
    CHECK(settings.store_address_ == "127.0.0.1:8223");
}

TEST_CASE("a settings file without a required field is refused with the name of the field")
{
    auto text = settings_text;
    text.erase(text.find("front ="), std::string("front = \"127.0.0.1:8227\"").size());
    CHECK_THROWS_WITH(platform::decode_settings(text), Catch::Contains("listen_addrs.front"));
    CHECK_THROWS_AS(platform::decode_settings("no toml ["), process_error);
}

TEST_CASE("a bound on evacuations that is tighter than the others sets the age of the data")
{
    const auto with_bound = [](const std::string& bound) {
        auto text = settings_text;
        text.replace(text.find("revoke_ms"), 0, "drain_ms = 3000\nconfig_apply_ms = 3000\n" + bound);
        return platform::decode_settings(text).gateway_.staleness_bound_;
    };
    CHECK(with_bound("") == milliseconds{3000});
    CHECK(with_bound("evacuate_ms = 5000\n") == milliseconds{3000});
    CHECK(with_bound("evacuate_ms = 2500\n") == milliseconds{2500});
}

TEST_CASE("a reservation ends before the bound on unused memory")
{
    CHECK(platform::decode_settings(settings_text).gateway_.memory_reservation_timeout_ == milliseconds{3400});
    auto shorter_bound = settings_text;
    shorter_bound.replace(shorter_bound.find("[bounds]"), 8, "[bounds]\nfree_ms = 2000");
    CHECK(platform::decode_settings(shorter_bound).gateway_.memory_reservation_timeout_ == milliseconds{1700});
}
