/// @file
/// Messages that transfer flows from a draining agent to its successor.
#pragma once

#include <bergamotglade/detail/request/ledger.hpp>

namespace bergamotglade {

/// One non-idempotent request that the successor must not run again.
struct HandoverEntry
{
    RequestSequence sequence;
    LedgerState state = LedgerState::Unknown;
    /// Time until the entry may be removed.
    Millis remaining {};
    Answer answer;
    bool hasAnswer = false;
};

/// One flow with its unexpired non-idempotent ledger entries.
struct HandoverFlow
{
    FlowNonce nonce;
    FlowKey key;
    RequestSequence watermark;
    std::vector<HandoverEntry> entries;
};

/// First phase (prepare): the successor stores the flows but may not run their requests.
/// Second phase (commit): the sender has given up ownership and the successor owns the flows.
struct HandoverMessage
{
    Endpoint sender;
    /// Increases with each offer of the sender.
    std::uint64_t id = 0;
    /// Incarnation of the successor that the message is for; any other must reject it.
    Incarnation successor;
    bool commit = false;
    std::vector<HandoverFlow> flows; ///< first phase only
    std::vector<FlowNonce> committed; ///< second phase only
};

} // namespace bergamotglade
