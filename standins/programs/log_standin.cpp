#include <cxxopts.hpp>

#include "cornelstall/standins.hpp"
#include "program.hpp"

int main(int argc, char** argv)
{
    using namespace cornelstall;
    cxxopts::Options options{"log_standin", "Stand-in of the append-only log service"};
    options.add_options()("listen", "address to listen on, ip:port", cxxopts::value<std::string>())(
        "appends-per-second", "append calls over all streams", cxxopts::value<double>()->default_value("300"))(
        "retention-ms", "age at which records vanish", cxxopts::value<int>()->default_value("600000"));
    return standins::run_program(options, argc, argv, [](const cxxopts::ParseResult& flags) {
        const standins::log_settings settings{.appends_per_second_ = flags["appends-per-second"].as<double>(),
                                              .retention_ = milliseconds{flags["retention-ms"].as<int>()}};
        return start_log(settings, socket_address{flags["listen"].as<std::string>()});
    });
}
