// Event loop, packets of the platform's format and small helpers of the stand-ins.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstring>
#include <ctime>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rig {

using Ms = std::int64_t;

inline Ms nowMs()
{
    timespec t {};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return static_cast<Ms>(t.tv_sec) * 1000 + t.tv_nsec / 1'000'000;
}

struct Address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    friend auto operator<=>(const Address &, const Address &) = default;
    std::string ipText() const
    {
        in_addr a {htonl(ip)};
        return inet_ntoa(a);
    }
    std::string str() const { return ipText() + ":" + std::to_string(port); }
    sockaddr_in socketAddress() const
    {
        sockaddr_in out {};
        out.sin_family = AF_INET;
        out.sin_addr.s_addr = htonl(ip);
        out.sin_port = htons(port);
        return out;
    }
};

inline std::uint32_t ipOf(unsigned b, unsigned c, unsigned d)
{
    return (127U << 24U) | (b << 16U) | (c << 8U) | d;
}

/// Polls sockets and runs timers, in one thread.
class Loop
{
public:
    using Handler = std::function<void()>;

    void watch(int fd, Handler onReadable) { m_handlers[fd] = std::move(onReadable); }
    void unwatch(int fd) { m_handlers.erase(fd); }
    void at(Ms time, Handler handler) { m_timers.emplace(time, std::move(handler)); }
    void after(Ms delay, Handler handler) { at(nowMs() + delay, std::move(handler)); }
    void stop() { m_stopped = true; }
    void resume() { m_stopped = false; }
    void run()
    {
        while (!m_stopped) {
            while (!m_timers.empty() && m_timers.begin()->first <= nowMs() && !m_stopped) {
                Handler handler = std::move(m_timers.begin()->second);
                m_timers.erase(m_timers.begin());
                handler();
            }
            std::vector<pollfd> fds;
            for (const auto &[fd, handler] : m_handlers) {
                fds.push_back({fd, POLLIN, 0});
            }
            const Ms wait = m_timers.empty() ? 20 : m_timers.begin()->first - nowMs();
            poll(fds.data(), fds.size(), static_cast<int>(wait < 0 ? 0 : (wait > 20 ? 20 : wait)));
            for (const pollfd &ready : fds) {
                const auto found = m_handlers.find(ready.fd);
                if (ready.revents != 0 && found != m_handlers.end()) {
                    const Handler handler = found->second;
                    handler();
                }
            }
        }
    }

private:
    std::map<int, Handler> m_handlers;
    std::multimap<Ms, Handler> m_timers;
    bool m_stopped = false;
};

inline int openSocket(int type, const Address &local)
{
    const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    const int bytes = 4 << 20;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    const sockaddr_in address = local.socketAddress();
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    if (type == SOCK_STREAM) {
        listen(fd, 128);
    }
    return fd;
}

// Packets, as the page PROTOCOL lays them out.

constexpr std::uint8_t Syn = 128;
constexpr std::uint8_t Rst = 64;
constexpr std::uint8_t Bounced = 32;
constexpr std::uint8_t Fin = 4;
constexpr std::uint8_t Ack = 1;
constexpr std::size_t HeadBytes = 32;

struct Packet
{
    std::uint32_t sum = 0;
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    Address src;
    Address dst;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::string data;

    bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
};

/// Keyed sum over all fields except echo, pad and BOUNCED.
inline std::uint32_t sumOf(const Packet &p)
{
    std::uint64_t h = 0x9e3779b97f4a7c15ULL;
    const auto mix = [&h](std::uint64_t v) {
        h ^= v + 0x9e3779b97f4a7c15ULL + (h << 6U) + (h >> 2U);
        h *= 0xff51afd7ed558ccdULL;
    };
    mix(p.flags & static_cast<std::uint8_t>(~Bounced));
    mix(p.src.ip);
    mix(p.src.port);
    mix(p.dst.ip);
    mix(p.dst.port);
    mix(p.seq);
    mix(p.ack);
    for (const char c : p.data) {
        mix(static_cast<unsigned char>(c));
    }
    const auto sum = static_cast<std::uint32_t>(h >> 32U);
    return sum == 0 ? 1 : sum; // 0 is the system's own reset
}

inline void put16(std::string &out, std::uint32_t v)
{
    out += static_cast<char>(v >> 8U);
    out += static_cast<char>(v);
}

inline void put32(std::string &out, std::uint32_t v)
{
    put16(out, v >> 16U);
    put16(out, v & 0xffffU);
}

inline std::string encode(const Packet &p)
{
    std::string out;
    put32(out, p.sum);
    put16(out, static_cast<std::uint32_t>(p.data.size()));
    put32(out, p.echo);
    out += static_cast<char>(p.flags);
    out += '\0';
    put16(out, p.dst.port);
    put16(out, p.src.port);
    put32(out, p.src.ip);
    put32(out, p.dst.ip);
    put32(out, p.seq);
    put32(out, p.ack);
    return out + p.data;
}

inline bool decode(const std::string &bytes, Packet &p)
{
    if (bytes.size() < HeadBytes) {
        return false;
    }
    const auto *b = reinterpret_cast<const unsigned char *>(bytes.data());
    const auto u16 = [b](std::size_t at) {
        return static_cast<std::uint16_t>((b[at] << 8U) | b[at + 1]);
    };
    const auto u32 = [u16](std::size_t at) {
        return (static_cast<std::uint32_t>(u16(at)) << 16U) | u16(at + 2);
    };
    p.sum = u32(0);
    p.echo = u32(6);
    p.flags = b[10];
    p.dst.port = u16(12);
    p.src.port = u16(14);
    p.src.ip = u32(16);
    p.dst.ip = u32(20);
    p.seq = u32(24);
    p.ack = u32(28);
    p.data = bytes.substr(HeadBytes);
    return p.data.size() == u16(4);
}

inline bool receive(int fd, std::string &bytes)
{
    char buffer[2048];
    const ssize_t size = recv(fd, buffer, sizeof buffer, 0);
    if (size < 0) {
        return false;
    }
    bytes.assign(buffer, static_cast<std::size_t>(size));
    return true;
}

inline void sendTo(int fd, const Address &to, const std::string &bytes)
{
    const sockaddr_in address = to.socketAddress();
    sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address),
           sizeof address);
}

} // namespace rig
