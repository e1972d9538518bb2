#include "upstream.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address and port to listen on; port 0 selects a free one");
DEFINE_string(id, "upstream", "id in the statistics and in the header Glade-Upstream");
DEFINE_string(service, "service", "service that it provides");
DEFINE_uint64(slots, 9, "requests processed concurrently");
DEFINE_double(service_ms, 20, "mean service time of a request, in ms");
DEFINE_int64(cold_ms, 0, "time after the start during which it is cold, in ms");
DEFINE_uint64(cold_bears, 8,
              "concurrent requests that it can handle while cold; it collapses above this");
DEFINE_uint64(seed, 1, "seed of the random service times");

int main(int argc, char **argv)
{
    using namespace bergamotglade;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto listen = Endpoint::parse(FLAGS_listen);
    if (!listen) {
        std::cerr << describe(listen.error()) << '\n';
        return 2;
    }
    standins::UpstreamSettings settings;
    settings.listen = listen.value();
    settings.id = FLAGS_id;
    settings.service = FLAGS_service;
    settings.slots = FLAGS_slots;
    settings.serviceMs = FLAGS_service_ms;
    settings.coldTime = Millis(FLAGS_cold_ms);
    settings.coldRequestsMax = FLAGS_cold_bears;
    settings.seed = FLAGS_seed;
    boost::asio::io_context io(1);
    standins::Upstream upstream(io, settings);
    const auto started = upstream.start();
    if (!started) {
        std::cerr << describe(started.error()) << '\n';
        return 3;
    }
    std::cout << "ready " << started.value().str() << std::endl;
    io.run();
    return 0;
}
