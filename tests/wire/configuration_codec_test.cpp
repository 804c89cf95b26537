#include <string>

#include <catch2/catch.hpp>

#include "cornelstall/wire.hpp"

using namespace cornelstall;

namespace
{

bool is_malformed(const std::string& text)
{
    return std::holds_alternative<malformed_record>(decode_configuration(text));
}

const std::string change_text =
    R"({"kind":"change","publication_id":"p","changes":[{"service":"a","base":3,"text":"x = 1\n"}]})";

}  // namespace

TEST_CASE("a change survives the round trip")
{
    const change_record record{publication_id{"p"},
                               {{service_id{"a"}, log_offset{3}, "x = \"é\"\n"}, {service_id{"b"}, log_offset{0}, ""}}};
    const auto read = std::get<change_record>(decode_configuration(encode(record)));
    REQUIRE(read.publication_ == record.publication_);
    REQUIRE(read.changes_.size() == 2);
    REQUIRE(read.changes_[0].base_ == log_offset{3});
    REQUIRE(read.changes_[0].text_ == record.changes_[0].text_);
    REQUIRE(read.changes_[1].text_.empty());
}

TEST_CASE("a snapshot survives the round trip")
{
    const snapshot_record record{
        "s", configuration_version{5}, log_offset{9}, 1, 2, {{service_id{"a"}, "x = 1", log_offset{5}}}};
    const auto read = std::get<snapshot_record>(decode_configuration(encode(record)));
    REQUIRE(read.snapshot_id_ == "s");
    REQUIRE(read.version_ == configuration_version{5});
    REQUIRE(read.read_through_ == log_offset{9});
    REQUIRE(read.part_ == 1);
    REQUIRE(read.parts_ == 2);
    REQUIRE(read.declarations_.at(0).accepted_at_ == log_offset{5});
}

TEST_CASE("a record that cannot be read is malformed, never an exception that stops a VM")
{
    REQUIRE_FALSE(is_malformed(change_text));
    SECTION("half of a record")
    {
        for (std::size_t length = 0; length < change_text.size(); ++length)
        {
            REQUIRE(is_malformed(change_text.substr(0, length)));
        }
    }
    SECTION("other JSON")
    {
        REQUIRE(is_malformed("[]"));
        REQUIRE(is_malformed("null"));
        REQUIRE(is_malformed(R"({"kind":"other"})"));
        REQUIRE(is_malformed(std::string(100'000, '[')));
        REQUIRE(is_malformed("{\"kind\":\"change\",\"publication_id\":\"\xff\"}"));
    }
    SECTION("wrong types and values")
    {
        REQUIRE(
            is_malformed(R"({"kind":"change","publication_id":"","changes":[{"service":"a","base":3,"text":""}]})"));
        REQUIRE(is_malformed(R"({"kind":"change","publication_id":"p","changes":[]})"));
        REQUIRE(is_malformed(R"({"kind":"change","publication_id":"p","changes":{"a":1}})"));
        REQUIRE(
            is_malformed(R"({"kind":"change","publication_id":"p","changes":[{"service":"a","base":-1,"text":""}]})"));
        REQUIRE(
            is_malformed(R"({"kind":"change","publication_id":"p","changes":[{"service":"a","base":1.5,"text":""}]})"));
        REQUIRE(is_malformed(
            R"({"kind":"snapshot","snapshot_id":"s","version":5,"read_through":4,"part":0,"parts":1,"declarations":[]})"));
        REQUIRE(is_malformed(
            R"({"kind":"snapshot","snapshot_id":"s","version":5,"read_through":5,"part":1,"parts":1,"declarations":[]})"));
    }
    SECTION("two changes of one service would leave open which one is in force")
    {
        REQUIRE(is_malformed(
            R"({"kind":"change","publication_id":"p","changes":[{"service":"a","base":3,"text":"x"},{"service":"a","base":3,"text":"y"}]})"));
    }
    SECTION("a text that would not fit into a snapshot record")
    {
        const auto with_text = [](const std::string& text) {
            return R"({"kind":"change","publication_id":"p","changes":[{"service":"a","base":3,"text":")" + text +
                   R"("}]})";
        };
        REQUIRE_FALSE(is_malformed(with_text(std::string(max_declaration_size.get(), 'x'))));
        REQUIRE(is_malformed(with_text(std::string(max_declaration_size.get() + 1, 'x'))));
        REQUIRE(is_malformed(with_text("\\u0001")));
    }
    SECTION("a record above the limit")
    {
        REQUIRE(is_malformed(change_text + std::string(max_configuration_record.get(), ' ')));
    }
}

TEST_CASE("a publication above the limit is refused before it reaches the log")
{
    change_record record{publication_id{"p"}, {}};
    for (int number = 0; number < 5; ++number)
    {
        record.changes_.push_back(
            {service_id{std::to_string(number)}, log_offset{0}, std::string(max_declaration_size.get(), 'x')});
    }
    REQUIRE_THROWS_AS(encode(record), version_error);
    record.changes_.resize(3);
    REQUIRE_NOTHROW(encode(record));
}
