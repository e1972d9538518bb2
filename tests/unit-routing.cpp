// Ranking of candidates: removing an upstream moves only its own buckets, shares follow the
// weights, and upstreams that are out are no candidates.

#include "property.hpp"

#include <bergamotglade/detail/routing/candidates.hpp>

#include <cmath>
#include <map>

using namespace bergamotglade;
using bergamotglade::tests::check;

namespace {

Service serviceWith(std::size_t upstreams)
{
    Service service;
    service.name = ServiceName("kits");
    service.address = {0x0a000001, 80};
    for (std::size_t i = 0; i < upstreams; ++i) {
        Upstream upstream;
        upstream.id = UpstreamId("u" + std::to_string(i));
        upstream.domain = FailureDomainId("z");
        upstream.agent = {0x7f000001, static_cast<std::uint16_t>(i + 1)};
        service.upstreams.push_back(upstream);
    }
    return service;
}

ServiceTable tableOf(const Service &service)
{
    return {std::make_shared<const Service>(service), ConfigView(), rendezvousScore};
}

std::map<Endpoint, int> firstChoices(const ServiceTable &table)
{
    std::map<Endpoint, int> count;
    for (std::uint32_t i = 0; i < BucketCount; ++i) {
        ++count[table.candidates(Bucket(i)).front()];
    }
    return count;
}

} // namespace

TEST(Candidates, RemovalMovesOnlyTheBucketsOfTheRemovedUpstream)
{
    check("every other bucket keeps its first candidate", [] {
        const auto size = *rc::gen::inRange<std::size_t>(2, 60);
        const auto removedIndex = *rc::gen::inRange<std::size_t>(0, size);
        Service service = serviceWith(size);
        const Endpoint removed = service.upstreams[removedIndex].agent;
        const ServiceTable before = tableOf(service);
        service.upstreams.erase(service.upstreams.begin()
                                + static_cast<std::ptrdiff_t>(removedIndex));
        const ServiceTable after = tableOf(service);
        for (std::uint32_t i = 0; i < BucketCount; i += 7) {
            const auto candidatesBefore = before.candidates(Bucket(i));
            const auto candidatesAfter = after.candidates(Bucket(i));
            if (candidatesBefore.front() != removed) {
                RC_ASSERT(candidatesAfter.front() == candidatesBefore.front());
            } else if (candidatesBefore.size() > 1) {
                // The second candidate takes its place.
                RC_ASSERT(candidatesAfter.front() == *(candidatesBefore.begin() + 1));
            }
        }
    });
}

TEST(Candidates, FollowWeights)
{
    Service service = serviceWith(4);
    // The other three upstreams have the default weight of 100, so the first gets half of all.
    service.upstreams[0].weight = Weight(300);
    const auto count = firstChoices(tableOf(service));
    const double share = static_cast<double>(count.at(service.upstreams[0].agent)) / BucketCount;
    EXPECT_NEAR(share, 0.5, 0.04);
}

TEST(Candidates, AreDistinctAndAtMostFour)
{
    check("candidates are distinct", [] {
        const ServiceTable table = tableOf(serviceWith(*rc::gen::inRange<std::size_t>(0, 50)));
        const auto list = table.candidates(Bucket(*rc::gen::inRange<std::uint32_t>(0, 4096)));
        RC_ASSERT(list.size() == std::min(table.upstreamCount(), CandidatesMax));
        const std::set<Endpoint> distinct(list.begin(), list.end());
        RC_ASSERT(distinct.size() == list.size());
    });
}

TEST(Candidates, LargeServicesRankLikeSmallOnes)
{
    // From 33 upstreams on, rankings are cached per bucket; the scores must be the same.
    const Service service = serviceWith(33);
    const ServiceTable table = tableOf(service);
    for (std::uint32_t i = 0; i < BucketCount; i += 31) {
        double best = -1;
        Endpoint expected;
        for (const Upstream &upstream : service.upstreams) {
            const double score =
                rendezvousScore(hashBytes(upstream.id.str()), Bucket(i), upstream.weight);
            if (score > best) {
                best = score;
                expected = upstream.agent;
            }
        }
        EXPECT_EQ(table.candidates(Bucket(i)).front(), expected);
    }
}

TEST(Candidates, ExcludeUpstreamsThatAreOut)
{
    Service service = serviceWith(3);
    service.upstreams[1].state = AdminState::Out;
    const ServiceTable table = tableOf(service);
    EXPECT_EQ(table.upstreamCount(), 2U);
    EXPECT_EQ(firstChoices(table).count(service.upstreams[1].agent), 0U);
}
