/// @file
/// The caller's side of the protocol: one flow to one service.
#pragma once

#include <bergamotglade/detail/admission/retry_budget.hpp>
#include <bergamotglade/detail/core/mechanisms.hpp>
#include <bergamotglade/detail/core/random.hpp>
#include <bergamotglade/detail/request/message.hpp>

#include <functional>
#include <map>

namespace bergamotglade {

/// A request as submitted by a caller.
struct Call
{
    std::string method = "GET";
    std::string target = "/";
    std::string contentType;
    std::string body;
    Millis deadline {2000}; ///< counted from submit()
};

/// The result of a call.
struct CallResult
{
    /// Answered, NotRun, Refused or Unknown.
    Outcome outcome = Outcome::Unknown;
    Answer answer;
    std::string reason;
    Millis retryAfter {}; ///< delay that the agent suggests after a refusal, 0 for none
    Millis elapsed {};
    std::uint32_t attempts = 0; ///< times the request was sent
};

using Completion = std::function<void(const CallResult &)>;

struct CallerSettings
{
    CallerId id;
    ServiceName service;
    Millis retryTimeoutMin {150}; ///< shortest time before the second attempt
    Millis retryTimeoutMax {1000}; ///< longest time between two attempts
    double backoff = 1.6; ///< growth of the interval with each attempt
    /// Consecutive unanswered attempts of a call after which its flow counts as lost; the next
    /// request opens a new one.
    std::uint32_t attemptsToReopen = 3;
    /// Number of "unknown" responses at which a non-idempotent call completes as unknown.
    std::uint32_t unknownResponsesMax = 2;
    RetryBudget budget;
    Mechanisms mechanisms;
};

struct CallerCounters
{
    std::uint64_t sent = 0; ///< request datagrams, with retries and opening requests
    std::uint64_t retries = 0;
    std::uint64_t opened = 0; ///< flows opened
    /// Flows given up because the owner was silent, did not know the outcome of a request, or was
    /// in a failure domain that is out.
    std::uint64_t brokenFlows = 0;
    std::uint64_t movedFlows = 0; ///< flows that were handed over to another agent
    /// Responses without a pending call, for another caller, or with invalid contents.
    std::uint64_t unexpectedResponses = 0;
};

/// State machine without I/O.
class CallerNode
{
public:
    using Send = std::function<void(const Request &)>;

    CallerNode(CallerSettings settings, Send send);

    /// @brief Starts a call; `done` is invoked exactly once, at the latest by the first onTick()
    /// after the deadline.
    /// @param call the request
    /// @param done receives the result; may start further calls
    void submit(Call call, Completion done, Instant now);
    void onResponse(const Response &response, Instant now);
    /// @brief Call at least every 10 ms while calls are pending.
    void onTick(Instant now);

    [[nodiscard]] std::size_t openCalls() const noexcept { return m_calls.size(); }
    [[nodiscard]] const std::optional<OwnerToken> &owner() const noexcept { return m_owner; }
    [[nodiscard]] const CallerCounters &counters() const noexcept { return m_counters; }

private:
    struct PendingCall
    {
        Call call;
        Completion done;
        Instant started;
        Instant deadline;
        Instant nextSend;
        Instant lastSend;
        Millis retryInterval {};
        std::uint32_t attempts = 0;
        std::uint32_t unanswered = 0; ///< attempts since the last response
        std::uint32_t unknownResponses = 0;
        /// The owner that a non-idempotent request was sent to; it may be sent to no other.
        std::optional<OwnerToken> boundOwner;
        /// The owner named in the last attempt.
        std::optional<OwnerToken> lastOwner;
        std::uint64_t answerHash = 0;
        std::map<std::uint16_t, std::string> parts;
        std::uint16_t partCount = 0;
    };
    using Calls = std::map<RequestSequence, PendingCall>;

    /// How long to wait for a response, from the response times measured so far.
    [[nodiscard]] Millis retryTimeout() const;
    void recordResponseTime(PendingCall &pending, Instant now);
    void sendAttempt(RequestSequence sequence, PendingCall &pending, Instant now);
    void sendOpeningRequest(Instant now);
    void updateOwner(const Response &response);
    void dropOwner();
    [[nodiscard]] bool ownerIsSilent(const PendingCall &pending) const;
    void onPart(Calls::iterator at, const Response &response, Instant now);
    void onRefusal(Calls::iterator at, const Response &response, Instant now);
    void onUnknown(Calls::iterator at, const Response &response, Instant now);
    void finish(Calls::iterator at, CallResult result, Instant now);
    void expire(Calls::iterator at, Instant now);
    [[nodiscard]] bool scheduleRetry(PendingCall &pending, Millis after, Instant now);

    CallerSettings m_settings;
    Send m_send;
    std::optional<OwnerToken> m_owner;
    Calls m_calls;
    CallerCounters m_counters;
    RequestSequence m_nextSequence {1};
    double m_responseMs = 0; ///< smoothed response time, 0 before the first
    std::uint32_t m_openingAttempts = 0; ///< opening requests sent without a reply from an owner
    Instant m_nextOpeningAt;
};

} // namespace bergamotglade
