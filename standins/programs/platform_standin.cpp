#include <cxxopts.hpp>

#include "cornelstall/standins.hpp"
#include "program.hpp"

int main(int argc, char** argv)
{
    using namespace cornelstall;
    cxxopts::Options options{"platform_standin", "Stand-in of the platform's VM list and weight store"};
    options.add_options()("listen", "address to listen on, ip:port", cxxopts::value<std::string>())(
        "visibility-lag-ms", "from a change of the VM list to its visibility",
        cxxopts::value<int>()->default_value("1000"))("concurrent-transfers", "downloads at once",
                                                      cxxopts::value<int>()->default_value("2"))(
        "transfer-ms", "duration of one download", cxxopts::value<int>()->default_value("2000"));
    return standins::run_program(options, argc, argv, [](const cxxopts::ParseResult& flags) {
        const standins::platform_settings settings{
            .visibility_lag_ = milliseconds{flags["visibility-lag-ms"].as<int>()},
            .concurrent_transfers_ = flags["concurrent-transfers"].as<int>(),
            .transfer_duration_ = milliseconds{flags["transfer-ms"].as<int>()}};
        return start_platform(settings, socket_address{flags["listen"].as<std::string>()});
    });
}
