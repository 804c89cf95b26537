#pragma once

#include <exception>
#include <iostream>

#include <cxxopts.hpp>

#include "cornelstall/standins.hpp"

namespace cornelstall::standins
{

/// @brief Parses the flags, starts one stand-in and runs it until SIGINT or SIGTERM.
/// @param start makes the running stand-in from the parsed flags
/// @return the exit status: 0 after a stop, 2 when the flags or the address cannot be used
template <class Start>
int run_program(cxxopts::Options& options, int argc, char** argv, Start start)
{
    constexpr int usage_error = 2;
    try
    {
        options.add_options()("help", "show the flags");
        const cxxopts::ParseResult flags = options.parse(argc, argv);
        if (flags.count("help") > 0 || flags.count("listen") == 0)
        {
            std::cout << options.help();
            return flags.count("help") > 0 ? 0 : usage_error;
        }
        const stop_signal stop;
        const running_standin running = start(flags);
        std::cout << "listening on " << running.address() << std::endl;
        stop.wait();
        return 0;
    }
    catch (const std::exception& failure)
    {
        std::cerr << failure.what() << "\n";
        return usage_error;
    }
}

}  // namespace cornelstall::standins
