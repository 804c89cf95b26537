#include <unistd.h>

#include <array>
#include <string>

#include <catch2/catch.hpp>

#include "cornelstall/runtime.hpp"

using namespace cornelstall;

namespace
{

constexpr event_kind test_event{9999, "test_event"};

/// Standard output as a pipe that nobody reads, until the end of its life.
class unread_output
{
  public:
    unread_output() : former_(dup(STDOUT_FILENO))
    {
        REQUIRE(pipe(ends_.data()) == 0);
        dup2(ends_[1], STDOUT_FILENO);
    }
    unread_output(const unread_output&) = delete;
    unread_output& operator=(const unread_output&) = delete;
    unread_output(unread_output&&) = delete;
    unread_output& operator=(unread_output&&) = delete;
    ~unread_output()
    {
        dup2(former_, STDOUT_FILENO);
        close(former_);
        close(ends_[0]);
        close(ends_[1]);
    }

    /// Reads what is there, at most @a most bytes.
    [[nodiscard]] std::string take(std::size_t most) const
    {
        std::string text(most, '\0');
        const auto size = ::read(ends_[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

  private:
    std::array<int, 2> ends_{};
    int former_;
};

}  // namespace

TEST_CASE("logging does not block when nobody reads, and says how many lines were lost")
{
    start_logging(severity::info);
    std::string after;
    {
        const unread_output output;
        // A pipe holds 64 KiB; these lines are more than twice that, and below the bound of a second.
        const std::string filler(200, 'x');
        for (int line = 0; line < 700; ++line)
        {
            log_event(severity::info, test_event, filler);
        }
        while (output.take(65536).size() == 65536)
        {}
        log_event(severity::info, test_event, "after");
        after = output.take(65536);
    }
    CHECK(after.find("dropped_lines=") != std::string::npos);
}
