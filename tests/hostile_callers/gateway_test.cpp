#include <catch2/catch.hpp>

#include <random>
#include <sstream>

#include "crowd.hpp"

using namespace cornelstall::testing;

/// @file
/// Guards against a gateway process that runs out of memory or descriptors, ends, or serves nobody while callers
/// exceed the limits.

namespace
{

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = kib * kib;
constexpr std::size_t large_chunk = 64 * kib;
/// Each caller of a body over the limit sends this much at most.
constexpr std::size_t most_sent = 16 * mib;
const std::string chunked{"Transfer-Encoding: chunked\r\n\r\n"};

std::string announced(std::size_t length)
{
    return "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

/// @a length bytes in chunks of the sizes that @a next_size returns, without the last chunk.
template <class Sizes>
std::string in_chunks(std::size_t length, Sizes next_size)
{
    std::ostringstream text;
    while (length > 0)
    {
        const std::size_t size = std::min(length, next_size());
        text << std::hex << size << "\r\n" << std::string(size, 'x') << "\r\n";
        length -= size;
    }
    return text.str();
}

std::string in_large_chunks(std::size_t length)
{
    return in_chunks(length, [] { return large_chunk; });
}

/// Removes the end of the last chunk and the last byte of its data.
std::string without_last_byte(std::string chunks)
{
    chunks.resize(chunks.size() - 3);
    return chunks;
}

void check_withstands(const crowd& callers)
{
    const auto seen = face_crowd(callers);
    CHECK(seen.finished_);
    CHECK(seen.alive_);
    CHECK(seen.peak_memory_kb_ < memory_mb * kib);
    CHECK(seen.most_descriptors_ < max_fds);
    CHECK(seen.status_ == 200);
}

}  // namespace

TEST_CASE("Bodies that are announced far over the limit")
{
    check_withstands(
        {.callers_ = 40, .fields_ = announced(100 * mib), .body_ = std::string(mib, 'x'), .repeats_ = most_sent / mib});
}

TEST_CASE("Chunked bodies far over the limit")
{
    check_withstands({.callers_ = 40, .fields_ = chunked, .body_ = in_large_chunks(mib), .repeats_ = most_sent / mib});
}

TEST_CASE("Bodies in large chunks that stop before their end")
{
    check_withstands({.callers_ = 48, .fields_ = chunked, .body_ = without_last_byte(in_large_chunks(max_body_bytes))});
}

TEST_CASE("Bodies in very small chunks that stop before their end")
{
    std::mt19937 random(20240117);
    std::uniform_int_distribution<std::size_t> sizes(1, 16);
    check_withstands({.callers_ = 128, .fields_ = chunked, .body_ = without_last_byte(in_chunks(mib, [&] {
                                                               return sizes(random);
                                                           }))});
}

TEST_CASE("Announced bodies that stop before their last byte")
{
    check_withstands(
        {.callers_ = 48, .fields_ = announced(max_body_bytes), .body_ = std::string(max_body_bytes - 1, 'x')});
}

TEST_CASE("More connections with half a request head than descriptors")
{
    check_withstands({.callers_ = 700, .fields_ = "Content-Le", .body_ = ""});
}

TEST_CASE("Callers that do not read large answers")
{
    // The server answers with the text of the body. The callers start one after the other, so that the server, which
    // runs a few requests at once, answers all of them. The kernel buffers about 2.5 MiB of an answer.
    check_withstands({.callers_ = 20,
                      .fields_ = announced(max_body_bytes),
                      .body_ = std::string(max_body_bytes, 'x'),
                      .interval_ = cornelstall::milliseconds{150},
                      .notices_answer_ = false});
}

TEST_CASE("A body of the largest size is served without other load")
{
    CHECK(answer_without_load(chunked, in_large_chunks(max_body_bytes) + "0\r\n\r\n") == 200);
    CHECK(answer_without_load(announced(max_body_bytes), std::string(max_body_bytes, 'x')) == 200);
}
