// Evidence that the view of a process contains all that the platform had acknowledged at a time.

#include <bergamotglade/detail/dissemination/dissemination.hpp>

#include <gtest/gtest.h>

using namespace bergamotglade;

namespace {

const Instant Start {Millis(1'000'000)};
const Endpoint Self {1, 7720};
const Endpoint Reader {2, 7720};
const Endpoint SecondReader {3, 7720};

/// One process whose view has revision 5; its messages and reads are recorded.
struct Confirmation
{
    explicit Confirmation(bool reader = false)
        : isReader(reader)
        , state({Self}, hooks())
    { }

    ViewConfirmationHooks hooks()
    {
        ViewConfirmationHooks hooks;
        hooks.sendQuery = [this](const Endpoint &to, const ConfirmationQuery &query) {
            askedReader = to;
            lastQuery = query;
            ++queries;
        };
        hooks.sendAnswer = [this](const Endpoint &to, const ConfirmationAnswer &answer) {
            answers.emplace_back(to, answer);
        };
        hooks.readPlatform = [this] {
            ++reads;
        };
        hooks.readers = [] {
            return std::vector<Endpoint> {Reader, SecondReader};
        };
        hooks.isReader = [this] {
            return isReader;
        };
        hooks.revision = [this] {
            return Revision(revision);
        };
        hooks.onConfirmed = [this] {
            ++confirmations;
        };
        return hooks;
    }

    void answer(std::uint64_t platformRevision)
    {
        state.onAnswer({Reader, lastQuery.number, Revision(platformRevision)});
    }

    bool isReader = false;
    Instant now = Start;
    std::uint64_t revision = 5;
    Endpoint askedReader;
    ConfirmationQuery lastQuery;
    std::vector<std::pair<Endpoint, ConfirmationAnswer>> answers;
    std::size_t queries = 0;
    std::size_t reads = 0;
    std::size_t confirmations = 0;
    ViewConfirmation state;
};

} // namespace

TEST(ViewConfirmation, AnswerConfirmsTheTimeOfTheQuery)
{
    Confirmation process;
    process.state.request(process.now);
    EXPECT_EQ(process.askedReader, Reader);
    process.now += Millis(4);
    process.state.request(process.now);
    process.answer(5);
    EXPECT_EQ(process.state.confirmedSince(), Start);
    EXPECT_EQ(process.confirmations, 1U);
    EXPECT_EQ(process.reads, 0U);
    // What was requested meanwhile needs a query of its own.
    process.state.onTick(process.now);
    EXPECT_EQ(process.queries, 2U);
}

TEST(ViewConfirmation, AnswerWithANewerRevisionCountsOnceTheViewHasIt)
{
    Confirmation process;
    process.state.request(process.now);
    process.answer(7);
    EXPECT_EQ(process.state.confirmedSince(), Instant());
    process.revision = 6;
    process.state.onRevisionChange();
    EXPECT_EQ(process.state.confirmedSince(), Instant());
    process.revision = 7;
    process.state.onRevisionChange();
    EXPECT_EQ(process.state.confirmedSince(), Start);
}

TEST(ViewConfirmation, LateAnswerToAnEarlierQueryConfirmsNothing)
{
    Confirmation process;
    process.state.request(process.now);
    const ConfirmationQuery first = process.lastQuery;
    process.now += Millis(400);
    process.state.request(process.now);
    EXPECT_EQ(process.queries, 2U);
    process.state.onAnswer({Reader, first.number, Revision(5)});
    EXPECT_EQ(process.state.confirmedSince(), Instant());
}

// Guards against an answer from a read that had started before the question arrived.
TEST(ViewConfirmation, ReaderAnswersAfterAReadThatStartedAfterTheQuery)
{
    Confirmation reader(true);
    reader.state.onQuery({Reader, 1}, reader.now);
    EXPECT_EQ(reader.reads, 1U);
    reader.state.onQuery({SecondReader, 2}, reader.now);
    reader.state.onRead(Revision(5), reader.now);
    ASSERT_EQ(reader.answers.size(), 1U);
    EXPECT_EQ(reader.answers.front().first, Reader);
    EXPECT_EQ(reader.answers.front().second.number, 1U);
    reader.now += Millis(200);
    reader.state.onTick(reader.now);
    EXPECT_EQ(reader.reads, 2U);
    reader.state.onRead(Revision(6), reader.now);
    ASSERT_EQ(reader.answers.size(), 2U);
    EXPECT_EQ(reader.answers.back().second.revision, Revision(6));
}

// Guards against taking an answer for that of the read that its arrival has started.
TEST(ViewConfirmation, AnswerCountsFromTheStartOfItsOwnRead)
{
    Confirmation reader(true);
    reader.state.request(reader.now);
    EXPECT_EQ(reader.reads, 1U);
    reader.now += Millis(300);
    reader.state.request(reader.now);
    reader.state.onQuery({Reader, 1}, reader.now);
    reader.state.onRead(Revision(5), reader.now);
    EXPECT_EQ(reader.reads, 2U);
    EXPECT_EQ(reader.state.confirmedSince(), Start);
}

// Guards against a read of the platform for each process that is in doubt after a large failure.
TEST(ViewConfirmation, ManyQueriesTakeFewReads)
{
    Confirmation reader(true);
    for (std::uint64_t i = 0; i < 1000; ++i) {
        reader.state.onQuery({Reader, i}, reader.now);
        reader.now += Millis(1);
        if (i % 4 == 3) {
            reader.state.onRead(Revision(5), reader.now);
        }
    }
    EXPECT_GE(reader.reads, 5U);
    EXPECT_LE(reader.reads, 6U);
    EXPECT_GE(reader.answers.size(), 700U);
}

// Guards against a process that stays in doubt because its reader has failed.
TEST(ViewConfirmation, UnansweredQueryGoesToTheNextReaderAndThePlatformIsRead)
{
    Confirmation process;
    for (int i = 0; i <= 300; i += 20) {
        process.state.request(process.now);
        process.now += Millis(20);
    }
    EXPECT_EQ(process.askedReader, SecondReader);
    EXPECT_EQ(process.state.counters().queriesUnanswered, 1U);
    EXPECT_EQ(process.reads, 1U);
    process.state.onRead(Revision(5), process.now);
    EXPECT_GT(process.state.confirmedSince(), Start);
}

// Guards against calls to a platform that is away for a request made long ago.
TEST(ViewConfirmation, RequestThatIsNotRepeatedLapses)
{
    Confirmation process;
    process.state.request(process.now);
    for (int i = 0; i < 300; ++i) {
        process.now += Millis(20);
        process.state.onTick(process.now);
    }
    EXPECT_EQ(process.queries, 1U);
    EXPECT_EQ(process.reads, 0U);
}

namespace {

/// A process that holds revision 5 and is not a reader, beside an agent that is one.
struct Process
{
    Process()
        : dissemination(settings(), hooks(), seededRandom(1))
    {
        dissemination.start(now);
        ChangeBatch batch;
        batch.upTo = Revision(5);
        batch.changes = {{RootName, Revision(5), "r"}};
        dissemination.onPlatformBatch(batch, now);
        dissemination.onVmList({{VmId(Reader.str()), FailureDomainId("a"), Reader}}, now);
        runFor(Millis(2000));
    }

    static DisseminationSettings settings()
    {
        DisseminationSettings settings;
        settings.self = Self;
        settings.vm = VmId(Self.str());
        settings.domain = FailureDomainId("a");
        settings.gossipInterval = Millis(400);
        settings.readerTimeout = Millis(600);
        settings.readersPerDomain = 1;
        settings.unlistedRank = 1;
        settings.asksReaders = true;
        return settings;
    }

    DisseminationHooks hooks()
    {
        DisseminationHooks hooks;
        hooks.sendNotice = [this](const Endpoint &peer, const Notice &notice) {
            if (peer == Reader && notice.wantsReply && readerReplies) {
                Notice reply;
                reply.sender = Reader;
                reply.revision = Revision(readerRevision);
                reply.platformAge = readerPlatformAge;
                reply.echo = notice.probe;
                replies.push_back(reply);
            }
        };
        hooks.fetchFromPeer = [this](const Endpoint &peer, Revision) {
            fetchedFrom = peer;
        };
        hooks.readPlatform = [](Revision, bool) {
        };
        hooks.readVmList = [] {
        };
        hooks.applySection = [](const SectionChange &) {
            return Findings {};
        };
        hooks.agents = [] {
            return std::vector<Endpoint> {Reader};
        };
        hooks.sendConfirmationQuery = [this](const Endpoint &, const ConfirmationQuery &query) {
            lastQuery = query;
        };
        hooks.onChange = [this] {
            if (asksAtChanges) {
                dissemination.requestConfirmation(now);
            }
        };
        hooks.confirmView = [this](Revision) {
            isReading = true;
        };
        return hooks;
    }

    /// Requests confirmations meanwhile; reads of the platform fail.
    void requestFor(Millis time)
    {
        for (const Instant end = now + time; now < end;) {
            dissemination.requestConfirmation(now);
            if (isReading) {
                isReading = false;
                dissemination.onConfirmationFailed(now);
            }
            runFor(Millis(20));
        }
    }

    void runFor(Millis time)
    {
        for (const Instant end = now + time; now < end; now += Millis(20)) {
            dissemination.onTick(now);
            std::vector<Notice> due;
            due.swap(replies);
            for (const Notice &reply : due) {
                dissemination.onNotice(reply, now);
            }
        }
    }

    bool readerReplies = true;
    bool asksAtChanges = false; ///< requests a confirmation at each change
    Millis readerPlatformAge {100}; ///< as the reader reports it
    std::uint64_t readerRevision = 5;
    Instant now = Start;
    bool isReading = false;
    Endpoint fetchedFrom;
    ConfirmationQuery lastQuery;
    std::vector<Notice> replies;
    Dissemination dissemination;
};

} // namespace

// Guards against a watch that confirms a time after its start.
TEST(ConfirmedView, WatchConfirmsTheTimeOfItsStart)
{
    Process process;
    process.asksAtChanges = true;
    ChangeBatch news;
    news.since = Revision(5);
    news.upTo = Revision(6);
    news.changes = {{RootName, Revision(6), "s"}};
    process.dissemination.onPlatformBatch(news, process.now);
    // The latest watch started at the start of the process.
    EXPECT_TRUE(process.dissemination.isConfirmedSince(Start, process.now));
    EXPECT_FALSE(process.dissemination.isConfirmedSince(process.now - Millis(100), process.now));
}

// Guards against waiting for gossip when the answer names a newer revision.
TEST(ConfirmedView, NewerRevisionIsFetchedFromTheReaderThatNamesIt)
{
    Process process;
    process.dissemination.requestConfirmation(process.now);
    process.dissemination.onConfirmationAnswer({Reader, process.lastQuery.number, Revision(6)},
                                               process.now);
    EXPECT_EQ(process.fetchedFrom, Reader);
    EXPECT_FALSE(process.dissemination.isConfirmedSince(process.now, process.now));
    ChangeBatch news;
    news.since = Revision(5);
    news.upTo = Revision(6);
    news.changes = {{RootName, Revision(6), "s"}};
    process.dissemination.onPeerBatch(news, process.now);
    EXPECT_TRUE(process.dissemination.isConfirmedSince(process.now, process.now));
}

TEST(ConfirmedView, ReportsOfOtherProcessesConfirmTheViewLater)
{
    Process process;
    const Instant since = process.now;
    // Queries are not answered, as if this process alone were cut off from the platform.
    process.requestFor(Millis(1200));
    EXPECT_FALSE(process.dissemination.isConfirmedSince(since, process.now));
    process.requestFor(Millis(1000));
    EXPECT_TRUE(process.dissemination.isConfirmedSince(since, process.now));
}

TEST(ConfirmedView, ReportsOfAnOlderRevisionConfirmNothing)
{
    Process process;
    process.readerRevision = 4;
    const Instant since = process.now;
    process.requestFor(Millis(3000));
    EXPECT_FALSE(process.dissemination.isConfirmedSince(since, process.now));
}

// Guards against silence towards the callers of dropped routes while the platform is away.
TEST(ConfirmedView, ViewIsTheNewestOnceNoProcessHasReachedThePlatformForLong)
{
    Process process;
    process.readerPlatformAge = Millis(10'000);
    const Instant first = process.now;
    process.requestFor(Millis(1000));
    EXPECT_FALSE(process.dissemination.isConfirmedSince(first, process.now));
    process.requestFor(Millis(1000));
    const Instant second = process.now;
    EXPECT_FALSE(process.dissemination.isConfirmedSince(second, process.now));
    process.requestFor(Millis(2000));
    EXPECT_TRUE(process.dissemination.isConfirmedSince(second, process.now));
}

// Guards against a verdict of a process that reaches neither the platform nor other processes.
TEST(ConfirmedView, IsolatedProcessKnowsNothingOfNewerVersions)
{
    Process process;
    process.readerReplies = false;
    const Instant since = process.now;
    process.requestFor(Millis(6000));
    EXPECT_FALSE(process.dissemination.isConfirmedSince(since, process.now));
}
