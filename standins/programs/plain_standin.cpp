#include <cxxopts.hpp>

#include "cornelstall/standins.hpp"
#include "program.hpp"

int main(int argc, char** argv)
{
    using namespace cornelstall;
    cxxopts::Options options{"plain_standin", "Stand-in of a plain service"};
    options.add_options()("listen", "address to listen on, ip:port", cxxopts::value<std::string>())(
        "id", "name of the server in its answers", cxxopts::value<std::string>()->default_value("plain"))(
        "duration-ms", "duration of one call", cxxopts::value<int>()->default_value("0"));
    return standins::run_program(options, argc, argv, [](const cxxopts::ParseResult& flags) {
        const standins::plain_settings settings{.id_ = server_id{flags["id"].as<std::string>()},
                                                .duration_ = milliseconds{flags["duration-ms"].as<int>()}};
        return start_plain(settings, socket_address{flags["listen"].as<std::string>()});
    });
}
