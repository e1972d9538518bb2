/// @file
/// Switches that disable single mechanisms, so that tests can show which failure each prevents.
#pragma once

#include <string_view>

namespace bergamotglade {

/// All mechanisms are enabled in production; no setting disables one.
struct Mechanisms
{
    bool ledger = true; ///< repeated requests are answered from stored results
    bool ownerCheck = true; ///< only the owner of a flow runs its non-idempotent requests
    bool handover = true; ///< a stopping agent transfers its flows to successors
    bool twoPhases = true; ///< a successor runs nothing until the sender has released the flow
    bool ledgerTravels = true; ///< the ledger is transferred with the flow
    bool offerOrder = true; ///< a hand-over message does not replace a newer one
    bool pauseCheck = true; ///< after a pause, a process waits until its view is confirmed
    bool serviceCheck = true; ///< an agent refuses packets for other services
    bool domainRefusal = true; ///< an agent in a failure domain that is out refuses packets
    bool neverRevert = true; ///< a revision does not replace a newer one
    bool keepLastGood = true; ///< an invalid section leaves the last valid one in effect
    bool askPeers = true; ///< a starting process confirms the platform's state with peers
    bool gossip = true; ///< peers exchange revisions
    bool limit = true; ///< concurrent requests to the upstream are limited adaptively
    bool answerHash = true; ///< the parts of answers of two runs are not mixed
    bool ownerRoute = true; ///< packets with an owner token are sent to the owner of the flow

    /// @brief All mechanisms but one.
    /// @param name the name of the member to disable; any other text leaves all enabled
    static Mechanisms without(std::string_view name);
};

} // namespace bergamotglade
