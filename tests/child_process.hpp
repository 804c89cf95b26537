#pragma once

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace cornelstall::testing
{

/// @brief What a child process gets beside its arguments.
struct child_surroundings
{
    std::vector<std::string> variables_;  ///< `NAME=value`, added to the environment of this process
    std::string output_;                  ///< file to which its output is added; that of this process when empty
};

/// @brief A child process; killed when the object is destroyed.
class child_process
{
  public:
    child_process(const std::string& path, const std::vector<std::string>& arguments,
                  const child_surroundings& surroundings = {})
    {
        std::vector<char*> words{const_cast<char*>(path.c_str())};
        append(words, arguments);
        std::vector<char*> variables;
        for (char** variable = environ; *variable != nullptr; ++variable)
        {
            variables.push_back(*variable);
        }
        append(variables, surroundings.variables_);
        posix_spawn_file_actions_t files{};
        posix_spawn_file_actions_init(&files);
        if (!surroundings.output_.empty())
        {
            constexpr int mode = 0644;
            posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, surroundings.output_.c_str(),
                                             O_WRONLY | O_CREAT | O_APPEND, mode);
            posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
        }
        const int failed = posix_spawn(&id_, path.c_str(), &files, nullptr, words.data(), variables.data());
        posix_spawn_file_actions_destroy(&files);
        if (failed != 0)
        {
            throw std::runtime_error("cannot start " + path);
        }
    }

    ~child_process()
    {
        send(SIGKILL);
        (void)wait();
    }

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&& other) noexcept : id_(std::exchange(other.id_, 0)) {}
    child_process& operator=(child_process&& other) noexcept
    {
        std::swap(id_, other.id_);
        return *this;
    }

    /// The process id; 0 once its end has been seen.
    [[nodiscard]] pid_t id() const
    {
        return id_;
    }

    void send(int signal) const
    {
        if (id_ > 0)
        {
            ::kill(id_, signal);
        }
    }

    /// The exit code; 128 plus the signal's number when a signal ended the process.
    int wait()
    {
        if (id_ <= 0)
        {
            return 0;
        }
        int status = 0;
        ::waitpid(std::exchange(id_, 0), &status, 0);
        return exit_code(status);
    }

    /// The exit code when the process has ended; does not wait.
    std::optional<int> ended()
    {
        int status = 0;
        if (id_ <= 0 || ::waitpid(id_, &status, WNOHANG) != id_)
        {
            return std::nullopt;
        }
        id_ = 0;
        return exit_code(status);
    }

  private:
    static void append(std::vector<char*>& words, const std::vector<std::string>& added)
    {
        std::ranges::transform(added, std::back_inserter(words),
                               [](const std::string& word) { return const_cast<char*>(word.c_str()); });
        words.push_back(nullptr);
    }

    static int exit_code(int status)
    {
        constexpr int signal_base = 128;
        return WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
    }

    pid_t id_ = 0;
};

}  // namespace cornelstall::testing
