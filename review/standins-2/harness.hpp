/// @file
/// Stand-ins for the cases of the second review: the platform's store, the fabric, hosts and
/// clients, as the users' pages describe them, and the daemons as child processes. One thread; the
/// real clock; loopback addresses only.
#pragma once

#include <utility> // before Boost 1.74, which lacks it

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using asio::ip::udp;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

struct CannotRun : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Shared by all stand-ins: event loop, time since the start, random numbers, record.
struct World
{
    asio::io_context io {1};
    Clock::time_point begin = Clock::now();
    std::mt19937_64 random {std::random_device {}()};
    std::ofstream record;
    std::string work; ///< temporary folder
    std::uint16_t base = 0; ///< first of the ports
    std::multimap<std::int64_t, std::function<void()>> scheduled;
    std::vector<std::function<void(std::int64_t)>> ticks;
    asio::steady_timer timer {io};

    explicit World(const std::string &recordFile)
        : record(recordFile)
    {
        ::signal(SIGPIPE, SIG_IGN);
        char name[] = "/tmp/glade-review-XXXXXX";
        if (::mkdtemp(name) == nullptr) {
            throw CannotRun("no temporary folder");
        }
        work = name;
    }
    ~World()
    {
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(work, ignored);
        } else {
            std::cerr << "logs in " << work << "\n";
        }
    }

    [[nodiscard]] std::int64_t now() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin).count();
    }
    void note(const std::string &text) { record << now() << " ms: " << text << std::endl; }
    void at(std::int64_t ms, std::function<void()> action)
    {
        scheduled.emplace(ms, std::move(action));
    }
    void after(std::int64_t ms, std::function<void()> action) { at(now() + ms, std::move(action)); }
    std::uint32_t random32() { return static_cast<std::uint32_t>(random()); }

    /// Finds ports that are free on all addresses.
    void choosePorts(const std::vector<std::string> &addresses)
    {
        for (int attempt = 0; attempt < 100; ++attempt) {
            base = static_cast<std::uint16_t>(20'000 + random() % 2'000 * 10);
            bool free = true;
            for (const std::string &address : addresses) {
                for (std::uint16_t port = base; free && port < base + 6; ++port) {
                    boost::system::error_code error;
                    tcp::acceptor a(io);
                    a.open(tcp::v4(), error);
                    a.set_option(tcp::acceptor::reuse_address(true), error);
                    a.bind({asio::ip::make_address_v4(address), port}, error);
                    udp::socket u(io);
                    boost::system::error_code second;
                    u.open(udp::v4(), second);
                    u.bind({asio::ip::make_address_v4(address), port}, second);
                    free = !error && !second;
                }
            }
            if (free) {
                return;
            }
        }
        throw CannotRun("no free ports");
    }
    [[nodiscard]] std::uint16_t datagramPort() const { return base; }
    [[nodiscard]] std::uint16_t readyPort() const { return static_cast<std::uint16_t>(base + 1); }
    [[nodiscard]] std::uint16_t internalPort() const
    {
        return static_cast<std::uint16_t>(base + 2);
    }
    [[nodiscard]] std::uint16_t outboundPort() const
    {
        return static_cast<std::uint16_t>(base + 3);
    }
    [[nodiscard]] std::uint16_t appPort() const { return static_cast<std::uint16_t>(base + 4); }
    [[nodiscard]] std::uint16_t storePort() const { return static_cast<std::uint16_t>(base + 5); }

    void tick()
    {
        timer.expires_after(std::chrono::milliseconds(5));
        timer.async_wait([this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            while (!scheduled.empty() && scheduled.begin()->first <= now()) {
                auto action = std::move(scheduled.begin()->second);
                scheduled.erase(scheduled.begin());
                action();
            }
            for (auto &each : ticks) {
                each(now());
            }
            tick();
        });
    }
    void run(std::int64_t untilMs)
    {
        at(untilMs, [this] { io.stop(); });
        tick();
        io.run();
    }
};

// ---------------------------------------------------------------------------------------------
// Packets

constexpr std::uint8_t Syn = 128, Ack = 1, Fin = 4, Rst = 64, Bounced = 32;

struct Address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    friend auto operator<=>(const Address &, const Address &) = default;
    [[nodiscard]] std::string str() const
    {
        return asio::ip::address_v4(ip).to_string() + ":" + std::to_string(port);
    }
};

inline Address address(const std::string &ip, std::uint16_t port)
{
    return {asio::ip::make_address_v4(ip).to_uint(), port};
}

struct FlowId
{
    Address client;
    Address route;
    friend auto operator<=>(const FlowId &, const FlowId &) = default;
    [[nodiscard]] std::string str() const { return client.str() + ">" + route.str(); }
};

struct Packet
{
    Address src;
    Address dst;
    std::uint8_t flags = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::string data;
    std::uint32_t sum = 0;
    std::uint32_t echo = 0;

    [[nodiscard]] std::uint32_t expectedSum() const
    {
        // Any keyed sum will do: the key is known to the two ends only.
        std::uint64_t h = 0x9e3779b97f4a7c15ULL;
        const auto add = [&](std::uint64_t v) {
            h = (h ^ v) * 0xff51afd7ed558ccdULL;
            h ^= h >> 29U;
        };
        add(src.ip), add(src.port), add(dst.ip), add(dst.port), add(flags & ~Bounced), add(seq),
            add(ack), add(data.size());
        for (const char c : data) {
            add(static_cast<unsigned char>(c));
        }
        const auto low = static_cast<std::uint32_t>(h);
        return low == 0 ? 1 : low;
    }
    [[nodiscard]] std::string write(bool sign = true) const
    {
        std::string out(32, '\0');
        const auto put16 = [&](std::size_t at, std::uint16_t v) {
            out[at] = static_cast<char>(v >> 8U);
            out[at + 1] = static_cast<char>(v);
        };
        const auto put32 = [&](std::size_t at, std::uint32_t v) {
            put16(at, static_cast<std::uint16_t>(v >> 16U));
            put16(at + 2, static_cast<std::uint16_t>(v));
        };
        put32(0, sign ? expectedSum() : sum);
        put16(4, static_cast<std::uint16_t>(data.size()));
        put32(6, echo);
        out[10] = static_cast<char>(flags);
        put16(12, dst.port);
        put16(14, src.port);
        put32(16, src.ip);
        put32(20, dst.ip);
        put32(24, seq);
        put32(28, ack);
        return out + data;
    }
    static std::optional<Packet> read(const char *bytes, std::size_t size)
    {
        if (size < 32) {
            return std::nullopt;
        }
        const auto get16 = [&](std::size_t at) {
            return static_cast<std::uint16_t>((static_cast<unsigned char>(bytes[at]) << 8U)
                                              | static_cast<unsigned char>(bytes[at + 1]));
        };
        const auto get32 = [&](std::size_t at) {
            return (static_cast<std::uint32_t>(get16(at)) << 16U) | get16(at + 2);
        };
        Packet p;
        p.sum = get32(0);
        p.echo = get32(6);
        p.flags = static_cast<std::uint8_t>(bytes[10]);
        p.dst.port = get16(12);
        p.src.port = get16(14);
        p.src.ip = get32(16);
        p.dst.ip = get32(20);
        p.seq = get32(24);
        p.ack = get32(28);
        if (size != 32U + get16(4)) {
            return std::nullopt;
        }
        p.data.assign(bytes + 32, size - 32);
        return p;
    }
};

class Socket
{
public:
    Socket(World &world, const std::string &ip, std::uint16_t port,
           std::function<void(const char *, std::size_t, const udp::endpoint &)> onDatagram)
        : m_socket(world.io, udp::endpoint(asio::ip::make_address_v4(ip), port))
        , m_onDatagram(std::move(onDatagram))
    {
        boost::system::error_code ignored;
        m_socket.set_option(asio::socket_base::receive_buffer_size(1 << 20), ignored);
        m_socket.non_blocking(true);
        receive();
    }
    void send(const Address &to, const std::string &bytes)
    {
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(bytes), udp::endpoint(asio::ip::address_v4(to.ip), to.port),
                         0, ignored);
    }

private:
    void receive()
    {
        m_socket.async_receive_from(asio::buffer(m_buffer), m_from,
                                    [this](const boost::system::error_code &error, std::size_t n) {
                                        if (error == asio::error::operation_aborted) {
                                            return;
                                        }
                                        if (!error) {
                                            m_onDatagram(m_buffer.data(), n, m_from);
                                        }
                                        receive();
                                    });
    }
    udp::socket m_socket;
    std::function<void(const char *, std::size_t, const udp::endpoint &)> m_onDatagram;
    udp::endpoint m_from;
    std::array<char, 65'536> m_buffer {};
};

// ---------------------------------------------------------------------------------------------
// HTTP server of the store and of the hosts' health checks

struct Session : std::enable_shared_from_this<Session>
{
    using Respond = std::function<void(unsigned status, const std::string &body,
                                       const std::map<std::string, std::string> &headers)>;
    using Handler = std::function<void(const std::string &target, Respond)>;
    tcp::socket socket;
    Handler handler;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    Session(tcp::socket s, Handler h)
        : socket(std::move(s))
        , handler(std::move(h))
    { }
    void read()
    {
        request = {};
        http::async_read(socket, buffer, request,
                         [self = shared_from_this()](const beast::error_code &error, std::size_t) {
                             if (error) {
                                 return;
                             }
                             self->handler(std::string(self->request.target()),
                                           [self](unsigned status, const std::string &body,
                                                  const std::map<std::string, std::string> &h) {
                                               self->answer(status, body, h);
                                           });
                         });
    }
    void answer(unsigned status, const std::string &body,
                const std::map<std::string, std::string> &headers)
    {
        auto reply = std::make_shared<http::response<http::string_body>>();
        reply->version(11);
        reply->result(status);
        reply->keep_alive(request.keep_alive());
        reply->set(http::field::content_type, "application/json");
        for (const auto &[name, value] : headers) {
            reply->set(name, value);
        }
        reply->body() = body;
        reply->prepare_payload();
        http::async_write(
            socket, *reply,
            [self = shared_from_this(), reply](const beast::error_code &error, std::size_t) {
                if (!error && reply->keep_alive()) {
                    self->read();
                }
            });
    }
};

class HttpServer
{
public:
    HttpServer(World &world, const std::string &ip, std::uint16_t port, Session::Handler handler)
        : m_acceptor(world.io)
        , m_handler(std::move(handler))
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind({asio::ip::make_address_v4(ip), port});
        m_acceptor.listen();
        accept();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket s) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                std::make_shared<Session>(std::move(s), m_handler)->read();
            }
            accept();
        });
    }
    tcp::acceptor m_acceptor;
    Session::Handler m_handler;
};

// ---------------------------------------------------------------------------------------------
// The platform's store

inline std::string base64(const std::string &text)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t v = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            v = (v << 8U) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j > text.size() ? '=' : digits[(v >> (18 - 6 * j)) & 63U];
        }
    }
    return out;
}

struct StoreItem
{
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool deleted = false;
};

struct StoreCopy
{
    std::map<std::string, StoreItem> items;
    std::uint64_t revision = 100;
    std::int64_t takenAt = 0;
};

class Store
{
public:
    Store(World &world, const std::string &ip)
        : m_world(world)
        , m_server(world, ip, world.storePort(),
                   [this](const std::string &target, Session::Respond respond) {
                       // The sheets give 4 ms for an answer.
                       m_world.after(4, [this, target, respond] { serve(target, respond); });
                   })
    {
        world.ticks.push_back([this](std::int64_t now) { answerWatches(now); });
    }
    void put(const std::string &key, const std::string &value)
    {
        StoreItem &item = m_contents.items[key];
        const bool isNew = item.revision == 0 || item.deleted;
        item.value = value;
        item.deleted = false;
        item.revision = ++m_contents.revision;
        item.created = isNew ? item.revision : item.created;
        m_world.note("store: " + key + " written, revision " + std::to_string(item.revision)
                     + " era " + std::to_string(m_era));
    }
    void remove(const std::string &key)
    {
        StoreItem &item = m_contents.items[key];
        item.deleted = true;
        item.revision = ++m_contents.revision;
        m_world.note("store: " + key + " deleted, revision " + std::to_string(item.revision)
                     + " era " + std::to_string(m_era));
    }
    [[nodiscard]] std::optional<std::string> get(const std::string &key) const
    {
        const auto found = m_contents.items.find(key);
        return found == m_contents.items.end() || found->second.deleted
            ? std::nullopt
            : std::optional(found->second.value);
    }
    [[nodiscard]] bool isUp() const { return m_up; }
    void setUp(bool up)
    {
        m_up = up;
        m_world.note(up ? "store: up" : "store: away");
    }
    [[nodiscard]] StoreCopy copy() const
    {
        StoreCopy copy = m_contents;
        copy.takenAt = m_world.now();
        return copy;
    }
    void restore(const StoreCopy &copy)
    {
        m_contents = copy;
        ++m_era;
        m_world.note("store: restored from a copy " + std::to_string(m_world.now() - copy.takenAt)
                     + " ms old, era " + std::to_string(m_era) + " revision "
                     + std::to_string(m_contents.revision));
    }

private:
    struct Watch
    {
        std::uint64_t after;
        std::int64_t until;
        Session::Respond respond;
    };
    static std::string query(const std::string &target, const std::string &name)
    {
        const std::size_t start = target.find(name + "=");
        if (start == std::string::npos) {
            return {};
        }
        const std::size_t from = start + name.size() + 1;
        std::string text = target.substr(from, target.find('&', from) - from);
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }
    void reply(const Session::Respond &respond, unsigned status, const json &body) const
    {
        respond(status, body.dump(), {{"Store-Era", std::to_string(m_era)}});
    }
    static json itemJson(const std::string &key, const StoreItem &item)
    {
        return {{"key", key},
                {"value", base64(item.value)},
                {"revision", item.revision},
                {"created_at", item.created},
                {"lease", 0}};
    }
    void serve(const std::string &target, const Session::Respond &respond)
    {
        if (!m_up) {
            reply(respond, 503, json::object());
        } else if (target.starts_with("/-/kv-range")) {
            const std::string prefix = query(target, "prefix");
            const std::string after = query(target, "after");
            json items = json::array();
            bool more = false;
            for (const auto &[key, item] : m_contents.items) {
                if (item.deleted || !key.starts_with(prefix) || (!after.empty() && key <= after)) {
                    continue;
                }
                if (items.size() == 500) {
                    more = true;
                    break;
                }
                items.push_back(itemJson(key, item));
            }
            reply(respond, 200,
                  {{"items", items}, {"has_more", more}, {"as_of", m_contents.revision}});
        } else if (target.starts_with("/-/kv-watch")) {
            m_watches.push_back({std::stoull("0" + query(target, "after")),
                                 m_world.now() + std::stoll("0" + query(target, "wait_ms")),
                                 respond});
            answerWatches(m_world.now());
        } else {
            reply(respond, 404, json::object());
        }
    }
    void answerWatches(std::int64_t now)
    {
        std::list<Watch> waiting;
        waiting.swap(m_watches);
        for (const Watch &watch : waiting) {
            if (!m_up) {
                reply(watch.respond, 503, json::object());
                continue;
            }
            if (watch.after > m_contents.revision) {
                reply(watch.respond, 410, json::object());
                continue;
            }
            std::map<std::uint64_t, json> events;
            for (const auto &[key, item] : m_contents.items) {
                if (item.revision > watch.after) {
                    events[item.revision] = item.deleted
                        ? json {{"key", key}, {"revision", item.revision}, {"deleted", true}}
                        : itemJson(key, item);
                }
            }
            if (events.empty() && now < watch.until) {
                m_watches.push_back(watch);
                continue;
            }
            json list = json::array();
            for (const auto &[revision, event] : events) {
                list.push_back(event);
            }
            reply(watch.respond, 200, {{"events", list}, {"as_of", m_contents.revision}});
        }
    }

    World &m_world;
    StoreCopy m_contents;
    std::uint64_t m_era = 1;
    bool m_up = true;
    std::list<Watch> m_watches;
    HttpServer m_server;
};

// ---------------------------------------------------------------------------------------------
// Configuration of the operator

struct Route
{
    std::string name;
    Address address;
    std::string service;
    std::string kind = "non_idempotent";
};

inline std::string config(std::uint64_t version, const std::vector<Route> &routes,
                          const std::set<std::string> &services)
{
    json entries = json::array();
    for (const Route &route : routes) {
        entries.push_back({{"name", route.name},
                           {"hostname", asio::ip::address_v4(route.address.ip).to_string()},
                           {"prefix", "/" + std::to_string(route.address.port) + "/"},
                           {"kind", route.kind},
                           {"timeout_ms", 2000},
                           {"target_latency_ms", 300},
                           {"priority", 1},
                           {"service", route.service},
                           {"max_attempts", 2}});
    }
    json list = json::array();
    for (const std::string &service : services) {
        list.push_back({{"name", service},
                        {"health_path", "/health"},
                        {"max_connections", 2000},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"cold_start_s", 2.0},
                        {"cold_per_s", 0.0}});
    }
    return json {{"version", version},
                 {"routes", entries},
                 {"services", list},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", 262144},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15000}}}}
        .dump();
}

// ---------------------------------------------------------------------------------------------
// Daemons

class Daemon
{
public:
    Daemon(World &world, std::string name, std::string ip, std::string zone)
        : name(std::move(name))
        , ip(std::move(ip))
        , zone(std::move(zone))
        , m_world(world)
    { }
    ~Daemon()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
        }
    }
    /// Renders what deploy/settings.yaml.in gives for this machine and starts the command of
    /// deploy/system.toml.
    void start(const std::string &storeIp, const std::vector<std::string> &seeds, bool bootstrap)
    {
        m_storeIp = storeIp;
        m_seeds = seeds;
        const std::string file = m_world.work + "/" + name + ".yaml";
        std::ofstream out(file);
        const auto at = [&](std::uint16_t port) {
            return ip + ":" + std::to_string(port);
        };
        out << "vm: \"" << name << "\"\nfailure_domain: \"" << zone
            << "\"\nlisten: " << at(m_world.internalPort()) << "\nplatform: " << storeIp << ":"
            << m_world.storePort() << "\npeers: [";
        for (std::size_t i = 0; i < seeds.size(); ++i) {
            // The port of `control`; the template sets `peers_at_own_port`.
            out << (i == 0 ? "" : ",") << '"' << seeds[i] << ":" << m_world.internalPort() << '"';
        }
        out << "]\npeers_at_own_port: true\nstop_timeout: 5s\nsteering:\n  packets: "
            << at(m_world.datagramPort()) << "\n  ready: " << at(m_world.readyPort())
            << "\n  flow_max: 60s\n  link_mbps: 1000.0\n";
        if (bootstrap) {
            out << "  first_start: true\n";
        }
        if (!service.empty()) {
            out << "  from_upstream: " << at(m_world.outboundPort()) << "\nupstream: \"" << name
                << "\"\nservice: \"" << service << "\"\nupstream_address: " << at(m_world.appPort())
                << "\n";
        }
        out.close();
        const std::string program =
            std::string("target/daemons/") + (service.empty() ? "glade-balancer" : "glade-agent");
        const std::string argument = "--settings=" + file;
        const std::string log = m_world.work + "/" + name + ".log";
        if (::access(program.c_str(), X_OK) != 0) {
            throw CannotRun(program + " is missing");
        }
        const pid_t parent = ::getpid();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(1);
            }
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            for (int i = 3; i < 1024; ++i) {
                ::close(i);
            }
            ::signal(SIGPIPE, SIG_DFL);
            ::execl(program.c_str(), program.c_str(), argument.c_str(), nullptr);
            ::_exit(127);
        }
        startedAt = m_world.now();
        m_world.note("start " + name + ", pid " + std::to_string(m_pid));
    }
    void signal(int number, const std::string &what)
    {
        if (m_pid > 0) {
            m_world.note(what + " " + name);
            ::kill(m_pid, number);
        }
    }
    /// SIGTERM, SIGKILL after grace_s (6), a start shortly after the end.
    void roll()
    {
        planned = true;
        signal(SIGTERM, "SIGTERM");
        const pid_t pid = m_pid;
        m_world.after(6000, [this, pid] {
            if (m_pid == pid) {
                signal(SIGKILL, "SIGKILL after the grace period");
            }
        });
        restartWhenEnded();
    }
    void killAndRestart()
    {
        planned = true;
        signal(SIGKILL, "SIGKILL");
        restartWhenEnded();
    }
    /// @return whether it ended without a signal of the test
    bool reap()
    {
        int status = 0;
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            m_world.note(name + " ended, status " + std::to_string(status));
            return !planned;
        }
        return false;
    }
    [[nodiscard]] bool isRunning() const { return m_pid > 0; }
    [[nodiscard]] pid_t pid() const { return m_pid; }

    std::string name;
    std::string ip;
    std::string zone;
    std::string service; ///< set for the daemon beside a host
    bool planned = false;
    std::int64_t startedAt = 0;
    std::int64_t restartDelay = 300;

private:
    void restartWhenEnded()
    {
        reap();
        if (m_pid > 0) {
            m_world.after(10, [this] { restartWhenEnded(); });
            return;
        }
        m_world.after(restartDelay, [this] {
            planned = false;
            start(m_storeIp, m_seeds, false);
        });
    }
    World &m_world;
    pid_t m_pid = -1;
    std::string m_storeIp;
    std::vector<std::string> m_seeds;
};

// ---------------------------------------------------------------------------------------------
// The fabric: probes readiness twice a second; two misses take a balancer out of rotation.

class Fabric
{
public:
    Fabric(World &world, std::vector<Daemon *> balancers)
        : m_world(world)
    {
        for (Daemon *balancer : balancers) {
            m_members.push_back({balancer, 0, false, false});
        }
        probeAll();
    }
    /// The balancer that gets the packets of a client's flow.
    [[nodiscard]] Daemon *select(const FlowId &flow, const std::string &zone) const
    {
        std::vector<Daemon *> in, all, others;
        for (const Member &member : m_members) {
            if (member.daemon->zone == zone) {
                all.push_back(member.daemon);
                if (member.in) {
                    in.push_back(member.daemon);
                }
            } else if (member.in) {
                others.push_back(member.daemon);
            }
        }
        std::vector<Daemon *> &chosen =
            in.empty() ? (others.empty() ? all : others) : (in.size() * 2 < all.size() ? all : in);
        std::uint64_t h = (static_cast<std::uint64_t>(flow.client.ip) << 16U) ^ flow.client.port;
        h = h * 0x9e3779b97f4a7c15ULL ^ flow.route.ip;
        h = (h ^ (h >> 31U)) * 0xbf58476d1ce4e5b9ULL ^ flow.route.port;
        h ^= h >> 33U;
        return chosen.empty() ? nullptr : chosen[h % chosen.size()];
    }
    [[nodiscard]] std::size_t inRotation() const
    {
        std::size_t n = 0;
        for (const Member &member : m_members) {
            n += member.in ? 1 : 0;
        }
        return n;
    }

private:
    struct Member
    {
        Daemon *daemon;
        int misses;
        bool in;
        bool pending;
    };
    void probeAll()
    {
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            probe(i);
        }
        m_world.after(500, [this] { probeAll(); });
    }
    void probe(std::size_t index)
    {
        auto stream = std::make_shared<beast::tcp_stream>(m_world.io);
        stream->expires_after(std::chrono::milliseconds(450));
        const auto done = [this, index](bool ok) {
            Member &member = m_members[index];
            member.misses = ok ? 0 : member.misses + 1;
            const bool in = ok || (member.in && member.misses < 2);
            if (in != member.in) {
                member.in = in;
                m_world.note(member.daemon->name + (in ? " in" : " out of") + " rotation");
            }
        };
        stream->async_connect(
            tcp::endpoint(asio::ip::make_address_v4(m_members[index].daemon->ip),
                          m_world.readyPort()),
            [stream, done](const beast::error_code &error) {
                if (error) {
                    done(false);
                    return;
                }
                auto request = std::make_shared<http::request<http::string_body>>(
                    http::verb::get, "/v1/ready", 11); // deploy/wire.toml
                request->set(http::field::host, "balancer");
                request->keep_alive(false);
                http::async_write(
                    *stream, *request,
                    [stream, request, done](const beast::error_code &failed, std::size_t) {
                        if (failed) {
                            done(false);
                            return;
                        }
                        auto buffer = std::make_shared<beast::flat_buffer>();
                        auto reply = std::make_shared<http::response<http::string_body>>();
                        http::async_read(
                            *stream, *buffer, *reply,
                            [stream, buffer, reply, done](const beast::error_code &e, std::size_t) {
                                done(!e && reply->result_int() == 200);
                            });
                    });
            });
    }
    World &m_world;
    std::vector<Member> m_members;
};

// ---------------------------------------------------------------------------------------------
// Hosts

class Host
{
public:
    Host(World &world, Store &store, Daemon &agent, std::string service, std::uint32_t slots = 9)
        : service(std::move(service))
        , agent(agent)
        , m_world(world)
        , m_store(store)
        , m_slots(slots)
    { }
    void start(const std::string &id)
    {
        this->id = id;
        born = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count());
        alive = true;
        draining = false;
        m_flows.clear();
        m_socket = std::make_unique<Socket>(
            m_world, agent.ip, m_world.appPort(),
            [this](const char *bytes, std::size_t size, const udp::endpoint &) {
                const auto packet = Packet::read(bytes, size);
                if (packet) {
                    onPacket(*packet, std::string(bytes, size));
                }
            });
        m_health = std::make_unique<HttpServer>(
            m_world, agent.ip, m_world.appPort(),
            [this](const std::string &, const Session::Respond &respond) {
                respond(draining ? 503 : 200, "{}", {{"X-Instance-Id", this->id}});
            });
        if (!m_ticking) {
            m_ticking = true;
            m_world.ticks.push_back([this](std::int64_t now) { tick(now); });
            heartbeat();
        }
        m_world.note("host " + this->id + " starts beside " + agent.name);
    }
    /// The process of the host ends; its flows are gone.
    void end(const std::string &why)
    {
        m_world.note("host " + id + " ends: " + why);
        alive = false;
        m_socket.reset();
        m_health.reset();
        for (const auto &[flow, state] : m_flows) {
            if (state.running) {
                ++cutRequests;
                m_world.note("host " + id + ": request " + state.attempt + " was cut at work");
            }
        }
        m_flows.clear();
    }
    [[nodiscard]] std::string entry() const
    {
        return json {{"service", service},
                     {"address", agent.ip + ":" + std::to_string(m_world.appPort())},
                     {"zone", agent.zone},
                     {"version", "v1"},
                     {"slots", m_slots},
                     {"state", draining ? "draining" : "ready"},
                     {"cold_remaining_ms", 0},
                     {"sequence", m_sequence},
                     {"born", born}}
            .dump();
    }
    [[nodiscard]] bool holdsOpen(const FlowId &flow) const
    {
        const auto found = m_flows.find(flow);
        return alive && found != m_flows.end() && found->second.open && !found->second.finSent;
    }
    void publish()
    {
        if (alive && m_store.isUp()) {
            m_store.put("servers/" + id, entry());
            m_lastPublished = state();
        }
    }

    std::string id;
    std::string service;
    Daemon &agent;
    bool alive = false;
    bool draining = false;
    std::int64_t workMs = 20;
    std::uint64_t born = 0;
    std::uint64_t cutRequests = 0;
    /// Called for each opening packet that the host takes.
    std::function<void(Host &, const FlowId &, std::int64_t now)> onTaken;
    /// Called when a request begins to run.
    std::function<void(Host &, const FlowId &, const std::string &attempt, std::int64_t now)> onRun;

private:
    struct Flow
    {
        std::uint32_t isn = 0;
        std::uint32_t expected = 0; ///< next sequence number of the client
        std::uint32_t next = 0; ///< next own sequence number
        bool open = false;
        bool running = false;
        bool finSent = false;
        std::string attempt;
        std::optional<Packet> unacknowledged;
        std::int64_t sentAt = 0;
        std::int64_t backoff = 200;
        int retransmissions = 0;
        std::int64_t answerAt = 0;
    };
    [[nodiscard]] std::string state() const
    {
        json text = json::parse(entry());
        text.erase("sequence");
        return text.dump();
    }
    void heartbeat()
    {
        // The entry changes when more than `sequence` changes.
        if (alive && m_store.isUp()) {
            ++m_sequence;
            const auto known = m_store.get("servers/" + id);
            std::string kept;
            if (known) {
                json text = json::parse(*known, nullptr, false);
                if (text.is_object()) {
                    text.erase("sequence");
                }
                kept = text.dump();
            }
            if (kept != state()) {
                publish();
            }
        }
        m_world.after(1200, [this] { heartbeat(); });
    }
    void send(Packet packet)
    {
        m_socket->send(address(agent.ip, m_world.outboundPort()), packet.write());
    }
    void sendReliable(Flow &flow, const Packet &packet)
    {
        flow.unacknowledged = packet;
        flow.sentAt = m_world.now();
        flow.backoff = 200;
        flow.retransmissions = 0;
        send(packet);
    }
    void bounce(const std::string &bytes)
    {
        std::string copy = bytes;
        copy[10] = static_cast<char>(copy[10] | Bounced);
        copy[11] = '\0';
        m_socket->send(address(agent.ip, m_world.outboundPort()), copy);
    }
    Packet to(const FlowId &id, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack,
              std::string data = {}) const
    {
        Packet p;
        p.src = id.route;
        p.dst = id.client;
        p.flags = flags;
        p.seq = seq;
        p.ack = ack;
        p.data = std::move(data);
        return p;
    }
    void onPacket(const Packet &packet, const std::string &bytes)
    {
        const FlowId key {packet.src, packet.dst};
        if (packet.sum != packet.expectedSum()) {
            m_world.note("host " + id + ": packet with a wrong sum, flow " + key.str());
            ++badSums;
            return;
        }
        const std::int64_t now = m_world.now();
        const auto known = m_flows.find(key);
        if ((packet.flags & Syn) != 0) {
            if (known != m_flows.end()) {
                if (!known->second.open && known->second.unacknowledged) {
                    send(*known->second.unacknowledged);
                }
                return;
            }
            Flow &flow = m_flows[key];
            flow.isn = m_world.random32();
            flow.next = flow.isn + 1;
            flow.expected = packet.seq + 1;
            if (onTaken) {
                onTaken(*this, key, now);
            }
            sendReliable(flow, to(key, Syn | Ack, flow.isn, flow.expected));
            return;
        }
        if (known == m_flows.end()) {
            bounce(bytes);
            return;
        }
        Flow &flow = known->second;
        if ((packet.flags & Rst) != 0) {
            m_flows.erase(known);
            return;
        }
        if (!flow.open) {
            if ((packet.flags & Ack) == 0 || packet.ack != flow.isn + 1) {
                bounce(bytes);
                return;
            }
            flow.open = true;
            flow.unacknowledged.reset();
        }
        if ((packet.flags & Ack) != 0 && flow.unacknowledged && packet.ack == flow.next) {
            flow.unacknowledged.reset();
            if (flow.finSent) {
                m_flows.erase(known);
                return;
            }
        }
        if (!packet.data.empty()) {
            if (packet.seq == flow.expected && !flow.running) {
                flow.expected += static_cast<std::uint32_t>(packet.data.size());
                flow.running = true;
                flow.answerAt = now + workMs;
                const std::size_t at = packet.data.find("X-Attempt-Id: ");
                flow.attempt = packet.data.substr(at + 14, packet.data.find('\r', at) - at - 14);
                m_world.note("run " + flow.attempt + " by " + this->id);
                if (onRun) {
                    onRun(*this, key, flow.attempt, now);
                }
            }
            send(to(key, Ack, flow.next, flow.expected));
        }
        if ((packet.flags & Fin) != 0) {
            send(to(key, Ack | Fin, flow.next, packet.seq + 1));
            m_flows.erase(key);
        }
    }
    void tick(std::int64_t now)
    {
        if (!alive) {
            return;
        }
        for (auto at = m_flows.begin(); at != m_flows.end();) {
            Flow &flow = at->second;
            if (flow.running && now >= flow.answerAt) {
                flow.running = false;
                const std::string body = "ran " + flow.attempt;
                const std::string text = "HTTP/1.1 200 OK\r\nX-Response-Signature: " + id
                    + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
                // A host that is draining closes each flow after its next response.
                const auto flags = static_cast<std::uint8_t>(draining ? Ack | Fin : Ack);
                const Packet answer = to(at->first, flags, flow.next, flow.expected, text);
                flow.next += static_cast<std::uint32_t>(text.size()) + (draining ? 1 : 0);
                flow.finSent = draining;
                sendReliable(flow, answer);
            } else if (flow.unacknowledged && now - flow.sentAt >= flow.backoff) {
                if (++flow.retransmissions > 8) {
                    at = m_flows.erase(at);
                    continue;
                }
                flow.sentAt = now;
                flow.backoff = std::min<std::int64_t>(flow.backoff * 2, 1600);
                send(*flow.unacknowledged);
            }
            ++at;
        }
    }

public:
    std::uint64_t badSums = 0;

private:
    World &m_world;
    Store &m_store;
    std::uint32_t m_slots;
    std::unique_ptr<Socket> m_socket;
    std::unique_ptr<HttpServer> m_health;
    std::map<FlowId, Flow> m_flows;
    std::uint64_t m_sequence = 0;
    std::string m_lastPublished;
    bool m_ticking = false;
};

// ---------------------------------------------------------------------------------------------
// Clients

struct Attempt
{
    std::string id;
    FlowId flow;
    std::int64_t sentAt = 0; ///< first opening packet or first copy of the request
    std::string outcome; ///< empty while it waits
};

/// Clients of one zone. Each flow carries `requestsPerFlow` requests with pauses between them.
class Clients
{
public:
    Clients(World &world, Fabric &fabric, const std::string &ip, std::string zone)
        : m_world(world)
        , m_fabric(fabric)
        , m_ip(ip)
        , m_zone(std::move(zone))
        , m_socket(world, ip, world.datagramPort(),
                   [this](const char *bytes, std::size_t size, const udp::endpoint &) {
                       const auto packet = Packet::read(bytes, size);
                       if (packet) {
                           onPacket(*packet);
                       }
                   })
    {
        world.ticks.push_back([this](std::int64_t now) { tick(now); });
    }
    FlowId open(const Address &route, int requests, std::int64_t pauseMs)
    {
        Flow flow;
        flow.id = {address(m_ip, m_nextPort++), route};
        flow.remaining = requests;
        flow.pauseMs = pauseMs;
        flow.isn = m_world.random32();
        flow.next = flow.isn + 1;
        flow.openedAt = m_world.now();
        flow.attempt = flow.id.str() + "#1";
        flow.requestedAt = flow.openedAt;
        ++sent;
        m_world.note("sent " + flow.attempt);
        auto [at, isNew] = m_flows.emplace(flow.id, flow);
        sendSyn(at->second);
        return flow.id;
    }

    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t badSums = 0;
    /// Called for a reset on a flow that the client holds open.
    std::function<void(const FlowId &, const Packet &, std::int64_t openedAt, bool inWindow)>
        onResetOfOpenFlow;
    /// Called for a reset of a flow that was not open.
    std::function<void(const FlowId &, std::int64_t synAt)> onRefused;
    /// Called when a request has ended.
    std::function<void(const std::string &attempt, const std::string &outcome)> onOutcome;

private:
    struct Flow
    {
        FlowId id;
        std::uint32_t isn = 0;
        std::uint32_t next = 0;
        std::uint32_t hostNext = 0; ///< what the client acknowledges
        bool open = false;
        int copies = 0;
        int remaining = 1;
        int done = 0;
        std::int64_t pauseMs = 0;
        std::int64_t openedAt = 0;
        std::int64_t synAt = 0;
        std::int64_t requestedAt = 0;
        std::int64_t sentAt = 0;
        std::int64_t backoff = 200;
        std::int64_t nextRequestAt = 0;
        bool waiting = false; ///< for an answer
        bool acknowledged = false; ///< the host has the request
        bool closing = false;
        std::string attempt;
        std::string request;
        std::uint32_t requestSeq = 0;
    };
    void route(const FlowId &id, const Packet &packet)
    {
        if (Daemon *balancer = m_fabric.select(id, m_zone)) {
            m_socket.send(address(balancer->ip, m_world.datagramPort()), packet.write());
        }
    }
    Packet from(const Flow &flow, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack,
                std::string data = {}) const
    {
        Packet p;
        p.src = flow.id.client;
        p.dst = flow.id.route;
        p.flags = flags;
        p.seq = seq;
        p.ack = ack;
        p.data = std::move(data);
        return p;
    }
    void sendSyn(Flow &flow)
    {
        if (flow.copies == 0) {
            flow.synAt = m_world.now();
        }
        route(flow.id, from(flow, Syn, flow.isn, static_cast<std::uint32_t>(flow.copies)));
        ++flow.copies;
    }
    void request(Flow &flow, std::int64_t now)
    {
        flow.waiting = true;
        flow.acknowledged = false;
        flow.request = "POST /reserve HTTP/1.1\r\nHost: service\r\nX-Attempt-Id: " + flow.attempt
            + "\r\nContent-Length: 0\r\n\r\n";
        flow.requestSeq = flow.next;
        flow.next += static_cast<std::uint32_t>(flow.request.size());
        flow.sentAt = now;
        flow.backoff = 200;
        route(flow.id, from(flow, Ack, flow.requestSeq, flow.hostNext, flow.request));
    }
    void finish(Flow &flow, const std::string &outcome)
    {
        m_world.note(flow.attempt + " " + outcome);
        ++(outcome.starts_with("answered") ? answered : failed);
        if (onOutcome) {
            onOutcome(flow.attempt, outcome);
        }
        flow.waiting = false;
    }
    void onPacket(const Packet &packet)
    {
        const FlowId key {packet.dst, packet.src};
        const auto found = m_flows.find(key);
        if (found == m_flows.end()) {
            return;
        }
        Flow &flow = found->second;
        const bool system = packet.sum == 0 && (packet.flags & Rst) != 0;
        if (!system && packet.sum != packet.expectedSum()) {
            ++badSums;
            m_world.note("client: packet with a wrong sum on " + key.str());
            return;
        }
        if ((packet.flags & Rst) != 0) {
            if (!flow.open) {
                if (onRefused) {
                    onRefused(key, flow.synAt);
                }
                finish(flow, "refused: reset before the flow was open");
                m_flows.erase(found);
                return;
            }
            const std::uint32_t distance = packet.seq - flow.hostNext;
            const bool inWindow = distance <= 76'800U || distance >= 0U - 76'800U;
            if (system && onResetOfOpenFlow) {
                onResetOfOpenFlow(key, packet, flow.openedAt, inWindow);
            }
            if (!inWindow) {
                return;
            }
            if (flow.waiting) {
                finish(flow,
                       system ? "lost: the system reset the open flow"
                              : "lost: the host reset the flow");
            }
            m_flows.erase(found);
            return;
        }
        if ((packet.flags & Syn) != 0) {
            if (!flow.open) {
                flow.open = true;
                flow.openedAt = m_world.now();
                flow.hostNext = packet.seq + 1;
                request(flow, m_world.now());
            }
            return;
        }
        if (!flow.open) {
            return;
        }
        if (flow.waiting && packet.ack == flow.next) {
            flow.acknowledged = true;
        }
        if (!packet.data.empty() && packet.seq == flow.hostNext) {
            flow.hostNext += static_cast<std::uint32_t>(packet.data.size());
            const bool own = packet.data.ends_with("ran " + flow.attempt);
            if (flow.waiting) {
                finish(flow, own ? "answered" : "answered with a foreign answer");
                ++flow.done;
                flow.nextRequestAt = m_world.now() + flow.pauseMs;
            }
            if ((packet.flags & Fin) != 0) {
                ++flow.hostNext;
                route(key, from(flow, Ack | Fin, flow.next, flow.hostNext));
                m_flows.erase(found);
                return;
            }
        }
        if (!packet.data.empty()) {
            route(key, from(flow, Ack, flow.next, flow.hostNext));
        }
        if ((packet.flags & Fin) != 0 && packet.data.empty()) {
            m_flows.erase(found);
        }
    }
    void tick(std::int64_t now)
    {
        constexpr std::int64_t DeadlineMs = 2000; // of `kit-reserve`
        for (auto at = m_flows.begin(); at != m_flows.end();) {
            Flow &flow = at->second;
            if (!flow.open) {
                const std::int64_t age = now - flow.synAt;
                if (age >= 1400) {
                    finish(flow, "failed: the flow did not open");
                    at = m_flows.erase(at);
                    continue;
                }
                if ((flow.copies == 1 && age >= 200) || (flow.copies == 2 && age >= 600)) {
                    sendSyn(flow);
                }
            } else if (flow.waiting) {
                if (now - flow.requestedAt >= DeadlineMs) {
                    finish(flow, "failed: no answer before the deadline");
                    at = m_flows.erase(at);
                    continue;
                }
                if (!flow.acknowledged && now - flow.sentAt >= flow.backoff) {
                    flow.sentAt = now;
                    flow.backoff = std::min<std::int64_t>(flow.backoff * 2, 1600);
                    route(flow.id, from(flow, Ack, flow.requestSeq, flow.hostNext, flow.request));
                }
            } else if (flow.done >= flow.remaining) {
                if (!flow.closing) {
                    flow.closing = true;
                    flow.sentAt = now;
                    route(flow.id, from(flow, Ack | Fin, flow.next, flow.hostNext));
                } else if (now - flow.sentAt > 1000) {
                    at = m_flows.erase(at);
                    continue;
                }
            } else if (now >= flow.nextRequestAt) {
                flow.attempt = flow.id.str() + "#" + std::to_string(flow.done + 1);
                flow.requestedAt = now;
                ++sent;
                m_world.note("sent " + flow.attempt);
                request(flow, now);
            }
            ++at;
        }
    }

    World &m_world;
    Fabric &m_fabric;
    std::string m_ip;
    std::string m_zone;
    std::uint16_t m_nextPort = 30'001;
    std::map<FlowId, Flow> m_flows;
    Socket m_socket;
};

} // namespace review
