#include "platform.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address and port to listen on; port 0 selects a free one");
DEFINE_double(rate, 2000, "calls per second that are answered; others get status 429");
DEFINE_int32(vm_lag_ms, 2000, "age of the served VM list, in ms");

int main(int argc, char **argv)
{
    using namespace bergamotglade;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto listen = Endpoint::parse(FLAGS_listen);
    if (!listen) {
        std::cerr << describe(listen.error()) << '\n';
        return 2;
    }
    boost::asio::io_context io(1);
    standins::Platform platform(io, {listen.value(), FLAGS_rate, Millis(FLAGS_vm_lag_ms)});
    const auto started = platform.start();
    if (!started) {
        std::cerr << describe(started.error()) << '\n';
        return 3;
    }
    std::cout << "ready " << started.value().str() << std::endl;
    io.run();
    return 0;
}
