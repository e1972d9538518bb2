#include <bergamotglade/detail/daemon/log.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <array>
#include <fcntl.h>
#include <unistd.h>

using namespace bergamotglade;

namespace {

/// Redirects standard output to a pipe for the lifetime of the object.
class PipedOutput
{
public:
    PipedOutput()
        : m_savedStdout(::dup(STDOUT_FILENO))
    {
        EXPECT_EQ(::pipe(m_pipe.data()), 0);
        ::dup2(m_pipe[1], STDOUT_FILENO);
    }
    ~PipedOutput()
    {
        ::dup2(m_savedStdout, STDOUT_FILENO);
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
        ::close(m_savedStdout);
    }
    [[nodiscard]] std::string read() const
    {
        std::string text(65536, '\0');
        const ssize_t size = ::read(m_pipe[0], text.data(), text.size());
        text.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        return text;
    }

private:
    std::array<int, 2> m_pipe {};
    int m_savedStdout;
};

} // namespace

TEST(Log, LinesAreJsonWithAllFields)
{
    const PipedOutput output;
    setUpLog("test", LogLevel::Info);
    logEvent("routes in force", {{"version", std::uint64_t {7}}, {"note", std::string("a\"b")}});
    const auto line = nlohmann::json::parse(output.read());
    EXPECT_EQ(line.at("event"), "routes in force");
    EXPECT_EQ(line.at("version"), 7);
    EXPECT_EQ(line.at("note"), "a\"b");
    EXPECT_EQ(line.at("process"), "test");
}

TEST(Log, LinesForAStalledReaderAreDroppedWithoutBlocking)
{
    std::uint64_t dropped = 0;
    {
        const PipedOutput output;
        setUpLog("test", LogLevel::Info);
        const std::uint64_t before = droppedLogLines();
        // More data than a pipe holds: a blocking write would hang here.
        for (int i = 0; i < 5000; ++i) {
            logEvent("filler", {{"text", std::string(200, 'x')}});
        }
        dropped = droppedLogLines() - before;
    }
    EXPECT_GT(dropped, 0U);
}

TEST(Log, DecisionRateIsLimited)
{
    // Writes to /dev/null never block, so only the rate limit can drop lines.
    const int savedStdout = ::dup(STDOUT_FILENO);
    const int devNull = ::open("/dev/null", O_WRONLY);
    ::dup2(devNull, STDOUT_FILENO);
    setUpLog("test", LogLevel::Info);
    const std::uint64_t before = droppedLogLines();
    for (int i = 0; i < 3000; ++i) {
        logDecision("offer", {{"reason", std::string("new flow")}});
    }
    const std::uint64_t dropped = droppedLogLines() - before;
    ::dup2(savedStdout, STDOUT_FILENO);
    ::close(devNull);
    ::close(savedStdout);
    EXPECT_GT(dropped, 1000U);
}
