#include <bergamotglade/detail/daemon/log.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <array>
#include <fcntl.h>
#include <unistd.h>

using namespace bergamotglade;

namespace {

/// Puts a pipe in place of standard output while it lives.
class PipedOutput
{
public:
    PipedOutput()
        : m_saved(::dup(STDOUT_FILENO))
    {
        EXPECT_EQ(::pipe(m_ends.data()), 0);
        ::dup2(m_ends[1], STDOUT_FILENO);
    }
    ~PipedOutput()
    {
        ::dup2(m_saved, STDOUT_FILENO);
        ::close(m_ends[0]);
        ::close(m_ends[1]);
        ::close(m_saved);
    }
    [[nodiscard]] std::string read() const
    {
        std::string text(65536, '\0');
        const ssize_t size = ::read(m_ends[0], text.data(), text.size());
        text.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        return text;
    }

private:
    std::array<int, 2> m_ends {};
    int m_saved;
};

} // namespace

TEST(Log, LinesAreJsonWithTheirInputs)
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

TEST(Log, AReaderThatStopsLosesLinesAndNeverBlocksTheProcess)
{
    std::uint64_t dropped = 0;
    {
        const PipedOutput output;
        setUpLog("test", LogLevel::Info);
        const std::uint64_t before = droppedLogLines();
        // More than a pipe holds; a blocking write would stand still here for good.
        for (int i = 0; i < 5000; ++i) {
            logEvent("filler", {{"text", std::string(200, 'x')}});
        }
        dropped = droppedLogLines() - before;
    }
    EXPECT_GT(dropped, 0U);
}

TEST(Log, DecisionsAreBoundedInVolume)
{
    // A reader that takes everything: only the rate may drop lines.
    const int saved = ::dup(STDOUT_FILENO);
    const int sink = ::open("/dev/null", O_WRONLY);
    ::dup2(sink, STDOUT_FILENO);
    setUpLog("test", LogLevel::Info);
    const std::uint64_t before = droppedLogLines();
    for (int i = 0; i < 3000; ++i) {
        logDecision("offer", {{"reason", std::string("new flow")}});
    }
    const std::uint64_t dropped = droppedLogLines() - before;
    ::dup2(saved, STDOUT_FILENO);
    ::close(sink);
    ::close(saved);
    EXPECT_GT(dropped, 1000U);
}
