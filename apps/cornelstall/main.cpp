#include <exception>
#include <iostream>

#include "cornelstall/platform.hpp"
#include "cornelstall/runtime.hpp"

int main(int argc, char** argv)
{
    try
    {
        const auto platform_settings = cornelstall::platform::settings_path();
        if (platform_settings && argc == 1)
        {
            return cornelstall::platform::run(*platform_settings);
        }
        const auto result =
            cornelstall::read_settings(argc, argv, cornelstall::process_environment(), CORNELSTALL_VERSION);
        if (result.answer_)
        {
            std::cout << *result.answer_;
            return 0;
        }
        return cornelstall::run_entry_process(result.settings_);
    }
    catch (const std::exception& problem)
    {
        std::cerr << problem.what() << '\n';
        return 2;
    }
}
